//! One run: a fleet of real processes, its callers, and the faults of one seed.

use super::callers::{self, Route, World, PATIENCE, PROBE, QUERY_OF_DEATH, REVOCATION};
use super::check::{End, Kind, Ledger};
use super::harness::http::{request, Client};
use super::harness::{Fleet, Plan, Process, Vm, OPERATOR};
use super::operator::{InForce, Operator, Order};
use super::proxy::{Mode, Proxy};
use super::schedule::{
    schedule, Act, Step, Target, CONTROL, EVACUATED, EVACUATED_CENTRE, PROXIED, ROUTERS, STAND_INS,
    VMS,
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

/// Time between two looks at something that must come true.
const LOOK: Duration = Duration::from_millis(50);
/// Path that joins all links of a VM.
const JOIN: &str = "/fault/cut";

/// What came of a run.
pub(crate) struct Report {
    /// Faults by kind, answers by their end, and what else was counted.
    pub(crate) counts: BTreeMap<&'static str, u64>,
    /// Promises that were broken.
    pub(crate) wrong: Vec<String>,
    /// Where the logs are kept, if any was.
    pub(crate) folder: PathBuf,
}

struct Run {
    fleet: Fleet,
    runtime: Runtime,
    world: Arc<World>,
    proxies: Vec<Proxy>,
    operator: JoinHandle<InForce>,
    orders: UnboundedSender<Order>,
    callers: JoinSet<()>,
    /// VMs that were sent SIGTERM in their present life.
    terminated: [bool; VMS],
    /// VMs that start again as soon as they have ended.
    returning: [bool; VMS],
}

/// Runs a seed's schedule and gives what came of it.
pub(crate) fn run(seed: u64, length: Duration) -> Report {
    let mut run = Run::start(seed);
    let began = Instant::now();
    for step in schedule(seed, length) {
        run.wait(step, began);
        if let Some(kind) = step.kind {
            run.world.ledger.count(kind);
        }
        run.act(step.act);
    }
    run.world.calm.store(true, Ordering::Relaxed);
    run.heal();
    run.check_quarantine();
    run.check_evacuation();
    run.check_served();
    run.finish()
}

impl Run {
    fn start(seed: u64) -> Self {
        let fleet = Fleet::start(Plan {
            control: CONTROL,
            routers: ROUTERS,
            models: 2,
            plains: 2,
            settings: format!("[router]\nrevocation = {}s", REVOCATION.as_secs()),
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
        let routes = targets.iter().zip(&proxies).take(ROUTERS);
        let routes = routes.map(|(direct, proxy)| Route {
            direct: *direct,
            proxied: proxy.address,
        });
        let world = Arc::new(World {
            seed,
            routes: routes.collect(),
            ledger: Ledger::default(),
            stop: AtomicBool::new(false),
            calm: AtomicBool::new(false),
            names: AtomicU32::new(0),
        });
        let mut operator = Operator {
            world: world.clone(),
            vms: fleet.vms.iter().map(|v| v.operators).collect(),
            text: text(&fleet, &proxies),
            in_force: InForce {
                guest: "guest-0".to_owned(),
                ..InForce::default()
            },
            sent: 0,
        };
        let (orders, received) = tokio::sync::mpsc::unbounded_channel();
        runtime.block_on(operator.change());
        fleet.wait_version(operator.in_force.version);
        let operator = runtime.spawn(operator.run(received));
        let mut callers = JoinSet::new();
        callers::start(&world, &mut callers);
        drop(inside);
        Run {
            fleet,
            runtime,
            world,
            proxies,
            operator,
            orders,
            callers,
            terminated: [false; VMS],
            returning: [false; VMS],
        }
    }

    /// Waits for a step's moment.
    fn wait(&mut self, step: Step, began: Instant) {
        loop {
            self.reap();
            let left = step.at.saturating_sub(began.elapsed());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left.min(LOOK));
        }
    }

    /// Notes processes that have ended: with 0 after SIGTERM, or else wrongly.
    fn reap(&mut self) {
        for stand_in in &mut self.fleet.stand_ins {
            // However it ended: the record is what counts.
            let ended = stand_in.process.ended();
            if ended.is_some_and(|status| status.code() == Some(standin::CRASH_EXIT_CODE)) {
                self.world.ledger.count("engine crashed");
                stand_in.process.start();
            }
        }
        for (place, vm) in self.fleet.vms.iter_mut().enumerate() {
            let Some(status) = vm.process.ended() else {
                continue;
            };
            let asked = std::mem::replace(&mut self.terminated[place], false);
            if !asked || !status.success() {
                let text = format!("{} ended with {status}, asked to: {asked}", vm.name);
                self.world.ledger.wrong(text);
            }
            if std::mem::replace(&mut self.returning[place], false) {
                vm.start();
            }
        }
    }

    fn act(&mut self, act: Act) {
        let depart = |what: &str, place: usize| {
            let name = &self.fleet.stand_ins[place].name;
            self.order(Order::Depart(format!("/stop?{what}={name}")));
        };
        match act {
            Act::Line(place, mode) => self.proxies[place].set(mode),
            Act::Pause(target) => self.signal(target, "-STOP"),
            Act::Resume(target) => self.signal(target, "-CONT"),
            Act::Kill(target) => self.kill(target),
            Act::Terminate(target) => self.terminate(target),
            Act::Start(target) => self.start_again(target),
            Act::Cut(vm, peer) => self.cut(vm, &self.fleet.vms[peer..=peer]),
            Act::Isolate(vm) => self.cut(vm, &self.fleet.vms),
            Act::Join(vm) => self.hook(vm, JOIN),
            Act::Suspend(vm, ms) => self.hook(vm, &format!("/fault/suspend?ms={ms}")),
            Act::Wipe(place) => {
                self.kill(Target::Vm(place));
                self.fleet.vms[place].wipe();
            }
            Act::Change => self.order(Order::Change),
            Act::Revoke => self.order(Order::Revoke),
            Act::Evacuate => self.evacuate("POST"),
            Act::UseAgain => self.evacuate("DELETE"),
            Act::Withdraw(place) => depart("endpoint", place),
            Act::Return(place) => depart("endpoint-back", place),
            Act::Flood(place) => {
                let flood = callers::flood(self.world.clone(), place);
                self.callers.spawn_on(flood, self.runtime.handle());
            }
        }
    }

    fn evacuate(&self, method: &'static str) {
        let path = format!("/evacuation?data-centre={EVACUATED_CENTRE}");
        self.order(Order::Evacuate(method, path));
    }

    fn cut(&self, vm: usize, peers: &[Vm]) {
        let names: Vec<&str> = peers.iter().map(|p| p.name.as_str()).collect();
        self.hook(vm, &format!("/fault/cut?peers={}", names.join(",")));
    }

    /// Asks a VM to disturb itself. One that is down or paused may not hear of it.
    fn hook(&self, vm: usize, path: &str) {
        let asked = hooked(self.fleet.vms[vm].operators, path.to_owned());
        self.runtime.spawn(asked);
    }

    /// Joins all links again.
    fn join_links(&mut self) {
        self.must("a VM hears that its links are joined", |run| {
            let all = run.fleet.vms.iter().map(|v| v.operators);
            let asked = all.map(|vm| run.runtime.block_on(hooked(vm, JOIN.to_owned())));
            asked.filter(|joined| !joined).count() == 0
        });
    }

    fn order(&self, order: Order) {
        self.orders.send(order).unwrap();
    }

    fn process(&mut self, target: Target) -> &mut Process {
        match target {
            Target::Vm(place) => &mut self.fleet.vms[place].process,
            Target::StandIn(place) => &mut self.fleet.stand_ins[place].process,
        }
    }

    /// Sends a signal; to a process that is down it does nothing.
    fn signal(&mut self, target: Target, signal: &str) {
        let process = self.process(target);
        if process.is_live() {
            process.signal(signal);
        }
    }

    fn kill(&mut self, target: Target) {
        self.process(target).kill();
        if let Target::Vm(place) = target {
            self.terminated[place] = false;
        }
    }

    fn terminate(&mut self, target: Target) {
        self.signal(target, "-TERM");
        if let Target::Vm(place) = target {
            self.terminated[place] |= self.fleet.vms[place].is_live();
        }
    }

    /// Starts a process that is down, or lets one that is ending return.
    fn start_again(&mut self, target: Target) {
        if let Target::Vm(place) = target {
            self.returning[place] = self.terminated[place];
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
        for place in 0..STAND_INS {
            self.signal(Target::StandIn(place), "-CONT");
            // It may just be ending.
            self.kill(Target::StandIn(place));
            self.start_again(Target::StandIn(place));
            self.act(Act::Return(place));
        }
        self.act(Act::UseAgain);
        for place in 0..VMS {
            self.signal(Target::Vm(place), "-CONT");
        }
        self.must("a planned stop ends", |run| {
            run.reap();
            !run.terminated.contains(&true)
        });
        for place in 0..VMS {
            self.start_again(Target::Vm(place));
        }
        self.join_links();
        self.must("all VMs are ready again", |run| {
            run.reap();
            run.fleet.vms.iter().all(|vm| vm.is_ready())
        });
        // A VM that was paused may have read an order to cut only after the first time.
        self.join_links();
    }

    /// Waits until something holds; notes it as wrong if it never does.
    fn must<F>(&mut self, what: &str, mut holds: F)
    where
        F: FnMut(&mut Self) -> bool,
    {
        let began = Instant::now();
        while !holds(self) {
            if began.elapsed() > PATIENCE {
                self.world.ledger.wrong(format!("never came true: {what}"));
                return;
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Checks that no router sends a query of death on, once they are all told.
    fn check_quarantine(&mut self) {
        for place in 0..ROUTERS {
            let what = format!("router {place} refuses the query of death");
            self.must(&what, |run| {
                run.reap();
                run.send_query_of_death(place)
            });
        }
        let before = self.queries_of_death();
        for n in 0..4 * ROUTERS {
            self.send_query_of_death(n % ROUTERS);
        }
        let later = self.queries_of_death() - before;
        if later > 0 {
            let text = format!("the query of death reached engines {later} times more");
            self.world.ledger.wrong(text);
        }
        self.must("engines that were crashed are back", |run| {
            run.reap();
            (run.fleet.stand_ins.iter()).all(|s| TcpStream::connect(s.address).is_ok())
        });
    }

    /// Sends it by a router; gives whether that refuses it as quarantined.
    fn send_query_of_death(&self, place: usize) -> bool {
        let address = self.world.routes[place].direct;
        let sent = callers::query_of_death(&self.world, address);
        self.runtime.block_on(sent)
    }

    /// How often the query of death has reached engines.
    fn queries_of_death(&self) -> usize {
        let all = self.fleet.stand_ins.iter().flat_map(|s| s.recorded());
        all.filter(|label| label.starts_with(QUERY_OF_DEATH))
            .count()
    }

    /// Checks that an evacuated data centre gets no requests, while others serve them.
    fn check_evacuation(&mut self) {
        self.act(Act::Evacuate);
        for place in 0..ROUTERS {
            let what = format!("router {place} has evacuated {EVACUATED_CENTRE}");
            self.must(&what, |run| {
                let status = run.fleet.vms[CONTROL + place].status().unwrap_or_default();
                status["evacuated"][0] == EVACUATED_CENTRE
            });
        }
        // What was sent there before may still arrive.
        std::thread::sleep(LOOK);
        let before = self.evacuated_calls();
        self.check_served();
        let later = self.evacuated_calls() - before;
        if later > 0 {
            let text = format!("{EVACUATED_CENTRE} got {later} requests after its evacuation");
            self.world.ledger.wrong(text);
        }
        self.act(Act::UseAgain);
    }

    /// Calls that have reached the stand-ins of the data centre that is evacuated.
    fn evacuated_calls(&self) -> usize {
        let all = EVACUATED.iter().map(|n| &self.fleet.stand_ins[*n]);
        all.map(|s| s.recorded().len()).sum()
    }

    /// Checks that everything is served again, over each way to each router.
    fn check_served(&self) {
        let began = Instant::now();
        for route in &self.world.routes {
            for address in [route.direct, route.proxied] {
                for customer in ["alpha", "beta", "gamma"] {
                    for kind in [Kind::Stream(3), Kind::Booking] {
                        let sent = served(&self.world, address, customer, kind, began);
                        self.runtime.block_on(sent);
                    }
                }
            }
        }
    }

    /// Ends callers and operator, and checks what is left.
    fn finish(mut self) -> Report {
        self.world.stop.store(true, Ordering::Relaxed);
        while let Some(ended) = self.runtime.block_on(self.callers.join_next()) {
            ended.unwrap();
        }
        // The operator ends when nobody can give it orders.
        let (nobody, _) = tokio::sync::mpsc::unbounded_channel();
        self.orders = nobody;
        let in_force = self.runtime.block_on(&mut self.operator).unwrap();
        self.check_in_force(&in_force);
        self.check_idle();
        self.check_logs();
        self.reap();
        let records: Vec<String> = (self.fleet.stand_ins.iter())
            .flat_map(|s| s.recorded())
            .collect();
        let (counts, wrong) = self.world.ledger.close(&records);
        if !wrong.is_empty() {
            self.fleet.folder.disable_cleanup(true);
        }
        Report {
            counts,
            wrong,
            folder: self.fleet.folder.path().to_owned(),
        }
    }

    /// Checks that the last accepted configuration is in force on every router.
    fn check_in_force(&mut self, in_force: &InForce) {
        for place in 0..ROUTERS {
            let what = format!("router {place} has {in_force:?}");
            self.must(&what, |run| {
                let direct = run.world.routes[place].direct;
                let ask = |path: &str, key: &str| {
                    let http = request("POST", path, key, &[], "");
                    let mut client = Client::new(direct);
                    run.runtime.block_on(client.call(http, PATIENCE))
                };
                let marker = callers::marker(&ask("/forbidden", "alpha"));
                // Probes of revoked keys mean something only if a key in force is known.
                marker == Some(in_force.marker) && ask("/booking", &in_force.guest).status == 200
            });
        }
    }

    /// Checks that no request is left on a router once no caller is.
    fn check_idle(&mut self) {
        for place in CONTROL..VMS {
            let what = format!("{} is idle", self.fleet.vms[place].name);
            self.must(&what, |run| {
                let status = run.fleet.vms[place].status().unwrap_or_default();
                let waiting = status["waiting"].as_object();
                status["held"] == 0
                    && waiting.is_some_and(|w| w.values().all(|n| n == 0))
                    && status["local"].as_array().is_some_and(Vec::is_empty)
            });
        }
    }

    fn check_logs(&self) {
        for vm in &self.fleet.vms {
            if let Some(line) = vm.log().lines().find(|l| l.contains("panicked")) {
                let text = format!("{}: {line}", vm.name);
                self.world.ledger.wrong(text);
            }
        }
    }
}

/// Asks a VM's fault hook for something; gives whether it did it.
async fn hooked(operators: SocketAddr, path: String) -> bool {
    let mut client = Client::new(operators);
    let http = request("POST", &path, OPERATOR, &[], "");
    client.call(http, PROBE).await.status == 200
}

/// Sends requests until one is served; one try is made in any case.
async fn served(world: &World, address: SocketAddr, customer: &str, kind: Kind, began: Instant) {
    let mut client = Client::new(address);
    loop {
        let sent = world.request("last", kind);
        if callers::send(world, &mut client, customer, &sent, 5, None).await == End::Whole {
            return;
        }
        if began.elapsed() > PATIENCE {
            let text = format!("{customer} never gets {kind:?} from {address}");
            return world.ledger.wrong(text);
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// The configuration, with the proxies' addresses and short timeouts.
fn text(fleet: &Fleet, proxies: &[Proxy]) -> String {
    let mut text = fleet.configuration();
    for (place, proxy) in PROXIED.iter().zip(&proxies[ROUTERS..]) {
        let direct = format!("address = {}\n", fleet.stand_ins[*place].address);
        text = text.replace(&direct, &format!("address = {}\n", proxy.address));
    }
    for place in EVACUATED {
        let address = format!("address = {}\n", fleet.stand_ins[place].address);
        let here = format!("{address}data-centre = dc-1");
        text = text.replace(&here, &format!("{address}data-centre = {EVACUATED_CENTRE}"));
    }
    // A silent endpoint must cost a caller less than its patience.
    text.replace("cost = event\n", "cost = event\ntimeout = 6s\n")
        .replace("cost = request\n", "cost = request\ntimeout = 6s\n")
}
