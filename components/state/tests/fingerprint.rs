//! Fingerprints of requests and of parts of prompts.

use rstest::rstest;
use state::fingerprint::{Fingerprint, Subject};
use state::id::{CustomerId, PartId};

/// A request from which each case differs in one part.
const SUBJECT: Subject<'static> = Subject {
    customer: "alpha",
    method: "POST",
    host: "a.example",
    path: "/plan/1",
    body: b"x",
};

#[rstest]
#[case::customer(Subject { customer: "beta", ..SUBJECT })]
#[case::method(Subject { method: "PUT", ..SUBJECT })]
#[case::host(Subject { host: "b.example", ..SUBJECT })]
#[case::path(Subject { path: "/plan/2", ..SUBJECT })]
#[case::body(Subject { body: b"y", ..SUBJECT })]
#[case::boundary_of_path_and_body(Subject { path: "/plan/", body: b"1x", ..SUBJECT })]
fn different_requests_have_different_fingerprints(#[case] other: Subject<'static>) {
    assert_ne!(Fingerprint::of(&SUBJECT), Fingerprint::of(&other));
    assert_eq!(Fingerprint::of(&SUBJECT), Fingerprint::of(&SUBJECT.clone()));
}

#[rstest]
#[case("")]
#[case("00")]
#[case("zz112233445566778899aabbccddeeff")]
#[case("é0112233445566778899aabbccddeef")]
fn errors_when_a_text_is_no_fingerprint(#[case] text: &str) {
    assert!(Fingerprint::try_from(text).is_err());
}

#[test]
fn parses_a_displayed_fingerprint() {
    let fingerprint = Fingerprint::of(&SUBJECT);
    let shown = fingerprint.to_string();
    assert_eq!(Fingerprint::try_from(shown.as_str()), Ok(fingerprint));
}

/// Guards against a part of one customer's prompts that is taken for the same part of all, or for a
/// request.
#[test]
fn a_part_is_told_from_other_parts_and_from_requests() {
    let part = PartId(0x5c1e_07a2);
    let all = Fingerprint::of_part(part, None);
    let own = Fingerprint::of_part(part, Some(CustomerId(0)));
    assert_ne!(all, own);
    assert_eq!(all.part(), Some((part, None)));
    assert_eq!(own.part(), Some((part, Some(CustomerId(0)))));
    assert_eq!(Fingerprint::of(&SUBJECT).part(), None);
    let shown = own.to_string();
    assert_eq!(Fingerprint::try_from(shown.as_str()), Ok(own));
}
