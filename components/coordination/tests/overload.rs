//! Overload detection, load shedding, and the resource limits of a router.

use coordination::admission::{Admission, Arrivals, Limit, Probes};
use coordination::budget::{Budget, Resources};
use coordination::overload::{HotSpot, Overload, OVERLOAD_LATENESS_MS};
use rstest::rstest;
use state::clock::Millis;

/// Time between two probes, in milliseconds.
const PROBE_MS: u64 = 20;

/// Probes until `to` with the lateness that `late` returns for each time. Returns when the
/// router became unready (true) or ready (false).
fn simulate<F>(overload: &mut Overload, to: u64, late: F) -> Vec<(u64, bool)>
where
    F: Fn(u64) -> u64,
{
    let mut changes: Vec<(u64, bool)> = Vec::new();
    let mut was = false;
    let mut now = 0;
    while now < to {
        let late_ms = late(now);
        now += PROBE_MS + late_ms;
        let is = overload.probe(Millis(now), late_ms, false);
        if is != was {
            changes.push((now, is));
        }
        was = is;
    }
    changes
}

#[test]
fn can_stay_ready_during_a_short_burst() {
    // All callers return at once after an outage: tasks run 130 ms late for a tenth of a
    // second, and on time afterwards.
    let mut overload = Overload::default();
    let late = |now| if (1000..1100).contains(&now) { 130 } else { 1 };
    assert_eq!(simulate(&mut overload, 5000, late), []);
}

#[test]
fn can_stay_ready_after_a_suspension() {
    // A VM that was suspended for five seconds measures one probe five seconds late, and has
    // nothing to do afterwards.
    let mut overload = Overload::default();
    let late = |now| if (1000..1030).contains(&now) { 5000 } else { 1 };
    assert_eq!(simulate(&mut overload, 9000, late), []);
}

#[test]
fn stays_ready_while_other_routers_take_the_excess() {
    // Symptom: a flood moves from one router to the next every few seconds, and each refuses most of
    // it until it has found out what it can serve.
    // Cause: a router that hands its excess over becomes unready as if it refused it.
    let flooded = |late_ms: u64, is_relieved: bool| {
        let mut overload = Overload::default();
        overload.set_relieved(is_relieved);
        overload.set_hot(is_relieved);
        simulate(&mut overload, 5000, |_| late_ms)
    };
    assert_ne!(flooded(60, false), []);
    assert_eq!(flooded(60, true), []);
    // More arrives than the router can even hand over.
    assert_ne!(flooded(120, true), []);
}

#[test]
fn can_become_unready_without_room_for_connections() {
    // Symptom: a router reports itself as ready and closes every new connection at once.
    // Cause: all its connections are in use, but its tasks are not late.
    let mut overload = Overload::default();
    let unready = (1..100).find(|n| overload.probe(Millis(n * PROBE_MS), 1, true));
    assert!(unready.is_some_and(|n| n * PROBE_MS < 1000), "{unready:?}");
}

#[test]
fn can_become_unready_while_one_customer_floods_this_router() {
    // Symptom: a flooded router runs out of memory while all others are nearly idle.
    // Sequence: one customer's callers all come to one router, whose tasks run 100 to 250 ms
    // late, with thousands of connections.
    // Cause: the router still reports itself as ready. Load balancers need two failed probes,
    // a second apart, to send new callers to other routers.
    let mut overload = Overload::default();
    let late = |now| if (1000..3000).contains(&now) { 157 } else { 1 };
    let changes = simulate(&mut overload, 20_000, late);
    let [(unready, true), (ready, false)] = changes[..] else {
        unreachable!("{changes:?}");
    };
    assert!((1000..2500).contains(&unready), "{unready}");
    assert!(ready - unready >= 2300, "{changes:?}");
    assert!(ready < 6000, "{changes:?}");
}

#[test]
fn can_become_ready_again_where_every_router_is_overloaded() {
    // With every router of a data centre unready, none is relieved, and callers go to a more
    // distant data centre.
    let mut overload = Overload::default();
    let changes = simulate(&mut overload, 60_000, |_| OVERLOAD_LATENESS_MS * 3);
    let mut unready_ms = 0;
    for pair in changes.chunks_exact(2) {
        let [(unready, true), (ready, false)] = pair[..] else {
            unreachable!("{changes:?}");
        };
        assert!(ready - unready <= 5200, "{changes:?}");
        unready_ms += ready - unready;
    }
    assert!(changes.len() > 8 && unready_ms < 45_000, "{changes:?}");
}

#[rstest]
#[case::a_small_vm(64_000_000, 200)]
#[case::one_of_fifty_five(160_000_000, 4100)]
#[case::one_of_six(260_000_000, 4100)]
#[case::a_large_vm_with_few_descriptors(8_000_000_000, 1024)]
#[case::a_large_vm(8_000_000_000, 1_000_000)]
fn can_stay_within_the_resources_of_the_vm(#[case] memory: u64, #[case] descriptors: u64) {
    // Guards against a fixed connection limit: 4,096 connections of 36 KB each take 147 MB of
    // a VM of 160 MB, and 4,096 of its 4,100 descriptors.
    let budget = Budget::from(Resources {
        memory_bytes: memory,
        descriptors,
    });
    let connections = u64::try_from(budget.connections).unwrap();
    let idle = u64::try_from(budget.idle_connections).unwrap();
    let process = 24_000_000;
    let used = process + connections * (36_000 + 20_000) + idle * 20_000 + budget.body_bytes;
    assert!(used < memory, "{budget:?}");
    // Each caller connection may need a connection to an endpoint.
    assert!(2 * connections + idle + 32 < descriptors, "{budget:?}");
    assert!(connections >= 16 && idle >= 16, "{budget:?}");
}

#[test]
fn can_apply_lower_limits_of_operators() {
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
#[case::flood_has_ended(1, 157, 0, 0, false)]
#[case::just_resumed(1, 1, 3000, 0, false)]
#[case::just_resumed_with_a_few_requests(1, 1, 3000, 5, false)]
#[case::resumed_a_moment_ago(3000, 1, 0, 0, false)]
fn can_distinguish_a_flood_from_a_pause(
    #[case] last: u64,
    #[case] previous: u64,
    #[case] overdue: u64,
    #[case] admitted: u64,
    #[case] is_late: bool,
) {
    // Symptom: a VM that was suspended for some seconds refuses the first request after it
    // resumes, though it has nothing to do.
    // Cause: a single probe that is seconds late counts as overload.
    let probes = Probes {
        last_ms: last,
        previous_ms: previous,
        overdue_ms: overdue,
        admitted,
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
fn is_bypassed_once_load_balancers_have_noticed() {
    // Symptom: one router stays overloaded for as long as a large customer sends requests,
    // while others have room.
    // Sequence: the router becomes unready, but the customer's callers keep their connections
    // to it.
    // Cause: nothing makes them reconnect, which moves them to another router only once load
    // balancers bypass this one.
    let mut overload = Overload::default();
    let mut unready_since = None;
    for now in (0..12_000).step_by(60) {
        let is_unready = overload.probe(Millis(now), 60, false);
        if is_unready {
            let since = *unready_since.get_or_insert(now);
            assert_eq!(overload.is_bypassed(Millis(now)), now - since >= 2000);
        } else {
            unready_since = None;
            assert!(!overload.is_bypassed(Millis(now)));
        }
    }
}

#[test]
fn each_relapse_keeps_a_router_unready_for_longer() {
    // Symptom: half of a large customer's requests are refused while 290 routers have room.
    // Sequence: the customer's router becomes unready and is calm; two seconds later it is
    // ready, receives all the callers again, and is overloaded at once, over and over.
    // Cause: the calm is mistaken for the end of the flood.
    let mut overload = Overload::default();
    let (mut now, mut was, mut ready_ms) = (0, false, 0);
    let mut stays = Vec::new();
    let mut since = 0;
    while now < 60_000 {
        // Callers come while the router is ready.
        let late_ms = if was { 1 } else { 150 };
        now += PROBE_MS + late_ms;
        ready_ms += if was { 0 } else { PROBE_MS + late_ms };
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
    assert!(ready_ms < 6000, "{ready_ms}");
}

#[rstest]
#[case::calm(10, 9, false)]
#[case::a_burst(50, 4, false)]
#[case::all_routers_are_busy(200, 180, false)]
#[case::one_customer_floods_one_router(200, 10, true)]
fn can_distinguish_a_hot_spot_from_a_busy_fleet(
    #[case] here: usize,
    #[case] average: usize,
    #[case] is_hot: bool,
) {
    let mut spot = HotSpot::default();
    spot.update(here, average);
    assert_eq!(spot.is_hot(), is_hot);
}

#[test]
fn a_hot_spot_is_unready_before_it_is_late_and_until_it_has_cooled_down() {
    // Symptom: half of a large customer's requests are refused for seconds at one router after
    // the other, while 290 have room.
    // Sequence: the customer's callers come to one router, which serves as many as it can on
    // the connections that they keep, and is late with the rest.
    // Cause: the router becomes unready only when it is late, and ready again while it still
    // serves as much as it can.
    let mut overload = Overload::default();
    let mut spot = HotSpot::default();
    let mut unready = Vec::new();
    for now in (PROBE_MS..30_000).step_by(20) {
        let here = if (2000..15_000).contains(&now) {
            300
        } else {
            10
        };
        spot.update(here, 10);
        overload.set_hot(spot.is_hot());
        // The router is never late.
        if overload.probe(Millis(now), 5, false) {
            unready.push(now);
        }
    }
    let (first, last) = (unready[0], unready[unready.len() - 1]);
    assert!((2000..2100).contains(&first), "{first}");
    assert!((14_900..15_100).contains(&last), "{last}");
    assert_eq!(unready.len() as u64, (last - first) / 20 + 1);
}

#[test]
fn a_flooded_router_admits_about_as_much_as_it_can_serve() {
    // Symptom: a flooded router serves one in twenty of the requests that it reads.
    // Cause: it accepts every waiting connection whenever its tasks are not late, and refuses
    // most of the requests after reading them.
    let mut limit = Limit::default();
    let mut admissions = Vec::new();
    for _ in 0..200 {
        // 40 connections arrive between two probes; tasks run late if over 10 are admitted.
        let admitted = limit.connections_max().min(40);
        let late_ms = if admitted > 10 {
            OVERLOAD_LATENESS_MS + 10 * (admitted - 10)
        } else {
            5
        };
        limit.probe(late_ms, admitted);
        admissions.push(admitted);
    }
    let settled = &admissions[20..];
    let mean = settled.iter().sum::<u64>() / settled.len() as u64;
    assert!((7..=11).contains(&mean), "{mean}");
    assert!(settled.iter().all(|n| *n <= 12), "{settled:?}");
    // Some time after the flood the limit no longer matters.
    for _ in 0..100 {
        limit.probe(2, 3);
    }
    assert!(limit.connections_max() > 1000, "{limit:?}");
}

#[test]
fn connections_beyond_the_bounds_are_left_in_the_accept_queue() {
    let decide = |admitted, closed| {
        let arrivals = Arrivals {
            admitted,
            refused: 0,
            closed,
        };
        Admission::for_connection(0, arrivals, 8)
    };
    assert_eq!(decide(7, 0), Admission::Admit);
    assert_eq!(decide(8, 0), Admission::Close);
    assert_eq!(decide(8, 1000), Admission::Wait);
}

#[rstest]
#[case::after_a_pause(5000, 1, 3, false)]
#[case::after_a_burst(80, 1, 40, true)]
#[case::flooded(80, 80, 3, true)]
fn a_pause_does_not_lower_the_limit(
    #[case] last: u64,
    #[case] previous: u64,
    #[case] admitted: u64,
    #[case] is_lower: bool,
) {
    // A VM that was suspended or held up once is not overloaded. With a lower limit it would
    // close the first connections after the pause.
    let mut limit = Limit::default();
    limit.probe(Probes::sustained(last, previous, admitted), admitted);
    assert_eq!(limit.connections_max() < 100, is_lower);
}
