//! Attribution of endpoints' crashes to parts of prompts.

use coordination::attribution::{
    Attribution, Survivals, BREAK_SPREAD_MICROS, CRASHES_MAX, CRASH_SUSPECTS_MAX, SETTLE_MS,
    SIMULTANEOUS_MICROS, STALE_MICROS, SURVIVALS_MAX, SURVIVAL_MS,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use state::clock::{Millis, Stamp};
use state::fingerprint::Fingerprint;
use state::id::{CustomerId, EndpointId, PartId};
use state::suspect::{
    Break, Completion, Evidence, Status, Statuses, Survival, Suspects, QUARANTINE_CRASHES,
    QUARANTINE_MICROS, WATCH_CRASHES,
};
use std::collections::BTreeMap;

/// A part that all prompts share, and one that crashes endpoints.
const SHARED: PartId = PartId(0xa1);
const DEADLY: PartId = PartId(0xdead);
/// A part of one session's requests, or of a few.
const RARE: PartId = PartId(0x4a4e);

/// A leader, with the suspects that the fleet knows.
#[derive(Default)]
struct Leader {
    attribution: Attribution,
    suspects: Suspects,
    stamp: Stamp,
}

impl Leader {
    fn take(&mut self, ms: u64, evidence: Evidence) {
        let stamp = &mut self.stamp;
        let stamp = || stamp.tick(ms * 1000);
        let decided = (self.attribution).attribute(Millis(ms), evidence, &self.suspects, stamp);
        assert!(decided.breaks.is_empty() && decided.survivals.is_empty());
        decided
            .crashes
            .iter()
            .for_each(|c| self.suspects.record_crash(c));
        (decided.cleared.iter()).for_each(|c| self.suspects.record_completion(c));
    }

    fn break_off(&mut self, broken: Break) {
        let ms = broken.at.wall / 1000;
        let evidence = Evidence {
            breaks: vec![broken],
            ..Evidence::default()
        };
        self.take(ms, evidence);
    }

    /// An endpoint crashes every second, with one request that has these parts in progress, and all
    /// reports come in.
    fn crash(&mut self, second: u64, parts: &[PartId]) {
        self.crash_with(broken(second, parts));
    }

    fn crash_with(&mut self, broken: Break) {
        let ms = broken.at.wall / 1000;
        self.break_off(broken);
        self.take(ms + SETTLE_MS, Evidence::default());
    }

    fn survive(&mut self, ms: u64, part: PartId) {
        let evidence = Evidence {
            survivals: vec![Survival {
                part,
                at: at_ms(ms),
            }],
            ..Evidence::default()
        };
        self.take(ms, evidence);
    }

    fn statuses(&self) -> Statuses {
        self.suspects.statuses(1)
    }

    /// Whether requests of a customer with a part are refused.
    fn refuses(&self, part: PartId, customer: u32) -> bool {
        let statuses = self.statuses();
        [None, Some(CustomerId(customer))].iter().any(|scope| {
            let found = statuses.get(&Fingerprint::of_part(part, *scope));
            found == Some(&Status::Quarantined)
        })
    }

    fn refuses_all(&self, part: PartId) -> bool {
        let found = self
            .statuses()
            .get(&Fingerprint::of_part(part, None))
            .copied();
        found == Some(Status::Quarantined)
    }
}

fn at_ms(ms: u64) -> Stamp {
    Stamp {
        wall: ms * 1000,
        count: 0,
    }
}

/// The crash of second `second`, at an endpoint of its own.
fn broken(second: u64, parts: &[PartId]) -> Break {
    Break {
        endpoint: EndpointId(u32::try_from(second).unwrap_or_default()),
        customer: CustomerId(1),
        sent: at_ms(second * 1000 + 800),
        at: at_ms(second * 1000 + 900),
        parts: parts.iter().copied().zip(0..).collect(),
    }
}

/// Guards against requests that share a part, no two alike, whose crashes never add up.
#[test]
fn blames_a_part_in_three_crashes() {
    let mut leader = Leader::default();
    for second in 1..=3 {
        assert!(!leader.refuses(DEADLY, 1));
        leader.crash(second, &[DEADLY]);
    }
    assert!(leader.refuses(DEADLY, 1));
}

/// Guards against counting the reports of several routers on one endpoint as several crashes.
#[test]
fn reports_on_one_endpoint_make_one_crash() {
    let mut leader = Leader::default();
    for second in 1..=2 {
        for router in 0..20 {
            let mut one = broken(second, &[DEADLY]);
            one.at = at_ms(second * 1000 + 900 + router * BREAK_SPREAD_MICROS / 20_000);
            leader.break_off(one);
        }
    }
    assert!(!leader.refuses(DEADLY, 1));
}

/// Guards against counting requests that routers send to an endpoint after it has crashed, until they
/// notice.
#[test]
fn a_request_sent_after_the_crash_is_no_suspect() {
    let mut leader = Leader::default();
    leader.crash(1, &[DEADLY]);
    for ms in [1901, 1930, 1960, 1900 + STALE_MICROS / 1000] {
        leader.break_off(Break {
            sent: at_ms(ms),
            at: at_ms(ms + 110),
            ..broken(1, &[RARE])
        });
    }
    leader.take(3000, Evidence::default());
    assert!(!leader.refuses(RARE, 1));
    let scope = Fingerprint::of_part(RARE, Some(CustomerId(1)));
    assert!(!leader.statuses().contains_key(&scope));
}

/// Guards against an endpoint that is back under its name at once, whose next crash is taken for a late
/// report of the last one.
#[test]
fn crashes_of_an_endpoint_that_starts_again_at_once_count() {
    let mut leader = Leader::default();
    for ms in [1000, 1150, 1300] {
        leader.crash_with(Break {
            sent: at_ms(ms),
            at: at_ms(ms + 40),
            ..broken(1, &[DEADLY])
        });
    }
    assert!(leader.refuses(DEADLY, 1));
}

/// Guards against the blame of a part that all prompts share and that nothing has answered yet, since
/// its reports came before those of the deadly part, or one of these was lost.
#[rstest]
#[case::late(3)]
#[case::lost(2)]
fn a_shared_part_is_not_blamed_before_the_deadly_one(#[case] reported: u64) {
    let mut leader = Leader::default();
    for second in 1..=3 {
        leader.break_off(broken(second, &[SHARED]));
        assert!(!leader.refuses(SHARED, 1));
        if second <= reported {
            leader.break_off(broken(second, &[SHARED, DEADLY]));
        }
        let settled = second * 1000 + 900 + SETTLE_MS;
        leader.take(settled, Evidence::default());
        assert!(!leader.refuses(SHARED, 1));
    }
    assert_eq!(leader.refuses(DEADLY, 1), reported == 3);
    leader.crash(4, &[SHARED, DEADLY]);
    assert!(leader.refuses(DEADLY, 1) && !leader.refuses(SHARED, 1));
}

/// Guards against the blame of a part that all prompts share, whose requests are in progress at
/// every crash.
#[test]
fn a_part_that_endpoints_answer_is_not_blamed() {
    let mut leader = Leader::default();
    leader.survive(500, SHARED);
    for second in 1..=8 {
        leader.crash(second, &[SHARED, DEADLY]);
    }
    assert!(leader.refuses(DEADLY, 1));
    assert!(!leader.refuses(SHARED, 1));
}

/// Guards against the blame of bystanders: a part that is in progress at some of the crashes that
/// another part explains.
#[test]
fn crashes_that_another_part_explains_do_not_count() {
    let mut leader = Leader::default();
    leader.crash(1, &[DEADLY]);
    for second in 2..=4 {
        leader.crash(second, &[DEADLY]);
        leader.break_off(Break {
            customer: CustomerId(2),
            ..broken(second, &[RARE])
        });
    }
    assert!(leader.refuses(DEADLY, 1));
    assert!(!leader.refuses(RARE, 2));
    let scope = Fingerprint::of_part(RARE, Some(CustomerId(2)));
    assert!(!leader.statuses().contains_key(&scope));
}

/// Guards against a wrong verdict that stays: a session was in progress at the same first crashes.
#[test]
fn a_part_that_was_blamed_in_place_of_another_is_released() {
    let mut leader = Leader::default();
    for second in 1..=3 {
        leader.crash(second, &[DEADLY, RARE]);
    }
    // The two cannot be told apart; the deeper part is shared by fewer requests.
    assert!(leader.refuses(RARE, 1) && !leader.refuses(DEADLY, 1));
    // The report of a request with the first part may have been lost once, not twice.
    leader.crash(4, &[DEADLY]);
    leader.crash(5, &[DEADLY]);
    assert!(!leader.refuses(RARE, 1) && leader.refuses(DEADLY, 1));
}

/// Guards against a loss of a rack that is taken for a part that all its requests share.
#[test]
fn simultaneous_crashes_count_once() {
    let mut leader = Leader::default();
    for endpoint in 0..20 {
        // Requests with the part are sent all the time.
        leader.crash_with(Break {
            endpoint: EndpointId(endpoint),
            sent: at_ms(1999 + u64::from(endpoint)),
            at: at_ms(2000 + u64::from(endpoint)),
            ..broken(1, &[RARE])
        });
    }
    assert!(!leader.refuses(RARE, 1));
    let counts: Vec<u32> = (leader.attribution.standings(Millis(9000)).iter())
        .map(|s| s.crashes)
        .collect();
    assert_eq!(counts, [1]);
}

/// Guards against copies in progress at several endpoints that crash one after the other and count
/// once, since all were sent before the first crash.
#[test]
fn crashes_of_copies_that_were_sent_before_the_first_one_count() {
    let mut leader = Leader::default();
    for endpoint in 0..3 {
        leader.crash_with(Break {
            endpoint: EndpointId(endpoint),
            sent: at_ms(1000),
            at: at_ms(1100 + u64::from(endpoint) * SIMULTANEOUS_MICROS / 1000),
            ..broken(1, &[DEADLY])
        });
    }
    assert!(leader.refuses(DEADLY, 1));
}

/// Guards against a customer that sends another's part beside one that crashes endpoints.
#[test]
fn one_customer_cannot_have_a_part_refused_to_others() {
    let mut leader = Leader::default();
    for second in 1..=10 {
        leader.crash(second, &[RARE]);
    }
    assert!(leader.refuses(RARE, 1));
    assert!(!leader.refuses(RARE, 2));
    leader.crash_with(Break {
        customer: CustomerId(2),
        ..broken(11, &[RARE])
    });
    assert!(leader.refuses_all(RARE));
}

/// Guards against a faulty release that is blamed on the parts that all prompts share, so that they are
/// refused to the endpoints that still answer them.
#[test]
fn a_part_that_other_endpoints_answer_is_not_blamed_for_a_faulty_release() {
    let mut leader = Leader::default();
    for second in 1..=20 {
        leader.survive(second * 1000, SHARED);
        leader.crash(second, &[SHARED]);
    }
    assert!(!leader.refuses(SHARED, 1));
    // Once nothing answers it any more, it is refused.
    for second in 0..3 {
        leader.crash(21 + SURVIVAL_MS / 1000 + second, &[SHARED]);
    }
    assert!(leader.refuses(SHARED, 1));
}

/// Guards against reports under way that bring back a part which an answer has cleared.
#[test]
fn a_late_report_does_not_count_after_an_answer() {
    let mut leader = Leader::default();
    leader.crash(1, &[RARE]);
    leader.crash(2, &[RARE]);
    leader.survive(3000, RARE);
    assert!(leader.statuses().is_empty());
    leader.crash(3, &[RARE]);
    assert!(leader.statuses().is_empty());
    let later = 4 + SURVIVAL_MS / 1000;
    leader.crash(later, &[RARE]);
    assert_eq!(leader.statuses().len(), 1);
}

/// Guards against crashes that are forgotten with the leader.
#[test]
fn a_new_leader_goes_on_from_the_replicated_counts() {
    let mut leader = Leader::default();
    leader.crash(1, &[DEADLY]);
    leader.crash(2, &[DEADLY]);
    leader.attribution.reset();
    leader.crash(3, &[DEADLY]);
    assert!(leader.refuses(DEADLY, 1));
}

/// Guards against a quarantine that ends when a new leader sees the part of a second customer.
#[test]
fn a_second_customer_does_not_lift_the_quarantine_of_the_first() {
    let mut leader = Leader::default();
    leader.crash(1, &[DEADLY]);
    leader.crash(2, &[DEADLY]);
    leader.attribution.reset();
    for (second, customer) in [(3, 2), (4, 1)] {
        leader.crash_with(Break {
            customer: CustomerId(customer),
            ..broken(second, &[DEADLY])
        });
    }
    assert!(leader.refuses(DEADLY, 1));
    leader.crash_with(Break {
        customer: CustomerId(2),
        ..broken(5, &[DEADLY])
    });
    assert!(leader.refuses(DEADLY, 1) && leader.refuses_all(DEADLY));
}

/// Guards against crashes that are lost with a proposal that the log refuses.
#[test]
fn a_decision_that_was_lost_is_made_again() {
    let mut leader = Leader::default();
    leader.crash(1, &[DEADLY]);
    leader.crash(2, &[DEADLY]);
    leader.break_off(broken(3, &[DEADLY]));
    let settled = 3900 + SETTLE_MS;
    let mut stamp = leader.stamp;
    let stamp = || stamp.tick(settled * 1000);
    let nothing = Evidence::default();
    let decided = (leader.attribution).attribute(Millis(settled), nothing, &leader.suspects, stamp);
    assert_eq!(decided.crashes.len(), 1);
    leader.attribution.revert();
    assert!(leader.attribution.has_settled(Millis(settled + 20)));
    leader.take(settled + 20, Evidence::default());
    assert!(leader.refuses(DEADLY, 1));
    // A resend of what was accepted changes nothing.
    leader.crash(3, &[DEADLY]);
    let again = leader.statuses();
    assert_eq!(again.len(), 1);
}

/// Guards against a part that is refused for good once an operator has released it, or never again.
#[test]
fn a_released_part_is_blamed_again_after_three_crashes() {
    let mut leader = Leader::default();
    for second in 1..=3 {
        leader.crash(second, &[DEADLY]);
    }
    let released = Evidence {
        cleared: vec![Completion {
            fingerprint: Fingerprint::of_part(DEADLY, Some(CustomerId(1))),
            at: at_ms(5000),
        }],
        ..Evidence::default()
    };
    leader.take(5000, released);
    assert!(!leader.refuses(DEADLY, 1));
    for second in 6..=8 {
        assert!(!leader.refuses(DEADLY, 1));
        leader.crash(second, &[DEADLY]);
    }
    assert!(leader.refuses(DEADLY, 1));
}

/// Guards against a release that has the part refused which always came with the released one.
#[test]
fn a_release_does_not_shift_the_blame_to_another_part() {
    let mut leader = Leader::default();
    for second in 1..=3 {
        leader.crash(second, &[SHARED, DEADLY]);
    }
    let fingerprint = Fingerprint::of_part(DEADLY, Some(CustomerId(1)));
    let at = at_ms(5000);
    let released = Evidence {
        cleared: vec![Completion { fingerprint, at }],
        ..Evidence::default()
    };
    leader.take(5000, released);
    assert!(!leader.refuses(DEADLY, 1) && !leader.refuses(SHARED, 1));
    leader.crash(6, &[SHARED, DEADLY]);
    assert!(!leader.refuses(DEADLY, 1) && !leader.refuses(SHARED, 1));
}

/// Guards against a quarantine that is lifted since the crashes behind it are no longer remembered.
#[test]
fn a_verdict_outlives_its_crashes() {
    let mut leader = Leader::default();
    for second in 1..=3 {
        leader.crash(second, &[DEADLY]);
    }
    for second in 4..4 + 2 * u64::try_from(CRASHES_MAX).unwrap() {
        leader.crash(second, &[PartId(second)]);
    }
    assert!(leader.refuses(DEADLY, 1));
    leader.crash(1 + QUARANTINE_MICROS / 1_000_000, &[PartId(1)]);
    assert!(leader.refuses(DEADLY, 1));
}

/// Guards against unbounded state.
#[test]
fn bounds_crashes_suspects_and_survivals() {
    let mut leader = Leader::default();
    for second in 0..3 * u64::try_from(CRASHES_MAX).unwrap() {
        let parts: Vec<PartId> = (0..100).map(|n| PartId(second * 1000 + n)).collect();
        leader.crash(second, &parts);
    }
    let known = leader.attribution.standings(Millis(0)).len();
    assert!(known <= CRASHES_MAX * CRASH_SUSPECTS_MAX, "{known}");
    let mut survivals = Survivals::default();
    for n in 0..3 * u64::try_from(SURVIVALS_MAX).unwrap() {
        survivals.record(Millis(n / 100), PartId(n));
    }
    assert!(survivals.len() <= SURVIVALS_MAX);
}

/// A request of the simulated fleet, in progress at an endpoint.
struct Running {
    parts: Vec<PartId>,
    sent: u64,
    /// When it begins to write its answer.
    writes: u64,
    /// When its answer ends.
    ends: u64,
    router: usize,
    has_survived: bool,
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Endpoints that the part has crashed.
    crashed: usize,
    /// Milliseconds from the first crash to the last one.
    lasted_ms: u64,
    /// Sound requests that were refused, and all of them.
    refused: usize,
    sound: usize,
}

/// Simulates routers that send sound requests and, after two seconds, `deadly` requests a second that
/// share a part and crash each endpoint on which they begin to write. Each router learns verdicts
/// and reports breaks with a delay of `delay_ms` each way.
fn simulate(seed: u64, routers: usize, endpoints: usize, deadly: f64, delay_ms: u64) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut leader = Leader::default();
    let mut survivals: Vec<Survivals> = vec![Survivals::default(); routers];
    let mut running: Vec<Vec<Running>> = (0..endpoints).map(|_| Vec::new()).collect();
    let mut down_until = vec![0_u64; endpoints];
    let mut reports: BTreeMap<u64, Vec<Evidence>> = BTreeMap::new();
    let mut views: Vec<(u64, Statuses)> = vec![(0, Statuses::new())];
    let mut outcome = Outcome::default();
    let mut first = 0;
    for now in 0..8000_u64 {
        let seen = now.saturating_sub(delay_ms);
        let view = views.iter().rev().find(|(at, _)| *at <= seen);
        let view = view.map(|(_, view)| view.clone()).unwrap_or_default();
        let status = |part: PartId| {
            let scopes = [None, Some(CustomerId(1)), Some(CustomerId(2))];
            let all = scopes.map(|scope| view.get(&Fingerprint::of_part(part, scope)).copied());
            all.into_iter().flatten().max()
        };
        let is_refused = |parts: &[PartId]| {
            let mut statuses = parts.iter().map(|part| status(*part));
            statuses.any(|s| s == Some(Status::Quarantined))
        };
        let send = |parts: Vec<PartId>, random: &mut Pcg64, running: &mut Vec<Vec<Running>>| {
            let up: Vec<usize> = (0..endpoints).filter(|e| down_until[*e] <= now).collect();
            if up.is_empty() {
                return;
            }
            let writes = now + random.random_range(100..400);
            running[up[random.random_range(0..up.len())]].push(Running {
                parts,
                sent: now,
                writes,
                ends: writes + 2000,
                router: random.random_range(0..routers),
                has_survived: false,
            });
        };
        // Each endpoint begins two sound requests a second, some with a part of a few requests.
        let sound = endpoints as f64 * 2.0 / 1000.0;
        if random.random_bool(sound.min(1.0)) {
            let own = PartId(0x100 + random.random_range(0..200));
            let parts = vec![SHARED, own];
            outcome.sound += usize::from(now >= 2000);
            match is_refused(&parts) {
                true => outcome.refused += 1,
                false => send(parts, &mut random, &mut running),
            }
        }
        // A router closes the connections of requests that have no answer yet.
        if is_refused(&[DEADLY]) {
            let is_cancelled = |r: &Running| r.writes > now && r.parts.contains(&DEADLY);
            running
                .iter_mut()
                .for_each(|all| all.retain(|r| !is_cancelled(r)));
        }
        if now >= 2000 && random.random_bool(deadly / 1000.0) && !is_refused(&[DEADLY]) {
            send(vec![SHARED, DEADLY], &mut random, &mut running);
        }
        for endpoint in 0..endpoints {
            for request in &mut running[endpoint] {
                let is_due = now >= request.writes + 1000 && !request.has_survived;
                if is_due {
                    request.has_survived = true;
                    for part in &request.parts {
                        survivals[request.router].record(Millis(now), *part);
                        if status(*part).is_some() {
                            let survival = Survival {
                                part: *part,
                                at: at_ms(now),
                            };
                            reports.entry(now + delay_ms).or_default().push(Evidence {
                                survivals: vec![survival],
                                ..Evidence::default()
                            });
                        }
                    }
                }
            }
            running[endpoint].retain(|r| r.ends > now);
            let is_deadly = |r: &Running| r.writes + 80 <= now && r.parts.contains(&DEADLY);
            if !running[endpoint].iter().any(is_deadly) {
                continue;
            }
            outcome.crashed += 1;
            first = if first == 0 { now } else { first };
            outcome.lasted_ms = now - first;
            down_until[endpoint] = now + 3000;
            for request in running[endpoint].drain(..) {
                let known = &survivals[request.router];
                let is_suspect = |p: &PartId| !known.rules_out(Millis(now), *p);
                let broken = Break {
                    endpoint: EndpointId(u32::try_from(endpoint as u64 + now * 1000).unwrap_or(0)),
                    customer: CustomerId(1 + u32::from(request.sent % 2 == 0)),
                    sent: at_ms(request.sent),
                    at: at_ms(now),
                    parts: (request.parts.iter().copied().zip(0..))
                        .filter(|(part, _)| is_suspect(part))
                        .collect(),
                };
                if !broken.parts.is_empty() {
                    reports.entry(now + delay_ms).or_default().push(Evidence {
                        breaks: vec![broken],
                        ..Evidence::default()
                    });
                }
            }
        }
        if let Some(due) = reports.remove(&now) {
            due.into_iter()
                .for_each(|evidence| leader.take(now, evidence));
            let statuses = leader.suspects.statuses(WATCH_CRASHES);
            let last = views
                .last()
                .map(|(_, view)| view.clone())
                .unwrap_or_default();
            let new = statuses.iter().filter(|(f, s)| last.get(f) != Some(s));
            // Routers that have had an answer to a part report it when it comes under suspicion.
            for (part, _) in new.filter_map(|(f, _)| f.part()) {
                let knows = |s: &&Survivals| s.rules_out(Millis(now), part);
                if survivals.iter().any(|s| knows(&s)) {
                    let survival = Survival {
                        part,
                        at: at_ms(now),
                    };
                    let at = now + 2 * delay_ms;
                    reports.entry(at).or_default().push(Evidence {
                        survivals: vec![survival],
                        ..Evidence::default()
                    });
                }
            }
            views.push((now, statuses));
        }
    }
    outcome
}

/// Guards against a fleet that loses endpoint after endpoint, at the rate of small and of large
/// fleets, and against a verdict that refuses sound requests beside it.
///
/// The crashes that cannot be avoided are those of the requests that were sent before the third crash
/// was known: at most the rate times the time from a request to its crash, its report and the
/// verdict, and the endpoints that there are.
#[rstest]
#[case::small(6, 9, 10.0, 60)]
#[case::grown(55, 143, 50.0, 100)]
#[case::large(291, 165, 200.0, 150)]
#[case::fleet(986, 1000, 500.0, 200)]
fn a_deadly_part_is_stopped_within_two_seconds(
    #[case] routers: usize,
    #[case] endpoints: usize,
    #[case] deadly: f64,
    #[case] delay_ms: u64,
) {
    for seed in 0..4 {
        let outcome = simulate(seed, routers, endpoints, deadly, delay_ms);
        println!("{routers} routers, {endpoints} endpoints, {deadly}/s: {outcome:?}");
        assert!(outcome.lasted_ms <= 2000, "{outcome:?}");
        let most = deadly * 2.0 + f64::from(QUARANTINE_CRASHES);
        assert!((outcome.crashed as f64) <= most, "{outcome:?}");
        assert!(outcome.refused * 20 <= outcome.sound, "{outcome:?}");
    }
}
