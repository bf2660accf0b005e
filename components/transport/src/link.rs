//! Links to other processes over QUIC, with certificates on both sides.
//!
//! There is one link between two processes. Messages on it arrive whole and
//! in order, or the link is reported down. A later link is a new one.

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
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet};

/// Messages that wait on one link; past them the link is cut.
///
/// A peer that takes nothing would otherwise hold ever more of our memory.
const BACKLOG: usize = 8192;
/// Bytes that wait on one link; past them the link is cut, too.
///
/// Whole views and configurations are megabytes: thousands of them for one slow peer are
/// more than a VM has. Two of the largest messages fit.
const BACKLOG_BYTES: usize = 2 * (codec::HEADER_BYTES + codec::MAX_BODY_BYTES);
/// Time between two tries to open a link.
const REDIAL: Duration = Duration::from_millis(150);
/// Longest time to open a link.
const OPEN: Duration = Duration::from_secs(2);

/// What links report.
#[derive(Debug)]
pub enum Event {
    /// A link came up.
    Up(Hello),
    /// A link was lost.
    Down(Name),
    /// A message arrived.
    Message(Name, Message),
}

/// Timing of links.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Silence after which a link is down.
    pub idle_timeout: Duration,
    /// Time between signs of life on a quiet link.
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

/// Counters of all links.
#[derive(Debug, Default)]
pub struct Counts {
    /// Frames sent and their bytes, without headers of lower layers, by kind.
    kinds: Mutex<BTreeMap<&'static str, (u64, u64)>>,
    /// UDP datagrams and bytes of links that have ended, both ways.
    ended: Mutex<(u64, u64)>,
}

impl Counts {
    /// Frames sent and their bytes, without headers of lower layers, by kind.
    pub fn frames_by_kind(&self) -> BTreeMap<&'static str, (u64, u64)> {
        self.kinds
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn sent(&self, kind: &'static str, bytes: u64) {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let (frames, total) = kinds.entry(kind).or_default();
        *frames += 1;
        *total += bytes;
    }
}

struct Link {
    hello: Hello,
    serial: u64,
    dialed: bool,
    sender: flume::Sender<Bytes>,
    /// Bytes that wait on it.
    waiting: Arc<AtomicUsize>,
    connection: quinn::Connection,
}

impl Link {
    /// Queues a frame; false if more waits already than may.
    fn queue(&self, frame: Bytes) -> bool {
        let length = frame.len();
        let waiting = self.waiting.fetch_add(length, Ordering::Relaxed);
        waiting + length <= BACKLOG_BYTES && self.sender.try_send(frame).is_ok()
    }
}

#[derive(Default)]
struct Table {
    links: HashMap<Name, Link>,
    dials: HashMap<Name, JoinHandle<()>>,
    /// Peers that a test has cut off.
    cut: HashSet<Name>,
    /// Peers whose messages a test drops in silence.
    mute: HashSet<Name>,
    serial: u64,
}

struct Inner {
    hello: Hello,
    clock: Clock,
    endpoint: quinn::Endpoint,
    client: quinn::ClientConfig,
    /// Whether peers must prove who they are.
    checked: bool,
    table: Mutex<Table>,
    events: flume::Sender<Event>,
    counts: Counts,
    tasks: tokio::sync::Mutex<JoinSet<()>>,
    spawn: flume::Sender<Task>,
}

type Task = std::pin::Pin<Box<dyn std::future::Future<Output = ()> + Send>>;

/// All links of this process.
#[derive(Clone)]
pub struct Hub {
    inner: Arc<Inner>,
}

/// A listening socket, before its process knows its own address.
pub struct Socket {
    endpoint: quinn::Endpoint,
    client: quinn::ClientConfig,
    checked: bool,
}

impl Socket {
    /// Binds the address of the links; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// When the keys do not fit or the address is taken.
    pub fn bind(address: SocketAddr, keys: &Credentials, timing: Timing) -> Result<Self> {
        let step = "prepare links";
        let idle = quinn::IdleTimeout::try_from(timing.idle_timeout).map_err(Error::key(step))?;
        let transport = |keep_alive| {
            let mut transport = quinn::TransportConfig::default();
            transport.keep_alive_interval(keep_alive);
            transport.max_idle_timeout(Some(idle));
            // Our messages are small: probes for larger datagrams would cost more
            // than they bring.
            transport.mtu_discovery_config(None);
            transport.max_concurrent_bidi_streams(0_u8.into());
            transport.max_concurrent_uni_streams(1_u8.into());
            Arc::new(transport)
        };
        let server = QuicServerConfig::try_from(keys.server()?).map_err(Error::key(step))?;
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
        // Signs of life from one side, and their acknowledgement, serve both.
        server.transport_config(transport(None));
        let client = QuicClientConfig::try_from(keys.client()?).map_err(Error::key(step))?;
        let mut client = quinn::ClientConfig::new(Arc::new(client));
        client.transport_config(transport(Some(timing.keep_alive_interval)));
        let endpoint = quinn::Endpoint::server(server, address).map_err(Error::file(
            "bind the address of the links",
            address.to_string(),
        ))?;
        Ok(Socket {
            endpoint,
            client,
            checked: keys.verifies_peers(),
        })
    }

    /// The address that was bound.
    ///
    /// # Errors
    ///
    /// When the system does not tell.
    pub fn address(&self) -> Result<SocketAddr> {
        let step = "ask for the address of the links";
        self.endpoint
            .local_addr()
            .map_err(Error::file(step, "(socket)"))
    }

    /// Starts accepting.
    pub fn start(self, hello: Hello, clock: Clock) -> (Hub, flume::Receiver<Event>) {
        let (events, receiver) = flume::unbounded();
        let (spawn, tasks) = flume::unbounded::<Task>();
        let inner = Arc::new(Inner {
            hello,
            clock,
            endpoint: self.endpoint,
            client: self.client,
            checked: self.checked,
            table: Mutex::default(),
            events,
            counts: Counts::default(),
            tasks: tokio::sync::Mutex::new(JoinSet::new()),
            spawn,
        });
        let hub = Hub { inner };
        hub.inner.run(tasks);
        (hub, receiver)
    }
}

impl Inner {
    /// Runs the accepting task, and one that owns all others and joins them.
    fn run(self: &Arc<Self>, tasks: flume::Receiver<Task>) {
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
    /// This process, as its peers see it.
    pub fn hello(&self) -> &Hello {
        &self.inner.hello
    }

    /// Counters of all links.
    pub fn counts(&self) -> &Counts {
        &self.inner.counts
    }

    /// UDP datagrams and bytes sent and received on all links.
    pub fn udp_traffic(&self) -> (u64, u64) {
        let ended = self.inner.counts.ended.lock();
        let mut total = *ended.unwrap_or_else(PoisonError::into_inner);
        for link in self.inner.table().links.values() {
            let (datagrams, bytes) = traffic(&link.connection);
            total.0 += datagrams;
            total.1 += bytes;
        }
        total
    }

    /// Keeps a link to a peer open from now on.
    pub fn dial(&self, place: &Node) {
        if place.vm == self.inner.hello.place.vm {
            return;
        }
        let mut table = self.inner.table();
        if table.dials.contains_key(&place.vm) {
            return;
        }
        let (hub, place_kept) = (self.clone(), place.clone());
        let handle = tokio::spawn(async move { hub.keep_open(place_kept).await });
        table.dials.insert(place.vm.clone(), handle);
    }

    /// No longer keeps a link to a peer open; one that is open stays.
    pub fn undial(&self, vm: &Name) {
        if let Some(handle) = self.inner.table().dials.remove(vm) {
            handle.abort();
        }
    }

    /// Peers to which links are kept open.
    pub fn dialed_peers(&self) -> Vec<Name> {
        self.inner.table().dials.keys().cloned().collect()
    }

    /// Closes the link to a peer, and no longer keeps one open.
    pub fn close(&self, vm: &Name) {
        self.undial(vm);
        if let Some(link) = self.inner.table().links.get(vm) {
            link.connection.close(0_u8.into(), b"not needed");
        }
    }

    /// Whether a link to a peer is up. One to this process always is.
    pub fn is_up(&self, vm: &Name) -> bool {
        *vm == self.inner.hello.place.vm || self.inner.table().links.contains_key(vm)
    }

    /// Peers with a link, as they introduced themselves.
    pub fn peers(&self) -> Vec<Hello> {
        self.inner
            .table()
            .links
            .values()
            .map(|l| l.hello.clone())
            .collect()
    }

    /// Sends a message; gives false if there is no link.
    pub fn send(&self, vm: &Name, message: Message) -> bool {
        if *vm == self.inner.hello.place.vm {
            let event = Event::Message(vm.clone(), message);
            return self.inner.events.send(event).is_ok();
        }
        let kind = message.kind();
        let frame = Frame {
            stamp: self.inner.clock.stamp(),
            message,
        };
        let bytes = match codec::encode_frame(&frame) {
            Ok(bytes) => Bytes::from(bytes),
            Err(error) => {
                tracing::error!(event = Line::MessageLost.as_str(), peer = %vm, kind, %error);
                return false;
            }
        };
        let table = self.inner.table();
        let Some(link) = table.links.get(vm) else {
            return false;
        };
        if table.mute.contains(vm) {
            return true;
        }
        let length = bytes.len() as u64;
        if !link.queue(bytes) {
            link.connection.close(1_u8.into(), b"backlog");
            return false;
        }
        self.inner.counts.sent(kind, length);
        true
    }

    /// For tests of failures: cuts off exactly these peers. With `silent`,
    /// links stay up and messages vanish; else links are closed and refused.
    pub fn partition(&self, peers: &[Name], silent: bool) {
        let mut table = self.inner.table();
        let all: HashSet<Name> = peers.iter().cloned().collect();
        if silent {
            table.mute = all;
            table.cut.clear();
            return;
        }
        table.mute.clear();
        for vm in &all {
            if let Some(link) = table.links.get(vm) {
                link.connection.close(2_u8.into(), b"cut");
            }
        }
        table.cut = all;
    }

    /// Closes all links and joins all tasks.
    pub async fn stop(&self) {
        let dials: Vec<JoinHandle<()>> = {
            let mut table = self.inner.table();
            table.dials.drain().map(|(_, handle)| handle).collect()
        };
        for dial in dials {
            dial.abort();
            // An aborted task gives an error; there is nothing else to learn.
            let _ = dial.await;
        }
        self.inner.endpoint.close(0_u8.into(), b"stop");
        let mut tasks = self.inner.tasks.lock().await;
        while tasks.join_next().await.is_some() {}
        self.inner.endpoint.wait_idle().await;
    }

    async fn accept(self) {
        while let Some(incoming) = self.inner.endpoint.accept().await {
            let hub = self.clone();
            let task = async move {
                let opened = tokio::time::timeout(OPEN, async {
                    let connection = incoming.await.map_err(Error::peer("accept a link", "?"))?;
                    hub.greet(connection, None).await
                });
                match opened.await {
                    Ok(Ok(run)) => run.await,
                    Ok(Err(error)) => tracing::debug!(%error, "a link was refused"),
                    Err(_) => tracing::debug!("a link was refused: it took too long to open"),
                }
            };
            if self.inner.spawn.send(Box::pin(task)).is_err() {
                return;
            }
        }
    }

    async fn keep_open(self, place: Node) {
        loop {
            let linked = self.is_up(&place.vm) || self.inner.table().cut.contains(&place.vm);
            if !linked {
                match tokio::time::timeout(OPEN, self.open(&place)).await {
                    // Its keeper owns it, so that it outlives the dialing.
                    Ok(Ok(run)) => drop(self.inner.spawn.send(run)),
                    Ok(Err(error)) => tracing::trace!(%error, "a link could not be opened"),
                    Err(_) => tracing::trace!(peer = %place.vm, "a link took too long to open"),
                }
            }
            tokio::time::sleep(REDIAL).await;
        }
    }

    async fn open(&self, place: &Node) -> Result<Task> {
        let step = "open a link";
        let connecting = self
            .inner
            .endpoint
            .connect_with(
                self.inner.client.clone(),
                place.address,
                &tls::server_name(&place.vm),
            )
            .map_err(Error::peer(step, &place.vm))?;
        let connection = connecting.await.map_err(Error::peer(step, &place.vm))?;
        self.greet(connection, Some(&place.vm)).await
    }

    /// Exchanges hellos; gives the task that serves the link.
    async fn greet(&self, connection: quinn::Connection, dialed: Option<&Name>) -> Result<Task> {
        let far = connection.remote_address();
        let step = "greet";
        let mut out = connection
            .open_uni()
            .await
            .map_err(Error::peer(step, far))?;
        let hello = Frame {
            stamp: self.inner.clock.stamp(),
            message: Message::Hello(self.inner.hello.clone()),
        };
        let bytes = codec::encode_frame(&hello)?;
        out.write_all(&bytes)
            .await
            .map_err(Error::peer(step, far))?;
        let mut input = connection
            .accept_uni()
            .await
            .map_err(Error::peer(step, far))?;
        let frame = read_frame(&mut input, &far.to_string()).await?;
        self.inner.clock.merge(frame.stamp);
        let Message::Hello(hello) = frame.message else {
            return Err(refusal(far, "it did not say hello first"));
        };
        if self.inner.checked && !is_certified(&connection, &hello.place.vm) {
            return Err(refusal(far, "its certificate is another VM's"));
        }
        if dialed.is_some_and(|vm| *vm != hello.place.vm) {
            return Err(refusal(far, "another VM answered"));
        }
        let vm = hello.place.vm.clone();
        let (sender, receiver) = flume::bounded(BACKLOG);
        let waiting = Arc::new(AtomicUsize::new(0));
        let queue = (sender, waiting.clone());
        let serial = self
            .enter(hello, dialed.is_some(), queue, &connection)
            .ok_or_else(|| refusal(far, "there is a link already"))?;
        let hub = self.clone();
        Ok(Box::pin(async move {
            let why = tokio::select! {
                why = write_frames(&mut out, &receiver, &waiting) => why,
                why = hub.read_frames(&mut input, &vm) => why,
            };
            connection.close(0_u8.into(), b"end");
            hub.leave(&vm, serial, &connection);
            tracing::debug!(peer = %vm, %why, "a link ended");
        }))
    }

    /// Enters a new link in the table, in place of an older one where it must.
    ///
    /// Two processes may open links to each other at the same time. If each
    /// kept its own, messages would cross over two links and lose their order.
    /// The one that the smaller name opened stays.
    fn enter(
        &self,
        hello: Hello,
        dialed: bool,
        (sender, waiting): (flume::Sender<Bytes>, Arc<AtomicUsize>),
        connection: &quinn::Connection,
    ) -> Option<u64> {
        let mut table = self.inner.table();
        let vm = hello.place.vm.clone();
        let own = &self.inner.hello.place.vm;
        if table.cut.contains(&vm) || vm == *own {
            return None;
        }
        if let Some(old) = table.links.get(&vm) {
            let reborn = old.hello.incarnation != hello.incarnation;
            let same_side = old.dialed == dialed;
            let wins = dialed == (*own < vm);
            let dead = old.connection.close_reason().is_some();
            if !(reborn || same_side || wins || dead) {
                return None;
            }
            old.connection.close(3_u8.into(), b"replaced");
            self.count_ended(&old.connection);
            let _ = self.inner.events.send(Event::Down(vm.clone()));
        }
        table.serial += 1;
        let serial = table.serial;
        let link = Link {
            hello: hello.clone(),
            serial,
            dialed,
            sender,
            waiting,
            connection: connection.clone(),
        };
        table.links.insert(vm, link);
        // The receiver lives as long as the process; if not, nobody listens.
        let _ = self.inner.events.send(Event::Up(hello));
        Some(serial)
    }

    fn leave(&self, vm: &Name, serial: u64, connection: &quinn::Connection) {
        let mut table = self.inner.table();
        if table.links.get(vm).is_some_and(|l| l.serial == serial) {
            table.links.remove(vm);
            self.count_ended(connection);
            let _ = self.inner.events.send(Event::Down(vm.clone()));
        }
    }

    fn count_ended(&self, connection: &quinn::Connection) {
        let (datagrams, bytes) = traffic(connection);
        let ended = self.inner.counts.ended.lock();
        let mut ended = ended.unwrap_or_else(PoisonError::into_inner);
        ended.0 += datagrams;
        ended.1 += bytes;
    }

    async fn read_frames(&self, input: &mut quinn::RecvStream, vm: &Name) -> Error {
        loop {
            let frame = match read_frame(input, vm.as_str()).await {
                Ok(frame) => frame,
                Err(error) => return error,
            };
            if self.inner.table().mute.contains(vm) {
                continue;
            }
            self.inner.clock.merge(frame.stamp);
            let event = Event::Message(vm.clone(), frame.message);
            if self.inner.events.send(event).is_err() {
                return refusal(vm, "this process has stopped listening");
            }
        }
    }
}

fn traffic(connection: &quinn::Connection) -> (u64, u64) {
    let stats = connection.stats();
    (
        stats.udp_tx.datagrams + stats.udp_rx.datagrams,
        stats.udp_tx.bytes + stats.udp_rx.bytes,
    )
}

fn is_certified(connection: &quinn::Connection, vm: &Name) -> bool {
    let chain = connection.peer_identity();
    let chain = chain.and_then(|c| c.downcast::<Vec<CertificateDer<'static>>>().ok());
    let first = chain.as_ref().and_then(|c| c.first());
    first.is_some_and(|c| tls::is_issued_to(c, vm))
}

fn refusal<P>(peer: P, reason: &str) -> Error
where
    P: ToString,
{
    Error::Peer {
        step: "greet",
        peer: peer.to_string(),
        reason: reason.to_owned(),
    }
}

async fn write_frames(
    out: &mut quinn::SendStream,
    frames: &flume::Receiver<Bytes>,
    waiting: &AtomicUsize,
) -> Error {
    loop {
        let Ok(first) = frames.recv_async().await else {
            return refusal("?", "the link was replaced");
        };
        // What else waits goes into the same datagrams.
        let mut batch = vec![first];
        batch.extend(frames.try_iter().take(63));
        let length = batch.iter().map(Bytes::len).sum();
        if let Err(error) = out.write_all_chunks(&mut batch).await {
            return Error::peer("write", "?")(error);
        }
        waiting.fetch_sub(length, Ordering::Relaxed);
    }
}

async fn read_frame(input: &mut quinn::RecvStream, peer: &str) -> Result<Frame> {
    let step = "read a frame";
    let mut head = [0; codec::HEADER_BYTES];
    input
        .read_exact(&mut head)
        .await
        .map_err(Error::peer(step, peer))?;
    let length = codec::body_length(peer, head)?;
    let mut body = vec![0; length];
    input
        .read_exact(&mut body)
        .await
        .map_err(Error::peer(step, peer))?;
    codec::decode_frame(peer, &body)
}
