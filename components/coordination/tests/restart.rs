//! Endpoints that restart under the same name.
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
/// Identity and tokens of a prompt part that many requests share.
const SHARED: (u64, u32) = (7, 12_000);

fn entry(started_ms: u64, leaving: bool) -> Entry {
    endpoints::entry("a", Some(started_ms), leaving)
}

/// A scheduler of two engines, the first of which has cached the shared part.
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
    scheduler.record_inventory(Millis(GATHER_MS), A, Some(1000), &part);
    scheduler.record_inventory(Millis(GATHER_MS), B, Some(1000), &[]);
    (scheduler, session)
}

fn ask(seq: u64) -> Report {
    let prompt = Prompt::new([SHARED, (100 + seq, 500)], 50);
    Report::Ask(asks::ask(seq, prompt, 800, 13_000))
}

/// The endpoint of a granted ask, and the tokens that it has to prefill.
fn granted(scheduler: &mut Scheduler, session: Session, now: u64, seq: u64) -> (EndpointId, u32) {
    let effects = scheduler.handle_report(Millis(now), session, ask(seq));
    let grants = effects.iter().find_map(|effect| match effect {
        Effect::Grant(_, grant) => Some((grant.endpoint, grant.forecast.to_read)),
        _ => None,
    });
    grants.unwrap()
}

#[test]
fn a_restart_under_the_same_name_is_another_endpoint() {
    // Symptom: a restarted endpoint is never used, or is used as if its cache were full.
    // Sequence: the endpoint leaves, ends, and restarts under its name.
    // Cause: endpoints were identified by their name alone.
    let mut registry = Registry::default();
    registry.apply_reading(Millis(0), vec![entry(1000, false)], 1);
    let before = registry.listing().endpoints[0].id();
    registry.apply_reading(Millis(500), vec![entry(1000, true)], 2);
    registry.apply_reading(Millis(1000), vec![entry(2000, false)], 3);
    let now = &registry.listing().endpoints;
    assert_eq!(now.len(), 1);
    assert_ne!(now[0].id(), before);
    assert!(!now[0].leaving, "only the earlier run was leaving");
}

#[test]
fn an_outdated_list_does_not_restore_an_earlier_run() {
    let mut registry = Registry::default();
    registry.apply_reading(Millis(0), vec![entry(2000, false)], 1);
    assert!(!registry.apply_reading(Millis(500), vec![entry(1000, false)], 2));
    assert_eq!(registry.listing().endpoints[0].started_ms, Some(2000));
    assert!(!registry.apply_reading(
        Millis(1000),
        vec![entry(1000, false), entry(2000, false)],
        3
    ));
}

#[test]
fn a_restarted_engine_has_an_empty_cache() {
    // Symptom: prompts are sent to an engine that has to prefill all of them again.
    // Sequence: the engine crashes and restarts under its name; the endpoint list does not
    // show it.
    // Cause: the scheduler kept the cached parts of the earlier run.
    let (mut scheduler, session) = scheduler();
    assert_eq!(granted(&mut scheduler, session, 300, 1), (A, 500));
    scheduler.record_inventory(Millis(400), A, Some(2000), &[]);
    let (_, to_read) = granted(&mut scheduler, session, 500, 2);
    assert_eq!(to_read, 12_500);
}

#[test]
fn an_inventory_of_an_earlier_run_is_ignored() {
    let (mut scheduler, session) = scheduler();
    scheduler.record_inventory(Millis(300), A, Some(2000), &[]);
    let part = [Part::new(SHARED.0, SHARED.1)];
    scheduler.record_inventory(Millis(310), A, Some(1000), &part);
    let (_, to_read) = granted(&mut scheduler, session, 400, 1);
    assert_eq!(to_read, 12_500);
}

#[test]
fn the_inventory_of_a_restored_engine_is_requested() {
    // Symptom: prompts are sent to an engine that has to prefill all of them again.
    // Sequence: an engine drops all of its requests, is ejected, and answers again.
    // Cause: inventories were only requested of engines of whose cache nothing was known.
    let (mut scheduler, session) = scheduler();
    scheduler.slots().set(B, 8, 0, true);
    for seq in 0..u64::from(EJECT_FAILURES) {
        granted(&mut scheduler, session, 300, seq);
    }
    for seq in 0..u64::from(EJECT_FAILURES) {
        let done = Report::Done(Seq(seq), 0, Verdict::Failed);
        scheduler.handle_report(Millis(310), session, done);
    }
    let restored = 311 + EJECT_MIN_MS;
    assert_eq!(granted(&mut scheduler, session, restored, 9).0, A);
    let done = Report::Done(Seq(9), 0, Verdict::Fine);
    let effects = scheduler.handle_report(Millis(restored + 50), session, done);
    assert!(
        effects.contains(&Effect::RequestInventory(A)),
        "{effects:?}"
    );
}
