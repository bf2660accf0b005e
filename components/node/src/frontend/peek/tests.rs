//! Tests of finding the key in a head that has arrived in part.

use super::*;

const HEAD: &str = "POST /a HTTP/1.1\r\nhost: h\r\nAuthorization: Bearer k1 \r\n";

fn found(text: &str) -> Option<Option<Hash>> {
    find_key(text.as_bytes(), &Interface::native())
}

#[test]
fn finds_the_key_that_the_request_is_served_by() {
    let hash = Hash::of(&[b"k1"]);
    assert_eq!(found(&format!("{HEAD}\r\n")), Some(Some(hash)));
    // The rest of the head does not matter.
    assert_eq!(found(HEAD), Some(Some(hash)));
}

/// Failure: a request is taken for one without a key, since its key has not arrived.
#[test]
fn does_not_decide_before_the_key_can_be_known() {
    let whole = "POST /a HTTP/1.1\r\nhost: h\r\n\r\n";
    assert_eq!(found(whole), Some(None));
    for length in 0..whole.len() {
        assert_eq!(found(&whole[..length]), None, "{length} bytes");
    }
    let in_key = HEAD.find("k1").unwrap();
    for length in 0..=in_key + 1 {
        assert_eq!(found(&HEAD[..length]), None, "{length} bytes");
    }
}

#[test]
fn finds_nothing_in_what_is_no_head() {
    assert_eq!(found("\0\0\0\0"), None);
    assert_eq!(found("GET /a HTTP/1.1\r\nno header\r\n\r\n"), None);
}
