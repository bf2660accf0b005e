//! Parts of prompts that engines copy from those of another scheduler.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod asks;

use asks::ask;
use coordination::messages::{Cached, Grant, Hello, Verdict};
use coordination::prompt::Prompt;
use coordination::scheduler::{Effect, Scheduler, Session};
use state::clock::Millis;
use state::id::{EndpointId, Epoch};

const HERE: EndpointId = EndpointId(1);
const THERE: EndpointId = EndpointId(2);

/// A scheduler of one engine that copies 200,000 tokens a second.
fn scheduler(epoch: u64, engine: EndpointId, copies: bool) -> (Scheduler, Session) {
    let mut scheduler = Scheduler::new(Epoch(epoch), Millis(0));
    let slots = scheduler.slots();
    slots.set_memory_tokens(Some(500_000));
    slots.set_copy_tokens_per_s(copies.then_some(200_000));
    slots.set(engine, 64, 0, false);
    let session = scheduler.open_session(Millis(0), None, &Hello::default());
    (scheduler, session)
}

/// Sends a request with a shared part of 13,000 tokens; gives its grant.
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

/// Lets the engine of a scheduler read the part; gives what that is told to others.
fn read(scheduler: &mut Scheduler, session: Session) -> Vec<Cached> {
    let grant = send(scheduler, session, 1000, 1);
    assert_eq!(grant.copy_from, None);
    assert!(scheduler.take_new_cached().is_empty(), "it is not read yet");
    scheduler.note_first_byte(Millis(1300), session, grant.seq, Some(300));
    scheduler.done(Millis(1500), session, grant.seq, 100, Verdict::Fine);
    scheduler.take_new_cached()
}

/// Guards against a part that each data centre's engines read again, since their scheduler
/// does not know that engines elsewhere keep it.
#[test]
fn can_copy_a_part_that_an_engine_of_another_scheduler_has_read() {
    let (mut there, session) = scheduler(1, THERE, true);
    let told = read(&mut there, session);
    let keys: Vec<(EndpointId, u32)> = told.iter().map(|k| (k.endpoint, k.part.tokens)).collect();
    assert_eq!(
        keys,
        [(THERE, 13_000)],
        "the request's own part is nobody else's"
    );
    let (mut here, session) = scheduler(2, HERE, true);
    here.merge_cached(&told);
    let grant = send(&mut here, session, 2000, 1);
    assert_eq!((grant.endpoint, grant.copy_from), (HERE, Some(THERE)));
    assert!(grant.forecast.to_read < 2000, "{:?}", grant.forecast);
    // Once it has the part itself, nothing is copied.
    here.note_first_byte(Millis(2300), session, grant.seq, Some(300));
    let grant = send(&mut here, session, 2400, 2);
    assert_eq!(grant.copy_from, None);
}

/// Guards against a copy from an engine that is gone, or gets no requests any more.
#[test]
fn can_forget_engines_elsewhere_that_take_no_work() {
    let (mut there, session) = scheduler(1, THERE, true);
    let told = read(&mut there, session);
    let (mut here, session) = scheduler(2, HERE, true);
    here.merge_cached(&told);
    here.slots().retain_foreign(|id| id != THERE);
    let grant = send(&mut here, session, 2000, 1);
    assert_eq!(grant.copy_from, None);
}

/// Guards against the same part that is told again with each request.
#[test]
fn can_tell_a_part_once() {
    let (mut there, session) = scheduler(1, THERE, true);
    assert_eq!(read(&mut there, session).len(), 1);
    let grant = send(&mut there, session, 1600, 5);
    there.note_first_byte(Millis(1700), session, grant.seq, Some(100));
    assert!(there.take_new_cached().is_empty());
    // A scheduler that has just begun is told all of it.
    assert_eq!(there.all_cached().len(), 1);
    // What cannot be copied is not told.
    let (mut other, session) = scheduler(3, THERE, false);
    assert!(read(&mut other, session).is_empty());
}
