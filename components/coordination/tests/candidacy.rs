//! Which VMs are candidates to run schedulers.

mod views;

use coordination::assignment::{shards, Assigner, Site};
use coordination::candidacy::{Candidacy, Status};
use state::clock::Millis;
use std::collections::BTreeSet;

fn all(count: u64) -> Vec<Candidacy> {
    let incarnations = (1..=count).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    incarnations.map(Candidacy::new).collect()
}

/// Number of candidates among all VMs.
fn candidates(all: &mut [Candidacy], now: u64, status: Status) -> usize {
    let each = all.iter_mut().map(|c| c.is_candidate(Millis(now), status));
    each.filter(|is_candidate| *is_candidate).count()
}

fn status(routers: Option<u32>, is_unscheduled: bool) -> Status {
    Status {
        is_assigned: false,
        is_unscheduled,
        routers,
        shards: 3,
    }
}

/// Guards against control VMs that receive heartbeats from the whole fleet.
#[test]
fn the_number_of_candidates_is_bounded_in_a_large_fleet() {
    for count in [86, 300, 3000] {
        let mut all = all(u64::from(count));
        let found = candidates(&mut all, 0, status(Some(count), false));
        assert!((10..=48).contains(&found), "{found} of {count}");
    }
    // In a small fleet every VM is a candidate.
    assert_eq!(candidates(&mut all(8), 0, status(Some(8), false)), 8);
}

/// Guards against a shard without candidates after the VMs selected by hash are lost, and
/// against all other VMs volunteering at once.
#[test]
fn other_vms_volunteer_one_after_the_other_without_a_scheduler() {
    let mut all = all(300);
    let selected = candidates(&mut all, 0, status(Some(300), false));
    let first = candidates(&mut all, 100, status(Some(300), true));
    let soon = candidates(&mut all, 200, status(Some(300), true));
    assert!(
        first - selected < 5 && soon - selected < 60,
        "{selected} {first} {soon}"
    );
    assert_eq!(candidates(&mut all, 1700, status(Some(300), true)), 300);
}

/// Guards against a fleet that assigns all shards to its first few candidates after a start,
/// or to VMs in another data centre.
#[test]
fn each_shard_gets_its_own_scheduler_in_its_data_centre() {
    let mut view = views::view(None);
    for n in 0..36 {
        views::add(&mut view, n, &format!("dc-{}", n % 3), 4);
    }
    let shards = shards(&view);
    let mut all = all(60);
    let mut assigner = Assigner::default();
    assigner.reset(Millis(0));
    let mut plan = Vec::new();
    for tick in 0..200 {
        let now = Millis(tick * 20);
        for (n, candidate) in all.iter_mut().enumerate() {
            // The leader has been elected long before the list of endpoints is read.
            let is_listed = tick >= 100;
            if candidate.is_candidate(now, status(None, is_listed)) {
                let site = Site {
                    node: views::node(&format!("r-{n}")),
                    region: views::name("main"),
                    data_centre: views::name(&format!("dc-{}", n % 3)),
                };
                assigner.record_heartbeat(now, site, 1);
            }
        }
        if plan.is_empty() && tick >= 100 {
            plan = assigner.plan(now, &view, &shards).into_vec();
        }
    }
    let vms: BTreeSet<_> = plan.iter().map(|a| &a.node.vm).collect();
    assert_eq!((plan.len(), vms.len()), (3, 3), "{plan:?}");
    for (n, assignment) in plan.iter().enumerate() {
        let number: usize = assignment.node.vm.as_str()[2..].parse().unwrap();
        assert_eq!(number % 3, n, "{assignment:?}");
    }
}

/// Guards against a scheduling VM that stops its heartbeats and is considered lost, and
/// against links that open and close with each change.
#[test]
fn a_scheduling_vm_stays_a_candidate_for_a_while_after_its_assignment() {
    let mut vm = all(3000).remove(7);
    let assigned = Status {
        is_assigned: true,
        ..status(Some(3000), false)
    };
    assert!(!vm.is_candidate(Millis(0), status(Some(3000), false)));
    assert!(vm.is_candidate(Millis(10), assigned));
    assert!(vm.is_candidate(Millis(5000), status(Some(3000), false)));
    assert!(!vm.is_candidate(Millis(20_000), status(Some(3000), false)));
}
