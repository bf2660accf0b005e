//! Log lines for what a router depends on: who tells it the configuration, and who
//! schedules its requests.

use super::Reactor;
use state::clock::Millis;
use state::id::{Epoch, Name};
use state::line::Line;
use state::view::Shard;
use std::collections::BTreeMap;

/// The scheduler of a shard: its VM, in its epoch.
type Peer = (Name, Epoch);

/// What was told last.
#[derive(Debug, Default)]
pub(super) struct Told {
    feed: Option<Name>,
    /// Who schedules each shard for this router; nobody but itself if it lost its own.
    schedulers: BTreeMap<Shard, Option<Peer>>,
}

impl Reactor {
    /// Logs what was lost or regained since the last call.
    pub(super) fn tell_dependencies(&mut self, now: Millis) {
        self.tell_feed(now);
        let shards = self.dispatcher.shards();
        let schedulers: BTreeMap<Shard, Option<Peer>> = shards
            .map(|(shard, up)| {
                let assignment = self.live.assignment(shard).filter(|_| up);
                (
                    shard.clone(),
                    assignment.map(|a| (a.node.vm.clone(), a.epoch)),
                )
            })
            .collect();
        for (shard, peer) in &schedulers {
            let before = self.told.schedulers.get(shard).cloned().flatten();
            if before == *peer {
                continue;
            }
            let service = self.live.config.service_name(shard.service);
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
        self.told.schedulers = schedulers;
    }

    fn tell_feed(&mut self, now: Millis) {
        let feed = self.dissemination.parent().cloned();
        if feed == self.told.feed {
            return;
        }
        let dependency = "configuration";
        let version = self.view.version.0;
        let proof_ms = self.dissemination.proof().map(|at| now.since(at));
        if let Some(peer) = &feed {
            let (event, peer) = (Line::DependencyRegained.as_str(), peer.as_str());
            tracing::info!(event, dependency, peer, version, proof_ms);
        } else {
            let event = Line::DependencyLost.as_str();
            let peer = self.told.feed.as_ref().map_or("", Name::as_str);
            tracing::warn!(event, dependency, peer, version, proof_ms);
        }
        self.told.feed = feed;
    }
}
