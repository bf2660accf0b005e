//! Local scheduling: while a shard has no scheduler, the dispatcher grants itself a share of
//! the slots.

use super::{endpoints, set_cold, set_engines, set_software, Dispatcher, Effects};
use crate::prelude::*;
use crate::scheduler::{Effect as LocalEffect, Scheduler, Session as LocalSession, GATHER_MS};
use state::view::Shard;

/// Time without a scheduler after which the dispatcher schedules locally, in milliseconds.
pub const LOCAL_AFTER_MS: u64 = 300;

/// Epoch of a dispatcher's local scheduler; epochs of assignments begin at 1.
pub(super) const LOCAL_EPOCH: Epoch = Epoch(0);

impl Dispatcher {
    /// Applies the effects of the local scheduler.
    pub(super) fn apply_local(
        &mut self,
        now: Millis,
        shard: &Shard,
        granted: crate::scheduler::Effects,
        effects: &mut Effects,
    ) {
        for effect in granted {
            match effect {
                LocalEffect::Grant(_, grant) => self.apply_grant(now, shard, grant, effects),
                LocalEffect::Refuse(_, refusal) => self.apply_refusal(now, shard, refusal, effects),
                LocalEffect::Ejected(_)
                | LocalEffect::Restored(_)
                | LocalEffect::RequestInventory(_) => {}
            }
        }
    }

    /// Starts a local scheduler for a shard.
    pub(super) fn schedule_locally(
        &mut self,
        now: Millis,
        view: &View,
        shard: &Shard,
        effects: &mut Effects,
    ) {
        let held = self.renumber(shard);
        let backoff = self.backoffs.remaining(now);
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        // This router has the only session, so the scheduler need not gather others first.
        let gathered = Millis(now.0.saturating_sub(GATHER_MS));
        let hello = session.build_hello(held, backoff);
        session.local = Some((
            Scheduler::new(LOCAL_EPOCH, gathered),
            LocalSession::default(),
        ));
        // The scheduler must know its endpoints before the hello reports the slots in use.
        self.set_local_shares(now, view, shard);
        let session = self.sessions.get_mut(shard);
        if let Some((local, opened)) = session.and_then(|s| s.local.as_mut()) {
            *opened = local.open_session(now, None, &hello);
        }
        self.report_bounds(now, shard, effects);
        self.send_asks_for_service(now, shard, effects);
    }

    /// Sets this router's share of each endpoint in the local scheduler.
    pub(super) fn set_local_shares(&mut self, now: Millis, view: &View, shard: &Shard) {
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        let routers = session.routers;
        let has_router_count = session.has_router_count;
        let Some((local, _)) = &mut session.local else {
            return;
        };
        let slots = local.slots();
        set_engines(slots, view, shard);
        let service = view.config.services.get(&shard.service);
        if let Some(cold) = service.and_then(|s| s.cold) {
            // The number of routers that share the rate is unknown until a scheduler reports it.
            let rate = if has_router_count {
                cold.rate / routers
            } else {
                0
            };
            slots.set_cold_rate(Some(rate));
        }
        let mut total = 0;
        for (id, slots, _, leaving) in endpoints(view, shard) {
            let share = share(slots, routers, self.incarnation, id);
            total += share;
            local.slots().set(id, share, 0, leaving);
        }
        if total == 0 {
            // The least share is one slot, or no request would make progress.
            let by_hash = |e: &(EndpointId, u32, u32, bool)| hash(self.incarnation, e.0);
            let open = endpoints(view, shard).filter(|(_, _, _, leaving)| !leaving);
            if let Some((id, ..)) = open.min_by_key(by_hash) {
                local.slots().set(id, 1, 0, false);
            }
        }
        let known: Vec<EndpointId> = endpoints(view, shard).map(|e| e.0).collect();
        let slots = local.slots();
        slots.retain(|id| known.contains(&id));
        let incarnation = self.incarnation;
        set_software(slots, view, shard);
        set_cold(slots, now, view, |id| hash(incarnation, id) % 1000);
    }
}

/// A router's share of an endpoint's slots when it schedules alone.
///
/// Slots that cannot be divided evenly go to some of the routers, different ones for each
/// endpoint, so that all shares together are about the number of slots.
fn share(slots: u32, routers: u32, incarnation: u64, endpoint: EndpointId) -> u32 {
    let has_extra = hash(incarnation, endpoint) % u64::from(routers) < u64::from(slots % routers);
    slots / routers + u32::from(has_extra)
}

/// Hash of an incarnation and an endpoint.
pub(super) fn hash(incarnation: u64, endpoint: EndpointId) -> u64 {
    let mixed = incarnation ^ u64::from(endpoint.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32
}
