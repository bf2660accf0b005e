//! Trials of parts of prompts that are released from quarantine.

use coordination::trial::{Trials, SPACING_MS};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use state::clock::Millis;
use state::fingerprint::Fingerprint;
use state::id::PartId;

/// Guards against a release after which all routers send the part at once.
#[test]
fn a_fleet_tries_a_released_part_one_request_at_a_time() {
    let part = Fingerprint::of_part(PartId(7), None);
    let routers = 300;
    let mut random = Pcg64::seed_from_u64(1);
    let mut all: Vec<Trials> = (0..routers)
        .map(|_| {
            let mut trials = Trials::default();
            trials.begin(Millis(0), part, routers, random.random());
            trials
        })
        .collect();
    let mut sent = Vec::new();
    for ms in (0..600_000).step_by(10) {
        for trials in &mut all {
            sent.extend(trials.take(Millis(ms), &part, routers).then_some(ms));
        }
    }
    let in_a_round = usize::try_from(600_000 / SPACING_MS).unwrap();
    assert_eq!(sent.len(), in_a_round);
    let most = (0..600).map(|s| sent.iter().filter(|ms| **ms / 1000 == s).count());
    assert!(most.max() <= Some(5));
}

/// Guards against parts that stay on trial after an answer has cleared them.
#[test]
fn a_part_that_is_not_on_trial_may_be_sent() {
    let part = Fingerprint::of_part(PartId(7), None);
    let mut trials = Trials::default();
    assert!(trials.take(Millis(0), &part, 6));
    trials.begin(Millis(0), part, 6, 5);
    assert!(!trials.take(Millis(0), &part, 6));
    trials.end(&part);
    assert!(trials.take(Millis(0), &part, 6) && trials.is_empty());
}
