//! Endpoints that start again under the name that they had.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod asks;
mod endpoints;

use coordination::health::{EJECT_FAILURES, EJECT_MIN_MS};
use coordination::listing::Registry;
use coordination::messages::{Hello, Report, Seq, Verdict};
use coordination::prompt::{Part, Prompt};
use coordination::scheduler::{Effect, Scheduler, Session, GATHER_MS};
use state::clock::Millis;
use state::id::{EndpointId, Epoch};
use state::listing::Entry;

const A: EndpointId = EndpointId(1);
const B: EndpointId = EndpointId(2);
/// A part that many requests share, with its tokens.
const SHARED: (u64, u32) = (7, 12_000);

fn listed(born: u64, leaving: bool) -> Entry {
    endpoints::listed("a", Some(born), leaving)
}

/// A scheduler of two engines, the first of which has kept the shared part.
fn scheduler() -> (Scheduler, Session) {
    let mut scheduler = Scheduler::new(Epoch(1), Millis(0));
    scheduler.slots().set_memory_tokens(Some(500_000));
    for id in [A, B] {
        scheduler.slots().set(id, 8, 0, false);
    }
    scheduler.enable_inventory_requests();
    let session = scheduler.open_session(Millis(0), None, &Hello::default());
    scheduler.grant(Millis(GATHER_MS));
    let part = [Part::new(SHARED.0, SHARED.1)];
    scheduler.note_inventory(Millis(GATHER_MS), A, Some(1000), &part);
    scheduler.note_inventory(Millis(GATHER_MS), B, Some(1000), &[]);
    (scheduler, session)
}

fn ask(seq: u64) -> Report {
    let prompt = Prompt::new([SHARED, (100 + seq, 500)], 50);
    Report::Ask(asks::ask(seq, prompt, 800, 13_000))
}

/// Where an ask is sent, and the tokens that are to be read for it there.
fn sent(scheduler: &mut Scheduler, session: Session, now: u64, seq: u64) -> (EndpointId, u32) {
    let effects = scheduler.handle_report(Millis(now), session, ask(seq));
    let grants = effects.iter().find_map(|effect| match effect {
        Effect::Grant(_, grant) => Some((grant.endpoint, grant.forecast.to_read)),
        _ => None,
    });
    grants.unwrap()
}

#[test]
fn a_start_under_the_same_name_is_another_endpoint() {
    // Symptom: an endpoint that started again is never used, or is used as if it knew
    // what its earlier life knew.
    // Sequence: it leaves, ends, and starts again under its name.
    // Cause: endpoints that are known by their names alone.
    let mut registry = Registry::default();
    registry.apply_reading(Millis(0), vec![listed(1000, false)], 1);
    let before = registry.listing().endpoints[0].id();
    registry.apply_reading(Millis(500), vec![listed(1000, true)], 2);
    registry.apply_reading(Millis(1000), vec![listed(2000, false)], 3);
    let now = &registry.listing().endpoints;
    assert_eq!(now.len(), 1);
    assert_ne!(now[0].id(), before);
    assert!(!now[0].leaving, "its earlier life was leaving");
}

#[test]
fn an_older_page_does_not_bring_back_an_earlier_start() {
    let mut registry = Registry::default();
    registry.apply_reading(Millis(0), vec![listed(2000, false)], 1);
    assert!(!registry.apply_reading(Millis(500), vec![listed(1000, false)], 2));
    assert_eq!(registry.listing().endpoints[0].started_ms, Some(2000));
    assert!(!registry.apply_reading(
        Millis(1000),
        vec![listed(1000, false), listed(2000, false)],
        3
    ));
}

#[test]
fn an_engine_that_started_again_has_kept_nothing() {
    // Symptom: prompts are sent to an engine that reads all of them again.
    // Sequence: it crashes and starts again under its name; the list says nothing.
    // Cause: the picture of its earlier life.
    let (mut scheduler, session) = scheduler();
    assert_eq!(sent(&mut scheduler, session, 300, 1), (A, 500));
    scheduler.note_inventory(Millis(400), A, Some(2000), &[]);
    let (_, to_read) = sent(&mut scheduler, session, 500, 2);
    assert_eq!(to_read, 12_500);
}

#[test]
fn what_an_earlier_start_said_comes_too_late() {
    let (mut scheduler, session) = scheduler();
    scheduler.note_inventory(Millis(300), A, Some(2000), &[]);
    let part = [Part::new(SHARED.0, SHARED.1)];
    scheduler.note_inventory(Millis(310), A, Some(1000), &part);
    let (_, to_read) = sent(&mut scheduler, session, 400, 1);
    assert_eq!(to_read, 12_500);
}

#[test]
fn an_engine_that_is_back_is_asked_what_it_has_kept() {
    // Symptom: as above, for as long as nobody asks.
    // Sequence: an engine breaks off all that it has, is ejected, and answers again.
    // Cause: only engines of which nothing was known were asked.
    let (mut scheduler, session) = scheduler();
    scheduler.slots().set(B, 8, 0, true);
    for seq in 0..u64::from(EJECT_FAILURES) {
        sent(&mut scheduler, session, 300, seq);
    }
    for seq in 0..u64::from(EJECT_FAILURES) {
        let done = Report::Done(Seq(seq), 0, Verdict::Failed);
        scheduler.handle_report(Millis(310), session, done);
    }
    let back = 311 + EJECT_MIN_MS;
    assert_eq!(sent(&mut scheduler, session, back, 9).0, A);
    let done = Report::Done(Seq(9), 0, Verdict::Fine);
    let effects = scheduler.handle_report(Millis(back + 50), session, done);
    assert!(
        effects.contains(&Effect::RequestInventory(A)),
        "{effects:?}"
    );
}
