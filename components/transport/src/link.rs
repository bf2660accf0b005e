//! Links to other processes over QUIC, with certificates on both sides.
//!
//! Two processes have at most one link. Its messages arrive complete and in order, or the link is
//! reported as down. Messages of a lost link are not sent again on the next one.

use crate::clock::Clock;
use crate::tls::{self, Credentials};
use bytes::Bytes;
use errors::{Error, Result};
use protocol::codec;
use protocol::wire::{Frame, Hello, Message};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls_pki_types::CertificateDer;
use state::id::Name;
use state::line::Line;
use state::view::Node;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::{JoinHandle, JoinSet};

/// Most frames in the send queue of a link; a link with more is closed.
///
/// The queue for a peer that does not read would otherwise grow without bound.
const MAX_QUEUED_FRAMES: usize = 8192;
/// Most bytes in the send queue of a link; a link with more is closed.
///
/// Full views and configurations take megabytes, and thousands of them for one slow peer would
/// exhaust the memory of a VM. The bound is two of the longest frames.
pub const MAX_QUEUED_BYTES: usize = 2 * (codec::HEADER_BYTES + codec::MAX_BODY_BYTES);
/// Default of the most bytes of frames that all links hold together.
const DEFAULT_BUFFER_BYTES: usize = 8 * MAX_QUEUED_BYTES;
/// Longest frame that is received without reserving room for it.
///
/// Short frames are not delayed by long ones from other peers that wait to be handled.
const UNRESERVED_BYTES: usize = 16 * 1024;
/// Most bytes of longer frames that are received and not handled yet, as a divisor of the bytes that
/// may wait to be sent: a decoded message takes several times the memory of its frame.
const RECEIVED_DIVISOR: usize = 4;
/// Time between two attempts to open a link.
const REDIAL_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time to open a link, including the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// What links report to this process.
#[derive(Debug)]
pub enum Event {
    /// A link to this peer is up.
    Up(Hello),
    /// The link to this VM is down.
    Down(Name),
    /// A message from this VM has arrived. The room that it takes is free once the last value is
    /// dropped.
    Message(Name, Message, Room),
}

/// Room that a long message takes until it is handled. While there is none, no further long message
/// is received, so that its sender's queue grows instead of the memory of this process.
#[derive(Debug, Default)]
pub struct Room(
    #[expect(dead_code, reason = "held until it is dropped")] Option<OwnedSemaphorePermit>,
);

/// Timing of links.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time without any packet after which a link is down.
    pub idle_timeout: Duration,
    /// Time between keep-alive packets on an idle link.
    pub keep_alive_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            idle_timeout: Duration::from_millis(1500),
            keep_alive_interval: Duration::from_millis(400),
        }
    }
}

/// Traffic counters of all links.
#[derive(Debug, Default)]
pub struct Counts {
    /// Number and bytes of sent frames by kind of message, without headers of lower layers.
    by_kind: Mutex<BTreeMap<&'static str, (u64, u64)>>,
    /// UDP datagrams and bytes of links that are closed, in both directions.
    closed_traffic: Mutex<(u64, u64)>,
}

impl Counts {
    /// Number and bytes of sent frames by kind of message, without headers of lower layers.
    pub fn frames_by_kind(&self) -> BTreeMap<&'static str, (u64, u64)> {
        self.by_kind
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Counts a sent frame.
    fn count_sent(&self, kind: &'static str, bytes: u64) {
        let mut by_kind = self.by_kind.lock().unwrap_or_else(PoisonError::into_inner);
        let (frames, total) = by_kind.entry(kind).or_default();
        *frames += 1;
        *total += bytes;
    }
}

/// The bytes of an encoded frame. They count as buffered until the last link has dropped them.
struct Buffer {
    bytes: Vec<u8>,
    /// Bytes of the frames that all links hold.
    buffered: Arc<AtomicUsize>,
}

impl Buffer {
    fn new(bytes: Vec<u8>, buffered: &Arc<AtomicUsize>) -> Self {
        buffered.fetch_add(bytes.len(), Ordering::Relaxed);
        Buffer {
            bytes,
            buffered: buffered.clone(),
        }
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.buffered.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

/// An encoded message, which several peers may be sent.
#[derive(Clone)]
pub struct Encoded {
    /// Kind of the message, for counters.
    kind: &'static str,
    frame: Bytes,
}

impl Encoded {
    /// Length of the frame in bytes.
    pub fn length(&self) -> usize {
        self.frame.len()
    }
}

/// A link that is up.
struct Link {
    /// Introduction of the peer.
    hello: Hello,
    /// Number that distinguishes this link from later ones to the same peer.
    serial: u64,
    /// Whether this process opened the link.
    is_dialed: bool,
    /// Send queue of encoded frames.
    sender: flume::Sender<Bytes>,
    /// Bytes in the send queue, and those that are being written.
    queued_bytes: Arc<AtomicUsize>,
    /// Whether the link was closed because of its send queue.
    is_backlogged: AtomicBool,
    connection: quinn::Connection,
}

impl Link {
    /// Adds a frame to the send queue; returns false if the queue is or was full.
    fn queue(&self, frame: Bytes) -> bool {
        if self.is_backlogged.load(Ordering::Relaxed) {
            return false;
        }
        let length = frame.len();
        let queued_bytes = self.queued_bytes.fetch_add(length, Ordering::Relaxed);
        queued_bytes + length <= MAX_QUEUED_BYTES && self.sender.try_send(frame).is_ok()
    }

    /// Closes the link because its peer does not take what is queued.
    fn close_backlogged(&self) {
        if self.is_backlogged.swap(true, Ordering::Relaxed) {
            return;
        }
        tracing::warn!(
            event = Line::LinkBacklogged.as_str(),
            peer = %self.hello.node.vm,
            queued = self.sender.len(),
            queued_bytes = self.queued_bytes.load(Ordering::Relaxed),
        );
        self.connection.close(1_u8.into(), b"backlog");
    }
}

/// Links of this process, by the name of the peer's VM.
#[derive(Default)]
struct Table {
    /// Links that are up.
    links: HashMap<Name, Link>,
    /// Tasks that keep links open.
    dials: HashMap<Name, JoinHandle<()>>,
    /// Peers to which a test has closed the links, and refuses new ones.
    partitioned: HashSet<Name>,
    /// Peers from and to which a test drops all messages, while the links stay up.
    muted: HashSet<Name>,
    /// Serial of the newest link.
    serial: u64,
}

impl Table {
    /// Closes links, the one with the most queued bytes first, until the frames that remain after
    /// these links have ended are within `most` bytes.
    fn shed(&self, buffered: usize, most: usize) {
        let queued = |link: &Link| link.queued_bytes.load(Ordering::Relaxed);
        let is_closed = |link: &Link| link.is_backlogged.load(Ordering::Relaxed);
        let (closed, mut open): (Vec<&Link>, Vec<&Link>) =
            self.links.values().partition(|link| is_closed(link));
        let ending: usize = closed.into_iter().map(queued).sum();
        let mut left = buffered.saturating_sub(ending);
        open.sort_by_key(|link| std::cmp::Reverse(queued(link)));
        for link in open {
            // Frames that are sent but not acknowledged are in no queue.
            if left <= most || queued(link) == 0 {
                return;
            }
            left = left.saturating_sub(queued(link));
            link.close_backlogged();
        }
    }
}

/// State that all clones of a [`Hub`] share.
struct Inner {
    /// Introduction of this process.
    hello: Hello,
    clock: Clock,
    endpoint: quinn::Endpoint,
    client: quinn::ClientConfig,
    /// Whether peers must prove their identity by a certificate.
    verifies_peers: bool,
    table: Mutex<Table>,
    events: flume::Sender<Event>,
    counts: Counts,
    /// Bytes of the frames that all links hold, in queues or until they are acknowledged.
    buffered: Arc<AtomicUsize>,
    /// Most such bytes; beyond it, links with long queues are closed.
    max_buffered: usize,
    /// Room in bytes for long messages that are received and not handled yet.
    room: Arc<Semaphore>,
    /// Room that there is if no message is received.
    max_room: usize,
    /// The one task that owns all others; joined by [`Hub::stop`].
    tasks: tokio::sync::Mutex<JoinSet<()>>,
    /// Sends tasks to the one that owns them.
    spawn: flume::Sender<Task>,
}

/// A task that serves a link.
type Task = std::pin::Pin<Box<dyn std::future::Future<Output = ()> + Send>>;

/// All links of this process. Clones share their state.
#[derive(Clone)]
pub struct Hub {
    inner: Arc<Inner>,
}

/// A bound socket that does not accept links yet. A process needs the bound address for its
/// introduction to peers.
pub struct Socket {
    endpoint: quinn::Endpoint,
    client: quinn::ClientConfig,
    verifies_peers: bool,
    /// Most bytes of frames that all links hold together.
    buffer_bytes: usize,
}

impl Socket {
    /// Binds the address of the links; with port 0, the operating system chooses the port.
    ///
    /// # Errors
    ///
    /// When the credentials are invalid or the address cannot be bound.
    pub fn bind(address: SocketAddr, credentials: &Credentials, timing: Timing) -> Result<Self> {
        let step = "prepare links";
        let idle = quinn::IdleTimeout::try_from(timing.idle_timeout).map_err(Error::key(step))?;
        let transport = |keep_alive| {
            let mut transport = quinn::TransportConfig::default();
            transport.keep_alive_interval(keep_alive);
            transport.max_idle_timeout(Some(idle));
            // Most messages are small, so probing for larger datagrams would cost more than it
            // saves.
            transport.mtu_discovery_config(None);
            transport.max_concurrent_bidi_streams(0_u8.into());
            transport.max_concurrent_uni_streams(1_u8.into());
            Arc::new(transport)
        };
        let server =
            QuicServerConfig::try_from(credentials.server_config()?).map_err(Error::key(step))?;
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
        // Keep-alive packets of the dialing side, and their acknowledgements, serve both sides.
        server.transport_config(transport(None));
        let client =
            QuicClientConfig::try_from(credentials.client_config()?).map_err(Error::key(step))?;
        let mut client = quinn::ClientConfig::new(Arc::new(client));
        client.transport_config(transport(Some(timing.keep_alive_interval)));
        let endpoint = quinn::Endpoint::server(server, address).map_err(Error::file(
            "bind the address of the links",
            address.to_string(),
        ))?;
        Ok(Socket {
            endpoint,
            client,
            verifies_peers: credentials.verifies_peers(),
            buffer_bytes: DEFAULT_BUFFER_BYTES,
        })
    }

    /// Sets the most bytes of frames that all links hold together, at least [`MAX_QUEUED_BYTES`].
    pub fn set_buffer_bytes(&mut self, bytes: usize) {
        self.buffer_bytes = bytes.max(MAX_QUEUED_BYTES);
    }

    /// Address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// When the operating system does not return the address.
    pub fn address(&self) -> Result<SocketAddr> {
        let step = "get the address of the links";
        self.endpoint
            .local_addr()
            .map_err(Error::file(step, "(socket)"))
    }

    /// Starts to accept links; returns the hub and the events of all its links.
    pub fn start(self, hello: Hello, clock: Clock) -> (Hub, flume::Receiver<Event>) {
        let (events, receiver) = flume::unbounded();
        let (spawn, tasks) = flume::unbounded::<Task>();
        let max_room = (self.buffer_bytes / RECEIVED_DIVISOR).max(codec::MAX_BODY_BYTES);
        let inner = Arc::new(Inner {
            hello,
            clock,
            endpoint: self.endpoint,
            client: self.client,
            verifies_peers: self.verifies_peers,
            table: Mutex::default(),
            events,
            counts: Counts::default(),
            buffered: Arc::default(),
            max_buffered: self.buffer_bytes,
            room: Arc::new(Semaphore::new(max_room)),
            max_room,
            tasks: tokio::sync::Mutex::new(JoinSet::new()),
            spawn,
        });
        let hub = Hub { inner };
        hub.inner.start_tasks(tasks);
        (hub, receiver)
    }
}

impl Inner {
    /// Starts the task that accepts links, and that owns and joins the tasks of all links.
    fn start_tasks(self: &Arc<Self>, tasks: flume::Receiver<Task>) {
        let hub = Hub {
            inner: self.clone(),
        };
        if let Ok(mut set) = self.tasks.try_lock() {
            set.spawn(async move {
                let mut links = JoinSet::new();
                let accepting = hub.accept();
                tokio::pin!(accepting);
                loop {
                    tokio::select! {
                        () = &mut accepting => break,
                        Ok(task) = tasks.recv_async() => { links.spawn(task); }
                        Some(_) = links.join_next() => {}
                    }
                }
                links.shutdown().await;
            });
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Hub {
    /// Introduction of this process, as peers receive it.
    pub fn hello(&self) -> &Hello {
        &self.inner.hello
    }

    /// Traffic counters of all links.
    pub fn counts(&self) -> &Counts {
        &self.inner.counts
    }

    /// UDP datagrams and bytes, sent and received, of all links since the start.
    pub fn udp_traffic(&self) -> (u64, u64) {
        let closed_traffic = self.inner.counts.closed_traffic.lock();
        let mut total = *closed_traffic.unwrap_or_else(PoisonError::into_inner);
        for link in self.inner.table().links.values() {
            let (datagrams, bytes) = traffic(&link.connection);
            total.0 += datagrams;
            total.1 += bytes;
        }
        total
    }

    /// Keeps a link to a peer open from now on: opens it, and opens it again when it is lost.
    pub fn dial(&self, node: &Node) {
        if node.vm == self.inner.hello.node.vm {
            return;
        }
        let mut table = self.inner.table();
        if table.dials.contains_key(&node.vm) {
            return;
        }
        let (hub, owned_node) = (self.clone(), node.clone());
        let handle = tokio::spawn(async move { hub.keep_open(owned_node).await });
        table.dials.insert(node.vm.clone(), handle);
    }

    /// Stops keeping a link to a peer open; a link that is up stays up.
    pub fn undial(&self, vm: &Name) {
        if let Some(handle) = self.inner.table().dials.remove(vm) {
            handle.abort();
        }
    }

    /// Peers to which this process keeps links open.
    pub fn dialed_peers(&self) -> Vec<Name> {
        self.inner.table().dials.keys().cloned().collect()
    }

    /// Closes the link to a peer, and stops keeping it open.
    pub fn close(&self, vm: &Name) {
        self.undial(vm);
        if let Some(link) = self.inner.table().links.get(vm) {
            link.connection.close(0_u8.into(), b"not needed");
        }
    }

    /// Whether the link to a VM is up; true for the VM of this process.
    pub fn is_up(&self, vm: &Name) -> bool {
        *vm == self.inner.hello.node.vm || self.inner.table().links.contains_key(vm)
    }

    /// Introductions of all peers whose links are up.
    pub fn peers(&self) -> Vec<Hello> {
        self.inner
            .table()
            .links
            .values()
            .map(|l| l.hello.clone())
            .collect()
    }

    /// Bytes of the frames that all links hold, in queues or until they are acknowledged.
    pub fn buffered_bytes(&self) -> usize {
        self.inner.buffered.load(Ordering::Relaxed)
    }

    /// Queues a message to a VM; returns false if there is no link, or the message cannot be sent on
    /// it. The link is closed then, so that both sides know that a message is missing. A message to
    /// this process itself arrives as an event.
    pub fn send(&self, vm: &Name, message: Message) -> bool {
        if *vm == self.inner.hello.node.vm {
            let event = Event::Message(vm.clone(), message, Room::default());
            return self.inner.events.send(event).is_ok();
        }
        if !self.is_up(vm) {
            return false;
        }
        let kind = message.kind();
        match self.encode(message) {
            Ok(encoded) => self.send_encoded(vm, &encoded),
            Err(error) => {
                tracing::error!(event = Line::MessageLost.as_str(), peer = %vm, kind, %error);
                if let Some(link) = self.inner.table().links.get(vm) {
                    link.connection.close(4_u8.into(), b"message too long");
                }
                false
            }
        }
    }

    /// Encodes a message once for several peers.
    ///
    /// # Errors
    ///
    /// When the message is longer than a frame may be.
    pub fn encode(&self, message: Message) -> Result<Encoded> {
        let kind = message.kind();
        let frame = Frame {
            stamp: self.inner.clock.stamp(),
            message,
        };
        let bytes = codec::encode_frame(&frame)?;
        let buffer = Buffer::new(bytes, &self.inner.buffered);
        Ok(Encoded {
            kind,
            frame: Bytes::from_owner(buffer),
        })
    }

    /// Queues an encoded message to another VM; returns false if there is no link, or its send queue
    /// is full. The link is closed then.
    pub fn send_encoded(&self, vm: &Name, message: &Encoded) -> bool {
        let table = self.inner.table();
        let Some(link) = table.links.get(vm) else {
            return false;
        };
        if table.muted.contains(vm) {
            return true;
        }
        if !link.queue(message.frame.clone()) {
            link.close_backlogged();
            return false;
        }
        let buffered = self.buffered_bytes();
        if buffered > self.inner.max_buffered {
            table.shed(buffered, self.inner.max_buffered);
        }
        self.inner
            .counts
            .count_sent(message.kind, message.frame.len() as u64);
        !link.is_backlogged.load(Ordering::Relaxed)
    }

    /// For failure tests: simulates a network partition from exactly these peers. With `silent`,
    /// links stay up and their messages are dropped; otherwise links are closed and refused.
    pub fn partition(&self, peers: &[Name], silent: bool) {
        let mut table = self.inner.table();
        let partitioned_peers: HashSet<Name> = peers.iter().cloned().collect();
        if silent {
            table.muted = partitioned_peers;
            table.partitioned.clear();
            return;
        }
        table.muted.clear();
        for vm in &partitioned_peers {
            if let Some(link) = table.links.get(vm) {
                link.connection.close(2_u8.into(), b"cut");
            }
        }
        table.partitioned = partitioned_peers;
    }

    /// Closes all links and joins all tasks.
    pub async fn stop(&self) {
        let dials: Vec<JoinHandle<()>> = {
            let mut table = self.inner.table();
            table.dials.drain().map(|(_, handle)| handle).collect()
        };
        for dial in dials {
            dial.abort();
            // The error of an aborted task is expected.
            let _ = dial.await;
        }
        self.inner.endpoint.close(0_u8.into(), b"stop");
        let mut tasks = self.inner.tasks.lock().await;
        while tasks.join_next().await.is_some() {}
        self.inner.endpoint.wait_idle().await;
    }

    /// Accepts links until the endpoint is closed.
    async fn accept(self) {
        while let Some(incoming) = self.inner.endpoint.accept().await {
            let hub = self.clone();
            let task = async move {
                let opened = tokio::time::timeout(OPEN_TIMEOUT, async {
                    let connection = incoming.await.map_err(Error::peer("accept a link", "?"))?;
                    hub.handshake(connection, None).await
                });
                match opened.await {
                    Ok(Ok(run)) => run.await,
                    Ok(Err(error)) => tracing::debug!(%error, "a link was refused"),
                    Err(_) => tracing::debug!("a link was refused: the handshake took too long"),
                }
            };
            if self.inner.spawn.send(Box::pin(task)).is_err() {
                return;
            }
        }
    }

    /// Opens the link to a peer whenever it is down, until the task is aborted.
    async fn keep_open(self, node: Node) {
        loop {
            let linked = self.is_up(&node.vm) || self.inner.table().partitioned.contains(&node.vm);
            if !linked {
                match tokio::time::timeout(OPEN_TIMEOUT, self.open(&node)).await {
                    // The owner of all tasks runs the link, so that the link outlives this task.
                    Ok(Ok(run)) => drop(self.inner.spawn.send(run)),
                    Ok(Err(error)) => tracing::trace!(%error, "a link could not be opened"),
                    Err(_) => tracing::trace!(peer = %node.vm, "a link took too long to open"),
                }
            }
            tokio::time::sleep(REDIAL_INTERVAL).await;
        }
    }

    /// Opens a link; returns the task that serves it.
    async fn open(&self, node: &Node) -> Result<Task> {
        let step = "open a link";
        let connecting = self
            .inner
            .endpoint
            .connect_with(
                self.inner.client.clone(),
                node.address,
                &tls::server_name(&node.vm),
            )
            .map_err(Error::peer(step, &node.vm))?;
        let connection = connecting.await.map_err(Error::peer(step, &node.vm))?;
        self.handshake(connection, Some(&node.vm)).await
    }

    /// Exchanges introductions with the peer; returns the task that serves the link. A dialed peer
    /// must be the VM `expected`.
    async fn handshake(
        &self,
        connection: quinn::Connection,
        expected: Option<&Name>,
    ) -> Result<Task> {
        let remote = connection.remote_address();
        let step = "greet";
        let mut output = connection
            .open_uni()
            .await
            .map_err(Error::peer(step, remote))?;
        let hello = Frame {
            stamp: self.inner.clock.stamp(),
            message: Message::Hello(self.inner.hello.clone()),
        };
        let bytes = codec::encode_frame(&hello)?;
        output
            .write_all(&bytes)
            .await
            .map_err(Error::peer(step, remote))?;
        let mut input = connection
            .accept_uni()
            .await
            .map_err(Error::peer(step, remote))?;
        let frame = read_frame(&mut input, &remote.to_string(), async |_| {}).await?;
        self.inner.clock.merge(frame.stamp);
        let Message::Hello(hello) = frame.message else {
            return Err(peer_error(remote, "its first message was not a hello"));
        };
        if self.inner.verifies_peers && !is_certified(&connection, &hello.node.vm) {
            return Err(peer_error(
                remote,
                "its certificate is issued to another VM",
            ));
        }
        if expected.is_some_and(|vm| *vm != hello.node.vm) {
            return Err(peer_error(remote, "another VM accepted the link"));
        }
        let vm = hello.node.vm.clone();
        let (sender, receiver) = flume::bounded(MAX_QUEUED_FRAMES);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let queue = (sender, queued_bytes.clone());
        let serial = self
            .register(hello, expected.is_some(), queue, &connection)
            .ok_or_else(|| peer_error(remote, "another link to this peer is kept"))?;
        let hub = self.clone();
        Ok(Box::pin(async move {
            let why = tokio::select! {
                why = write_frames(&mut output, &receiver, &queued_bytes) => why,
                why = hub.read_frames(&mut input, &vm) => why,
            };
            connection.close(0_u8.into(), b"end");
            hub.unregister(&vm, serial, &connection);
            tracing::debug!(peer = %vm, %why, "a link ended");
        }))
    }

    /// Adds a new link to the table, where it may replace an older one to the same peer. Returns
    /// its serial, or `None` if the link is refused.
    ///
    /// Two processes can open links to each other at the same time. If each kept its own link,
    /// messages would use two links and lose their order. The link that the VM with the smaller
    /// name opened is kept.
    fn register(
        &self,
        hello: Hello,
        is_dialed: bool,
        (sender, queued_bytes): (flume::Sender<Bytes>, Arc<AtomicUsize>),
        connection: &quinn::Connection,
    ) -> Option<u64> {
        let mut table = self.inner.table();
        let vm = hello.node.vm.clone();
        let own = &self.inner.hello.node.vm;
        if table.partitioned.contains(&vm) || vm == *own {
            return None;
        }
        if let Some(old) = table.links.get(&vm) {
            let is_restarted = old.hello.incarnation != hello.incarnation;
            let has_same_dialer = old.is_dialed == is_dialed;
            let is_preferred = is_dialed == (*own < vm);
            let is_closed = old.connection.close_reason().is_some();
            if !(is_restarted || has_same_dialer || is_preferred || is_closed) {
                return None;
            }
            old.connection.close(3_u8.into(), b"replaced");
            self.count_closed(&old.connection);
            let _ = self.inner.events.send(Event::Down(vm.clone()));
        }
        table.serial += 1;
        let serial = table.serial;
        let link = Link {
            hello: hello.clone(),
            serial,
            is_dialed,
            sender,
            queued_bytes,
            is_backlogged: AtomicBool::new(false),
            connection: connection.clone(),
        };
        table.links.insert(vm, link);
        // Sending fails only at the end of this process.
        let _ = self.inner.events.send(Event::Up(hello));
        Some(serial)
    }

    /// Removes a link from the table, unless a newer one has replaced it.
    fn unregister(&self, vm: &Name, serial: u64, connection: &quinn::Connection) {
        let mut table = self.inner.table();
        if table.links.get(vm).is_some_and(|l| l.serial == serial) {
            table.links.remove(vm);
            self.count_closed(connection);
            let _ = self.inner.events.send(Event::Down(vm.clone()));
        }
    }

    /// Adds the traffic of a closed connection to the counters.
    fn count_closed(&self, connection: &quinn::Connection) {
        let (datagrams, bytes) = traffic(connection);
        let closed_traffic = self.inner.counts.closed_traffic.lock();
        let mut closed_traffic = closed_traffic.unwrap_or_else(PoisonError::into_inner);
        closed_traffic.0 += datagrams;
        closed_traffic.1 += bytes;
    }

    /// Reads frames from a link and reports their messages; returns why reading ended.
    async fn read_frames(&self, input: &mut quinn::RecvStream, vm: &Name) -> Error {
        let mut room = Room::default();
        loop {
            let reserve = async |length| room = self.reserve(length).await;
            let frame = match read_frame(input, vm.as_str(), reserve).await {
                Ok(frame) => frame,
                Err(error) => return error,
            };
            let room = std::mem::take(&mut room);
            if self.inner.table().muted.contains(vm) {
                continue;
            }
            self.inner.clock.merge(frame.stamp);
            let event = Event::Message(vm.clone(), frame.message, room);
            if self.inner.events.send(event).is_err() {
                return peer_error(vm, "this process is stopping");
            }
        }
    }

    /// Waits until there is room for a message whose body has this length.
    async fn reserve(&self, length: usize) -> Room {
        if length <= UNRESERVED_BYTES {
            return Room::default();
        }
        // CAST: the length of a body is at most 4 MiB.
        let bytes = length.min(self.inner.max_room) as u32;
        let permit = self.inner.room.clone().acquire_many_owned(bytes).await;
        // The semaphore is never closed.
        Room(permit.ok())
    }
}

/// UDP datagrams and bytes of a connection, sent and received.
fn traffic(connection: &quinn::Connection) -> (u64, u64) {
    let stats = connection.stats();
    (
        stats.udp_tx.datagrams + stats.udp_rx.datagrams,
        stats.udp_tx.bytes + stats.udp_rx.bytes,
    )
}

/// Whether the certificate of the peer is issued to `vm`.
fn is_certified(connection: &quinn::Connection, vm: &Name) -> bool {
    let chain = connection.peer_identity();
    let chain = chain.and_then(|c| c.downcast::<Vec<CertificateDer<'static>>>().ok());
    let first = chain.as_ref().and_then(|c| c.first());
    first.is_some_and(|c| tls::is_issued_to(c, vm))
}

/// Error for a peer whose link is refused or has ended.
fn peer_error<P>(peer: P, reason: &str) -> Error
where
    P: ToString,
{
    Error::Peer {
        step: "greet",
        peer: peer.to_string(),
        reason: reason.to_owned(),
    }
}

/// Writes queued frames to a link; returns why writing ended.
async fn write_frames(
    output: &mut quinn::SendStream,
    frames: &flume::Receiver<Bytes>,
    queued_bytes: &AtomicUsize,
) -> Error {
    loop {
        let Ok(first) = frames.recv_async().await else {
            return peer_error("?", "the link was replaced");
        };
        // Frames that are queued already are written together, to share datagrams.
        let mut batch = vec![first];
        batch.extend(frames.try_iter().take(63));
        let length = batch.iter().map(Bytes::len).sum();
        if let Err(error) = output.write_all_chunks(&mut batch).await {
            return Error::peer("write", "?")(error);
        }
        queued_bytes.fetch_sub(length, Ordering::Relaxed);
    }
}

/// Reads one frame from a link. `reserve` waits for room for a body of this length.
async fn read_frame<F>(input: &mut quinn::RecvStream, peer: &str, reserve: F) -> Result<Frame>
where
    F: AsyncFnOnce(usize),
{
    let step = "read a frame";
    let mut head = [0; codec::HEADER_BYTES];
    input
        .read_exact(&mut head)
        .await
        .map_err(Error::peer(step, peer))?;
    let length = codec::body_length(peer, head)?;
    reserve(length).await;
    let mut body = vec![0; length];
    input
        .read_exact(&mut body)
        .await
        .map_err(Error::peer(step, peer))?;
    codec::decode_frame(peer, &body)
}
