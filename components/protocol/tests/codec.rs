//! Tests of the encoding of frames and stored values.

use protocol::codec::{
    body_length, decode_extended, decode_frame, decode_value, encode_frame, encode_value,
    HEADER_BYTES, MAX_BODY_BYTES, PROTOCOL_VERSION,
};
use protocol::wire::{Extension, Features, Frame, Hello, Message, Query};
use state::catalog::{Catalog, Versions};
use state::clock::Stamp;
use state::config::{Endpoint, Forward, Then};
use state::evacuation::Order;
use state::fingerprint::Fingerprint;
use state::id::{CustomerId, EndpointId, Name, PartId, Software, Version};
use state::listing::{Entry, Listing};
use state::record::Record;
use state::store::Store;
use state::suspect::{Break, Evidence, Survival};
use state::view::Node;

fn frame() -> Frame {
    Frame {
        stamp: Stamp { wall: 5, count: 2 },
        message: Message::RootHeartbeat(Version(300)),
    }
}

#[test]
fn can_decode_an_encoded_frame() {
    let bytes = encode_frame(&frame()).unwrap();
    let head = <[u8; HEADER_BYTES]>::try_from(&bytes[..HEADER_BYTES]).unwrap();
    assert_eq!(
        body_length("peer", head).unwrap(),
        bytes.len() - HEADER_BYTES
    );
    assert_eq!(
        decode_frame("peer", &bytes[HEADER_BYTES..]).unwrap(),
        frame()
    );
}

fn hello(extension: Extension) -> Frame {
    let address = ([127, 0, 0, 1], 7001).into();
    Frame {
        stamp: Stamp { wall: 5, count: 2 },
        message: Message::Hello(Hello {
            node: Node::at(address),
            incarnation: 7,
            operator_address: address,
            data_centre: Name::unnamed(),
            extension,
        }),
    }
}

/// Failure: a hello with an extension is unreadable to a process that knows none, or the hello of
/// such a process is unreadable here, so that a fleet cannot be upgraded process by process.
#[test]
fn can_exchange_hellos_with_a_process_that_knows_no_extension() {
    let extension = Extension {
        features: Features::ALL,
        callers: Some("127.0.0.1:8080".parse().unwrap()),
    };
    let bytes = encode_frame(&hello(extension)).unwrap();
    let read = decode_frame("peer", &bytes[HEADER_BYTES..]).unwrap();
    assert_eq!(read, hello(extension));
    // An earlier release decodes the frame and ignores the bytes behind it.
    let earlier: Frame = decode_value(&bytes[HEADER_BYTES..]).unwrap();
    assert_eq!(earlier, hello(Extension::default()));
    // It sends the frame alone.
    let without = encode_value(&earlier).unwrap();
    let read = decode_frame("peer", &without).unwrap();
    assert_eq!(read, hello(Extension::default()));
}

#[test]
fn errors_when_the_version_or_the_length_is_wrong() {
    let error = body_length("r1", [PROTOCOL_VERSION + 1, 0, 0, 0, 1])
        .unwrap_err()
        .to_string();
    assert!(error.contains("r1") && error.contains("version"), "{error}");
    let long = u32::try_from(MAX_BODY_BYTES + 1).unwrap().to_be_bytes();
    let [a, b, c, d] = long;
    assert!(body_length("r1", [PROTOCOL_VERSION, a, b, c, d]).is_err());
}

#[test]
fn can_reject_truncated_frames_and_flipped_bits_without_a_panic() {
    let bytes = encode_frame(&frame()).unwrap();
    for cut in HEADER_BYTES..bytes.len() {
        assert!(decode_frame("peer", &bytes[HEADER_BYTES..cut]).is_err());
    }
    for at in HEADER_BYTES..bytes.len() {
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            // A flipped bit may decode to another frame, since QUIC itself checks integrity; only
            // a panic fails this test.
            let _ = decode_frame("peer", &changed[HEADER_BYTES..]);
        }
    }
}

/// Symptom: an evacuation ends although no operator ended it.
/// Sequence: a control VM restarts from a snapshot that was taken during the evacuation.
/// Cause: the snapshot does not contain the evacuation.
#[test]
fn can_keep_an_evacuation_in_a_snapshot() {
    let mut store = Store::default();
    let order = Order {
        data_centre: Name::try_from("dc-1").unwrap(),
        is_evacuated: true,
        base: Version(0),
    };
    let at = Stamp::default();
    store.apply(&Record::Evacuation { at, order });
    let read: Store = decode_value(&encode_value(&store).unwrap()).unwrap();
    assert_eq!(read, store);
    assert!(read.view.evacuated().next().is_some());
}

/// Guards against a catalog that is lost with a snapshot, and against snapshots that this release or
/// the one before it cannot read of the other.
#[test]
fn can_keep_the_catalog_behind_a_snapshot() {
    let mut store = Store::default();
    let chat = Name::try_from("chat").unwrap();
    let joined = vec![(chat.clone(), Software::of("v1"))];
    store.apply(&Record::Versions(joined));
    let bytes = encode_value(&(&store, &store.catalog)).unwrap();
    let (read, catalog): (Store, Catalog) = decode_extended(&bytes).unwrap();
    assert_eq!(Store { catalog, ..read }, store);
    assert_eq!(
        store.catalog.versions(&chat),
        Some(Versions::Sole(Software::of("v1")))
    );
    let before: Store = decode_value(&bytes).unwrap();
    assert_eq!(before.view, store.view);
    let bytes = encode_value(&store).unwrap();
    let (_, catalog): (Store, Catalog) = decode_extended(&bytes).unwrap();
    assert!(!catalog.has_begun());
}

/// Failure: a configuration that an earlier release has written is read as another one, since an
/// action of a rule has changed its position.
#[test]
fn actions_of_rules_keep_their_positions() {
    let forward = Forward::default();
    let reason = "closed".to_owned();
    let actions = [
        Then::new(forward.clone(), None),
        Then::Refuse { reason },
        Then::new(forward, Some(300)),
    ];
    for (position, action) in (0u8..).zip(actions) {
        let bytes = encode_value(&action).unwrap();
        assert_eq!(bytes[0], position);
        assert_eq!(decode_value::<Then>(&bytes).unwrap(), action);
    }
}

/// A list with an endpoint of each version.
#[expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]
fn listing(versions: &[&str]) -> Listing {
    let entry = |(n, version): (usize, &&str)| Entry {
        endpoint: Endpoint {
            name: Name::try_from(format!("e-{n}")).unwrap(),
            service: Name::try_from("chat").unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: Name::try_from("dc").unwrap(),
            region: Name::try_from("main").unwrap(),
            slots: 1,
            prefetch: 0,
            software: Software::of(version),
        },
        started_ms: None,
        leaving: false,
        cold_ms: 0,
    };
    Listing {
        id: 7,
        endpoints: versions.iter().enumerate().map(entry).collect(),
    }
}

/// Guards against versions that are lost between two processes, and against a list that a process of
/// an earlier release cannot read because of them, or whose lack of them this release cannot.
#[test]
fn can_send_versions_of_endpoints_beside_earlier_releases() {
    let sent = listing(&["v1", "", "a-version-of-more-than-16-bytes"]);
    let frame = |listing: &Listing| Frame {
        stamp: Stamp::default(),
        message: Message::Listing(Box::new(listing.clone())),
    };
    let bytes = encode_frame(&frame(&sent)).unwrap();
    let body = &bytes[HEADER_BYTES..];
    assert_eq!(decode_frame("peer", body).unwrap(), frame(&sent));
    // An earlier release reads the frame alone.
    let (earlier, rest): (Frame, &[u8]) = postcard::take_from_bytes(body).unwrap();
    let unstated = listing(&["", "", ""]);
    assert_eq!(earlier, frame(&unstated));
    assert!(!rest.is_empty());
    // It sends nothing behind the frame.
    let bytes = encode_frame(&frame(&unstated)).unwrap();
    assert_eq!(
        bytes[HEADER_BYTES..],
        postcard::to_stdvec(&frame(&unstated)).unwrap()
    );
    assert_eq!(
        decode_frame("peer", &bytes[HEADER_BYTES..]).unwrap(),
        frame(&unstated)
    );
}

/// Guards against parts of prompts that are lost on their way to the leader, or make the message
/// unreadable to a process of an earlier release, which ignores what follows it.
#[test]
fn can_send_parts_of_prompts_beside_earlier_releases() {
    let part = PartId(0x5c1e_07a2);
    let broken = Break {
        endpoint: EndpointId(4),
        customer: CustomerId(1),
        sent: Stamp { wall: 5, count: 0 },
        at: Stamp { wall: 6, count: 0 },
        parts: [(part, 1)].into_iter().collect(),
    };
    let survival = Survival {
        part,
        at: Stamp { wall: 7, count: 0 },
    };
    let evidence = Evidence {
        breaks: vec![broken],
        survivals: vec![survival],
        ..Evidence::default()
    };
    for message in [
        Message::Evidence(evidence.clone()),
        Message::Query(9, Query::Evidence(evidence.clone())),
    ] {
        let frame = Frame {
            stamp: Stamp { wall: 5, count: 2 },
            message,
        };
        let bytes = encode_frame(&frame).unwrap();
        let body = &bytes[HEADER_BYTES..];
        assert_eq!(decode_frame("peer", body).unwrap(), frame);
        let (earlier, rest): (Frame, &[u8]) = postcard::take_from_bytes(body).unwrap();
        assert!(!rest.is_empty() && earlier.stamp == frame.stamp);
    }
    // A record has the encoding of the first release.
    let record = |evidence| Record::Suspects {
        at: Stamp { wall: 5, count: 2 },
        evidence,
    };
    let stored = encode_value(&record(evidence.clone())).unwrap();
    assert_eq!(stored, encode_value(&record(Evidence::default())).unwrap());
    let plain = evidence.without_breaks();
    let fingerprint = Fingerprint::of_part(part, None);
    assert_eq!(plain.crashes[0].fingerprint, fingerprint);
    assert_eq!(plain.cleared[0].fingerprint, fingerprint);
    assert!(plain.breaks.is_empty() && plain.survivals.is_empty());
}
