//! When a router turns new callers away, and what it may take on.

use coordination::admission::{Admission, Arrivals, Limit, Probes};
use coordination::budget::{Budget, Resources};
use coordination::overload::{HotSpot, Overload, OVERLOAD_LATENESS_MS};
use rstest::rstest;
use state::clock::Millis;

/// Time between two probes, in milliseconds.
const STEP: u64 = 20;

/// Probes until `to`, each as late as it says; gives when the verdict changed.
fn play<F>(overload: &mut Overload, to: u64, late: F) -> Vec<(u64, bool)>
where
    F: Fn(u64) -> u64,
{
    let mut changes: Vec<(u64, bool)> = Vec::new();
    let mut was = false;
    let mut now = 0;
    while now < to {
        let late_ms = late(now);
        now += STEP + late_ms;
        let is = overload.probe(Millis(now), late_ms, false);
        if is != was {
            changes.push((now, is));
        }
        was = is;
    }
    changes
}

#[test]
fn can_ride_out_a_burst_without_turning_callers_away() {
    // Everybody comes back at once after a loss of all: tasks run 130 ms late for a tenth of
    // a second, and nothing is wrong afterwards.
    let mut overload = Overload::default();
    let late = |now| if (1000..1100).contains(&now) { 130 } else { 1 };
    assert_eq!(play(&mut overload, 5000, late), []);
}

#[test]
fn can_take_callers_again_at_once_after_a_suspension() {
    // A VM that was suspended for five seconds finds one probe five seconds late, and has
    // nothing to do.
    let mut overload = Overload::default();
    let late = |now| if (1000..1030).contains(&now) { 5000 } else { 1 };
    assert_eq!(play(&mut overload, 9000, late), []);
}

#[test]
fn can_send_callers_elsewhere_once_there_is_no_room_for_their_connections() {
    // With all places taken and the processor calm a router said that it was ready, and
    // closed every new connection at once.
    let mut overload = Overload::default();
    let away = (1..100).find(|n| overload.probe(Millis(n * STEP), 1, true));
    assert!(away.is_some_and(|n| n * STEP < 1000), "{away:?}");
}

#[test]
fn can_send_callers_elsewhere_while_one_customer_floods_this_router() {
    // One customer's callers all come to one router, whose tasks run 100 to 250 ms late as
    // long as they do: `late_ms=157 connections=2573 here=1555 waiting=1433`. It still said
    // that it was ready, so that new ones came until its memory ended, while the other 54
    // routers had nine tenths of their processors left. Whoever sends callers needs two
    // misses a second apart to turn to another router.
    let mut overload = Overload::default();
    let late = |now| if (1000..3000).contains(&now) { 157 } else { 1 };
    let changes = play(&mut overload, 20_000, late);
    let [(away, true), (back, false)] = changes[..] else {
        unreachable!("{changes:?}");
    };
    assert!((1000..2500).contains(&away), "{away}");
    assert!(back - away >= 2300, "{changes:?}");
    assert!(back < 6000, "{changes:?}");
}

#[test]
fn can_not_stay_away_for_good_where_every_router_is_overloaded() {
    // With every router of a data centre unready none is helped by it, and callers go to a
    // data centre that is further off.
    let mut overload = Overload::default();
    let changes = play(&mut overload, 60_000, |_| OVERLOAD_LATENESS_MS * 3);
    let mut away = 0;
    for pair in changes.chunks_exact(2) {
        let [(left, true), (back, false)] = pair[..] else {
            unreachable!("{changes:?}");
        };
        assert!(back - left <= 5200, "{changes:?}");
        away += back - left;
    }
    assert!(changes.len() > 8 && away < 45_000, "{changes:?}");
}

#[rstest]
#[case::a_small_vm(64_000_000, 200)]
#[case::one_of_fifty_five(160_000_000, 4100)]
#[case::one_of_six(260_000_000, 4100)]
#[case::a_large_vm_with_few_descriptors(8_000_000_000, 1024)]
#[case::a_large_vm(8_000_000_000, 1_000_000)]
fn can_take_on_no_more_than_the_vm_has(#[case] memory: u64, #[case] descriptors: u64) {
    // 4,096 connections were accepted on each of these, of 36 KB each: 147 MB on a VM of 160
    // MB, with 4,096 of its 4,100 descriptors.
    let budget = Budget::from(Resources {
        memory_bytes: memory,
        descriptors,
    });
    let connections = u64::try_from(budget.connections).unwrap();
    let kept = u64::try_from(budget.idle_connections).unwrap();
    let rest = 24_000_000;
    let taken = rest + connections * (36_000 + 20_000) + kept * 20_000 + budget.body_bytes;
    assert!(taken < memory, "{budget:?}");
    // Each request on one of them may have a connection to an endpoint.
    assert!(2 * connections + kept + 32 < descriptors, "{budget:?}");
    assert!(connections >= 16 && kept >= 16, "{budget:?}");
}

#[test]
fn can_keep_what_operators_allow_where_that_is_less() {
    let budget = Budget::from(Resources {
        memory_bytes: 260_000_000,
        descriptors: 4100,
    });
    let bounded = budget.within(100, 1 << 20);
    assert_eq!((bounded.connections, bounded.body_bytes), (100, 1 << 20));
    assert_eq!(budget.within(usize::MAX, u64::MAX), budget);
    assert!(!bounded.is_nearly_full(74) && bounded.is_nearly_full(75));
}

#[rstest]
#[case::calm(1, 0, 0, 0, false)]
#[case::flooded(157, 172, 0, 0, true)]
#[case::flooded_for_one_probe(157, 1, 0, 0, false)]
#[case::flooded_and_the_next_probe_is_overdue(157, 1, 60, 0, true)]
#[case::flooded_within_one_round(1, 1, 60, 40, true)]
#[case::a_burst_within_one_round(1, 1, 20, 40, false)]
#[case::over(1, 157, 0, 0, false)]
#[case::just_woken(1, 1, 3000, 0, false)]
#[case::just_woken_to_a_few_requests(1, 1, 3000, 5, false)]
#[case::woken_a_moment_ago(3000, 1, 0, 0, false)]
fn can_tell_a_flood_from_a_pause(
    #[case] last: u64,
    #[case] before: u64,
    #[case] overdue: u64,
    #[case] taken: u64,
    #[case] is_late: bool,
) {
    // A VM that was stopped for some seconds refused the first request after it went on,
    // though it had nothing to do: its one probe was seconds late.
    let probes = Probes {
        last_ms: last,
        previous_ms: before,
        overdue_ms: overdue,
        admitted: taken,
    };
    let late_ms = probes.lateness();
    assert_eq!(late_ms >= OVERLOAD_LATENESS_MS, is_late);
    let connection = Admission::for_connection(late_ms, Arrivals::default(), u64::MAX);
    assert_eq!(connection == Admission::Close, is_late);
    assert_eq!(
        Admission::for_request(late_ms) == Admission::Refuse,
        is_late
    );
}

#[test]
fn callers_are_sent_to_another_router_once_that_helps() {
    // Symptom: one router has more to do than it can for as long as a large customer asks,
    // beside others with room.
    // Sequence: the router says that it is not ready, but the customer's callers keep their
    // connections to it.
    // Cause: nothing tells them to connect anew, which brings them to another router only
    // once new connections go there.
    let mut overload = Overload::default();
    let mut away = None;
    for now in (0..12_000).step_by(60) {
        let is_away = overload.probe(Millis(now), 60, false);
        if is_away {
            let since = *away.get_or_insert(now);
            assert_eq!(overload.is_bypassed(Millis(now)), now - since >= 2000);
        } else {
            away = None;
            assert!(!overload.is_bypassed(Millis(now)));
        }
    }
}

#[test]
fn a_flood_that_comes_back_at_once_keeps_a_router_away_for_longer() {
    // Symptom: of a large customer's requests half are refused, beside 290 routers with room.
    // Sequence: its router turns it away and is calm; two seconds later it takes its callers
    // again, all of them, and is overloaded at once: `overload away=true late_ms=203`, two
    // seconds later `away=false late_ms=2`, and so on.
    // Cause: calm was taken for the end of the flood.
    let mut overload = Overload::default();
    let (mut now, mut was, mut here) = (0, false, 0);
    let mut stays = Vec::new();
    let mut since = 0;
    while now < 60_000 {
        // Callers come for as long as they are not turned away.
        let late_ms = if was { 1 } else { 150 };
        now += STEP + late_ms;
        here += if was { 0 } else { STEP + late_ms };
        let is = overload.probe(Millis(now), late_ms, false);
        if was && !is {
            stays.push(now - since);
        } else if is && !was {
            since = now;
        }
        was = is;
    }
    assert!(
        stays.windows(2).all(|pair| pair[0] <= pair[1] + 50),
        "{stays:?}"
    );
    assert!(
        stays
            .last()
            .is_some_and(|stay| (15_000..21_000).contains(stay)),
        "{stays:?}"
    );
    assert!(here < 6000, "{here}");
}

#[rstest]
#[case::calm(10, 9, false)]
#[case::a_burst(50, 4, false)]
#[case::all_are_busy(200, 180, false)]
#[case::one_customer(200, 10, true)]
fn can_tell_a_hot_spot_from_a_busy_fleet(
    #[case] here: usize,
    #[case] usual: usize,
    #[case] is_hot: bool,
) {
    let mut spot = HotSpot::default();
    spot.update(here, usual);
    assert_eq!(spot.is_hot(), is_hot);
}

#[test]
fn a_hot_spot_sends_callers_on_before_it_is_late_and_until_it_is_cool() {
    // Symptom: half of a large customer's requests are refused at one router after the
    // other, each for seconds, beside 290 with room.
    // Sequence: its callers come to one router, which serves what it can of them on the
    // connections that they keep, and runs late with the rest.
    // Cause: new callers are sent on only when it is late, and come back while it still
    // serves as much as it can.
    let mut overload = Overload::default();
    let mut spot = HotSpot::default();
    let mut away = Vec::new();
    for now in (STEP..30_000).step_by(20) {
        let here = if (2000..15_000).contains(&now) {
            300
        } else {
            10
        };
        spot.update(here, 10);
        overload.set_hot(spot.is_hot());
        // It is calm all along.
        if overload.probe(Millis(now), 5, false) {
            away.push(now);
        }
    }
    let (first, last) = (away[0], away[away.len() - 1]);
    assert!((2000..2100).contains(&first), "{first}");
    assert!((14_900..15_100).contains(&last), "{last}");
    assert_eq!(away.len() as u64, (last - first) / 20 + 1);
}

#[test]
fn a_flooded_router_lets_in_about_as_much_as_it_can_serve() {
    // A flooded router accepted whatever waited whenever its tasks were not late, and refused
    // most of it after reading: `accepted=+1185 asked=+2251 sent=+117` in one second.
    let mut limit = Limit::default();
    let mut let_in = Vec::new();
    for _ in 0..200 {
        // 40 connections come between two probes; with more than 10 of them tasks run late.
        let taken = limit.connections_max().min(40);
        let late_ms = if taken > 10 {
            OVERLOAD_LATENESS_MS + 10 * (taken - 10)
        } else {
            5
        };
        limit.probe(late_ms, taken);
        let_in.push(taken);
    }
    let settled = &let_in[20..];
    let mean = settled.iter().sum::<u64>() / settled.len() as u64;
    assert!((7..=11).contains(&mean), "{mean}");
    assert!(settled.iter().all(|n| *n <= 12), "{settled:?}");
    // Once the flood is over, nothing is bounded after a while.
    for _ in 0..100 {
        limit.probe(2, 3);
    }
    assert!(limit.connections_max() > 1000, "{limit:?}");
}

#[test]
fn what_is_beyond_a_bound_costs_a_flooded_router_nothing() {
    let of = |taken, closed| {
        Admission::for_connection(
            0,
            Arrivals {
                admitted: taken,
                closed,
            },
            8,
        )
    };
    assert_eq!(of(7, 0), Admission::Admit);
    assert_eq!(of(8, 0), Admission::Close);
    assert_eq!(of(8, 1000), Admission::Wait);
}

#[rstest]
#[case::after_a_pause(5000, 1, 3, false)]
#[case::after_a_burst(80, 1, 40, true)]
#[case::flooded(80, 80, 3, true)]
fn a_pause_does_not_lower_the_limit(
    #[case] last: u64,
    #[case] before: u64,
    #[case] taken: u64,
    #[case] is_lower: bool,
) {
    // A VM that was suspended, or held up once, has done nothing to be late: it would close
    // the first connections that come after it.
    let mut limit = Limit::default();
    limit.probe(Probes::sustained(last, before, taken), taken);
    assert_eq!(limit.connections_max() < 100, is_lower);
}
