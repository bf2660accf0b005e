//! The platform's list of endpoints: whose turn it is, and passing news of it on.

use super::Reactor;
use coordination::listing::router_patience_ms;
use protocol::wire::Message;
use state::clock::Millis;
use state::id::{EndpointId, Name};
use state::line::Line;
use state::listing::Listed;
use std::collections::BTreeSet;

/// Readings that the other control VMs leave to the leader before they read themselves.
const CONTROL_TURNS: u64 = 2;
/// Endpoints that one log line names at most.
const NAMED: usize = 12;

impl Reactor {
    /// Time that this process waits for someone else's reading of the platform's
    /// list, in milliseconds: the leader least, then the other control VMs, then
    /// routers, each at a time of its own.
    pub(super) fn listing_patience(&self) -> u64 {
        let every = self.parts.listing_ms;
        if self.leads {
            return every;
        }
        let incarnation = self.parts.hub.hello().incarnation;
        if self.parts.control {
            return every * CONTROL_TURNS + incarnation % every.max(1);
        }
        router_patience_ms(every, self.dispatcher.routers(), incarnation)
    }

    /// Follows and passes on a reading of the platform's list.
    pub(super) fn listed(&mut self, now: Millis, changed: bool, from: Option<&Name>) {
        if changed {
            self.tell_endpoints(from);
            self.follow_live(now);
        }
        let mut to: Vec<Name> = self.dissemination.children().cloned().collect();
        if from.is_none() && self.parts.control {
            to.extend(self.members.iter().map(|p| p.vm.clone()));
        }
        let news = if changed {
            Message::ListingChange(Box::new(self.roster.told_change(now)))
        } else {
            Message::ListingKept(self.roster.listing().id)
        };
        for vm in to {
            if Some(&vm) != from && vm != self.me {
                self.parts.hub.send(&vm, news.clone());
            }
        }
    }

    /// Logs which endpoints have come, leave or have gone.
    pub(super) fn tell_endpoints(&self, from: Option<&Name>) {
        let listing = self.roster.listing();
        let before = &self.live.config.endpoints;
        let names = |wanted: &dyn Fn(&Listed) -> bool| {
            let found = listing.endpoints.iter().filter(|l| wanted(l));
            joined(found.map(|l| &l.endpoint.name))
        };
        let come = names(&|l| !before.contains_key(&l.id()));
        let leave = names(&|l| l.leaving && !self.live.leaving.contains(&l.id()));
        let now: BTreeSet<EndpointId> = listing.endpoints.iter().map(Listed::id).collect();
        let gone = before.iter().filter(|(id, _)| !now.contains(id));
        let gone = gone.map(|(_, endpoint)| endpoint);
        tracing::info!(
            event = Line::EndpointsChanged.as_str(),
            listing = listing.id,
            endpoints = listing.endpoints.len(),
            come,
            leave,
            gone = joined(gone.map(|e| &e.name)),
            from = from.map_or("", Name::as_str),
        );
    }

    pub(super) fn send_listing(&self, now: Millis, vm: &Name) {
        if !self.roster.listing().endpoints.is_empty() {
            let listing = Box::new(self.roster.told(now));
            self.parts.hub.send(vm, Message::Listing(listing));
        }
    }
}

/// The first few names, for a log line.
fn joined<'a, N>(names: N) -> String
where
    N: Iterator<Item = &'a Name>,
{
    let names: Vec<&str> = names.take(NAMED).map(Name::as_str).collect();
    names.join(",")
}
