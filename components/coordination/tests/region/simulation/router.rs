//! A router with a bounded processor: what it lets in, and when it gets to what waits.

use super::{Job, World};
use crate::setup::Tasks;
use coordination::admission::{Admission, Arrivals, Limit, Probes};
use coordination::dispatcher::{Dispatcher, Handle};
use coordination::messages::{Grant, Refusal};
use coordination::overload::Overload;
use state::clock::Millis;
use std::collections::{BTreeMap, VecDeque};

/// What a router's processor needs to take in a try on a new connection, and on a kept
/// one, in microseconds.
pub(super) const OPEN_US: u64 = 20;
pub(super) const READ_US: u64 = 15;
/// What it needs to refuse one, and to close a connection unread.
pub(super) const REFUSE_US: u64 = 15;
pub(super) const CLOSE_US: u64 = 12;
/// What it needs to send a request to its engine and to pass its answer on.
pub(super) const SERVE_US: u64 = 150;
/// Connections that a router accepts before its other tasks have their turn.
const ACCEPT: usize = 128;
/// Connections that wait to be accepted by a router at most; others find none.
pub(super) const BACKLOG: usize = 256;
/// Time after which a caller gives up that was not taken in, in milliseconds.
pub(super) const UNREAD_MS: u64 = 1000;
/// Time after which the caller of a busy router comes back, in milliseconds.
pub(super) const BUSY_RETURN_MS: u64 = 100;
/// Time between two probes of a router's lateness, in milliseconds.
pub(super) const PROBE_MS: u64 = 20;
/// Time between two questions for a router's readiness, in milliseconds.
pub(super) const ASK_READY_MS: u64 = 1000;

/// Something that a router's processor has yet to do.
pub(super) enum Work {
    Try(Job),
    Grant(Grant),
    Refusal(Refusal),
    /// What is left to do for an answer that has come.
    Relay,
    /// The task that tells how late tasks run.
    Probe,
}

pub(super) struct Router {
    pub(super) dispatcher: Dispatcher,
    pub(super) jobs: BTreeMap<Handle, Job>,
    /// Connections that were not accepted.
    pub(super) backlog: VecDeque<Job>,
    /// What waits for its processor.
    pub(super) work: VecDeque<Work>,
    /// The same with the time at which it came, of a router with one queue.
    pub(super) in_order: VecDeque<(u64, Work)>,
    /// Pieces of work until connections are accepted again.
    pub(super) until_accept: usize,
    /// Connections that callers of each customer have kept.
    pub(super) kept: BTreeMap<u32, u32>,
    /// Microseconds that its processor has left.
    pub(super) credit_us: u64,
    pub(super) processor: Processor,
}

/// What a router knows of its own lateness, and what is known of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Processor {
    pub(super) due: u64,
    pub(super) last_ms: u64,
    pub(super) before_ms: u64,
    pub(super) taken: u64,
    pub(super) arrivals: Arrivals,
    pub(super) limit: Limit,
    is_woken: bool,
    pub(super) overload: Overload,
    misses: u32,
    /// Whether new connections go to other routers.
    pub(super) is_out: bool,
}

impl World {
    /// Lets a router's processor do what it can in this millisecond.
    ///
    /// Its tasks take turns; the one that accepts connections takes several in its turn.
    pub(super) fn process(&mut self, at: usize) {
        let Some(each_us) = self.setup.processor_us else {
            return;
        };
        if let Tasks::OneQueue { is_bounded } = self.setup.tasks {
            return self.process_in_order(at, each_us, is_bounded);
        }
        self.wake_probe(at);
        let router = &mut self.routers[at];
        router.credit_us = (router.credit_us + each_us).min(10 * each_us);
        while self.routers[at].credit_us > 0 {
            let took_us = match self.routers[at].until_accept {
                0 => self.accept(at),
                _ => self.work_on(at),
            };
            let router = &mut self.routers[at];
            router.credit_us = router.credit_us.saturating_sub(took_us);
            if took_us == 0 {
                return;
            }
        }
    }

    /// Accepts connections; then all that waits has its turn.
    fn accept(&mut self, at: usize) -> u64 {
        let mut took_us = 0;
        for _ in 0..ACCEPT {
            let late_ms = self.late_ms(at);
            let router = &mut self.routers[at];
            let Some(job) = router.backlog.front() else {
                break;
            };
            let is_gone = self.now - job.came >= UNREAD_MS;
            let processor = &router.processor;
            let intake = Admission::for_connection(
                late_ms,
                processor.arrivals,
                processor.limit.connections_max(),
            );
            if intake == Admission::Wait {
                break;
            }
            let Some(job) = router.backlog.pop_front() else {
                break;
            };
            if is_gone || intake == Admission::Close {
                router.processor.arrivals.closed += 1;
                took_us += CLOSE_US;
                self.refused(job, BUSY_RETURN_MS as u32);
                continue;
            }
            router.processor.taken += 1;
            router.processor.arrivals.admitted += 1;
            took_us += OPEN_US;
            router.work.push_back(Work::Try(job));
        }
        let router = &mut self.routers[at];
        router.until_accept = router.work.len();
        // An empty turn takes time too.
        took_us.max(u64::from(!router.work.is_empty()))
    }

    /// Does one piece of work; gives the time that it took.
    fn work_on(&mut self, at: usize) -> u64 {
        self.routers[at].until_accept -= 1;
        let Some(work) = self.routers[at].work.pop_front() else {
            return 1;
        };
        match work {
            Work::Try(job) => self.let_in(at, job),
            Work::Grant(grant) => {
                self.grant(at, grant);
                SERVE_US / 2
            }
            Work::Refusal(refusal) => {
                self.refuse(at, refusal);
                REFUSE_US
            }
            Work::Relay => SERVE_US / 2,
            Work::Probe => {
                self.probe(at);
                1
            }
        }
    }

    /// Reads a request, and refuses it while the router runs late.
    fn let_in(&mut self, at: usize, job: Job) -> u64 {
        if Admission::for_request(self.late_ms(at)) == Admission::Refuse {
            self.refused(job, BUSY_RETURN_MS as u32);
            return READ_US + REFUSE_US;
        }
        self.routers[at].processor.taken += 1;
        self.take(at, job);
        READ_US
    }

    /// Whether a try comes on a connection that its customer's callers have kept.
    pub(super) fn uses_kept(&mut self, at: usize, customer: u32) -> bool {
        let kept = self.routers[at].kept.entry(customer).or_default();
        let is_kept = *kept > 0;
        *kept -= u32::from(is_kept);
        is_kept
    }

    /// Lets callers keep the connection of an answer that has ended.
    pub(super) fn keep(&mut self, at: usize, customer: u32) {
        *self.routers[at].kept.entry(customer).or_default() += 1;
    }

    fn late_ms(&self, at: usize) -> u64 {
        let processor = &self.routers[at].processor;
        let probes = Probes {
            last_ms: processor.last_ms,
            previous_ms: processor.before_ms,
            overdue_ms: self.now.saturating_sub(processor.due),
            admitted: processor.taken,
        };
        probes.lateness()
    }

    /// Wakes the task that tells how late tasks run, once it is due.
    fn wake_probe(&mut self, at: usize) {
        let processor = &mut self.routers[at].processor;
        if self.now >= processor.due && !processor.is_woken {
            processor.is_woken = true;
            self.push(at, Work::Probe);
        }
    }

    fn probe(&mut self, at: usize) {
        let router = &mut self.routers[at];
        let processor = &mut router.processor;
        let late_ms = self.now - processor.due;
        processor.before_ms = std::mem::replace(&mut processor.last_ms, late_ms);
        processor.due = self.now + PROBE_MS;
        processor.is_woken = false;
        let lasting_ms = Probes::sustained(late_ms, processor.before_ms, processor.taken);
        processor.taken = 0;
        processor
            .limit
            .probe(lasting_ms, processor.arrivals.admitted);
        processor.arrivals = Arrivals::default();
        processor.overload.set_hot(router.dispatcher.is_hot());
        (processor.overload).probe(Millis(self.now), late_ms, false);
    }

    /// Whoever sends callers to routers asks each whether it is ready; two misses take it
    /// out, one answer takes it back.
    pub(super) fn ask_ready(&mut self) {
        for router in &mut self.routers {
            let processor = &mut router.processor;
            processor.misses = match processor.overload.is_unready() {
                true => processor.misses + 1,
                false => 0,
            };
            processor.is_out = processor.misses >= 2;
        }
    }
}
