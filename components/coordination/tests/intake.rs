//! What a flooded router admits, refuses and closes, in a model of its processor.
//!
//! The load is that of docs/HARD-LOAD.md: 850 attempts a second come to one router on 0.12 of a
//! core, which can serve 300 or 550 of them.

use coordination::admission::demand::Demand;
use coordination::admission::{
    self, Admission, Arrivals, Excess, Intake, Limit, Period, Probes, Quota, Refused, Returns,
};
use coordination::budget::{Budget, Resources};
use coordination::handover::{self, Handover, Origin};
use coordination::messages::Peer;
use coordination::overload::{Overload, OVERLOAD_LATENESS_MS};
use rstest::rstest;
use state::clock::Millis;
use state::id::{CustomerId, Name, Version};
use std::collections::{BTreeMap, VecDeque};

/// Processor time of the router in each millisecond.
const PROCESSOR_US: u64 = 120;
/// Processor time to accept a connection and to close it unread.
const CLOSE_US: u64 = 17;
/// Processor time to accept a connection, read the head and refuse it without serving it.
const REFUSE_US: u64 = 28;
/// Processor time to read a request from an admitted connection and refuse it.
const REFUSE_ADMITTED_US: u64 = 60;
/// Processor time to hand a request over, in percent of that to serve it (benches/handover.rs).
const HAND_OVER_PERCENT: u64 = 70;
/// Pieces of an answer that are relayed after the request was sent, and the time between them.
const PIECES: u64 = 10;
const PIECE_MS: u64 = 50;
/// Most connections that wait to be accepted.
const BACKLOG_MAX: usize = 256;
/// Time that a caller allows for a connection.
const CALLER_MS: u64 = 1000;
/// Time between two probes.
const PROBE_MS: u64 = 20;

/// A connection that waits to be accepted.
#[derive(Clone, Copy)]
struct Attempt {
    arrived: u64,
    /// Whether its caller was refused before.
    is_retry: bool,
    customer: CustomerId,
}

/// Customer that floods a router.
const FLOODING: CustomerId = CustomerId(1);
/// Customer with few callers, which come to the same router.
const NEIGHBOUR: CustomerId = CustomerId(2);

/// Callers that return once, at the time that they are told.
struct Callers {
    /// Counts of callers by slot; without them callers are told 50 to 200 ms.
    returns: Option<Returns>,
    /// Time for which each of them waits.
    timeout_ms: u64,
    /// Number of callers by the time at which they return.
    returning: BTreeMap<u64, u64>,
    told: u64,
}

impl Callers {
    fn new(returns: Option<Returns>, timeout_ms: u64) -> Self {
        Callers {
            returns,
            timeout_ms,
            returning: BTreeMap::new(),
            told: 0,
        }
    }

    /// Tells a refused caller when to return.
    fn refuse(&mut self, now: u64, is_retry: bool) {
        // Spread evenly, in an order that differs from that of arrival.
        self.told += 1;
        let random = self.told.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let after_ms = match &mut self.returns {
            None => 50 + random % 151,
            Some(returns) => {
                let refused = Refused {
                    unready_ms: None,
                    timeout_ms: Some(self.timeout_ms),
                    random,
                };
                returns.tell(Millis(now), refused)
            }
        };
        if !is_retry {
            *self.returning.entry(now + after_ms).or_default() += 1;
        }
    }
}

/// The decision on hand-over, and the peers of the router.
struct Peers {
    decision: Handover,
    /// Requests per second that each peer can take.
    rooms: Vec<u64>,
    /// Requests in progress at peers: the time of the answer's head, its end, and the peer.
    at_peers: VecDeque<(u64, u64, Name)>,
    /// Ends of requests in progress here.
    here: VecDeque<u64>,
    /// Requests that were handed over.
    handed_over: u64,
}

impl Peers {
    fn new(count: usize, room_per_s: u64) -> Self {
        Peers {
            decision: Handover::new(Millis(0)),
            rooms: vec![room_per_s; count],
            at_peers: VecDeque::new(),
            here: VecDeque::new(),
            handed_over: 0,
        }
    }

    fn name(index: usize) -> Name {
        Name::try_from(format!("r{index}").as_str()).unwrap_or_else(|e| unreachable!("{e}"))
    }

    /// Takes the answers that have begun or ended, and the peers' figures each 200 ms.
    fn advance(&mut self, now: u64) {
        while self.here.front().is_some_and(|end| *end <= now) {
            self.here.pop_front();
        }
        for (head, _, peer) in &self.at_peers {
            if *head == now {
                self.decision.answer(Millis(now), peer, true);
            }
        }
        while self.at_peers.front().is_some_and(|(_, end, _)| *end <= now) {
            if let Some((.., peer)) = self.at_peers.pop_front() {
                self.decision.end(&peer);
            }
        }
        if !now.is_multiple_of(200) {
            return;
        }
        let peers = self.rooms.iter().enumerate().map(|(index, room)| {
            let vm = Peers::name(index);
            let in_progress = self.at_peers.iter().filter(|(.., peer)| *peer == vm);
            // Answers take half a second.
            let free = room.saturating_sub(in_progress.count() as u64 * 2);
            Peer {
                vm,
                callers: ([127, 0, 0, 1], 1).into(),
                // CAST: below 1000.
                free_permille: (free * 1000 / handover::NOMINAL_PER_S) as u16,
                age_ms: 0,
                config_version: Version(1),
            }
        });
        let peers: Vec<Peer> = peers.collect();
        self.decision.set_peers(Millis(now), &peers);
    }

    /// Decides on a request that was read. Returns whether it is handed over.
    fn decide(&mut self, now: u64) -> bool {
        let end = now + PIECES * PIECE_MS;
        match self
            .decision
            .decide(Millis(now), self.here.len(), Origin::Caller(Version(1)))
        {
            handover::Decision::HandOver(peer, _) => {
                self.at_peers.push_back((now + PIECE_MS, end, peer));
                self.handed_over += 1;
                true
            }
            _ => {
                self.here.push_back(end);
                false
            }
        }
    }
}

/// Work that waits for the processor.
enum Task {
    /// Read the request of an admitted connection.
    Read {
        is_retry: bool,
        customer: CustomerId,
    },
    /// Relay a piece of an answer, in this processor time.
    Relay {
        took_us: u64,
    },
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
    /// Refused a second time.
    refused_again: u64,
    /// Closed unread.
    closed: u64,
    /// Not accepted in time, or at all.
    unconnected: u64,
    /// Probes, and those that were late.
    probes: u64,
    late_probes: u64,
    unready_probes: u64,
    /// Served of the neighbour.
    neighbour_served: u64,
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
    /// Connections that wait to be accepted.
    backlog: VecDeque<Attempt>,
    /// Callers that return after a refusal, if any do.
    callers: Option<Callers>,
    /// What customers ask, if those that bring little are admitted first.
    demand: Option<Demand>,
    light_admissions: u64,
    tasks: VecDeque<Task>,
    /// Times at which pieces of answers arrive, in order, and the processor time of each.
    pieces: VecDeque<(u64, u64)>,
    /// Hand-over to peers, if it is on.
    peers: Option<Peers>,
    tasks_until_accept: usize,
    credit_us: i64,
    probe_due_ms: u64,
    is_probe_queued: bool,
    probed_at_ms: u64,
    last_ms: u64,
    previous_ms: u64,
    period: Period,
    overload: Overload,
    excess: Excess,
    /// Part of the admitted requests that endpoints take, in percent; the others are refused.
    taken_percent: u64,
    reads: u64,
    /// Time between two stalls in which others have the processor, and length of a stall.
    stalls: Option<(u64, u64)>,
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
            callers: None,
            demand: None,
            light_admissions: 0,
            tasks: VecDeque::new(),
            pieces: VecDeque::new(),
            peers: None,
            tasks_until_accept: 0,
            credit_us: 0,
            probe_due_ms: PROBE_MS,
            is_probe_queued: false,
            probed_at_ms: 0,
            last_ms: 0,
            previous_ms: 0,
            period: Period::default(),
            overload: Overload::default(),
            excess: Excess::default(),
            taken_percent: 100,
            reads: 0,
            stalls: None,
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
        let callers = self.callers.as_mut();
        let returned = callers.and_then(|callers| callers.returning.remove(&now));
        for number in 0..attempts + returned.unwrap_or(0) {
            let attempt = Attempt {
                arrived: now,
                is_retry: number >= attempts,
                customer: FLOODING,
            };
            self.arrive(attempt);
        }
        while self.pieces.front().is_some_and(|(at, _)| *at <= now) {
            let piece = self.pieces.pop_front();
            let piece = piece.map(|(_, took_us)| Task::Relay { took_us });
            self.tasks.extend(piece);
        }
        if let Some(peers) = &mut self.peers {
            peers.advance(now);
        }
        if now >= self.probe_due_ms && !self.is_probe_queued {
            self.is_probe_queued = true;
            self.tasks.push_back(Task::Probe);
        }
        if (self.stalls).is_some_and(|(every_ms, length_ms)| now % every_ms < length_ms) {
            return;
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

    /// Adds a connection to those that wait to be accepted.
    fn arrive(&mut self, attempt: Attempt) {
        match self.backlog.len() < BACKLOG_MAX {
            true => self.backlog.push_back(attempt),
            false => self.ends.unconnected += 1,
        }
    }

    /// Whether a customer brings little.
    fn is_light(&self, now: u64, customer: CustomerId) -> bool {
        let demand = self.demand.as_ref();
        demand.is_some_and(|demand| demand.is_light(Millis(now), customer))
    }

    /// Whether a connection or request is admitted in spite of an overload.
    fn admit_light(&mut self, is_light: bool) -> bool {
        let is_admitted = is_light && admission::admits_light(self.light_admissions);
        self.light_admissions += u64::from(is_admitted);
        is_admitted
    }

    /// Accepts waiting connections; returns the processor time.
    fn accept(&mut self, now: u64) -> u64 {
        let mut took_us = 0;
        while let Some(attempt) = self.backlog.front().copied() {
            let Attempt {
                arrived,
                is_retry,
                customer,
            } = attempt;
            let admission = self.quota.decide(0, self.period.arrivals);
            let admission = match admission {
                Admission::Admit if self.lateness(now) >= OVERLOAD_LATENESS_MS => self
                    .quota
                    .decide(OVERLOAD_LATENESS_MS, self.period.arrivals),
                other => other,
            };
            if admission == Admission::Wait {
                break;
            }
            self.backlog.pop_front();
            let is_light = self.is_light(now, customer);
            let admission = match admission {
                Admission::Close if self.admit_light(is_light) => Admission::Admit,
                other => other,
            };
            let arrivals = &mut self.period.arrivals;
            let has_given_up = now - arrived >= CALLER_MS;
            self.ends.unconnected += u64::from(has_given_up);
            match admission {
                Admission::Admit => {
                    arrivals.admitted += 1;
                    took_us += CLOSE_US;
                    if !has_given_up {
                        self.tasks.push_back(Task::Read { is_retry, customer });
                    }
                }
                Admission::Refuse => {
                    arrivals.refused += 1;
                    self.period.refusal_us += REFUSE_US;
                    took_us += REFUSE_US;
                    if !has_given_up {
                        self.refuse(now, is_retry);
                    }
                }
                Admission::Close | Admission::Wait => {
                    if let Some(demand) = &mut self.demand {
                        demand.turn_away(Millis(now), Some(customer));
                    }
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
            Some(Task::Read { is_retry, customer }) => {
                let demand = self.demand.as_mut();
                let is_light = demand.is_some_and(|demand| demand.ask(Millis(now), customer));
                let is_late = self.lateness(now) >= OVERLOAD_LATENESS_MS;
                if is_late && !self.admit_light(is_light) {
                    self.refuse(now, is_retry);
                    return REFUSE_ADMITTED_US;
                }
                self.period.requests += 1;
                self.reads += 1;
                if self.reads % 100 >= self.taken_percent {
                    self.ends.refused += 1;
                    return REFUSE_ADMITTED_US;
                }
                self.period.served += 1;
                self.ends.served += 1;
                self.ends.neighbour_served += u64::from(customer == NEIGHBOUR);
                let peers = self.peers.as_mut();
                let cost_us = match peers.is_some_and(|peers| peers.decide(now)) {
                    true => self.serve_us * HAND_OVER_PERCENT / 100,
                    false => self.serve_us,
                };
                for piece in 1..=PIECES {
                    let at = now + piece * PIECE_MS;
                    let position = self.pieces.partition_point(|(other, _)| *other <= at);
                    self.pieces.insert(position, (at, cost_us / 2 / PIECES));
                }
                cost_us / 2
            }
            Some(Task::Relay { took_us }) => took_us,
            Some(Task::Probe) => {
                self.probe(now);
                1
            }
            None => 0,
        }
    }

    /// Refuses a request with a response.
    fn refuse(&mut self, now: u64, is_retry: bool) {
        self.ends.refused += 1;
        self.ends.refused_again += u64::from(is_retry);
        if let Some(callers) = &mut self.callers {
            callers.refuse(now, is_retry);
        }
    }

    fn probe(&mut self, now: u64) {
        let late_ms = now - self.probe_due_ms;
        self.previous_ms = std::mem::replace(&mut self.last_ms, late_ms);
        self.light_admissions = 0;
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
                let callers = self.callers.as_mut();
                if let Some(returns) = callers.and_then(|callers| callers.returns.as_mut()) {
                    returns.probe(Millis(now), period, intake.limit());
                }
                quota
            }
        };
        if let Some(peers) = &mut self.peers {
            peers.decision.probe(Millis(now), period.late_ms);
            let is_relieved = peers.decision.is_relieved(Millis(now));
            self.overload.set_relieved(is_relieved);
        }
        self.excess.probe(period);
        self.overload.set_turning_away(self.excess.is_lasting());
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
        let arrivals = (from..from + 200).step_by(4);
        router.backlog.extend(arrivals.map(|arrived| Attempt {
            arrived,
            is_retry: false,
            customer: FLOODING,
        }));
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
/// although it is not ready, where a caller can wait for that.
#[rstest]
#[case::no_known_limit(None, None, 50, 200)]
#[case::just_reported(Some(0), None, 2000, 2500)]
#[case::noticed_soon(Some(1900), None, 100, 600)]
#[case::noticed(Some(2000), None, 50, 200)]
#[case::noticed_in_time(Some(1900), Some(600), 100, 600)]
#[case::noticed_too_late(Some(0), Some(600), 50, 200)]
#[case::longer_without_a_limit(None, Some(4000), 50, 1333)]
#[case::shortest(None, Some(90), 50, 150)]
fn retries_are_spread_over_the_time_that_callers_honour(
    #[case] unready_ms: Option<u64>,
    #[case] timeout_ms: Option<u64>,
    #[case] least_ms: u64,
    #[case] most_ms: u64,
) {
    let told = |now: u64| {
        let mut returns = Returns::default();
        let all = (0..10_000).map(move |random| {
            let refused = Refused {
                unready_ms,
                timeout_ms,
                random,
            };
            returns.tell(Millis(now), refused)
        });
        all.collect::<Vec<u64>>()
    };
    for now in 1000..1050 {
        let all = told(now);
        assert!(all.iter().all(|ms| (least_ms..=most_ms).contains(ms)));
        // No time of 50 ms gets more than twice its part.
        let most = |from: u64| {
            let slot = from..from + 50;
            all.iter().filter(|ms| slot.contains(ms)).count()
        };
        let slots = (most_ms - least_ms) as usize / 50 - 1;
        let largest = (least_ms..most_ms).map(most).max().unwrap_or(0);
        assert!(largest * slots.max(1) <= 2 * all.len(), "{now}: {largest}");
    }
}

/// Guards against callers of a burst that return together, to a router that has room for few of
/// them, and are lost: a caller has one retry.
#[rstest]
#[case::small_bursts(100, 150)]
#[case::large_bursts(200, 100)]
#[case::little_room(150, 200)]
fn callers_of_a_burst_return_when_there_is_room(#[case] burst: u64, #[case] others_per_s: u64) {
    let soon = lost_after_bursts(None, burst, others_per_s);
    let by_slot = lost_after_bursts(Some(Returns::default()), burst, others_per_s);
    println!("{burst} {others_per_s}: lost {soon} soon, {by_slot} by slot");
    assert!(by_slot * 2 <= soon, "{by_slot} of {soon}");
}

/// Replays bursts of 100 ms beside callers that arrive evenly, after a flood by which the router
/// knows what it can serve. Returns the number of callers that are not served.
fn lost_after_bursts(returns: Option<Returns>, burst: u64, others_per_s: u64) -> u64 {
    let mut router = Router::new(by_service(), 300);
    router.callers = Some(Callers::new(returns, 4000));
    router.replay(0, 3, 850);
    router.replay(3000, 5, others_per_s);
    let mut lost = 0;
    for number in 0..6 {
        let from = 8000 + number * 3100;
        router.ends = Ends::default();
        for now in from..from + 100 {
            let others = (now + 1) * others_per_s / 1000 - now * others_per_s / 1000;
            let part = now - from;
            let of_burst = (part + 1) * burst / 100 - part * burst / 100;
            router.run(now, others + of_burst);
        }
        let mut all = vec![router.ends];
        all.push(router.replay(from + 100, 2, others_per_s));
        all.push(router.replay(from + 2100, 1, others_per_s));
        for ends in all {
            lost += ends.refused_again + ends.unconnected + ends.closed;
        }
    }
    lost
}

/// Guards against a limit of admissions that keeps from peers what could be handed over, against
/// hand-over that takes the processor time of refusals, and against a router that becomes unready
/// while peers take its excess.
#[rstest]
#[case::peers_with_room(300, 8, 180)]
#[case::peers_with_little_room(300, 8, 40)]
#[case::one_peer(300, 1, 180)]
#[case::faster_router(550, 8, 180)]
#[case::faster_router_and_one_peer(550, 1, 180)]
fn hand_over_and_the_limit_of_admissions_do_not_hinder_each_other(
    #[case] capacity_per_s: u64,
    #[case] peers: usize,
    #[case] room_per_s: u64,
) {
    let replay = |decision: Decision, peers: Option<Peers>| {
        let mut router = Router::new(decision, capacity_per_s);
        router.peers = peers;
        router.replay(0, 3, 100);
        router.replay(3000, 2, 850);
        let before = router.peers.as_ref().map_or(0, |peers| peers.handed_over);
        let ends = router.replay(5000, 8, 850);
        let after = router.peers.as_ref().map_or(0, |peers| peers.handed_over);
        (ends, after - before)
    };
    let with_peers = || Some(Peers::new(peers, room_per_s));
    let (both, handed_over) = replay(by_service(), with_peers());
    let (no_limit, alone) = replay(Decision::ByLateness(Limit::default()), with_peers());
    let (no_peers, _) = replay(by_service(), None);
    println!(
        "with both {} served, of these {handed_over} by peers, {} refused, {} closed; without the \
         limit {} and {alone}, {} closed; without hand-over {}, {} refused",
        both.served,
        both.refused,
        both.closed,
        no_limit.served,
        no_limit.closed,
        no_peers.served,
        no_peers.refused,
    );
    // Refusals cost more than connections that are closed unread.
    assert!(both.served * 10 >= no_limit.served * 9, "{both:?}");
    assert!(handed_over * 10 >= alone * 9, "{handed_over} of {alone}");
    assert!(both.served * 100 >= no_peers.served * 105, "{both:?}");
    let unanswered = both.closed + both.unconnected;
    assert!(unanswered * 50 < both.total(), "{both:?}");
    assert!(both.late_probes * 6 < both.probes, "{both:?}");
    assert_eq!(both.unready_probes, 0, "{both:?}");
}

/// Guards against hand-over that lowers what a router serves when no peer has room.
#[test]
fn a_router_without_peers_admits_as_much_as_without_hand_over() {
    let served = |peers| {
        let mut router = Router::new(by_service(), 300);
        router.peers = peers;
        router.replay(0, 8, 850).served
    };
    assert!(served(Some(Peers::new(0, 0))) * 100 >= 95 * served(None));
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

/// The routers of a data centre behind a load balancer.
///
/// The load balancer sends the callers of a customer to the first router of an order that is fixed
/// for it, among those that have not failed two probes in a row.
struct DataCentre {
    routers: Vec<Router>,
    misses: Vec<u32>,
}

impl DataCentre {
    fn new(routers: usize) -> Self {
        let router = || {
            let decision = Decision::ByLateness(Limit::default());
            let mut router = Router::new(decision, 300);
            router.peers = Some(Peers::new(8, 180));
            router.demand = Some(Demand::default());
            router
        };
        DataCentre {
            routers: (0..routers).map(|_| router()).collect(),
            misses: vec![0; routers],
        }
    }

    /// The first router of an order that is in rotation.
    fn select(&self, order: &[usize]) -> usize {
        let is_in = |index: usize| self.misses[index] < 2;
        let count = (0..self.routers.len()).filter(|index| is_in(*index));
        match count.count() * 2 < self.routers.len() {
            true => order[0],
            false => order
                .iter()
                .copied()
                .find(|i| is_in(*i))
                .unwrap_or(order[0]),
        }
    }

    /// Replays a flood of one customer for some seconds, and five attempts a second of another one,
    /// whose first router is the same. Returns the served attempts of both, in all and of the other.
    fn replay(&mut self, seconds: u64, flood_per_s: u64) -> (u64, u64) {
        let count = self.routers.len();
        let flooding: Vec<usize> = (0..count).collect();
        let neighbour: Vec<usize> = (0..count).map(|i| i * 7 % count).collect();
        for now in 0..seconds * 1000 {
            if now % 1000 == 500 {
                for (router, misses) in self.routers.iter().zip(&mut self.misses) {
                    *misses = match router.overload.is_unready() {
                        true => *misses + 1,
                        false => 0,
                    };
                }
            }
            if now % 200 == 0 {
                let target = self.select(&neighbour);
                self.routers[target].arrive(Attempt {
                    arrived: now,
                    is_retry: false,
                    customer: NEIGHBOUR,
                });
            }
            let target = self.select(&flooding);
            let attempts = (now + 1) * flood_per_s / 1000 - now * flood_per_s / 1000;
            for (index, router) in self.routers.iter_mut().enumerate() {
                router.run(now, if index == target { attempts } else { 0 });
            }
        }
        let ends = self.routers.iter().map(|router| router.ends);
        ends.fold((0, 0), |(served, neighbour), ends| {
            (served + ends.served, neighbour + ends.neighbour_served)
        })
    }
}

/// Replays a flood beside a customer with few requests; fails unless that customer is served at
/// least half of what it asks.
fn assert_neighbour_is_served(mut routers: DataCentre, flood_per_s: u64) {
    const SECONDS: u64 = 30;
    let (served, neighbour) = routers.replay(SECONDS, flood_per_s);
    let percent = served * 100 / (SECONDS * (flood_per_s + 5));
    let neighbour_percent = neighbour * 100 / (SECONDS * 5);
    println!("{flood_per_s} a second: {percent}% served, of the neighbour {neighbour_percent}%");
    assert!(
        neighbour_percent >= 50,
        "{neighbour_percent}%, of all {percent}%"
    );
}

/// Failure: callers of a small customer are turned away with those of a large one that come to the
/// same router, for as long as its flood lasts.
#[rstest]
#[case::more_than_a_router_serves(850)]
#[case::more_than_it_reads(1300)]
#[case::more_than_it_closes(2600)]
fn a_small_customer_beside_a_lasting_flood_is_served(#[case] flood_per_s: u64) {
    assert_neighbour_is_served(DataCentre::new(16), flood_per_s);
}

/// Failure: a router that cannot send callers elsewhere turns away those of a small customer with
/// those of a large one.
#[rstest]
#[case::more_than_it_serves(850)]
#[case::more_than_it_reads(1300)]
fn the_only_router_of_a_data_centre_admits_a_small_customer_in_a_flood(#[case] flood_per_s: u64) {
    assert_neighbour_is_served(DataCentre::new(1), flood_per_s);
}

/// Failure: a router turns callers away for as long as a flood lasts, and stays ready since it is
/// not very late and peers take a part.
#[test]
fn a_router_that_turns_callers_away_becomes_unready_although_peers_take_a_part() {
    let decision = Decision::ByLateness(Limit::default());
    let mut router = Router::new(decision, 300);
    router.peers = Some(Peers::new(8, 180));
    let ends = router.replay(0, 3, 1300);
    assert!(ends.closed > 300, "{ends:?}");
    assert!(ends.unready_probes > 0, "{ends:?}");
}
