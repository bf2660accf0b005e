//! Order, admission and refusal of asks while the engines are saturated.

mod asks;

use coordination::messages::{Hello, Report, Seq, Verdict};
use coordination::prompt::Prompt;
use coordination::scheduler::{Effect, Effects, Scheduler, Session, GATHER_MS};
use coordination::slot::{Criteria, Reservations, Slots};
use state::clock::Millis;
use state::id::{EndpointId, Epoch};

const ENGINE: EndpointId = EndpointId(1);
/// Time to the first byte in a report that arrives without delay: it is bounded by the time of
/// receipt.
const NO_DELAY: Option<u32> = Some(u32::MAX);

/// A scheduler of one engine with one router.
fn scheduler() -> (Scheduler, Session) {
    let mut scheduler = Scheduler::new(Epoch(1), Millis(0));
    scheduler.slots().set_memory_tokens(Some(700_000));
    scheduler.slots().set(ENGINE, 64, 0, false);
    let session = scheduler.open_session(Millis(0), None, &Hello::default());
    scheduler.grant(Millis(GATHER_MS));
    (scheduler, session)
}

/// An ask of customer 1 for a prompt of its own.
fn ask(seq: u64, tokens: u32, aim_ms: u32) -> Report {
    let prompt = Prompt::new([(1000 + seq, tokens)], 50);
    Report::Ask(asks::ask(seq, prompt, aim_ms, tokens))
}

/// Numbers of the asks that were granted.
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
        software: None,
    }
}

#[test]
fn a_short_request_goes_before_a_long_one_that_has_time() {
    // Symptom: half of the short requests with short latency targets are refused, while long
    // requests of the same customer are served with time to spare.
    // Sequence: one customer sends both kinds, more than its engines can serve.
    // Cause: the requests of a customer were served in the order of their arrival.
    let (mut scheduler, session) = scheduler();
    let now = Millis(1000);
    assert_eq!(
        granted(&scheduler.handle_report(now, session, ask(1, 8000, 800))),
        [1]
    );
    assert!(granted(&scheduler.handle_report(now, session, ask(2, 8000, 900))).is_empty());
    assert!(granted(&scheduler.handle_report(now, session, ask(3, 400, 400))).is_empty());
    let effects =
        scheduler.handle_report(Millis(1200), session, Report::FirstByte(Seq(1), NO_DELAY));
    assert_eq!(granted(&effects)[0], 3);
}

#[test]
fn late_requests_yield_to_requests_in_time() {
    // Symptom: a third of the served requests are late, and as many are refused.
    // Sequence: engines are busy for a while; requests that have waited too long are sent
    // first, and make the requests behind them late.
    // Cause: a request that is late in any case counted as much as one in time.
    let (mut scheduler, session) = scheduler();
    let now = Millis(1000);
    scheduler.handle_report(now, session, ask(1, 16_000, 800));
    scheduler.handle_report(now, session, ask(2, 2000, 300));
    for tick in (1000..1250).step_by(20) {
        scheduler.tick(Millis(tick));
    }
    scheduler.handle_report(Millis(1250), session, ask(3, 2000, 400));
    let effects =
        scheduler.handle_report(Millis(1350), session, Report::FirstByte(Seq(1), NO_DELAY));
    assert_eq!(granted(&effects), [3]);
}

#[test]
fn a_late_request_is_served_if_nothing_else_waits() {
    // Symptom: engines stand idle while a late request is refused.
    let (mut scheduler, session) = scheduler();
    // The prefill takes longer than the latency target.
    let sent = scheduler.handle_report(Millis(1000), session, ask(1, 40_000, 300));
    assert_eq!(granted(&sent), [1]);
}

#[test]
fn late_requests_are_refused_soon_while_others_wait() {
    // Symptom: requests wait for all of their time and are then refused.
    let (mut scheduler, session) = scheduler();
    let mut refused = None;
    for now in (1000..6000_u64).step_by(10) {
        // The demand is 100 tokens per millisecond, of which about 50 are prefilled.
        let mut effects = scheduler.handle_report(Millis(now), session, ask(now, 1000, 400));
        effects.extend(scheduler.tick(Millis(now)));
        let old = now.saturating_sub(150);
        effects.extend(scheduler.handle_report(
            Millis(now),
            session,
            Report::FirstByte(Seq(old), NO_DELAY),
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
fn an_engine_whose_prompts_are_prefilled_takes_the_next_one() {
    // Symptom: engines prefill half of what they could, and short requests are refused.
    // Sequence: an engine has prefilled all prompts that it was sent; their first events follow
    // some decoding steps later.
    // Cause: a prompt counted as backlog until its first event.
    let mut slots = Slots::default();
    slots.set_memory_tokens(Some(700_000));
    slots.set(ENGINE, 64, 0, false);
    let now = Millis(1000);
    let prefill = slots
        .acquire(now, ENGINE, Prompt::new([(1, 4000)], 50))
        .unwrap();
    let first = u64::from(prefill.forecast().first_ms);
    let almost = now.after(first - 5);
    let chosen = slots.choose(almost, criteria(600, 300), &mut Reservations::default());
    assert_eq!(chosen, Some(ENGINE));
    // An engine that should have answered long ago is not idle.
    let late = now.after(first + 400);
    let chosen = slots.choose(late, criteria(600, 300), &mut Reservations::default());
    assert_eq!(chosen, None);
}

#[test]
fn the_time_to_a_first_event_is_learned_from_short_and_long_prompts() {
    // The engine needs 110 ms for its decoding steps and prefills 44 tokens per millisecond.
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
        let took_ms = 4 + 110 + u64::from(tokens) / 44;
        let first = Millis(now + took_ms);
        scheduler.handle_report(first, session, Report::FirstByte(Seq(seq), NO_DELAY));
        scheduler.handle_report(first, session, Report::Done(Seq(seq), 10, Verdict::Fine));
    }
    // The last request had 6,600 tokens.
    assert!(expected.abs_diff(264) < 15, "{expected}");
}

#[test]
fn prefill_is_spread_over_engines_that_would_answer_in_time() {
    // Symptom: streams take twice as long on some engines, and are cut off twice as often by
    // failures, while other engines hardly prefill.
    // Sequence: requests share a part that one engine has cached; it answers each in time.
    // Cause: an engine that has just prefilled looked as idle as any other, although its prefill
    // delays all of its streams.
    let mut slots = Slots::default();
    slots.set_memory_tokens(Some(700_000));
    for id in 1..=2 {
        slots.set(EndpointId(id), 64, 0, false);
    }
    let now = Millis(1000);
    let prefill = slots.acquire(now, ENGINE, Prompt::new([(7, 500), (8, 4500)], 50));
    // The engine has prefilled the prompt; the first event is still to come.
    let prefilled = now.after(u64::from(prefill.unwrap().forecast().first_ms) - 10);
    let next = Criteria {
        prompt: Prompt::new([(7, 500), (9, 600)], 50),
        ..criteria(0, 800)
    };
    let chosen = slots.choose(prefilled, next, &mut Reservations::default());
    assert_eq!(chosen, Some(EndpointId(2)));
}

#[test]
fn a_late_request_is_sent_in_its_turn_unless_saturated() {
    // Symptom: the longest prompts are refused although the load is low.
    // Sequence: some request waits for its engine at most times, though never for long; a
    // request that would be late on every engine waits until no other request does.
    // Cause: late requests yielded to others although the engines were not saturated.
    let (mut scheduler, session) = scheduler();
    scheduler.slots().set(EndpointId(2), 64, 0, false);
    let now = Millis(1000);
    scheduler.handle_report(now, session, ask(1, 8000, 2000));
    // The long request is sent to the second engine.
    let sent = scheduler.handle_report(now, session, ask(2, 90_000, 800));
    assert_eq!(granted(&sent), [2]);
}

#[test]
fn asks_of_one_batch_are_granted_together() {
    // Symptom: requests wait for the scheduler while engines stand idle.
    // Sequence: a scheduler of many engines gets many asks and ends of requests at once.
    // Cause: a pass through all waiting asks for each of these events.
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
fn a_delayed_scheduler_does_not_underestimate_its_engines() {
    // Symptom: engines are nearly idle while thousands of requests are refused as overloaded;
    // engines that prefill 60,000 tokens per second are estimated at 7,000.
    // Sequence: an overloaded scheduler receives reports of first bytes half a second late.
    // Cause: the time to the first byte was measured at the receipt of the report.
    let (mut scheduler, session) = scheduler();
    let mut expected = 0;
    for seq in 0..60 {
        let now = 1000 + seq * 2000;
        let sent = scheduler.handle_report(Millis(now), session, ask(seq, 6600, 800));
        let Effect::Grant(_, grant) = sent[0] else {
            unreachable!("an idle engine is sent a request");
        };
        expected = u64::from(grant.forecast.first_ms);
        let received = Millis(now + 260 + 500);
        scheduler.handle_report(received, session, Report::FirstByte(Seq(seq), Some(260)));
        scheduler.handle_report(received, session, Report::Done(Seq(seq), 10, Verdict::Fine));
    }
    assert!(expected.abs_diff(262) < 15, "{expected}");
    assert!(
        scheduler.summary().slowest_tokens_per_s > 25_000,
        "{:?}",
        scheduler.summary()
    );
}

#[test]
fn times_of_a_delayed_router_do_not_change_the_estimate() {
    // Symptom: engines that one busy router uses are estimated as slow.
    // Sequence: an overloaded router handles first bytes late.
    // Cause: the router measured the time until it handled the first byte.
    let (mut scheduler, session) = scheduler();
    let before = scheduler.summary().slowest_tokens_per_s;
    for seq in 0..20 {
        let now = 1000 + seq * 2000;
        scheduler.handle_report(Millis(now), session, ask(seq, 6600, 800));
        let received = Millis(now + 1500);
        scheduler.handle_report(received, session, Report::FirstByte(Seq(seq), None));
        scheduler.handle_report(received, session, Report::Done(Seq(seq), 10, Verdict::Fine));
    }
    assert_eq!(scheduler.summary().slowest_tokens_per_s, before);
}
