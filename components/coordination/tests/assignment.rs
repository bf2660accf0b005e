//! Division of endpoints into shards, and assignment of shards to VMs.

mod views;

use coordination::assignment::{is_dedicated, shards, Assigner, Site, CANDIDATE_WAIT_MS};
use rstest::rstest;
use state::clock::Millis;
use state::id::Name;
use state::view::{Shard, View};
use std::collections::BTreeSet;
use views::{name, node, SERVICE};

/// A view of one service with `counts[n]` endpoints in data centre `dc-n`.
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
fn a_region_with_many_endpoints_is_split_by_data_centre(
    #[case] counts: &[u32],
    #[case] is_split: bool,
) {
    let shards = shards(&view(counts));
    if is_split {
        assert_eq!(shards.len(), counts.len());
        assert!(shards.iter().all(|s| s.data_centre.is_some()));
    } else {
        assert_eq!(shards, BTreeSet::from([shard(None)]));
    }
}

#[test]
fn a_few_new_endpoints_do_not_change_the_schedulers() {
    // Symptom: all routers open new sessions whenever an endpoint comes or goes.
    // Sequence: the number of endpoints in a region varies around the limit for a split.
    // Cause: regions are split and merged at the same limit.
    let mut split = view(&[10, 10]);
    assert_eq!(shards(&split).len(), 1);
    views::assign(&mut split, [shard(Some("dc-0"))], 4);
    assert_eq!(shards(&split).len(), 2);
    // An older assignment of the whole region has no effect.
    views::assign(&mut split, [shard(None)], 3);
    assert_eq!(shards(&split).len(), 2);
    let mut few = view(&[7, 7]);
    views::assign(&mut few, [shard(Some("dc-0"))], 4);
    assert_eq!(shards(&few).len(), 1);
}

#[test]
fn a_scheduler_runs_in_the_data_centre_of_its_endpoints() {
    let view = view(&[12, 12]);
    let mut assigner = Assigner::default();
    assigner.reset(Millis(0));
    let now = Millis(CANDIDATE_WAIT_MS);
    for (vm, data_centre) in [("a", "dc-0"), ("b", "dc-0"), ("c", "dc-1")] {
        let site = Site {
            node: node(vm),
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
    // Each assignment has its own epoch, above all earlier ones.
    assert!(plan[0].epoch < plan[1].epoch);
}

#[test]
fn the_vm_of_a_scheduler_for_many_routers_takes_no_callers() {
    // Symptom: requests of all routers wait 0.5 s for decisions.
    // Sequence: the callers of a large customer connect to the VM that schedules.
    // Cause: callers and scheduler share an eighth of a core.
    assert!(is_dedicated(288, 6));
    // In a small fleet, each router is needed for callers.
    assert!(!is_dedicated(8, 2));
    assert!(!is_dedicated(55, 5));
}
