//! Verdicts that a router reaches alone on parts of prompts.

use coordination::verdict::{Verdicts, LEADER_MS};
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

/// Guards against a part that one router refuses for ten minutes, since it has not seen the crashes
/// that show another part to be the cause.
#[test]
fn a_verdict_ends_that_the_leader_does_not_share() {
    let mut verdicts = Verdicts::default();
    let own = statuses(Status::Quarantined);
    let fleet = statuses(Status::Watched);
    let mut review = |ms, proved| verdicts.review(Millis(ms), Some(Millis(proved)), &own, &fleet);
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
        assert!(verdicts.review(Millis(ms), None, &own, &none).is_empty());
        let before = Some(Millis(900));
        assert!(verdicts.review(Millis(ms), before, &own, &none).is_empty());
    }
    let now = Millis(600_000);
    let agreed = verdicts.review(now, Some(now), &own, &own);
    assert!(agreed.is_empty() && verdicts.is_empty());
}
