//! Origins of streams: what is remembered, looked up, and decided where a stream may go on.

mod views;

use coordination::origin::{
    decide, Answer, Begun, Decision, Found, Key, Lookups, Origin, Origins, Rejection, Sole, Stream,
    KEPT_MS, LOOKUPS_MAX, LOOKUP_MS, ORIGINS_MAX, REPORT_AGAIN_MS,
};
use rstest::rstest;
use state::clock::Millis;
use state::id::{CustomerId, EndpointId, ServiceId, Software};
use state::listing::count_endpoints;
use state::view::View;
use std::collections::BTreeSet;
use views::{name, SERVICE};

fn stream() -> Stream {
    Stream {
        service: SERVICE,
        rule: name("rule"),
        has_one_service: true,
    }
}

fn key(n: u32) -> Key {
    Key::of(CustomerId(1), &n.to_be_bytes())
}

fn origin(software: &str) -> Origin {
    Origin {
        service: SERVICE,
        software: Software::of(software),
    }
}

/// A view with an endpoint of each version.
fn view(versions: &[&str]) -> View {
    let mut view = views::view(None);
    for (id, version) in (0..).zip(versions) {
        views::add(&mut view, id, "dc", 4);
        if let Some(endpoint) = view.config.endpoints.get_mut(&EndpointId(id)) {
            endpoint.software = Software::of(version);
        }
    }
    view
}

/// Guards against a stream that is forgotten while it is in progress or may be taken up again.
#[test]
fn remembers_a_stream_after_its_last_report() {
    let mut origins = Origins::default();
    origins.record(Millis(0), key(1), origin("v1"));
    origins.record(Millis(KEPT_MS - 1), key(1), origin("v1"));
    origins.record(Millis(KEPT_MS + 1), key(2), origin("v2"));
    let last = Millis(2 * KEPT_MS - 2);
    assert_eq!(origins.get(last, key(1)), Some(origin("v1")));
    assert_eq!(origins.get(last.after(1), key(1)), None);
    origins.expire(last.after(1));
    assert_eq!(origins.len(), 1);
}

/// Guards against a stream that goes on at one of two versions, each of which may have brought the
/// event that its caller has, and against customers that take up streams of others.
#[test]
fn knows_no_stream_of_two_origins_or_of_another_customer() {
    let mut origins = Origins::default();
    let at = Millis(1);
    origins.record(at, key(1), origin("v1"));
    assert_eq!(
        origins.get(at, Key::of(CustomerId(2), &1_u32.to_be_bytes())),
        None
    );
    origins.record(at, key(1), origin("v2"));
    origins.record(at, key(1), origin("v1"));
    assert_eq!(origins.get(at, key(1)), None);
}

/// Guards against a process that learns of one of two origins from another, and takes it for the only
/// one.
#[test]
fn passes_both_origins_of_an_ambiguous_stream_on() {
    let mut origins = Origins::default();
    let at = Millis(1);
    origins.record(at, key(1), origin("v1"));
    origins.record(at, key(1), origin("v2"));
    let mut others = Origins::default();
    for (key, origin) in origins.iter() {
        others.record(at, key, origin);
    }
    assert_eq!(others.get(at, key(1)), None);
    assert_eq!(others.iter().count(), 2);
}

/// Guards against origins that are written again and again, and against streams in progress that
/// are not written again before they are forgotten.
#[test]
fn knows_which_reports_are_news() {
    let mut origins = Origins::default();
    assert!(origins.record(Millis(0), key(1), origin("v1")));
    assert!(!origins.record(Millis(100), key(1), origin("v1")));
    assert!(origins.record(Millis(200), key(1), origin("v2")));
    assert!(!origins.record(Millis(300), key(1), origin("v1")));
    let again = Millis(300 + REPORT_AGAIN_MS);
    assert!(origins.record(again, key(1), origin("v1")));
}

/// Guards against origins that take more and more memory, also of a stream that is reported often.
#[test]
fn bounds_what_is_remembered() {
    let mut origins = Origins::default();
    let count = u32::try_from(ORIGINS_MAX).unwrap();
    for n in 0..count + 100 {
        origins.record(Millis(1), key(n), origin("v1"));
        origins.record(Millis(1), key(0), origin("v1"));
    }
    assert!(origins.len() <= ORIGINS_MAX);
    assert_eq!(origins.get(Millis(1), key(count + 99)), Some(origin("v1")));
}

fn sole(software: &str, for_ms: u64) -> Option<Sole> {
    Some(Sole {
        software: Software::of(software),
        for_ms,
    })
}

fn vms(names: &[&str]) -> BTreeSet<state::id::Name> {
    names.iter().map(|vm| name(vm)).collect()
}

/// Starts a lookup at two VMs.
#[expect(clippy::panic, reason = "a helper that panics fails its test")]
fn begin(lookups: &mut Lookups) -> u64 {
    match lookups.begin(Millis(0), vms(&["c-1", "c-2"])) {
        Begun::Asked(number) => number,
        Begun::Ended(found) => panic!("{found:?}"),
    }
}

/// Guards against a stream that counts as unknown while a VM that may know it has not answered.
#[test]
fn knows_that_a_stream_is_unknown_only_from_all() {
    let mut lookups = Lookups::default();
    let number = begin(&mut lookups);
    let unknown = Answer::Unknown(None);
    assert_eq!(lookups.answer(number, &name("c-1"), unknown), None);
    assert_eq!(lookups.answer(number, &name("c-1"), unknown), None);
    let found = lookups.answer(number, &name("c-2"), unknown);
    assert_eq!(found, Some(Found::Unknown));
    let number = begin(&mut lookups);
    let known = lookups.answer(number, &name("c-2"), Answer::Known(origin("v1")));
    assert_eq!(known, Some(Found::Known(origin("v1"))));
    assert_eq!(lookups.answer(number, &name("c-1"), unknown), None);
}

/// Guards against a version that counts as the only one since it has been that for some time: an
/// earlier one may have begun the stream.
#[test]
fn knows_the_only_version_only_if_there_never_was_another() {
    let mut lookups = Lookups::default();
    let number = begin(&mut lookups);
    let lately = Answer::Unknown(sole("v1", Sole::EVER - 1));
    assert_eq!(lookups.answer(number, &name("c-1"), lately), None);
    let found = lookups.answer(number, &name("c-2"), lately);
    assert_eq!(found, Some(Found::Unknown));
    let number = begin(&mut lookups);
    let ever = Answer::Unknown(sole("v1", Sole::EVER));
    let found = lookups.answer(number, &name("c-2"), ever);
    assert_eq!(found, Some(Found::Sole(Software::of("v1"))));
}

/// Guards against a lookup that is lost since its control VM had no link yet.
#[test]
fn finds_the_lookups_of_a_vm_whose_link_comes_up() {
    let mut lookups = Lookups::default();
    let number = begin(&mut lookups);
    lookups.answer(number, &name("c-1"), Answer::Unknown(None));
    assert_eq!(lookups.awaiting(&name("c-1")).count(), 0);
    let awaited: Vec<u64> = lookups.awaiting(&name("c-2")).collect();
    assert_eq!(awaited, [number]);
}

/// Guards against a request that waits for a VM that is lost or silent.
#[test]
fn ends_lookups_without_all_answers() {
    let mut lookups = Lookups::default();
    let lost = begin(&mut lookups);
    assert_eq!(lookups.lose(&name("c-1")), []);
    let unreachable = Some(Found::Unreachable);
    assert_eq!(
        lookups.answer(lost, &name("c-2"), Answer::Unknown(None)),
        unreachable
    );
    let silent = begin(&mut lookups);
    assert_eq!(lookups.tick(Millis(LOOKUP_MS - 1)), []);
    assert_eq!(
        lookups.tick(Millis(LOOKUP_MS)),
        [(silent, Found::Unreachable)]
    );
    let ended = Begun::Ended(Found::Unreachable);
    assert_eq!(lookups.begin(Millis(0), vms(&[])), ended);
    for _ in 0..LOOKUPS_MAX {
        begin(&mut lookups);
    }
    assert_eq!(lookups.begin(Millis(0), vms(&["c-1"])), ended);
}

/// Guards against a stream that goes on at a version that did not begin it, that waits for one that
/// serves no more, or that is rejected although its version is known or the only one ever.
#[rstest]
#[case::not_looked_up(&["v1", "v2"], None, Decision::LookUp)]
#[case::one_version_not_looked_up(&["v1"], None, Decision::LookUp)]
#[case::no_version_not_looked_up(&["", ""], None, Decision::LookUp)]
#[case::no_endpoint_not_looked_up(&[], None, Decision::LookUp)]
#[case::known(&["v1", "v2"], Some(Found::Known(origin("v1"))), at("v1"))]
#[case::known_without_a_version(&["", "v2"], Some(Found::Known(origin(""))), at(""))]
#[case::gone(&["v2"], Some(Found::Known(origin("v1"))), Decision::Reject(Rejection::Gone))]
#[case::unknown(&["v1", "v2"], Some(Found::Unknown), Decision::Reject(Rejection::Unknown))]
#[case::unknown_at_the_only_listed(&["v1", "v1"], Some(Found::Unknown), Decision::Reject(Rejection::Unknown))]
#[case::the_only_one_ever(&["v1"], Some(Found::Sole(Software::of("v1"))), at("v1"))]
#[case::never_a_version(&["", ""], Some(Found::Sole(Software::UNSTATED)), at(""))]
#[case::the_only_one_ever_is_not_listed(&["v2"], Some(Found::Sole(Software::of("v1"))), at("v1"))]
#[case::no_endpoint_yet(&[], Some(Found::Sole(Software::of("v1"))), at("v1"))]
#[case::cut_off(&["v1", "v2"], Some(Found::Unreachable), Decision::Reject(Rejection::Unreachable))]
#[case::cut_off_from_the_only_listed(&["v1"], Some(Found::Unreachable), Decision::Reject(Rejection::Unreachable))]
#[case::cut_off_without_versions(&["", ""], Some(Found::Unreachable), Decision::Reject(Rejection::Unreachable))]
fn decides_where_a_stream_may_go_on(
    #[case] versions: &[&str],
    #[case] found: Option<Found>,
    #[case] decision: Decision,
) {
    assert_eq!(decide(&view(versions), true, &stream(), found), decision);
}

fn at(software: &str) -> Decision {
    Decision::At(Software::of(software))
}

/// Guards against a caller that is told that its version has gone by a router whose list is old.
#[test]
fn knows_that_a_version_has_gone_only_by_the_latest_list() {
    let found = Some(Found::Known(origin("v2")));
    let stale = decide(&view(&["v1"]), false, &stream(), found);
    assert_eq!(stale, Decision::Reject(Rejection::Stale));
    assert_eq!(decide(&view(&["v2"]), false, &stream(), found), at("v2"));
}

/// Guards against a stream that goes on at another service of its rule than the one that began it.
#[test]
fn knows_no_only_version_of_a_rule_with_several_services() {
    let stream = Stream {
        has_one_service: false,
        ..stream()
    };
    let decide = |found| decide(&view(&["v1"]), true, &stream, Some(found));
    assert_eq!(
        decide(Found::Sole(Software::of("v1"))),
        Decision::Reject(Rejection::Unknown)
    );
    assert_eq!(decide(Found::Known(origin("v1"))), at("v1"));
}

/// Guards against a stream of another service, and against a version whose endpoints all drain.
#[test]
fn rejects_streams_of_other_services_and_of_draining_versions() {
    let mut view = view(&["v1", "v2"]);
    let other = Origin {
        service: ServiceId(9),
        ..origin("v1")
    };
    let decide = |view: &View, origin| decide(view, true, &stream(), Some(Found::Known(origin)));
    assert_eq!(decide(&view, other), Decision::Reject(Rejection::Unknown));
    view.leaving.insert(EndpointId(0));
    assert_eq!(
        decide(&view, origin("v1")),
        Decision::Reject(Rejection::Gone)
    );
    assert_eq!(decide(&view, origin("v2")), at("v2"));
}

/// Guards against a router that takes the part of the endpoints that it knows for all of them.
#[test]
fn leaves_versions_that_it_does_not_list_to_schedulers() {
    let mut part = view(&["v1"]);
    part.census = Some(count_endpoints(std::iter::empty()));
    let decide = |found| decide(&part, true, &stream(), Some(found));
    assert_eq!(decide(Found::Unknown), Decision::Reject(Rejection::Unknown));
    assert_eq!(decide(Found::Known(origin("v2"))), at("v2"));
}
