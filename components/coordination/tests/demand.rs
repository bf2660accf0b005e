//! Tests of what customers ask of a router.

use coordination::admission::demand::{Demand, CUSTOMERS_MAX};
use state::clock::Millis;
use state::id::CustomerId;

const LARGE: CustomerId = CustomerId(1);
const SMALL: CustomerId = CustomerId(2);

/// Failure: nobody can tell whose connections were closed unread.
#[test]
fn can_tell_whose_connections_are_closed() {
    let mut demand = Demand::default();
    demand.ask(Millis(0), SMALL);
    demand.turn_away(Millis(0), Some(SMALL));
    for _ in 0..10 {
        demand.turn_away(Millis(0), Some(LARGE));
    }
    demand.turn_away(Millis(0), None);
    let summaries = demand.take_summaries(Millis(1000));
    let told = summaries.iter().map(|s| (s.customer, s.asked, s.unread));
    let told: Vec<_> = told.collect();
    assert_eq!(
        told,
        [(Some(LARGE), 0, 10), (None, 0, 1), (Some(SMALL), 1, 1)]
    );
    assert_eq!(demand.take_summaries(Millis(2000)), []);
}

/// Failure: a customer that has flooded a router is turned away after its flood, and one that begins
/// a flood is admitted first.
#[test]
fn follows_what_customers_bring() {
    let mut demand = Demand::default();
    for now in 0..1000 {
        demand.turn_away(Millis(now), Some(LARGE));
        if now % 200 == 0 {
            assert!(demand.ask(Millis(now), SMALL) || now == 0);
        }
    }
    assert!(!demand.is_light(Millis(1000), LARGE));
    for now in 1000..3000 {
        demand.ask(Millis(now), SMALL);
        if now % 200 == 0 {
            demand.ask(Millis(now), LARGE);
        }
    }
    assert!(demand.is_light(Millis(3000), LARGE));
    assert!(!demand.is_light(Millis(3000), SMALL));
}

/// Failure: the customers of a large configuration fill the memory of a router.
#[test]
fn tracks_a_bounded_number_of_customers() {
    let mut demand = Demand::default();
    let number = u32::try_from(CUSTOMERS_MAX).unwrap() + 100;
    for number in 0..number {
        demand.turn_away(Millis(0), Some(CustomerId(number)));
    }
    let summaries = demand.take_summaries(Millis(1000));
    assert_eq!(summaries.len(), CUSTOMERS_MAX + 1);
    assert_eq!((summaries[0].customer, summaries[0].unread), (None, 100));
    // Customers that are not seen any more make room for others.
    demand.take_summaries(Millis(60_000));
    demand.ask(Millis(60_000), CustomerId(number));
    let summaries = demand.take_summaries(Millis(61_000));
    assert_eq!(summaries[0].customer, Some(CustomerId(number)));
}
