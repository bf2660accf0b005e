//! Hand-over between the routers of a data centre under the load of one large customer, without a
//! network.

use coordination::handover::{must_decline, Decision, Handover, Origin, NOMINAL_PER_S};
use coordination::messages::{Occupancy, Peer};
use coordination::occupancy::Table;
use rstest::rstest;
use state::clock::Millis;
use state::id::{Name, Version};
use std::net::SocketAddr;

/// Number of routers in the data centre.
const ROUTERS: usize = 15;
/// Processor time of a router per millisecond, in microseconds: an eighth of a core.
const PROCESSOR_US_PER_MS: u64 = 125;
/// Processor time to serve a request, in microseconds.
const SERVE_US: u64 = 400;
/// Processor time to hand a request over, in microseconds: half of that.
const HAND_OVER_US: u64 = 200;
/// Processor time to refuse a request, in microseconds.
const REFUSE_US: u64 = 50;
/// Lateness at which a router refuses requests, in milliseconds.
const LATE_MS: u64 = 40;
/// Version of the configuration in force.
const VERSION: Version = Version(7);
/// Time for which an answer takes, in milliseconds.
const ANSWER_MS: u64 = 600;

fn name(index: usize) -> Name {
    Name::try_from(format!("r{index:02}").as_str()).unwrap_or_else(|e| unreachable!("{e}"))
}

fn address(index: usize) -> SocketAddr {
    // CAST: there are fewer than 65,536 routers.
    SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16))
}

/// A router: its decision, and the processor time that its work still needs.
struct Router {
    handover: Handover,
    backlog_us: u64,
    in_progress: usize,
    reported: Occupancy,
}

impl Router {
    fn late_ms(&self) -> u64 {
        self.backlog_us / PROCESSOR_US_PER_MS
    }
}

/// What has become of requests.
#[derive(Debug, Default)]
struct Totals {
    served: u64,
    refused: u64,
}

/// The routers of a data centre, with the table of their scheduler's VM.
struct Model {
    now: Millis,
    routers: Vec<Router>,
    table: Table,
    /// Ends of answers: time, the router that serves, and the one that handed the request over.
    ends: Vec<(Millis, usize, Option<usize>)>,
    totals: Totals,
    /// Requests that each router has served.
    served: Vec<u64>,
    latest_ms: u64,
    is_enabled: bool,
}

impl Model {
    fn new(is_enabled: bool) -> Self {
        let now = Millis(10_000);
        let mut table = Table::default();
        let data_centre = Name::try_from("dc").unwrap_or_else(|e| unreachable!("{e}"));
        for index in 0..ROUTERS {
            table.open(&name(index), data_centre.clone(), address(index));
        }
        let router = || Router {
            handover: Handover::new(now),
            backlog_us: 0,
            in_progress: 0,
            reported: Occupancy::default(),
        };
        Model {
            now,
            routers: (0..ROUTERS).map(|_| router()).collect(),
            table,
            ends: Vec::new(),
            totals: Totals::default(),
            served: vec![0; ROUTERS],
            latest_ms: 0,
            is_enabled,
        }
    }

    /// Runs for a time; `per_s` gives the requests per second of each router's callers.
    fn run<F>(&mut self, ms: u64, per_s: F)
    where
        F: Fn(usize) -> u64,
    {
        for _ in 0..ms {
            self.now = self.now.after(1);
            for index in 0..ROUTERS {
                let rate = per_s(index);
                let arrived = (self.now.0 * rate / 1000) - ((self.now.0 - 1) * rate / 1000);
                for _ in 0..arrived {
                    self.arrive(index);
                }
            }
            self.step();
        }
    }

    /// One millisecond of work, probes and messages.
    fn step(&mut self) {
        let now = self.now;
        let (ended, rest) = self.ends.drain(..).partition(|(at, ..)| *at <= now);
        self.ends = rest;
        let ended: Vec<(Millis, usize, Option<usize>)> = ended;
        for (_, server, sender) in ended {
            self.routers[server].in_progress -= 1;
            if let Some(sender) = sender {
                self.routers[sender].handover.end(&name(server));
            }
        }
        for (index, router) in self.routers.iter_mut().enumerate() {
            router.backlog_us = router.backlog_us.saturating_sub(PROCESSOR_US_PER_MS);
            let late_ms = router.late_ms();
            self.latest_ms = self.latest_ms.max(late_ms);
            if now.0.is_multiple_of(20) {
                router.handover.probe(now, late_ms);
                let occupancy = (router.handover).occupancy(now, router.in_progress, true, VERSION);
                // The first offset spreads the reports over the second.
                let is_due = (now.0 / 20 + index as u64).is_multiple_of(50);
                if is_due || occupancy.is_pressed != router.reported.is_pressed {
                    router.reported = occupancy;
                    self.table.report(now, &name(index), occupancy);
                }
            }
        }
        if now.0 % 20 == 10 {
            for (vm, peers) in self.table.take_answers(now) {
                let index = (0..ROUTERS).find(|index| name(*index) == vm);
                if let Some(index) = index {
                    self.routers[index].handover.set_peers(now, &peers);
                }
            }
        }
    }

    /// A request of a caller arrives at a router.
    fn arrive(&mut self, index: usize) {
        let now = self.now;
        let router = &mut self.routers[index];
        if router.late_ms() >= LATE_MS {
            router.backlog_us += REFUSE_US;
            self.totals.refused += 1;
            return;
        }
        let decision = match self.is_enabled {
            true => (router.handover).decide(now, router.in_progress, Origin::Caller(VERSION)),
            false => Decision::Serve,
        };
        match decision {
            Decision::Serve => self.serve(index, None),
            Decision::Refuse => unreachable!("a caller's request"),
            Decision::HandOver(vm, _) => {
                router.backlog_us += HAND_OVER_US;
                let server = (0..ROUTERS).find(|server| name(*server) == vm);
                self.hand_over(index, server.unwrap_or_default());
            }
        }
    }

    fn hand_over(&mut self, sender: usize, server: usize) {
        let now = self.now;
        let peer = &mut self.routers[server];
        let is_late = peer.late_ms() >= LATE_MS;
        let decision = (peer.handover).decide(now, peer.in_progress, Origin::Router);
        let has_room = !is_late && decision == Decision::Serve;
        let handover = &mut self.routers[sender].handover;
        handover.answer(now, &name(server), has_room);
        if has_room {
            self.serve(server, Some(sender));
        } else {
            self.routers[sender].handover.end(&name(server));
            self.routers[server].backlog_us += REFUSE_US;
            self.totals.refused += 1;
        }
    }

    fn serve(&mut self, index: usize, sender: Option<usize>) {
        self.routers[index].backlog_us += SERVE_US;
        self.routers[index].in_progress += 1;
        self.served[index] += 1;
        self.totals.served += 1;
        self.ends.push((self.now.after(ANSWER_MS), index, sender));
    }

    /// Share of requests that were refused since the last call, in thousandths.
    fn take_refused_permille(&mut self) -> u64 {
        let Totals { served, refused } = std::mem::take(&mut self.totals);
        refused * 1000 / (served + refused).max(1)
    }
}

#[rstest]
#[case::one_router(&[0])]
#[case::two_routers(&[0, 7])]
fn can_serve_a_flood_at_one_router_by_its_neighbours(#[case] flooded: &[usize]) {
    // Failure: one customer sends 500 requests a second, all to one router of 15, which refuses
    // most of them while the others are idle.
    let per_s = |index| if flooded.contains(&index) { 500 } else { 10 };
    let mut alone = Model::new(false);
    alone.run(1000, per_s);
    alone.take_refused_permille();
    alone.run(10_000, per_s);
    let refused_alone = alone.take_refused_permille();
    assert!(refused_alone >= 200, "{refused_alone} of 1,000 refused");

    let mut model = Model::new(true);
    model.run(2000, |_| 10);
    model.take_refused_permille();
    model.run(1000, per_s);
    let refused_first = model.take_refused_permille();
    model.run(10_000, per_s);
    let refused = model.take_refused_permille();
    assert!(
        refused_first < 100 && refused < 20,
        "{refused_first} of 1,000 refused in the first second, {refused} later, {:?}",
        model.served
    );
    assert!(model.latest_ms < 2 * LATE_MS, "{} ms late", model.latest_ms);
}

#[test]
fn can_bound_the_lateness_of_the_neighbours() {
    // Failure: two flooded routers overload the neighbour with the most room together.
    let mut model = Model::new(true);
    let per_s = |index| if index < 2 { 500 } else { 40 };
    model.run(10_000, per_s);
    for (index, served) in model.served.iter().enumerate().skip(2) {
        let per_s = served / 10;
        assert!(per_s <= NOMINAL_PER_S * 5 / 4, "router {index}: {per_s}/s");
    }
    assert!(model.latest_ms < 2 * LATE_MS, "{} ms late", model.latest_ms);
}

#[test]
fn hands_nothing_over_without_pressure() {
    // Failure: requests take a second hop although their router has room.
    let mut model = Model::new(true);
    model.run(5000, |_| 100);
    assert_eq!(model.take_refused_permille(), 0);
    assert!(model.served.iter().all(|n| (499..=501).contains(n)));
}

/// A peer with a figure.
fn peer(index: usize, free_permille: u16) -> Peer {
    Peer {
        vm: name(index),
        callers: address(index),
        free_permille,
        age_ms: 0,
        config_version: VERSION,
    }
}

/// A decision that hands everything over, with the given peers.
fn pressed(now: Millis, peers: &[Peer]) -> Handover {
    let mut handover = Handover::new(now);
    handover.force(true);
    handover.set_peers(now, peers);
    handover
}

/// The peer that the next request is handed over to.
fn next_peer(handover: &mut Handover, now: Millis) -> Option<Name> {
    next_peer_with(handover, now, VERSION)
}

/// The peer that the next request is handed over to if it was accepted under `version`.
fn next_peer_with(handover: &mut Handover, now: Millis, version: Version) -> Option<Name> {
    match handover.decide(now, 0, Origin::Caller(version)) {
        Decision::HandOver(vm, _) => Some(vm),
        Decision::Serve | Decision::Refuse => None,
    }
}

const NOW: Millis = Millis(10_000);

#[test]
fn uses_a_figure_for_one_second() {
    // Failure: the scheduler's VM is lost, and nobody tells that peers have no room any more.
    let mut handover = pressed(NOW, &[peer(1, 1000)]);
    assert_eq!(next_peer(&mut handover, NOW.after(999)), Some(name(1)));
    assert_eq!(next_peer(&mut handover, NOW.after(1000)), None);
}

#[test]
fn does_not_use_a_peer_that_refused_until_it_reports_anew() {
    // Failure: a pressed peer gets more requests, and refuses each of them.
    let mut handover = pressed(NOW, &[peer(1, 1000)]);
    assert_eq!(next_peer(&mut handover, NOW), Some(name(1)));
    handover.answer(NOW.after(5), &name(1), false);
    assert_eq!(next_peer(&mut handover, NOW.after(10)), None);
    let repeated = Peer {
        age_ms: 200,
        ..peer(1, 1000)
    };
    handover.set_peers(NOW.after(200), &[repeated]);
    assert_eq!(next_peer(&mut handover, NOW.after(210)), None);
    handover.set_peers(NOW.after(400), &[peer(1, 1000)]);
    assert_eq!(next_peer(&mut handover, NOW.after(500)), Some(name(1)));
}

#[test]
fn does_not_use_a_silent_peer() {
    // Failure: a frozen peer takes requests and never answers.
    let mut handover = pressed(NOW, &[peer(1, 1000)]);
    assert_eq!(next_peer(&mut handover, NOW), Some(name(1)));
    let later = NOW.after(1500);
    let old = Peer {
        age_ms: 1500,
        ..peer(1, 1000)
    };
    handover.set_peers(later, &[old]);
    assert!(handover.is_silent(later, &name(1)));
    assert_eq!(next_peer(&mut handover, later), None);
    handover.answer(later, &name(1), true);
    assert_eq!(next_peer(&mut handover, later), Some(name(1)));
}

#[test]
fn does_not_use_a_peer_whose_configuration_is_older() {
    // Failure: a peer that lags behind serves by a rule that callers have seen replaced.
    let old = Peer {
        config_version: Version(6),
        ..peer(1, 1000)
    };
    let mut handover = pressed(NOW, &[old, peer(2, 500)]);
    assert_eq!(next_peer(&mut handover, NOW), Some(name(2)));
    // A request that was accepted before the last change may go to a router without it.
    assert_eq!(
        next_peer_with(&mut handover, NOW, Version(6)),
        Some(name(1))
    );
    // This router has a newer version than all reports show.
    assert_eq!(next_peer_with(&mut handover, NOW, Version(8)), None);
    // The peer reports the new version at once, although its last report is 50 ms old.
    let caught_up = Peer {
        config_version: Version(8),
        ..peer(2, 500)
    };
    let later = NOW.after(50);
    handover.set_peers(later, &[caught_up]);
    assert_eq!(
        next_peer_with(&mut handover, later, Version(8)),
        Some(name(2))
    );
}

#[test]
fn does_not_use_a_peer_that_declined_until_it_reports_anew() {
    // Failure: a peer that has restarted without its configuration is sent one request after the
    // other, and each of them takes two hops in vain.
    let mut handover = pressed(NOW, &[peer(1, 1000)]);
    assert_eq!(next_peer(&mut handover, NOW), Some(name(1)));
    handover.decline(NOW.after(5), &name(1));
    handover.end(&name(1));
    assert_eq!(next_peer(&mut handover, NOW.after(10)), None);
    let repeated = Peer {
        age_ms: 200,
        ..peer(1, 1000)
    };
    handover.set_peers(NOW.after(200), &[repeated]);
    assert_eq!(next_peer(&mut handover, NOW.after(210)), None);
    let restarted = Peer {
        config_version: Version(0),
        ..peer(1, 1000)
    };
    handover.set_peers(NOW.after(400), &[restarted]);
    assert_eq!(next_peer(&mut handover, NOW.after(500)), None);
    handover.set_peers(NOW.after(600), &[peer(1, 1000)]);
    assert_eq!(next_peer(&mut handover, NOW.after(700)), Some(name(1)));
    let summaries = handover.take_summaries();
    assert_eq!((summaries[0].declined, summaries[0].failed), (1, 0));
}

#[test]
fn declines_requests_that_need_a_newer_configuration() {
    // Failure: a router serves a request of another one by an older configuration.
    assert!(must_decline(Version(0), Version(1)));
    assert!(must_decline(VERSION, Version(u64::MAX)));
    assert!(!must_decline(VERSION, VERSION));
    assert!(!must_decline(VERSION, Version(0)));
}

#[test]
fn names_no_peers_with_an_older_configuration() {
    // Failure: the peers that are named all lag behind, and others that do not are left out.
    let mut table = Table::default();
    let data_centre = Name::try_from("dc").unwrap_or_else(|e| unreachable!("{e}"));
    for index in 0..12 {
        table.open(&name(index), data_centre.clone(), address(index));
        let report = Occupancy {
            is_pressed: index == 0,
            is_open: true,
            free_permille: if index < 10 { 1000 } else { 200 },
            config_version: Version(if (1..10).contains(&index) { 6 } else { 7 }),
            ..Occupancy::default()
        };
        table.report(NOW, &name(index), report);
    }
    let answers = table.take_answers(NOW);
    let found: Vec<&Name> = answers[0].1.iter().map(|p| &p.vm).collect();
    assert_eq!(found, [&name(10), &name(11)]);
}

#[test]
fn bounds_the_requests_at_peers() {
    // Failure: requests at peers take all connections of the router.
    let peers: Vec<Peer> = (1..=8).map(|index| peer(index, u16::MAX)).collect();
    let mut handover = pressed(NOW, &peers);
    let mut counts = [0; 9];
    while let Some(vm) = next_peer(&mut handover, NOW) {
        let index = (1..=8).find(|index| name(*index) == vm);
        counts[index.unwrap_or_default()] += 1;
    }
    assert_eq!(handover.at_peers(), 256);
    assert!(counts[1..].iter().all(|n| *n == 32), "{counts:?}");
}

#[test]
fn does_not_pass_a_request_on_twice() {
    // Failure: two flooded routers pass a request to and fro.
    let mut handover = pressed(NOW, &[peer(1, 1000)]);
    assert_eq!(handover.decide(NOW, 0, Origin::Router), Decision::Serve);
    let mut decisions = (0..500).map(|_| handover.decide(NOW, 0, Origin::Router));
    assert!(decisions.any(|decision| decision == Decision::Refuse));
}

#[test]
fn names_open_routers_of_the_same_data_centre() {
    // Failure: a router gets requests that it cannot take, or from far away.
    let mut table = Table::default();
    let data_centre = |text| Name::try_from(text).unwrap_or_else(|e| unreachable!("{e}"));
    let room = |free_permille| Occupancy {
        free_permille,
        is_open: true,
        ..Occupancy::default()
    };
    let pressed = Occupancy {
        is_pressed: true,
        ..room(0)
    };
    let stopping = Occupancy {
        is_open: false,
        ..room(1000)
    };
    let reports = [
        (0, "near", pressed),
        (1, "near", room(300)),
        (2, "near", room(900)),
        (3, "near", stopping),
        (4, "near", pressed),
        (5, "far", room(1000)),
    ];
    for (index, place, report) in reports {
        table.open(&name(index), data_centre(place), address(index));
        table.report(NOW, &name(index), report);
    }
    let answers = table.take_answers(NOW.after(100));
    let askers: Vec<&Name> = answers.iter().map(|(vm, _)| vm).collect();
    assert_eq!(askers, [&name(0), &name(4)]);
    // Two routers are under pressure: each is told of half of the room.
    let found: Vec<(Name, u16, u32)> = (answers[0].1.iter())
        .map(|p| (p.vm.clone(), p.free_permille, p.age_ms))
        .collect();
    assert_eq!(found, [(name(2), 450, 100), (name(1), 150, 100)]);
    assert!(table.take_answers(NOW.after(299)).is_empty());
    assert_eq!(table.take_answers(NOW.after(300)).len(), 2);
    // Reports of a router that is silent for two seconds are not used.
    assert!(table.take_answers(NOW.after(2000)).is_empty());
    table.close(&name(0));
    assert_eq!(table.len(), 5);
}
