//! A small deployment on loopback addresses: the project's own processes, started by the commands
//! and templates of the deploy file, and stand-ins of the platform and the replicas.

use crate::http::{self, Channel, Message};
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

pub type Result<T> = std::result::Result<T, String>;

/// Bounds of the site `faellesbook`, by which the cases judge.
pub const CONTACT_WINDOW: Duration = Duration::from_millis(3000);
pub const CONFIG_APPLY: Duration = Duration::from_millis(2000);
pub const GRACE_PERIOD: Duration = Duration::from_secs(8);

pub const KILL: i32 = 9;
pub const TERM: i32 = 15;
pub const CONT: i32 = 18;
pub const STOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Longest run of a script.
const RUN_MAX: Duration = Duration::from_secs(116);
const ZONES: [&str; 3] = ["dk-east-a", "dk-east-b", "dk-east-c"];

static BEGAN: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
/// Processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());
/// Memory of a `front` machine, in MB.
pub static ROUTER_MEMORY_MB: AtomicU64 = AtomicU64::new(260);
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Milliseconds since the script began.
pub fn now_ms() -> u64 {
    BEGAN.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Opens the record, and ends the script after its longest time.
pub fn begin(record: &Path) -> Result<()> {
    now_ms();
    let file = File::create(record).map_err(|e| e.to_string())?;
    let _ = RECORD.set(Mutex::new(file));
    std::thread::spawn(|| {
        std::thread::sleep(RUN_MAX);
        note("the script took too long");
        end_all();
        std::process::exit(2);
    });
    Ok(())
}

/// Writes a line into the record.
pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let line = format!("{:>9.3} s  {text}\n", now_ms() as f64 / 1000.0);
        let _ = record.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends all processes that were started.
pub fn end_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        unsafe { kill(pid, KILL) };
    }
}

/// A new id of a client's attempt.
pub fn attempt_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Polls a condition for at most some seconds.
pub fn eventually<F: FnMut() -> bool>(what: &str, seconds: u64, mut holds: F) -> Result<()> {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > Duration::from_secs(seconds) {
            return Err(format!("not within {seconds} s: {what}"));
        }
        sleep_ms(20);
    }
    Ok(())
}

/// A machine with one process of the project.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub is_control: bool,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Address of the clients, or of the operator's API on a control machine.
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), if self.is_control { CONTROL_PORT } else { FRONT_PORT })
    }

    pub fn start(&mut self, program: &Path) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| e.to_string())?;
        let child = Command::new(program)
            .arg("run")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("start {}: {e}", program.display()))?;
        RUNNING.lock().unwrap().push(child.id() as i32);
        note(&format!("{} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32, what: &str) {
        if let Some(child) = &self.child {
            note(&format!("{}: {what}", self.name));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn end(&mut self) {
        self.signal(KILL, "SIGKILL");
        self.wait();
    }

    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let pid = child.id() as i32;
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|p| *p != pid);
            note(&format!("{} has ended", self.name));
        }
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        let ended = self.child.as_mut().map(|c| matches!(c.try_wait(), Ok(None)));
        ended.unwrap_or(false)
    }

    /// Memory that the machine has for the process, in MB.
    pub fn memory_max_mb(&self) -> u64 {
        if self.is_control { 256 } else { ROUTER_MEMORY_MB.load(Ordering::Relaxed) }
    }

    /// Says in the settings that this is not the first start of the fleet.
    pub fn mark_started(&self) -> Result<()> {
        let text = std::fs::read_to_string(&self.settings).map_err(|e| e.to_string())?;
        let text = text.replace("first-start = true", "first-start = false");
        std::fs::write(&self.settings, text).map_err(|e| e.to_string())
    }

    /// Memory of the process, in MB, without the pages of files such as the program itself.
    pub fn memory_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let text = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("RssAnon:"));
        let kilobytes = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1024
    }

    /// What the process has logged.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

const LINK_PORT: u16 = 17400;
const OPERATORS_PORT: u16 = 17415;
const CONTROL_PORT: u16 = 18785;
const FRONT_PORT: u16 = 18783;
const READY_PORT: u16 = 18780;
const REPLICA_PORT: u16 = 18080;
const PLATFORM_PORT: u16 = 18781;

/// A run of a request at a replica.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub attempt: String,
    pub service: String,
    pub instance: String,
    pub target: String,
    pub head: Message,
}

/// What a replica does with a request, instead of the usual.
pub type Behaviour = Arc<dyn Fn(&Replica, &Message, &mut TcpStream) -> std::io::Result<bool> + Send + Sync>;

/// A replica of a service.
pub struct Replica {
    pub instance: String,
    pub service: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub state: Mutex<&'static str>,
    pub is_up: AtomicBool,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub behaviour: Mutex<Option<Behaviour>>,
}

impl Replica {
    /// A run of a request here, which begins now.
    pub fn run_of(&self, request: &Message) -> Run {
        Run {
            at_ms: now_ms(),
            attempt: request.header("attempt-id").unwrap_or("").to_owned(),
            service: self.service.clone(),
            instance: self.instance.clone(),
            target: request.target().to_owned(),
            head: request.clone(),
        }
    }

    /// Records that a request begins to run here.
    pub fn record_run(&self, request: &Message) {
        let run = self.run_of(request);
        note(&format!("{} runs {} {}", self.instance, run.attempt, request.first));
        self.runs.lock().unwrap().push(run);
    }

    fn answer(&self, request: &Message, output: &mut TcpStream) -> std::io::Result<()> {
        if request.target() == "/health" {
            let headers = [("Instance-Id", self.instance.as_str())];
            return output.write_all(&http::response("200 OK", &headers, b""));
        }
        let attempt = request.header("attempt-id").unwrap_or("");
        let expected = request.header("expected-instance");
        if expected.is_some_and(|e| e != self.instance) {
            let headers = [("Instance-Id", self.instance.as_str()), ("Attempt-Id", attempt)];
            return output.write_all(&http::response("421 Misdirected Request", &headers, b""));
        }
        let behaviour = self.behaviour.lock().unwrap().clone();
        if let Some(behaviour) = behaviour {
            if behaviour(self, request, output)? {
                return Ok(());
            }
        }
        self.record_run(request);
        sleep_ms(5);
        let signature = format!("{}.{attempt}", self.instance);
        let headers = [
            ("Attempt-Id", attempt),
            ("Response-Signature", signature.as_str()),
            ("Server-Load", "1,0,6"),
        ];
        let body = format!("{} {}", self.service, self.instance);
        output.write_all(&http::response("200 OK", &headers, body.as_bytes()))
    }
}

/// The deployment.
pub struct Fleet {
    pub folder: PathBuf,
    pub program: PathBuf,
    deploy: PathBuf,
    network: (u8, u8),
    pub control: Vec<Machine>,
    pub routers: Vec<Machine>,
    pub replicas: Vec<Arc<Replica>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    seeds: Vec<SocketAddr>,
    platform: SocketAddr,
}

impl Fleet {
    /// Prepares a deployment; nothing runs yet but the platform.
    pub fn new(repository: &Path) -> Result<Self> {
        let pid = std::process::id();
        let network = (64 + (pid / 250 % 60) as u8, (1 + pid % 250) as u8);
        let folder = std::env::temp_dir().join(format!("review-{pid}"));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let host = |last| Ipv4Addr::new(127, network.0, network.1, last);
        Ok(Fleet {
            program: repository.join("target/release/cowslipford"),
            deploy: repository.join("deploy"),
            folder,
            network,
            control: Vec::new(),
            routers: Vec::new(),
            replicas: Vec::new(),
            runs: Arc::default(),
            seeds: (0..3).map(|n| SocketAddr::new(host(10 + n).into(), CONTROL_PORT)).collect(),
            platform: SocketAddr::new(host(200).into(), PLATFORM_PORT),
        })
    }

    fn host(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, last)
    }

    /// Adds a machine whose process is not started yet.
    pub fn add_machine(&mut self, is_control: bool, last: u8, zone: &str, first: bool) -> Result<()> {
        let ip = self.host(last);
        let kind = if is_control { "control" } else { "router" };
        let name = format!("{kind}-{last}");
        let settings = self.folder.join(format!("{name}.ini"));
        let machine = Machine {
            log: settings.with_extension("log"),
            name,
            ip,
            is_control,
            settings: settings.clone(),
            child: None,
        };
        let text = self.settings(&machine, zone, first)?;
        std::fs::write(&settings, text).map_err(|e| e.to_string())?;
        match is_control {
            true => self.control.push(machine),
            false => self.routers.push(machine),
        }
        Ok(())
    }

    /// Fills in the template of the deploy file, as the platform does.
    fn settings(&self, machine: &Machine, zone: &str, first: bool) -> Result<String> {
        let file = if machine.is_control { "control.ini" } else { "router.ini" };
        let text = std::fs::read_to_string(self.deploy.join(file)).map_err(|e| e.to_string())?;
        let (before, rest) = text.split_once("{{#zones}}").ok_or("no zones in the template")?;
        let (each, after) = rest.split_once("{{/zones}}").ok_or("no end of zones")?;
        let mut text = before.to_owned();
        for zone in ZONES {
            text.push_str(&each.replace("{{@}}", zone).replace("{{.}}", "dk-east"));
        }
        text.push_str(after);
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        let ip = machine.ip;
        let data = self.folder.join(format!("data-{}", machine.name));
        let values = [
            ("zone", zone.to_owned()),
            ("region", "dk-east".to_owned()),
            ("bounds.grace_period_s", GRACE_PERIOD.as_secs().to_string()),
            ("bounds.revocation_ms", "5000".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_extra", "52".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("limits.memory_mb", machine.memory_max_mb().to_string()),
            ("limits.file_descriptors", "4096".to_owned()),
            ("ip", ip.to_string()),
            ("internal_port_range.0", LINK_PORT.to_string()),
            ("internal_port_range.1", OPERATORS_PORT.to_string()),
            ("seed_nodes", seeds.join(",")),
            ("data_directory", data.display().to_string()),
            ("first_start", first.to_string()),
            ("fault_tolerance.machines", "1".to_owned()),
            ("listen.control", format!("{ip}:{CONTROL_PORT}")),
            ("listen.front", format!("{ip}:{FRONT_PORT}")),
            ("listen.ready", format!("{ip}:{READY_PORT}")),
            ("cloud.address", self.platform.to_string()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        match text.contains("{{") {
            true => Err(format!("unknown placeholder in {file}: {text}")),
            false => Ok(text),
        }
    }

    /// Adds a replica and starts to serve it.
    pub fn add_replica(&mut self, service: &str) -> Result<Arc<Replica>> {
        let number = self.replicas.len();
        let address = SocketAddr::new(self.host(100 + number as u8).into(), REPLICA_PORT);
        let replica = Arc::new(Replica {
            instance: format!("i-{number}{service}"),
            service: service.to_owned(),
            zone: ZONES[number % 3],
            address,
            state: Mutex::new("ready"),
            is_up: AtomicBool::new(true),
            runs: self.runs.clone(),
            behaviour: Mutex::new(None),
        });
        let listener = TcpListener::bind(address).map_err(|e| format!("bind {address}: {e}"))?;
        let served = replica.clone();
        http::serve(listener, move |request, output| served.answer(request, output));
        self.replicas.push(replica.clone());
        Ok(replica)
    }

    /// Starts the platform's list, three control machines and some routers.
    pub fn start(&mut self, routers: usize) -> Result<()> {
        let replicas = self.replicas.clone();
        let listener = TcpListener::bind(self.platform).map_err(|e| e.to_string())?;
        http::serve(listener, move |_, output| {
            let mut text = String::from("{\"instances\":[");
            let listed = replicas.iter().filter(|r| r.is_up.load(Ordering::Relaxed));
            for (n, replica) in listed.enumerate() {
                let comma = if n > 0 { "," } else { "" };
                let (id, service, address) = (&replica.instance, &replica.service, replica.address);
                let (zone, state) = (replica.zone, *replica.state.lock().unwrap());
                let _ = write!(
                    text,
                    "{comma}{{\"id\":\"{id}\",\"service\":\"{service}\",\"address\":\"{address}\",\
                     \"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\
                     \"cold_remaining_ms\":0}}"
                );
            }
            text.push_str("],\"next\":null}");
            let headers = [("Content-Type", "application/json")];
            output.write_all(&http::response("200 OK", &headers, text.as_bytes()))
        });
        for n in 0..3u8 {
            self.add_machine(true, 10 + n, ZONES[usize::from(n)], true)?;
        }
        for n in 0..routers {
            self.add_machine(false, 30 + n as u8, ZONES[n % 3], true)?;
        }
        for port in [LINK_PORT] {
            let free = UdpSocket::bind((self.host(10), port));
            free.map_err(|e| format!("port {port} is not free: {e}"))?;
        }
        let program = self.program.clone();
        for machine in self.control.iter_mut().chain(&mut self.routers) {
            machine.start(&program)?;
        }
        Ok(())
    }

    /// Sends a config to a control machine, once. Returns the status; 0 without a response.
    pub fn put_once(&self, control: usize, text: &str, timeout: Duration) -> u16 {
        let address = self.control[control].address();
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let request = http::request("PUT", "/configuration", &headers, text.as_bytes());
        let sent = Channel::open(address, Duration::from_secs(1))
            .and_then(|mut channel| channel.call(&request, timeout));
        sent.map_or(0, |response| response.status())
    }

    /// Sends a config as the operator does, until it is acknowledged. Returns when it was.
    pub fn put(&self, version: u64, text: &str) -> Result<u64> {
        let began = Instant::now();
        for n in 0.. {
            let control = n % self.control.len();
            let status = self.put_once(control, text, Duration::from_millis(2500));
            note(&format!(
                "operator: config {version} ({} bytes) to {}: {status}",
                text.len(),
                self.control[control].name
            ));
            match status {
                200 => return Ok(now_ms()),
                400..=407 | 409..=428 => return Err(format!("config {version} got {status}")),
                _ if began.elapsed() > Duration::from_secs(30) => break,
                _ => sleep_ms(100),
            }
        }
        Err(format!("config {version} was not acknowledged"))
    }

    /// Reads the config back from a control machine: status and body.
    pub fn read(&self, control: usize) -> (u16, String) {
        let request = http::request("GET", "/configuration", &[("Host", "control")], b"");
        let sent = Channel::open(self.control[control].address(), Duration::from_secs(1))
            .and_then(|mut channel| channel.call(&request, Duration::from_secs(3)));
        sent.map_or((0, String::new()), |r| (r.status(), r.text()))
    }

    /// Whether a router says that it is ready.
    pub fn is_ready(&self, router: usize) -> bool {
        let address = SocketAddr::new(self.routers[router].ip.into(), READY_PORT);
        let request = http::request("GET", "/readiness", &[("Host", "ready")], b"");
        let sent = Channel::open(address, Duration::from_secs(1))
            .and_then(|mut channel| channel.call(&request, Duration::from_secs(1)));
        sent.is_ok_and(|response| response.status() == 200)
    }

    pub fn wait_ready(&self) -> Result<()> {
        for n in 0..self.routers.len() {
            eventually("a router is ready", 30, || self.is_ready(n))?;
        }
        note("all routers are ready");
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
