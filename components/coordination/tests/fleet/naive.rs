//! Naive ways to share: one global queue, and turns on each router.

use super::{Job, Policy};
use state::id::CustomerId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) struct Naive {
    policy: Policy,
    batch: u32,
    /// Queues by router and customer; the global queue is router 0.
    queues: Vec<BTreeMap<CustomerId, VecDeque<Job>>>,
    turn: Vec<CustomerId>,
    /// Service given, known to the unit at once.
    given: BTreeMap<CustomerId, u64>,
    known: BTreeSet<CustomerId>,
    first: usize,
    /// Requests in progress of each router.
    running: Vec<u32>,
    share: u32,
}

impl Naive {
    pub(crate) fn new(policy: Policy, routers: usize, endpoints: u32, batch: u32) -> Self {
        let count = if policy == Policy::GlobalQueue {
            1
        } else {
            routers
        };
        Naive {
            policy,
            batch,
            queues: vec![BTreeMap::new(); count],
            turn: vec![CustomerId(0); count],
            given: BTreeMap::new(),
            known: BTreeSet::new(),
            first: 0,
            running: vec![0; routers],
            share: (endpoints * batch).div_ceil(u32::try_from(routers).unwrap()),
        }
    }

    pub(crate) fn push(&mut self, job: Job) {
        let queue = if self.policy == Policy::GlobalQueue {
            0
        } else {
            job.router
        };
        if self.known.insert(job.customer) {
            let lowest = self.given.values().min().copied().unwrap_or(0);
            self.given.insert(job.customer, lowest);
        }
        self.queues[queue]
            .entry(job.customer)
            .or_default()
            .push_back(job);
    }

    pub(crate) fn ended(&mut self, job: Job) {
        self.running[job.router] -= 1;
    }

    /// Fills free slots.
    pub(crate) fn place(&mut self, busy: &[u32]) -> Vec<(Job, usize)> {
        let mut busy = busy.to_vec();
        let mut placed = Vec::new();
        loop {
            let free = (0..busy.len())
                .filter(|n| busy[*n] < self.batch)
                .min_by_key(|n| busy[*n]);
            let Some(endpoint) = free else {
                return placed;
            };
            let Some(job) = self.next() else {
                return placed;
            };
            busy[endpoint] += 1;
            self.running[job.router] += 1;
            placed.push((job, endpoint));
        }
    }

    fn next(&mut self) -> Option<Job> {
        if self.policy == Policy::GlobalQueue {
            let given = &self.given;
            let waiting = self.queues[0].iter().filter(|(_, q)| !q.is_empty());
            let customer = *waiting
                .min_by_key(|(c, _)| given.get(c).copied().unwrap_or(0))?
                .0;
            let job = self.queues[0].get_mut(&customer)?.pop_front()?;
            *self.given.entry(customer).or_default() += u64::from(job.cost);
            return Some(job);
        }
        // Routers take turns; each gives its customers turns, within its share.
        for _ in 0..self.queues.len() {
            self.first = (self.first + 1) % self.queues.len();
            let router = self.first;
            if self.running[router] >= self.share {
                continue;
            }
            let last = self.turn[router];
            let queue = &mut self.queues[router];
            let waiting: Vec<CustomerId> = queue
                .iter()
                .filter(|(_, q)| !q.is_empty())
                .map(|(c, _)| *c)
                .collect();
            let after = waiting.iter().find(|c| **c > last).or(waiting.first());
            if let Some(customer) = after.copied() {
                self.turn[router] = customer;
                return queue.get_mut(&customer)?.pop_front();
            }
        }
        None
    }
}
