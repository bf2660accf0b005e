//! The replicated state machine and the view.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use state::clock::Stamp;
use state::config::{Config, Cost, Draft, Service};
use state::delta::Delta;
use state::id::{CustomerId, Epoch, Name, RequestId, ServiceId, Version};
use state::record::{Answer, ChangeId, Record, Resolution, Stored};
use state::secret::Hash;
use state::store::{Store, CLAIMS_MAX, CLAIM_SECONDS, STORED_BYTES_MAX};
use state::view::{Acceptance, Assignment, Change, Departure, Node, Shard, Step, View};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn service(text: &str, timeout_ms: u64) -> Service {
    Service {
        name: name(text),
        cost: Cost::Request,
        estimate: 1,
        timeout_ms,
        idempotent: false,
        load: None,
        connections: None,
        engine: None,
        cold: None,
    }
}

fn draft(services: &[Service]) -> Draft {
    Draft {
        services: services.to_vec(),
        ..Draft::default()
    }
}

#[test]
fn applies_the_difference_of_two_configurations() {
    let mut config = Config::default();
    let first = draft(&[service("a", 1), service("b", 1)]);
    Delta::between(&config, &first).apply(&mut config);
    assert_eq!(config.draft(), first);
    let b = config.service(&name("b")).unwrap();
    let second = draft(&[service("b", 2), service("c", 1)]);
    let delta = Delta::between(&config, &second);
    assert_eq!(
        (delta.services.set.len(), delta.services.removed.len()),
        (2, 1)
    );
    delta.apply(&mut config);
    // An item keeps its number with its name, and numbers are never reused.
    assert_eq!(config.service(&name("b")), Some(b));
    assert_eq!(config.service(&name("c")), Some(ServiceId(2)));
}

#[test]
fn a_view_only_moves_forward() {
    // Symptom: an older configuration comes back into force.
    // Sequence: steps arrive late, twice, or with one missing.
    // Cause: the receiver applies whatever arrives last.
    let step = |version| Step {
        version: Version(version),
        change: Change::Departure(Departure::Vm(name("r1"), version)),
    };
    let mut view = View::default();
    assert_eq!(view.apply_step(&step(1)), Acceptance::Applied);
    assert_eq!(view.apply_step(&step(1)), Acceptance::Stale);
    assert_eq!(view.apply_step(&step(3)), Acceptance::Gap);
    assert_eq!(view.apply_step(&step(2)), Acceptance::Applied);
    let older = View {
        version: Version(1),
        ..View::default()
    };
    assert!(!view.replace(older));
    assert_eq!(view.version, Version(2));
}

#[test]
fn an_assignment_needs_a_later_epoch() {
    let assignment = |epoch| {
        Record::Assignment(Assignment {
            shard: Shard {
                data_centre: None,
                service: ServiceId(1),
                region: name("main"),
                cell: None,
            },
            node: Node {
                vm: name("r1"),
                address: "127.0.0.1:1".parse().unwrap(),
            },
            epoch: Epoch(epoch),
        })
    };
    let mut store = Store::default();
    assert!(store.apply(&assignment(5)).1.is_some());
    assert!(store.apply(&assignment(5)).1.is_none());
    assert!(store.apply(&assignment(4)).1.is_none());
}

fn claim(key: u8, count: u64, at: u64) -> Record {
    Record::Claim {
        key: Hash([key; 32]),
        customer: CustomerId(1),
        fingerprint: Hash([9; 32]),
        request: RequestId { router: 1, count },
        at,
    }
}

fn settle(key: u8, count: u64, known: Option<Resolution>) -> Record {
    Record::Settle {
        key: Hash([key; 32]),
        request: RequestId { router: 1, count },
        known,
    }
}

#[test]
fn only_one_request_claims_a_key() {
    let mut store = Store::default();
    assert_eq!(store.apply(&claim(1, 1, 0)).0, Answer::Claimed);
    // The router repeats a claim whose answer it did not receive.
    assert_eq!(store.apply(&claim(1, 1, 0)).0, Answer::Claimed);
    let taken = |known| Answer::AlreadyClaimed(Hash([9; 32]), known);
    assert_eq!(store.apply(&claim(1, 2, 0)).0, taken(Resolution::Pending));
    let stored = Resolution::Answered(Stored {
        status: 200,
        content_type: String::new(),
        body: None,
    });
    // Only the request that claimed the key may settle it.
    store.apply(&settle(1, 2, Some(stored.clone())));
    assert_eq!(store.apply(&claim(1, 2, 0)).0, taken(Resolution::Pending));
    store.apply(&settle(1, 1, Some(stored.clone())));
    assert_eq!(store.apply(&claim(1, 2, 0)).0, taken(stored));
}

#[test]
fn releases_a_key_whose_request_was_not_run() {
    let mut store = Store::default();
    store.apply(&claim(1, 1, 0));
    store.apply(&settle(1, 1, None));
    assert_eq!(store.apply(&claim(1, 2, 0)).0, Answer::Claimed);
}

#[test]
fn forgets_keys_after_a_day() {
    let mut store = Store::default();
    store.apply(&claim(1, 1, 0));
    store.apply(&claim(2, 2, CLAIM_SECONDS - 1));
    assert_eq!(store.claims.len(), 2);
    store.apply(&claim(3, 3, CLAIM_SECONDS));
    assert_eq!(store.claims.len(), 2);
    assert_eq!(store.apply(&claim(1, 9, CLAIM_SECONDS)).0, Answer::Claimed);
}

#[test]
fn answers_a_resent_change_as_the_first_time() {
    let mut store = Store::default();
    let change = |id, base| {
        let delta = Delta::between(&Config::default(), &Draft::default());
        Record::Change {
            id: ChangeId(id),
            base: Version(base),
            delta: Box::new(delta),
        }
    };
    assert_eq!(store.apply(&change(1, 0)).0, Answer::Accepted(Version(1)));
    assert_eq!(store.apply(&change(2, 0)).0, Answer::Conflict(Version(1)));
    assert_eq!(store.apply(&change(3, 1)).0, Answer::Accepted(Version(2)));
    assert_eq!(
        store.apply(&change(1, 0)),
        (Answer::Accepted(Version(1)), None)
    );
    assert_eq!(
        store.apply(&change(2, 0)),
        (Answer::Conflict(Version(1)), None)
    );
}

#[test]
fn orders_a_cause_before_its_effect_whatever_the_clocks() {
    // Symptom: the timeline shows a response before its request.
    // Sequence: a VM whose clock runs ahead sends to a VM whose clock is behind.
    // Cause: events are ordered by wall clocks.
    let (mut ahead, mut behind) = (Stamp::default(), Stamp::default());
    let sent = ahead.tick(1_000_000);
    let received = behind.merge(10, sent);
    let replied = behind.tick(11);
    assert!(sent < received && received < replied);
    assert!(ahead.merge(1_000_001, replied) > replied);
}

#[test]
fn bounds_the_memory_of_keys_and_stored_responses() {
    // Symptom: the memory of a control VM grows until the process ends.
    // Sequence: a customer keeps sending new keys, and the responses are large.
    // Cause: stored responses are limited by age alone.
    let mut store = Store::default();
    let key = |n: u64| Hash::of(&[&n.to_be_bytes()]);
    let body = vec![7; 16 * 1024];
    let kept = STORED_BYTES_MAX / body.len();
    for n in 0..CLAIMS_MAX as u64 + 10 {
        let request = RequestId {
            router: 1,
            count: n,
        };
        store.apply(&Record::Claim {
            key: key(n),
            customer: CustomerId(1),
            fingerprint: Hash([9; 32]),
            request,
            at: 5,
        });
        if n % 100 == 0 {
            let stored = Stored {
                status: 200,
                content_type: String::new(),
                body: Some(body.clone()),
            };
            let known = Some(Resolution::Answered(stored));
            store.apply(&Record::Settle {
                key: key(n),
                request,
                known,
            });
        }
    }
    assert_eq!(store.claims.len(), CLAIMS_MAX);
    let bodies = store.claims.values().filter(|c| match &c.known {
        Resolution::Answered(stored) => stored.body.is_some(),
        _ => false,
    });
    assert_eq!(bodies.count(), kept);
    assert_eq!(store.stored_bytes, kept * body.len());
}
