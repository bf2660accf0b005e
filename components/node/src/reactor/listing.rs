//! The platform's list of endpoints: whose turn it is, and passing news of it on.

use super::Reactor;
use crate::input::Reading;
use coordination::listing::Reader;
use protocol::wire::Message;
use state::clock::Millis;
use state::id::Name;
use state::line::Line;

/// Endpoints that one log line names at most.
const NAMED: usize = 12;

impl Reactor {
    /// Whether this process is to read the platform's list now.
    pub(super) fn is_listing_due(&self, now: Millis) -> bool {
        let reader = if self.leads {
            Reader::Leader
        } else if self.parts.control {
            let follows_leader = self.is_led;
            Reader::Control { follows_leader }
        } else {
            Reader::Router(self.dissemination.size())
        };
        let lot = self.parts.hub.hello().incarnation;
        let patience = self
            .registry
            .read_delay_ms(reader, self.parts.listing_ms, lot);
        patience.is_some_and(|ms| self.registry.is_due(now, ms))
    }

    /// Takes what this process has read of the list.
    pub(super) fn take_reading(&mut self, now: Millis, reading: Reading) {
        // Another process has read it meanwhile: this reading began before its news came.
        if self.listing_heard.is_some_and(|at| at > reading.began) {
            return;
        }
        let draw = rand::random();
        let changed = match reading.is_whole {
            true => self.registry.apply_reading(now, reading.endpoints, draw),
            false => self
                .registry
                .apply_partial_reading(now, reading.endpoints, draw),
        };
        self.listed(now, changed, None);
    }

    /// Takes news of the list from another process.
    pub(super) fn take_listing(&mut self, now: Millis, vm: &Name, message: Message) {
        let news = match message {
            Message::Listing(listing) => Some(self.registry.apply_listing(now, *listing)),
            Message::Census(census) => Some(self.registry.apply_census(now, *census)),
            Message::ListingChange(change) => self.registry.apply_change(now, &change),
            Message::ListingUnchanged(id) => self.registry.confirm(now, id).then_some(false),
            _ => return,
        };
        let Some(is_news) = news else {
            self.parts.hub.send(vm, Message::ListingRequest);
            return;
        };
        self.listing_heard = Some(now);
        self.listed(now, is_news, Some(vm));
    }

    /// Follows and passes on a reading of the platform's list.
    fn listed(&mut self, now: Millis, changed: bool, from: Option<&Name>) {
        if changed {
            self.tell_endpoints(from);
            self.catalogue.apply_change(now, self.registry.change());
            self.follow_live(now);
        }
        let is_other = |vm: &&Name| Some(*vm) != from && **vm != self.me;
        let whole = || match changed {
            true => Message::ListingChange(Box::new(self.registry.export_change(now))),
            false => Message::ListingUnchanged(self.registry.listing().id),
        };
        if from.is_none() && self.parts.control {
            let news = whole();
            for vm in self.members.iter().map(|p| &p.vm).filter(is_other) {
                self.parts.hub.send(vm, news.clone());
            }
        }
        let news = match self.registry.census() {
            None => whole(),
            Some(census) if census.id == self.told_census => Message::ListingUnchanged(census.id),
            Some(census) => Message::Census(Box::new(census.clone())),
        };
        self.told_census = self.registry.census().map_or(0, |census| census.id);
        for vm in self.dissemination.children().filter(is_other) {
            self.parts.hub.send(vm, news.clone());
        }
    }

    /// Logs which endpoints have come, leave or have gone.
    fn tell_endpoints(&self, from: Option<&Name>) {
        let change = self.registry.change();
        let names = |leaving: bool| {
            let found = change.set.iter().filter(|l| l.leaving == leaving);
            joined(found.map(|l| &l.endpoint.name))
        };
        let census = self.registry.census();
        let counts = census.map(|c| c.counts.iter().map(|count| count.all).sum());
        // CAST: endpoints are far below 2^32.
        let held = self.registry.listing().endpoints.len() as u32;
        tracing::info!(
            event = Line::EndpointsChanged.as_str(),
            listing = self.registry.listing().id,
            endpoints = counts.unwrap_or(held),
            come = names(false),
            leave = names(true),
            gone = joined(change.gone.iter()),
            from = from.map_or("", Name::as_str),
        );
    }

    /// Tells a node that is fed from here, or a control VM, what is known of the list.
    pub(super) fn send_listing(&self, now: Millis, vm: &Name) {
        let is_member = self.members.iter().any(|p| p.vm == *vm);
        let message = match self.registry.census() {
            Some(census) if !is_member => Message::Census(Box::new(census.clone())),
            _ if self.registry.listing().endpoints.is_empty() => return,
            _ => Message::Listing(Box::new(self.registry.export(now))),
        };
        self.parts.hub.send(vm, message);
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
