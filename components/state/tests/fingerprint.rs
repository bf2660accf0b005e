//! Fingerprints of requests.

use rstest::rstest;
use state::fingerprint::{Fingerprint, Subject};

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
