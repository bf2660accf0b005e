//! Log lines about what a router depends on: the parent that sends it the configuration, and the
//! schedulers of its requests.

use super::Reactor;
use state::clock::Millis;
use state::id::{Epoch, Name};
use state::line::Line;
use state::view::Shard;
use std::collections::BTreeMap;

/// The scheduler of a shard: its VM and epoch.
type Peer = (Name, Epoch);

/// Dependencies as they were last logged.
#[derive(Debug, Default)]
pub(super) struct Logged {
    /// Parent that sends the configuration.
    parent: Option<Name>,
    /// Scheduler of each shard; `None` while this router cannot reach it and schedules alone.
    schedulers: BTreeMap<Shard, Option<Peer>>,
}

impl Reactor {
    /// Logs dependencies that were lost or regained since the last call.
    pub(super) fn log_dependencies(&mut self, now: Millis) {
        self.log_parent(now);
        let shards = self.dispatcher.shards();
        let schedulers: BTreeMap<Shard, Option<Peer>> = shards
            .map(|(shard, up)| {
                let assignment = self.effective.assignment(shard).filter(|_| up);
                (
                    shard.clone(),
                    assignment.map(|a| (a.node.vm.clone(), a.epoch)),
                )
            })
            .collect();
        for (shard, peer) in &schedulers {
            let before = self.logged.schedulers.get(shard).cloned().flatten();
            if before == *peer {
                continue;
            }
            let service = self.effective.config.service_name(shard.service);
            let dependency = "scheduler";
            match (peer, before) {
                (Some((vm, epoch)), _) => {
                    let event = Line::DependencyRegained.as_str();
                    tracing::info!(event, dependency, service, peer = %vm, epoch = epoch.0);
                }
                (None, Some((vm, epoch))) => {
                    let event = Line::DependencyLost.as_str();
                    tracing::warn!(event, dependency, service, peer = %vm, epoch = epoch.0);
                }
                (None, None) => {}
            }
        }
        self.logged.schedulers = schedulers;
    }

    /// Logs a change of the parent.
    fn log_parent(&mut self, now: Millis) {
        let parent = self.dissemination.parent().cloned();
        if parent == self.logged.parent {
            return;
        }
        let dependency = "configuration";
        let version = self.view.version.0;
        let proof_ms = self.dissemination.verified_at().map(|at| now.since(at));
        if let Some(peer) = &parent {
            let (event, peer) = (Line::DependencyRegained.as_str(), peer.as_str());
            tracing::info!(event, dependency, peer, version, proof_ms);
        } else {
            let event = Line::DependencyLost.as_str();
            let peer = self.logged.parent.as_ref().map_or("", Name::as_str);
            tracing::warn!(event, dependency, peer, version, proof_ms);
        }
        self.logged.parent = parent;
    }
}
