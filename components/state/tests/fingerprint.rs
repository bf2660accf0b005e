//! What makes two requests the same.

use rstest::rstest;
use state::fingerprint::{Fingerprint, Subject};

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
#[case::place_of_a_letter(Subject { path: "/plan/", body: b"1x", ..SUBJECT })]
fn can_tell_requests_apart(#[case] other: Subject<'static>) {
    assert_ne!(Fingerprint::of(&SUBJECT), Fingerprint::of(&other));
    assert_eq!(Fingerprint::of(&SUBJECT), Fingerprint::of(&SUBJECT.clone()));
}

#[rstest]
#[case("")]
#[case("00")]
#[case("zz112233445566778899aabbccddeeff")]
#[case("é0112233445566778899aabbccddeef")]
fn can_refuse_what_is_no_fingerprint(#[case] text: &str) {
    assert!(Fingerprint::try_from(text).is_err());
}

#[test]
fn can_read_a_fingerprint_as_it_is_shown() {
    let fingerprint = Fingerprint::of(&SUBJECT);
    let shown = fingerprint.to_string();
    assert_eq!(Fingerprint::try_from(shown.as_str()), Ok(fingerprint));
}
