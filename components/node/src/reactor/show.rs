//! What the reactor shows to the rest of the process and to operators.

use super::Reactor;
use crate::input::Watched;
use crate::metric::gauge_value;
use crate::shared::{Shared, Status};
use coordination::dispatcher::endpoints;
use state::id::Name;
use state::line::Line;
use std::collections::BTreeSet;
use std::sync::Arc;

impl Reactor {
    pub(super) fn publish(&self) {
        let shared = Shared {
            view: self.live.clone(),
            index: self.index.clone(),
            ready: self.ready,
            stopping: self.stopping,
            closed: self.closed,
            is_dedicated: self.dedicated,
            is_hot: self.dispatcher.is_hot(),
            verified_at: self.dissemination.proof(),
            routers: (self.dispatcher.routers()).max(self.dissemination.size().unwrap_or(1)),
        };
        self.parts.publish.send_replace(Arc::new(shared));
    }

    /// Sends new callers to other routers while this VM schedules for many.
    pub(super) fn dedicate(&mut self) {
        let dedicated = self.schedulers.is_dedicated(&self.live);
        if dedicated != self.dedicated {
            tracing::info!(event = Line::Dedicated.as_str(), dedicated);
            self.dedicated = dedicated;
            self.dirty = true;
        }
    }

    /// Logs which data centres are evacuated from now on, and which no longer.
    pub(super) fn tell_evacuations(&mut self) {
        let evacuated: BTreeSet<Name> = self.view.evacuated().cloned().collect();
        let version = self.view.version.0;
        for data_centre in evacuated.difference(&self.evacuated) {
            let event = Line::EvacuationBegan.as_str();
            tracing::info!(event, %data_centre, version);
        }
        for data_centre in self.evacuated.difference(&evacuated) {
            let event = Line::EvacuationEnded.as_str();
            tracing::info!(event, %data_centre, version);
        }
        self.evacuated = evacuated;
    }

    pub(super) fn measure(&mut self) {
        let m = &self.parts.metrics;
        m.waiting.set(gauge_value(self.dispatcher.waiting()));
        m.held.set(gauge_value(self.dispatcher.held()));
        m.version.set(gauge_value(self.view.version.0));
        m.evacuated.set(gauge_value(self.evacuated.len()));
        m.ready.set(i64::from(self.ready && !self.stopping));
        m.local.set(gauge_value(
            self.dispatcher.shards().filter(|(_, up)| !up).count(),
        ));
        self.schedulers.measure(&self.live);
        let (datagrams, udp) = self.parts.hub.udp_traffic();
        let set = |what, number| m.link.with_label_values(&[what]).set(gauge_value(number));
        set("datagrams", datagrams);
        set("datagram_bytes", udp);
        set("links", self.parts.hub.peers().len() as u64);
        for (kind, (frames, bytes)) in self.parts.hub.counts().frames_by_kind() {
            m.frames
                .with_label_values(&[kind, "frames"])
                .set(gauge_value(frames));
            m.frames
                .with_label_values(&[kind, "bytes"])
                .set(gauge_value(bytes));
        }
    }

    pub(super) fn watched(&self) -> Vec<Watched> {
        let config = &self.live.config;
        let mut watched = Vec::new();
        for shard in self.schedulers.shards() {
            let service = config.services.get(&shard.service);
            let Some(path) = service.and_then(|s| s.load.clone()) else {
                continue;
            };
            for (endpoint, ..) in endpoints(&self.live, &shard) {
                let address = config.endpoints.get(&endpoint).map(|e| e.address);
                watched.extend(address.map(|address| Watched {
                    endpoint,
                    address,
                    path: path.clone(),
                }));
            }
        }
        watched
    }

    pub(super) fn status(&self) -> Status {
        let customers = &self.view.config.customers;
        let name = |id| {
            customers
                .get(id)
                .map_or(String::new(), |c| c.name.to_string())
        };
        Status {
            vm: self.me.clone(),
            incarnation: self.parts.hub.hello().incarnation,
            version: self.view.version.0,
            config_version: self.view.config_version.0,
            ready: self.ready,
            stopping: self.stopping,
            parent: self.dissemination.parent().cloned(),
            confirmed: self.dissemination.total(self.view.version),
            peers: self
                .parts
                .hub
                .peers()
                .into_iter()
                .map(|p| p.place.vm)
                .collect(),
            waiting: self
                .dispatcher
                .queues()
                .iter()
                .map(|(id, n)| (name(id), *n))
                .collect(),
            held: self.dispatcher.held(),
            local: (self.dispatcher.shards())
                .filter(|(_, up)| !up)
                .map(|(shard, _)| shard.clone())
                .collect(),
            schedulers: self.schedulers.status(&self.view),
            quarantined: self.quarantine.quarantined(),
            evacuated: self.view.evacuated().cloned().collect(),
            control: None,
        }
    }
}
