//! Which shard a router selects for a request, where a region is divided by data centre.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod views;

use coordination::assignment::shards;
use coordination::dispatcher::{Arrival, Bounds, Dispatcher, Effect, Handle, Location, Rejection};
use coordination::messages::{Ask, Class, Forecast, Grant, Hello, Objective, Refusal, Report};
use coordination::prompt::Prompt;
use coordination::regions::Regions;
use state::clock::Millis;
use state::config::Engine;
use state::id::{CustomerId, EndpointId, Epoch};
use state::view::View;
use std::collections::BTreeMap;
use views::{name, SERVICE};

const CENTRES: u32 = 4;
const ENGINES_PER_CENTRE: u32 = 12;
const AIM_MS: u64 = 800;

/// A view with engines in four data centres, or in a single one if `joined`.
fn view(joined: bool) -> View {
    let mut view = views::view(None);
    for n in 0..CENTRES * ENGINES_PER_CENTRE {
        let centre = if joined { 0 } else { n % CENTRES };
        views::add(&mut view, n, &format!("dc-{centre}"), 4);
    }
    let all = shards(&view);
    views::assign(&mut view, all, 1);
    view
}

/// A router in data centre `centre` with links to all schedulers.
fn router(view: &View, centre: u32) -> Dispatcher {
    let location = Location {
        region: name("main"),
        data_centre: name(&format!("dc-{centre}")),
        incarnation: 100 + u64::from(centre),
    };
    let bounds = Bounds {
        requests: 1000,
        bytes: u64::MAX,
    };
    let mut dispatcher = Dispatcher::new(location, bounds);
    dispatcher.update_view(Millis(0), view);
    for n in 0..CENTRES {
        dispatcher.link_up(Millis(0), &name(&format!("s-{n}")));
    }
    dispatcher
}

/// A request of customer 1 whose prompt begins with `shared` tokens of a shared part.
fn arrival(now: u64, part: u64, shared: u32, own: u64) -> Arrival {
    Arrival {
        service: SERVICE,
        class: Class {
            customer: CustomerId(1),
            rule: 0,
        },
        weight: 1,
        rate: 0,
        concurrency: 0,
        queue: 500,
        hint: 10,
        priority: 0,
        aim: Millis(now + AIM_MS),
        prompt: Prompt::new([(part, shared), (1 << 40 | own, 1000)], 50),
        bytes: 0,
        regions: Regions::default(),
        deadline: Millis(now + 10_000),
    }
}

/// The same request of another customer, so that the bound on asks per class does not apply.
fn of(customer: u64, arrival: Arrival) -> Arrival {
    let customer = CustomerId(u32::try_from(customer).unwrap());
    let class = Class {
        customer,
        ..arrival.class
    };
    Arrival { class, ..arrival }
}

/// Asks, each with the epoch of the scheduler that receives it.
fn asks(effects: &[Effect]) -> Vec<(u64, Ask)> {
    let each = effects.iter().filter_map(|e| match e {
        Effect::Report(assignment, Report::Ask(ask)) => Some((assignment.epoch.0, *ask)),
        _ => None,
    });
    each.collect()
}

/// Queues a request and returns its ask, with the epoch of the scheduler that receives it.
fn arrive(dispatcher: &mut Dispatcher, view: &View, arrival: Arrival) -> (Handle, u64, Ask) {
    let now = Millis(arrival.aim.0 - AIM_MS);
    let (handle, mut effects) = dispatcher.arrive(now, view, arrival).unwrap();
    effects.extend(dispatcher.tick(now, view));
    let (epoch, ask) = asks(&effects)[0];
    (handle, epoch, ask)
}

/// Makes a router open sessions with all schedulers.
fn open_all_sessions(router: &mut Dispatcher, view: &View) {
    for part in 0..40 {
        let some = arrival(0, part, 13_000, part);
        arrive(router, view, of(100 + part, some));
    }
}

fn refusal(epoch: u64, ask: &Ask, wait_ms: u32) -> Refusal {
    Refusal {
        epoch: Epoch(epoch),
        seq: ask.seq,
        wait_ms,
        after_ms: 300,
    }
}

#[test]
fn prompts_with_a_shared_part_go_to_the_same_shard_from_all_routers() {
    // Symptom: each shared part is prefilled in each data centre.
    // Cause: routers select the shard of their own data centre, or any shard.
    let view = view(false);
    let mut routers: Vec<Dispatcher> = (0..CENTRES).map(|n| router(&view, n)).collect();
    let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
    for part in 0..400 {
        let asked: Vec<u64> = (routers.iter_mut().zip(0..))
            .map(|(router, own)| arrive(router, &view, of(part, arrival(0, part, 13_000, own))).1)
            .collect();
        assert!(asked.iter().all(|epoch| *epoch == asked[0]), "{asked:?}");
        *counts.entry(asked[0]).or_default() += 1;
    }
    // Expected are 100 each; the bounds are three standard deviations of 9.
    assert!(counts.values().all(|n| (70..130).contains(n)), "{counts:?}");
    assert_eq!(counts.len(), 4);
}

/// The same view, with engines that copy cached prompt parts from each other.
fn copying_view() -> View {
    let mut view = view(false);
    if let Some(service) = view.config.services.get_mut(&SERVICE) {
        service.engine = Some(Engine {
            memory_tokens: 500_000,
            event_tokens: 1,
            copy_tokens_per_s: Some(200_000),
        });
    }
    view
}

/// Reports to a router with `grants` grants how busy the engines of its data centre are.
fn report_busy(router: &mut Dispatcher, view: &View, busy: u8, grants: u64) {
    let local = 1;
    for n in 0..grants {
        let (_, epoch, ask) = arrive(router, view, of(500 + n, arrival(0, n, 300, n)));
        assert_eq!(epoch, local);
        let grant = Grant {
            epoch: Epoch(epoch),
            seq: ask.seq,
            endpoint: EndpointId(0),
            copy_from: None,
            forecast: Forecast::default(),
            level: 0,
            floor: 0,
            routers: 4,
            running: 1,
            busy,
        };
        router.grant(Millis(0), grant);
    }
}

/// Guards against sending bodies of 17 kB to another data centre for a part that local engines
/// can copy, and against keeping requests in a data centre that cannot serve them.
#[test]
fn prompts_stay_in_their_data_centre_while_engines_there_have_time_to_copy() {
    let view = copying_view();
    let mut router = router(&view, 0);
    let elsewhere = |router: &mut Dispatcher, from: u64| {
        let asked = (from..from + 40).map(|part| {
            let request = of(part, arrival(0, part, 13_000, part));
            arrive(router, &view, request).1
        });
        asked.filter(|epoch| *epoch != 1).count()
    };
    assert_eq!(elsewhere(&mut router, 0), 0);
    report_busy(&mut router, &view, 95, 20);
    assert!(elsewhere(&mut router, 1000) > 20);
    report_busy(&mut router, &view, 10, 20);
    assert_eq!(elsewhere(&mut router, 2000), 0);
}

/// Number of the next 40 requests that go to each scheduler, whose streams have a bound of `max_gap_ms`
/// on their pauses. Each shard reports its requests in progress with the grant.
fn asked_with_running(
    router: &mut Dispatcher,
    view: &View,
    (now, max_gap_ms): (u64, u32),
    running: [u32; CENTRES as usize],
) -> BTreeMap<u64, u32> {
    let mut counts = BTreeMap::new();
    for n in 0..40 {
        let part = now * 100 + n;
        let arrival = of(part, arrival(now, part, 13_000, part));
        let objective = (max_gap_ms > 0).then_some(Objective {
            max_gap_ms,
            is_resumable: false,
        });
        let arrived = router.arrive_for_stream(Millis(now), view, arrival, objective);
        let (_, mut effects) = arrived.unwrap();
        effects.extend(router.tick(Millis(now), view));
        let sent = effects.iter().find_map(|e| match e {
            Effect::Report(to, Report::Ask(ask) | Report::StreamAsk(ask, _)) => {
                Some((to.epoch, ask.seq))
            }
            _ => None,
        });
        let (epoch, seq) = sent.unwrap();
        *counts.entry(epoch.0).or_default() += 1;
        let grant = Grant {
            epoch,
            seq,
            endpoint: EndpointId(0),
            copy_from: None,
            forecast: Forecast::default(),
            level: 0,
            floor: 0,
            routers: 4,
            running: running[usize::try_from(epoch.0).unwrap() - 1],
            busy: 30,
        };
        router.grant(Millis(now), grant);
    }
    counts
}

/// Number of requests that stayed in the router's own data centre.
fn local(counts: &BTreeMap<u64, u32>) -> u32 {
    counts.get(&1).copied().unwrap_or(0)
}

/// Makes the load of all shards known to a router.
fn report_all(router: &mut Dispatcher, view: &View, now: u64, running: [u32; CENTRES as usize]) {
    report_busy(router, view, 95, 20);
    for step in 0..5 {
        asked_with_running(router, view, (now + step, 0), running);
    }
    report_busy(router, view, 10, 20);
    asked_with_running(router, view, (now + 5, 0), running);
}

/// Guards against streams that pause for too long since two in three callers come to one data centre:
/// its engines have far more streams than the others while their prefill still leaves time.
#[test]
fn streams_with_a_bound_leave_a_crowded_data_centre() {
    let view = copying_view();
    let mut router = router(&view, 0);
    let crowded = [120, 40, 40, 40];
    report_all(&mut router, &view, 0, crowded);
    let mut asked = |now, max_gap_ms, running| {
        asked_with_running(&mut router, &view, (now, max_gap_ms), running)
    };
    // Without a bound they stay, whatever is in progress.
    assert_eq!(local(&asked(100, 0, crowded)), 40);
    // Nearly all others leave, to each of the other shards; those that stay tell the load.
    let counts = asked(200, 300, crowded);
    assert!((1..8).contains(&local(&counts)), "{counts:?}");
    assert_eq!(counts.len(), 4, "{counts:?}");
    // Only a part leaves a shard that is somewhat above the mean.
    let counts = asked(300, 300, [60, 40, 50, 50]);
    let counts = (local(&counts), local(&asked(310, 300, [60, 40, 50, 50])));
    assert!((12..36).contains(&counts.1), "{counts:?}");
    // All stay with level loads, also once the figures of the others have become old.
    asked(400, 300, [50; 4]);
    assert_eq!(local(&asked(410, 300, [50; 4])), 40);
    assert!(local(&asked(2500, 300, [50; 4])) >= 38);
}

/// Guards against sending all streams to a scheduler that has just taken over and grants nothing yet.
#[test]
fn a_shard_whose_load_is_not_known_gets_few_streams() {
    let view = copying_view();
    let mut router = router(&view, 0);
    report_all(&mut router, &view, 0, [120, 40, 120, 120]);
    let vm = name("s-1");
    router.link_down(Millis(200), &vm);
    router.link_up(Millis(400), &vm);
    (400..500).for_each(|now| drop(router.tick(Millis(now), &view)));
    // No grant comes back, so that the load stays unknown.
    let asked = (0..200).map(|n| {
        let part = 50_000 + n;
        let arrival = of(part, arrival(500, part, 13_000, part));
        let objective = Some(Objective {
            max_gap_ms: 300,
            is_resumable: false,
        });
        let arrived = router.arrive_for_stream(Millis(500), &view, arrival, objective);
        let (_, mut effects) = arrived.unwrap();
        effects.extend(router.tick(Millis(500), &view));
        let to_new = effects.iter().filter(|e| {
            matches!(e, Effect::Report(to, Report::Ask(_) | Report::StreamAsk(..)) if to.epoch == Epoch(2))
        });
        to_new.count()
    });
    let asked: usize = asked.sum();
    assert!((1..25).contains(&asked), "{asked} of 200");
}

/// Guards against moving streams away from engines that have time for them: bytes between data
/// centres, for nothing.
#[test]
fn streams_with_a_bound_stay_where_engines_have_few_of_them() {
    let view = copying_view();
    let mut router = router(&view, 0);
    let few = [20, 0, 0, 0];
    for now in [0, 10, 20] {
        let counts = asked_with_running(&mut router, &view, (now, 300), few);
        assert_eq!(counts.get(&1), Some(&40), "{counts:?}");
    }
}

/// Guards against prefilling prompts once more in other data centres, where engines cannot copy.
#[test]
fn streams_with_a_bound_stay_with_their_prompts_where_engines_do_not_copy() {
    let view = view(false);
    let (mut crowded, mut calm) = (router(&view, 0), router(&view, 0));
    for now in [0, 10] {
        let expected = asked_with_running(&mut calm, &view, (now, 300), [50; 4]);
        let counts = asked_with_running(&mut crowded, &view, (now, 300), [200, 10, 10, 10]);
        assert_eq!(counts, expected);
    }
}

#[test]
fn prompts_that_share_little_stay_in_their_data_centre() {
    let view = view(false);
    for centre in 0..CENTRES {
        let mut router = router(&view, centre);
        for part in 0..20 {
            let (_, epoch, _) = arrive(&mut router, &view, arrival(0, part, 300, part));
            assert_eq!(epoch, 1 + u64::from(centre));
        }
    }
}

#[test]
fn a_refused_request_is_asked_for_once_more_at_another_shard() {
    // Symptom: requests are refused at one data centre while engines in others are idle.
    // Sequence: a router with few requests asks a scheduler that is overloaded.
    // Cause: its refusal is final.
    let view = view(false);
    let mut router = router(&view, 0);
    // Open sessions with all four schedulers.
    for part in 0..40 {
        arrive(
            &mut router,
            &view,
            of(100 + part, arrival(0, part, 13_000, part)),
        );
    }
    let (handle, first, ask) = arrive(&mut router, &view, arrival(100, 7, 13_000, 900));
    let effects = router.refuse(Millis(110), refusal(first, &ask, 900));
    let again = asks(&effects);
    let [(second, ask)] = again[..] else {
        unreachable!("{effects:?}");
    };
    assert_ne!(second, first);
    // The aim still counts from the arrival of the request.
    assert!(u64::from(ask.aim_ms) < AIM_MS);
    let effects = router.refuse(Millis(120), refusal(second, &ask, 900));
    let is_refused = |e: &Effect| matches!(e, Effect::Refuse(h, _) if *h == handle);
    assert!(effects.iter().any(is_refused), "{effects:?}");
    assert!(asks(&effects).is_empty());
}

#[test]
fn new_requests_use_another_shard_only_while_theirs_is_overloaded() {
    let view = view(false);
    let mut router = router(&view, 0);
    open_all_sessions(&mut router, &view);
    let (_, first, ask) = arrive(&mut router, &view, arrival(0, 7, 300, 1));
    router.refuse(Millis(5), refusal(first, &ask, 700));
    let (_, other, _) = arrive(&mut router, &view, arrival(10, 7, 300, 2));
    assert_ne!(other, first);
    // Where all shards are overloaded requests stay, so that cached parts remain useful.
    for own in 0..30 {
        let next = router.arrive(Millis(20), &view, arrival(20, 7, 300, 10 + own));
        let mut asked = next.map_or_else(|_| Vec::new(), |(_, effects)| asks(&effects));
        while let Some((epoch, ask)) = asked.pop() {
            asked.extend(asks(&router.refuse(Millis(21), refusal(epoch, &ask, 900))));
        }
    }
    let next = router.arrive(Millis(30), &view, arrival(30, 7, 300, 99));
    assert!(matches!(next, Err(Rejection::Late { .. })), "{next:?}");
    // Old measurements lose their weight.
    let (_, back, _) = arrive(&mut router, &view, arrival(1500, 7, 300, 100));
    assert_eq!(back, first);
}

#[test]
fn a_lost_scheduler_is_skipped_and_blocks_no_other_requests() {
    // Symptom: all requests of a customer wait while one of four schedulers is lost.
    // Sequence: the first request in the queue belongs to the shard of the lost scheduler.
    // Cause: the first request in a customer's queue blocks the others.
    let view = view(false);
    let mut router = router(&view, 0);
    open_all_sessions(&mut router, &view);
    let (_, first, _) = arrive(&mut router, &view, arrival(0, 7, 13_000, 1));
    let vm = name(&format!("s-{}", first - 1));
    router.link_down(Millis(10), &vm);
    // Too early to consider the scheduler lost.
    let waiting = router.arrive(Millis(20), &view, arrival(20, 7, 13_000, 2));
    assert!(asks(&waiting.unwrap().1).is_empty());
    let other = (100..).find(|part| {
        let next = router.arrive(Millis(30), &view, arrival(30, *part, 13_000, *part));
        !asks(&next.unwrap().1).is_empty()
    });
    assert!(other.is_some_and(|part| part < 120), "{other:?}");
    let next = router.arrive(Millis(150), &view, arrival(150, 7, 13_000, 3));
    let asked = asks(&next.unwrap().1);
    assert!(asked.len() == 1 && asked[0].0 != first, "{asked:?}");
}

#[test]
fn requests_in_progress_are_reported_after_a_region_is_divided() {
    // Symptom: endpoints get more requests than slots when schedulers change.
    // Sequence: requests are in progress when a region is divided by data centre; the new
    // schedulers grant slots.
    // Cause: requests in progress belong to a shard that no longer exists.
    let joined = view(true);
    let mut router = router(&joined, 0);
    let (handle, epoch, ask) = arrive(&mut router, &joined, arrival(0, 7, 13_000, 1));
    let grant = Grant {
        epoch: Epoch(epoch),
        seq: ask.seq,
        endpoint: EndpointId(2),
        copy_from: None,
        forecast: Forecast::default(),
        level: 0,
        floor: 0,
        routers: 1,
        running: 1,
        busy: 0,
    };
    let effects = router.grant(Millis(10), grant);
    assert!(effects.contains(&Effect::Dispatch(handle, EndpointId(2))));
    let mut divided = view(false);
    divided.assignments.clear();
    let all = shards(&divided);
    views::assign(&mut divided, all, 20);
    let mut effects = router.update_view(Millis(20), &divided);
    effects.extend(router.tick(Millis(40), &divided));
    for n in 0..CENTRES {
        effects.extend(router.link_up(Millis(50), &name(&format!("s-{n}"))));
    }
    let hellos = effects.iter().filter_map(|e| match e {
        Effect::Report(assignment, Report::Hello(Hello { held, .. })) => {
            Some((assignment.epoch.0, held.clone()))
        }
        _ => None,
    });
    let held: Vec<(u64, EndpointId)> = hellos
        .flat_map(|(epoch, held)| held.into_iter().map(move |h| (epoch, h.endpoint)))
        .collect();
    assert!(held.iter().all(|h| *h == (22, EndpointId(2))), "{held:?}");
    assert!(!held.is_empty());
    // The old scheduler is no longer asked.
    let (_, epoch, _) = arrive(&mut router, &divided, arrival(100, 7, 13_000, 2));
    assert!(epoch >= 20);
}
