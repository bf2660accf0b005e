//! The platform's list of endpoints: when this process reads it, and how changes are propagated.

use super::Reactor;
use crate::input::Reading;
use coordination::listing::Reader;
use protocol::wire::Message;
use state::clock::Millis;
use state::id::Name;
use state::line::Line;

/// Largest number of endpoints that are named in a log line.
const NAMES_MAX: usize = 12;

impl Reactor {
    /// Whether this process should read the platform's list now.
    pub(super) fn is_listing_due(&self, now: Millis) -> bool {
        let reader = if self.is_leader {
            Reader::Leader
        } else if self.parts.is_control {
            let follows_leader = self.has_leader;
            Reader::Control { follows_leader }
        } else {
            Reader::Router(self.dissemination.routers())
        };
        let seed = self.parts.hub.hello().incarnation;
        let delay_ms = self
            .registry
            .read_delay_ms(reader, self.parts.listing_interval_ms, seed);
        delay_ms.is_some_and(|ms| self.registry.is_due(now, ms))
    }

    /// Handles the result of a read of the list by this process.
    pub(super) fn handle_reading(&mut self, now: Millis, reading: Reading) {
        // An update from another process arrived after this read began and may be newer.
        if self
            .listing_received_at
            .is_some_and(|at| at > reading.began)
        {
            return;
        }
        let reading = self.admit_reading(now, reading);
        let draw = rand::random();
        let changed = match reading.is_whole {
            true => self.registry.apply_reading(now, reading.endpoints, draw),
            false => self
                .registry
                .apply_partial_reading(now, reading.endpoints, draw),
        };
        self.propagate_listing(now, changed, None);
    }

    /// Handles an update of the list from another process.
    pub(super) fn handle_listing(&mut self, now: Millis, vm: &Name, message: Message) {
        let changed = match message {
            Message::Listing(listing) => Some(self.registry.apply_listing(now, *listing)),
            Message::Census(census) => Some(self.registry.apply_census(now, *census)),
            Message::ListingChange(change) => self.registry.apply_change(now, &change),
            Message::ListingUnchanged(id) => self.registry.confirm(now, id).then_some(false),
            _ => return,
        };
        let Some(changed) = changed else {
            self.parts.hub.send(vm, Message::ListingRequest);
            return;
        };
        self.listing_received_at = Some(now);
        if changed {
            self.record_received(vm);
        }
        self.propagate_listing(now, changed, Some(vm));
    }

    /// Applies an update of the list and passes it on: from a control VM to the other members,
    /// if this process read it, and always to children.
    pub(super) fn propagate_listing(&mut self, now: Millis, changed: bool, from: Option<&Name>) {
        if changed {
            self.log_endpoints(from);
            self.catalogue.apply_change(now, self.registry.change());
            self.update_effective_view(now);
        }
        let is_other = |vm: &&Name| Some(*vm) != from && **vm != self.me;
        let update = || match changed {
            true => Message::ListingChange(Box::new(self.registry.export_change(now))),
            false => Message::ListingUnchanged(self.registry.listing().id),
        };
        if from.is_none() && self.parts.is_control {
            let message = update();
            for vm in self.members.iter().map(|p| &p.vm).filter(is_other) {
                self.parts.hub.send(vm, message.clone());
            }
        }
        let message = match self.registry.census() {
            None => update(),
            Some(census) if census.id == self.sent_census => Message::ListingUnchanged(census.id),
            Some(census) => Message::Census(Box::new(census.clone())),
        };
        self.sent_census = self.registry.census().map_or(0, |census| census.id);
        for vm in self.dissemination.children().filter(is_other) {
            self.parts.hub.send(vm, message.clone());
        }
    }

    /// Logs which endpoints were added, are draining or were removed.
    fn log_endpoints(&self, from: Option<&Name>) {
        let change = self.registry.change();
        let names_of = |leaving: bool| {
            let found = change.set.iter().filter(|l| l.leaving == leaving);
            join_names(found.map(|l| &l.endpoint.name))
        };
        let census = self.registry.census();
        let counts = census.map(|c| c.counts.iter().map(|count| count.all).sum());
        // CAST: a fleet has far fewer than 2^32 endpoints.
        let held = self.registry.listing().endpoints.len() as u32;
        tracing::info!(
            event = Line::EndpointsChanged.as_str(),
            listing = self.registry.listing().id,
            endpoints = counts.unwrap_or(held),
            come = names_of(false),
            leave = names_of(true),
            gone = join_names(change.gone.iter()),
            from = from.map_or("", Name::as_str),
        );
    }

    /// Sends the known list, or its census, to a child or a control VM.
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

/// Joins the first [`NAMES_MAX`] names for a log line.
fn join_names<'a, N>(names: N) -> String
where
    N: Iterator<Item = &'a Name>,
{
    let names: Vec<&str> = names.take(NAMES_MAX).map(Name::as_str).collect();
    names.join(",")
}
