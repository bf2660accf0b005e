//! Links between processes.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use protocol::wire::{Hello, Message, Query};
use state::id::{Epoch, Name, Version};
use state::record::ChangeId;
use state::view::Node;
use std::time::Duration;
use transport::clock::Clock;
use transport::link::{Event, Hub, Socket, Timing};
use transport::tls::{create_authority, issue_certificate, Credentials, Identity};

struct Side {
    hub: Hub,
    events: flume::Receiver<Event>,
    place: Node,
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn side(authority: &Identity, claims: &str, certified: &str, incarnation: u64) -> Side {
    let pair = issue_certificate(authority, &name(certified)).unwrap();
    let keys = Credentials::from_pem(&authority.certificate, &pair).unwrap();
    let any = "127.0.0.1:0".parse().unwrap();
    let socket = Socket::bind(any, &keys, Timing::default()).unwrap();
    let place = Node {
        vm: name(claims),
        address: socket.address().unwrap(),
    };
    let hello = Hello {
        place: place.clone(),
        incarnation,
        operator_address: any,
        data_centre: name("dc-1"),
    };
    let (hub, events) = socket.start(hello, Clock::default());
    Side { hub, events, place }
}

async fn next(side: &Side) -> Option<Event> {
    let wait = tokio::time::timeout(Duration::from_secs(20), side.events.recv_async());
    wait.await.ok()?.ok()
}

async fn is_quiet(side: &Side) -> bool {
    let wait = tokio::time::timeout(Duration::from_millis(800), side.events.recv_async());
    wait.await.is_err()
}

#[tokio::test]
async fn can_carry_messages_in_order_both_ways() {
    let fleet = create_authority().unwrap();
    let (a, b) = (side(&fleet, "a", "a", 1), side(&fleet, "b", "b", 1));
    a.hub.dial(&b.place);
    assert!(matches!(next(&a).await, Some(Event::Up(h)) if h.place == b.place));
    assert!(matches!(next(&b).await, Some(Event::Up(h)) if h.place == a.place));
    for n in 0..500 {
        assert!(a.hub.send(&b.place.vm, Message::VersionProof(Version(n))));
        assert!(b.hub.send(&a.place.vm, Message::Unassigned(Epoch(n))));
    }
    for n in 0..500 {
        let to_b = next(&b).await;
        assert!(
            matches!(to_b, Some(Event::Message(_, Message::VersionProof(v))) if v == Version(n))
        );
        let to_a = next(&a).await;
        assert!(matches!(to_a, Some(Event::Message(_, Message::Unassigned(e))) if e == Epoch(n)));
    }
    a.hub.stop().await;
    assert!(matches!(next(&b).await, Some(Event::Down(vm)) if vm == a.place.vm));
    b.hub.stop().await;
}

#[tokio::test]
async fn can_agree_on_one_link_when_both_open_one() {
    // Symptom: messages overtake each other, or go to a link that nobody reads.
    // Sequence: two processes open links to each other at the same time.
    // Cause: each keeps the one that it opened.
    let fleet = create_authority().unwrap();
    for _ in 0..3 {
        let (a, b) = (side(&fleet, "a", "a", 1), side(&fleet, "b", "b", 1));
        a.hub.dial(&b.place);
        b.hub.dial(&a.place);
        assert!(matches!(next(&a).await, Some(Event::Up(_))));
        assert!(matches!(next(&b).await, Some(Event::Up(_))));
        // Whichever came first, the one that `a` opened is left in the end.
        while !is_quiet(&a).await || !is_quiet(&b).await {}
        assert!(a.hub.send(&b.place.vm, Message::VersionProof(Version(1))));
        assert!(b.hub.send(&a.place.vm, Message::VersionProof(Version(2))));
        assert!(matches!(next(&a).await, Some(Event::Message(..))));
        assert!(matches!(next(&b).await, Some(Event::Message(..))));
        a.hub.stop().await;
        b.hub.stop().await;
    }
}

#[tokio::test]
async fn can_refuse_a_stranger_and_a_name_that_is_not_its_own() {
    // Symptom: a machine outside the fleet is given slots, or votes.
    // Sequence: it opens a link with a certificate of its own authority, or
    // with another VM's name.
    // Cause: links that trust what is said over them.
    let fleet = create_authority().unwrap();
    let host = side(&fleet, "host", "host", 1);
    let stranger = side(&create_authority().unwrap(), "a", "a", 1);
    stranger.hub.dial(&host.place);
    let impostor = side(&fleet, "a", "b", 1);
    impostor.hub.dial(&host.place);
    assert!(is_quiet(&host).await);
    assert!(!host.hub.is_up(&name("a")));
    for side in [host, stranger, impostor] {
        side.hub.stop().await;
    }
}

#[tokio::test]
async fn can_replace_the_link_of_a_former_life() {
    // Symptom: messages to a restarted process go nowhere until a time-out.
    // Sequence: a process dies without a word and comes back.
    // Cause: the link of its former life is kept.
    let fleet = create_authority().unwrap();
    let host = side(&fleet, "host", "host", 1);
    let first = side(&fleet, "a", "a", 1);
    first.hub.dial(&host.place);
    assert!(matches!(next(&host).await, Some(Event::Up(h)) if h.incarnation == 1));
    let second = side(&fleet, "a", "a", 2);
    second.hub.dial(&host.place);
    assert!(matches!(next(&host).await, Some(Event::Down(_))));
    assert!(matches!(next(&host).await, Some(Event::Up(h)) if h.incarnation == 2));
    for side in [first, second, host] {
        side.hub.stop().await;
    }
}

#[tokio::test]
async fn can_bound_the_bytes_that_wait_for_a_slow_peer() {
    // What waits on a link was bounded by messages, 8,192, whatever their size. To a
    // peer that takes nothing 64 messages of a megabyte were all accepted and held;
    // 8,192 would have been more than any VM has.
    let fleet = create_authority().unwrap();
    let (a, b) = (side(&fleet, "a", "a", 1), side(&fleet, "b", "b", 1));
    a.hub.dial(&b.place);
    assert!(matches!(next(&a).await, Some(Event::Up(_))));
    let large = Query::Change {
        id: ChangeId(1),
        base: Version(1),
        text: "x".repeat(1 << 20),
    };
    // Nothing leaves meanwhile: this task does not wait, and no other one runs.
    let message = || Message::Query(1, large.clone());
    let taken = (0..64).filter(|_| a.hub.send(&b.place.vm, message()));
    assert!(taken.count() < 16);
    // The link is opened anew, and carries again what fits.
    assert!(matches!(next(&a).await, Some(Event::Down(_))));
    assert!(matches!(next(&a).await, Some(Event::Up(_))));
    for _ in 0..2 {
        while !matches!(next(&b).await, Some(Event::Up(_))) {}
    }
    for _ in 0..20 {
        assert!(a.hub.send(&b.place.vm, message()));
        while !matches!(next(&b).await, Some(Event::Message(..))) {}
    }
    a.hub.stop().await;
    b.hub.stop().await;
}

#[tokio::test]
async fn can_cut_a_peer_off_for_tests() {
    let fleet = create_authority().unwrap();
    let (a, b) = (side(&fleet, "a", "a", 1), side(&fleet, "b", "b", 1));
    a.hub.dial(&b.place);
    assert!(matches!(next(&a).await, Some(Event::Up(_))));
    a.hub.partition(&[name("b")], false);
    assert!(matches!(next(&a).await, Some(Event::Down(_))));
    assert!(is_quiet(&a).await);
    a.hub.partition(&[], false);
    assert!(matches!(next(&a).await, Some(Event::Up(_))));
    a.hub.stop().await;
    b.hub.stop().await;
}
