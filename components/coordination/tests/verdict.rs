//! Verdicts that a router reaches alone on parts of prompts.

use coordination::verdict::{Contact, Verdicts, LEADER_MS};
use state::clock::Millis;
use state::fingerprint::Fingerprint;
use state::id::PartId;
use state::suspect::{Status, Statuses};

const PART: PartId = PartId(7);

fn statuses(status: Status) -> Statuses {
    [(Fingerprint::of_part(PART, None), status)]
        .into_iter()
        .collect()
}

fn contact(reported: u64, proved: u64) -> Contact {
    Contact {
        reported: Millis(reported),
        proved: Some(Millis(proved)),
    }
}

/// Guards against a part that one router refuses for ten minutes, since it has not seen the crashes
/// that show another part to be the cause.
#[test]
fn a_verdict_ends_that_the_leader_does_not_share() {
    let mut verdicts = Verdicts::default();
    let own = statuses(Status::Quarantined);
    let fleet = statuses(Status::Watched);
    let mut review = |ms, proved| verdicts.review(Millis(ms), contact(0, proved), &own, &fleet);
    assert!(review(1000, 900).is_empty());
    assert!(review(1000 + 2 * LEADER_MS, 1000 + LEADER_MS - 1).is_empty());
    assert_eq!(review(1000 + 2 * LEADER_MS, 1000 + LEADER_MS), [PART]);
}

/// Guards against a router without control VMs that sends a deadly part again.
#[test]
fn a_verdict_holds_without_contact_or_with_the_agreement_of_the_leader() {
    let mut verdicts = Verdicts::default();
    let own = statuses(Status::Quarantined);
    for ms in [1000, 5000, 500_000] {
        let none = Statuses::new();
        let never = Contact {
            reported: Millis(0),
            proved: None,
        };
        for contact in [never, contact(0, 900)] {
            let overruled = verdicts.review(Millis(ms), contact, &own, &none);
            assert!(overruled.is_empty());
        }
    }
    let now = Millis(600_000);
    let agreed = verdicts.review(now, contact(0, now.0), &own, &own);
    assert!(agreed.is_empty() && verdicts.is_empty());
}

/// Guards against a verdict that ends before the leader has heard of the crashes, since the reports
/// were lost with the VM that passed them on.
#[test]
fn a_verdict_holds_until_the_leader_was_told_again() {
    let mut verdicts = Verdicts::default();
    let own = statuses(Status::Quarantined);
    let none = Statuses::new();
    let mut review = |ms, contact| verdicts.review(Millis(ms), contact, &own, &none);
    assert!(review(1000, contact(0, 900)).is_empty());
    assert!(review(4100, contact(4000, 4100)).is_empty());
    assert_eq!(
        review(4000 + LEADER_MS, contact(4000, 4000 + LEADER_MS)),
        [PART]
    );
}
