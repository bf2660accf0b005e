//! Which shards there are, and which VM schedules each.

mod views;

use coordination::assignment::{is_dedicated, shards, Assigner, Site, CANDIDATE_WAIT_MS};
use rstest::rstest;
use state::clock::Millis;
use state::id::Name;
use state::view::{Shard, View};
use std::collections::BTreeSet;
use views::{name, place, SERVICE};

/// Endpoints of one service, as many in each data centre.
fn view(counts: &[u32]) -> View {
    let mut view = views::view(None);
    for (n, count) in (0..).zip(counts) {
        for k in 0..*count {
            views::add(&mut view, n * 1000 + k, &format!("dc-{n}"), 4);
        }
    }
    view
}

fn shard(data_centre: Option<&str>) -> Shard {
    Shard {
        service: SERVICE,
        region: name("main"),
        data_centre: data_centre.map(name),
        cell: None,
    }
}

#[rstest]
#[case::few_in_three(&[3, 3, 3], false)]
#[case::many_in_one(&[140], false)]
#[case::many_in_two(&[12, 12], true)]
#[case::many_but_uneven(&[30, 2, 4], true)]
#[case::some(&[11, 12], false)]
fn a_region_with_many_endpoints_is_divided_by_data_centre(
    #[case] counts: &[u32],
    #[case] is_divided: bool,
) {
    let shards = shards(&view(counts));
    if is_divided {
        assert_eq!(shards.len(), counts.len());
        assert!(shards.iter().all(|s| s.data_centre.is_some()));
    } else {
        assert_eq!(shards, BTreeSet::from([shard(None)]));
    }
}

#[test]
fn endpoints_that_come_and_go_do_not_change_schedulers_each_time() {
    // Symptom: all routers open new sessions each time that an endpoint comes or goes.
    // Sequence: a region has about as many endpoints as divide it.
    // Cause: one bound for dividing and for joining again.
    let mut divided = view(&[10, 10]);
    assert_eq!(shards(&divided).len(), 1);
    views::assign(&mut divided, [shard(Some("dc-0"))], 4);
    assert_eq!(shards(&divided).len(), 2);
    // A scheduler of the whole region from before says nothing any more.
    views::assign(&mut divided, [shard(None)], 3);
    assert_eq!(shards(&divided).len(), 2);
    let mut few = view(&[7, 7]);
    views::assign(&mut few, [shard(Some("dc-0"))], 4);
    assert_eq!(shards(&few).len(), 1);
}

#[test]
fn a_scheduler_stands_in_the_data_centre_of_its_endpoints() {
    let view = view(&[12, 12]);
    let mut assigner = Assigner::default();
    assigner.reset(Millis(0));
    let now = Millis(CANDIDATE_WAIT_MS);
    for (vm, data_centre) in [("a", "dc-0"), ("b", "dc-0"), ("c", "dc-1")] {
        let site = Site {
            node: place(vm),
            region: name("main"),
            data_centre: name(data_centre),
        };
        assigner.record_heartbeat(now, site, 1);
    }
    let plan = assigner.plan(now, &view, &shards(&view));
    let placed: Vec<(Option<Name>, &str)> = (plan.iter())
        .map(|a| (a.shard.data_centre.clone(), a.node.vm.as_str()))
        .collect();
    assert_eq!(
        placed,
        [(Some(name("dc-0")), "a"), (Some(name("dc-1")), "c")]
    );
    // Each has an epoch of its own, above all others.
    assert!(plan[0].epoch < plan[1].epoch);
}

#[test]
fn a_vm_that_schedules_for_many_routers_takes_no_callers() {
    // Symptom: requests of all routers wait 0.5 s for decisions.
    // Sequence: a large customer's callers come to the router that schedules.
    // Cause: both share an eighth of a core.
    assert!(is_dedicated(288, 6));
    // Where routers are few, each is needed for callers.
    assert!(!is_dedicated(8, 2));
    assert!(!is_dedicated(55, 5));
}
