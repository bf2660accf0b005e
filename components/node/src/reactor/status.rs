//! State that the reactor publishes to the rest of the process and reports to operators.

use super::Reactor;
use crate::input::Watched;
use crate::metric::gauge_value;
use crate::shared::{QuarantinedPart, Shared, Status};
use coordination::dispatcher::endpoints;
use state::fingerprint::Fingerprint;
use state::id::{CustomerId, Name};
use state::line::Line;
use std::collections::BTreeSet;
use std::sync::Arc;

impl Reactor {
    /// Publishes the current state to the rest of the process.
    pub(super) fn publish(&self) {
        let shared = Shared {
            view: self.effective.clone(),
            index: self.index.clone(),
            ready: self.ready,
            stopping: self.stopping,
            closed: self.closed,
            is_dedicated: self.dedicated,
            is_hot: self.dispatcher.is_hot(),
            verified_at: self.dissemination.verified_at(),
            routers: (self.dispatcher.routers()).max(self.dissemination.routers().unwrap_or(1)),
        };
        self.parts.publish.send_replace(Arc::new(shared));
    }

    /// Updates whether this VM schedules for so many routers that new callers should use others.
    pub(super) fn update_dedicated(&mut self) {
        let dedicated = self.schedulers.is_dedicated(&self.effective);
        if dedicated != self.dedicated {
            tracing::info!(event = Line::Dedicated.as_str(), dedicated);
            self.dedicated = dedicated;
            self.dirty = true;
        }
    }

    /// Logs evacuations that have begun or ended since the last call.
    pub(super) fn log_evacuations(&mut self) {
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

    /// Updates the gauges.
    pub(super) fn update_metrics(&mut self) {
        let metrics = &self.parts.metrics;
        metrics.waiting.set(gauge_value(self.dispatcher.waiting()));
        metrics.in_progress.set(gauge_value(self.dispatcher.held()));
        metrics
            .moved_streams
            .inc_by(self.dispatcher.take_moved_streams());
        metrics.version.set(gauge_value(self.view.version.0));
        metrics.evacuated.set(gauge_value(self.evacuated.len()));
        metrics.ready.set(i64::from(self.ready && !self.stopping));
        metrics.local_shards.set(gauge_value(
            self.dispatcher.shards().filter(|(_, up)| !up).count(),
        ));
        let now = self.now();
        let reporting_routers = gauge_value(self.reporting_routers());
        metrics.reporting_routers.set(reporting_routers);
        let routers = self.dissemination.routers().unwrap_or(0);
        metrics.routers.set(i64::from(routers));
        self.schedulers.update_metrics(now, &self.effective);
        let (datagrams, bytes) = self.parts.hub.udp_traffic();
        let set = |what, number| {
            metrics
                .links
                .with_label_values(&[what])
                .set(gauge_value(number))
        };
        set("datagrams", datagrams);
        set("datagram_bytes", bytes);
        set("links", self.parts.hub.peers().len() as u64);
        set("buffered_bytes", self.parts.hub.buffered_bytes() as u64);
        for (kind, (frames, bytes)) in self.parts.hub.counts().frames_by_kind() {
            metrics
                .frames
                .with_label_values(&[kind, "frames"])
                .set(gauge_value(frames));
            metrics
                .frames
                .with_label_values(&[kind, "bytes"])
                .set(gauge_value(bytes));
        }
    }

    /// Endpoints that are scheduled here and have a load report.
    pub(super) fn watched_endpoints(&self) -> Vec<Watched> {
        let config = &self.effective.config;
        let mut watched = Vec::new();
        for shard in self.schedulers.shards() {
            let service = config.services.get(&shard.service);
            let Some(path) = service.and_then(|s| s.load.clone()) else {
                continue;
            };
            for (endpoint, ..) in endpoints(&self.effective, &shard) {
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

    /// State of this process, for operators.
    pub(super) fn status(&self) -> Status {
        let customers = &self.view.config.customers;
        let name = |id: &CustomerId| {
            customers
                .get(id)
                .map_or(String::new(), |c| c.name.to_string())
        };
        let refused = self.quarantine.quarantined();
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
                .map(|p| p.node.vm)
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
            quarantined: refused.iter().map(Fingerprint::to_string).collect(),
            quarantined_parts: (refused.iter())
                .filter_map(|fingerprint| {
                    let (part, customer) = fingerprint.part()?;
                    let part = QuarantinedPart {
                        part: part.to_string(),
                        customer: customer.map(|id| name(&id)),
                    };
                    Some((fingerprint.to_string(), part))
                })
                .collect(),
            evacuated: self.view.evacuated().cloned().collect(),
            control: None,
        }
    }
}
