//! Detection and quarantine of requests that crash endpoints.

use rstest::rstest;
use state::clock::Stamp;
use state::fingerprint::{Fingerprint, Subject};
use state::id::CustomerId;
use state::record::Record;
use state::store::Store;
use state::suspect::{
    downgraded, Completion, Crash, Evidence, Status, Statuses, Successes, Suspects,
    CUSTOMER_SUSPECTS_MAX, QUARANTINE_CRASHES, QUARANTINE_MICROS, SUCCESS_MICROS, SUSPECTS_MAX,
    WATCH_CRASHES,
};
use state::view::View;

fn request(number: u32) -> Fingerprint {
    Fingerprint::of(&Subject {
        customer: "alpha",
        method: "POST",
        host: "",
        path: "/",
        body: &number.to_be_bytes(),
    })
}

fn at_ms(ms: u64) -> Stamp {
    Stamp {
        wall: ms * 1000,
        count: 0,
    }
}

/// A crash with request `number` in progress, sent and broken off at these times.
fn crash(number: u32, sent_ms: u64, ended_ms: u64) -> Crash {
    Crash {
        fingerprint: request(number),
        customer: CustomerId(1),
        sent: at_ms(sent_ms),
        at: at_ms(ended_ms),
    }
}

/// A complete answer to request `number`.
fn completion(number: u32, ms: u64) -> Completion {
    Completion {
        fingerprint: request(number),
        at: at_ms(ms),
    }
}

fn is_quarantined(suspects: &Suspects, number: u32) -> bool {
    let statuses = suspects.statuses(1);
    statuses.get(&request(number)) == Some(&Status::Quarantined)
}

/// Suspects after `times` crashes with request 1 in progress, one second apart.
fn crashed(times: u32) -> Suspects {
    let mut suspects = Suspects::default();
    for n in 0..u64::from(times) {
        suspects.record_crash(&crash(1, n * 1000, n * 1000 + 100));
    }
    suspects
}

/// Guards against a request that crashes more than three endpoints, and against a
/// quarantine after fewer crashes.
#[test]
fn quarantines_a_request_after_three_crashes() {
    assert!(!is_quarantined(&crashed(QUARANTINE_CRASHES - 1), 1));
    assert!(is_quarantined(&crashed(QUARANTINE_CRASHES), 1));
}

/// Guards against the quarantine of a frequent request that is in progress at several
/// endpoints when all of them are lost at once.
#[test]
fn simultaneous_crashes_count_once() {
    let mut suspects = Suspects::default();
    for n in 0..20 {
        suspects.record_crash(&crash(1, n, 500 + n));
    }
    assert!(!is_quarantined(&suspects, 1));
}

/// Guards against counting a crash twice that is reported again to the next leader.
#[test]
fn a_repeated_report_counts_once() {
    let mut suspects = crashed(QUARANTINE_CRASHES - 1);
    let last = u64::from(QUARANTINE_CRASHES - 2) * 1000;
    for _ in 0..10 {
        suspects.record_crash(&crash(1, last, last + 100));
    }
    assert!(!is_quarantined(&suspects, 1));
}

/// Guards against the quarantine of harmless requests that are repeated while many endpoints
/// crash.
#[test]
fn an_answer_between_crashes_clears_a_request() {
    let mut suspects = Suspects::default();
    for n in 0..30 {
        suspects.record_crash(&crash(1, n * 1000, n * 1000 + 100));
        if n % 2 == 1 {
            suspects.record_completion(&completion(1, n * 1000 + 500));
        }
        assert!(!is_quarantined(&suspects, 1), "crash {n}");
    }
}

/// Guards against an answer that clears a request of later crashes.
#[test]
fn an_answer_before_the_last_crash_clears_nothing() {
    let mut suspects = crashed(QUARANTINE_CRASHES);
    let last = u64::from(QUARANTINE_CRASHES - 1) * 1000 + 100;
    suspects.record_completion(&completion(1, last));
    assert!(is_quarantined(&suspects, 1));
    suspects.record_completion(&completion(1, last + 1));
    assert!(suspects.is_empty());
}

/// Guards against a quarantine without end, and against a request that crashes endpoints
/// after each quarantine.
#[test]
fn a_quarantine_expires_and_doubles_after_another_crash() {
    let mut suspects = crashed(QUARANTINE_CRASHES);
    let mut last_ms = u64::from(QUARANTINE_CRASHES - 1) * 1000 + 100;
    for doubled in 0..4 {
        let hold_ms = (QUARANTINE_MICROS / 1000) << doubled;
        let end_ms = last_ms + hold_ms;
        suspects.expire((end_ms - 1) * 1000);
        assert!(is_quarantined(&suspects, 1), "quarantine {doubled}");
        suspects.expire(end_ms * 1000);
        assert!(!is_quarantined(&suspects, 1), "quarantine {doubled}");
        last_ms = end_ms + 10;
        suspects.record_crash(&crash(1, end_ms + 5, last_ms));
        assert!(is_quarantined(&suspects, 1), "quarantine {doubled}");
    }
}

#[rstest]
#[case::suspicion(QUARANTINE_CRASHES - 1, 1)]
#[case::quarantine(QUARANTINE_CRASHES, 4)]
fn forgets_a_request_that_crashes_no_more_endpoints(
    #[case] crashes: u32,
    #[case] quarantines: u64,
) {
    let mut suspects = crashed(crashes);
    let ended = u64::from(crashes) * 1_000_000;
    suspects.expire(ended + QUARANTINE_MICROS);
    suspects.expire(ended + (quarantines + 1) * QUARANTINE_MICROS);
    assert!(suspects.is_empty());
}

/// Guards against a caller that displaces the suspects of others with many bodies that each
/// fail once.
#[test]
fn bounds_the_suspects_of_one_customer_and_of_all() {
    let mut suspects = crashed(QUARANTINE_CRASHES);
    for customer in 2..40 {
        for n in 0..500 {
            suspects.record_crash(&Crash {
                customer: CustomerId(customer),
                ..crash(1000 * customer + n, 5000, 5001 + u64::from(n))
            });
        }
        let most =
            (CUSTOMER_SUSPECTS_MAX * usize::try_from(customer - 1).unwrap() + 1).min(SUSPECTS_MAX);
        assert_eq!(suspects.len(), most);
    }
    assert!(is_quarantined(&suspects, 1));
}

/// A record that reports observations.
fn report(at: u64, crashes: Vec<Crash>, cleared: Vec<Completion>) -> Record {
    Record::Suspects {
        at: at_ms(at),
        evidence: Evidence {
            crashes,
            cleared,
            ..Evidence::default()
        },
    }
}

/// Guards against the suspicion of a request that is answered completely all the time.
#[test]
fn a_recent_answer_rules_out_a_crash() {
    let mut successes = Successes::default();
    assert!(!successes.rules_out(&crash(1, 0, 100)));
    successes.record(&completion(1, 50));
    assert!(successes.rules_out(&crash(1, 40, 100)));
    assert!(!successes.rules_out(&crash(2, 40, 100)));
    let over_ms = 50 + SUCCESS_MICROS / 1000;
    assert!(successes.rules_out(&crash(1, over_ms - 10, over_ms)));
    assert!(!successes.rules_out(&crash(1, over_ms - 10, over_ms + 1)));
    // The oldest answers are dropped.
    (2..10_000).for_each(|n| successes.record(&completion(n, 60)));
    assert!(!successes.rules_out(&crash(1, 40, 100)));
    assert!(successes.rules_out(&crash(9999, 40, 100)));
}

/// Guards against a router that forgets its own observations of a request once all routers
/// watch it.
#[test]
fn finds_requests_whose_status_was_lowered() {
    let none = Statuses::new();
    let watched = Statuses::from([(request(1), Status::Watched)]);
    let quarantined = Statuses::from([(request(1), Status::Quarantined)]);
    for (old, new, is_downgraded) in [
        (&none, &watched, false),
        (&watched, &watched, false),
        (&watched, &quarantined, false),
        (&quarantined, &watched, true),
        (&watched, &none, true),
        (&quarantined, &none, true),
    ] {
        assert_eq!(downgraded(old, new).len(), usize::from(is_downgraded));
    }
}

/// Guards against unreported observations that grow without bound while there is no leader.
#[test]
fn bounds_the_observations_to_report() {
    let mut pending = Evidence::default();
    for n in 0..100 {
        let evidence = Evidence {
            crashes: vec![crash(n, 0, 100)],
            cleared: vec![completion(n, 100)],
            ..Evidence::default()
        };
        pending.add(evidence, 30);
    }
    let first = pending.take(10);
    assert_eq!(first.crashes[0], crash(70, 0, 100));
    assert_eq!((first.crashes.len(), first.cleared.len()), (10, 10));
    assert_eq!(pending.take(100).crashes.len(), 20);
    assert!(pending.is_empty());
}

/// Guards against routers that treat a request differently from the control VMs: a view that
/// applies each step has the same statuses as the store.
#[test]
fn a_view_follows_the_suspects_step_by_step() {
    let mut store = Store::default();
    let mut view = View::default();
    let mut versions = Vec::new();
    let mut apply = |record: &Record, store: &mut Store| {
        if let (_, Some(step)) = store.apply(record) {
            view.apply_step(&step);
            versions.push((step.version, view.suspects.get(&request(1)).copied()));
        }
        assert_eq!(view, store.view);
    };
    for n in 0..4 {
        let crashes = vec![crash(1, n * 1000, n * 1000 + 100)];
        apply(&report(n * 1000 + 150, crashes, Vec::new()), &mut store);
    }
    apply(
        &report(9000, Vec::new(), vec![completion(1, 8990)]),
        &mut store,
    );
    let statuses: Vec<Option<Status>> = versions.iter().map(|(_, s)| *s).collect();
    let expected = [Some(Status::Watched), Some(Status::Quarantined), None];
    assert_eq!(statuses, expected);
    assert_eq!(WATCH_CRASHES, 2);
}
