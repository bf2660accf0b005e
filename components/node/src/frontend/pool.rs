//! Pool of idle connections to endpoints, and how a new connection is opened.

use crate::client::{self, Sender};
use crate::paced::{Backpressure, Paced};
use bytes::Bytes;
use errors::{Error, Result};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use state::id::EndpointId;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use transport::descriptor;

/// Longest time to connect to an endpoint.
///
/// Connecting within a region takes a few milliseconds. An endpoint that has not answered by
/// then is unreachable or down, or the packet was lost; another endpoint is faster than
/// the system's retransmission after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an idle connection is kept if its endpoint announces no keep-alive time.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);
/// Longest time for which an idle connection is kept, whatever its endpoint announces.
const MAX_KEEP: Duration = Duration::from_secs(15);
/// Percentage of the announced keep-alive time for which a connection is used. Close to the end
/// of that time, the endpoint could close the connection while a request is sent on it.
const KEEP_ALIVE_PERCENT: u32 = 60;
/// Longest idle time of a connection that is used for a request that must not run twice.
///
/// An endpoint may drop an idle connection without notice. A request sent on such a connection
/// is lost, and whether it ran is unknown.
const AT_MOST_ONCE_MAX_IDLE: Duration = Duration::from_millis(1500);
/// Most bytes of an answer that are read from another router before its caller takes them.
const PEER_BUFFER_BYTES: usize = 64 * 1024;
/// Most bytes of a request that the system keeps beyond those that it has sent, so that
/// [`Connection::is_written`] tells what the endpoint's system has taken.
#[cfg(target_os = "linux")]
const UNSENT_BYTES: u32 = 64 * 1024;
/// Step that errors of [`connect`] name.
const CONNECT: &str = "connect to an endpoint";
/// Most idle connections kept to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

/// What moves the bytes on a connection.
enum Driver {
    /// A task of its own.
    Task(JoinHandle<()>),
    /// Whoever uses the connection, by [`Connection::poll_driver`].
    Held(Box<http1::Connection<TokioIo<Paced<TcpStream>>, Full<Bytes>>>),
    /// Nothing, since the connection has ended.
    Ended,
}

/// An HTTP connection to an endpoint, closed when dropped.
pub(crate) struct Connection {
    pub(crate) sender: Sender<Full<Bytes>>,
    driver: Driver,
    /// Whether a part of the request waits to be written.
    backpressure: Backpressure,
}

impl Connection {
    /// Whether all of the request has been written.
    pub(crate) fn is_written(&self) -> bool {
        !self.backpressure.is_waiting()
    }

    /// Moves bytes on a connection without a task of its own. An error of the connection is
    /// reported by its request or its answer.
    pub(crate) fn poll_driver(&mut self, context: &mut Context<'_>) {
        if let Driver::Held(connection) = &mut self.driver {
            if Pin::new(connection).poll(context).is_ready() {
                self.driver = Driver::Ended;
            }
        }
    }

    /// Waits for `future`, and moves bytes on a connection without a task of its own.
    pub(crate) async fn drive<F>(&mut self, mut future: Pin<&mut F>) -> F::Output
    where
        F: Future,
    {
        std::future::poll_fn(|context| {
            if let Poll::Ready(output) = future.as_mut().poll(context) {
                return Poll::Ready(output);
            }
            self.poll_driver(context);
            future.as_mut().poll(context)
        })
        .await
    }

    /// Closes the connection, and returns once it is closed.
    pub(crate) async fn close(mut self) {
        if let Driver::Task(task) = &mut self.driver {
            task.abort();
            // The result says only that the task was aborted, or had ended before.
            let _ = task.await;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Driver::Task(task) = &self.driver {
            task.abort();
        }
    }
}

/// An idle connection in the pool.
struct Idle {
    connection: Connection,
    /// When the connection became idle.
    since: Instant,
    /// Time for which it may stay idle.
    keep: Duration,
}

/// An endpoint at one address. A configuration change may move the endpoint to another address.
pub(crate) type Key = (EndpointId, SocketAddr);

/// Idle connections by endpoint.
pub(crate) struct Pool {
    /// Most idle connections to all endpoints together.
    capacity: usize,
    idle: Mutex<HashMap<Key, Vec<Idle>>>,
}

impl Pool {
    /// Creates an empty pool for at most `capacity` connections.
    pub(crate) fn new(capacity: usize) -> Self {
        Pool {
            capacity,
            idle: Mutex::default(),
        }
    }

    /// Takes the most recently used idle connection to an endpoint. With `at_most_once`, a
    /// connection that has been idle for longer than [`AT_MOST_ONCE_MAX_IDLE`] is dropped.
    pub(crate) fn take(&self, endpoint: &Key, at_most_once: bool) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(endpoint)?;
        while let Some(found) = connections.pop() {
            let age = found.since.elapsed();
            let fresh = age < found.keep && (!at_most_once || age < AT_MOST_ONCE_MAX_IDLE);
            if fresh && found.connection.sender.is_ready() {
                return Some(found.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer has ended. `keep_alive` is the time for which the endpoint
    /// announced that it keeps the connection open.
    pub(crate) fn put(&self, endpoint: &Key, connection: Connection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let keep = keep_alive.map_or(DEFAULT_KEEP, |keep_alive| {
            keep_alive * KEEP_ALIVE_PERCENT / 100
        });
        let mut idle = self.lock();
        // The bound is on the sum, since there may be a thousand endpoints.
        if idle.values().map(Vec::len).sum::<usize>() >= self.capacity {
            return;
        }
        let connections = idle.entry(*endpoint).or_default();
        if connections.len() >= MAX_IDLE_PER_ENDPOINT {
            connections.remove(0);
        }
        connections.push(Idle {
            connection,
            since: Instant::now(),
            keep: keep.min(MAX_KEEP),
        });
    }

    /// Closes connections that have been idle for too long, and all connections to endpoints for
    /// which `is_live` is false.
    pub(crate) fn prune<F>(&self, is_live: F)
    where
        F: Fn(&Key) -> bool,
    {
        self.lock().retain(|endpoint, connections| {
            connections.retain(|i| i.since.elapsed() < i.keep && !i.connection.sender.is_closed());
            !connections.is_empty() && is_live(endpoint)
        });
    }

    /// Number of idle connections to all endpoints.
    pub(crate) fn len(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Key, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection to an endpoint.
///
/// # Errors
///
/// [`Error::Peer`] if the endpoint cannot be reached; another error if this process has no file
/// descriptor left for the connection.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection> {
    let stream = open(address).await?;
    let backpressure = stream.inner().backpressure();
    let (sender, connection) = client::handshake(stream, None)
        .await
        .map_err(Error::peer(CONNECT, address))?;
    let driver = tokio::spawn(async move {
        // The request or its body reports the same error.
        let _ = connection.await;
    });
    let driver = Driver::Task(driver);
    Ok(Connection {
        sender,
        driver,
        backpressure,
    })
}

/// Opens a connection to another router, without a task of its own.
///
/// # Errors
///
/// As for [`connect`].
pub(crate) async fn connect_to_peer(address: SocketAddr) -> Result<Connection> {
    let stream = open(address).await?;
    let backpressure = stream.inner().backpressure();
    let (sender, connection) = client::handshake(stream, Some(PEER_BUFFER_BYTES))
        .await
        .map_err(Error::peer(CONNECT, address))?;
    let driver = Driver::Held(Box::new(connection));
    Ok(Connection {
        sender,
        driver,
        backpressure,
    })
}

/// Opens a TCP connection.
async fn open(address: SocketAddr) -> Result<TokioIo<Paced<TcpStream>>> {
    let step = CONNECT;
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(Error::peer(step, address))?
        .map_err(|error| match descriptor::are_exhausted(&error) {
            true => Error::file("open a socket", "(this process)")(error),
            false => Error::peer(step, address)(error),
        })?;
    // Small requests are sent without delay.
    let _ = stream.set_nodelay(true);
    // A system without this limit keeps more.
    #[cfg(target_os = "linux")]
    let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT_BYTES);
    Ok(TokioIo::new(Paced::new(stream)))
}
