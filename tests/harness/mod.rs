//! A small fleet of real processes on the loopback.
//!
//! Each fleet has loopback addresses of its own, so that fleets of tests that
//! run at the same time cannot take each other's ports.
#![allow(dead_code, reason = "each test file uses a part of the harness")]
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

pub(crate) mod http;

use http::Answer;
use state::secret::Hash;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

pub(crate) const BINARY: &str = env!("CARGO_BIN_EXE_cowslipford");
pub(crate) const OPERATOR: &str = "operator";
/// Longest wait for something that must happen. No test asserts a time.
pub(crate) const PATIENCE: Duration = Duration::from_secs(40);

/// Number of the signal that asks a process to stop.
const SIGTERM: u32 = 15;

static FLEETS: AtomicU8 = AtomicU8::new(1);

/// Waits until something holds.
pub(crate) fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "never came true: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Raises a flag when dropped, also by a failed assertion: the threads of a
/// scope that wait for it would else keep a failed test from ending.
pub(crate) struct Raise<'a>(pub(crate) &'a std::sync::atomic::AtomicBool);

impl Drop for Raise<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Source files below a folder, without those of tests.
pub(crate) fn sources(folder: &std::path::Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir()
            && path
                .file_name()
                .is_some_and(|n| n != "tests" && n != "target")
        {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// What a fleet consists of.
pub(crate) struct Plan {
    pub(crate) control: usize,
    pub(crate) routers: usize,
    /// Routers that may schedule, the first ones.
    pub(crate) schedulers: usize,
    /// Regions `main`, `region-1` and so on, over which routers take turns.
    pub(crate) regions: usize,
    pub(crate) models: usize,
    pub(crate) plains: usize,
    /// Requests that a stand-in works on at once.
    pub(crate) batch: u32,
    /// More sections for each VM's settings.
    pub(crate) settings: String,
    /// Keys added to `[vm]`.
    pub(crate) vm_keys: String,
    /// Files that each VM's process may have open, if not as many as this one.
    pub(crate) files: Option<u32>,
    /// Keys added to `[link]`.
    pub(crate) link_keys: String,
    /// Keys added to `[control]`.
    pub(crate) control_keys: String,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            control: 3,
            routers: 4,
            schedulers: usize::MAX,
            regions: 1,
            models: 2,
            plains: 1,
            batch: 4,
            settings: String::new(),
            vm_keys: String::new(),
            files: None,
            link_keys: String::new(),
            control_keys: String::new(),
        }
    }
}

/// One VM's process.
pub(crate) struct Vm {
    pub(crate) name: String,
    pub(crate) settings: PathBuf,
    pub(crate) data: PathBuf,
    pub(crate) link: SocketAddr,
    pub(crate) callers: Option<SocketAddr>,
    pub(crate) operators: SocketAddr,
    pub(crate) process: Process,
}

/// One stand-in's process.
pub(crate) struct StandIn {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    /// Where it records the labels of its calls, over all its lives.
    pub(crate) record: PathBuf,
    pub(crate) process: Process,
}

/// A process of the fleet, over all its lives.
pub(crate) struct Process {
    args: Vec<String>,
    /// Output of all lives: that of one that a test has ended is evidence too.
    log: PathBuf,
    /// Files that it may have open, if not as many as this one.
    files: Option<u32>,
    child: Option<Child>,
}

pub(crate) struct Fleet {
    pub(crate) vms: Vec<Vm>,
    pub(crate) stand_ins: Vec<StandIn>,
    pub(crate) folder: TempDir,
    plan: Plan,
    number: u8,
    hosts: u8,
}

impl Fleet {
    /// Starts a fleet with a configuration of customers `alpha`, `beta` and `gamma`.
    pub(crate) fn start(plan: Plan) -> Self {
        let mut fleet = Fleet::bare(plan);
        fleet.apply_default();
        fleet
    }

    /// Starts a fleet without a configuration.
    pub(crate) fn bare(plan: Plan) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut fleet = Fleet {
            vms: Vec::new(),
            stand_ins: Vec::new(),
            folder,
            number: FLEETS.fetch_add(1, Ordering::Relaxed),
            hosts: 0,
            plan,
        };
        let control: Vec<String> = (1..=fleet.plan.control).map(|n| format!("c{n}")).collect();
        let routers: Vec<String> = (1..=fleet.plan.routers).map(|n| format!("r{n}")).collect();
        let names: Vec<String> = control.iter().chain(&routers).cloned().collect();
        let keys = fleet.folder.path().join("keys");
        let made = run(&["keys", &keys.display().to_string()], &names);
        assert!(made.0.success(), "{}", made.2);
        let places: Vec<SocketAddr> = control.iter().map(|_| fleet.fresh_link()).collect();
        let peers: String = (control.iter().zip(&places))
            .map(|(name, place)| format!("{name} = {place}\n"))
            .collect();
        for (name, place) in control.iter().zip(&places) {
            let vm = fleet.vm_settings(name, &peers, *place, true);
            fleet.vms.push(vm);
        }
        for name in &routers {
            let place = fleet.fresh_link();
            let vm = fleet.vm_settings(name, &peers, place, false);
            fleet.vms.push(vm);
        }
        for n in 1..=fleet.plan.models {
            fleet.add_stand_in(&format!("assistant-{n}"), false);
        }
        for n in 1..=fleet.plan.plains {
            fleet.add_stand_in(&format!("booking-{n}"), true);
        }
        for vm in &mut fleet.vms {
            vm.start();
        }
        fleet.wait_ready();
        fleet
    }

    /// An address that no other process of any fleet uses.
    pub(crate) fn fresh_address(&mut self) -> SocketAddr {
        self.hosts += 1;
        let pid = std::process::id();
        let ip = Ipv4Addr::new(
            127,
            1 + u8::try_from(pid / 25 % 250).unwrap(),
            // Eight fleets of one test process lie side by side, thirty hosts each.
            u8::try_from(pid % 25).unwrap() * 10 + self.number / 8 % 10,
            1 + self.hosts + self.number % 8 * 30,
        );
        // The system chooses the port; nobody else binds this address.
        //
        // The probe must not be of the kind that will listen: a process that another
        // thread starts at this moment holds a copy of it until it runs its program,
        // and the port would still be taken when ours wants it.
        let probe = UdpSocket::bind((IpAddr::V4(ip), 0)).unwrap();
        probe.local_addr().unwrap()
    }

    /// The same for links, which listen on UDP.
    pub(crate) fn fresh_link(&mut self) -> SocketAddr {
        let ip = self.fresh_address().ip();
        TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
    }

    fn vm_settings(&mut self, name: &str, peers: &str, link: SocketAddr, control: bool) -> Vm {
        let data = self.folder.path().join(format!("data-{name}"));
        let operators = self.fresh_address();
        let callers = (!control).then(|| self.fresh_address());
        let key = Hash::of(&[OPERATOR.as_bytes()]).hex();
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
                self.plan.files,
            ),
            settings,
            data,
            link,
            callers,
            operators,
        }
    }

    /// Starts one more stand-in.
    pub(crate) fn add_stand_in(&mut self, name: &str, plain: bool) {
        let listen = self.fresh_address().to_string();
        let record = self.folder.path().join(format!("{name}.record"));
        let batch = self.plan.batch.to_string();
        let mut args = vec!["stand-in", "--listen", &listen, "--batch", &batch];
        let shown = record.display().to_string();
        args.extend(["--record", &shown]);
        if plain {
            args.push("--plain");
        }
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

    pub(crate) fn wait_ready(&self) {
        for vm in &self.vms {
            eventually("a VM is ready", || vm.is_ready());
        }
    }

    /// The configuration for the stand-ins that run.
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

    pub(crate) fn apply_default(&mut self) {
        let text = self.configuration();
        let applied = self.apply(&text, &[]);
        assert!(applied.0.success(), "{}", applied.2);
        self.wait_version(self.version());
        let callers: Vec<SocketAddr> = self.vms.iter().filter_map(|v| v.callers).collect();
        for callers in callers {
            eventually("a router serves", || {
                http::get(callers, "/assistant/ready", "alpha").status == 200
            });
        }
    }

    /// Starts stand-ins again whose processes have ended by themselves; gives how many.
    pub(crate) fn restart_crashed(&mut self) -> usize {
        let mut crashed = 0;
        for stand_in in &mut self.stand_ins {
            if stand_in.process.ended().is_some() {
                crashed += 1;
                stand_in.process.start();
                eventually("a stand-in listens again", || {
                    TcpStream::connect(stand_in.address).is_ok()
                });
            }
        }
        crashed
    }

    /// Calls with a label that reached stand-ins, over all lives of these.
    pub(crate) fn recorded(&self, label: &str) -> usize {
        let all = self.stand_ins.iter().flat_map(StandIn::recorded);
        all.filter(|l| l == label).count()
    }

    /// Kills a stand-in.
    pub(crate) fn kill_stand_in(&mut self, place: usize) {
        self.stand_ins[place].process.kill();
    }

    /// Sends a configuration with the command line.
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

    /// Largest version in force anywhere.
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

    /// Callers' address of a router.
    pub(crate) fn callers(&self, name: &str) -> SocketAddr {
        self.vm(name).callers.unwrap()
    }

    /// Name of the control VM that leads.
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

    /// Name of the VM that schedules the service with the most endpoints.
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

    /// Counters of a stand-in.
    pub(crate) fn counts(&self, name: &str) -> serde_json::Value {
        let stand_in = self.stand_ins.iter().find(|s| s.name == name).unwrap();
        let answer = http::get(stand_in.address, "/stand-in/calls", "");
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Tells a stand-in how to behave from now on.
    pub(crate) fn tell_stand_in(&self, name: &str, path: &str) {
        let stand_in = self.stand_ins.iter().find(|s| s.name == name).unwrap();
        let answer = http::get(stand_in.address, path, "");
        assert_eq!(answer.status, 200);
    }

    /// Calls that bore a label, over all stand-ins.
    pub(crate) fn labelled(&self, label: &str) -> u64 {
        let counts = (self.stand_ins.iter()).map(|s| self.counts(&s.name));
        counts
            .map(|c| c["labels"][label].as_u64().unwrap_or(0))
            .sum()
    }

    /// Cuts VMs off from each other, or joins them again with no names.
    pub(crate) fn cut(&self, vm: &str, peers: &[&str], silent: bool) {
        let path = format!(
            "/fault/cut?peers={}&silent={}",
            peers.join(","),
            if silent { "yes" } else { "no" }
        );
        let operators = self.vm(vm).operators;
        let answer = http::send(operators, "POST", &path, OPERATOR, &[], "");
        assert_eq!(answer.status, 200);
    }

    /// Moves a VM's clock on as a suspension does.
    pub(crate) fn suspend(&self, vm: &str, ms: u64) {
        let operators = self.vm(vm).operators;
        let path = format!("/fault/suspend?ms={ms}");
        let answer = http::send(operators, "POST", &path, OPERATOR, &[], "");
        assert_eq!(answer.status, 200);
    }

    /// Sends a request through a router.
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

    pub(crate) fn status(&self) -> Option<serde_json::Value> {
        if !self.is_live() {
            return None;
        }
        let answer = http::try_get(self.operators, "/status", OPERATOR)?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Kills it without warning.
    pub(crate) fn kill(&mut self) {
        self.process.kill();
    }

    /// Sends it a signal by name.
    pub(crate) fn signal(&self, signal: &str) {
        self.process.signal(signal);
    }

    /// Waits for it to end by itself.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let mut ended = None;
        eventually("a process ends", || {
            ended = self.process.ended();
            ended.is_some()
        });
        ended.unwrap()
    }

    /// Most memory that its process has held so far, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
        let kilobytes = line.split_whitespace().nth(1).unwrap();
        kilobytes.parse::<u64>().unwrap() * 1024
    }

    /// Removes its durable state.
    pub(crate) fn wipe(&self) {
        fs::remove_dir_all(&self.data).unwrap();
    }

    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.process.log).unwrap_or_default()
    }
}

impl StandIn {
    /// Labels of the calls that reached it, in order, over all its lives.
    pub(crate) fn recorded(&self) -> Vec<String> {
        let text = fs::read_to_string(&self.record).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

impl Process {
    fn new(args: &[&str], log: PathBuf, files: Option<u32>) -> Self {
        Process {
            args: args.iter().map(|a| (*a).to_owned()).collect(),
            log,
            files,
            child: None,
        }
    }

    pub(crate) fn start(&mut self) {
        let mut options = fs::OpenOptions::new();
        let log = options.create(true).append(true).open(&self.log).unwrap();
        let mut command = match self.files {
            None => Command::new(BINARY),
            Some(files) => {
                let mut shell = Command::new("sh");
                let limited = format!("ulimit -n {files}; exec \"$0\" \"$@\"");
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

    /// Waits until its program listens for SIGTERM, or has ended: one that comes before the
    /// program runs ends the process whatever the program does.
    fn wait_listening(&self) {
        let path = format!("/proc/{}/status", self.pid());
        eventually("a process listens for signals", || {
            let status = fs::read_to_string(&path).unwrap_or_default();
            let field = |name| {
                let mut lines = status.lines();
                lines.find_map(|line| line.strip_prefix(name))
            };
            let caught = field("SigCgt:").map_or(0, |mask| {
                u64::from_str_radix(mask.trim(), 16).unwrap_or_default()
            });
            let is_over = field("State:").is_none_or(|state| state.trim().starts_with('Z'));
            is_over || caught >> (SIGTERM - 1) & 1 == 1
        });
    }

    pub(crate) fn is_live(&self) -> bool {
        self.child.is_some()
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    /// Kills it without warning.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Sends it a signal by name.
    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.pid().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status().unwrap();
        assert!(sent.success());
    }

    /// How it ended, once it has; it counts as not running from then on.
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

/// Runs the command line to its end.
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
