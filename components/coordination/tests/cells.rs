//! Large fleets: what schedulers, routers and control VMs hold and exchange must not grow with
//! the number of endpoints. Most tests run at two sizes of the fleet.
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

/// Data centres of the test fleets.
const DATA_CENTRES: usize = 5;
/// Largest size of a cell relative to [`SHARD_ENDPOINTS_MAX`]: endpoints are hashed to cells,
/// so some cells are larger than others.
const CELL_SIZE_MAX_PERCENT: usize = 125;

/// A list with `each` endpoints in each data centre.
fn list(each: usize) -> Vec<Entry> {
    let all = (0..each * DATA_CENTRES).map(|n| {
        let mut entry = endpoints::entry(&format!("e-{n:06}"), None, false);
        entry.endpoint.service = name("assistant");
        entry.endpoint.data_centre = name(&format!("dc-{}", n % DATA_CENTRES));
        entry
    });
    all.collect()
}

/// The registry of a control VM that has read such a list.
fn reader(each: usize) -> Registry {
    let mut registry = Registry::default();
    registry.apply_reading(Millis(0), list(each), 1);
    registry
}

/// The view of a router that holds only the endpoint counts, with a scheduler per shard.
fn partial(registry: &Registry) -> View {
    let mut view = views::view(None);
    view.set_census(registry.census().unwrap());
    let all = shards(&view);
    views::assign(&mut view, all, 1);
    view
}

/// Guards against shards that grow with the data centre, and against an endpoint that is in
/// two shards or in none.
#[rstest]
#[case(2000)]
#[case(4000)]
fn a_scheduler_has_a_bounded_number_of_endpoints(#[case] each: usize) {
    let registry = reader(each);
    let view = partial(&registry);
    let all: Vec<Shard> = shards(&view).into_iter().collect();
    let mut counts = vec![0; all.len()];
    for entry in &registry.listing().endpoints {
        let covers = |shard: &Shard| shard.covers(entry.id(), &entry.endpoint);
        let covering: Vec<usize> = (0..all.len()).filter(|n| covers(&all[*n])).collect();
        assert_eq!(covering.len(), 1, "{entry:?}");
        counts[covering[0]] += 1;
    }
    let most = counts.iter().max().unwrap();
    assert!(
        *most <= SHARD_ENDPOINTS_MAX * CELL_SIZE_MAX_PERCENT / 100,
        "{counts:?}"
    );
}

/// Guards against new shards, and so new schedulers, whenever a few endpoints come or go.
#[test]
fn a_few_new_endpoints_do_not_change_the_shards() {
    let divided = partial(&reader(2 * SHARD_ENDPOINTS_MAX + 10));
    let again = |each: usize| {
        let mut view = divided.clone();
        view.set_census(reader(each).census().unwrap());
        shards(&view)
    };
    let before = shards(&divided);
    assert_eq!(again(2 * SHARD_ENDPOINTS_MAX - 10), before);
    assert_eq!(again(SHARD_ENDPOINTS_MAX), before);
    // Each new cell has half of the endpoints of an old one.
    let doubled = again(4 * SHARD_ENDPOINTS_MAX + 10);
    assert_eq!(doubled.len(), 2 * before.len());
    let entry = &list(1)[0];
    let covers = |all: &BTreeSet<Shard>| {
        let shard = all.iter().find(|s| s.covers(entry.id(), &entry.endpoint));
        shard.unwrap().cell.unwrap()
    };
    let (old, new) = (covers(&before), covers(&doubled));
    assert_eq!(new.index % old.of, old.index);
}

/// Number of shards with which a router opens sessions, for many different prompts and an
/// overloaded data centre of its own.
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
    dispatcher.update_view(Millis(0), view);
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
        // Refused arrivals count as well.
        let _ = dispatcher.arrive(Millis(u64::from(n)), view, arrival);
    }
    dispatcher.shards().count()
}

/// Guards against routers with a link to each scheduler of the fleet.
#[test]
fn a_router_asks_a_bounded_number_of_schedulers() {
    let most = |each: usize| {
        let view = partial(&reader(each));
        let incarnations = (1..40_u64).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        incarnations
            .map(|incarnation| sessions(&view, incarnation))
            .max()
            .unwrap()
    };
    let (most_now, most_at_twice) = (most(2000), most(4000));
    assert!(
        most_now <= 8 && most_at_twice <= 8,
        "{most_now} {most_at_twice}"
    );
}

/// Number of entries that one scheduler and one router receive while a rolling release
/// drains a hundredth of all endpoints per round.
fn entries_received(each: usize) -> (usize, usize) {
    let mut registry = reader(each);
    let view = partial(&registry);
    let shard = shards(&view).into_iter().next().unwrap();
    let mut catalogue = Catalogue::new(1);
    let mut poller = Poller::default();
    poller.set_shards([shard.clone()]);
    let mut entries = 0;
    for round in 0..4 {
        let now = Millis(round * 1000);
        let mut next = list(each);
        next.iter_mut()
            .take(round as usize * each * DATA_CENTRES / 100)
            .for_each(|l| l.leaving = true);
        registry.apply_reading(now, next, 2 + round);
        catalogue.apply_change(now, registry.change());
        for question in poller.due_queries(now) {
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
            poller.apply_answer(now, &shard, answer);
        }
    }
    let of_shard = |l: &&Entry| shard.covers(l.id(), &l.endpoint);
    let expected: Vec<Entry> = (registry.listing().endpoints.iter())
        .filter(of_shard)
        .cloned()
        .collect();
    let known = poller.registries().next().unwrap().listing();
    assert_eq!(known.endpoints, expected, "all changes are applied");
    (entries, registry.census().unwrap().counts.len())
}

/// Guards against a list that every process holds and of which it receives each change.
#[test]
fn a_change_of_the_list_is_sent_only_where_it_is_needed() {
    let (scheduler, router) = entries_received(2000);
    let (scheduler_at_twice, router_at_twice) = entries_received(4000);
    let bound = SHARD_ENDPOINTS_MAX * 2;
    assert!(
        scheduler <= bound && scheduler_at_twice <= bound,
        "{scheduler} {scheduler_at_twice}"
    );
    assert_eq!((router, router_at_twice), (DATA_CENTRES, DATA_CENTRES));
}

/// Guards against a scheduler that keeps an old list because the control VM that it queries
/// has fallen silent.
#[test]
fn a_scheduler_queries_another_control_vm_after_a_timeout() {
    let shard = shards(&partial(&reader(2000))).into_iter().next().unwrap();
    let mut poller = Poller::default();
    poller.set_shards([shard.clone()]);
    let mut attempts = BTreeSet::new();
    for tick in 0..200 {
        let now = Millis(tick * 20);
        attempts.extend(poller.due_queries(now).into_iter().map(|q| q.attempt));
    }
    assert!(attempts.len() > 1, "{attempts:?}");
    let mut poller = Poller::default();
    poller.set_shards([shard.clone()]);
    let mut asked = 0;
    for tick in 0..200 {
        let now = Millis(tick * 20);
        for question in poller.due_queries(now) {
            assert_eq!(question.attempt, 0);
            asked += 1;
            poller.apply_answer(now, &shard, Answer::Unchanged);
        }
    }
    assert!(asked <= 9, "{asked} in four seconds");
}

/// Guards against so many readers of a long list that they keep each other from reading it:
/// routers that do not hold the list never read it, however long there is no update.
#[test]
fn routers_leave_a_long_list_to_control_vms() {
    let mut router = Registry::default();
    let reads =
        |registry: &Registry, routers| registry.read_delay_ms(Reader::Router(routers), 500, 7);
    assert_eq!(reads(&router, None), None, "there was no update yet");
    assert_eq!(reads(&router, Some(1000)), None);
    router.apply_census(Millis(0), reader(2000).census().unwrap().clone());
    assert_eq!(reads(&router, Some(1000)), None);
    let mut whole = Registry::default();
    let endpoints = list(BROADCAST_ENTRIES_MAX / DATA_CENTRES);
    whole.apply_listing(Millis(0), Listing { id: 3, endpoints });
    assert!(reads(&whole, Some(6)).is_some());
    assert_eq!(
        reads(&whole, None),
        None,
        "the number of routers is not known yet"
    );
}

/// Guards against a rate of calls to the platform that grows with the length of its list.
#[rstest]
#[case(2000)]
#[case(4000)]
fn the_leader_reads_a_long_list_less_often(#[case] each: usize) {
    const PAGE_ENTRIES: u64 = 200;
    let registry = reader(each);
    let every_ms = registry.read_delay_ms(Reader::Leader, 500, 7).unwrap();
    let pages = (each * DATA_CENTRES) as u64 / PAGE_ENTRIES;
    assert!(pages * 1000 / every_ms <= 50, "{every_ms}");
    // A follower waits for longer than a reading may take.
    let follower = Reader::Control {
        follows_leader: true,
    };
    assert!(registry.read_delay_ms(follower, 500, 7).unwrap() >= 5 * every_ms);
}

/// Guards against discarding a reading of many pages because one page failed.
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
    // Endpoints that incomplete readings lack are kept, however often that happens.
    for n in 0..5 {
        registry.apply_partial_reading(Millis(1000 + n * 500), list(200)[..10].to_vec(), 3 + n);
    }
    assert_eq!(registry.listing().endpoints.len(), 1000);
}

/// Guards against forgetting which endpoints drain during a release of a large fleet: a reader
/// with older pages would bring them back.
#[test]
fn a_release_of_a_large_fleet_is_remembered() {
    let mut registry = reader(2000);
    let mut leaving = list(2000);
    leaving.iter_mut().for_each(|l| l.leaving = true);
    registry.apply_reading(Millis(1000), leaving, 2);
    registry.apply_reading(Millis(2000), list(2000), 3);
    assert!(registry.listing().endpoints.iter().all(|l| l.leaving));
}

/// Guards against a router that keeps every endpoint that it was ever granted, and against
/// the use of endpoints that may have been removed since.
#[test]
fn a_router_remembers_a_bounded_number_of_endpoints_for_a_while() {
    let mut recent = Recent::default();
    for (n, entry) in (0..).zip(list(400)) {
        recent.insert(Millis(n), entry.id(), entry.endpoint);
    }
    assert_eq!(recent.usable(Millis(2000)).count(), RECENT_MAX);
    assert_eq!(recent.usable(Millis(2000 + RECENT_MS)).count(), 0);
    let last = list(400).pop().unwrap();
    assert_eq!(recent.get(last.id()), Some(&last.endpoint));
    assert_eq!(recent.get(EndpointId(7)), None);
}
