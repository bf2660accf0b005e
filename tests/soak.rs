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

use run::Report;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// Seeds of the run in CI.
const SEEDS: std::ops::Range<u64> = 1..3;
/// Seconds of faults of each seed in CI.
const SECONDS: u64 = 15;
/// Runs at once.
const AT_ONCE: usize = 2;

#[test]
fn can_keep_its_promises_under_overlapping_faults() {
    let seeds = seeds();
    let length = Duration::from_secs(number("SOAK_SECONDS", SECONDS));
    let at_once = usize::try_from(number("SOAK_AT_ONCE", AT_ONCE as u64)).unwrap();
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    let total = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let report = std::panic::catch_unwind(|| run::run(*seed, length));
                    match report {
                        Ok(report) => {
                            add(&mut total.lock().unwrap(), &report);
                            if tell(*seed, length, &report) {
                                failed.lock().unwrap().push(*seed);
                            }
                        }
                        Err(_) => {
                            println!("seed {seed}: the run itself panicked");
                            failed.lock().unwrap().push(*seed);
                        }
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
fn can_repeat_a_schedule_by_its_seed() {
    let length = Duration::from_secs(20);
    let first = schedule::schedule(7, length);
    assert_eq!(first, schedule::schedule(7, length));
    assert_ne!(first, schedule::schedule(8, length));
    assert!(first.iter().all(|s| s.at < length));
}

/// Prints what came of a seed; gives whether it failed.
fn tell(seed: u64, length: Duration, report: &Report) -> bool {
    let wrong = &report.wrong;
    println!("seed {seed}: {} wrong, {:?}", wrong.len(), report.counts);
    if wrong.is_empty() {
        return false;
    }
    for line in wrong {
        println!("  {line}");
    }
    println!("  logs: {}", report.folder.display());
    for step in schedule::schedule(seed, length) {
        println!("  {:?} {:?}", step.at, step.act);
    }
    true
}

fn add(total: &mut BTreeMap<&'static str, u64>, report: &Report) {
    for (what, count) in &report.counts {
        *total.entry(what).or_default() += count;
    }
}

/// `SOAK_SEEDS`: one seed, or `FIRST..LAST` without the last.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return SEEDS.collect();
    };
    match text.split_once("..") {
        Some((first, last)) => (first.parse().unwrap()..last.parse().unwrap()).collect(),
        None => text.split(',').map(|seed| seed.parse().unwrap()).collect(),
    }
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().unwrap())
}
