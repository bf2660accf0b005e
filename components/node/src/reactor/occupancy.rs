//! Reports of this router's occupancy to the VMs of its schedulers, and answers to other routers
//! as the VM of schedulers.

use super::Reactor;
use coordination::messages::Occupancy;
use coordination::occupancy::Table;
use protocol::wire::{Features, Hello, Message};
use state::clock::Millis;
use state::id::{Name, Version};
use state::line::Line;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Time between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1000;

/// State of the reports in both directions.
#[derive(Debug, Default)]
pub(super) struct Reports {
    /// Occupancies of the routers with links to this VM.
    table: Table,
    /// Peers that understand reports.
    receivers: BTreeSet<Name>,
    /// When the next report is due.
    next_at: Millis,
    /// What was last reported of this router: whether it is pressed and open, and its version of
    /// the configuration.
    reported: (bool, bool, Version),
}

impl Reactor {
    /// Registers a peer whose link is up.
    pub(super) fn open_occupancy(&mut self, hello: &Hello) {
        if !hello.extension.features.includes(Features::OCCUPANCY) {
            return;
        }
        let vm = &hello.node.vm;
        self.reports.receivers.insert(vm.clone());
        if let Some(callers) = hello.extension.callers {
            let callers = reachable(callers, hello.node.address);
            let data_centre = hello.data_centre.clone();
            self.reports.table.open(vm, data_centre, callers);
        }
    }

    /// Removes a peer whose link is down.
    pub(super) fn close_occupancy(&mut self, vm: &Name) {
        self.reports.receivers.remove(vm);
        self.reports.table.close(vm);
    }

    /// Handles a router's report.
    pub(super) fn handle_occupancy(&mut self, now: Millis, vm: &Name, occupancy: Occupancy) {
        self.reports.table.report(now, vm, occupancy);
    }

    /// Sends the reports and answers that are due.
    pub(super) fn send_occupancies(&mut self, now: Millis) {
        for (vm, peers) in self.reports.table.take_answers(now) {
            self.parts.hub.send(&vm, Message::Peers(peers));
        }
        let Some(handover) = &self.parts.handover else {
            return;
        };
        let is_current = self.parts.max_proof_age_ms.is_none_or(|bound| {
            let verified_at = self.dissemination.verified_at();
            verified_at.is_some_and(|at| now.since(at) <= bound)
        });
        // A router with too old a proof refuses customers. It is idle then, and would attract the
        // excess of all others.
        let is_open = self.ready && !self.stopping && !self.closed && !self.dedicated && is_current;
        let occupancy = handover.occupancy(is_open, self.view.config_version);
        let state = (
            occupancy.is_pressed,
            occupancy.is_open,
            occupancy.config_version,
        );
        let is_changed = state != self.reports.reported;
        if !is_changed && now < self.reports.next_at {
            return;
        }
        if occupancy.is_pressed != self.reports.reported.0 {
            let event = match occupancy.is_pressed {
                true => Line::HandoverBegan,
                false => Line::HandoverEnded,
            };
            let (event, requests) = (event.as_str(), occupancy.requests);
            tracing::info!(event, requests);
        }
        self.reports.reported = state;
        self.reports.next_at = now.after(REPORT_INTERVAL_MS);
        for vm in &self.dialed_schedulers {
            if self.reports.receivers.contains(vm) {
                self.parts.hub.send(vm, Message::Occupancy(occupancy));
            }
        }
    }

    /// Number of routers that may report to this VM.
    pub(super) fn reporting_routers(&self) -> usize {
        self.reports.table.len()
    }
}

/// Address of a router's callers as its peers reach it: a router that listens on all addresses is
/// reached at that of its links.
fn reachable(callers: SocketAddr, link: SocketAddr) -> SocketAddr {
    match callers.ip().is_unspecified() {
        true => SocketAddr::new(link.ip(), callers.port()),
        false => callers,
    }
}
