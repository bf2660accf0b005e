//! Soak test: real processes under overlapping faults, checked from outside.
//!
//! `docs/SOAK.md` describes longer runs and what is checked.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;

#[path = "soak/callers.rs"]
mod callers;
#[path = "soak/check.rs"]
mod check;
#[path = "soak/operator.rs"]
mod operator;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/releases.rs"]
mod releases;
#[path = "soak/run.rs"]
mod run;
#[path = "soak/schedule.rs"]
mod schedule;

use check::{End, Kind, Observations, Request};
use harness::http::Answer;
use run::Report;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// Seeds unless `SOAK_SEEDS` is set; 143 is a regression test, as it has failed once.
const DEFAULT_SEEDS: &str = "1,2,143";
/// Duration of the faults of each seed, in seconds, unless `SOAK_SECONDS` is set.
const DEFAULT_FAULT_SECONDS: u64 = 15;
/// Number of concurrent runs unless `SOAK_AT_ONCE` is set.
const DEFAULT_CONCURRENT_RUNS: u64 = 3;

#[test]
fn can_keep_its_guarantees_under_overlapping_faults() {
    let seeds = seeds();
    let length = Duration::from_secs(number("SOAK_SECONDS", DEFAULT_FAULT_SECONDS));
    let concurrent_runs = number("SOAK_AT_ONCE", DEFAULT_CONCURRENT_RUNS);
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    let total = Mutex::new(BTreeMap::<_, u64>::new());
    std::thread::scope(|scope| {
        for _ in 0..concurrent_runs {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let report = std::panic::catch_unwind(|| run::run(*seed, length));
                    let report = report.ok();
                    if !print_result(*seed, length, report.as_ref()) {
                        failed.lock().unwrap().push(*seed);
                    }
                    let mut total = total.lock().unwrap();
                    for (what, count) in report.into_iter().flat_map(|r| r.counts) {
                        *total.entry(what).or_default() += count;
                    }
                }
            });
        }
    });
    let total = total.into_inner().unwrap();
    println!("{} seeds of {length:?} of faults: {total:#?}", seeds.len());
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}

#[test]
fn can_detect_each_violation() {
    // A soak run without violations is meaningful only if its checks detect each kind.
    let answer = |status, outcome: &'static str, body: &str, complete| {
        let mut answer = Answer::default();
        let outcome = hyper::header::HeaderValue::from_static(outcome);
        answer.headers.insert("cowslipford-outcome", outcome);
        (answer.status, answer.complete) = (status, complete);
        answer.body = body.to_owned().into();
        answer
    };
    let observations = Observations::default();
    let request = |name: &str, kind| {
        let (name, attempt) = (name.to_owned(), 0);
        Request {
            name,
            attempt,
            kind,
        }
    };
    let booking = request("booking-1", Kind::Booking);
    let stream = request("stream-1", Kind::Stream(2));
    assert!(!stream.is_unframed());
    let unframed = request("stream-3", Kind::Stream(2));
    assert!(unframed.is_unframed());
    let events = "id: 0\ndata: {\"echo\":\"stream-1\",\"token\":0}\n\n\
                  id: 1\ndata: {\"echo\":\"stream-1\",\"token\":1}\n\n\
                  : {\"usage\":{\"tokens\":2}}\n\n";
    let record = |sent, status, outcome, body: &str, complete| {
        observations.record(sent, &answer(status, outcome, body, complete))
    };
    assert_eq!(
        record(&stream, 200, "answered", events, true),
        End::Complete
    );
    let half = &events[..50];
    assert_eq!(record(&stream, 200, "answered", half, false), End::Cut);
    assert_eq!(record(&booking, 503, "not-run", "", true), End::NotRun);
    // Truncated but reported as complete; out of order; the answer to another request; a
    // valid key refused as unknown.
    let gap = events.replace(":0}", ":1}");
    let other = events.replace("stream-1", "stream-2");
    assert_eq!(record(&stream, 200, "answered", half, true), End::Invalid);
    assert_eq!(record(&stream, 200, "answered", &gap, false), End::Invalid);
    assert_eq!(record(&stream, 200, "answered", &other, true), End::Invalid);
    assert_eq!(record(&stream, 401, "not-run", "", true), End::Invalid);
    // A stream without framing that is complete inside an event.
    let text = events.replace("stream-1", "stream-3");
    let one = text.find("\n\n").unwrap() + 2;
    let complete = |end| record(&unframed, 200, "answered", &text[..end], true);
    assert_eq!(complete(one), End::Complete);
    assert_eq!(complete(one + 9), End::Invalid);
    // A stream of one version, and one that holds events of two.
    let versions = |all: &[&str]| all.iter().map(|v| (*v).to_owned()).collect();
    observations.record_versions("chat-1", &versions(&["v1"]));
    observations.record_versions("chat-2", &versions(&["v1", "v2"]));
    // The booking that was refused as not run did run, and twice; the stream was answered
    // and never ran; a revoked key was served.
    let records = ["booking-1/0", "booking-1/1", "revoked-1/0"];
    let (_, violations) = observations.close(&records.map(str::to_owned));
    assert_eq!(violations.len(), 11, "{violations:#?}");
}

#[test]
fn can_repeat_a_schedule_by_its_seed() {
    let length = Duration::from_secs(20);
    let first = schedule::schedule(7, length);
    assert_eq!(first, schedule::schedule(7, length));
    assert_ne!(first, schedule::schedule(8, length));
}

/// Prints the result of a seed, with its schedule if it failed; returns whether it passed.
fn print_result(seed: u64, length: Duration, report: Option<&Report>) -> bool {
    match report {
        None => println!("seed {seed}: the run panicked"),
        Some(Report {
            counts, violations, ..
        }) if violations.is_empty() => {
            println!("seed {seed}: no violation, {counts:?}");
            return true;
        }
        Some(report) => {
            println!("seed {seed}: logs in {}", report.folder.display());
            println!("  {}", report.violations.join("\n  "));
        }
    }
    for step in schedule::schedule(seed, length) {
        println!("  {:?} {:?}", step.at, step.act);
    }
    false
}

/// Parses `SOAK_SEEDS`: seeds separated by commas, or `FIRST..LAST` without the last.
fn seeds() -> Vec<u64> {
    let text = std::env::var("SOAK_SEEDS").unwrap_or(DEFAULT_SEEDS.to_owned());
    match text.split_once("..") {
        Some((first, last)) => (first.parse().unwrap()..last.parse().unwrap()).collect(),
        None => text.split(',').map(|seed| seed.parse().unwrap()).collect(),
    }
}

/// A number from an environment variable.
fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().unwrap())
}
