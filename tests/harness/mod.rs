//! Starts a small fleet of real processes on the loopback interface.
//!
//! Each fleet uses loopback addresses of its own, so that the ports of fleets in
//! tests that run at the same time cannot collide.
#![allow(dead_code, reason = "each test file uses a part of the harness")]
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

pub(crate) mod http;
pub(crate) mod listing;
pub(crate) mod port;
pub(crate) mod raw;
pub(crate) mod slow;
pub(crate) mod upload;

use http::Answer;
use state::secret::Hash;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Path of the program under test.
pub(crate) const BINARY: &str = env!("CARGO_BIN_EXE_cowslipford");
/// Key of the operators in each fleet.
pub(crate) const OPERATOR_KEY: &str = "operator";
/// Timeout for a condition that must become true. No test asserts a duration.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Number of the signal SIGTERM, which requests a graceful stop.
const SIGTERM_NUMBER: u32 = 15;

/// Number of the next fleet in this test process; selects its loopback addresses.
static NEXT_FLEET_NUMBER: AtomicU8 = AtomicU8::new(1);

/// Polls a condition until it is true, and panics after `WAIT_TIMEOUT`.
pub(crate) fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let began = Instant::now();
    while !holds() {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sets a flag when dropped, also when an assertion fails: scoped threads that run
/// until the flag is set would otherwise keep a failed test from ending.
pub(crate) struct SetOnDrop<'a>(pub(crate) &'a std::sync::atomic::AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Collects the Rust source files below a folder, except those in `tests` and `target`.
pub(crate) fn source_files(folder: &std::path::Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir()
            && path
                .file_name()
                .is_some_and(|n| n != "tests" && n != "target")
        {
            source_files(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Processes and settings of a fleet.
pub(crate) struct Plan {
    /// Number of control VMs.
    pub(crate) control: usize,
    /// Number of routers.
    pub(crate) routers: usize,
    /// Number of routers that may run schedulers, counted from the first.
    pub(crate) schedulers: usize,
    /// Number of regions (`main`, `region-1`, ...); routers are assigned to them in turn.
    pub(crate) regions: usize,
    /// Number of stand-ins for model engines, `assistant-1` and so on.
    pub(crate) models: usize,
    /// Number of stand-ins for plain services, `booking-1` and so on.
    pub(crate) plain_services: usize,
    /// Requests that a stand-in runs concurrently.
    pub(crate) batch: u32,
    /// Additional sections in the settings of each VM.
    pub(crate) settings: String,
    /// Additional settings in `[vm]`.
    pub(crate) vm_keys: String,
    /// Limit of open files for each VM's process; `None` inherits that of the test.
    pub(crate) max_open_files: Option<u32>,
    /// Additional settings in `[link]`.
    pub(crate) link_keys: String,
    /// Additional settings in `[control]`.
    pub(crate) control_keys: String,
    /// More arguments of the stand-ins for model engines.
    pub(crate) model_args: &'static [&'static str],
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            control: 3,
            routers: 4,
            schedulers: usize::MAX,
            regions: 1,
            models: 2,
            plain_services: 1,
            batch: 4,
            settings: String::new(),
            vm_keys: String::new(),
            max_open_files: None,
            link_keys: String::new(),
            control_keys: String::new(),
            model_args: &[],
        }
    }
}

/// A VM: its process, files and addresses.
pub(crate) struct Vm {
    pub(crate) name: String,
    pub(crate) settings: PathBuf,
    pub(crate) data: PathBuf,
    /// Address on which peers connect.
    pub(crate) link: SocketAddr,
    /// Address on which callers connect, if the VM is a router.
    pub(crate) callers: Option<SocketAddr>,
    /// Address of the operators' interface.
    pub(crate) operators: SocketAddr,
    pub(crate) process: Process,
}

/// A stand-in for an endpoint: its process and address.
pub(crate) struct StandIn {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    /// File to which the stand-in appends the label of each call, across restarts.
    pub(crate) record: PathBuf,
    pub(crate) process: Process,
}

/// A process of the fleet, which may be restarted.
pub(crate) struct Process {
    args: Vec<String>,
    /// Output of all its runs: a failure may have begun before a restart.
    log: PathBuf,
    /// Limit of open files; `None` inherits that of the test.
    max_open_files: Option<u32>,
    child: Option<Child>,
}

/// A running fleet; its processes are killed when it is dropped.
pub(crate) struct Fleet {
    pub(crate) vms: Vec<Vm>,
    pub(crate) stand_ins: Vec<StandIn>,
    pub(crate) folder: TempDir,
    plan: Plan,
    /// Number of the fleet in this test process; selects its loopback addresses.
    fleet_number: u8,
    /// Number of loopback addresses in use.
    allocated_hosts: u8,
}

impl Fleet {
    /// Starts a fleet and applies a configuration with customers `alpha`, `beta` and `gamma`.
    pub(crate) fn start(plan: Plan) -> Self {
        let mut fleet = Fleet::start_unconfigured(plan);
        fleet.apply_default();
        fleet
    }

    /// Starts a fleet without a configuration.
    pub(crate) fn start_unconfigured(plan: Plan) -> Self {
        // Chosen before the first process of this test process starts.
        port::fleet_port();
        let folder = tempfile::tempdir().unwrap();
        let mut fleet = Fleet {
            vms: Vec::new(),
            stand_ins: Vec::new(),
            folder,
            fleet_number: NEXT_FLEET_NUMBER.fetch_add(1, Ordering::Relaxed),
            allocated_hosts: 0,
            plan,
        };
        let control: Vec<String> = (1..=fleet.plan.control).map(|n| format!("c{n}")).collect();
        let routers: Vec<String> = (1..=fleet.plan.routers).map(|n| format!("r{n}")).collect();
        let names: Vec<String> = control.iter().chain(&routers).cloned().collect();
        let keys = fleet.folder.path().join("keys");
        let made = run(&["keys", &keys.display().to_string()], &names);
        assert!(made.0.success(), "{}", made.2);
        let links: Vec<SocketAddr> = control.iter().map(|_| fleet.fresh_address()).collect();
        let peers: String = (control.iter().zip(&links))
            .map(|(name, link)| format!("{name} = {link}\n"))
            .collect();
        for (name, link) in control.iter().zip(&links) {
            let vm = fleet.vm_settings(name, &peers, *link, true);
            fleet.vms.push(vm);
        }
        for name in &routers {
            let link = fleet.fresh_address();
            let vm = fleet.vm_settings(name, &peers, link, false);
            fleet.vms.push(vm);
        }
        for n in 1..=fleet.plan.models {
            let args = fleet.plan.model_args;
            fleet.add_stand_in_with(&format!("assistant-{n}"), false, args);
        }
        for n in 1..=fleet.plan.plain_services {
            fleet.add_stand_in(&format!("booking-{n}"), true);
        }
        for vm in &mut fleet.vms {
            vm.start();
        }
        fleet.wait_ready();
        fleet
    }

    /// Allocates an address that no other process of any fleet uses.
    pub(crate) fn fresh_address(&mut self) -> SocketAddr {
        self.allocated_hosts += 1;
        let pid = std::process::id();
        let ip = Ipv4Addr::new(
            127,
            1 + u8::try_from(pid / 25 % 250).unwrap(),
            // Each third byte serves eight fleets of a test process, with thirty hosts each.
            u8::try_from(pid % 25).unwrap() * 10 + self.fleet_number / 8 % 10,
            1 + self.allocated_hosts + self.fleet_number % 8 * 30,
        );
        SocketAddr::new(ip.into(), port::fleet_port())
    }

    /// Writes the settings of a VM, without starting the VM.
    fn vm_settings(&mut self, name: &str, peers: &str, link: SocketAddr, control: bool) -> Vm {
        let data = self.folder.path().join(format!("data-{name}"));
        let operators = self.fresh_address();
        let callers = (!control).then(|| self.fresh_address());
        let key = Hash::of(&[OPERATOR_KEY.as_bytes()]).hex();
        let router = self.vms.len().saturating_sub(self.plan.control);
        let region = match router % self.plan.regions {
            0 => "main".to_owned(),
            n => format!("region-{n}"),
        };
        let mut text = format!(
            "[vm]\nname = {name}\ndata-centre = dc-{}\nregion = {region}\n{}\n\
             [link]\nlisten = {link}\nauthority = keys/authority.pem\n\
             certificate = keys/{name}.pem\nkey = keys/{name}.key\n{}\n\
             [peers]\n{peers}\
             [operators]\nlisten = {operators}\nkey-sha256 = {key}\n\
             [fault]\nhook = yes\n{}\n",
            1 + self.vms.len() % 3,
            self.plan.vm_keys,
            self.plan.link_keys,
            self.plan.settings,
        );
        match callers {
            Some(callers) => {
                text.push_str(&format!("[callers]\nlisten = {callers}\n"));
                if self.vms.len() - self.plan.control < self.plan.schedulers {
                    text.push_str("[scheduler]\n");
                }
            }
            None => {
                let keys = &self.plan.control_keys;
                text.push_str(&format!("[control]\ndata = data-{name}\n{keys}\n"));
            }
        }
        let settings = self.folder.path().join(format!("{name}.ini"));
        fs::write(&settings, text).unwrap();
        Vm {
            name: name.to_owned(),
            process: Process::new(
                &["run", &settings.display().to_string()],
                settings.with_extension("log"),
                self.plan.max_open_files,
            ),
            settings,
            data,
            link,
            callers,
            operators,
        }
    }

    /// Starts another stand-in: a plain service, or a model engine.
    pub(crate) fn add_stand_in(&mut self, name: &str, plain: bool) {
        self.add_stand_in_with(name, plain, &[]);
    }

    /// Starts another stand-in with additional arguments.
    pub(crate) fn add_stand_in_with(&mut self, name: &str, plain: bool, more: &[&str]) {
        let listen = self.fresh_address().to_string();
        let record = self.folder.path().join(format!("{name}.record"));
        let batch = self.plan.batch.to_string();
        let mut args = vec!["stand-in", "--listen", &listen, "--batch", &batch];
        let shown = record.display().to_string();
        args.extend(["--record", &shown]);
        if plain {
            args.push("--plain");
        }
        args.extend(more);
        let mut stand_in = StandIn {
            name: name.to_owned(),
            address: listen.parse().unwrap(),
            process: Process::new(&args, record.with_extension("log"), None),
            record,
        };
        stand_in.process.start();
        eventually("a stand-in listens", || {
            TcpStream::connect(stand_in.address).is_ok()
        });
        self.stand_ins.push(stand_in);
    }

    /// Waits until the readiness checks of all VMs succeed.
    pub(crate) fn wait_ready(&self) {
        for vm in &self.vms {
            eventually("a VM is ready", || vm.is_ready());
        }
    }

    /// Configuration in which each running stand-in is an endpoint.
    pub(crate) fn configuration(&self) -> String {
        let mut text = String::new();
        for name in ["alpha", "beta", "gamma"] {
            let key = Hash::of(&[name.as_bytes()]).hex();
            text.push_str(&format!(
                "[customer {name}]\nkey-sha256 = {key}\nservices = assistant, booking\n"
            ));
        }
        text.push_str(
            "[service assistant]\ncost = event\nidempotent = yes\nload = /stand-in/load\n\
             [service booking]\ncost = request\n\
             [service nobody]\ncost = request\n",
        );
        for stand_in in &self.stand_ins {
            let (service, _) = stand_in.name.split_once('-').unwrap();
            text.push_str(&format!(
                "[endpoint {}]\nservice = {service}\naddress = {}\ndata-centre = dc-1\n\
                 slots = {}\n",
                stand_in.name, stand_in.address, self.plan.batch
            ));
        }
        text.push_str(
            "[rule forbidden]\nwhen-path = /forbidden\nthen = refuse\nreason = not today\n\
             [rule nobody]\nwhen-path = /nobody\nthen = send\nservice = nobody\n\
             [rule short]\nwhen-path = /short\nthen = send\nservice = assistant\ntimeout = 300ms\n\
             [rule assistant]\nwhen-path = /assistant\nthen = send\nservice = assistant\n\
             [rule booking]\nwhen-path = /booking\nthen = send\nservice = booking\n",
        );
        text
    }

    /// Applies `configuration()` and waits until each router serves requests.
    pub(crate) fn apply_default(&mut self) {
        let text = self.configuration();
        let applied = self.apply(&text, &[]);
        assert!(applied.0.success(), "{}", applied.2);
        self.wait_version(self.version());
        let callers: Vec<SocketAddr> = self.vms.iter().filter_map(|v| v.callers).collect();
        for callers in callers {
            eventually("a router serves requests", || {
                http::get(callers, "/assistant/ready", "alpha").status == 200
            });
        }
    }

    /// Restarts stand-ins whose processes have crashed; returns how many.
    pub(crate) fn restart_crashed(&mut self) -> usize {
        let mut crashed = 0;
        for stand_in in &mut self.stand_ins {
            if stand_in.process.ended().is_some() {
                crashed += 1;
                stand_in.process.start();
                // Another deadly request may have come first: the next call restarts it again.
                eventually("a restarted stand-in listens or has crashed again", || {
                    TcpStream::connect(stand_in.address).is_ok() || stand_in.process.has_exited()
                });
            }
        }
        crashed
    }

    /// Number of calls with a label that reached stand-ins, across restarts of these.
    pub(crate) fn recorded_calls(&self, label: &str) -> usize {
        let all = self.stand_ins.iter().flat_map(StandIn::recorded_labels);
        all.filter(|l| l == label).count()
    }

    /// Kills a stand-in.
    pub(crate) fn kill_stand_in(&mut self, index: usize) {
        self.stand_ins[index].process.kill();
    }

    /// Kills the stand-ins for model engines in turn, each until shortly before the next, `kills` times.
    pub(crate) fn kill_models_in_turn(&mut self, kills: usize) {
        for turn in 0..kills {
            let index = turn % self.plan.models;
            self.kill_stand_in(index);
            std::thread::sleep(Duration::from_millis(150));
            self.stand_ins[index].process.start();
            std::thread::sleep(Duration::from_millis(150));
        }
    }

    /// Applies a configuration through the command line; returns status, output and errors.
    pub(crate) fn apply(&self, text: &str, more: &[&str]) -> (ExitStatus, String, String) {
        let file = self
            .folder
            .path()
            .join(format!("fleet-{:x}.ini", rand::random::<u64>()));
        fs::write(&file, text).unwrap();
        let mut args = vec!["apply".to_owned(), file.display().to_string()];
        let operators = self.vms.iter().find(|v| v.is_live()).unwrap().operators;
        args.extend(["--operators".to_owned(), operators.to_string()]);
        args.extend(more.iter().map(|m| (*m).to_owned()));
        run(&[], &args)
    }

    /// Newest version in force on any VM.
    pub(crate) fn version(&self) -> u64 {
        let all = self.vms.iter().filter_map(|v| v.status());
        all.filter_map(|s| s["version"].as_u64()).max().unwrap_or(0)
    }

    /// Waits until a version is in force on every live VM.
    pub(crate) fn wait_version(&self, version: u64) {
        for vm in self.vms.iter().filter(|v| v.is_live()) {
            eventually("a version is in force", || {
                vm.status()
                    .is_some_and(|s| s["version"].as_u64() >= Some(version))
            });
        }
    }

    pub(crate) fn vm(&self, name: &str) -> &Vm {
        self.vms.iter().find(|v| v.name == name).unwrap()
    }

    pub(crate) fn vm_mut(&mut self, name: &str) -> &mut Vm {
        self.vms.iter_mut().find(|v| v.name == name).unwrap()
    }

    /// Address on which a router accepts callers.
    pub(crate) fn callers(&self, name: &str) -> SocketAddr {
        self.vm(name).callers.unwrap()
    }

    /// Waits for a leader; returns the name of its control VM.
    pub(crate) fn leader(&self) -> String {
        let mut found = None;
        eventually("a control VM leads", || {
            let leads = |v: &&Vm| {
                v.status()
                    .is_some_and(|s| s["control"]["role"].as_str() == Some("leader"))
            };
            found = self
                .vms
                .iter()
                .filter(|v| v.is_live())
                .find(leads)
                .map(|v| v.name.clone());
            found.is_some()
        });
        found.unwrap()
    }

    /// Waits for an assigned scheduler; returns the name of the first VM that runs one.
    pub(crate) fn scheduler(&self) -> String {
        let mut found = None;
        eventually("a VM schedules", || {
            let assigned = |v: &&Vm| {
                let status = v.status();
                status.is_some_and(|s| s["schedulers"].as_array().is_some_and(|r| !r.is_empty()))
            };
            found = self
                .vms
                .iter()
                .filter(|v| v.is_live())
                .find(assigned)
                .map(|v| v.name.clone());
            found.is_some()
        });
        found.unwrap()
    }

    /// Counters of a stand-in in its present run.
    pub(crate) fn counts(&self, name: &str) -> serde_json::Value {
        let stand_in = self.stand_ins.iter().find(|s| s.name == name).unwrap();
        let answer = http::get(stand_in.address, "/stand-in/calls", "");
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Changes the behaviour of a stand-in by a request to one of its control paths.
    pub(crate) fn configure_stand_in(&self, name: &str, path: &str) {
        let stand_in = self.stand_ins.iter().find(|s| s.name == name).unwrap();
        let answer = http::get(stand_in.address, path, "");
        assert_eq!(answer.status, 200);
    }

    /// Number of calls with a label, over all stand-ins in their present run.
    pub(crate) fn calls_with_label(&self, label: &str) -> u64 {
        let counts = (self.stand_ins.iter()).map(|s| self.counts(&s.name));
        counts
            .map(|c| c["labels"][label].as_u64().unwrap_or(0))
            .sum()
    }

    /// Cuts the links from a VM to the named peers; restores all links if none is named.
    pub(crate) fn cut(&self, vm: &str, peers: &[&str], silent: bool) {
        let path = format!(
            "/fault/cut?peers={}&silent={}",
            peers.join(","),
            if silent { "yes" } else { "no" }
        );
        let operators = self.vm(vm).operators;
        let answer = http::send(operators, "POST", &path, OPERATOR_KEY, &[], "");
        assert_eq!(answer.status, 200);
    }

    /// Advances a VM's clock as a suspension of the VM does.
    pub(crate) fn suspend(&self, vm: &str, ms: u64) {
        let operators = self.vm(vm).operators;
        let path = format!("/fault/suspend?ms={ms}");
        let answer = http::send(operators, "POST", &path, OPERATOR_KEY, &[], "");
        assert_eq!(answer.status, 200);
    }

    /// Sends a POST request through a router.
    pub(crate) fn call(
        &self,
        router: &str,
        customer: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        http::send(self.callers(router), "POST", path, customer, headers, body)
    }
}

impl Vm {
    pub(crate) fn start(&mut self) {
        self.process.start();
    }

    pub(crate) fn is_live(&self) -> bool {
        self.process.is_live()
    }

    pub(crate) fn pid(&self) -> u32 {
        self.process.pid()
    }

    pub(crate) fn is_ready(&self) -> bool {
        http::try_get(self.operators, "/ready", "").is_some_and(|a| a.status == 200)
    }

    /// Status page of the operators' interface; `None` if the VM is down or does not answer.
    pub(crate) fn status(&self) -> Option<serde_json::Value> {
        if !self.is_live() {
            return None;
        }
        let answer = http::try_get(self.operators, "/status", OPERATOR_KEY)?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        self.process.kill();
    }

    /// Sends a signal by its `kill` option, such as `-TERM`.
    pub(crate) fn signal(&self, signal: &str) {
        self.process.signal(signal);
    }

    /// Waits until the process has exited.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let mut ended = None;
        eventually("a process exits", || {
            ended = self.process.ended();
            ended.is_some()
        });
        ended.unwrap()
    }

    /// Peak resident memory of the process, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
        let kilobytes = line.split_whitespace().nth(1).unwrap();
        kilobytes.parse::<u64>().unwrap() * 1024
    }

    /// Removes the durable state of the VM.
    pub(crate) fn wipe(&self) {
        fs::remove_dir_all(&self.data).unwrap();
    }

    /// Output of all runs of the process.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.process.log).unwrap_or_default()
    }
}

impl StandIn {
    /// Labels of the calls that reached the stand-in, in order, across restarts.
    pub(crate) fn recorded_labels(&self) -> Vec<String> {
        let text = fs::read_to_string(&self.record).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

impl Process {
    fn new(args: &[&str], log: PathBuf, max_open_files: Option<u32>) -> Self {
        Process {
            args: args.iter().map(|a| (*a).to_owned()).collect(),
            log,
            max_open_files,
            child: None,
        }
    }

    /// Starts the process and waits until it handles SIGTERM.
    pub(crate) fn start(&mut self) {
        let mut options = fs::OpenOptions::new();
        let log = options.create(true).append(true).open(&self.log).unwrap();
        let mut command = match self.max_open_files {
            None => Command::new(BINARY),
            Some(max_open_files) => {
                let mut shell = Command::new("sh");
                let limited = format!("ulimit -n {max_open_files}; exec \"$0\" \"$@\"");
                shell.args(["-c", &limited, BINARY]);
                shell
            }
        };
        let child = command
            .args(&self.args)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(child.unwrap());
        self.wait_listening();
    }

    /// Waits until the process has a handler for SIGTERM, or has exited: without a handler
    /// the signal would kill the process.
    fn wait_listening(&self) {
        let path = format!("/proc/{}/status", self.pid());
        eventually("a process handles SIGTERM", || {
            let status = fs::read_to_string(&path).unwrap_or_default();
            let field = |name| {
                let mut lines = status.lines();
                lines.find_map(|line| line.strip_prefix(name))
            };
            let caught = field("SigCgt:").map_or(0, |mask| {
                u64::from_str_radix(mask.trim(), 16).unwrap_or_default()
            });
            let is_over = field("State:").is_none_or(|state| state.trim().starts_with('Z'));
            is_over || caught >> (SIGTERM_NUMBER - 1) & 1 == 1
        });
    }

    pub(crate) fn is_live(&self) -> bool {
        self.child.is_some()
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Sends a signal by its `kill` option, such as `-TERM`.
    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.pid().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status().unwrap();
        assert!(sent.success());
    }

    /// Whether the process has exited, and its status was not taken yet.
    fn has_exited(&self) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        status.is_ok_and(|status| status.contains("\nState:\tZ"))
    }

    /// Exit status if the process has exited; from then on it counts as not running.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().unwrap()?;
        self.child = None;
        Some(status)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for vm in &self.vms {
                eprintln!("--- log of {}\n{}", vm.name, vm.log());
            }
        }
    }
}

/// Runs the program until it exits; returns its status, output and errors.
pub(crate) fn run<A>(first: &[&str], args: &[A]) -> (ExitStatus, String, String)
where
    A: AsRef<str>,
{
    let output = Command::new(BINARY)
        .args(first)
        .args(args.iter().map(AsRef::as_ref))
        .output()
        .unwrap();
    (
        output.status,
        String::from_utf8_lossy(&output.stdout).into_owned(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

/// A path below a folder, as text.
pub(crate) fn path(folder: &Path, name: &str) -> String {
    folder.join(name).display().to_string()
}
