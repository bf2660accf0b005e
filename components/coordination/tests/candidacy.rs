//! Which VMs stand as candidates for a scheduler.

mod views;

use coordination::assignment::{shards, Assigner, Site};
use coordination::candidacy::{Candidacy, Status};
use state::clock::Millis;
use std::collections::BTreeSet;

fn all(count: u64) -> Vec<Candidacy> {
    let lives = (1..=count).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    lives.map(Candidacy::new).collect()
}

/// How many of all stand.
fn standing(all: &mut [Candidacy], now: u64, known: Status) -> usize {
    let stand = all.iter_mut().map(|c| c.is_candidate(Millis(now), known));
    stand.filter(|stands| *stands).count()
}

fn known(routers: Option<u32>, is_unscheduled: bool) -> Status {
    Status {
        is_assigned: false,
        is_unscheduled,
        routers,
        shards: 3,
    }
}

/// Guards against control VMs that receive heartbeats of the whole fleet.
#[test]
fn a_bounded_number_stands_however_many_there_are() {
    for count in [86, 300, 3000] {
        let mut all = all(u64::from(count));
        let stand = standing(&mut all, 0, known(Some(count), false));
        assert!((10..=48).contains(&stand), "{stand} of {count}");
    }
    // Where there are few, all of them do.
    assert_eq!(standing(&mut all(8), 0, known(Some(8), false)), 8);
}

/// Guards against a shard for which nobody stands, since those drawn by lot are lost.
#[test]
fn those_that_wait_come_to_stand_one_after_the_other() {
    let mut all = all(300);
    let drawn = standing(&mut all, 0, known(Some(300), false));
    let first = standing(&mut all, 100, known(Some(300), true));
    let soon = standing(&mut all, 200, known(Some(300), true));
    assert!(
        first - drawn < 5 && soon - drawn < 60,
        "{drawn} {first} {soon}"
    );
    assert_eq!(standing(&mut all, 1700, known(Some(300), true)), 300);
}

/// Guards against a fleet that has just begun and gives all shards to the few that stand
/// first, or to VMs in another data centre.
#[test]
fn each_shard_gets_a_scheduler_of_its_own_at_home() {
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
            // The leader has settled long before the list of endpoints is read.
            let is_listed = tick >= 100;
            if candidate.is_candidate(now, known(None, is_listed)) {
                let site = Site {
                    node: views::place(&format!("r-{n}")),
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

/// Guards against a VM that schedules and is taken for lost, and against links that open and
/// close with each change.
#[test]
fn one_that_schedules_stands_and_goes_on_for_a_while() {
    let mut one = all(3000).remove(7);
    let assigned = Status {
        is_assigned: true,
        ..known(Some(3000), false)
    };
    assert!(!one.is_candidate(Millis(0), known(Some(3000), false)));
    assert!(one.is_candidate(Millis(10), assigned));
    assert!(one.is_candidate(Millis(5000), known(Some(3000), false)));
    assert!(!one.is_candidate(Millis(20_000), known(Some(3000), false)));
}
