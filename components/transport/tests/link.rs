//! Tests of links between processes.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use protocol::codec::MAX_BODY_BYTES;
use protocol::wire::{Extension, Hello, Message, Query};
use state::id::{Epoch, Name, Version};
use state::record::ChangeId;
use state::view::Node;
use std::time::Duration;
use transport::clock::Clock;
use transport::link::{Event, Hub, Socket, Timing, MAX_QUEUED_BYTES};
use transport::tls::{create_authority, issue_certificate, Credentials, Identity};

/// A process with links, in this test's own process.
struct Process {
    hub: Hub,
    events: flume::Receiver<Event>,
    node: Node,
}

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// Starts a process that introduces itself as `vm`, with a certificate issued to `certificate_vm`.
fn process(authority: &Identity, vm: &str, certificate_vm: &str, incarnation: u64) -> Process {
    process_with(authority, (vm, certificate_vm), incarnation, |_| {})
}

/// Starts a process after its socket was changed.
fn process_with<F>(
    authority: &Identity,
    (vm, certificate_vm): (&str, &str),
    incarnation: u64,
    change: F,
) -> Process
where
    F: FnOnce(&mut Socket),
{
    let identity = issue_certificate(authority, &name(certificate_vm)).unwrap();
    let credentials = Credentials::from_pem(&authority.certificate, &identity).unwrap();
    let any = "127.0.0.1:0".parse().unwrap();
    let mut socket = Socket::bind(any, &credentials, Timing::default()).unwrap();
    change(&mut socket);
    let node = Node {
        vm: name(vm),
        address: socket.address().unwrap(),
    };
    let hello = Hello {
        node: node.clone(),
        incarnation,
        operator_address: any,
        data_centre: name("dc-1"),
        extension: Extension::default(),
    };
    let (hub, events) = socket.start(hello, Clock::default());
    Process { hub, events, node }
}

async fn next(process: &Process) -> Option<Event> {
    let wait = tokio::time::timeout(Duration::from_secs(20), process.events.recv_async());
    wait.await.ok()?.ok()
}

async fn is_quiet(process: &Process) -> bool {
    let wait = tokio::time::timeout(Duration::from_millis(800), process.events.recv_async());
    wait.await.is_err()
}

#[tokio::test]
async fn can_carry_messages_in_order_both_ways() {
    let fleet = create_authority().unwrap();
    let (a, b) = (process(&fleet, "a", "a", 1), process(&fleet, "b", "b", 1));
    a.hub.dial(&b.node);
    assert!(matches!(next(&a).await, Some(Event::Up(h)) if h.node == b.node));
    assert!(matches!(next(&b).await, Some(Event::Up(h)) if h.node == a.node));
    for n in 0..500 {
        assert!(a.hub.send(&b.node.vm, Message::RootHeartbeat(Version(n))));
        assert!(b.hub.send(&a.node.vm, Message::Unassigned(Epoch(n))));
    }
    for n in 0..500 {
        let to_b = next(&b).await;
        assert!(
            matches!(to_b, Some(Event::Message(_, Message::RootHeartbeat(v), _)) if v == Version(n))
        );
        let to_a = next(&a).await;
        assert!(
            matches!(to_a, Some(Event::Message(_, Message::Unassigned(e), _)) if e == Epoch(n))
        );
    }
    a.hub.stop().await;
    assert!(matches!(next(&b).await, Some(Event::Down(vm)) if vm == a.node.vm));
    b.hub.stop().await;
}

#[tokio::test]
async fn can_keep_one_link_when_both_sides_open_one() {
    // Symptom: messages arrive out of order, or are sent on a link that the peer does not read.
    // Sequence: two processes open links to each other at the same time.
    // Cause: each process keeps the link that it opened.
    let fleet = create_authority().unwrap();
    for _ in 0..3 {
        let (a, b) = (process(&fleet, "a", "a", 1), process(&fleet, "b", "b", 1));
        a.hub.dial(&b.node);
        b.hub.dial(&a.node);
        assert!(matches!(next(&a).await, Some(Event::Up(_))));
        assert!(matches!(next(&b).await, Some(Event::Up(_))));
        // Whichever link came up first, the one that `a` opened is kept in the end.
        while !is_quiet(&a).await || !is_quiet(&b).await {}
        assert!(a.hub.send(&b.node.vm, Message::RootHeartbeat(Version(1))));
        assert!(b.hub.send(&a.node.vm, Message::RootHeartbeat(Version(2))));
        assert!(matches!(next(&a).await, Some(Event::Message(..))));
        assert!(matches!(next(&b).await, Some(Event::Message(..))));
        a.hub.stop().await;
        b.hub.stop().await;
    }
}

#[tokio::test]
async fn can_refuse_a_peer_of_another_authority_or_with_another_name() {
    // Symptom: a machine outside the fleet receives endpoint slots, or votes.
    // Sequence: the machine opens a link with a certificate of another authority, or with the name
    // of another VM.
    // Cause: the introduction on a link is trusted without verification.
    let fleet = create_authority().unwrap();
    let host = process(&fleet, "host", "host", 1);
    let stranger = process(&create_authority().unwrap(), "a", "a", 1);
    stranger.hub.dial(&host.node);
    let impostor = process(&fleet, "a", "b", 1);
    impostor.hub.dial(&host.node);
    assert!(is_quiet(&host).await);
    assert!(!host.hub.is_up(&name("a")));
    for process in [host, stranger, impostor] {
        process.hub.stop().await;
    }
}

#[tokio::test]
async fn can_replace_the_link_of_an_earlier_incarnation() {
    // Symptom: messages to a restarted process are lost until the idle timeout.
    // Sequence: a process is killed without closing its links, and starts again.
    // Cause: the link of its earlier incarnation is kept.
    let fleet = create_authority().unwrap();
    let host = process(&fleet, "host", "host", 1);
    let first = process(&fleet, "a", "a", 1);
    first.hub.dial(&host.node);
    assert!(matches!(next(&host).await, Some(Event::Up(h)) if h.incarnation == 1));
    let second = process(&fleet, "a", "a", 2);
    second.hub.dial(&host.node);
    assert!(matches!(next(&host).await, Some(Event::Down(_))));
    assert!(matches!(next(&host).await, Some(Event::Up(h)) if h.incarnation == 2));
    for process in [first, second, host] {
        process.hub.stop().await;
    }
}

#[tokio::test]
async fn can_bound_the_bytes_queued_for_a_slow_peer() {
    // Symptom: a process runs out of memory because of one slow peer.
    // Sequence: messages of a megabyte are sent to a peer that does not read.
    // Cause: the send queue is bounded by its number of messages, 8,192, but not by their bytes.
    let fleet = create_authority().unwrap();
    let (a, b) = (process(&fleet, "a", "a", 1), process(&fleet, "b", "b", 1));
    a.hub.dial(&b.node);
    assert!(matches!(next(&a).await, Some(Event::Up(_))));
    let large = Query::Change {
        id: ChangeId(1),
        base: Version(1),
        text: "x".repeat(1 << 20),
    };
    // Nothing is written meanwhile, since this task does not yield to another one.
    let message = || Message::Query(1, large.clone());
    let taken = (0..64).filter(|_| a.hub.send(&b.node.vm, message()));
    assert!(taken.count() < 16);
    // The link is opened again, and transfers messages that fit in its queue.
    assert!(matches!(next(&a).await, Some(Event::Down(_))));
    assert!(matches!(next(&a).await, Some(Event::Up(_))));
    for _ in 0..2 {
        while !matches!(next(&b).await, Some(Event::Up(_))) {}
    }
    for _ in 0..20 {
        assert!(a.hub.send(&b.node.vm, message()));
        while !matches!(next(&b).await, Some(Event::Message(..))) {}
    }
    a.hub.stop().await;
    b.hub.stop().await;
}

/// Guards against a message that is lost while both sides take the link for complete.
#[tokio::test]
async fn closes_a_link_on_which_a_message_cannot_be_sent() {
    let fleet = create_authority().unwrap();
    let (a, b) = (process(&fleet, "a", "a", 1), process(&fleet, "b", "b", 1));
    a.hub.dial(&b.node);
    for process in [&a, &b] {
        assert!(matches!(next(process).await, Some(Event::Up(_))));
    }
    let too_long = Query::Change {
        id: ChangeId(1),
        base: Version(1),
        text: "x".repeat(MAX_BODY_BYTES),
    };
    assert!(!a.hub.send(&b.node.vm, Message::Query(1, too_long)));
    for process in [&a, &b] {
        assert!(matches!(next(process).await, Some(Event::Down(_))));
        assert!(matches!(next(process).await, Some(Event::Up(_))));
    }
    a.hub.stop().await;
    b.hub.stop().await;
}

/// Guards against queues to several peers that take nothing, each within its bound, that together
/// exhaust the memory.
#[tokio::test]
async fn bounds_the_bytes_queued_for_all_peers_together() {
    let fleet = create_authority().unwrap();
    let a = process_with(&fleet, ("a", "a"), 1, |socket| socket.set_buffer_bytes(0));
    let names = ["b", "c", "d"];
    let peers = names.map(|vm| process(&fleet, vm, vm, 1));
    for peer in &peers {
        a.hub.dial(&peer.node);
        assert!(matches!(next(&a).await, Some(Event::Up(_))));
        assert!(matches!(next(peer).await, Some(Event::Up(_))));
    }
    let query = Query::Change {
        id: ChangeId(1),
        base: Version(1),
        text: "x".repeat(1 << 20),
    };
    // Nothing is written meanwhile, since this task does not yield to another one.
    let queue = |peer: &Process, count: usize| {
        let message = || Message::Query(1, query.clone());
        let taken = (0..count).filter(|_| a.hub.send(&peer.node.vm, message()));
        taken.count()
    };
    assert_eq!(queue(&peers[0], 5), 5);
    assert_eq!(queue(&peers[1], 2), 2);
    // The bound is reached. The link with the longest queue is closed, and no other one.
    assert_eq!(queue(&peers[2], 2), 2);
    assert_eq!(queue(&peers[0], 1), 0);
    assert!(matches!(next(&a).await, Some(Event::Down(vm)) if vm == peers[0].node.vm));
    assert!(matches!(next(&a).await, Some(Event::Up(hello)) if hello.node == peers[0].node));
    for (peer, count) in [(&peers[1], 2), (&peers[2], 2)] {
        for _ in 0..count {
            assert!(matches!(next(peer).await, Some(Event::Message(..))));
        }
    }
    while a.hub.buffered_bytes() > 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    a.hub.stop().await;
    for peer in &peers {
        peer.hub.stop().await;
    }
}

/// Guards against long messages that a process receives faster than it handles them.
#[tokio::test]
async fn receives_no_more_long_messages_than_there_is_room_for() {
    let fleet = create_authority().unwrap();
    let small = |socket: &mut Socket| socket.set_buffer_bytes(0);
    let a = process(&fleet, "a", "a", 1);
    let b = process_with(&fleet, ("b", "b"), 1, small);
    a.hub.dial(&b.node);
    for process in [&a, &b] {
        assert!(matches!(next(process).await, Some(Event::Up(_))));
    }
    let query = Query::Change {
        id: ChangeId(1),
        base: Version(1),
        text: "x".repeat(1 << 20),
    };
    let count = MAX_QUEUED_BYTES >> 21;
    for _ in 0..count {
        assert!(a.hub.send(&b.node.vm, Message::Query(1, query.clone())));
    }
    // The last message of the peer needs no room, but comes after the others.
    assert!(a.hub.send(&b.node.vm, Message::Unsubscribe));
    tokio::time::sleep(Duration::from_millis(800)).await;
    let received = b.events.len();
    assert!((1..count).contains(&received), "{received} were received");
    for _ in 0..count {
        assert!(matches!(
            next(&b).await,
            Some(Event::Message(_, Message::Query(..), _))
        ));
    }
    assert!(matches!(
        next(&b).await,
        Some(Event::Message(_, Message::Unsubscribe, _))
    ));
    a.hub.stop().await;
    b.hub.stop().await;
}

#[tokio::test]
async fn can_simulate_a_partition_from_a_peer() {
    let fleet = create_authority().unwrap();
    let (a, b) = (process(&fleet, "a", "a", 1), process(&fleet, "b", "b", 1));
    a.hub.dial(&b.node);
    assert!(matches!(next(&a).await, Some(Event::Up(_))));
    a.hub.partition(&[name("b")], false);
    assert!(matches!(next(&a).await, Some(Event::Down(_))));
    assert!(is_quiet(&a).await);
    a.hub.partition(&[], false);
    assert!(matches!(next(&a).await, Some(Event::Up(_))));
    a.hub.stop().await;
    b.hub.stop().await;
}
