//! Tests of the customers behind connections that are closed unread.

use coordination::admission::sources::{Sources, Summary, ADDRESSES_MAX};
use state::clock::Millis;
use state::id::CustomerId;
use std::net::{IpAddr, Ipv4Addr};

fn address(number: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + number))
}

fn unread(summaries: &[Summary], customer: Option<u32>) -> Option<(usize, u64, u64)> {
    let customer = customer.map(CustomerId);
    let found = summaries.iter().find(|s| s.customer == customer)?;
    Some((found.addresses, found.admitted, found.unread))
}

/// Failure: nobody can tell whose connections were closed unread.
#[test]
fn can_attribute_unread_connections_to_customers_by_their_addresses() {
    let mut sources = Sources::default();
    for number in [1, 2, 3] {
        sources.admit(Millis(0), address(number));
    }
    sources.identify(Millis(1), address(1), CustomerId(7));
    sources.identify(Millis(1), address(2), CustomerId(7));
    sources.take_summaries(Millis(1000));
    for _ in 0..10 {
        sources.turn_away(Millis(1100), address(1));
    }
    sources.turn_away(Millis(1100), address(2));
    sources.turn_away(Millis(1100), address(3));
    let summaries = sources.take_summaries(Millis(2000));
    assert_eq!(summaries[0].customer, Some(CustomerId(7)));
    assert_eq!(unread(&summaries, Some(7)), Some((2, 0, 11)));
    assert_eq!(unread(&summaries, None), Some((1, 0, 1)));
    assert_eq!(sources.take_summaries(Millis(3000)), []);
}

/// Failure: callers with ever new addresses fill the memory of a router.
#[test]
fn tracks_a_bounded_number_of_addresses() {
    let mut sources = Sources::default();
    let number = u32::try_from(ADDRESSES_MAX).unwrap() + 100;
    for number in 0..number {
        sources.turn_away(Millis(0), address(number));
        sources.identify(Millis(0), address(number), CustomerId(1));
    }
    let summaries = sources.take_summaries(Millis(1000));
    let known = u64::from(number) - 100;
    assert_eq!(unread(&summaries, Some(1)), Some((ADDRESSES_MAX, 0, known)));
    assert_eq!(unread(&summaries, None), Some((1, 0, 100)));
    // Addresses that are not seen any more make room for others.
    sources.take_summaries(Millis(60_000));
    sources.admit(Millis(60_000), address(number));
    sources.identify(Millis(60_000), address(number), CustomerId(2));
    let summaries = sources.take_summaries(Millis(61_000));
    assert_eq!(unread(&summaries, Some(2)), Some((1, 1, 0)));
}
