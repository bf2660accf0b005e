//! Processor time of the attribution of crashes to parts of prompts.
//!
//! `cargo bench --bench attribution` prints the figures of docs/CAPACITY.md.

use coordination::attribution::{
    Attribution, Survivals, CRASHES_MAX, CRASH_SUSPECTS_MAX, SURVIVALS_MAX,
};
use state::clock::{Millis, Stamp};
use state::id::{CustomerId, EndpointId, PartId};
use state::suspect::{Break, Evidence, Suspects};
use std::time::Instant;

/// Prints the mean time of `work`, which is repeated `times` times.
fn measure<F>(what: &str, times: u64, mut work: F)
where
    F: FnMut(u64),
{
    let began = Instant::now();
    (0..times).for_each(&mut work);
    let nanos = began.elapsed().as_nanos() / u128::from(times);
    println!("{what}: {nanos} ns");
}

/// The crash of an endpoint with as many suspects as are remembered.
fn crash(number: u64) -> Evidence {
    let at = |ms| Stamp {
        wall: (number * 1000 + ms) * 1000,
        count: 0,
    };
    let first = number * 1000;
    let suspects = u64::try_from(CRASH_SUSPECTS_MAX).unwrap_or(0);
    // CAST: the remainder fits.
    let small = (number % 1_000_000) as u32;
    Evidence {
        breaks: vec![Break {
            endpoint: EndpointId(small),
            customer: CustomerId(small % 7),
            sent: at(0),
            at: at(500),
            parts: (first..first + suspects).map(PartId).zip(0..).collect(),
        }],
        ..Evidence::default()
    }
}

fn main() {
    let known = u64::try_from(SURVIVALS_MAX).unwrap_or(0);
    let mut survivals = Survivals::default();
    measure("record an answer to two known parts", 1_000_000, |n| {
        survivals.record(Millis(n / 100), PartId(n % known));
        survivals.record(Millis(n / 100), PartId(7));
    });
    measure("record an answer to a new part", 1_000_000, |n| {
        survivals.record(Millis(n), PartId(n + known));
    });
    let mut attribution = Attribution::default();
    let mut stamp = Stamp::default();
    let full = u64::try_from(CRASHES_MAX).unwrap_or(0);
    let suspects = Suspects::default();
    let mut take = |n: u64| {
        let stamp = || stamp.tick(n * 1_000_000);
        let decided = attribution.attribute(Millis(n), crash(n), &suspects, stamp);
        std::hint::black_box(decided);
    };
    (0..full).for_each(&mut take);
    measure(
        "attribute a crash with the most that is remembered",
        200,
        |n| take(full + n),
    );
}
