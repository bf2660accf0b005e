//! Who waits, who is sent and who is turned away where engines have more than they can do.

mod asks;

use coordination::messages::{Hello, Report, Seq, Verdict};
use coordination::prompt::Prompt;
use coordination::scheduler::{Effect, Effects, Scheduler, Session, GATHER_MS};
use coordination::slot::{Criteria, Reservations, Slots};
use state::clock::Millis;
use state::id::{EndpointId, Epoch};

const ENGINE: EndpointId = EndpointId(1);
/// What is told of a first byte that its scheduler hears of as soon as it comes: it cannot
/// have come later than that.
const PROMPTLY: Option<u32> = Some(u32::MAX);

/// A scheduler of one engine with one router.
fn scheduler() -> (Scheduler, Session) {
    let mut scheduler = Scheduler::new(Epoch(1), Millis(0));
    scheduler.slots().set_memory_tokens(Some(700_000));
    scheduler.slots().set(ENGINE, 64, 0, false);
    let session = scheduler.open_session(Millis(0), None, &Hello::default());
    scheduler.grant(Millis(GATHER_MS));
    (scheduler, session)
}

/// A request of one customer with a prompt of its own.
fn ask(seq: u64, tokens: u32, aim_ms: u32) -> Report {
    let prompt = Prompt::new([(1000 + seq, tokens)], 50);
    Report::Ask(asks::ask(seq, prompt, aim_ms, tokens))
}

fn granted(effects: &Effects) -> Vec<u64> {
    let grants = effects.iter().filter_map(|effect| match effect {
        Effect::Grant(_, grant) => Some(grant.seq.0),
        _ => None,
    });
    grants.collect()
}

fn criteria(tokens: u32, aim_ms: u64) -> Criteria {
    Criteria {
        session: None,
        prompt: Prompt::new([(77, tokens)], 50),
        avoid: None,
        aim_ms,
        slack_ms: aim_ms,
        only_in_time: false,
    }
}

#[test]
fn a_short_request_goes_before_a_long_one_that_has_time() {
    // Symptom: half of the short requests with short aims are refused, while long ones of
    // the same customer are served with time to spare.
    // Sequence: one customer asks for both, more than its engines can do.
    // Cause: its requests were served in the order of their arrival.
    let (mut scheduler, session) = scheduler();
    let now = Millis(1000);
    assert_eq!(
        granted(&scheduler.handle_report(now, session, ask(1, 8000, 800))),
        [1]
    );
    assert!(granted(&scheduler.handle_report(now, session, ask(2, 8000, 900))).is_empty());
    assert!(granted(&scheduler.handle_report(now, session, ask(3, 400, 400))).is_empty());
    let read = scheduler.handle_report(Millis(1200), session, Report::Began(Seq(1), PROMPTLY));
    assert_eq!(granted(&read)[0], 3);
}

#[test]
fn what_would_be_late_waits_for_what_would_be_in_time() {
    // Symptom: a third of what is served comes late, and as much is refused.
    // Sequence: engines are busy for a while; what has waited for too long is sent
    // first, and makes late what came after it.
    // Cause: an answer that is late anyway counted as much as one in time.
    let (mut scheduler, session) = scheduler();
    let now = Millis(1000);
    scheduler.handle_report(now, session, ask(1, 16_000, 800));
    scheduler.handle_report(now, session, ask(2, 2000, 300));
    for tick in (1000..1250).step_by(20) {
        scheduler.tick(Millis(tick));
    }
    scheduler.handle_report(Millis(1250), session, ask(3, 2000, 400));
    let read = scheduler.handle_report(Millis(1350), session, Report::Began(Seq(1), PROMPTLY));
    assert_eq!(granted(&read), [3]);
}

#[test]
fn what_is_late_is_served_where_nothing_else_waits() {
    // Symptom: engines stand idle while a request that is late is turned away.
    let (mut scheduler, session) = scheduler();
    // Reading it takes longer than its aim.
    let sent = scheduler.handle_report(Millis(1000), session, ask(1, 40_000, 300));
    assert_eq!(granted(&sent), [1]);
}

#[test]
fn what_is_late_is_refused_soon_while_others_wait() {
    // Symptom: requests wait for their whole time and are refused in the end.
    let (mut scheduler, session) = scheduler();
    let mut refused = None;
    for now in (1000..6000_u64).step_by(10) {
        // 100 tokens a millisecond are asked for, and some 50 are read.
        let mut effects = scheduler.handle_report(Millis(now), session, ask(now, 1000, 400));
        effects.extend(scheduler.tick(Millis(now)));
        let old = now.saturating_sub(150);
        effects.extend(scheduler.handle_report(
            Millis(now),
            session,
            Report::Began(Seq(old), PROMPTLY),
        ));
        for effect in effects {
            if let Effect::Refuse(_, refusal) = effect {
                let waited = now - refusal.seq.0;
                refused = Some(waited.max(refused.unwrap_or(0)));
                assert!(refusal.wait_ms > 0 && refusal.after_ms > 0, "{refusal:?}");
            }
        }
    }
    assert!(refused.unwrap() <= 500, "{refused:?}");
}

#[test]
fn an_engine_whose_prompts_are_read_takes_the_next_one() {
    // Symptom: engines read half of what they could, and short requests are refused.
    // Sequence: an engine has read all prompts that it was sent; their first events
    // come some steps later.
    // Cause: a prompt counted as unread until its first event.
    let mut slots = Slots::default();
    slots.set_memory_tokens(Some(700_000));
    slots.set(ENGINE, 64, 0, false);
    let now = Millis(1000);
    let reading = slots
        .acquire(now, ENGINE, Prompt::new([(1, 4000)], 50))
        .unwrap();
    let first = u64::from(reading.basis().first_ms);
    let almost = now.after(first - 5);
    let chosen = slots.choose(almost, criteria(600, 300), &mut Reservations::default());
    assert_eq!(chosen, Some(ENGINE));
    // One that should have answered long ago is no idle engine.
    let late = now.after(first + 400);
    let chosen = slots.choose(late, criteria(600, 300), &mut Reservations::default());
    assert_eq!(chosen, None);
}

#[test]
fn the_time_to_a_first_event_is_learned_from_short_and_long_prompts() {
    // An engine that needs 110 ms for its steps and reads 44 tokens in a millisecond.
    let (mut scheduler, session) = scheduler();
    let mut expected = 0;
    for seq in 0..60 {
        let tokens = if seq % 2 == 0 { 600 } else { 6600 };
        let now = 1000 + seq * 1000;
        let sent = scheduler.handle_report(Millis(now), session, ask(seq, tokens, 800));
        let Effect::Grant(_, grant) = sent[0] else {
            unreachable!("an idle engine is sent a request");
        };
        expected = u64::from(grant.forecast.first_ms);
        let took = 4 + 110 + u64::from(tokens) / 44;
        let first = Millis(now + took);
        scheduler.handle_report(first, session, Report::Began(Seq(seq), PROMPTLY));
        scheduler.handle_report(first, session, Report::Done(Seq(seq), 10, Verdict::Fine));
    }
    // The last one had 6,600 tokens.
    assert!(expected.abs_diff(264) < 15, "{expected}");
}

#[test]
fn reading_is_spread_over_engines_that_would_answer_in_time() {
    // Symptom: streams take twice as long on some engines, and are cut as often when
    // something is lost, while other engines hardly read.
    // Sequence: requests share a part that one engine has kept; it answers each in time.
    // Cause: an engine that has just read looks as idle as one that has not read at all,
    // and what it reads delays all that it generates.
    let mut slots = Slots::default();
    slots.set_memory_tokens(Some(700_000));
    for id in 1..=2 {
        slots.set(EndpointId(id), 64, 0, false);
    }
    let now = Millis(1000);
    let reading = slots.acquire(now, ENGINE, Prompt::new([(7, 500), (8, 4500)], 50));
    // It has read its prompt; the first event is still to come.
    let read = now.after(u64::from(reading.unwrap().basis().first_ms) - 10);
    let next = Criteria {
        prompt: Prompt::new([(7, 500), (9, 600)], 50),
        ..criteria(0, 800)
    };
    let chosen = slots.choose(read, next, &mut Reservations::default());
    assert_eq!(chosen, Some(EndpointId(2)));
}

#[test]
fn what_is_late_is_sent_in_its_turn_while_there_is_room_for_all() {
    // Symptom: the longest prompts of a kind are refused on a calm day.
    // Sequence: something waits for its engine at most moments, though never for long;
    // a prompt that is late wherever it is sent has to wait for a moment when nothing does.
    // Cause: what is late gives way although nothing is in need.
    let (mut scheduler, session) = scheduler();
    scheduler.slots().set(EndpointId(2), 64, 0, false);
    let now = Millis(1000);
    scheduler.handle_report(now, session, ask(1, 8000, 2000));
    // The second engine gets the long one, while the third waits for the first.
    let sent = scheduler.handle_report(now, session, ask(2, 90_000, 800));
    assert_eq!(granted(&sent), [2]);
}

#[test]
fn what_comes_together_is_granted_together() {
    // Symptom: requests wait for the scheduler while engines stand idle.
    // Sequence: a scheduler of many engines is told of many asks and ends at once.
    // Cause: a look through all that waits for each of them.
    let (mut scheduler, session) = scheduler();
    scheduler.enable_batching();
    let now = Millis(1000);
    for seq in 1..=3 {
        assert!(scheduler
            .handle_report(now, session, ask(seq, 300, 400))
            .is_empty());
    }
    assert_eq!(granted(&scheduler.flush(now)), [1, 2, 3]);
    assert!(scheduler.flush(now).is_empty());
}

#[test]
fn a_late_scheduler_does_not_take_its_engines_for_slow() {
    // Symptom: engines with little to do, and thousands of requests refused as overloaded;
    // engines that read 60,000 tokens a second are believed to read 7,000.
    // Sequence: a scheduler is told of more than it can take in, and hears of first bytes
    // half a second after they came.
    // Cause: the time to a first byte was taken when the scheduler heard of it.
    let (mut scheduler, session) = scheduler();
    let mut expected = 0;
    for seq in 0..60 {
        let now = 1000 + seq * 2000;
        let sent = scheduler.handle_report(Millis(now), session, ask(seq, 6600, 800));
        let Effect::Grant(_, grant) = sent[0] else {
            unreachable!("an idle engine is sent a request");
        };
        expected = u64::from(grant.forecast.first_ms);
        let heard = Millis(now + 260 + 500);
        scheduler.handle_report(heard, session, Report::Began(Seq(seq), Some(260)));
        scheduler.handle_report(heard, session, Report::Done(Seq(seq), 10, Verdict::Fine));
    }
    assert!(expected.abs_diff(262) < 15, "{expected}");
    assert!(
        scheduler.summary().slowest_tokens_per_s > 25_000,
        "{:?}",
        scheduler.summary()
    );
}

#[test]
fn a_router_that_runs_late_says_nothing_of_an_engine() {
    // Symptom: engines are taken for slow that one busy router uses.
    // Sequence: a router has more to do than it can, and reads first bytes late.
    // Cause: what it measured is the time until it turned to them.
    let (mut scheduler, session) = scheduler();
    let before = scheduler.summary().slowest_tokens_per_s;
    for seq in 0..20 {
        let now = 1000 + seq * 2000;
        scheduler.handle_report(Millis(now), session, ask(seq, 6600, 800));
        let heard = Millis(now + 1500);
        scheduler.handle_report(heard, session, Report::Began(Seq(seq), None));
        scheduler.handle_report(heard, session, Report::Done(Seq(seq), 10, Verdict::Fine));
    }
    assert_eq!(scheduler.summary().slowest_tokens_per_s, before);
}
