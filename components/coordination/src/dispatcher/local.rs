//! How a dispatcher grants itself a share of the slots, while it has no scheduler.

use super::{endpoints, set_cold, set_engines, Dispatcher, Effects};
use crate::prelude::*;
use crate::scheduler::{Effect as LocalEffect, Scheduler, Session as LocalSession, GATHER_MS};
use state::view::Shard;

/// Time without a scheduler after which the dispatcher grants itself, in milliseconds.
pub const LOCAL_AFTER_MS: u64 = 300;

/// The epoch of a dispatcher that schedules for itself; assignments begin at 1.
pub(super) const LOCAL: Epoch = Epoch(0);

impl Dispatcher {
    pub(super) fn use_local(
        &mut self,
        now: Millis,
        shard: &Shard,
        granted: crate::scheduler::Effects,
        effects: &mut Effects,
    ) {
        for effect in granted {
            match effect {
                LocalEffect::Grant(_, grant) => self.use_grant(now, shard, grant, effects),
                LocalEffect::Refuse(_, refusal) => self.use_refusal(now, shard, refusal, effects),
                LocalEffect::Ejected(_)
                | LocalEffect::Restored(_)
                | LocalEffect::RequestInventory(_) => {}
            }
        }
    }

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
        // It need not gather, it is alone.
        let past = Millis(now.0.saturating_sub(GATHER_MS));
        let hello = session.introduce(held, backoff);
        session.local = Some((Scheduler::new(LOCAL, past), LocalSession::default()));
        // It must know its endpoints before it hears what they have.
        self.arm_local(now, view, shard);
        let session = self.sessions.get_mut(shard);
        if let Some((local, opened)) = session.and_then(|s| s.local.as_mut()) {
            *opened = local.open_session(now, None, &hello);
        }
        self.announce_all(now, shard, effects);
    }

    /// Gives the local scheduler this router's share of each endpoint.
    pub(super) fn arm_local(&mut self, now: Millis, view: &View, shard: &Shard) {
        let Some(session) = self.sessions.get_mut(shard) else {
            return;
        };
        let routers = session.routers;
        let is_counted = session.is_counted;
        let Some((local, _)) = &mut session.local else {
            return;
        };
        let slots = local.slots();
        set_engines(slots, view, shard);
        let service = view.config.services.get(&shard.service);
        if let Some(cold) = service.and_then(|s| s.cold) {
            // How many share it is not known before a scheduler has told.
            let rate = if is_counted { cold.rate / routers } else { 0 };
            slots.set_cold_rate(Some(rate));
        }
        let mut any = 0;
        for (id, slots, _, leaving) in endpoints(view, shard) {
            let share = share(slots, routers, self.incarnation, id);
            any += share;
            local.slots().set(id, share, 0, leaving);
        }
        if any == 0 {
            // The smallest share is one slot, or nobody's requests would move.
            let least = |e: &(EndpointId, u32, u32, bool)| mix(self.incarnation, e.0);
            let open = endpoints(view, shard).filter(|(_, _, _, leaving)| !leaving);
            if let Some((id, ..)) = open.min_by_key(least) {
                local.slots().set(id, 1, 0, false);
            }
        }
        let known: Vec<EndpointId> = endpoints(view, shard).map(|e| e.0).collect();
        let slots = local.slots();
        slots.retain(|id| known.contains(&id));
        let incarnation = self.incarnation;
        set_cold(slots, now, view, |id| mix(incarnation, id) % 1000);
    }
}

/// A router's share of an endpoint's slots when it schedules alone.
///
/// The part that cannot be divided goes to some of the routers, others at each
/// endpoint, so that all shares together are about the slots there are.
fn share(slots: u32, routers: u32, incarnation: u64, endpoint: EndpointId) -> u32 {
    let lucky = mix(incarnation, endpoint) % u64::from(routers) < u64::from(slots % routers);
    slots / routers + u32::from(lucky)
}

/// A number that looks random, the same for the same two.
pub(super) fn mix(incarnation: u64, endpoint: EndpointId) -> u64 {
    let mixed = incarnation ^ u64::from(endpoint.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32
}
