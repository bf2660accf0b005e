//! Duration of what the appointments of a scheduler add to an ask that arrives and to a refusal:
//! `cargo bench --bench appointments`.
//!
//! The tables are full: all customers have all of their places, half of them booked.

use coordination::messages::Class;
use coordination::prompt::Prompt;
use coordination::scheduler::appointment::{
    Appointments, Capacity, Request, CUSTOMERS_MAX, PLACES_MAX, SLOT_MS,
};
use state::clock::Millis;
use state::id::CustomerId;
use std::time::{Duration, Instant};

/// Time of the bookings.
const NOW: Millis = Millis(10_000);
/// Time within which callers return, in milliseconds.
const RETURN_MS: u64 = 2000;
/// Time of the asks after the bookings, in milliseconds.
const ASK_MS: u64 = 1000;
/// Time in which an admitted ask may wait, in milliseconds: 40 percent of a target of 1,500 ms.
const WAIT_MS: u64 = 600;
/// Number of events measured of each kind.
const EVENTS: u64 = 20_000;
/// Room for all bookings.
const CAPACITY: Capacity = Capacity {
    room_per_s: 1 << 40,
    slots: 64,
};

/// Request `n` of a customer.
fn request(customer: u32, n: u64) -> Request {
    Request {
        class: Class {
            customer: CustomerId(customer),
            rule: 0,
        },
        prompt: Prompt::new([(7, 5000), (1 << 40 | n, 3000)], 100),
        weight: 1,
        cost: 8000,
        after_ms: SLOT_MS + n * 7 % (RETURN_MS - SLOT_MS),
        limit_ms: RETURN_MS,
        jitter: 0,
    }
}

/// Full tables.
fn full() -> Appointments {
    let mut appointments = Appointments::default();
    for n in 0..PLACES_MAX as u64 {
        for customer in 0..CUSTOMERS_MAX as u32 {
            let request = request(customer, n);
            if n.is_multiple_of(2) {
                appointments.book(NOW, request, CAPACITY, []);
            } else {
                appointments.expect_unbooked(NOW, request, request.after_ms);
            }
        }
    }
    appointments
}

/// Prints the mean and the longest duration of the events of a kind.
fn print(what: &str, took: &[Duration]) {
    let total: Duration = took.iter().sum();
    let mean = total.as_nanos() / took.len().max(1) as u128;
    let longest = took.iter().max().map_or(0, Duration::as_nanos);
    println!("{what:<40} {mean:>7} ns mean, {longest:>8} ns longest");
}

/// Measures asks that arrive: of callers that return, or of new ones.
fn measure_asks(is_new: bool) {
    let mut appointments = full();
    let now = NOW.after(ASK_MS);
    let (mut taken, mut due) = (0, 0);
    let took = (0..EVENTS).map(|n| {
        // CAST: the remainder is below the few customers.
        let customer = (n % CUSTOMERS_MAX as u64) as u32;
        let own = n / CUSTOMERS_MAX as u64 + if is_new { 1 << 20 } else { 0 };
        let request = request(customer, own);
        let began = Instant::now();
        let returned = appointments.take(now, request.class, &request.prompt);
        due += appointments.due_cost(now, request.class.customer, WAIT_MS);
        due += (appointments.due_costs(now, WAIT_MS))
            .map(|(_, cost)| cost)
            .sum::<u64>();
        let took = began.elapsed();
        taken += u64::from(returned.is_some());
        took
    });
    let took: Vec<Duration> = took.collect();
    print(if is_new { "ask, new" } else { "ask, returning" }, &took);
    println!("  {taken} places taken, {due} cost due");
}

/// Measures refusals: a place becomes free, then one is booked.
fn measure_refusals() {
    let mut appointments = full();
    let now = NOW.after(ASK_MS);
    let mut booked = 0;
    let mut took = Vec::new();
    for n in 0..EVENTS {
        // CAST: the remainder is below the few customers.
        let customer = (n % CUSTOMERS_MAX as u64) as u32;
        let old = request(customer, n / CUSTOMERS_MAX as u64);
        appointments.take(now, old.class, &old.prompt);
        let new = request(customer, 1 << 20 | n);
        let waiting = (0..CUSTOMERS_MAX as u32).map(|c| (CustomerId(c), 1));
        let began = Instant::now();
        booked += u64::from(appointments.book(now, new, CAPACITY, waiting).is_some());
        took.push(began.elapsed());
    }
    print("refusal", &took);
    println!("  {booked} booked");
}

/// Measures the removal of the places of one slot of all customers.
fn measure_expiry() {
    let mut appointments = full();
    let took = (1..RETURN_MS / SLOT_MS + 10).map(|n| {
        let began = Instant::now();
        appointments.expire(NOW.after(n * SLOT_MS));
        began.elapsed()
    });
    print("end of a slot", &took.collect::<Vec<_>>());
    println!("  {} places left", appointments.places());
}

fn main() {
    println!("{CUSTOMERS_MAX} customers, {PLACES_MAX} places each");
    measure_asks(true);
    measure_asks(false);
    measure_refusals();
    measure_expiry();
}
