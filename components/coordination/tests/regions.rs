//! Requests that may be served only in some regions.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod arrivals;
mod views;

use arrivals::grant;
use coordination::assignment::shards;
use coordination::dispatcher::{
    Arrival, Dispatcher, Effect, Handle, Rejection, LOCAL_AFTER_MS, REMOTE_AFTER_MS,
};
use coordination::messages::{Ask, Refusal, Report, Verdict};
use coordination::regions::Regions;
use rstest::rstest;
use state::clock::Millis;
use state::id::{EndpointId, Name};
use state::view::View;
use views::{add, assign, name, view, SERVICE};

const REGIONS: [&str; 3] = ["east", "north", "west"];

/// A view with an endpoint and a scheduler in each of the three regions, in that order.
fn view_of_three() -> View {
    let mut view = view(None);
    for (id, region) in (1..).zip(REGIONS) {
        add(&mut view, id, &format!("{region}-1"), 4);
        let endpoint = view.config.endpoints.get_mut(&EndpointId(id)).unwrap();
        endpoint.region = name(region);
    }
    let all = shards(&view);
    assign(&mut view, all, 1);
    view
}

fn region_set(regions: &[&str]) -> Regions {
    let names: Vec<Name> = regions.iter().map(|r| name(r)).collect();
    Regions::named(&names)
}

/// A router in `region` with links to all schedulers.
fn router(view: &View, region: &str) -> Dispatcher {
    let mut dispatcher = arrivals::dispatcher(name(region), name(&format!("{region}-1")), 7);
    for n in 0..REGIONS.len() {
        dispatcher.link_up(Millis(0), &name(&format!("s-{n}")));
    }
    dispatcher.update_view(Millis(0), view);
    dispatcher
}

fn arrival(regions: Regions) -> Arrival {
    Arrival {
        regions,
        ..arrivals::arrival(SERVICE)
    }
}

/// Asks, each with the region of the scheduler that receives it.
fn asks(effects: &[Effect]) -> Vec<(String, Ask)> {
    let each = effects.iter().filter_map(|e| match e {
        Effect::Report(to, Report::Ask(ask)) => Some((to.shard.region.to_string(), *ask)),
        _ => None,
    });
    each.collect()
}

fn asked_regions(effects: &[Effect]) -> Vec<String> {
    asks(effects)
        .into_iter()
        .map(|(region, _)| region)
        .collect()
}

fn arrive(router: &mut Dispatcher, view: &View, regions: Regions) -> (Handle, Vec<Effect>) {
    let (handle, mut effects) = router.arrive(Millis(0), view, arrival(regions)).unwrap();
    effects.extend(router.tick(Millis(0), view));
    (handle, effects)
}

/// Guards against a request that is served in a region that is not allowed for it.
#[rstest]
#[case::all_regions("east", &[], "east")]
#[case::only_another_region("east", &["west"], "west")]
#[case::own_region_of_two("west", &["east", "west"], "west")]
#[case::two_other_regions("north", &["east", "west"], "east")]
fn can_ask_only_in_allowed_regions(
    #[case] router_in: &str,
    #[case] allowed: &[&str],
    #[case] asked_in: &str,
) {
    let view = view_of_three();
    let mut router = router(&view, router_in);
    let (_, effects) = arrive(&mut router, &view, region_set(allowed));
    assert_eq!(asked_regions(&effects), [asked_in]);
}

/// Guards against the second ask of a request that waits long going to a region that is not
/// allowed.
#[test]
fn can_keep_a_waiting_request_in_its_regions() {
    let view = view_of_three();
    let mut router = router(&view, "east");
    arrive(&mut router, &view, region_set(&["east"]));
    for n in 0..40 {
        let effects = router.tick(Millis(REMOTE_AFTER_MS + n * 20), &view);
        assert_eq!(asked_regions(&effects), [""; 0]);
    }
    let (_, effects) = arrive(&mut router, &view, region_set(&["east", "north"]));
    let mut asked = asked_regions(&effects);
    for n in 0..40 {
        asked.extend(asked_regions(&router.tick(Millis(2000 + n * 20), &view)));
    }
    assert_eq!(asked, ["east", "north"]);
}

/// Guards against a retried or refused request that is asked for in a region that is not
/// allowed.
#[test]
fn can_keep_a_retried_request_in_its_regions() {
    let view = view_of_three();
    let mut router = router(&view, "east");
    let (handle, effects) = arrive(&mut router, &view, region_set(&["west"]));
    let (_, ask) = asks(&effects)[0].clone();
    let epoch = view
        .assignments
        .iter()
        .find(|a| a.shard.region == name("west"));
    let epoch = epoch.unwrap().epoch;
    let grant = grant(epoch, ask.seq, EndpointId(3));
    let effects = router.grant(Millis(1), grant);
    assert!(effects.contains(&Effect::Dispatch(handle, EndpointId(3))));
    let mut effects = router.requeue(Millis(2), handle, Verdict::Failed);
    effects.extend(router.tick(Millis(3), &view));
    let all = asks(&effects);
    assert_eq!(asked_regions(&effects), ["west"]);
    let refusal = Refusal {
        epoch,
        seq: all[0].1.seq,
        wait_ms: 5000,
        after_ms: 300,
    };
    let effects = router.refuse(Millis(4), refusal);
    assert_eq!(asked_regions(&effects), [""; 0]);
    assert!(matches!(effects[..], [Effect::Refuse(..)]), "{effects:?}");
}

/// Guards against a request that moves to another region, or waits until its deadline, when
/// its regions have lost all their endpoints.
#[test]
fn can_refuse_a_request_whose_regions_have_no_endpoint_left() {
    let mut view = view_of_three();
    let mut router = router(&view, "east");
    let (handle, _) = arrive(&mut router, &view, region_set(&["west"]));
    view.leaving.insert(EndpointId(3));
    let effects = router.update_view(Millis(5), &view);
    assert_eq!(asked_regions(&effects), [""; 0]);
    assert!(effects.contains(&Effect::NoEndpoint(handle)), "{effects:?}");
    let newcomer = router.arrive(Millis(6), &view, arrival(region_set(&["west"])));
    assert_eq!(newcomer.err(), Some(Rejection::NoEndpoint));
    let other = router.arrive(Millis(6), &view, arrival(region_set(&["west", "north"])));
    assert!(other.is_ok());
}

/// Guards against a router without schedulers that serves a request outside its regions.
#[test]
fn can_keep_to_allowed_regions_without_a_scheduler() {
    let view = view_of_three();
    let mut router = router(&view, "east");
    for n in 0..REGIONS.len() {
        router.link_down(Millis(0), &name(&format!("s-{n}")));
    }
    let (handle, _) = router
        .arrive(Millis(0), &view, arrival(region_set(&["north"])))
        .unwrap();
    let mut sent = Vec::new();
    for n in 0..10 {
        sent.extend(router.tick(Millis(LOCAL_AFTER_MS + n * 20), &view));
    }
    assert!(
        sent.contains(&Effect::Dispatch(handle, EndpointId(2))),
        "{sent:?}"
    );
}

/// Guards against ignoring the regions of either the rule or the customer.
#[test]
fn can_intersect_the_regions_of_a_rule_and_of_a_customer() {
    let both = region_set(&["east", "west"]).intersection(region_set(&["west", "north"]));
    let allowed: Vec<&str> = REGIONS
        .into_iter()
        .filter(|r| both.contains(&name(r)))
        .collect();
    assert_eq!(allowed, ["west"]);
    assert!(region_set(&[])
        .intersection(region_set(&["west"]))
        .contains(&name("west")));
    assert!(!region_set(&["west"])
        .intersection(region_set(&[]))
        .contains(&name("east")));
    assert!(region_set(&["east"])
        .intersection(region_set(&["west"]))
        .is_empty());
    assert!(!region_set(&[]).is_empty());
}
