//! Streams of a rule that moves from one service to another.

mod harness;

use harness::http;
use harness::{eventually, Fleet, Plan};
use state::secret::Hash;

/// Applies a configuration in which the rule sends to this one of two services.
fn send_to(fleet: &Fleet, service: &str) {
    let key = Hash::of(&[b"alpha"]).hex();
    let mut text = format!("[customer alpha]\nkey-sha256 = {key}\nservices = first, second\n");
    for (name, stand_in) in ["first", "second"].iter().zip(&fleet.stand_ins) {
        text.push_str(&format!(
            "[service {name}]\ncost = event\nidempotent = yes\n\
             [endpoint {}]\nservice = {name}\naddress = {}\ndata-centre = dc-1\nslots = 4\n",
            stand_in.name, stand_in.address
        ));
    }
    text.push_str(&format!(
        "[rule all]\nthen = send\nservice = {service}\nresume = yes\n"
    ));
    let (status, _, error) = fleet.apply(&text, &[]);
    assert!(status.success(), "{error}");
    fleet.wait_version(fleet.version());
}

/// Guards against a stream of unknown origin that goes on at the only version of a service to which
/// its rule was moved after it had begun.
#[test]
fn a_stream_of_unknown_origin_does_not_go_on_at_another_service() {
    let mut fleet = Fleet::start_unconfigured(Plan {
        control: 1,
        routers: 1,
        models: 2,
        plain_services: 0,
        settings: "[router]\nresume = yes\n".to_owned(),
        ..Plan::default()
    });
    send_to(&fleet, "first");
    let headers = [("stand-in-ids", "yes"), ("stand-in-tokens", "12")];
    let begin = |fleet: &Fleet| fleet.call("r1", "alpha", "/", &headers, "begun");
    eventually("the first service serves", || begin(&fleet).status == 200);
    let begun = begin(&fleet);
    let id = begun.header("cowslipford-request-id").to_owned();
    for vm in ["c1", "r1"] {
        fleet.vm_mut(vm).kill();
    }
    for vm in ["c1", "r1"] {
        fleet.vm_mut(vm).start();
    }
    eventually("the fleet serves again", || {
        http::get(fleet.callers("r1"), "/", "alpha").status == 200
    });
    send_to(&fleet, "second");
    eventually("the second service serves", || begin(&fleet).status == 200);
    let again = [
        ("stand-in-ids", "yes"),
        ("stand-in-tokens", "12"),
        ("cowslipford-resumes", id.as_str()),
        ("last-event-id", "3"),
    ];
    // The control VMs take a second to learn what routers know of streams.
    std::thread::sleep(std::time::Duration::from_millis(1500));
    let answer = fleet.call("r1", "alpha", "/", &again, "taken up");
    assert_eq!(
        (answer.status, answer.outcome()),
        (503, "not-run"),
        "{}",
        answer.text()
    );
}
