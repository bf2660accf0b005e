//! Fairness of the whole fleet in simulation, compared with naive schedulers.

mod fleet;

use fleet::{Fleet, Policy, Setup};
use rstest::rstest;

/// Upper bound on the gap in service between two backlogged customers that share
/// `slots` slots, in units of the largest request. See docs/design/fairness.md.
fn max_gap(slots: u32) -> f64 {
    f64::from(slots) + 1.0
}

/// Seeds of the simulations: 1 to 5, or the range of the environment variable
/// `FAIR_SEEDS=from..to`, which excludes `to`.
fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("FAIR_SEEDS").unwrap_or_default();
    let bounds = text
        .split_once("..")
        .and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
    bounds.map_or(1..6, |(from, to)| from..to)
}

#[rstest]
#[case::ten_endpoints(Setup::TEN_ENDPOINTS)]
#[case::twenty_endpoints(Setup::TWENTY_ENDPOINTS)]
fn can_share_about_as_well_as_a_global_queue(#[case] setup: Setup) {
    // Symptom: of two backlogged customers, one receives ever more service than the
    // other.
    // Sequence: customers are spread unevenly over routers; costs are known only at
    // the end of a request; hints are wrong by a factor of up to four.
    // Cause: each router shares slots among its own requests only.
    for seed in seeds() {
        let ours = Fleet::new(setup, Policy::Scheduler, seed).run();
        let global_queue = Fleet::new(setup, Policy::GlobalQueue, seed).run();
        let round_robin = Fleet::new(setup, Policy::RoundRobin, seed).run();
        println!(
            "seed {seed}: ours {ours}\n        global queue {global_queue}\n        \
             round robin {round_robin}"
        );
        assert!(
            ours.gap <= max_gap(setup.slots()),
            "the gap exceeds its upper bound: {ours}"
        );
        assert!(
            ours.gap * 3.0 <= round_robin.gap,
            "{ours} against {round_robin}"
        );
        assert!(
            ours.utilisation >= 0.98 * global_queue.utilisation,
            "{ours} against {global_queue}"
        );
    }
}

#[test]
fn can_share_as_evenly_with_340_routers_as_with_8() {
    for seed in seeds() {
        let with_8 = Fleet::new(
            Setup {
                routers: 8,
                ..Setup::TWENTY_ENDPOINTS
            },
            Policy::Scheduler,
            seed,
        )
        .run();
        let with_340 = Fleet::new(
            Setup {
                routers: 340,
                ..Setup::TWENTY_ENDPOINTS
            },
            Policy::Scheduler,
            seed,
        )
        .run();
        println!("seed {seed}: 8 routers {with_8}\n        340 routers {with_340}");
        assert!(with_340.gap <= max_gap(Setup::TWENTY_ENDPOINTS.slots()));
        assert!(
            with_340.gap <= with_8.gap + 2.0,
            "{with_8} against {with_340}"
        );
    }
}

#[test]
fn can_bound_the_gap_with_270_customers() {
    for seed in seeds() {
        let setup = Setup {
            customers: 270,
            backlogged: 27,
            ..Setup::TWENTY_ENDPOINTS
        };
        let ours = Fleet::new(setup, Policy::Scheduler, seed).run();
        println!("seed {seed}: {ours}");
        assert!(ours.gap <= max_gap(setup.slots()));
    }
}

#[test]
fn can_keep_shares_through_crashes_of_routers_and_schedulers() {
    // Symptom: after a restart, a customer is served as if it had received no service
    // before.
    // Sequence: routers restart without state and schedulers crash, in turn, while
    // customers are backlogged.
    // Cause: service was counted only in the process that was lost.
    for seed in seeds() {
        let setup = Setup {
            crashes: true,
            ..Setup::TWENTY_ENDPOINTS
        };
        let ours = Fleet::new(setup, Policy::Scheduler, seed).run();
        let round_robin = Fleet::new(setup, Policy::RoundRobin, seed).run();
        println!("seed {seed}: {ours}\n        round robin {round_robin}");
        assert!(ours.gap <= 2.0 * max_gap(setup.slots()), "{ours}");
        assert!(
            ours.gap * 3.0 <= round_robin.gap,
            "{ours} against {round_robin}"
        );
    }
}

#[test]
fn can_serve_an_occasional_customer_beside_a_flood() {
    // Symptom: a customer with few requests waits until the queue of another customer
    // is served.
    // Sequence: one customer floods all its routers; others send a request now and then.
    // Cause: requests of all customers share one queue in order of arrival.
    for seed in seeds() {
        let setup = Setup {
            flood: true,
            ..Setup::TEN_ENDPOINTS
        };
        let ours = Fleet::new(setup, Policy::Scheduler, seed).run();
        println!("seed {seed}: {ours}");
        // The next free slot goes to the occasional customer: it waits for about one
        // request of the largest cost and a round trip.
        assert!(
            ours.occasional_wait_max_ms <= 2 * setup.cost_max_ms(),
            "{ours}"
        );
    }
}

#[rstest]
#[case::least_loaded(coordination::slot::Strategy::LeastLoaded)]
#[case::round_robin(coordination::slot::Strategy::RoundRobin)]
#[case::random(coordination::slot::Strategy::Random)]
fn can_measure_endpoint_strategies(#[case] strategy: coordination::slot::Strategy) {
    let setup = Setup {
        strategy,
        load: 0.6,
        ..Setup::TWENTY_ENDPOINTS
    };
    for seed in seeds() {
        let run = Fleet::new(setup, Policy::Scheduler, seed).run();
        println!("{strategy:?} seed {seed}: {run}");
        assert!(run.served > 0);
    }
}
