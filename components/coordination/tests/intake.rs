//! What a flooded router admits, refuses and closes, in a model of its processor.
//!
//! The load is that of docs/HARD-LOAD.md: 850 attempts a second come to one router on 0.12 of a
//! core, which can serve 300 or 550 of them.

use coordination::admission::{
    retry_after_ms, Admission, Arrivals, Intake, Limit, Period, Probes, Quota,
};
use coordination::budget::{Budget, Resources};
use coordination::overload::{Overload, OVERLOAD_LATENESS_MS};
use rstest::rstest;
use state::clock::Millis;
use std::collections::VecDeque;

/// Processor time of the router in each millisecond.
const PROCESSOR_US: u64 = 120;
/// Processor time to accept a connection and to close it unread.
const CLOSE_US: u64 = 17;
/// Processor time to accept a connection, read the head and refuse it without serving it.
const REFUSE_US: u64 = 28;
/// Processor time to read a request from an admitted connection and refuse it.
const REFUSE_ADMITTED_US: u64 = 60;
/// Pieces of an answer that are relayed after the request was sent, and the time between them.
const PIECES: u64 = 10;
const PIECE_MS: u64 = 50;
/// Most connections that wait to be accepted.
const BACKLOG_MAX: usize = 256;
/// Time that a caller allows for a connection.
const CALLER_MS: u64 = 1000;
/// Time between two probes.
const PROBE_MS: u64 = 20;

/// Work that waits for the processor.
enum Task {
    /// Read the request of an admitted connection.
    Read,
    /// Relay a piece of an answer.
    Relay,
    Probe,
}

/// Decision on connections that is under test.
enum Decision {
    /// Follows lateness alone.
    ByLateness(Limit),
    /// Follows what was served.
    ByService(Intake),
}

/// What became of the attempts.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    served: u64,
    refused: u64,
    /// Closed unread.
    closed: u64,
    /// Not accepted in time, or at all.
    unconnected: u64,
    /// Probes, and those that were late.
    probes: u64,
    late_probes: u64,
    unready_probes: u64,
}

impl Ends {
    fn total(&self) -> u64 {
        self.served + self.refused + self.closed + self.unconnected
    }
}

struct Router {
    decision: Decision,
    quota: Quota,
    serve_us: u64,
    /// Arrival times of the connections that wait to be accepted.
    backlog: VecDeque<u64>,
    tasks: VecDeque<Task>,
    /// Times at which pieces of answers arrive, in order.
    pieces: VecDeque<u64>,
    tasks_until_accept: usize,
    credit_us: i64,
    probe_due_ms: u64,
    is_probe_queued: bool,
    probed_at_ms: u64,
    last_ms: u64,
    previous_ms: u64,
    period: Period,
    overload: Overload,
    /// Part of the admitted requests that endpoints take, in percent; the others are refused.
    taken_percent: u64,
    reads: u64,
    ends: Ends,
}

impl Router {
    fn new(decision: Decision, capacity_per_s: u64) -> Self {
        let quota = match &decision {
            Decision::ByLateness(limit) => Quota::closing_excess(limit.connections_max()),
            Decision::ByService(intake) => intake.quota(),
        };
        Router {
            decision,
            quota,
            serve_us: PROCESSOR_US * 1000 / capacity_per_s,
            backlog: VecDeque::new(),
            tasks: VecDeque::new(),
            pieces: VecDeque::new(),
            tasks_until_accept: 0,
            credit_us: 0,
            probe_due_ms: PROBE_MS,
            is_probe_queued: false,
            probed_at_ms: 0,
            last_ms: 0,
            previous_ms: 0,
            period: Period::default(),
            overload: Overload::default(),
            taken_percent: 100,
            reads: 0,
            ends: Ends::default(),
        }
    }

    fn lateness(&self, now: u64) -> u64 {
        let probes = Probes {
            last_ms: self.last_ms,
            previous_ms: self.previous_ms,
            overdue_ms: now.saturating_sub(self.probe_due_ms),
            admitted: self.period.arrivals.admitted + self.period.requests,
        };
        probes.lateness()
    }

    /// Runs for a millisecond in which `attempts` connections arrive.
    fn run(&mut self, now: u64, attempts: u64) {
        for _ in 0..attempts {
            match self.backlog.len() < BACKLOG_MAX {
                true => self.backlog.push_back(now),
                false => self.ends.unconnected += 1,
            }
        }
        while self.pieces.front().is_some_and(|at| *at <= now) {
            self.pieces.pop_front();
            self.tasks.push_back(Task::Relay);
        }
        if now >= self.probe_due_ms && !self.is_probe_queued {
            self.is_probe_queued = true;
            self.tasks.push_back(Task::Probe);
        }
        self.credit_us = (self.credit_us + PROCESSOR_US as i64).min(PROCESSOR_US as i64);
        while self.credit_us > 0 {
            let took_us = match self.tasks_until_accept {
                0 => self.accept(now),
                _ => self.run_task(now),
            };
            if took_us == 0 && self.tasks.is_empty() {
                return;
            }
            self.credit_us -= took_us as i64;
            self.period.process_us += took_us;
        }
    }

    /// Accepts waiting connections; returns the processor time.
    fn accept(&mut self, now: u64) -> u64 {
        let mut took_us = 0;
        while let Some(arrived) = self.backlog.front().copied() {
            let arrivals = &mut self.period.arrivals;
            let admission = self.quota.decide(0, *arrivals);
            let admission = match admission {
                Admission::Admit if self.lateness(now) >= OVERLOAD_LATENESS_MS => self
                    .quota
                    .decide(OVERLOAD_LATENESS_MS, self.period.arrivals),
                other => other,
            };
            let arrivals = &mut self.period.arrivals;
            if admission == Admission::Wait {
                break;
            }
            self.backlog.pop_front();
            let has_given_up = now - arrived >= CALLER_MS;
            self.ends.unconnected += u64::from(has_given_up);
            match admission {
                Admission::Admit => {
                    arrivals.admitted += 1;
                    took_us += CLOSE_US;
                    self.tasks
                        .extend(std::iter::once(Task::Read).filter(|_| !has_given_up));
                }
                Admission::Refuse => {
                    arrivals.refused += 1;
                    self.period.refusal_us += REFUSE_US;
                    took_us += REFUSE_US;
                    self.ends.refused += u64::from(!has_given_up);
                }
                Admission::Close | Admission::Wait => {
                    arrivals.closed += 1;
                    took_us += CLOSE_US;
                    self.ends.closed += u64::from(!has_given_up);
                }
            }
        }
        self.tasks_until_accept = self.tasks.len();
        took_us
    }

    /// Runs the next task; returns the processor time.
    fn run_task(&mut self, now: u64) -> u64 {
        self.tasks_until_accept -= 1;
        match self.tasks.pop_front() {
            Some(Task::Read) if self.lateness(now) >= OVERLOAD_LATENESS_MS => {
                self.ends.refused += 1;
                REFUSE_ADMITTED_US
            }
            Some(Task::Read) => {
                self.period.requests += 1;
                self.reads += 1;
                if self.reads % 100 >= self.taken_percent {
                    self.ends.refused += 1;
                    return REFUSE_ADMITTED_US;
                }
                self.period.served += 1;
                self.ends.served += 1;
                for piece in 1..=PIECES {
                    let at = now + piece * PIECE_MS;
                    let position = self.pieces.partition_point(|other| *other <= at);
                    self.pieces.insert(position, at);
                }
                self.serve_us / 2
            }
            Some(Task::Relay) => self.serve_us / 2 / PIECES,
            Some(Task::Probe) => {
                self.probe(now);
                1
            }
            None => 0,
        }
    }

    fn probe(&mut self, now: u64) {
        let late_ms = now - self.probe_due_ms;
        self.previous_ms = std::mem::replace(&mut self.last_ms, late_ms);
        let mut period = std::mem::take(&mut self.period);
        let admitted = period.arrivals.admitted + period.requests;
        period.late_ms = Probes::sustained(late_ms, self.previous_ms, admitted);
        period.length_ms = now - self.probed_at_ms;
        self.quota = match &mut self.decision {
            Decision::ByLateness(limit) => {
                limit.probe(period.late_ms, period.arrivals.admitted);
                Quota::closing_excess(limit.connections_max())
            }
            Decision::ByService(intake) => {
                let quota = intake.probe(period);
                self.overload.set_exceeded(intake.is_exceeded());
                quota
            }
        };
        let is_unready = self.overload.probe(Millis(now), late_ms, false);
        self.ends.probes += 1;
        self.ends.late_probes += u64::from(late_ms >= OVERLOAD_LATENESS_MS);
        self.ends.unready_probes += u64::from(is_unready);
        self.probed_at_ms = now;
        self.probe_due_ms = now + PROBE_MS;
        self.is_probe_queued = false;
    }

    /// Replays attempts at a rate for some seconds; returns what became of them.
    fn replay(&mut self, from_ms: u64, seconds: u64, attempts_per_s: u64) -> Ends {
        self.ends = Ends::default();
        for now in from_ms..from_ms + seconds * 1000 {
            let attempts = (now + 1) * attempts_per_s / 1000 - now * attempts_per_s / 1000;
            self.run(now, attempts);
        }
        self.ends
    }
}

fn by_service() -> Decision {
    Decision::ByService(Intake::default())
}

/// Guards against callers whose connections are closed unread, or are not accepted, at a router
/// that could have answered them.
#[rstest]
#[case::serves_300(300)]
#[case::serves_550(550)]
fn a_flooded_router_answers_nearly_all_attempts(#[case] capacity_per_s: u64) {
    let mut router = Router::new(by_service(), capacity_per_s);
    router.replay(0, 2, 100);
    let ends = router.replay(2000, 8, 850);
    let unanswered = ends.closed + ends.unconnected;
    assert!(unanswered * 50 < ends.total(), "{ends:?}");
    // A quarter of the processor is for refusals.
    assert!(ends.served * 10 >= 8 * capacity_per_s * 6, "{ends:?}");
    assert!(ends.late_probes * 6 < ends.probes, "{ends:?}");
}

/// Shows what the limit by lateness alone does under the same load: it leaves many without an
/// answer.
#[rstest]
#[case::serves_300(300)]
#[case::serves_550(550)]
fn a_limit_by_lateness_leaves_attempts_without_an_answer(#[case] capacity_per_s: u64) {
    let mut router = Router::new(Decision::ByLateness(Limit::default()), capacity_per_s);
    router.replay(0, 2, 100);
    let ends = router.replay(2000, 8, 850);
    let unanswered = ends.closed + ends.unconnected;
    assert!(unanswered * 50 > ends.total(), "{ends:?}");
}

/// Guards against a router that reads many requests of which its endpoints take few, and refuses
/// the others at the expense of those: 159 connections in 56 ms took 85 of 100 parts of the
/// processor, and 5 of 100 of them were served.
#[test]
fn a_router_whose_requests_are_mostly_refused_admits_fewer() {
    let mut router = Router::new(by_service(), 300);
    router.taken_percent = 5;
    let ends = router.replay(0, 10, 2800);
    assert!(ends.late_probes * 5 < ends.probes, "{ends:?}");
    assert!(ends.served > 0, "{ends:?}");
    // Once endpoints take them again, the router serves as much as it can.
    router.taken_percent = 100;
    router.replay(10_000, 4, 850);
    let ends = router.replay(14_000, 4, 850);
    assert!(ends.served * 10 >= 4 * 300 * 6, "{ends:?}");
}

/// Guards against callers that are refused after a flood has ended.
#[test]
fn a_router_serves_all_callers_after_a_flood() {
    let mut router = Router::new(by_service(), 300);
    router.replay(0, 4, 850);
    router.replay(4000, 1, 100);
    let ends = router.replay(5000, 4, 100);
    assert_eq!(ends.served, ends.total(), "{ends:?}");
    // The load is all that it can serve in the long run.
    router.replay(9000, 3, 250);
    let ends = router.replay(12_000, 4, 250);
    assert!(ends.served * 100 >= 97 * ends.total(), "{ends:?}");
}

/// Guards against a router that reports that it is not ready only once it has been late for a
/// while, each time that a flood returns to it.
#[test]
fn a_router_is_unready_without_being_late_for_long_when_a_flood_returns() {
    let mut router = Router::new(by_service(), 300);
    router.replay(0, 3, 850);
    router.replay(3000, 6, 20);
    assert!(!router.overload.is_unready());
    router.replay(9000, 1, 850);
    let ends = router.ends;
    assert!(router.overload.is_unready(), "{ends:?}");
    assert!(ends.late_probes * 5 < ends.probes, "{ends:?}");
    router.replay(10_000, 12, 20);
    assert!(!router.overload.is_unready(), "it stays unready");
}

/// Guards against a router that is unready for seconds after its processor was held up for a
/// moment, for example by a noisy neighbour: the callers that arrived meanwhile are no flood.
#[test]
fn a_router_stays_ready_after_its_processor_was_held_up() {
    let mut router = Router::new(by_service(), 550);
    // After a flood the router knows what it can serve.
    router.replay(0, 3, 1500);
    router.replay(3000, 9, 250);
    for stall in 0..3 {
        let from = 12_000 + stall * 3000;
        router.backlog.extend((from..from + 200).step_by(4));
        let ends = router.replay(from + 200, 2, 250);
        assert_eq!(ends.unready_probes, 0, "{ends:?}");
        router.replay(from + 2200, 1, 250);
    }
}

/// Guards against connections that are closed unread while they could wait for a refusal, and
/// against refusals that take the processor from the requests that are served.
#[test]
fn connections_are_closed_unread_only_beyond_the_share_of_refusals() {
    let mut intake = Intake::default();
    let mut quota = intake.quota();
    let mut refusal_us = 0;
    for probe in 0..50 {
        let arrivals = Arrivals {
            admitted: quota.connections.min(6),
            refused: quota.refusals,
            closed: 0,
        };
        refusal_us += 30 * arrivals.refused;
        quota = intake.probe(Period {
            length_ms: 20,
            late_ms: 25,
            arrivals,
            requests: 6,
            served: 6,
            process_us: 2400,
            refusal_us: 30 * arrivals.refused,
        });
        assert_eq!(quota.closes > 0, probe >= 9, "{probe} {quota:?}");
    }
    // A quarter of the processor time, and what was saved up before.
    assert!(refusal_us <= 50 * 600 + 5000, "{refusal_us}");
    // As soon as refusals suffice, no connection is closed any more.
    let quota = intake.probe(Period {
        length_ms: 20,
        arrivals: Arrivals::default(),
        ..Period::default()
    });
    assert_eq!(quota.closes, 0);
}

/// Guards against a router that counts a pause, such as a suspension of its VM, as overload.
#[test]
fn a_pause_does_not_limit_what_is_admitted() {
    let mut intake = Intake::default();
    let pause = Period {
        length_ms: 5020,
        late_ms: 5000,
        ..Period::default()
    };
    let before = intake.quota().connections;
    assert_eq!(intake.probe(pause).connections, before);
    assert!(!intake.is_exceeded());
}

/// Guards against retries that come all at once, or to a router that load balancers still use
/// although it is not ready.
#[rstest]
#[case::expects_room(None, 50, 200)]
#[case::just_reported(Some(0), 2000, 2500)]
#[case::noticed_soon(Some(1900), 100, 600)]
#[case::noticed(Some(2000), 50, 200)]
fn retries_are_spread_over_the_time_with_room(
    #[case] unready_ms: Option<u64>,
    #[case] least_ms: u64,
    #[case] most_ms: u64,
) {
    let all: Vec<u64> = (0..10_000).map(|n| retry_after_ms(unready_ms, n)).collect();
    assert_eq!(all.iter().min(), Some(&least_ms));
    assert_eq!(all.iter().max(), Some(&most_ms));
}

/// Guards against refusals that take memory or descriptors beyond those of the VM.
#[test]
fn refusals_are_part_of_the_budget() {
    let resources = Resources {
        memory_bytes: 160_000_000,
        descriptors: 4100,
    };
    let whole = Budget::from(resources);
    let mut budget = whole;
    let refusals = budget.set_aside_refusals();
    assert_eq!(budget.connections + refusals, whole.connections);
    assert!(refusals >= 64, "{refusals}");
    let mut least = whole.within(1, 0);
    assert_eq!((least.set_aside_refusals(), least.connections), (0, 1));
}
