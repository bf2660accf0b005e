//! Registry of the platform's list of endpoints: when a process reads the list, and how
//! readings and updates are merged.

mod endpoints;

use coordination::listing::{router_read_delay_ms, Registry, MISSING_READINGS_MAX};
use state::clock::Millis;
use state::listing::{Entry, Listing};

/// An entry of the list.
fn entry(name: &str, leaving: bool) -> Entry {
    endpoints::entry(name, None, leaving)
}

/// Names of the endpoints, with a `!` after those that drain.
fn names(registry: &Registry) -> Vec<String> {
    let all = registry.listing().endpoints.iter();
    all.map(|l| format!("{}{}", l.endpoint.name, if l.leaving { "!" } else { "" }))
        .collect()
}

#[test]
fn keeps_an_endpoint_that_one_reading_lacks() {
    // Symptom: a live endpoint gets no requests, and its cached prompts are lost.
    // Sequence: the list changes between the requests for two pages, and one reading lacks
    // the endpoint.
    // Cause: an endpoint is removed after a single reading without it.
    let mut registry = Registry::default();
    assert!(registry.apply_reading(Millis(0), vec![entry("a", false), entry("b", false)], 1));
    assert!(!registry.apply_reading(Millis(500), vec![entry("a", false)], 2));
    assert_eq!(names(&registry), ["a", "b"]);
    assert!(!registry.apply_reading(Millis(1000), vec![entry("a", false), entry("b", false)], 3));
    for n in 1..=u64::from(MISSING_READINGS_MAX) {
        registry.apply_reading(Millis(1000 + 500 * n), vec![entry("a", false)], 3 + n);
    }
    assert_eq!(names(&registry), ["a"]);
}

#[test]
fn an_endpoint_that_drains_never_returns_to_service() {
    // Symptom: a draining endpoint gets new requests.
    // Sequence: one VM reads that the endpoint drains; another one with older pages takes
    // over and reports that it does not.
    // Cause: the last reading replaces what was known before.
    let mut registry = Registry::default();
    registry.apply_reading(Millis(0), vec![entry("a", true), entry("b", false)], 1);
    let older = Listing {
        id: 7,
        endpoints: vec![entry("a", false), entry("b", false)],
    };
    registry.apply_listing(Millis(100), older);
    assert_eq!(names(&registry), ["a!", "b"]);
}

#[test]
fn removes_a_draining_endpoint_at_the_first_reading_without_it() {
    let mut registry = Registry::default();
    registry.apply_reading(Millis(0), vec![entry("a", true), entry("b", false)], 1);
    assert!(registry.apply_reading(Millis(500), vec![entry("b", false)], 2));
    assert_eq!(names(&registry), ["b"]);
}

/// Guards against a list that counts as the latest although only its first pages could be read.
#[test]
fn a_partial_reading_leaves_the_list_as_old_as_it_was() {
    let mut registry = Registry::default();
    registry.apply_reading(Millis(0), vec![entry("a", false), entry("b", false)], 1);
    assert!(!registry.apply_partial_reading(Millis(4000), vec![entry("a", false)], 2));
    assert_eq!(registry.age_ms(Millis(4000)), Some(4000));
    assert!(!registry.is_recent(Millis(4000), 500));
    // The platform is not asked more often for that.
    assert!(!registry.is_due(Millis(4000), 500));
    assert!(registry.is_reachable(Millis(4000), 500));
    assert!(registry.apply_partial_reading(Millis(4500), vec![entry("a", true)], 3));
    assert_eq!(names(&registry), ["a!", "b"]);
    assert_eq!(registry.age_ms(Millis(4500)), Some(4500));
    assert!(registry.apply_reading(Millis(5000), vec![entry("a", false), entry("c", false)], 4));
    assert_eq!(names(&registry), ["a!", "b", "c"]);
    assert_eq!(registry.age_ms(Millis(5000)), Some(0));
}

/// Guards against an endpoint that is removed after one reading without it, and against a list that
/// counts as read again, since entries of that reading were held back and are added later.
#[test]
fn adds_entries_to_the_last_reading() {
    let mut registry = Registry::default();
    registry.apply_reading(Millis(0), vec![entry("a", false), entry("b", false)], 1);
    registry.apply_reading(Millis(500), vec![entry("b", false)], 2);
    assert!(registry.add_to_reading(Millis(600), vec![entry("c", false)], 3));
    assert_eq!(names(&registry), ["a", "b", "c"]);
    assert_eq!(registry.age_ms(Millis(600)), Some(100));
    assert!(registry.is_due(Millis(1000), 500));
    registry.apply_reading(Millis(1000), vec![entry("b", false)], 4);
    assert_eq!(names(&registry), ["b", "c"]);
}

#[test]
fn another_process_reads_when_the_reader_falls_silent() {
    // Symptom: routers receive no updates of the endpoints.
    // Sequence: the VM that reads the list for all others is lost.
    // Cause: the reader is a fixed VM, which nothing replaces.
    let mut leader = Registry::default();
    let mut other = Registry::default();
    assert!(leader.is_due(Millis(500), 500));
    leader.apply_reading(Millis(500), vec![entry("a", false)], 1);
    other.apply_listing(Millis(505), (**leader.listing()).clone());
    assert!(!other.is_due(Millis(1500), 1100));
    assert!(other.confirm(Millis(1005), 1));
    assert!(!other.confirm(Millis(1010), 99));
    assert!(other.is_due(Millis(2200), 1100));
}

#[test]
fn routers_spread_their_readings_however_many_there_are() {
    // Symptom: the platform's list is requested 25 times a second instead of twice.
    // Sequence: the control VMs fall silent; each router reads after a random delay, unless
    // it receives an update, which takes 100 ms.
    // Cause: the delays of 291 routers were spread over half a second.
    let readers = |routers: u32| {
        let incarnations = (0..u64::from(routers)).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let delays =
            incarnations.map(|incarnation| router_read_delay_ms(500, routers, incarnation));
        let mut delays: Vec<u64> = delays.collect();
        delays.sort_unstable();
        let first = delays[0];
        (first, delays.iter().filter(|at| **at < first + 100).count())
    };
    let (first, at_once) = readers(291);
    assert!(
        (2000..2300).contains(&first) && at_once < 20,
        "{first} {at_once}"
    );
    // Few routers must read soon enough for a drain to be known in time.
    let (first, _) = readers(6);
    assert!(first <= 2500, "{first}");
}

/// Guards against sending the whole list to all processes whenever one endpoint changes, and
/// against applying a change to another list than the one it is based on.
#[test]
fn follows_a_list_by_its_changes() {
    let all = |leaving: &[bool]| -> Vec<Entry> {
        let each = leaving.iter().enumerate();
        each.map(|(n, leaving)| entry(&format!("e-{n}"), *leaving))
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
    // The change before was lost: the process has to request the whole list.
    assert_eq!(other.apply_change(Millis(1005), &change), None);
    assert!(other.apply_listing(Millis(1010), reader.export(Millis(1005))));
    assert_eq!(names(&other), names(&reader));
    assert_eq!(
        other.apply_change(Millis(1015), &change),
        Some(false),
        "the change is known already"
    );
    reader.apply_reading(Millis(1500), all(&[true; 299]), 9);
    assert_eq!(
        other.apply_change(Millis(1505), &reader.export_change(Millis(1500))),
        Some(true)
    );
    assert_eq!(names(&other), names(&reader));
}

/// Guards against a change without the endpoints of which only the cold time is new.
#[test]
fn a_change_includes_endpoints_that_have_turned_cold() {
    let mut reader = Registry::default();
    let mut other = Registry::default();
    let cold = |cold_ms| Entry {
        cold_ms,
        ..entry("a", false)
    };
    reader.apply_reading(Millis(0), vec![cold(0), entry("b", false)], 1);
    other.apply_change(Millis(0), &reader.export_change(Millis(0)));
    assert!(reader.apply_reading(Millis(500), vec![cold(3000), entry("b", false)], 2));
    let change = reader.export_change(Millis(700));
    assert_eq!(change.set.len(), 1);
    assert_eq!(other.apply_change(Millis(700), &change), Some(true));
    assert_eq!(other.warm_at().values().next(), Some(&Millis(3500)));
}
