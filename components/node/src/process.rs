//! One process of the fleet: starts the roles that its settings name, and stops them in order.

mod stop;

use crate::control::{self, Control};
use crate::evacuation::Orders;
use crate::frontend::{Context as FrontendContext, Frontend};
use crate::handover::Handover;
use crate::input::Input;
use crate::interface::Interface;
use crate::journal::Journal;
use crate::metric::Metrics;
use crate::monitor::Lateness;
use crate::operators::{self, Parts as OperatorParts};
use crate::reactor::{Parts as ReactorParts, Reactor};
use crate::shared::{cancelled, Published, Shared};
use crate::work::Tally;
use crate::{http, inventory, listing, monitor, origin_log, platform, poll, readiness, releases};
use coordination::budget::{self, Budget, Resources};
use coordination::consensus::Admission;
use coordination::dispatcher::{Bounds, Location};
use coordination::retry;
use coordination::shutdown::Phase;
use errors::{Error, Result};
use protocol::wire::{Extension, Features, Hello};
use settings::{Peers, Settings};
use state::id::Name;
use state::line::Line;
use state::view::Node;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle as Thread;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use transport::clock::Clock;
use transport::link::{Hub, Socket, Timing};
use transport::tls::Credentials;

/// Time between two reads of the platform's list if the settings do not name it, in milliseconds.
const DEFAULT_LISTING_INTERVAL_MS: u64 = 500;

/// Addresses on which a process listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For links from other processes.
    pub link: SocketAddr,
    /// For callers, if this is a router.
    pub callers: Option<SocketAddr>,
    /// For operators.
    pub operators: SocketAddr,
}

/// A running process.
pub struct Process {
    addresses: Addresses,
    /// Longest time for requests in progress to end after a stop.
    grace: Duration,
    /// Whether a load balancer queries readiness before it sends callers here.
    has_readiness: bool,
    /// Work in progress.
    work: Tally,
    metrics: Metrics,
    /// Links to other processes.
    hub: Hub,
    /// Channel to the reactor.
    reactor: flume::Sender<Input>,
    reactor_task: JoinHandle<()>,
    /// Channel to the control role, and its thread.
    control: Option<(flume::Sender<control::Input>, Thread<()>)>,
    /// Thread that writes origins of streams. It ends after the reactor.
    origins: Option<Thread<()>>,
    /// Tasks that serve requests. They end by the phase.
    servers: Vec<JoinHandle<()>>,
    /// All other tasks but the reactor's. Requests may need them until the servers have ended.
    tasks: Vec<JoinHandle<()>>,
    /// Set to true to end these.
    stop: watch::Sender<bool>,
    /// Phase of the process.
    phase: watch::Sender<Phase>,
    /// State published by the reactor.
    published: watch::Receiver<Published>,
    /// Why the control role failed, once it has.
    failed: watch::Receiver<Option<String>>,
}

impl Process {
    /// Starts the roles that the settings name.
    ///
    /// # Errors
    ///
    /// If an address is in use, a key does not match its certificate, or the state on disk is
    /// damaged.
    pub async fn start(settings: Settings, interface: Interface) -> Result<Self> {
        let credentials = match &settings.link.keys {
            Some(files) => Credentials::read(&files.authority, &files.certificate, &files.key)?,
            None => Credentials::unauthenticated(&settings.vm.name)?,
        };
        let timing = Timing {
            idle_timeout: Duration::from_millis(settings.link.idle_ms),
            keep_alive_interval: Duration::from_millis(settings.link.keep_alive_ms),
        };
        let mut socket = Socket::bind(settings.link.listen, &credentials, timing)?;
        socket.set_buffer_bytes(budget::link_bytes(settings.vm.memory_bytes));
        Starter::new(settings, interface, socket)?.start().await
    }

    /// Addresses on which the process listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// A handle that applies changed settings.
    pub fn reloader(&self) -> Reloader {
        Reloader {
            reactor: self.reactor.clone(),
        }
    }

    /// Whether the process is ready to serve requests.
    pub fn is_ready(&self) -> bool {
        let published = self.published.borrow();
        published.ready && !published.stopping
    }

    /// Waits until the view asks this process to stop, or until it fails.
    ///
    /// # Errors
    ///
    /// If the control role has failed, for example because of its disk.
    pub async fn wait(&mut self) -> Result<()> {
        let keeps_state = self.control.is_some();
        let failed = async {
            match self.failed.wait_for(Option::is_some).await {
                Ok(reason) => reason.clone().unwrap_or_default(),
                Err(_) if keeps_state => "the control thread has ended".to_owned(),
                // Without a control role there is none that could fail.
                Err(_) => std::future::pending().await,
            }
        };
        tokio::select! {
            // The reactor publishes until this process ends.
            _ = self.published.wait_for(|p| p.stopping) => Ok(()),
            reason = failed => Err(Error::Key { step: "keep the durable state", reason }),
        }
    }
}

/// Applies changed settings to a running process.
#[derive(Clone)]
pub struct Reloader {
    reactor: flume::Sender<Input>,
}

impl Reloader {
    /// Applies the settings that can change while a process runs: the places of control VMs. All
    /// others need a restart.
    pub fn apply(&self, settings: &Settings) {
        let seeds = settings.peers.nodes().to_vec();
        // If the reactor has ended, the process is stopping.
        let _ = self.reactor.send(Input::Seeds(seeds));
    }
}

/// Dependencies of a process while it starts.
struct Starter {
    settings: Settings,
    interface: Interface,
    /// Socket of the links.
    socket: Socket,
    /// Name of this VM, and the address of its links.
    node: Node,
    /// Random number that identifies this run of the process.
    incarnation: u64,
    clock: Clock,
    journal: Journal,
    metrics: Metrics,
    work: Tally,
    phase: watch::Sender<Phase>,
}

impl Starter {
    /// Creates the dependencies of a process with these settings.
    fn new(settings: Settings, interface: Interface, socket: Socket) -> Result<Self> {
        let address = socket.address()?;
        let clock = Clock::default();
        let metrics = Metrics::new()?;
        let (phase, phases) = watch::channel(Phase::default());
        Ok(Starter {
            node: Node {
                vm: settings.vm.name.clone(),
                address,
            },
            incarnation: rand::random::<u64>() | 1,
            journal: Journal::new(clock.clone(), settings.log.events),
            clock,
            work: Tally::new(&metrics, phases),
            phase,
            metrics,
            settings,
            interface,
            socket,
        })
    }

    /// Control VMs named in the settings, with the bound port of this VM if the settings left it
    /// open.
    fn seeds(&self) -> Vec<Node> {
        let mut seeds: Vec<Node> = self.settings.peers.nodes().to_vec();
        for seed in &mut seeds {
            if seed.vm == self.node.vm && seed.address.port() == 0 {
                seed.address = self.node.address;
            }
        }
        seeds
    }

    /// Limits of this router, from the resources of its VM and the settings.
    fn budget(settings: &Settings) -> Budget {
        let named = settings.vm.descriptors.unwrap_or(u64::MAX);
        let limit = transport::descriptor::limit().unwrap_or(u64::MAX);
        let vm = Resources {
            memory_bytes: settings.vm.memory_bytes,
            descriptors: named.min(limit),
        };
        let budget = Budget::from(vm);
        let named = settings.callers.as_ref().map(|c| c.connections);
        budget.within(named.unwrap_or(usize::MAX), settings.router.queue_bytes)
    }

    /// Data centres that the settings name.
    fn data_centres(settings: &Settings) -> Arc<BTreeSet<Name>> {
        let named = settings.regions.keys().cloned();
        let own = std::iter::once(settings.vm.data_centre.clone());
        Arc::new(named.chain(own).collect())
    }

    /// Starts the servers for readiness and releases, if the settings name them.
    async fn start_optional(
        settings: &Settings,
        interface: Interface,
        ready: &readiness::Parts,
        reactor: &flume::Sender<Input>,
        control: Option<&flume::Sender<control::Input>>,
        orders: Orders,
        work: &Tally,
    ) -> Result<Vec<JoinHandle<()>>> {
        let mut servers = Vec::new();
        if let Some(readiness) = &settings.readiness {
            let parts = ready.clone();
            let listener = bind("bind the address of readiness", readiness.listen).await?;
            let answer = move |_| std::future::ready(readiness::answer(parts.is_ready()));
            let serve = http::serve(listener, answer, work.clone());
            servers.push(tokio::spawn(serve));
        }
        if let (Some(releases), Some(control)) = (&settings.releases, control) {
            let listener = bind("bind the address of releases", releases.listen).await?;
            let mut parts =
                releases::Parts::new(interface, reactor.clone(), control.clone(), orders);
            parts.stream_objectives =
                (settings.control.as_ref()).is_some_and(|control| control.stream_objectives);
            let parts = Arc::new(parts);
            let answer = move |request| releases::answer(parts.clone(), request);
            let serve = http::serve(listener, answer, work.clone());
            servers.push(tokio::spawn(serve));
        }
        Ok(servers)
    }

    /// Starts all roles and tasks.
    async fn start(self) -> Result<Process> {
        let seeds = self.seeds();
        let listener = match &self.settings.callers {
            Some(callers) => Some(listen("bind the callers' address", callers.listen)?),
            None => None,
        };
        let callers = listener.as_ref().and_then(|l| l.local_addr().ok());
        let (reactor, inputs) = flume::unbounded();
        let (publish, published) = watch::channel(Arc::new(Shared::default()));
        let (publish_suspicions, suspicions) = watch::channel(Arc::default());
        let survivals = Arc::default();
        let (stop, stopped) = watch::channel(false);
        let (fail, failed) = watch::channel(None);
        let (to_control, control_inputs) = flume::unbounded();
        let to_control = self.settings.control.as_ref().map(|_| to_control);

        // The hub's greeting contains the operators' address, which is therefore bound first.
        let step = "bind the operators' address";
        let operators_listener = bind(step, self.settings.operators.listen).await?;
        let operators_address = operators_listener.local_addr().map_err(Error::file(
            step,
            self.settings.operators.listen.to_string(),
        ))?;
        let hello = Hello {
            node: self.node.clone(),
            incarnation: self.incarnation,
            operator_address: operators_address,
            data_centre: self.settings.vm.data_centre.clone(),
            extension: Extension {
                features: Features::ALL,
                callers,
            },
        };
        let (hub, events) = self.socket.start(hello, self.clock.clone());
        let data_centres = Starter::data_centres(&self.settings);
        let orders = || Orders::new(reactor.clone(), published.clone(), data_centres.clone());
        let handover = (self.settings.router.handover && callers.is_some()).then(|| {
            let interval = Duration::from_millis(self.settings.router.relay_interval_ms);
            Handover::new(self.clock.clone(), self.metrics.clone(), interval)
        });
        let operator_parts = Arc::new(OperatorParts {
            key: self.settings.operators.key,
            hub: hub.clone(),
            clock: self.clock.clone(),
            journal: self.journal.clone(),
            metrics: self.metrics.clone(),
            reactor: reactor.clone(),
            control: to_control.clone(),
            published: published.clone(),
            fault_hook: self.settings.fault.hook,
            handover: handover.clone(),
            orders: orders(),
            files: OperatorParts::file_limit(),
        });
        let answer = move |request| operators::respond(operator_parts.clone(), request);
        let operators = http::serve(operators_listener, answer, self.work.clone());
        let control = match (&self.settings.control, &to_control) {
            (Some(settings), Some(sender)) => {
                let control = Control::open(control::Parts {
                    node: self.node.clone(),
                    seeds: seeds.clone(),
                    admission: admission(&self.settings.peers, settings),
                    data: settings.data.clone(),
                    compact_bytes: settings.compact_bytes,
                    stream_objectives: settings.stream_objectives,
                    hub: hub.clone(),
                    clock: self.clock.clone(),
                    journal: self.journal.clone(),
                    metrics: self.metrics.clone(),
                    reactor: reactor.clone(),
                })?;
                let thread = std::thread::Builder::new()
                    .name("control".to_owned())
                    .spawn(move || {
                        if let Err(error) = control.run(&control_inputs) {
                            tracing::error!(event = Line::StateLost.as_str(), %error);
                            fail.send_replace(Some(error.to_string()));
                        }
                    })
                    .map_err(Error::file("start a thread", "control"))?;
                Some((sender.clone(), thread))
            }
            _ => None,
        };
        let (origin_log, origins, stored_origins) = match &self.settings.control {
            Some(control) => {
                let (clock, metrics) = (self.clock.clone(), self.metrics.clone());
                let (sender, thread, stored) =
                    origin_log::start(control.data.clone(), clock, metrics)?;
                (Some(sender), Some(thread), stored)
            }
            None => (None, None, Vec::new()),
        };
        let answers_excess = self.settings.router.answer_excess;
        let lateness = Lateness::new(answers_excess);
        let (inquiries, inquiry_receiver) = flume::unbounded();
        let parts = ReactorParts {
            hub: hub.clone(),
            inquiries: self.interface.inventory.map(|_| inquiries),
            clock: self.clock.clone(),
            journal: self.journal.clone(),
            metrics: self.metrics.clone(),
            seeds,
            listing_interval_ms: (self.settings.listing.as_ref())
                .map_or(DEFAULT_LISTING_INTERVAL_MS, |l| l.every_ms),
            origin_log,
            stored_origins,
            home: Location {
                region: self.settings.vm.region.clone(),
                data_centre: self.settings.vm.data_centre.clone(),
                incarnation: hub.hello().incarnation,
            },
            bounds: Bounds {
                requests: self.settings.router.queue,
                bytes: self.settings.router.queue_bytes,
            },
            fanout: match &self.settings.control {
                Some(control) => control.fanout,
                None => self.settings.router.fanout,
            },
            is_control: self.settings.control.is_some(),
            may_schedule: self.settings.scheduler,
            scheduling: self.settings.scheduling,
            serves_callers: self.settings.callers.is_some(),
            handover: handover.clone(),
            max_proof_age_ms: self.settings.router.stale_ms,
            to_control: to_control.clone(),
            publish,
            suspicions: publish_suspicions,
            survivals: Arc::clone(&survivals),
        };
        let ready = readiness::Parts {
            published: published.clone(),
            clock: self.clock.clone(),
            stale_ms: self.settings.router.stale_ms,
            lateness: lateness.clone(),
        };
        let reactor_task = tokio::spawn(Reactor::new(parts).run(inputs));
        let mut servers = vec![tokio::spawn(operators)];
        servers.extend(
            Starter::start_optional(
                &self.settings,
                self.interface,
                &ready,
                &reactor,
                to_control.as_ref(),
                orders(),
                &self.work,
            )
            .await?,
        );
        let mut tasks = vec![tokio::spawn(forward(
            events,
            reactor.clone(),
            stopped.clone(),
        ))];
        if let Some(listing) = &self.settings.listing {
            tasks.push(tokio::spawn(listing::run(
                listing.clone(),
                self.interface,
                self.settings.regions.clone(),
                reactor.clone(),
                stopped.clone(),
            )));
        }
        let memory = self.settings.vm.memory_bytes;
        let mut budget = Starter::budget(&self.settings);
        let refusals = match answers_excess {
            true => budget.set_aside_refusals(),
            false => 0,
        };
        let monitor = monitor::run(
            lateness.clone(),
            self.metrics.clone(),
            memory,
            budget.connections,
            published.clone(),
            handover.clone(),
            stopped.clone(),
        );
        tasks.push(tokio::spawn(monitor));
        if self.settings.scheduler {
            tasks.push(tokio::spawn(poll::run(reactor.clone(), stopped.clone())));
            if let Some(inventory) = self.interface.inventory {
                let queries = inventory::run(
                    inventory,
                    inquiry_receiver,
                    reactor.clone(),
                    stopped.clone(),
                );
                tasks.push(tokio::spawn(queries));
            }
        }
        if let Some(platform) = &self.settings.platform {
            tasks.push(tokio::spawn(platform::run(
                platform.clone(),
                reactor.clone(),
                published.clone(),
                stopped.clone(),
            )));
        }
        if let (Some(callers), Some(listener)) = (&self.settings.callers, listener) {
            let frontend = Frontend::new(FrontendContext {
                callers: callers.clone(),
                customer_queue_limit: self.settings.router.queue_customer,
                budget,
                refusals,
                lateness,
                max_proof_age_ms: self.settings.router.stale_ms,
                resume: self.settings.router.resume,
                interface: self.interface,
                retry_bounds: retry::Bounds {
                    per_mille: self.settings.router.retries.per_mille,
                    extra: self.settings.router.retries.extra,
                    window_ms: self.settings.router.retries.window_ms,
                },
                data_centre: self.settings.vm.data_centre.clone(),
                incarnation: self.incarnation,
                clock: self.clock.clone(),
                journal: self.journal.clone(),
                metrics: self.metrics.clone(),
                work: self.work.clone(),
                reactor: reactor.clone(),
                published: published.clone(),
                suspicions,
                survivals,
                handover,
                vm: hub.hello().node.vm.clone(),
            });
            servers.push(tokio::spawn(frontend.run(listener)));
        }
        let addresses = Addresses {
            link: self.node.address,
            callers,
            operators: operators_address,
        };
        tracing::info!(
            event = Line::Started.as_str(),
            vm = %self.node.vm,
            incarnation = self.incarnation,
            link = %addresses.link,
            operators = %addresses.operators,
            callers = ?addresses.callers,
            connections = budget.connections,
            refusals,
            body_bytes = budget.body_bytes,
        );
        Ok(Process {
            addresses,
            grace: Duration::from_millis(self.settings.vm.grace_ms),
            has_readiness: self.settings.readiness.is_some(),
            work: self.work,
            metrics: self.metrics,
            hub,
            reactor,
            reactor_task,
            control,
            origins,
            servers,
            tasks,
            stop,
            phase: self.phase,
            published,
            failed,
        })
    }
}

/// Rule for which VMs may become control VMs.
fn admission(peers: &Peers, control: &settings::Control) -> Admission {
    match peers {
        Peers::Named(_) => Admission::Seeds,
        Peers::Seeds(seeds) => Admission::Open {
            may_bootstrap: control.may_bootstrap,
            // There are at most three seeds, but a fleet may need more than three voters to
            // survive the losses that it should.
            voters: seeds.len().max(control.voters()),
        },
    }
}

/// Largest number of callers' connections that the kernel queues until they are accepted.
///
/// A router accepts this many within 200 ms, even while it closes most of them unread. From a
/// longer queue it would accept connections whose callers have given up.
const ACCEPT_BACKLOG: u32 = 256;

/// Listens for callers with a bounded accept queue.
fn listen(step: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(ACCEPT_BACKLOG)
    };
    listen().map_err(Error::file(step, address.to_string()))
}

/// Listens on an address with the default accept queue.
async fn bind(step: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(Error::file(step, address.to_string()))
}

/// Forwards events of the links to the reactor.
async fn forward(
    events: flume::Receiver<transport::link::Event>,
    reactor: flume::Sender<Input>,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        tokio::select! {
            event = events.recv_async() => match event {
                Ok(event) => if reactor.send(Input::Link(event)).is_err() { return },
                Err(_) => return,
            },
            () = cancelled(&mut stop) => return,
        }
    }
}
