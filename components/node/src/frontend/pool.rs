//! Kept connections to endpoints.

use bytes::Bytes;
use errors::{Error, Result};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use state::id::EndpointId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use transport::descriptor;

/// Longest time to connect to an endpoint.
///
/// Connecting within a region takes some milliseconds; one that has not
/// answered after this is cut off or down, or the packet was lost, and another
/// endpoint is quicker than its next one a second later.
const CONNECT: Duration = Duration::from_millis(300);
/// Time for which a connection is kept idle when its endpoint tells none.
const IDLE: Duration = Duration::from_secs(4);
/// Longest time for which one is kept, whatever the endpoint tells.
const IDLE_MAX: Duration = Duration::from_secs(15);
/// Part of the time that an endpoint tells for which a connection is used, in
/// hundredths: at its end both sides could act at once.
const IDLE_PERCENT: u32 = 60;
/// Longest idle time before a request that must not run twice.
///
/// An endpoint may drop an idle connection without notice. A request that is
/// sent on it is lost, and nobody knows whether it ran.
const IDLE_ONCE: Duration = Duration::from_millis(1500);
/// Idle connections kept to one endpoint.
const KEPT: usize = 16;

/// A connection to an endpoint, closed when dropped.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
    keep: Duration,
}

/// One start of an endpoint at its address: a change may give it another one.
pub(crate) type Key = (EndpointId, SocketAddr);

/// Idle connections by endpoint.
pub(crate) struct Pool {
    /// Connections that may be kept in all.
    most: usize,
    idle: Mutex<HashMap<Key, Vec<Idle>>>,
}

impl Pool {
    /// An empty pool of at most so many connections.
    pub(crate) fn new(most: usize) -> Self {
        Pool {
            most,
            idle: Mutex::default(),
        }
    }

    /// An idle connection to an endpoint, the one used last. With `once`, only
    /// one that was used a moment ago.
    pub(crate) fn take(&self, endpoint: &Key, once: bool) -> Option<Connection> {
        let mut idle = self.lock();
        let kept = idle.get_mut(endpoint)?;
        while let Some(found) = kept.pop() {
            let age = found.since.elapsed();
            let fresh = age < found.keep && (!once || age < IDLE_ONCE);
            if fresh && found.connection.sender.is_ready() {
                return Some(found.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer has ended, for as long as its endpoint
    /// says that it will.
    pub(crate) fn put(&self, endpoint: &Key, connection: Connection, told: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        let keep = told.map_or(IDLE, |told| told * IDLE_PERCENT / 100);
        let mut idle = self.lock();
        // Counted over all endpoints: there may be a thousand of them.
        if idle.values().map(Vec::len).sum::<usize>() >= self.most {
            return;
        }
        let kept = idle.entry(*endpoint).or_default();
        if kept.len() >= KEPT {
            kept.remove(0);
        }
        kept.push(Idle {
            connection,
            since: Instant::now(),
            keep: keep.min(IDLE_MAX),
        });
    }

    /// Closes what has been idle for too long, and all to endpoints that `lives`
    /// refuses.
    pub(crate) fn prune<F>(&self, lives: F)
    where
        F: Fn(&Key) -> bool,
    {
        self.lock().retain(|endpoint, kept| {
            kept.retain(|i| i.since.elapsed() < i.keep && !i.connection.sender.is_closed());
            !kept.is_empty() && lives(endpoint)
        });
    }

    /// Idle connections in all.
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
/// [`Error::Peer`] if the endpoint could not be reached; another one if this process could
/// not try.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection> {
    let step = "connect to an endpoint";
    let stream = tokio::time::timeout(CONNECT, TcpStream::connect(address))
        .await
        .map_err(Error::peer(step, address))?
        .map_err(|error| match descriptor::are_out(&error) {
            true => Error::file("open a socket", "(this process)")(error),
            false => Error::peer(step, address)(error),
        })?;
    // Small requests must not wait for more.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(Error::peer(step, address))?;
    let driver = tokio::spawn(async move {
        // Its error reaches the request or the body as well.
        let _ = connection.await;
    });
    Ok(Connection { sender, driver })
}
