//! Log lines for what a router depends on: who tells it the configuration, and who
//! schedules its requests.

use super::Reactor;
use state::clock::Millis;
use state::id::Name;
use state::line::Line;
use state::view::Shard;
use std::collections::BTreeMap;

/// What was told last.
#[derive(Debug, Default)]
pub(super) struct Told {
    feed: Option<Name>,
    schedulers: BTreeMap<Shard, bool>,
}

impl Reactor {
    /// Logs what was lost or regained since the last call.
    pub(super) fn tell_dependencies(&mut self, now: Millis) {
        self.tell_feed(now);
        let shards = self.dispatcher.shards();
        let shards: BTreeMap<Shard, bool> = shards.map(|(s, up)| (s.clone(), up)).collect();
        for (shard, up) in &shards {
            // One that is being sought for the first time was not lost.
            let before = self.told.schedulers.get(shard).copied().unwrap_or(false);
            if before == *up {
                continue;
            }
            let service = self.live.config.service_name(shard.service);
            let assignment = self.live.assignment(shard);
            let epoch = assignment.map(|a| a.epoch.0);
            let peer = assignment.map_or("", |a| a.place.vm.as_str());
            let dependency = "scheduler";
            if *up {
                let event = Line::DependencyRegained.as_str();
                tracing::info!(event, dependency, service, peer, epoch);
            } else {
                let event = Line::DependencyLost.as_str();
                tracing::warn!(event, dependency, service, peer, epoch);
            }
        }
        self.told.schedulers = shards;
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
