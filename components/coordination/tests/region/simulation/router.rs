//! A router with a limited processor: its admission control, and the order of its tasks.

use super::{Request, Simulation};
use crate::setup::Discipline;
use coordination::admission::{Admission, Arrivals, Limit, Probes};
use coordination::dispatcher::{Dispatcher, Handle};
use coordination::messages::{Grant, Refusal};
use coordination::overload::Overload;
use state::clock::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Processor time to accept a connection.
pub(super) const ACCEPT_US: u64 = 20;
/// Processor time to read a request from an open connection.
pub(super) const READ_US: u64 = 15;
/// Processor time to refuse a request that was read.
pub(super) const REFUSE_US: u64 = 15;
/// Processor time to accept a connection and close it unread.
pub(super) const CLOSE_US: u64 = 12;
/// Processor time to send a request to its engine and relay the answer.
pub(super) const SERVE_US: u64 = 150;
/// Most connections that a router accepts before it runs its other tasks.
const ACCEPT_BATCH_MAX: usize = 128;
/// Most connections that wait to be accepted by a router; further ones fail.
pub(super) const BACKLOG_MAX: usize = 256;
/// Time after which a caller gives up on a connection that was not accepted.
pub(super) const CALLER_TIMEOUT_MS: u64 = 1000;
/// Time after which the caller that a busy router refused retries.
pub(super) const BUSY_RETRY_MS: u64 = 100;
/// Interval of the probes that measure how late a router's tasks run.
pub(super) const PROBE_INTERVAL_MS: u64 = 20;
/// Interval of the load balancer's readiness checks.
pub(super) const READINESS_CHECK_MS: u64 = 1000;

/// A task that waits for a router's processor.
pub(super) enum Task {
    /// Read a request from an accepted connection; with a single queue, from a new one.
    Request(Request),
    /// Handle a grant of a scheduler.
    Grant(Grant),
    /// Handle a refusal of a scheduler.
    Refusal(Refusal),
    /// Relay the rest of an answer.
    Relay,
    /// Measure how late tasks run.
    Probe,
}

/// A router with the connections and tasks that wait for its processor.
pub(super) struct Router {
    pub(super) dispatcher: Dispatcher,
    /// Requests that the dispatcher holds.
    pub(super) requests: BTreeMap<Handle, Request>,
    /// Connections that wait to be accepted.
    pub(super) backlog: VecDeque<Request>,
    /// Tasks that wait for the processor; unused with a single queue.
    pub(super) tasks: VecDeque<Task>,
    /// Tasks of a router with a single queue, with the time at which each was queued.
    pub(super) queue: VecDeque<(u64, Task)>,
    /// Tasks to run before connections are accepted again.
    pub(super) tasks_until_accept: usize,
    /// Open connections without a request, by customer.
    pub(super) idle_connections: BTreeMap<u32, u32>,
    /// Processor time left.
    pub(super) credit_us: u64,
    pub(super) protection: Protection,
}

/// Overload protection of a router: its measured lateness, its admission limit, and its
/// readiness as the load balancer sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Protection {
    /// Time at which the next probe is due.
    pub(super) probe_due_ms: u64,
    /// Lateness of the last probe.
    pub(super) last_late_ms: u64,
    /// Lateness of the probe before the last one.
    pub(super) previous_late_ms: u64,
    /// Connections and requests admitted since the last probe.
    pub(super) admitted: u64,
    /// Connections admitted and closed since the last probe.
    pub(super) arrivals: Arrivals,
    /// Limit of the connections admitted between two probes.
    pub(super) limit: Limit,
    is_probe_queued: bool,
    pub(super) overload: Overload,
    /// Readiness checks that have failed in a row.
    failed_checks: u32,
    /// Whether the load balancer sends new connections to other routers.
    pub(super) is_out_of_rotation: bool,
}

impl Simulation {
    /// Runs a router's processor for a millisecond.
    ///
    /// The processor alternates between accepting a batch of connections and running all tasks
    /// that wait at that time.
    pub(super) fn run_processor(&mut self, index: usize) {
        let Some(budget_us) = self.setup.processor_us_per_ms else {
            return;
        };
        if let Discipline::SingleQueue {
            has_admission_control,
        } = self.setup.discipline
        {
            return self.run_processor_in_order(index, budget_us, has_admission_control);
        }
        self.queue_probe(index);
        let router = &mut self.routers[index];
        router.credit_us = (router.credit_us + budget_us).min(10 * budget_us);
        while self.routers[index].credit_us > 0 {
            let took_us = match self.routers[index].tasks_until_accept {
                0 => self.accept_connections(index),
                _ => self.run_task(index),
            };
            let router = &mut self.routers[index];
            router.credit_us = router.credit_us.saturating_sub(took_us);
            if took_us == 0 {
                return;
            }
        }
    }

    /// Accepts or closes waiting connections, and returns the processor time in microseconds; all
    /// tasks that wait then come before the next call.
    fn accept_connections(&mut self, index: usize) -> u64 {
        let mut took_us = 0;
        for _ in 0..ACCEPT_BATCH_MAX {
            let late_ms = self.lateness_ms(index);
            let router = &mut self.routers[index];
            let Some(request) = router.backlog.front() else {
                break;
            };
            let has_timed_out = self.now_ms - request.attempted_ms >= CALLER_TIMEOUT_MS;
            let protection = &router.protection;
            let admission = Admission::for_connection(
                late_ms,
                protection.arrivals,
                protection.limit.connections_max(),
            );
            if admission == Admission::Wait {
                break;
            }
            let Some(request) = router.backlog.pop_front() else {
                break;
            };
            if has_timed_out || admission == Admission::Close {
                router.protection.arrivals.closed += 1;
                took_us += CLOSE_US;
                self.reject(request, BUSY_RETRY_MS as u32);
                continue;
            }
            router.protection.admitted += 1;
            router.protection.arrivals.admitted += 1;
            took_us += ACCEPT_US;
            router.tasks.push_back(Task::Request(request));
        }
        let router = &mut self.routers[index];
        router.tasks_until_accept = router.tasks.len();
        // A turn without connections takes time, too, unless no task is left.
        took_us.max(u64::from(!router.tasks.is_empty()))
    }

    /// Runs one task and returns its processor time in microseconds.
    fn run_task(&mut self, index: usize) -> u64 {
        self.routers[index].tasks_until_accept -= 1;
        let Some(task) = self.routers[index].tasks.pop_front() else {
            return 1;
        };
        match task {
            Task::Request(request) => self.read_request(index, request),
            Task::Grant(grant) => {
                self.handle_grant(index, grant);
                SERVE_US / 2
            }
            Task::Refusal(refusal) => {
                self.handle_refusal(index, refusal);
                REFUSE_US
            }
            Task::Relay => SERVE_US / 2,
            Task::Probe => {
                self.probe(index);
                1
            }
        }
    }

    /// Reads a request, and refuses it if the router is overloaded. Returns the processor time in
    /// microseconds.
    fn read_request(&mut self, index: usize, request: Request) -> u64 {
        if Admission::for_request(self.lateness_ms(index)) == Admission::Refuse {
            self.reject(request, BUSY_RETRY_MS as u32);
            return READ_US + REFUSE_US;
        }
        self.routers[index].protection.admitted += 1;
        self.admit(index, request);
        READ_US
    }

    /// Takes an idle connection of a customer for an attempt; false if there is none.
    pub(super) fn take_idle_connection(&mut self, index: usize, customer: u32) -> bool {
        let idle_connections = self.routers[index]
            .idle_connections
            .entry(customer)
            .or_default();
        let is_reused = *idle_connections > 0;
        *idle_connections -= u32::from(is_reused);
        is_reused
    }

    /// Adds the connection of a completed answer to its customer's idle ones.
    pub(super) fn keep_connection(&mut self, index: usize, customer: u32) {
        *self.routers[index]
            .idle_connections
            .entry(customer)
            .or_default() += 1;
    }

    /// Lateness of a router's tasks that its admission control goes by.
    fn lateness_ms(&self, index: usize) -> u64 {
        let protection = &self.routers[index].protection;
        let probes = Probes {
            last_ms: protection.last_late_ms,
            previous_ms: protection.previous_late_ms,
            overdue_ms: self.now_ms.saturating_sub(protection.probe_due_ms),
            admitted: protection.admitted,
        };
        probes.lateness()
    }

    /// Queues a router's probe once it is due.
    fn queue_probe(&mut self, index: usize) {
        let protection = &mut self.routers[index].protection;
        if self.now_ms >= protection.probe_due_ms && !protection.is_probe_queued {
            protection.is_probe_queued = true;
            self.enqueue(index, Task::Probe);
        }
    }

    /// Measures how late the probe runs, and updates the admission limit and the readiness.
    fn probe(&mut self, index: usize) {
        let router = &mut self.routers[index];
        let protection = &mut router.protection;
        let late_ms = self.now_ms - protection.probe_due_ms;
        protection.previous_late_ms = std::mem::replace(&mut protection.last_late_ms, late_ms);
        protection.probe_due_ms = self.now_ms + PROBE_INTERVAL_MS;
        protection.is_probe_queued = false;
        let sustained_ms =
            Probes::sustained(late_ms, protection.previous_late_ms, protection.admitted);
        protection.admitted = 0;
        protection
            .limit
            .probe(sustained_ms, protection.arrivals.admitted);
        protection.arrivals = Arrivals::default();
        protection.overload.set_hot(router.dispatcher.is_hot());
        (protection.overload).probe(Millis(self.now_ms), late_ms, false);
    }

    /// Runs the load balancer's readiness check of all routers: two failed checks in a row take a
    /// router out of rotation, a successful one returns it.
    pub(super) fn check_readiness(&mut self) {
        for router in &mut self.routers {
            let protection = &mut router.protection;
            protection.failed_checks = match protection.overload.is_unready() {
                true => protection.failed_checks + 1,
                false => 0,
            };
            protection.is_out_of_rotation = protection.failed_checks >= 2;
        }
    }
}
