//! A soak run: a fleet of real processes, its callers, and the faults of one seed.

use super::callers::{
    self, Route, Shared, PART_OF_DEATH, PROBE_TIMEOUT, QUERY_OF_DEATH, RECOVERY_TIMEOUT, REVOCATION,
};
use super::check::{End, Kind, Observations};
use super::harness::http::{request, Client};
use super::harness::listing::List;
use super::harness::{Fleet, Plan, Process, Vm, OPERATOR_KEY};
use super::operator::{Command, InForce, Operator};
use super::proxy::{Mode, Proxy};
use super::releases;
use super::schedule::{
    schedule, Act, Step, Target, CONTROL_COUNT, EVACUATED, EVACUATED_DATA_CENTRE, PROXIED,
    ROUTER_COUNT, STAND_IN_COUNT, VM_COUNT,
};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::{JoinHandle, JoinSet};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Grace period of the VMs.
const GRACE: Duration = Duration::from_secs(8);
/// Path of the fault injection that restores all links of a VM.
const JOIN_PATH: &str = "/fault/cut";

/// Result of a run.
pub(crate) struct Report {
    /// Numbers of faults by kind, answers by result, and other events.
    pub(crate) counts: BTreeMap<&'static str, u64>,
    /// Violated guarantees.
    pub(crate) violations: Vec<String>,
    /// Folder of the logs, which is kept if a guarantee was violated.
    pub(crate) folder: PathBuf,
}

/// A run in progress.
struct Run {
    fleet: Fleet,
    runtime: Runtime,
    shared: Arc<Shared>,
    proxies: Vec<Proxy>,
    list: List,
    operator: JoinHandle<InForce>,
    commands: UnboundedSender<Command>,
    callers: JoinSet<()>,
    /// VMs whose present process was sent SIGTERM.
    terminated: [bool; VM_COUNT],
    /// VMs whose present process is paused.
    paused: [bool; VM_COUNT],
    /// When the present process of each VM was first sent SIGTERM, unless it was paused since.
    stopping_since: [Option<Instant>; VM_COUNT],
    /// VMs that are restarted as soon as their process has exited.
    restart_pending: [bool; VM_COUNT],
}

/// Runs the schedule of a seed, ends all faults and checks the guarantees.
pub(crate) fn run(seed: u64, length: Duration) -> Report {
    let mut run = Run::start(seed);
    let began = Instant::now();
    for step in schedule(seed, length) {
        run.wait(step, began);
        if let Some(kind) = step.kind {
            run.shared.observations.count(kind);
        }
        run.act(step.act);
    }
    run.shared.stop_crashes.store(true, Ordering::Relaxed);
    run.heal();
    run.check_quarantine();
    run.check_evacuation();
    run.check_served();
    run.check_versions_served();
    run.finish()
}

/// Sends something through the router with this index; returns whether it was refused as
/// quarantined.
type Send = fn(&Run, usize) -> bool;

impl Run {
    fn start(seed: u64) -> Self {
        let list = List::start();
        let mut fleet = Fleet::start(Plan {
            control: CONTROL_COUNT,
            routers: ROUTER_COUNT,
            // A router without schedulers to hand over stops at once.
            schedulers: ROUTER_COUNT - usize::from(seed % 2 == 1),
            models: 2,
            plain_services: 2,
            vm_keys: format!("grace = {}s", GRACE.as_secs()),
            model_args: &["--crash-part", callers::DEADLY_PART],
            settings: format!(
                "[router]\nresume = yes\nrevocation = {}s\n\
                 [listing]\naddress = {}\nevery = 200ms\n",
                REVOCATION.as_secs(),
                list.address()
            ),
            ..Plan::default()
        });
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let routers = fleet.vms.iter().filter_map(|v| v.callers);
        let endpoints = PROXIED.iter().map(|n| fleet.stand_ins[*n].address);
        let targets: Vec<_> = routers.chain(endpoints).collect();
        let inside = runtime.enter();
        let proxies: Vec<Proxy> = targets.iter().map(|t| Proxy::start(*t)).collect();
        let routes = targets.iter().zip(&proxies).take(ROUTER_COUNT);
        let routes = routes.map(|(direct, proxy)| Route {
            direct: *direct,
            proxied: proxy.address,
        });
        let shared = Arc::new(Shared {
            seed,
            routes: routes.collect(),
            observations: Observations::default(),
            stop: AtomicBool::new(false),
            stop_crashes: AtomicBool::new(false),
            names: AtomicU32::new(0),
            disturbances: (0..ROUTER_COUNT).map(|_| AtomicU32::new(0)).collect(),
        });
        let mut operator = Operator {
            shared: shared.clone(),
            vms: fleet.vms.iter().map(|v| v.operators).collect(),
            text: releases::add_service(&text(&fleet, &proxies)),
            in_force: InForce {
                revocable_key: "guest-0".to_owned(),
                ..InForce::default()
            },
            sent: 0,
        };
        releases::add_stand_ins(&mut fleet);
        releases::set_list(&list, &fleet, u32::MAX);
        let (commands, received) = tokio::sync::mpsc::unbounded_channel();
        runtime.block_on(operator.change());
        fleet.wait_version(operator.in_force.version);
        let operator = runtime.spawn(operator.run(received));
        let mut callers = JoinSet::new();
        callers::start(&shared, &mut callers);
        releases::start(&shared, &mut callers);
        drop(inside);
        Run {
            fleet,
            runtime,
            shared,
            proxies,
            list,
            operator,
            commands,
            callers,
            terminated: [false; VM_COUNT],
            paused: [false; VM_COUNT],
            stopping_since: [None; VM_COUNT],
            restart_pending: [false; VM_COUNT],
        }
    }

    /// Waits until a step is due.
    fn wait(&mut self, step: Step, began: Instant) {
        loop {
            self.reap();
            let left = step.at.saturating_sub(began.elapsed());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left.min(POLL_INTERVAL));
        }
    }

    /// Handles processes that have exited: restarts crashed stand-ins, and reports a violation
    /// unless a VM exited with status 0 after SIGTERM.
    fn reap(&mut self) {
        for stand_in in &mut self.fleet.stand_ins {
            // Any exit status is permitted: only the records of stand-ins are checked.
            let ended = stand_in.process.ended();
            if ended.is_some_and(|status| status.code() == Some(standin::CRASH_EXIT_CODE)) {
                self.shared.observations.count("engine crashed");
                stand_in.process.start();
            }
        }
        for (index, vm) in self.fleet.vms.iter_mut().enumerate() {
            let Some(status) = vm.process.ended() else {
                continue;
            };
            let asked = std::mem::replace(&mut self.terminated[index], false);
            let stopping_since = self.stopping_since[index].take();
            if let Some(took) = stopping_since.map(|since| since.elapsed()) {
                self.shared.observations.count("stop without a pause");
                if took > GRACE + POLL_INTERVAL {
                    let text = format!("{} took {took:?} to stop", vm.name);
                    self.shared.observations.report_violation(text);
                }
            }
            if !asked || !status.success() {
                let text = format!("{} exited with {status}, SIGTERM sent: {asked}", vm.name);
                self.shared.observations.report_violation(text);
            }
            if std::mem::replace(&mut self.restart_pending[index], false) {
                vm.start();
            }
        }
    }

    /// Carries out an act of the schedule.
    fn act(&mut self, act: Act) {
        let depart = |what: &str, index: usize| {
            let name = &self.fleet.stand_ins[index].name;
            self.command(Command::EndpointPath(format!("/stop?{what}={name}")));
        };
        match act {
            Act::SetProxy(index, mode) => self.proxies[index].set(mode),
            Act::Pause(target) => self.pause(target),
            Act::Resume(target) => self.resume(target),
            Act::Kill(target) => self.kill(target),
            Act::Terminate(target) => self.terminate(target),
            Act::Start(target) => self.start_again(target),
            Act::Cut(vm, peer) => self.cut(vm, &self.fleet.vms[peer..=peer]),
            Act::Isolate(vm) => self.cut(vm, &self.fleet.vms),
            Act::Join(vm) => self.inject(vm, JOIN_PATH),
            Act::Suspend(vm, ms) => self.inject(vm, &format!("/fault/suspend?ms={ms}")),
            Act::Wipe(index) => {
                self.kill(Target::Vm(index));
                self.fleet.vms[index].wipe();
            }
            Act::Change => self.command(Command::Change),
            Act::Revoke => self.command(Command::Revoke),
            Act::Evacuate => self.evacuate("POST"),
            Act::EndEvacuation => self.evacuate("DELETE"),
            Act::Withdraw(index) => depart("endpoint", index),
            Act::Return(index) => depart("endpoint-back", index),
            Act::List(listed) => releases::set_list(&self.list, &self.fleet, listed),
            Act::KillAll => (0..VM_COUNT).for_each(|vm| self.kill(Target::Vm(vm))),
            Act::StartAll => (0..VM_COUNT).for_each(|vm| self.start_again(Target::Vm(vm))),
            Act::Flood(index) => {
                let flood = callers::flood(self.shared.clone(), index);
                self.callers.spawn_on(flood, self.runtime.handle());
            }
        }
    }

    fn evacuate(&self, method: &'static str) {
        let path = format!("/evacuation?data-centre={EVACUATED_DATA_CENTRE}");
        self.command(Command::Evacuate(method, path));
    }

    fn cut(&self, vm: usize, peers: &[Vm]) {
        let names: Vec<&str> = peers.iter().map(|p| p.name.as_str()).collect();
        self.inject(vm, &format!("/fault/cut?peers={}", names.join(",")));
    }

    /// Sends a fault injection to a VM; a VM that is down or paused may not receive it.
    fn inject(&self, vm: usize, path: &str) {
        let asked = inject_fault(self.fleet.vms[vm].operators, path.to_owned());
        self.runtime.spawn(asked);
    }

    /// Restores all links of all VMs.
    fn join_links(&mut self) {
        self.wait_for("all VMs have restored their links", |run| {
            let all = run.fleet.vms.iter().map(|v| v.operators);
            let asked = all.map(|vm| run.runtime.block_on(inject_fault(vm, JOIN_PATH.to_owned())));
            asked.filter(|joined| !joined).count() == 0
        });
    }

    fn command(&self, command: Command) {
        self.commands.send(command).unwrap();
    }

    fn process(&mut self, target: Target) -> &mut Process {
        match target {
            Target::Vm(index) => &mut self.fleet.vms[index].process,
            Target::StandIn(index) => &mut self.fleet.stand_ins[index].process,
        }
    }

    /// Sends a signal unless the process is down.
    fn signal(&mut self, target: Target, signal: &str) {
        let process = self.process(target);
        if process.is_live() {
            process.signal(signal);
        }
    }

    /// Counts that the requests of a router may be lost or late.
    fn disturb(&self, index: usize) {
        if let Some(router) = index.checked_sub(CONTROL_COUNT) {
            self.shared.disturbances[router].fetch_add(1, Ordering::Relaxed);
        }
    }

    fn pause(&mut self, target: Target) {
        if let Target::Vm(index) = target {
            self.disturb(index);
            self.paused[index] = self.fleet.vms[index].is_live();
            self.stopping_since[index] = None;
        }
        self.signal(target, "-STOP");
    }

    fn resume(&mut self, target: Target) {
        self.signal(target, "-CONT");
        if let Target::Vm(index) = target {
            self.disturb(index);
            self.paused[index] = false;
        }
    }

    fn kill(&mut self, target: Target) {
        if let Target::Vm(index) = target {
            self.disturb(index);
            self.terminated[index] = false;
            self.paused[index] = false;
            self.stopping_since[index] = None;
        }
        self.process(target).kill();
    }

    fn terminate(&mut self, target: Target) {
        self.signal(target, "-TERM");
        if let Target::Vm(index) = target {
            let is_live = self.fleet.vms[index].is_live();
            let is_first = is_live && !self.terminated[index];
            self.terminated[index] |= is_live;
            if is_first && !self.paused[index] {
                self.stopping_since[index] = Some(Instant::now());
            }
        }
    }

    /// Starts a process that is down; one that is stopping is restarted after its exit.
    fn start_again(&mut self, target: Target) {
        if let Target::Vm(index) = target {
            self.restart_pending[index] = self.terminated[index];
        }
        let process = self.process(target);
        if !process.is_live() {
            process.start();
        }
    }

    /// Ends all faults.
    fn heal(&mut self) {
        for proxy in &self.proxies {
            proxy.set(Mode::Pass);
        }
        for index in 0..STAND_IN_COUNT {
            self.signal(Target::StandIn(index), "-CONT");
            // The stand-in may be about to exit after SIGTERM.
            self.kill(Target::StandIn(index));
            self.start_again(Target::StandIn(index));
            self.act(Act::Return(index));
        }
        self.act(Act::EndEvacuation);
        self.act(Act::List(u32::MAX));
        for index in 0..VM_COUNT {
            self.resume(Target::Vm(index));
        }
        self.wait_for("VMs that were sent SIGTERM have exited", |run| {
            run.reap();
            !run.terminated.contains(&true)
        });
        for index in 0..VM_COUNT {
            self.start_again(Target::Vm(index));
        }
        self.join_links();
        self.wait_for("all VMs are ready", |run| {
            run.reap();
            run.fleet.vms.iter().all(|vm| vm.is_ready())
        });
        // A VM that was paused may have read a request to cut links after the first restore.
        self.join_links();
    }

    /// Polls a condition until it is true; reports a violation after `RECOVERY_TIMEOUT`.
    fn wait_for<F>(&mut self, what: &str, mut holds: F)
    where
        F: FnMut(&mut Self) -> bool,
    {
        let began = Instant::now();
        while !holds(self) {
            if began.elapsed() > RECOVERY_TIMEOUT {
                self.shared
                    .observations
                    .report_violation(format!("timed out waiting for: {what}"));
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Checks that routers forward no query of death, and no request with the deadly part, once all
    /// of them refuse it to all customers that send it.
    fn check_quarantine(&mut self) {
        self.check_refused(QUERY_OF_DEATH, &[Run::send_query_of_death]);
        let customers: [Send; 2] = [
            |run, index| run.send_part_of_death(index, "alpha"),
            |run, index| run.send_part_of_death(index, "beta"),
        ];
        self.check_refused(PART_OF_DEATH, &customers);
        self.wait_for("crashed engines accept connections", |run| {
            run.reap();
            (run.fleet.stand_ins.iter()).all(|s| TcpStream::connect(s.address).is_ok())
        });
    }

    /// Waits until each router refuses what each of `senders` sends, with this label, and checks that
    /// no more of it reaches engines.
    fn check_refused(&mut self, label: &str, senders: &[Send]) {
        for send in senders {
            for index in 0..ROUTER_COUNT {
                let what = format!("router {index} refuses the {label}");
                self.wait_for(&what, |run| {
                    run.reap();
                    send(run, index)
                });
            }
        }
        let before = self.calls_with_label(label);
        for n in 0..4 * ROUTER_COUNT {
            senders[n / ROUTER_COUNT % senders.len()](self, n % ROUTER_COUNT);
        }
        let later = self.calls_with_label(label) - before;
        if later > 0 {
            let text = format!("the {label} reached engines {later} more times");
            self.shared.observations.report_violation(text);
        }
    }

    /// Sends the query of death through a router; returns whether it was refused as quarantined.
    fn send_query_of_death(&self, index: usize) -> bool {
        let address = self.shared.routes[index].direct;
        let sent = callers::query_of_death(&self.shared, address);
        self.runtime.block_on(sent)
    }

    /// Sends a customer's request with the deadly part through a router; returns whether it was refused as
    /// quarantined.
    fn send_part_of_death(&self, index: usize, customer: &str) -> bool {
        let address = self.shared.routes[index].direct;
        let sent = callers::part_of_death(&self.shared, address, customer);
        self.runtime.block_on(sent)
    }

    /// Number of times that requests with this label have reached engines.
    fn calls_with_label(&self, label: &str) -> usize {
        let all = self
            .fleet
            .stand_ins
            .iter()
            .flat_map(|s| s.recorded_labels());
        all.filter(|l| l.starts_with(label)).count()
    }

    /// Checks that an evacuated data centre gets no requests while others serve them.
    fn check_evacuation(&mut self) {
        self.act(Act::Evacuate);
        for index in 0..ROUTER_COUNT {
            let what = format!("router {index} has evacuated {EVACUATED_DATA_CENTRE}");
            self.wait_for(&what, |run| {
                let status = run.fleet.vms[CONTROL_COUNT + index]
                    .status()
                    .unwrap_or_default();
                status["evacuated"][0] == EVACUATED_DATA_CENTRE
            });
        }
        // Requests sent before the evacuation may still arrive.
        std::thread::sleep(POLL_INTERVAL);
        let before = self.evacuated_calls();
        self.check_served();
        let later = self.evacuated_calls() - before;
        if later > 0 {
            let text = format!("{EVACUATED_DATA_CENTRE} got {later} requests after its evacuation");
            self.shared.observations.report_violation(text);
        }
        self.act(Act::EndEvacuation);
    }

    /// Number of calls that have reached the stand-ins of the evacuated data centre.
    fn evacuated_calls(&self) -> usize {
        let all = EVACUATED.iter().map(|n| &self.fleet.stand_ins[*n]);
        all.map(|s| s.recorded_labels().len()).sum()
    }

    /// Checks that requests of each customer and kind are served by each router, directly and
    /// through its proxy.
    fn check_served(&self) {
        let began = Instant::now();
        for route in &self.shared.routes {
            for address in [route.direct, route.proxied] {
                for customer in ["alpha", "beta", "gamma"] {
                    for kind in [Kind::Stream(3), Kind::Booking] {
                        let sent = served(&self.shared, address, customer, kind, began);
                        self.runtime.block_on(sent);
                    }
                }
            }
        }
    }

    /// Checks that each router serves the service whose endpoints have several versions.
    fn check_versions_served(&mut self) {
        for index in 0..ROUTER_COUNT {
            let what = format!("router {index} serves {}", releases::PATH);
            self.wait_for(&what, |run| {
                let http = request("POST", releases::PATH, "alpha", &[], "last");
                let mut client = Client::new(run.shared.routes[index].direct);
                let answer = run.runtime.block_on(client.call(http, PROBE_TIMEOUT));
                answer.status == 200 && answer.complete
            });
        }
    }

    /// Stops callers and operator, and runs the final checks.
    fn finish(mut self) -> Report {
        self.shared.stop.store(true, Ordering::Relaxed);
        while let Some(ended) = self.runtime.block_on(self.callers.join_next()) {
            ended.unwrap();
        }
        // The operator ends when its channel is closed.
        let (closed, _) = tokio::sync::mpsc::unbounded_channel();
        self.commands = closed;
        let in_force = self.runtime.block_on(&mut self.operator).unwrap();
        self.check_in_force(&in_force);
        self.check_idle();
        self.check_logs();
        self.reap();
        for vm in &self.fleet.vms {
            let log = vm.log();
            for _ in log.lines().filter(|line| line.contains(" resumed=")) {
                self.shared.observations.count("stream resumed");
            }
        }
        let records: Vec<String> = (self.fleet.stand_ins.iter())
            .flat_map(|s| s.recorded_labels())
            .collect();
        let (counts, violations) = self.shared.observations.close(&records);
        if !violations.is_empty() {
            self.fleet.folder.disable_cleanup(true);
        }
        Report {
            counts,
            violations,
            folder: self.fleet.folder.path().to_owned(),
        }
    }

    /// Checks that the last accepted configuration is in force on every router.
    fn check_in_force(&mut self, in_force: &InForce) {
        for index in 0..ROUTER_COUNT {
            let what = format!("router {index} has {in_force:?}");
            self.wait_for(&what, |run| {
                let direct = run.shared.routes[index].direct;
                let ask = |path: &str, key: &str| {
                    let http = request("POST", path, key, &[], "");
                    let mut client = Client::new(direct);
                    run.runtime.block_on(client.call(http, RECOVERY_TIMEOUT))
                };
                let marker = callers::marker(&ask("/forbidden", "alpha"));
                // A refusal of revoked keys is meaningful only if a key in force is accepted.
                marker == Some(in_force.marker)
                    && ask("/booking", &in_force.revocable_key).status == 200
            });
        }
    }

    /// Checks that no request is held or queued on a router once all callers have ended.
    fn check_idle(&mut self) {
        for index in CONTROL_COUNT..VM_COUNT {
            let what = format!("{} is idle", self.fleet.vms[index].name);
            self.wait_for(&what, |run| {
                let status = run.fleet.vms[index].status().unwrap_or_default();
                let waiting = status["waiting"].as_object();
                status["held"] == 0
                    && waiting.is_some_and(|w| w.values().all(|n| n == 0))
                    && status["local"].as_array().is_some_and(Vec::is_empty)
            });
        }
    }

    /// Checks that no VM has logged a panic.
    fn check_logs(&self) {
        for vm in &self.fleet.vms {
            if let Some(line) = vm.log().lines().find(|l| l.contains("panicked")) {
                let text = format!("{}: {line}", vm.name);
                self.shared.observations.report_violation(text);
            }
        }
    }
}

/// Sends a request to the fault injection of a VM; returns whether it succeeded.
async fn inject_fault(operators: SocketAddr, path: String) -> bool {
    let mut client = Client::new(operators);
    let http = request("POST", &path, OPERATOR_KEY, &[], "");
    client.call(http, PROBE_TIMEOUT).await.status == 200
}

/// Sends requests, at least one, until one is served; reports a violation if none is within
/// `RECOVERY_TIMEOUT`.
async fn served(shared: &Shared, address: SocketAddr, customer: &str, kind: Kind, began: Instant) {
    let mut client = Client::new(address);
    loop {
        let sent = shared.request("last", kind);
        if callers::send(shared, &mut client, customer, &sent, 5, None).await == End::Complete {
            return;
        }
        if began.elapsed() > RECOVERY_TIMEOUT {
            let text = format!("{customer} was never served {kind:?} by {address}");
            return shared.observations.report_violation(text);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The configuration, with addresses of proxies and short timeouts.
fn text(fleet: &Fleet, proxies: &[Proxy]) -> String {
    let mut text = fleet.configuration();
    for (index, proxy) in PROXIED.iter().zip(&proxies[ROUTER_COUNT..]) {
        let direct = format!("address = {}\n", fleet.stand_ins[*index].address);
        text = text.replace(&direct, &format!("address = {}\n", proxy.address));
    }
    for index in EVACUATED {
        let address = format!("address = {}\n", fleet.stand_ins[index].address);
        let here = format!("{address}data-centre = dc-1");
        text = text.replace(
            &here,
            &format!("{address}data-centre = {EVACUATED_DATA_CENTRE}"),
        );
    }
    let rule = "[rule assistant]\n";
    text = text.replace(rule, &format!("{rule}resume = yes\n"));
    // A silent endpoint must time out before its caller does.
    text.replace("cost = event\n", "cost = event\ntimeout = 6s\n")
        .replace("cost = request\n", "cost = request\ntimeout = 6s\n")
}
