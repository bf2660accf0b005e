//! Shards with many endpoints: who holds and hears what, at two sizes of the fleet.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod endpoints;
mod views;

use coordination::assignment::{shards, SHARD_ENDPOINTS_MAX};
use coordination::cell::{Answer, Catalogue, Poller};
use coordination::dispatcher::{Arrival, Bounds, Dispatcher, Location};
use coordination::listing::{Reader, Registry, BROADCAST_ENTRIES_MAX};
use coordination::messages::Class;
use coordination::prompt::Prompt;
use coordination::recent::{Recent, RECENT_MAX, RECENT_MS};
use coordination::regions::Regions;
use rstest::rstest;
use state::clock::Millis;
use state::id::{CustomerId, EndpointId};
use state::listing::{Entry, Listing};
use state::view::{Shard, View};
use std::collections::BTreeSet;
use views::{name, SERVICE};

/// Data centres of the fleets here.
const CENTRES: usize = 5;
/// Part of a cell's endpoints by which chance makes some cells larger than others.
const SLACK_PERCENT: usize = 125;

/// A list with so many endpoints in each data centre.
fn list(each: usize) -> Vec<Entry> {
    let all = (0..each * CENTRES).map(|n| {
        let mut listed = endpoints::listed(&format!("e-{n:06}"), None, false);
        listed.endpoint.service = name("assistant");
        listed.endpoint.data_centre = name(&format!("dc-{}", n % CENTRES));
        listed
    });
    all.collect()
}

/// A control VM that has read it.
fn reader(each: usize) -> Registry {
    let mut registry = Registry::default();
    registry.apply_reading(Millis(0), list(each), 1);
    registry
}

/// What a router knows of it, with a scheduler for each shard.
fn partial(registry: &Registry) -> View {
    let mut view = views::view(None);
    view.set_census(registry.census().unwrap());
    let all = shards(&view);
    views::assign(&mut view, all, 1);
    view
}

/// Guards against a scheduler whose work grows with the endpoints of its data centre, and
/// against an endpoint that two schedulers grant, or none.
#[rstest]
#[case(2000)]
#[case(4000)]
fn a_scheduler_has_a_bounded_number_of_endpoints(#[case] each: usize) {
    let registry = reader(each);
    let view = partial(&registry);
    let all: Vec<Shard> = shards(&view).into_iter().collect();
    let mut counts = vec![0; all.len()];
    for listed in &registry.listing().endpoints {
        let covers = |shard: &Shard| shard.covers(listed.id(), &listed.endpoint);
        let covering: Vec<usize> = (0..all.len()).filter(|n| covers(&all[*n])).collect();
        assert_eq!(covering.len(), 1, "{listed:?}");
        counts[covering[0]] += 1;
    }
    let most = counts.iter().max().unwrap();
    assert!(
        *most <= SHARD_ENDPOINTS_MAX * SLACK_PERCENT / 100,
        "{counts:?}"
    );
}

/// Guards against schedulers that all change when a few endpoints come or go.
#[test]
fn endpoints_that_come_and_go_do_not_divide_a_shard_each_time() {
    let divided = partial(&reader(2 * SHARD_ENDPOINTS_MAX + 10));
    let again = |each: usize| {
        let mut view = divided.clone();
        view.set_census(reader(each).census().unwrap());
        shards(&view)
    };
    let before = shards(&divided);
    assert_eq!(again(2 * SHARD_ENDPOINTS_MAX - 10), before);
    assert_eq!(again(SHARD_ENDPOINTS_MAX), before);
    // Each of its cells has half of the endpoints of one of these.
    let doubled = again(4 * SHARD_ENDPOINTS_MAX + 10);
    assert_eq!(doubled.len(), 2 * before.len());
    let listed = &list(1)[0];
    let covers = |all: &BTreeSet<Shard>| {
        let shard = all.iter().find(|s| s.covers(listed.id(), &listed.endpoint));
        shard.unwrap().cell.unwrap()
    };
    let (old, new) = (covers(&before), covers(&doubled));
    assert_eq!(new.index % old.of, old.index);
}

/// Shards that a router comes to have sessions with, by many prompts and a pressed own data
/// centre.
fn sessions(view: &View, incarnation: u64) -> usize {
    let home = Location {
        region: name("main"),
        data_centre: name("dc-0"),
        incarnation,
    };
    let bounds = Bounds {
        requests: 100_000,
        bytes: 1 << 30,
    };
    let mut dispatcher = Dispatcher::new(home, bounds);
    dispatcher.follow(Millis(0), view);
    for n in 0..3000_u32 {
        let prompt = Prompt::new([(u64::from(n), 5000), (u64::from(n) + 10_000, 50)], 100);
        let arrival = Arrival {
            service: SERVICE,
            class: Class {
                customer: CustomerId(n % 50),
                rule: 0,
            },
            weight: 1,
            priority: 0,
            rate: 0,
            concurrency: 0,
            queue: 100_000,
            hint: 100,
            prompt,
            bytes: 0,
            regions: Regions::default(),
            aim: Millis(u64::from(n) + 800),
            deadline: Millis(u64::from(n) + 8000),
        };
        // Whether it is taken plays no part.
        let _ = dispatcher.arrive(Millis(u64::from(n)), view, arrival);
    }
    dispatcher.shards().count()
}

/// Guards against routers that keep a link to each scheduler of the fleet.
#[test]
fn a_router_asks_a_bounded_number_of_schedulers() {
    let most = |each: usize| {
        let view = partial(&reader(each));
        let lives = (1..40_u64).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        lives.map(|life| sessions(&view, life)).max().unwrap()
    };
    let (most_now, most_at_twice) = (most(2000), most(4000));
    assert!(
        most_now <= 8 && most_at_twice <= 8,
        "{most_now} {most_at_twice}"
    );
}

/// Entries that a release of a hundredth of all endpoints brings to one scheduler and to
/// one router.
fn heard(each: usize) -> (usize, usize) {
    let mut registry = reader(each);
    let view = partial(&registry);
    let shard = shards(&view).into_iter().next().unwrap();
    let mut catalogue = Catalogue::new(1);
    let mut cells = Poller::default();
    cells.set_shards([shard.clone()]);
    let mut entries = 0;
    for round in 0..4 {
        let now = Millis(round * 1000);
        let mut next = list(each);
        next.iter_mut()
            .take(round as usize * each * CENTRES / 100)
            .for_each(|l| l.leaving = true);
        registry.apply_reading(now, next, 2 + round);
        catalogue.apply_change(now, registry.change());
        for question in cells.due_queries(now) {
            let answer = catalogue.answer(
                now,
                &question.shard,
                &name("assistant"),
                registry.listing(),
                question.known_id,
            );
            entries += match &answer {
                Answer::Whole(listing) => listing.endpoints.len(),
                Answer::Change(change) => change.set.len() + change.gone.len(),
                Answer::Unchanged => 0,
            };
            cells.apply_answer(now, &shard, answer);
        }
    }
    let of_shard = |l: &&Entry| shard.covers(l.id(), &l.endpoint);
    let expected: Vec<Entry> = (registry.listing().endpoints.iter())
        .filter(of_shard)
        .cloned()
        .collect();
    let known = cells.registries().next().unwrap().listing();
    assert_eq!(known.endpoints, expected, "it follows all changes");
    (entries, registry.census().unwrap().counts.len())
}

/// Guards against a list that every process holds, and hears each change of.
#[test]
fn a_change_of_the_list_goes_to_those_who_need_it() {
    let (scheduler, router) = heard(2000);
    let (scheduler_at_twice, router_at_twice) = heard(4000);
    let bound = SHARD_ENDPOINTS_MAX * 2;
    assert!(
        scheduler <= bound && scheduler_at_twice <= bound,
        "{scheduler} {scheduler_at_twice}"
    );
    assert_eq!((router, router_at_twice), (CENTRES, CENTRES));
}

/// Guards against a scheduler that goes on with an old list, since the control VM that it
/// asks has fallen silent.
#[test]
fn a_scheduler_asks_another_control_vm_after_a_silence() {
    let shard = shards(&partial(&reader(2000))).into_iter().next().unwrap();
    let mut cells = Poller::default();
    cells.set_shards([shard.clone()]);
    let mut turns = BTreeSet::new();
    for tick in 0..200 {
        let now = Millis(tick * 20);
        turns.extend(cells.due_queries(now).into_iter().map(|q| q.attempt));
    }
    assert!(turns.len() > 1, "{turns:?}");
    let mut cells = Poller::default();
    cells.set_shards([shard.clone()]);
    let mut asked = 0;
    for tick in 0..200 {
        let now = Millis(tick * 20);
        for question in cells.due_queries(now) {
            assert_eq!(question.attempt, 0);
            asked += 1;
            cells.apply_answer(now, &shard, Answer::Unchanged);
        }
    }
    assert!(asked <= 9, "{asked} in four seconds");
}

/// Guards against readers of a long list that keep each other from reading it: routers that
/// do not hold it leave it alone, however long nobody tells of it.
#[test]
fn routers_leave_a_long_list_to_control_vms() {
    let mut router = Registry::default();
    let reads =
        |registry: &Registry, routers| registry.read_delay_ms(Reader::Router(routers), 500, 7);
    assert_eq!(reads(&router, None), None, "it has heard nothing");
    assert_eq!(reads(&router, Some(1000)), None);
    router.apply_census(Millis(0), reader(2000).census().unwrap().clone());
    assert_eq!(reads(&router, Some(1000)), None);
    let mut whole = Registry::default();
    let endpoints = list(BROADCAST_ENTRIES_MAX / CENTRES);
    whole.apply_listing(Millis(0), Listing { id: 3, endpoints });
    assert!(reads(&whole, Some(6)).is_some());
    assert_eq!(reads(&whole, None), None, "they are not counted yet");
}

/// Guards against more calls a second to the platform the longer its list is.
#[rstest]
#[case(2000)]
#[case(4000)]
fn the_leader_reads_a_long_list_less_often(#[case] each: usize) {
    const PAGE: u64 = 200;
    let registry = reader(each);
    let every_ms = registry.read_delay_ms(Reader::Leader, 500, 7).unwrap();
    let pages = (each * CENTRES) as u64 / PAGE;
    assert!(pages * 1000 / every_ms <= 50, "{every_ms}");
    // One that follows it waits for longer than a reading may take.
    let led = Reader::Control {
        follows_leader: true,
    };
    assert!(registry.read_delay_ms(led, 500, 7).unwrap() >= 5 * every_ms);
}

/// Guards against a reading of many pages that is worth nothing since one of them failed.
#[test]
fn a_reading_that_fails_keeps_what_it_has_read() {
    let mut registry = Registry::default();
    assert!(registry.apply_partial_reading(Millis(0), list(200)[..700].to_vec(), 1));
    assert_eq!(registry.listing().endpoints.len(), 700);
    let mut later = list(200)[600..].to_vec();
    later[0].leaving = true;
    assert!(registry.apply_partial_reading(Millis(500), later, 2));
    assert_eq!(registry.listing().endpoints.len(), 1000);
    assert!(registry.listing().endpoints[600].leaving);
    // What it lacks says nothing, however often.
    for n in 0..5 {
        registry.apply_partial_reading(Millis(1000 + n * 500), list(200)[..10].to_vec(), 3 + n);
    }
    assert_eq!(registry.listing().endpoints.len(), 1000);
}

/// Guards against endpoints that leave and are forgotten as such in a release of a large
/// fleet: a reader that has older pages would bring them back.
#[test]
fn a_release_of_a_large_fleet_is_remembered() {
    let mut registry = reader(2000);
    let mut leaving = list(2000);
    leaving.iter_mut().for_each(|l| l.leaving = true);
    registry.apply_reading(Millis(1000), leaving, 2);
    registry.apply_reading(Millis(2000), list(2000), 3);
    assert!(registry.listing().endpoints.iter().all(|l| l.leaving));
}

/// Guards against a router that holds every endpoint that it was ever granted, and against
/// one that goes on for long with endpoints that may have left.
#[test]
fn a_router_remembers_a_bounded_number_of_endpoints_for_a_while() {
    let mut recent = Recent::default();
    for (n, listed) in (0..).zip(list(400)) {
        recent.insert(Millis(n), listed.id(), listed.endpoint);
    }
    assert_eq!(recent.usable(Millis(2000)).count(), RECENT_MAX);
    assert_eq!(recent.usable(Millis(2000 + RECENT_MS)).count(), 0);
    let last = list(400).pop().unwrap();
    assert_eq!(recent.get(last.id()), Some(&last.endpoint));
    assert_eq!(recent.get(EndpointId(7)), None);
}
