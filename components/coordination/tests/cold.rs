//! Limits on the rate of requests to cold endpoints.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod arrivals;
mod asks;
mod endpoints;
mod views;

use arrivals::{arrival, grant};
use asks::ask;
use coordination::assignment::shards;
use coordination::dispatcher::{Dispatcher, Effect, LOCAL_AFTER_MS};
use coordination::failback::Failbacks;
use coordination::listing::Registry;
use coordination::messages::{Grant, Hello, Seq, Verdict};
use coordination::prompt::Prompt;
use coordination::scheduler::{self, Scheduler};
use coordination::warmup::Pacer;
use state::clock::Millis;
use state::config::{Cold, Engine};
use state::evacuation::Evacuation;
use state::id::{EndpointId, Epoch, Version};
use state::listing::Entry;
use state::view::View;
use std::collections::BTreeMap;
use views::{add, assign, name, view, SERVICE};

/// Rate of requests that a cold endpoint can serve, in thousandths of a request per second.
const RATE: u32 = 8400;
/// Most requests that a cold endpoint may get in any second: the rate plus one.
const MAX_PER_S: usize = 9;
/// Requests in a second at which a cold endpoint would crash.
const CRASH_PER_S: usize = 18;
/// The cold endpoint.
const COLD: EndpointId = EndpointId(1);
/// Tokens that an endpoint prefills in a millisecond.
const TOKENS_PER_MS: u32 = 50;

/// The largest number of `times`, in milliseconds, in any second.
fn max_per_second(times: &[u64]) -> usize {
    let within = |from: u64| {
        times
            .iter()
            .filter(|at| (from..from + 1000).contains(at))
            .count()
    };
    times.iter().map(|from| within(*from)).max().unwrap_or(0)
}

/// A scheduler of three endpoints, the first of which is cold until `until`. They are engines if
/// `memory` is given.
fn scheduler(epoch: u64, now: Millis, memory: Option<u64>, until: Millis) -> Scheduler {
    let mut scheduler = Scheduler::new(Epoch(epoch), now);
    let slots = scheduler.slots();
    slots.set_memory_tokens(memory);
    slots.set_cold_rate(Some(RATE));
    for id in 1..=3 {
        slots.set(EndpointId(id), 64, 0, false);
    }
    slots.set_cold(now, COLD, until, 0);
    scheduler
}

/// A load of short requests on a scheduler.
struct Load {
    scheduler: Scheduler,
    session: scheduler::Session,
    /// Tokens of a prompt.
    tokens: u32,
    /// Number of the last ask.
    last_ask: u64,
    /// Endpoint and time of each grant.
    granted: Vec<(EndpointId, u64)>,
    /// When each endpoint will have prefilled its prompts.
    prefill_ends: BTreeMap<EndpointId, u64>,
    /// Times of the grants of the requests in progress, by the time of the first byte.
    running: BTreeMap<(u64, Seq), u64>,
}

impl Load {
    fn new(mut scheduler: Scheduler, now: Millis) -> Self {
        let session = scheduler.open_session(now, None, &Hello::default());
        Load {
            scheduler,
            session,
            tokens: 1,
            last_ask: 0,
            granted: Vec::new(),
            prefill_ends: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Sends one request per millisecond; each endpoint prefills one prompt after the other.
    fn run(&mut self, from: u64, to: u64) {
        for at in from..to {
            let now = Millis(at);
            self.last_ask += 1;
            let mut effects = self.scheduler.ask(
                now,
                self.session,
                ask(self.last_ask, Prompt::unshared(self.tokens, 1), 60_000, 100),
            );
            while let Some(entry) = self.running.first_entry().filter(|e| e.key().0 <= at) {
                let ((_, seq), sent) = entry.remove_entry();
                let took_ms = u32::try_from(at - sent).ok();
                effects.extend(
                    self.scheduler
                        .record_first_byte(now, self.session, seq, took_ms),
                );
                let ended = self
                    .scheduler
                    .done(now, self.session, seq, 100, Verdict::Fine);
                effects.extend(ended);
            }
            effects.extend(self.scheduler.tick(now));
            for effect in effects {
                if let scheduler::Effect::Grant(_, grant) = effect {
                    self.grant(at, &grant);
                }
            }
        }
    }

    fn grant(&mut self, at: u64, grant: &Grant) {
        self.granted.push((grant.endpoint, at));
        let ends = self.prefill_ends.entry(grant.endpoint).or_insert(0);
        *ends = (*ends).max(at) + u64::from(self.tokens / TOKENS_PER_MS);
        self.running.insert((*ends + 10, grant.seq), at);
    }

    /// Times of the grants for an endpoint.
    fn grant_times(&self, of: EndpointId) -> Vec<u64> {
        let all = self.granted.iter().filter(|(endpoint, _)| *endpoint == of);
        all.map(|(_, at)| *at).collect()
    }
}

/// Guards against a cold endpoint that crashes again because its free slots attract all waiting
/// requests, and against requests that wait for it while other endpoints are free.
#[test]
fn can_pace_a_cold_endpoint_while_others_serve_the_load() {
    let mut load = Load::new(scheduler(1, Millis(0), None, Millis(6000)), Millis(0));
    load.run(0, 6000);
    let cold = load.grant_times(COLD);
    assert!((30..=50).contains(&cold.len()), "{}", cold.len());
    assert!(
        max_per_second(&cold) <= MAX_PER_S,
        "{}",
        max_per_second(&cold)
    );
    assert!(load.granted.len() > 5000, "{}", load.granted.len());
    load.run(6000, 8000);
    let warm = load.grant_times(COLD).len() - cold.len();
    assert!(warm > 200, "{warm} requests once it is warm");
}

/// Guards against a cold engine that crashes again while the other engines are saturated with
/// prefill.
#[test]
fn can_pace_a_cold_engine_beside_saturated_engines() {
    let scheduler = scheduler(1, Millis(0), Some(500_000), Millis(6000));
    let mut load = Load::new(scheduler, Millis(0));
    load.tokens = 150;
    load.run(0, 6000);
    let cold = load.grant_times(COLD);
    assert!((30..=50).contains(&cold.len()), "{}", cold.len());
    assert!(
        max_per_second(&cold) <= MAX_PER_S,
        "{}",
        max_per_second(&cold)
    );
    load.run(6000, 8000);
    let warm = load.grant_times(COLD).len() - cold.len();
    assert!(warm > 200, "{warm} requests once it is warm");
}

/// Guards against requests that are not counted because they were granted before the endpoint
/// was known to be cold.
#[test]
fn can_pace_an_endpoint_that_turns_cold_under_load() {
    let scheduler = scheduler(1, Millis(0), None, Millis(0));
    let mut load = Load::new(scheduler, Millis(0));
    load.run(0, 3000);
    let slots = load.scheduler.slots();
    slots.set_cold(Millis(3000), COLD, Millis(6000), 0);
    load.run(3000, 6000);
    let times = load.grant_times(COLD);
    let after: Vec<u64> = times.into_iter().filter(|at| *at >= 3000).collect();
    assert!(after.iter().all(|at| *at >= 3980), "{after:?}");
    assert!(
        max_per_second(&after) <= MAX_PER_S,
        "{}",
        max_per_second(&after)
    );
}

/// Guards against a rate that is exceeded because a new scheduler does not know the grants of
/// its predecessor.
#[test]
fn can_pace_a_cold_endpoint_through_a_change_of_scheduler() {
    let mut first = Load::new(scheduler(1, Millis(0), None, Millis(9000)), Millis(0));
    first.run(0, 4000);
    let mut second = Load::new(scheduler(2, Millis(3990), None, Millis(9000)), Millis(3990));
    second.run(4000, 8000);
    let mut both = first.grant_times(COLD);
    both.extend(second.grant_times(COLD));
    assert!(both.len() > 40, "{}", both.len());
    assert!(
        max_per_second(&both) <= MAX_PER_S,
        "{}",
        max_per_second(&both)
    );
}

/// A view of engines, the first of which is cold for 20 seconds.
fn cold_view() -> View {
    let engine = Engine {
        memory_tokens: 500_000,
        event_tokens: 1,
        copy_tokens_per_s: None,
    };
    let mut view = view(Some(engine));
    if let Some(service) = view.config.services.get_mut(&SERVICE) {
        service.cold = Some(Cold {
            rate: RATE,
            for_ms: 3000,
        });
    }
    add(&mut view, COLD.0, "dc-1", 64);
    let all = shards(&view);
    assign(&mut view, all, 1);
    view.warm_at.insert(COLD, Millis(20_000));
    view
}

/// A router that has lost its scheduler, with the number of routers that the scheduler has
/// reported, if any.
fn router(incarnation: u64, view: &View, routers: Option<u32>) -> Dispatcher {
    let mut dispatcher = arrivals::dispatcher(name("main"), name("dc-1"), incarnation);
    dispatcher.link_up(Millis(0), &name("s-0"));
    dispatcher.update_view(Millis(0), view);
    if let Some(routers) = routers {
        dispatcher
            .arrive(Millis(0), view, arrival(SERVICE))
            .unwrap();
        dispatcher.tick(Millis(0), view);
        let grant = Grant {
            routers,
            ..grant(Epoch(1), Seq(99), COLD)
        };
        dispatcher.grant(Millis(0), grant);
    }
    dispatcher.link_down(Millis(0), &name("s-0"));
    dispatcher
}

/// Times at which routers without a scheduler send requests to the cold endpoint, at a load of
/// one request in 50 ms for each router.
fn sent_without_scheduler(routers: &mut [Dispatcher], view: &View, to: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for at in (LOCAL_AFTER_MS..to).step_by(10) {
        let now = Millis(at);
        for router in routers.iter_mut() {
            let mut effects = Vec::new();
            if at % 50 == 0 {
                // The router refuses requests that it cannot serve in time.
                let arrived = router.arrive(now, view, arrival(SERVICE));
                effects.extend(arrived.map(|(_, e)| e).unwrap_or_default());
            }
            effects.extend(router.tick(now, view));
            let sent = effects.iter().filter(|e| matches!(e, Effect::Dispatch(..)));
            times.extend(sent.map(|_| at));
        }
    }
    times
}

/// Guards against routers without a scheduler each of which sends the full rate to the cold
/// endpoint.
#[test]
fn can_share_the_rate_of_a_cold_endpoint_among_routers_without_a_scheduler() {
    let view = cold_view();
    let all = 1..=86_u64;
    let mut routers: Vec<Dispatcher> = all
        .map(|n| router(n.wrapping_mul(0x9e37_79b9_7f4a_7c15), &view, Some(86)))
        .collect();
    let times = sent_without_scheduler(&mut routers, &view, 20_000);
    assert!(times.len() > 60, "{}", times.len());
    assert!(
        max_per_second(&times) < CRASH_PER_S,
        "{}",
        max_per_second(&times)
    );
}

/// Guards against routers that have just started, and do not know how many routers share the
/// rate.
#[test]
fn can_avoid_a_cold_endpoint_while_the_number_of_routers_is_unknown() {
    let view = cold_view();
    let mut routers = [router(1, &view, None), router(2, &view, None)];
    assert_eq!(
        sent_without_scheduler(&mut routers, &view, 19_000),
        [0_u64; 0]
    );
}

/// Guards against full load on the endpoints of a data centre that is in use again after an
/// evacuation: they are cold, which the list of endpoints does not show yet.
#[test]
fn can_count_endpoints_as_cold_after_an_evacuation() {
    let mut view = cold_view();
    add(&mut view, 2, "dc-2", 64);
    view.warm_at.clear();
    let mut evacuation = Evacuation {
        is_in_force: true,
        version: Version(5),
        at: 1_000_000,
    };
    let mut failbacks = Failbacks::default();
    view.evacuations.insert(name("dc-2"), evacuation);
    failbacks.mark_cold(Millis(100), 1_000_000, &mut view);
    assert!(view.warm_at.is_empty());
    evacuation.is_in_force = false;
    evacuation.version = Version(6);
    view.evacuations.insert(name("dc-2"), evacuation);
    failbacks.mark_cold(Millis(200), 2_000_000, &mut view);
    assert_eq!(view.warm_at.get(&EndpointId(2)), Some(&Millis(3200)));
    assert_eq!(view.warm_at.get(&COLD), None);
    // A process that has just started counts from its own start, unless the evacuation has
    // ended long ago.
    let mut late = view.clone();
    late.warm_at.clear();
    Failbacks::default().mark_cold(Millis(50), 3_000_000, &mut late);
    assert_eq!(late.warm_at.get(&EndpointId(2)), Some(&Millis(3050)));
    late.warm_at.clear();
    Failbacks::default().mark_cold(Millis(50), 60_000_000, &mut late);
    assert!(late.warm_at.is_empty());
}

fn entry(text: &str, cold_ms: u32) -> Entry {
    Entry {
        cold_ms,
        ..endpoints::entry(text, Some(1), false)
    }
}

/// Guards against a list that counts as changed with each reading because the remaining times
/// of cold endpoints decrease, and against one that ignores a new cold time.
#[test]
fn can_follow_cold_times_without_a_change_at_each_reading() {
    let id = entry("a", 0).id();
    let mut registry = Registry::default();
    assert!(registry.apply_reading(Millis(0), vec![entry("a", 3000)], 1));
    assert_eq!(registry.warm_at().get(&id), Some(&Millis(3000)));
    assert!(!registry.apply_reading(Millis(500), vec![entry("a", 2700)], 2));
    assert_eq!(registry.export(Millis(1000)).endpoints[0].cold_ms, 2000);
    assert!(registry.apply_reading(Millis(1000), vec![entry("a", 3000)], 3));
    assert_eq!(registry.warm_at().get(&id), Some(&Millis(4000)));
    let mut other = Registry::default();
    assert!(other.apply_listing(Millis(70), registry.export(Millis(1000))));
    assert_eq!(other.warm_at().get(&id), Some(&Millis(3070)));
    assert!(!other.apply_listing(Millis(90), registry.export(Millis(1020))));
    assert!(!registry.apply_reading(Millis(5000), vec![entry("a", 0)], 4));
    assert!(registry.warm_at().is_empty());
    assert!(registry.apply_reading(Millis(6000), vec![entry("a", 3000)], 5));
}

/// Guards against a pacer that admits a burst after a pause.
#[test]
fn can_space_requests_evenly_after_a_pause() {
    let mut pacer = Pacer::new(Millis(60_000), RATE, Millis(0));
    assert!(!pacer.admits(Millis(999)));
    let mut times = Vec::new();
    for at in (1000..3000).chain(20_000..23_000) {
        if pacer.admits(Millis(at)) {
            pacer.take(Millis(at));
            times.push(at);
        }
    }
    assert!(
        max_per_second(&times) <= MAX_PER_S,
        "{}",
        max_per_second(&times)
    );
    assert!(times.len() >= 40, "{}", times.len());
    assert!(!Pacer::new(Millis(5000), 0, Millis(0)).admits(Millis(4999)));
    assert!(Pacer::new(Millis(5000), 0, Millis(0)).admits(Millis(5000)));
}
