//! Naive schedulers to compare with: one global queue, and round robin on each router.

use super::{Job, Policy};
use state::id::CustomerId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A naive scheduler of the kind that `policy` names.
pub(crate) struct Naive {
    policy: Policy,
    /// Slots of each endpoint.
    endpoint_slots: u32,
    /// Queue of each customer, by router; the global queue is at index 0.
    queues: Vec<BTreeMap<CustomerId, VecDeque<Job>>>,
    /// Customer that each router served last.
    last_customer: Vec<CustomerId>,
    /// Service by customer, in units. The whole cost counts as soon as a request starts.
    served_units: BTreeMap<CustomerId, u64>,
    /// Customers that have sent a request.
    known: BTreeSet<CustomerId>,
    /// Router that was served last.
    last_router: usize,
    /// Requests in progress of each router.
    running: Vec<u32>,
    /// Slots that each router may use.
    router_slots: u32,
}

impl Naive {
    pub(crate) fn new(policy: Policy, routers: usize, endpoints: u32, endpoint_slots: u32) -> Self {
        let count = if policy == Policy::GlobalQueue {
            1
        } else {
            routers
        };
        Naive {
            policy,
            endpoint_slots,
            queues: vec![BTreeMap::new(); count],
            last_customer: vec![CustomerId(0); count],
            served_units: BTreeMap::new(),
            known: BTreeSet::new(),
            last_router: 0,
            running: vec![0; routers],
            router_slots: (endpoints * endpoint_slots).div_ceil(u32::try_from(routers).unwrap()),
        }
    }

    /// Queues a request. A new customer starts at the lowest service of all customers.
    pub(crate) fn push(&mut self, job: Job) {
        let queue = if self.policy == Policy::GlobalQueue {
            0
        } else {
            job.router
        };
        if self.known.insert(job.customer) {
            let lowest = self.served_units.values().min().copied().unwrap_or(0);
            self.served_units.insert(job.customer, lowest);
        }
        self.queues[queue]
            .entry(job.customer)
            .or_default()
            .push_back(job);
    }

    /// Frees the slot of a request that has ended.
    pub(crate) fn release(&mut self, job: Job) {
        self.running[job.router] -= 1;
    }

    /// Assigns queued requests to free slots, given the requests on each endpoint.
    pub(crate) fn fill_slots(&mut self, busy: &[u32]) -> Vec<(Job, usize)> {
        let mut busy = busy.to_vec();
        let mut assigned = Vec::new();
        loop {
            let free = (0..busy.len())
                .filter(|n| busy[*n] < self.endpoint_slots)
                .min_by_key(|n| busy[*n]);
            let Some(endpoint) = free else {
                return assigned;
            };
            let Some(job) = self.pop_next() else {
                return assigned;
            };
            busy[endpoint] += 1;
            self.running[job.router] += 1;
            assigned.push((job, endpoint));
        }
    }

    /// Removes the request that is served next from its queue.
    fn pop_next(&mut self) -> Option<Job> {
        if self.policy == Policy::GlobalQueue {
            let served_units = &self.served_units;
            let waiting = self.queues[0].iter().filter(|(_, q)| !q.is_empty());
            let customer = *waiting
                .min_by_key(|(c, _)| served_units.get(c).copied().unwrap_or(0))?
                .0;
            let job = self.queues[0].get_mut(&customer)?.pop_front()?;
            *self.served_units.entry(customer).or_default() += u64::from(job.cost);
            return Some(job);
        }
        // Round robin over routers, and over the customers of a router, within its slots.
        for _ in 0..self.queues.len() {
            self.last_router = (self.last_router + 1) % self.queues.len();
            let router = self.last_router;
            if self.running[router] >= self.router_slots {
                continue;
            }
            let last = self.last_customer[router];
            let queue = &mut self.queues[router];
            let waiting: Vec<CustomerId> = queue
                .iter()
                .filter(|(_, q)| !q.is_empty())
                .map(|(c, _)| *c)
                .collect();
            let after = waiting.iter().find(|c| **c > last).or(waiting.first());
            if let Some(customer) = after.copied() {
                self.last_customer[router] = customer;
                return queue.get_mut(&customer)?.pop_front();
            }
        }
        None
    }
}
