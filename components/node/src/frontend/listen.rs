//! Accepts callers' connections within bounds, and holds the state that all of them share.

use super::admit::BUSY_CODE;
use super::connections::{Registration, Registry};
use super::pool::{Key, Pool};
use super::refusal::{Refusal, DECLINED_CODE};
use super::serve::{serve, AnswerDeadline};
use super::turn_away::Template;
use super::unframed;
use crate::handover::Handover;
use crate::http::accept;
use crate::http::{accept_queued, join_until_cut, HEAD_CLOSE_TIME};
use crate::input::Input;
use crate::interface::Interface;
use crate::journal::Journal;
use crate::metric::{gauge_value, Metrics};
use crate::monitor::{Lateness, PROBE_INTERVAL};
use crate::quarantine::Suspicions;
use crate::shared::Published;
use crate::socket::{self, Closed, Socket};
use crate::work::{Stage, Tally};
use coordination::admission::demand::Demand;
use coordination::admission::Admission;
use coordination::attribution::Survivals;
use coordination::budget::Budget;
use coordination::limit::Window;
use coordination::retry;
use coordination::shutdown::Phase;
use hyper::server::conn::http1::Connection;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use settings::Callers;
use state::config::Config;
use state::id::{CustomerId, Name, RequestId, ServiceId};
use state::line::Line;
use state::suspect::Successes;
use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;
use transport::clock::Clock;

/// Bytes of request bodies per permit of the memory for bodies.
pub(crate) const BODY_UNIT_BYTES: usize = 1024;

/// Most log lines per second for requests that are refused while tasks run late, or declined;
/// further refusals are only counted.
///
/// A flooded router would write 1,500 such lines a second, at the expense of the requests that it
/// has admitted.
const MAX_BUSY_LINES_PER_S: u64 = 20;

/// Longest time to wait for an idle connection to close and make room for a new one.
const MAKE_ROOM_TIMEOUT: Duration = Duration::from_millis(20);

/// Divisor of the budget of idle connections that gives the part for connections to other routers.
/// These are at most eight, against tens of endpoints.
const PEER_CONNECTIONS_DIVISOR: usize = 4;
/// Most probes for which a connection waits until it may be refused, about as long as the accept
/// queue takes to fill.
const REFUSAL_PROBES_MAX: usize = 10;

/// Time between two checks of pooled connections and unread answers.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// Most customers of which a log line tells each second while connections are closed unread.
const LOGGED_CUSTOMERS_MAX: usize = 12;

/// An accepted connection, and what is done with it.
enum Accepted {
    /// It is served.
    Serve(TcpStream),
    /// Its request is refused without being served.
    Refuse(TcpStream),
}

/// Place for an admitted connection.
enum Place {
    /// There is one.
    Free(OwnedSemaphorePermit),
    /// There is none, and the connection is refused.
    Refusal,
    /// There is none, and the connection is closed unread.
    None,
}

/// Settings and handles that the frontend is given at its start.
pub(crate) struct Context {
    /// Settings of the callers' address.
    pub(crate) callers: Callers,
    /// Most queued requests of one customer, unless the rule sets a limit.
    pub(crate) customer_queue_limit: u32,
    /// Memory and connections that this process may use.
    pub(crate) budget: Budget,
    /// Connections that may be refused at once without being served, in addition to those of the
    /// budget.
    pub(crate) refusals: usize,
    /// How late tasks of this process run.
    pub(crate) lateness: Lateness,
    /// Greatest age, in milliseconds, of the last proof that this process has the newest version.
    /// Past it, customers' requests are refused.
    pub(crate) max_proof_age_ms: Option<u64>,
    /// Whether streams of rules with `resume` continue at another endpoint when theirs breaks off.
    pub(crate) resume: bool,
    /// Headers and statuses in the exchange with callers and endpoints.
    pub(crate) interface: Interface,
    /// Bounds on retries of each service.
    pub(crate) retry_bounds: retry::Bounds,
    /// Data centre of this VM.
    pub(crate) data_centre: Name,
    /// Incarnation of this process.
    pub(crate) incarnation: u64,
    /// Clock of this process.
    pub(crate) clock: Clock,
    /// Journal of the steps of requests.
    pub(crate) journal: Journal,
    /// Metrics of this process.
    pub(crate) metrics: Metrics,
    /// Work in progress in this process.
    pub(crate) work: Tally,
    /// Input queue of the reactor.
    pub(crate) reactor: flume::Sender<Input>,
    /// Configuration and state that the reactor publishes.
    pub(crate) published: watch::Receiver<Published>,
    /// Requests that may crash endpoints, and which of them are in quarantine.
    pub(crate) suspicions: watch::Receiver<Arc<Suspicions>>,
    /// Parts of prompts that endpoints have answered not long ago.
    pub(crate) survivals: Arc<Mutex<Survivals>>,
    /// Hand-over of requests to other routers, if the settings allow it.
    pub(crate) handover: Option<Handover>,
    /// Name of this VM.
    pub(crate) vm: Name,
}

/// HTTP server for callers: state that all connections and requests share.
pub(crate) struct Frontend {
    pub(crate) context: Context,
    /// Number of the next request.
    pub(crate) next_request: AtomicU64,
    /// Retry budgets by service.
    retry_budgets: Mutex<HashMap<ServiceId, retry::Budget>>,
    /// Idle connections to endpoints.
    pub(crate) pool: Arc<Pool>,
    /// Idle connections to other routers.
    pub(crate) peers: Arc<Pool>,
    /// Memory for request bodies, in permits of [`BODY_UNIT_BYTES`].
    pub(crate) body_memory: Arc<Semaphore>,
    /// Total number of permits of `body_memory`.
    body_units: usize,
    /// One permit per connection of a caller.
    connection_permits: Arc<Semaphore>,
    /// One permit per connection whose refusal waits for its caller.
    pub(super) refusal_permits: Arc<Semaphore>,
    /// Response to connections that are refused without being served.
    pub(super) template: Template,
    /// Response to connections that are closed with a part of a head.
    pub(super) stop_template: Template,
    /// Tasks that outlive their connections.
    background: Mutex<JoinSet<()>>,
    /// Open connections of callers, and which of them are idle.
    registry: Arc<Registry>,
    /// Rate limit of log lines for requests that are refused while tasks run late.
    busy_lines: Mutex<Window>,
    /// Requests that were completely answered not long ago.
    pub(super) successes: Mutex<Successes>,
    /// What customers ask of this router.
    demand: Mutex<Demand>,
}

impl Frontend {
    /// Creates the frontend; [`Frontend::run`] starts it.
    pub(crate) fn new(context: Context) -> Arc<Self> {
        let units =
            usize::try_from(context.budget.body_bytes).unwrap_or(usize::MAX) / BODY_UNIT_BYTES;
        let units = units.clamp(1, Semaphore::MAX_PERMITS);
        let idle_connections = context.budget.idle_connections;
        let to_peers = match context.handover {
            Some(_) => idle_connections / PEER_CONNECTIONS_DIVISOR,
            None => 0,
        };
        Arc::new(Frontend {
            body_memory: Arc::new(Semaphore::new(units)),
            body_units: units,
            connection_permits: Arc::new(Semaphore::new(context.budget.connections)),
            refusal_permits: Arc::new(Semaphore::new(context.refusals)),
            template: Template::busy(&context.interface, &context.metrics),
            stop_template: Template::stopping(&context.interface, &context.metrics),
            background: Mutex::default(),
            busy_lines: Mutex::new(Window::new(MAX_BUSY_LINES_PER_S)),
            successes: Mutex::default(),
            demand: Mutex::default(),
            pool: Arc::new(Pool::new(idle_connections - to_peers)),
            peers: Arc::new(Pool::new(to_peers)),
            registry: Registry::new(context.clock.clone()),
            context,
            next_request: AtomicU64::new(0),
            retry_budgets: Mutex::default(),
        })
    }

    /// Whether a refusal is logged, and not only counted. Any caller can send requests that are
    /// declined, by a forged header.
    pub(crate) fn should_log(&self, refusal: &Refusal) -> bool {
        let is_limited = matches!(refusal.code, BUSY_CODE | DECLINED_CODE);
        !is_limited || self.may_log_busy()
    }

    /// Whether a request that is refused while tasks run late is logged, and not only counted.
    pub(super) fn may_log_busy(&self) -> bool {
        let lines = self.busy_lines.lock();
        let mut lines = lines.unwrap_or_else(PoisonError::into_inner);
        lines.admits(self.context.clock.now())
    }

    /// ID of the next request.
    pub(super) fn next_id(&self) -> RequestId {
        RequestId {
            router: self.context.incarnation,
            count: self.next_request.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Number of open connections of callers.
    pub(crate) fn connections(&self) -> usize {
        let free = self.connection_permits.available_permits();
        self.context.budget.connections.saturating_sub(free)
    }

    /// Adds to the retry budget of a service for the first try of a request.
    pub(crate) fn earn_retries(&self, service: ServiceId) {
        let now = self.context.clock.now();
        let routers = self.context.published.borrow().routers;
        self.with_budget(service, |budget| budget.earn(now, routers));
    }

    /// Runs `work` on the retry budget of a service.
    pub(crate) fn with_budget<F, R>(&self, service: ServiceId, work: F) -> R
    where
        F: FnOnce(&mut retry::Budget) -> R,
    {
        let mut retry_budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = self.context.clock.now();
        let bounds = self.context.retry_bounds;
        let budget = retry_budgets.entry(service).or_insert_with(|| {
            let budget = retry::Budget::new(bounds, now);
            match self.context.resume {
                true => budget.with_savings(),
                false => budget,
            }
        });
        work(budget)
    }

    /// Periodically closes pooled connections that are too old or whose endpoint is removed, closes
    /// connections with unread answers, and updates the gauges.
    async fn maintain(self: Arc<Self>) {
        let mut interval = tokio::time::interval(MAINTENANCE_INTERVAL);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                () = self.context.work.until(Phase::Closing) => return,
            }
            let view = self.context.published.borrow().view.clone();
            let is_live = |(id, address): &Key| {
                let found = view.config.endpoints.get(id);
                // A partial view may lack a live endpoint; connections to it are closed by age.
                found.map_or(view.is_partial(), |e| e.address == *address)
            };
            self.pool.prune(is_live);
            self.peers.prune(|_| true);
            let unread = self.registry.close_unread();
            if unread > 0 {
                tracing::info!(event = Line::AnswersUnread.as_str(), connections = unread);
            }
            self.log_unread(&view.config);
            self.update_gauges();
        }
    }

    /// The state that the reactor has published last.
    pub(super) fn published(&self) -> Published {
        self.context.published.borrow().clone()
    }

    /// Counts a connection that is closed without an answer; `customer` is `None` if its request has
    /// not been seen.
    pub(super) fn count_unread(&self, customer: Option<CustomerId>) {
        self.context.metrics.closed_unread.inc();
        let now = self.context.clock.now();
        self.demand().turn_away(now, customer);
    }

    /// Counts a request that was read. Returns whether its customer brings little of what arrives.
    pub(super) fn ask(&self, customer: CustomerId) -> bool {
        self.demand().ask(self.context.clock.now(), customer)
    }

    /// Whether a customer brings little of what arrives.
    fn is_light(&self, customer: CustomerId) -> bool {
        self.demand().is_light(self.context.clock.now(), customer)
    }

    /// Logs whose connections were closed without an answer since the last call.
    fn log_unread(&self, config: &Config) {
        let summaries = self.demand().take_summaries(self.context.clock.now());
        let unread = summaries.iter().map(|summary| summary.unread).sum::<u64>();
        if unread == 0 {
            return;
        }
        for summary in summaries.iter().take(LOGGED_CUSTOMERS_MAX) {
            let customer = summary.customer.and_then(|id| config.customers.get(&id));
            tracing::info!(
                event = Line::ConnectionsUnread.as_str(),
                customer = customer.map_or("", |customer| customer.name.as_str()),
                is_known = summary.customer.is_some(),
                asked = summary.asked,
                unread = summary.unread,
                of = unread,
            );
        }
    }

    fn demand(&self) -> MutexGuard<'_, Demand> {
        self.demand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the gauges of pooled connections, memory for bodies and the reactor's queue.
    fn update_gauges(&self) {
        let metrics = &self.context.metrics;
        let idle_connections = self.pool.len() + self.peers.len();
        metrics.idle_connections.set(gauge_value(idle_connections));
        let free = self.body_memory.available_permits();
        let taken = self.body_units.saturating_sub(free) * BODY_UNIT_BYTES;
        metrics.body_bytes.set(gauge_value(taken));
        metrics
            .queued_inputs
            .set(gauge_value(self.context.reactor.len()));
    }

    /// Accepts the next connection that is served or refused. Others are closed unread.
    async fn accept_next(&self, listener: &TcpListener) -> Accepted {
        loop {
            if !self.context.lateness.may_accept() {
                tokio::time::sleep(PROBE_INTERVAL).await;
                continue;
            }
            let stream = accept(listener).await;
            let mut customer = None;
            let admission = self.context.lateness.admit_connection(|| {
                customer = self.peek_customer(&stream);
                customer.is_some_and(|customer| self.is_light(customer))
            });
            match admission {
                Admission::Admit => return Accepted::Serve(stream),
                Admission::Refuse => return Accepted::Refuse(stream),
                // The connection's task would only run after all tasks that are already late.
                Admission::Close | Admission::Wait => self.count_unread(customer),
            }
        }
    }

    /// Takes a permit for a connection. If none is left, the connection that has been idle longest
    /// is closed for it.
    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.connection_permits.clone().try_acquire_owned() {
            return Some(permit);
        }
        if !self.registry.make_room() {
            return None;
        }
        let permit = self.connection_permits.clone().acquire_owned();
        tokio::time::timeout(MAKE_ROOM_TIMEOUT, permit)
            .await
            .ok()?
            .ok()
    }

    /// Waits for a permit, or until a connection without one may be refused; others wait in the
    /// accept queue.
    async fn place(&self) -> Place {
        if let Some(permit) = self.permit().await {
            return Place::Free(permit);
        }
        let lateness = &self.context.lateness;
        if !lateness.answers_excess() {
            return Place::None;
        }
        for _ in 0..REFUSAL_PROBES_MAX {
            if lateness.refuse_connection() {
                return Place::Refusal;
            }
            let permit = self.connection_permits.clone().acquire_owned();
            if let Ok(Ok(permit)) = tokio::time::timeout(PROBE_INTERVAL, permit).await {
                return Place::Free(permit);
            }
        }
        Place::None
    }

    /// Runs a task that outlives its connection, and is joined at the end.
    pub(super) fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut tasks = self.background();
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    fn background(&self) -> MutexGuard<'_, JoinSet<()>> {
        let tasks = self.background.lock();
        tasks.unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves connections until the process closes them, and then completes the requests in
    /// progress.
    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().maintain());
        loop {
            let accepted = tokio::select! {
                accepted = self.accept_next(&listener) => accepted,
                Some(_) = tasks.join_next() => continue,
                () = self.context.work.until(Phase::Closing) => break,
            };
            let stream = match accepted {
                Accepted::Serve(stream) => stream,
                Accepted::Refuse(stream) => {
                    self.turn_away(stream, &mut tasks);
                    continue;
                }
            };
            match self.place().await {
                Place::Free(permit) => self.spawn_connection(stream, permit, &mut tasks),
                Place::Refusal => self.turn_away(stream, &mut tasks),
                // A connection above the bound is closed at once, which costs almost nothing.
                Place::None => self.count_unread(None),
            }
        }
        for stream in accept_queued(listener) {
            match self.connection_permits.clone().try_acquire_owned() {
                Ok(permit) => self.spawn_connection(stream, permit, &mut tasks),
                Err(_) => self.count_unread(None),
            }
        }
        join_until_cut(&mut tasks, &self.context.work).await;
        // The ends of requests may have begun further ones.
        let mut background = std::mem::take(&mut *self.background());
        while !background.is_empty() {
            join_until_cut(&mut background, &self.context.work).await;
            background = std::mem::take(&mut *self.background());
        }
    }

    /// Spawns the task of a connection.
    fn spawn_connection(
        self: &Arc<Self>,
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        tasks: &mut JoinSet<()>,
    ) {
        let frontend = self.clone();
        tasks.spawn(async move {
            frontend.serve_connection(stream).await;
            drop(permit);
        });
    }

    /// Serves the requests on one connection.
    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        // Small events of a streamed answer are sent without delay.
        let _ = stream.set_nodelay(true);
        self.context.metrics.connections.inc();
        self.context.metrics.accepted_connections.inc();
        let registration = Arc::new(self.registry.open());
        let (frontend, shared) = (self.clone(), registration.clone());
        let state = socket::State::new();
        let socket = Socket::new(stream, state.clone());
        let socket_state = state.clone();
        let service = service_fn(move |request| {
            let work = frontend.context.work.begin(Stage::Body);
            let (frontend, activity) = (frontend.clone(), shared.begin(work, socket_state.begin()));
            let is_unframed = unframed::is_unframed(&request);
            // Boxed, so that an idle connection does not hold the memory of a request.
            Box::pin(async move {
                let reply = serve(frontend, request, &activity).await?;
                if let Some(AnswerDeadline(at)) = reply.extensions().get() {
                    activity.set_answer_deadline(*at);
                }
                // The connection is busy until the answer has been relayed.
                let reply = unframed::track(reply, is_unframed, activity);
                Ok::<_, std::convert::Infallible>(reply)
            })
        });
        let mut connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(self.context.callers.head_ms))
            .max_buf_size(2 * self.context.callers.head_max)
            .serve_connection(socket, service);
        let closed = tokio::select! {
            ended = &mut connection => Some(Closed::Ended(ended)),
            () = self.context.work.until(Phase::Closing) => None,
            () = Registration::until_idle_close(&registration) => None,
            () = Registration::until_unread_close(&registration) => Some(Closed::Ended(Ok(()))),
        };
        let closed = match closed {
            Some(closed) => closed,
            None => {
                let patience = async {
                    self.context.work.until(Phase::Closing).await;
                    tokio::time::sleep(HEAD_CLOSE_TIME).await;
                };
                let shut = Connection::graceful_shutdown;
                let closing = socket::close(Pin::new(&mut connection), &state, shut, patience);
                tokio::select! {
                    closed = closing => closed,
                    () = Registration::until_unread_close(&registration) => Closed::Ended(Ok(())),
                }
            }
        };
        match closed {
            Closed::Ended(Ok(())) => {}
            Closed::Ended(Err(error)) => {
                tracing::debug!(%error, "a caller's connection failed");
            }
            Closed::PartialHead => {
                let parts = connection.into_parts();
                // A response without a request would be taken for that to the next one.
                if !parts.read_buf.is_empty() {
                    self.refuse_partial_head(parts.io.into_stream()).await;
                }
            }
        }
        self.context.metrics.connections.dec();
    }
}
