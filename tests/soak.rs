//! A soak: real processes under overlapping faults, checked from outside.
//!
//! `docs/SOAK.md` tells how to run it for longer and what it checks.
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
#[path = "soak/run.rs"]
mod run;
#[path = "soak/schedule.rs"]
mod schedule;

use check::{End, Kind, Ledger, Request};
use harness::http::Answer;
use run::Report;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// Seeds of the run in CI; 143 has failed.
const SEEDS: &str = "1,2,143";
/// Seconds of faults of each seed in CI.
const SECONDS: u64 = 15;
/// Runs at once.
const AT_ONCE: u64 = 3;

#[test]
fn can_keep_its_promises_under_overlapping_faults() {
    let seeds = seeds();
    let length = Duration::from_secs(number("SOAK_SECONDS", SECONDS));
    let at_once = number("SOAK_AT_ONCE", AT_ONCE);
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    let total = Mutex::new(BTreeMap::<_, u64>::new());
    std::thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let report = std::panic::catch_unwind(|| run::run(*seed, length));
                    let report = report.ok();
                    if !tell(*seed, length, report.as_ref()) {
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
fn can_see_each_broken_promise() {
    // A soak that finds nothing tells something only if its checks find what is wrong.
    let answer = |status, outcome: &'static str, body: &str, whole| {
        let mut answer = Answer::default();
        let outcome = hyper::header::HeaderValue::from_static(outcome);
        answer.headers.insert("cowslipford-outcome", outcome);
        (answer.status, answer.whole) = (status, whole);
        answer.body = body.to_owned().into();
        answer
    };
    let ledger = Ledger::default();
    let request = |name: &str, kind| {
        let (name, sending) = (name.to_owned(), 0);
        Request {
            name,
            sending,
            kind,
        }
    };
    let booking = request("booking-1", Kind::Booking);
    let stream = request("stream-1", Kind::Stream(2));
    let events = "data: {\"echo\":\"stream-1\",\"token\":0}\n\n\
                  data: {\"echo\":\"stream-1\",\"token\":1}\n\n\
                  : {\"usage\":{\"tokens\":2}}\n\n";
    let judge = |sent, status, outcome, body: &str, whole| {
        ledger.judge(sent, &answer(status, outcome, body, whole))
    };
    assert_eq!(judge(&stream, 200, "answered", events, true), End::Whole);
    let half = &events[..50];
    assert_eq!(judge(&stream, 200, "answered", half, false), End::Cut);
    assert_eq!(judge(&booking, 503, "not-run", "", true), End::NotRun);
    // Cut and not to be seen, out of order, someone else's, and a known key unknown.
    let gap = events.replace(":0}", ":1}");
    let other = events.replace("stream-1", "stream-2");
    assert_eq!(judge(&stream, 200, "answered", half, true), End::Wrong);
    assert_eq!(judge(&stream, 200, "answered", &gap, false), End::Wrong);
    assert_eq!(judge(&stream, 200, "answered", &other, true), End::Wrong);
    assert_eq!(judge(&stream, 401, "not-run", "", true), End::Wrong);
    // The refused booking ran, and twice; the stream was answered and never ran; a
    // revoked key was served.
    let records = ["booking-1/0", "booking-1/1", "revoked-1/0"];
    let (_, wrong) = ledger.close(&records.map(str::to_owned));
    assert_eq!(wrong.len(), 8, "{wrong:#?}");
}

#[test]
fn can_repeat_a_schedule_by_its_seed() {
    let length = Duration::from_secs(20);
    let first = schedule::schedule(7, length);
    assert_eq!(first, schedule::schedule(7, length));
    assert_ne!(first, schedule::schedule(8, length));
}

/// Prints what came of a seed; gives whether it passed.
fn tell(seed: u64, length: Duration, report: Option<&Report>) -> bool {
    match report {
        None => println!("seed {seed}: the run panicked"),
        Some(Report { counts, wrong, .. }) if wrong.is_empty() => {
            println!("seed {seed}: nothing wrong, {counts:?}");
            return true;
        }
        Some(report) => {
            println!("seed {seed}: logs in {}", report.folder.display());
            println!("  {}", report.wrong.join("\n  "));
        }
    }
    for step in schedule::schedule(seed, length) {
        println!("  {:?} {:?}", step.at, step.act);
    }
    false
}

/// `SOAK_SEEDS`: one seed, or `FIRST..LAST` without the last.
fn seeds() -> Vec<u64> {
    let text = std::env::var("SOAK_SEEDS").unwrap_or(SEEDS.to_owned());
    match text.split_once("..") {
        Some((first, last)) => (first.parse().unwrap()..last.parse().unwrap()).collect(),
        None => text.split(',').map(|seed| seed.parse().unwrap()).collect(),
    }
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().unwrap())
}
