//! Streams that may only go on at endpoints with one software version.

mod arrivals;
mod asks;
mod views;

use arrivals::{arrival, grant};
use asks::ask;
use coordination::assignment::shards;
use coordination::dispatcher::{self, Dispatcher, Handle};
use coordination::messages::{Hello, Objective, Report, Seq, Verdict};
use coordination::prompt::Prompt;
use coordination::scheduler::{Effect, Effects, Scheduler, Session, GATHER_MS};
use rstest::rstest;
use state::clock::Millis;
use state::config::Engine;
use state::id::{EndpointId, Epoch, Software};
use state::view::View;
use views::{name, SERVICE};

const NOW: Millis = Millis(GATHER_MS + 1);

/// A scheduler of endpoints with one slot each, of these versions, and a session.
fn scheduler(versions: &[&str], engine: Option<Engine>) -> (Scheduler, Session) {
    let mut scheduler = Scheduler::new(Epoch(1), Millis(0));
    let slots = scheduler.slots();
    slots.set_memory_tokens(engine.map(|e| e.memory_tokens));
    for (id, version) in (0..).zip(versions) {
        slots.set(EndpointId(id), 1, 0, false);
        slots.set_software(EndpointId(id), Software::of(version));
    }
    let session = scheduler.open_session(Millis(0), None, &Hello::default());
    (scheduler, session)
}

fn engine() -> Engine {
    Engine {
        memory_tokens: 100_000,
        event_tokens: 4,
        copy_tokens_per_s: None,
    }
}

/// Asks for a slot of an endpoint with a version.
fn ask_for(scheduler: &mut Scheduler, session: Session, seq: u64, version: &str) -> Effects {
    let ask = ask(seq, Prompt::default(), 10_000, 1);
    let software = Software::of(version);
    let report = Report::ContinuedAsk(ask, Objective::default(), None, software);
    scheduler.handle_report(NOW, session, report)
}

/// Endpoints that were granted.
fn granted(effects: &Effects) -> Vec<EndpointId> {
    let grants = effects.iter().filter_map(|effect| match effect {
        Effect::Grant(_, grant) => Some(grant.endpoint),
        _ => None,
    });
    grants.collect()
}

fn is_refused(effects: &Effects) -> bool {
    effects
        .iter()
        .any(|effect| matches!(effect, Effect::Refuse(..)))
}

/// Guards against a stream that is granted an endpoint with another version since all with its own
/// are full, and against requests behind it that wait although endpoints are free.
#[rstest]
#[case::plain(None)]
#[case::engines(Some(engine()))]
fn a_stream_waits_for_its_version_alone(#[case] engine: Option<Engine>) {
    let (mut scheduler, session) = scheduler(&["v1", "v2", "v1"], engine);
    let v2 = EndpointId(1);
    assert_eq!(granted(&ask_for(&mut scheduler, session, 1, "v2")), [v2]);
    let waiting = ask_for(&mut scheduler, session, 2, "v2");
    assert!(waiting.is_empty(), "{waiting:?}");
    let other = scheduler.ask(NOW, session, ask(3, Prompt::default(), 10_000, 1));
    assert!(matches!(granted(&other)[..], [EndpointId(0 | 2)]));
    let freed = scheduler.done(NOW.after(50), session, Seq(1), 1, Verdict::Fine);
    assert_eq!(granted(&freed), [v2]);
    assert_eq!(granted(&ask_for(&mut scheduler, session, 4, "v1")).len(), 1);
}

/// Guards against a stream that waits until its deadline for a version that serves no more, and
/// against one that is refused by a scheduler that knows no endpoints yet.
#[rstest]
#[case::plain(None)]
#[case::engines(Some(engine()))]
fn a_stream_of_a_version_that_is_gone_is_refused(#[case] engine: Option<Engine>) {
    let (mut scheduler, session) = scheduler(&["v1", "v2"], engine);
    assert!(is_refused(&ask_for(&mut scheduler, session, 1, "v3")));
    assert_eq!(granted(&ask_for(&mut scheduler, session, 2, "v2")).len(), 1);
    assert!(ask_for(&mut scheduler, session, 3, "v2").is_empty());
    scheduler.slots().set(EndpointId(1), 1, 0, true);
    assert!(is_refused(&scheduler.tick(NOW.after(200))));
    assert_eq!(scheduler.waiting(), 0);
    scheduler.slots().retain(|_| false);
    assert!(ask_for(&mut scheduler, session, 4, "v1").is_empty());
}

/// A router with a session at a scheduler that knows versions or not.
fn router(knows_versions: bool) -> (Dispatcher, View) {
    let mut view = views::view(None);
    views::add(&mut view, 0, "dc", 4);
    let all = shards(&view);
    views::assign(&mut view, all, 1);
    let mut router = arrivals::dispatcher(name("main"), name("dc"), 1);
    router.update_view(Millis(0), &view);
    router.set_stream_support(&name("s-0"), true);
    router.set_version_support(&name("s-0"), knows_versions);
    router.link_up(Millis(0), &name("s-0"));
    (router, view)
}

/// Queues a request that continues a stream.
#[expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]
fn arrive(router: &mut Dispatcher, view: &View) -> (Handle, Vec<dispatcher::Effect>) {
    let software = Some(Software::of("v1"));
    let arrived = router.arrive_at_version(Millis(0), view, arrival(SERVICE), None, software);
    let (handle, mut effects) = arrived.unwrap();
    effects.extend(router.tick(Millis(0), view));
    (handle, effects)
}

/// Reports of asks.
fn asked(effects: &[dispatcher::Effect]) -> Vec<&Report> {
    let reports = effects.iter().filter_map(|effect| match effect {
        dispatcher::Effect::Report(_, report) => Some(report),
        _ => None,
    });
    let is_ask = |report: &&Report| {
        matches!(
            report,
            Report::Ask(_)
                | Report::StreamAsk(..)
                | Report::ResumedAsk(..)
                | Report::ContinuedAsk(..)
        )
    };
    reports.filter(is_ask).collect()
}

/// Guards against a report that a scheduler of an earlier release cannot read, and against a version
/// that is not sent to one that can, also after a break.
#[rstest]
#[case::known(true)]
#[case::not_known(false)]
fn a_router_asks_by_what_its_scheduler_knows(#[case] knows_versions: bool) {
    let (mut router, view) = router(knows_versions);
    let (handle, effects) = arrive(&mut router, &view);
    let is_version = |report: &Report, version: &str| matches!(report, Report::ContinuedAsk(_, _, _, s) if *s == Software::of(version));
    let asks = asked(&effects);
    assert_eq!(asks.len(), 1);
    match knows_versions {
        true => assert!(is_version(asks[0], "v1"), "{asks:?}"),
        false => assert!(matches!(asks[0], Report::StreamAsk(..)), "{asks:?}"),
    }
    let grant = grant(Epoch(1), Seq(0), EndpointId(0));
    router.grant(Millis(1), grant);
    router.set_software(handle, Some(Software::of("v2")));
    router.set_gives_up(handle, Millis(3000));
    let effects = router.requeue(Millis(1000), handle, Verdict::Failed);
    let asks = asked(&effects);
    match knows_versions {
        true => assert!(is_version(asks[0], "v2"), "{asks:?}"),
        false => assert!(matches!(asks[0], Report::ResumedAsk(..)), "{asks:?}"),
    }
}
