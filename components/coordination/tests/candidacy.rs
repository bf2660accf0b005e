//! Which VMs stand as candidates for a scheduler.

use coordination::candidacy::{Candidacy, Known};
use state::clock::Millis;

fn all(count: u64) -> Vec<Candidacy> {
    let lives = (1..=count).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    lives.map(Candidacy::new).collect()
}

/// How many of all stand.
fn standing(all: &mut [Candidacy], now: u64, known: Known) -> usize {
    let stand = all.iter_mut().map(|c| c.stands(Millis(now), known));
    stand.filter(|stands| *stands).count()
}

fn known(routers: Option<u32>, is_unscheduled: bool) -> Known {
    Known {
        is_assigned: false,
        is_unscheduled,
        routers,
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

/// Guards against a herd of handshakes at the control VMs after all processes were lost, and
/// against a shard for which nobody stands.
#[test]
fn those_that_wait_come_to_stand_one_after_the_other() {
    let mut all = all(300);
    assert_eq!(standing(&mut all, 0, known(None, false)), 0);
    let first = standing(&mut all, 100, known(None, true));
    let soon = standing(&mut all, 200, known(None, true));
    assert!(first < 5 && (5..60).contains(&soon), "{first} {soon}");
    assert_eq!(standing(&mut all, 1700, known(None, true)), 300);
    let mut few = self::all(6);
    standing(&mut few, 0, known(None, true));
    assert!(standing(&mut few, 800, known(None, true)) > 0);
}

/// Guards against a VM that schedules and is taken for lost, and against links that open and
/// close with each change.
#[test]
fn one_that_schedules_stands_and_goes_on_for_a_while() {
    let mut one = all(3000).remove(7);
    let assigned = Known {
        is_assigned: true,
        ..known(Some(3000), false)
    };
    assert!(!one.stands(Millis(0), known(Some(3000), false)));
    assert!(one.stands(Millis(10), assigned));
    assert!(one.stands(Millis(5000), known(Some(3000), false)));
    assert!(!one.stands(Millis(20_000), known(Some(3000), false)));
}
