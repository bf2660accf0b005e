//! A router with a single queue: it runs all tasks in the order of their arrival, and each attempt
//! opens a new connection.

use super::router::{
    Task, ACCEPT_US, BUSY_RETRY_MS, CLOSE_US, PROBE_INTERVAL_MS, READ_US, REFUSE_US,
};
use super::router::{CALLER_TIMEOUT_MS, SERVE_US};
use super::{Request, Simulation};
use coordination::admission::{Admission, Arrivals, Probes};
use coordination::overload::OVERLOAD_LATENESS_MS;
use state::clock::Millis;

/// Most attempts that wait to be read; further ones get no connection.
const BACKLOG_MAX: usize = 1024;

impl Simulation {
    /// Queues an attempt, or refuses it if too many wait.
    pub(super) fn submit_in_order(&mut self, index: usize, request: Request) {
        let router = &mut self.routers[index];
        let attempts = router.queue.iter();
        let attempts = attempts.filter(|(_, task)| matches!(task, Task::Request(_)));
        if attempts.count() + router.backlog.len() >= BACKLOG_MAX {
            return self.reject(request, BUSY_RETRY_MS as u32);
        }
        self.enqueue(index, Task::Request(request));
    }

    /// Runs a router's processor for a millisecond.
    pub(super) fn run_processor_in_order(
        &mut self,
        index: usize,
        budget_us: u64,
        has_admission_control: bool,
    ) {
        self.probe_in_order(index);
        let router = &mut self.routers[index];
        router.credit_us = (router.credit_us + budget_us).min(10 * budget_us);
        while self.routers[index].credit_us > 0 {
            let Some((_, task)) = self.routers[index].queue.pop_front() else {
                return;
            };
            let took_us = match task {
                Task::Request(request) if has_admission_control => {
                    self.accept_in_order(index, request)
                }
                Task::Request(request) => self.read_in_order(index, request),
                Task::Grant(grant) => {
                    self.handle_grant(index, grant);
                    SERVE_US / 2
                }
                Task::Refusal(refusal) => {
                    self.handle_refusal(index, refusal);
                    REFUSE_US
                }
                Task::Relay => SERVE_US / 2,
                Task::Probe => 0,
            };
            let router = &mut self.routers[index];
            router.credit_us = router.credit_us.saturating_sub(took_us);
        }
    }

    /// Reads an attempt without admission control, and refuses it if the router is overloaded.
    /// Returns the processor time in microseconds.
    fn read_in_order(&mut self, index: usize, request: Request) -> u64 {
        if self.now_ms - request.attempted_ms >= CALLER_TIMEOUT_MS {
            self.reject(request, BUSY_RETRY_MS as u32);
            return ACCEPT_US;
        }
        if self.lateness_in_order_ms(index) >= OVERLOAD_LATENESS_MS {
            self.reject(request, BUSY_RETRY_MS as u32);
            return ACCEPT_US + READ_US + REFUSE_US;
        }
        self.admit(index, request);
        ACCEPT_US + READ_US
    }

    /// Admits an attempt within the connection limit; closes it unread or leaves it in the backlog
    /// otherwise. Returns the processor time in microseconds.
    fn accept_in_order(&mut self, index: usize, request: Request) -> u64 {
        let late_ms = self.lateness_in_order_ms(index);
        let protection = &mut self.routers[index].protection;
        let has_timed_out = self.now_ms - request.attempted_ms >= CALLER_TIMEOUT_MS;
        let connections_max = protection.limit.connections_max();
        let admission = Admission::for_connection(late_ms, protection.arrivals, connections_max);
        if admission == Admission::Wait {
            self.routers[index].backlog.push_back(request);
            return 0;
        }
        if has_timed_out || admission == Admission::Close {
            protection.arrivals.closed += 1;
            self.reject(request, BUSY_RETRY_MS as u32);
            return CLOSE_US;
        }
        protection.arrivals.admitted += 1;
        protection.admitted += 1;
        self.admit(index, request);
        ACCEPT_US + READ_US
    }

    /// Lateness of a router's tasks that its admission control goes by.
    fn lateness_in_order_ms(&self, index: usize) -> u64 {
        let protection = &self.routers[index].protection;
        let probes = Probes {
            last_ms: protection.last_late_ms,
            previous_ms: protection.previous_late_ms,
            overdue_ms: self.now_ms.saturating_sub(protection.probe_due_ms),
            admitted: protection.admitted,
        };
        probes.lateness()
    }

    /// Measures how late tasks run, once all tasks queued before the probe was due have run, and
    /// updates the admission limit and the readiness.
    fn probe_in_order(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let router = &mut self.routers[index];
        let oldest_ms = router.queue.front().map(|(queued_ms, _)| *queued_ms);
        let protection = &mut router.protection;
        if now_ms < protection.probe_due_ms
            || oldest_ms.is_some_and(|queued_ms| queued_ms < protection.probe_due_ms)
        {
            return;
        }
        let late_ms = now_ms - protection.probe_due_ms;
        protection.previous_late_ms = std::mem::replace(&mut protection.last_late_ms, late_ms);
        protection.probe_due_ms = now_ms + PROBE_INTERVAL_MS;
        let sustained_ms =
            Probes::sustained(late_ms, protection.previous_late_ms, protection.admitted);
        protection
            .limit
            .probe(sustained_ms, protection.arrivals.admitted);
        (protection.admitted, protection.arrivals) = (0, Arrivals::default());
        // Connections left in the backlog are tried again before later ones.
        while let Some(request) = router.backlog.pop_back() {
            router.queue.push_front((now_ms, Task::Request(request)));
        }
        protection.overload.set_hot(router.dispatcher.is_hot());
        (protection.overload).probe(Millis(now_ms), late_ms, false);
    }
}
