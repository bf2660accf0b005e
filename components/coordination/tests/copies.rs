//! Copies of cached prompt parts from engines of another scheduler.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod asks;

use asks::ask;
use coordination::messages::{Cached, Grant, Hello, Verdict};
use coordination::prompt::Prompt;
use coordination::scheduler::{Effect, Scheduler, Session};
use state::clock::Millis;
use state::id::{EndpointId, Epoch};

const LOCAL_ENGINE: EndpointId = EndpointId(1);
const REMOTE_ENGINE: EndpointId = EndpointId(2);

/// A scheduler with one engine, which copies 200,000 tokens per second if `copies` is set.
fn scheduler(epoch: u64, engine: EndpointId, copies: bool) -> (Scheduler, Session) {
    let mut scheduler = Scheduler::new(Epoch(epoch), Millis(0));
    let slots = scheduler.slots();
    slots.set_memory_tokens(Some(500_000));
    slots.set_copy_tokens_per_s(copies.then_some(200_000));
    slots.set(engine, 64, 0, false);
    let session = scheduler.open_session(Millis(0), None, &Hello::default());
    (scheduler, session)
}

/// Asks for a request with a shared part of 13,000 tokens and a part of its own; returns the
/// grant.
fn send(scheduler: &mut Scheduler, session: Session, at: u64, own: u64) -> Grant {
    let prompt = Prompt::new([(7, 13_000), (1000 + own, 1000)], 50);
    let ask = ask(own, prompt, 600, 100);
    let mut effects = scheduler.ask(Millis(at), session, ask);
    effects.extend(scheduler.tick(Millis(at)));
    let granted = effects.into_iter().find_map(|e| match e {
        Effect::Grant(_, grant) => Some(grant),
        _ => None,
    });
    granted.unwrap()
}

/// Lets the engine of a scheduler prefill the shared part; returns the parts that are announced
/// to other schedulers.
fn prefill(scheduler: &mut Scheduler, session: Session) -> Vec<Cached> {
    let grant = send(scheduler, session, 1000, 1);
    assert_eq!(grant.copy_from, None);
    assert!(
        scheduler.take_new_cached().is_empty(),
        "the part is not prefilled yet"
    );
    scheduler.record_first_byte(Millis(1300), session, grant.seq, Some(300));
    scheduler.done(Millis(1500), session, grant.seq, 100, Verdict::Fine);
    scheduler.take_new_cached()
}

/// Guards against repeated prefill of a part by the engines of each data centre, which happens
/// if their scheduler does not know the caches of engines elsewhere.
#[test]
fn can_copy_a_part_that_an_engine_of_another_scheduler_has_prefilled() {
    let (mut remote, session) = scheduler(1, REMOTE_ENGINE, true);
    let announced = prefill(&mut remote, session);
    let parts: Vec<(EndpointId, u32)> = announced
        .iter()
        .map(|c| (c.endpoint, c.part.tokens))
        .collect();
    assert_eq!(
        parts,
        [(REMOTE_ENGINE, 13_000)],
        "no other request shares the last part"
    );
    let (mut local, session) = scheduler(2, LOCAL_ENGINE, true);
    local.merge_cached(&announced);
    let grant = send(&mut local, session, 2000, 1);
    assert_eq!(
        (grant.endpoint, grant.copy_from),
        (LOCAL_ENGINE, Some(REMOTE_ENGINE))
    );
    assert!(grant.forecast.to_read < 2000, "{:?}", grant.forecast);
    // The engine has cached the part now, so that nothing is copied.
    local.record_first_byte(Millis(2300), session, grant.seq, Some(300));
    let grant = send(&mut local, session, 2400, 2);
    assert_eq!(grant.copy_from, None);
}

/// Guards against a copy from an engine that was removed, or that gets no more requests.
#[test]
fn can_forget_engines_of_other_schedulers_that_were_removed() {
    let (mut remote, session) = scheduler(1, REMOTE_ENGINE, true);
    let announced = prefill(&mut remote, session);
    let (mut local, session) = scheduler(2, LOCAL_ENGINE, true);
    local.merge_cached(&announced);
    local.slots().retain_foreign(|id| id != REMOTE_ENGINE);
    let grant = send(&mut local, session, 2000, 1);
    assert_eq!(grant.copy_from, None);
}

/// Guards against an announcement of the same part with each request.
#[test]
fn can_announce_a_part_once() {
    let (mut remote, session) = scheduler(1, REMOTE_ENGINE, true);
    assert_eq!(prefill(&mut remote, session).len(), 1);
    let grant = send(&mut remote, session, 1600, 5);
    remote.record_first_byte(Millis(1700), session, grant.seq, Some(100));
    assert!(remote.take_new_cached().is_empty());
    // A scheduler that has just started gets all parts.
    assert_eq!(remote.all_cached().len(), 1);
    // Engines that cannot copy have nothing to announce.
    let (mut other, session) = scheduler(3, REMOTE_ENGINE, false);
    assert!(prefill(&mut other, session).is_empty());
}
