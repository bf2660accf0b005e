//! A router with one queue: all that comes is done in the order of its coming, and each try
//! comes on a connection of its own.

use super::router::{Work, BUSY_RETURN_MS, CLOSE_US, OPEN_US, PROBE_MS, READ_US, REFUSE_US};
use super::router::{SERVE_US, UNREAD_MS};
use super::{Job, World};
use coordination::admission::{Admission, Arrivals, Probes};
use coordination::overload::OVERLOAD_LATENESS_MS;
use state::clock::Millis;

/// Tries that wait to be taken in at most; others find no connection.
const BACKLOG: usize = 1024;

impl World {
    /// Lets a try wait for its turn.
    pub(super) fn queue_in_order(&mut self, at: usize, job: Job) {
        let router = &mut self.routers[at];
        let tries = router.in_order.iter();
        let tries = tries.filter(|(_, work)| matches!(work, Work::Try(_)));
        if tries.count() + router.backlog.len() >= BACKLOG {
            return self.refused(job, BUSY_RETURN_MS as u32);
        }
        self.push(at, Work::Try(job));
    }

    /// Lets a router's processor do what it can in this millisecond.
    pub(super) fn process_in_order(&mut self, at: usize, each_us: u64, is_bounded: bool) {
        self.probe_in_order(at);
        let router = &mut self.routers[at];
        router.credit_us = (router.credit_us + each_us).min(10 * each_us);
        while self.routers[at].credit_us > 0 {
            let Some((_, work)) = self.routers[at].in_order.pop_front() else {
                return;
            };
            let took_us = match work {
                Work::Try(job) if is_bounded => self.accept_in_order(at, job),
                Work::Try(job) => self.read_in_order(at, job),
                Work::Grant(grant) => {
                    self.grant(at, grant);
                    SERVE_US / 2
                }
                Work::Refusal(refusal) => {
                    self.refuse(at, refusal);
                    REFUSE_US
                }
                Work::Relay => SERVE_US / 2,
                Work::Probe => 0,
            };
            let router = &mut self.routers[at];
            router.credit_us = router.credit_us.saturating_sub(took_us);
        }
    }

    /// Reads whatever comes, and refuses it while the router runs late.
    fn read_in_order(&mut self, at: usize, job: Job) -> u64 {
        if self.now - job.came >= UNREAD_MS {
            self.refused(job, BUSY_RETURN_MS as u32);
            return OPEN_US;
        }
        if self.late_in_order(at) >= OVERLOAD_LATENESS_MS {
            self.refused(job, BUSY_RETURN_MS as u32);
            return OPEN_US + READ_US + REFUSE_US;
        }
        self.take(at, job);
        OPEN_US + READ_US
    }

    /// Takes in as many connections as the limit allows, and closes the others unread.
    fn accept_in_order(&mut self, at: usize, job: Job) -> u64 {
        let late_ms = self.late_in_order(at);
        let processor = &mut self.routers[at].processor;
        let is_gone = self.now - job.came >= UNREAD_MS;
        let takes = processor.limit.connections_max();
        let intake = Admission::for_connection(late_ms, processor.arrivals, takes);
        if intake == Admission::Wait {
            self.routers[at].backlog.push_back(job);
            return 0;
        }
        if is_gone || intake == Admission::Close {
            processor.arrivals.closed += 1;
            self.refused(job, BUSY_RETURN_MS as u32);
            return CLOSE_US;
        }
        processor.arrivals.admitted += 1;
        processor.taken += 1;
        self.take(at, job);
        OPEN_US + READ_US
    }

    fn late_in_order(&self, at: usize) -> u64 {
        let processor = &self.routers[at].processor;
        let probes = Probes {
            last_ms: processor.last_ms,
            previous_ms: processor.before_ms,
            overdue_ms: self.now.saturating_sub(processor.due),
            admitted: processor.taken,
        };
        probes.lateness()
    }

    /// The task that tells how late tasks run: it is behind what came before it was due.
    fn probe_in_order(&mut self, at: usize) {
        let now = self.now;
        let router = &mut self.routers[at];
        let oldest = router.in_order.front().map(|(came, _)| *came);
        let processor = &mut router.processor;
        if now < processor.due || oldest.is_some_and(|came| came < processor.due) {
            return;
        }
        let late_ms = now - processor.due;
        processor.before_ms = std::mem::replace(&mut processor.last_ms, late_ms);
        processor.due = now + PROBE_MS;
        let lasting_ms = Probes::sustained(late_ms, processor.before_ms, processor.taken);
        processor
            .limit
            .probe(lasting_ms, processor.arrivals.admitted);
        (processor.taken, processor.arrivals) = (0, Arrivals::default());
        // What was left with the system is looked at again, before what came later.
        while let Some(job) = router.backlog.pop_back() {
            router.in_order.push_front((now, Work::Try(job)));
        }
        processor.overload.set_hot(router.dispatcher.is_hot());
        (processor.overload).probe(Millis(now), late_ms, false);
    }
}
