//! The platform's list of endpoints: whose turn it is to read it, and what a
//! reading means.

mod endpoints;

use coordination::listing::{router_read_delay_ms, Registry, MISSING_READINGS_MAX};
use state::clock::Millis;
use state::listing::{Entry, Listing};

fn listed(name: &str, leaving: bool) -> Entry {
    endpoints::listed(name, None, leaving)
}

fn names(registry: &Registry) -> Vec<String> {
    let all = registry.listing().endpoints.iter();
    all.map(|l| format!("{}{}", l.endpoint.name, if l.leaving { "!" } else { "" }))
        .collect()
}

#[test]
fn can_keep_an_endpoint_that_one_reading_lacks() {
    // Symptom: an endpoint that lives gets no work, and its kept parts are lost.
    // Sequence: the list changes between two of its pages, and one reading lacks it.
    // Cause: a reading that is taken for the whole truth.
    let mut registry = Registry::default();
    assert!(registry.apply_reading(Millis(0), vec![listed("a", false), listed("b", false)], 1));
    assert!(!registry.apply_reading(Millis(500), vec![listed("a", false)], 2));
    assert_eq!(names(&registry), ["a", "b"]);
    assert!(!registry.apply_reading(
        Millis(1000),
        vec![listed("a", false), listed("b", false)],
        3
    ));
    for n in 1..=u64::from(MISSING_READINGS_MAX) {
        registry.apply_reading(Millis(1000 + 500 * n), vec![listed("a", false)], 3 + n);
    }
    assert_eq!(names(&registry), ["a"]);
}

#[test]
fn can_never_take_back_that_an_endpoint_leaves() {
    // Symptom: an endpoint that drains gets new work.
    // Sequence: one VM reads that it leaves; another, whose pages are older, takes
    // over and says that it does not.
    // Cause: the last reading wins, whatever was known before.
    let mut registry = Registry::default();
    registry.apply_reading(Millis(0), vec![listed("a", true), listed("b", false)], 1);
    let older = Listing {
        id: 7,
        endpoints: vec![listed("a", false), listed("b", false)],
    };
    registry.apply_listing(Millis(100), older);
    assert_eq!(names(&registry), ["a!", "b"]);
}

#[test]
fn can_drop_a_leaving_endpoint_at_the_first_reading_without_it() {
    let mut registry = Registry::default();
    registry.apply_reading(Millis(0), vec![listed("a", true), listed("b", false)], 1);
    assert!(registry.apply_reading(Millis(500), vec![listed("b", false)], 2));
    assert_eq!(names(&registry), ["b"]);
}

#[test]
fn can_take_over_reading_when_the_reader_falls_silent() {
    // Symptom: no router hears of endpoints that come and go.
    // Sequence: the VM that reads the list for all is lost.
    // Cause: a reader that somebody has to appoint.
    let mut leader = Registry::default();
    let mut other = Registry::default();
    assert!(leader.is_due(Millis(500), 500));
    leader.apply_reading(Millis(500), vec![listed("a", false)], 1);
    other.apply_listing(Millis(505), (**leader.listing()).clone());
    assert!(!other.is_due(Millis(1500), 1100));
    assert!(other.confirm(Millis(1005), 1));
    assert!(!other.confirm(Millis(1010), 99));
    assert!(other.is_due(Millis(2200), 1100));
}

#[test]
fn routers_read_the_list_in_turn_however_many_there_are() {
    // Symptom: the platform's list is asked for 25 times a second instead of twice.
    // Sequence: the control VMs fall silent; each router waits for its turn, and hears of
    // others' readings 100 ms after they are due.
    // Cause: the turns of 291 routers lay within half a second.
    let readers = |routers: u32| {
        let lives = (0..u64::from(routers)).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let turns = lives.map(|life| router_read_delay_ms(500, routers, life));
        let mut turns: Vec<u64> = turns.collect();
        turns.sort_unstable();
        let first = turns[0];
        (first, turns.iter().filter(|at| **at < first + 100).count())
    };
    let (first, at_once) = readers(291);
    assert!(
        (2000..2300).contains(&first) && at_once < 20,
        "{first} {at_once}"
    );
    // A few routers still read within what an endpoint's leave may take to be known.
    let (first, _) = readers(6);
    assert!(first <= 2500, "{first}");
}

/// Guards against a list that is sent whole to all processes whenever one endpoint changes,
/// and against changes that a process applies to another list than theirs.
#[test]
fn can_follow_a_list_by_its_changes() {
    let all = |leaving: &[bool]| -> Vec<Entry> {
        let each = leaving.iter().enumerate();
        each.map(|(n, leaving)| listed(&format!("e-{n}"), *leaving))
            .collect()
    };
    let mut reader = Registry::default();
    let mut other = Registry::default();
    reader.apply_reading(Millis(0), all(&[false; 300]), 1);
    assert_eq!(
        other.apply_change(Millis(5), &reader.export_change(Millis(0))),
        Some(true)
    );
    let mut later = vec![false; 300];
    later[7] = true;
    later.truncate(299);
    for n in 0..u64::from(MISSING_READINGS_MAX) {
        reader.apply_reading(Millis(500 * n + 500), all(&later), 2 + n);
    }
    let change = reader.export_change(Millis(1000));
    assert_eq!((change.set.len(), change.gone.len()), (0, 1), "{change:?}");
    // The one between was lost on its way: it has to ask for the whole list.
    assert_eq!(other.apply_change(Millis(1005), &change), None);
    assert!(other.apply_listing(Millis(1010), reader.export(Millis(1005))));
    assert_eq!(names(&other), names(&reader));
    assert_eq!(
        other.apply_change(Millis(1015), &change),
        Some(false),
        "it is known"
    );
    reader.apply_reading(Millis(1500), all(&[true; 299]), 9);
    assert_eq!(
        other.apply_change(Millis(1505), &reader.export_change(Millis(1500))),
        Some(true)
    );
    assert_eq!(names(&other), names(&reader));
}

/// Guards against a change that leaves out that an endpoint has turned cold.
#[test]
fn can_tell_a_change_of_cold_endpoints_alone() {
    let mut reader = Registry::default();
    let mut other = Registry::default();
    let cold = |cold_ms| Entry {
        cold_ms,
        ..listed("a", false)
    };
    reader.apply_reading(Millis(0), vec![cold(0), listed("b", false)], 1);
    other.apply_change(Millis(0), &reader.export_change(Millis(0)));
    assert!(reader.apply_reading(Millis(500), vec![cold(3000), listed("b", false)], 2));
    let change = reader.export_change(Millis(700));
    assert_eq!(change.set.len(), 1);
    assert_eq!(other.apply_change(Millis(700), &change), Some(true));
    assert_eq!(other.warm_at().values().next(), Some(&Millis(3500)));
}
