//! Occupancy of the routers that a scheduler's VM has links to.
//!
//! A router that is flooded while its neighbours are idle needs to know which of them have room.
//! Every router reports once a second to the VMs of its schedulers, and these answer those that
//! are under pressure. Several flooded routers share what is free, so that together they do not
//! overload the emptiest neighbour.

use crate::handover::{must_decline, PEERS_MAX};
use crate::messages::{Occupancy, Peer};
use state::clock::Millis;
use state::id::{Name, Version};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Age of a report from which it is not used, in milliseconds. Routers report once a second.
const REPORT_AGE_MAX_MS: u64 = 2000;
/// Least time between two answers to one router, in milliseconds.
const ANSWER_INTERVAL_MS: u64 = 200;

/// A router with a link.
#[derive(Clone, Debug)]
struct Router {
    data_centre: Name,
    callers: SocketAddr,
    /// Its last report, and when it arrived.
    report: Option<(Millis, Occupancy)>,
    /// When its peers were last sent to it.
    answered_at: Option<Millis>,
}

impl Router {
    /// The last report, if it is recent enough.
    fn occupancy(&self, now: Millis) -> Option<(u64, Occupancy)> {
        let (at, occupancy) = self.report?;
        let age_ms = now.since(at);
        (age_ms < REPORT_AGE_MAX_MS).then_some((age_ms, occupancy))
    }
}

/// Occupancies of routers, each as long as the link to it is up.
#[derive(Clone, Debug, Default)]
pub struct Table {
    routers: BTreeMap<Name, Router>,
}

impl Table {
    /// Adds a router whose link is up.
    pub fn open(&mut self, vm: &Name, data_centre: Name, callers: SocketAddr) {
        let router = Router {
            data_centre,
            callers,
            report: None,
            answered_at: None,
        };
        self.routers.insert(vm.clone(), router);
    }

    /// Removes a router whose link is down.
    pub fn close(&mut self, vm: &Name) {
        self.routers.remove(vm);
    }

    /// Number of routers.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Whether there are no routers.
    pub fn is_empty(&self) -> bool {
        self.routers.is_empty()
    }

    /// Records a router's report.
    pub fn report(&mut self, now: Millis, vm: &Name, occupancy: Occupancy) {
        if let Some(router) = self.routers.get_mut(vm) {
            router.report = Some((now, occupancy));
        }
    }

    /// Peers to send to routers under pressure now.
    pub fn take_answers(&mut self, now: Millis) -> Vec<(Name, Vec<Peer>)> {
        let is_due = |router: &Router| {
            let is_pressed = router.occupancy(now).is_some_and(|(_, o)| o.is_pressed);
            let answered_at = router.answered_at;
            is_pressed && answered_at.is_none_or(|at| now.since(at) >= ANSWER_INTERVAL_MS)
        };
        let due: Vec<Name> = (self.routers.iter())
            .filter(|(_, router)| is_due(router))
            .map(|(vm, _)| vm.clone())
            .collect();
        let answers = due.into_iter().map(|vm| {
            let peers = self.peers(now, &vm);
            if let Some(router) = self.routers.get_mut(&vm) {
                router.answered_at = Some(now);
            }
            (vm, peers)
        });
        answers.collect()
    }

    /// Routers of the same data centre with the most room, each with this router's share of it.
    /// Those with an older configuration than the router's own would decline its requests.
    fn peers(&self, now: Millis, vm: &Name) -> Vec<Peer> {
        let Some(asker) = self.routers.get(vm) else {
            return Vec::new();
        };
        let near = || {
            let all = self.routers.iter();
            all.filter(|(_, router)| router.data_centre == asker.data_centre)
                .filter_map(|(name, router)| Some((name, router, router.occupancy(now)?)))
        };
        let version = (asker.report).map_or(Version(0), |(_, own)| own.config_version);
        let pressed = near().filter(|(_, _, (_, o))| o.is_pressed).count().max(1);
        let mut peers: Vec<Peer> = near()
            .filter(|(name, _, (_, o))| *name != vm && o.is_open && !o.is_pressed)
            .filter(|(_, _, (_, o))| !must_decline(o.config_version, version))
            .map(|(name, router, (age_ms, occupancy))| Peer {
                vm: name.clone(),
                callers: router.callers,
                // CAST: the quotient is not greater than the dividend.
                free_permille: (usize::from(occupancy.free_permille) / pressed) as u16,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
                config_version: occupancy.config_version,
            })
            .collect();
        // Among equals each router begins with those that follow it by name.
        peers.sort_by_key(|peer| {
            let precedes = peer.vm < *vm;
            (Reverse(peer.free_permille), precedes, peer.vm.clone())
        });
        peers.truncate(PEERS_MAX);
        peers
    }
}
