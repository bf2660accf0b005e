//! Accepts callers' connections, within bounds.

use super::serve::serve;
use crate::input::Input;
use crate::journal::Journal;
use crate::metric::Metrics;
use crate::shared::{raised, Published};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use settings::Callers;
use state::id::Name;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinSet;
use transport::clock::Clock;

/// Bytes of bodies that one unit of their memory stands for.
pub(crate) const BODY_UNIT: usize = 1024;

/// What the callers' side is given.
pub(crate) struct Parts {
    /// Settings.
    pub(crate) callers: Callers,
    /// Requests of one customer that may wait here.
    pub(crate) queue_customer: u32,
    /// Bytes that all bodies may take.
    pub(crate) body_bytes: u64,
    /// Silence from control after which requests are refused.
    pub(crate) stale_ms: Option<u64>,
    /// Data centre of this VM.
    pub(crate) data_centre: Name,
    /// Incarnation of this process.
    pub(crate) incarnation: u64,
    /// Clock.
    pub(crate) clock: Clock,
    /// Time line.
    pub(crate) journal: Journal,
    /// Metrics.
    pub(crate) metrics: Metrics,
    /// The reactor.
    pub(crate) reactor: flume::Sender<Input>,
    /// What is in force.
    pub(crate) published: watch::Receiver<Published>,
}

/// The callers' side.
pub(crate) struct Front {
    pub(crate) parts: Parts,
    pub(crate) requests: AtomicU64,
    pub(crate) budget: Mutex<coordination::retry::Budget>,
    /// Memory for bodies, in units of [`BODY_UNIT`].
    pub(crate) bodies: Arc<Semaphore>,
}

impl Front {
    /// Makes it.
    pub(crate) fn new(parts: Parts) -> Arc<Self> {
        let units = usize::try_from(parts.body_bytes).unwrap_or(usize::MAX) / BODY_UNIT;
        Arc::new(Front {
            bodies: Arc::new(Semaphore::new(units.clamp(1, Semaphore::MAX_PERMITS))),
            parts,
            requests: AtomicU64::new(0),
            budget: Mutex::default(),
        })
    }

    /// Serves until `stop` turns true; then lets connections end what they hold.
    pub(crate) async fn run(
        self: Arc<Self>,
        listener: TcpListener,
        mut stop: watch::Receiver<bool>,
    ) {
        let places = Arc::new(Semaphore::new(self.parts.callers.connections));
        let mut tasks = JoinSet::new();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        tracing::warn!(%error, "a connection could not be accepted");
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
                Some(_) = tasks.join_next() => continue,
                () = raised(&mut stop) => break,
            };
            let Ok(place) = places.clone().try_acquire_owned() else {
                // Past the bound a connection is closed at once: it costs nothing.
                continue;
            };
            let (front, stop) = (self.clone(), stop.clone());
            tasks.spawn(async move {
                front.connection(stream, stop).await;
                drop(place);
            });
        }
        drop(listener);
        while tasks.join_next().await.is_some() {}
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
        // Small events must not wait for more of them.
        let _ = stream.set_nodelay(true);
        self.parts.metrics.connections.inc();
        let front = self.clone();
        let service = service_fn(move |request| {
            let front = front.clone();
            async move { serve(front, request).await }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(self.parts.callers.head_ms))
            .max_buf_size(2 * self.parts.callers.head_max)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => Some(ended),
            () = raised(&mut stop) => None,
        };
        let ended = match ended {
            Some(ended) => ended,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            tracing::debug!(%error, "a caller's connection ended early");
        }
        self.parts.metrics.connections.dec();
    }
}
