//! Accepts callers' connections, within bounds.

use super::admit::BUSY;
use super::guests::{Guests, Place};
use super::pool::{Key, Pool};
use super::refusal::Refusal;
use super::serve::{serve, Until};
use crate::http::accept;
use crate::input::Input;
use crate::interface::Interface;
use crate::journal::Journal;
use crate::metric::{gauge_value, Metrics};
use crate::monitor::{Lateness, PROBE_INTERVAL};
use crate::quarantine::Suspicions;
use crate::shared::{cancelled, Published};
use coordination::admission::Admission;
use coordination::budget::Budget;
use coordination::limit::Window;
use coordination::retry;
use http_body_util::BodyExt;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use settings::Callers;
use state::id::{Name, ServiceId};
use state::line::Line;
use state::suspect::Successes;
use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;
use transport::clock::Clock;

/// Bytes of bodies that one unit of their memory stands for.
pub(crate) const BODY_UNIT: usize = 1024;

/// Lines in a second that each tell of a request refused while tasks run late; the others
/// are counted.
///
/// A flooded router writes 1,500 of them a second, which took the processor from what it
/// had let in: without them it served 32,858 requests instead of 31,294 of a day, and
/// callers found no connection 349 times instead of 1,034.
const BUSY_LINES: u64 = 20;

/// Time for a connection that rests to make room for a new one.
const GIVE_WAY: Duration = Duration::from_millis(20);

/// Time between two looks at kept connections.
const TEND: Duration = Duration::from_secs(1);

/// What the callers' side is given.
pub(crate) struct Context {
    /// Settings.
    pub(crate) callers: Callers,
    /// Requests of one customer that may wait here.
    pub(crate) customer_queue_limit: u32,
    /// What it may take on.
    pub(crate) budget: Budget,
    /// How late tasks of this process run.
    pub(crate) lateness: Lateness,
    /// Age of the last proof of the newest version past which customers are
    /// refused, in milliseconds.
    pub(crate) max_proof_age_ms: Option<u64>,
    /// How callers and endpoints speak.
    pub(crate) interface: Interface,
    /// Bounds on retries.
    pub(crate) retry_bounds: retry::Bounds,
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
    /// What is done with requests that may crash endpoints.
    pub(crate) verdicts: watch::Receiver<Arc<Suspicions>>,
}

/// The callers' side.
pub(crate) struct Frontend {
    pub(crate) context: Context,
    pub(crate) requests: AtomicU64,
    /// Retries that this router may add, by service.
    budgets: Mutex<HashMap<ServiceId, retry::Budget>>,
    /// Kept connections to endpoints.
    pub(crate) pool: Arc<Pool>,
    /// Memory for bodies, in units of [`BODY_UNIT`].
    pub(crate) bodies: Arc<Semaphore>,
    /// Units of it in all.
    body_units: usize,
    /// Places for callers' connections.
    places: Arc<Semaphore>,
    /// Which of them rest.
    guests: Arc<Guests>,
    /// Lines that tell of one request refused while tasks run late.
    busy_lines: Mutex<Window>,
    /// Requests that were answered whole of late.
    pub(super) successes: Mutex<Successes>,
}

impl Frontend {
    /// Makes it.
    pub(crate) fn new(context: Context) -> Arc<Self> {
        let units = usize::try_from(context.budget.body_bytes).unwrap_or(usize::MAX) / BODY_UNIT;
        let units = units.clamp(1, Semaphore::MAX_PERMITS);
        Arc::new(Frontend {
            bodies: Arc::new(Semaphore::new(units)),
            body_units: units,
            places: Arc::new(Semaphore::new(context.budget.connections)),
            busy_lines: Mutex::new(Window::new(BUSY_LINES)),
            successes: Mutex::default(),
            pool: Arc::new(Pool::new(context.budget.idle_connections)),
            guests: Guests::new(context.clock.clone()),
            context,
            requests: AtomicU64::new(0),
            budgets: Mutex::default(),
        })
    }

    /// Whether a refusal has a line of its own.
    pub(crate) fn tells(&self, refusal: &Refusal) -> bool {
        if refusal.code != BUSY {
            return true;
        }
        let lines = self.busy_lines.lock();
        let mut lines = lines.unwrap_or_else(PoisonError::into_inner);
        lines.admits(self.context.clock.now())
    }

    /// Callers' connections that are open.
    pub(crate) fn connections(&self) -> usize {
        let free = self.places.available_permits();
        self.context.budget.connections.saturating_sub(free)
    }

    /// Counts the first try of a request.
    pub(crate) fn earn_retries(&self, service: ServiceId) {
        let now = self.context.clock.now();
        let routers = self.context.published.borrow().routers;
        self.with_budget(service, |budget| budget.earn(now, routers));
    }

    /// Works with the budget of a service.
    pub(crate) fn with_budget<F, R>(&self, service: ServiceId, work: F) -> R
    where
        F: FnOnce(&mut retry::Budget) -> R,
    {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.context.clock.now();
        let bounds = self.context.retry_bounds;
        work((budgets.entry(service)).or_insert_with(|| retry::Budget::new(bounds, now)))
    }

    /// Closes kept connections that have grown old, or whose endpoint has gone.
    async fn tend_pool(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut period = tokio::time::interval(TEND);
        loop {
            tokio::select! {
                _ = period.tick() => {}
                () = cancelled(&mut stop) => return,
            }
            let view = self.context.published.borrow().view.clone();
            let lives = |(id, address): &Key| {
                let found = view.config.endpoints.get(id);
                // One that is not held here may live: its connections end by their age.
                found.map_or(view.is_partial(), |e| e.address == *address)
            };
            self.pool.prune(lives);
            let unread = self.guests.end_unread();
            if unread > 0 {
                tracing::info!(event = Line::AnswersUnread.as_str(), connections = unread);
            }
            self.measure();
        }
    }

    fn measure(&self) {
        let metrics = &self.context.metrics;
        metrics.idle_connections.set(gauge_value(self.pool.len()));
        let free = self.bodies.available_permits();
        let taken = self.body_units.saturating_sub(free) * BODY_UNIT;
        metrics.body_bytes.set(gauge_value(taken));
        metrics
            .queued_inputs
            .set(gauge_value(self.context.reactor.len()));
    }

    /// The next connection that is let in; while tasks run late others are closed unread.
    async fn next(&self, listener: &TcpListener) -> TcpStream {
        loop {
            if !self.context.lateness.may_accept() {
                tokio::time::sleep(PROBE_INTERVAL).await;
                continue;
            }
            let stream = accept(listener).await;
            if self.context.lateness.admit_connection() == Admission::Admit {
                return stream;
            }
            // Its task would run after all that is late.
            self.context.metrics.closed_unread.inc();
        }
    }

    /// A place for a connection; where all are taken, that of the one which has rested longest.
    async fn place(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(place) = self.places.clone().try_acquire_owned() {
            return Some(place);
        }
        if !self.guests.make_room() {
            return None;
        }
        let place = self.places.clone().acquire_owned();
        tokio::time::timeout(GIVE_WAY, place).await.ok()?.ok()
    }

    /// Serves until `stop` turns true; then lets connections end what they hold.
    pub(crate) async fn run(
        self: Arc<Self>,
        listener: TcpListener,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().tend_pool(stop.clone()));
        loop {
            let stream = tokio::select! {
                stream = self.next(&listener) => stream,
                Some(_) = tasks.join_next() => continue,
                () = cancelled(&mut stop) => break,
            };
            let Some(place) = self.place().await else {
                // Past the bound a connection is closed at once: it costs nothing.
                self.context.metrics.closed_unread.inc();
                continue;
            };
            let (frontend, stop) = (self.clone(), stop.clone());
            tasks.spawn(async move {
                frontend.connection(stream, stop).await;
                drop(place);
            });
        }
        drop(listener);
        while tasks.join_next().await.is_some() {}
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
        // Small events must not wait for more of them.
        let _ = stream.set_nodelay(true);
        self.context.metrics.connections.inc();
        self.context.metrics.accepted_connections.inc();
        let place = Arc::new(self.guests.open());
        let (frontend, of) = (self.clone(), place.clone());
        let service = service_fn(move |request| {
            let (frontend, in_use) = (frontend.clone(), of.begin());
            // Boxed, so that a connection holds it only while a request is on it.
            Box::pin(async move {
                let reply = serve(frontend, request).await?;
                if let Some(Until(at)) = reply.extensions().get() {
                    in_use.answers_until(*at);
                }
                // It is in use until its answer has been passed on.
                let held = move |frame| {
                    let _ = &in_use;
                    frame
                };
                Ok::<_, std::convert::Infallible>(reply.map(|body| body.map_frame(held)))
            })
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(self.context.callers.head_ms))
            .max_buf_size(2 * self.context.callers.head_max)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => Some(ended),
            () = cancelled(&mut stop) => None,
            () = Place::until_told(&place) => None,
            () = Place::until_unread(&place) => Some(Ok(())),
        };
        let ended = match ended {
            Some(ended) => ended,
            None => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    ended = connection => ended,
                    () = Place::until_unread(&place) => Ok(()),
                }
            }
        };
        if let Err(error) = ended {
            tracing::debug!(%error, "a caller's connection ended early");
        }
        self.context.metrics.connections.dec();
    }
}
