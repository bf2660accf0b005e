//! Orders to evacuate data centres, applied to the replicated state.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use state::clock::Stamp;
use state::evacuation::Order;
use state::id::{Name, Version};
use state::record::{Answer, Record};
use state::store::Store;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// Applies an order that was received at version `base`.
fn order(store: &mut Store, data_centre: &str, is_evacuated: bool, base: u64) -> Answer {
    let record = Record::Evacuation {
        at: Stamp::default(),
        order: Order {
            data_centre: name(data_centre),
            is_evacuated,
            base: Version(base),
        },
    };
    store.apply(&record).0
}

fn evacuated(store: &Store) -> Vec<&str> {
    store.view.evacuated().map(Name::as_str).collect()
}

/// Guards against an order that has another effect when its operator sends it again.
#[test]
fn a_repeated_order_changes_nothing() {
    let mut store = Store::default();
    assert_eq!(
        order(&mut store, "dc-1", true, 0),
        Answer::Accepted(Version(1))
    );
    assert_eq!(
        order(&mut store, "dc-1", true, 0),
        Answer::Accepted(Version(1))
    );
    assert_eq!(
        order(&mut store, "dc-2", true, 1),
        Answer::Accepted(Version(2))
    );
    assert_eq!(evacuated(&store), ["dc-1", "dc-2"]);
    assert_eq!(
        order(&mut store, "dc-1", false, 2),
        Answer::Accepted(Version(3))
    );
    assert_eq!(
        order(&mut store, "dc-1", false, 2),
        Answer::Accepted(Version(3))
    );
    assert_eq!(evacuated(&store), ["dc-2"]);
}

/// Guards against a delayed order that undoes a later one.
#[test]
fn refuses_an_order_after_a_later_one() {
    let mut store = Store::default();
    order(&mut store, "dc-1", true, 0);
    order(&mut store, "dc-1", false, 1);
    assert_eq!(
        order(&mut store, "dc-1", true, 1),
        Answer::Conflict(Version(2))
    );
    assert!(evacuated(&store).is_empty());
    assert_eq!(
        order(&mut store, "dc-1", true, 2),
        Answer::Accepted(Version(3))
    );
    assert_eq!(
        order(&mut store, "dc-1", false, 2),
        Answer::Conflict(Version(3))
    );
    assert_eq!(evacuated(&store), ["dc-1"]);
}

/// Guards against a record of an evacuation that was ended without having begun.
#[test]
fn ending_an_evacuation_that_never_began_changes_nothing() {
    let mut store = Store::default();
    assert_eq!(
        order(&mut store, "dc-1", false, 0),
        Answer::Accepted(Version(0))
    );
    assert!(store.view.evacuations.is_empty());
}
