//! Settings of one process.

use crate::section::{self, raw, Section};
use errors::{Error, Result};
use smallvec::SmallVec;
use state::id::Name;
use state::secret::Hash;
use state::view::Place;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What this VM is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name, unique in the fleet.
    pub name: Name,
    /// Data centre that it stands in.
    pub data_centre: Name,
    /// Region of that data centre.
    pub region: Name,
}

/// Links to other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    /// Where they listen.
    pub listen: SocketAddr,
    /// Certificate of the fleet's authority.
    pub authority: PathBuf,
    /// Certificate of this VM.
    pub certificate: PathBuf,
    /// Private key of this VM.
    pub key: PathBuf,
    /// Silence after which a link is down, in milliseconds.
    pub idle_ms: u64,
    /// Time between signs of life on a quiet link, in milliseconds.
    pub keep_alive_ms: u64,
}

/// The callers' side of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Callers {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Largest head in bytes.
    pub head_max: usize,
    /// Largest body in bytes.
    pub body_max: usize,
    /// Time for a head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Time for a body to arrive, in milliseconds.
    pub body_ms: u64,
    /// Connections at once.
    pub connections: usize,
}

/// Bounds of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Router {
    /// Requests that may wait.
    pub queue: usize,
    /// Requests of one customer that may wait, unless a rule says otherwise.
    pub queue_customer: u32,
    /// Bytes of waiting bodies.
    pub queue_bytes: u64,
    /// Children that it feeds with the configuration.
    pub fanout: usize,
    /// Silence from control after which it refuses requests, in milliseconds;
    /// `None` serves the last version for as long as it lasts.
    pub stale_ms: Option<u64>,
}

/// The operators' side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operators {
    /// Where operators connect.
    pub listen: SocketAddr,
    /// Hash of the operators' key.
    pub key: Hash,
}

/// The control role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// Folder of the durable state.
    pub data: PathBuf,
    /// Bytes of log after which a snapshot is taken.
    pub compact_bytes: u64,
    /// Children that it feeds with the configuration.
    pub fanout: usize,
}

/// The platform's list of live and leaving VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Where it is served.
    pub address: SocketAddr,
    /// Path of the list.
    pub path: String,
    /// Time between two looks, in milliseconds.
    pub every_ms: u64,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Whether lines are JSON.
    pub json: bool,
    /// Least level: error, warn, info, debug or trace.
    pub level: String,
    /// Events that the time line keeps.
    pub events: usize,
}

/// Hooks for tests of failures.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Whether operators may cut links.
    pub hook: bool,
}

/// Settings of one process, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// What this VM is.
    pub vm: Vm,
    /// Links.
    pub link: Link,
    /// Control VMs.
    pub seeds: SmallVec<[Place; 5]>,
    /// The operators' side.
    pub operators: Operators,
    /// The callers' side, if this is a router.
    pub callers: Option<Callers>,
    /// Bounds of a router.
    pub router: Router,
    /// Whether this VM may schedule.
    pub scheduler: bool,
    /// The control role, if this VM has a disk for it.
    pub control: Option<Control>,
    /// The platform's list, if this VM follows it.
    pub platform: Option<Platform>,
    /// Logs.
    pub log: Log,
    /// Hooks for tests.
    pub fault: Fault,
}

raw!(RawVm {
    name,
    data_centre,
    region
});
raw!(RawLink {
    listen,
    authority,
    certificate,
    key,
    idle,
    keep_alive
});
raw!(RawCallers {
    listen,
    head_max,
    body_max,
    head_time,
    body_time,
    connections
});
raw!(RawRouter {
    queue,
    queue_customer,
    queue_bytes,
    fanout,
    without_control
});
raw!(RawOperators { listen, key_sha256 });
raw!(RawScheduler {});
raw!(RawControl {
    data,
    compact_bytes,
    fanout
});
raw!(RawPlatform {
    address,
    path,
    every
});
raw!(RawLog {
    format,
    level,
    events
});
raw!(RawFault { hook });

const ADDRESS: &str = "an IP number with a port, such as 127.0.0.1:7001";
const KINDS: &str =
    "vm, link, peers, operators, callers, router, scheduler, control, platform, log, fault";

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, or [`Error::Setting`] for the first bad line.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(Error::file("read settings", path))?;
        let base = path.parent().unwrap_or(Path::new("."));
        Settings::parse(&path.display().to_string(), base, &text)
    }

    /// Checks a text; relative paths count from `base`.
    ///
    /// # Errors
    ///
    /// [`Error::Setting`] for the first bad line.
    pub fn parse(file: &str, base: &Path, text: &str) -> Result<Self> {
        let sections = section::read(file, text)?;
        for (i, s) in sections.iter().enumerate() {
            if !KINDS.split(", ").any(|kind| kind == s.title) {
                return Err(s.wrong("(section)", &s.title, format!("the sections {KINDS}")));
            }
            if sections[..i].iter().any(|other| other.title == s.title) {
                return Err(s.wrong("(section)", &s.title, "each section once"));
            }
        }
        let find = |kind: &str| sections.iter().find(|s| s.kind == kind);
        let need = |kind: &str| {
            find(kind).ok_or_else(|| Error::Setting {
                file: file.to_owned(),
                section: kind.to_owned(),
                key: "(section)".to_owned(),
                value: String::new(),
                allowed: "this section is needed".to_owned(),
            })
        };
        let vm = vm(need("vm")?)?;
        let seeds = seeds(need("peers")?)?;
        let control = find("control").map(|s| control(s, base)).transpose()?;
        let seed = seeds.iter().any(|place| place.vm == vm.name);
        if control.is_some() && !seed {
            let allowed = "a VM with [control] stands in [peers] itself";
            return Err(need("peers")?.wrong(vm.name.as_str(), "", allowed));
        }
        Ok(Settings {
            link: link(need("link")?, base)?,
            seeds,
            operators: operators(need("operators")?)?,
            callers: find("callers").map(callers).transpose()?,
            router: router(find("router"))?,
            scheduler: match find("scheduler") {
                Some(s) => s.raw::<RawScheduler>().map(|_| true)?,
                None => false,
            },
            control,
            platform: find("platform").map(platform).transpose()?,
            log: log(find("log"))?,
            fault: fault(find("fault"))?,
            vm,
        })
    }
}

fn vm(s: &Section) -> Result<Vm> {
    let raw: RawVm = s.raw()?;
    let region = Some(raw.region.unwrap_or_else(|| "main".to_owned()));
    Ok(Vm {
        name: s.convert("name", &raw.name, "the VM's name")?,
        data_centre: s.convert("data-centre", &raw.data_centre, "the data centre's name")?,
        region: s.convert("region", &region, "the region's name")?,
    })
}

fn link(s: &Section, base: &Path) -> Result<Link> {
    let raw: RawLink = s.raw()?;
    let path = |key, value: &Option<String>| -> Result<PathBuf> {
        let what = "a file that `cowslipford keys` made";
        Ok(base.join(s.need(key, value, what)?))
    };
    let idle_ms = s.millis("idle", &raw.idle, 200..=60_000, 1500)?;
    Ok(Link {
        listen: s.parse("listen", &raw.listen, ADDRESS)?,
        authority: path("authority", &raw.authority)?,
        certificate: path("certificate", &raw.certificate)?,
        key: path("key", &raw.key)?,
        idle_ms,
        keep_alive_ms: s.millis("keep-alive", &raw.keep_alive, 50..=idle_ms / 2, idle_ms / 3)?,
    })
}

fn seeds(s: &Section) -> Result<SmallVec<[Place; 5]>> {
    let mut seeds: SmallVec<[Place; 5]> = SmallVec::new();
    for (key, value) in s.pairs() {
        let vm = Name::try_from(key.as_str()).map_err(|allowed| s.wrong(key, value, allowed))?;
        let address = value.parse().map_err(|_| s.wrong(key, value, ADDRESS))?;
        if seeds.iter().any(|p| p.vm == vm) {
            return Err(s.wrong(key, value, "each VM once"));
        }
        seeds.push(Place { vm, address });
    }
    if ![1, 3, 5, 7].contains(&seeds.len()) {
        let value = seeds.len().to_string();
        return Err(s.wrong("(section)", &value, "1, 3, 5 or 7 control VMs"));
    }
    Ok(seeds)
}

fn operators(s: &Section) -> Result<Operators> {
    let raw: RawOperators = s.raw()?;
    Ok(Operators {
        listen: s.parse("listen", &raw.listen, ADDRESS)?,
        key: s.convert(
            "key-sha256",
            &raw.key_sha256,
            "the SHA-256 of the operators' key",
        )?,
    })
}

fn callers(s: &Section) -> Result<Callers> {
    let raw: RawCallers = s.raw()?;
    let size = |key, value: &Option<String>, min, max, default| -> Result<usize> {
        let number = s.number(key, value, min..=max, default)?;
        Ok(usize::try_from(number).unwrap_or(usize::MAX))
    };
    Ok(Callers {
        listen: s.parse("listen", &raw.listen, ADDRESS)?,
        head_max: size("head-max", &raw.head_max, 4096, 1 << 20, 32 * 1024)?,
        body_max: size("body-max", &raw.body_max, 0, 1 << 30, 1 << 20)?,
        head_ms: s.millis("head-time", &raw.head_time, 100..=600_000, 10_000)?,
        body_ms: s.millis("body-time", &raw.body_time, 100..=600_000, 30_000)?,
        connections: size("connections", &raw.connections, 1, 1 << 20, 4096)?,
    })
}

fn router(s: Option<&Section>) -> Result<Router> {
    let empty = Section::empty();
    let s = s.unwrap_or(&empty);
    let raw: RawRouter = s.raw()?;
    let stale_ms = match raw.without_control.as_deref() {
        None | Some("serve") => None,
        Some(_) => Some(s.millis(
            "without-control",
            &raw.without_control,
            1000..=86_400_000,
            0,
        )?),
    };
    let queue = s.number("queue", &raw.queue, 1..=1 << 20, 4096)?;
    let fanout = s.number("fanout", &raw.fanout, 1..=64, 4)?;
    Ok(Router {
        queue: usize::try_from(queue).unwrap_or(usize::MAX),
        queue_customer: s.small("queue-customer", &raw.queue_customer, 1..=1 << 20, 64)?,
        queue_bytes: s.number("queue-bytes", &raw.queue_bytes, 1..=1 << 40, 32 << 20)?,
        fanout: usize::try_from(fanout).unwrap_or(4),
        stale_ms,
    })
}

fn control(s: &Section, base: &Path) -> Result<Control> {
    let raw: RawControl = s.raw()?;
    let fanout = s.number("fanout", &raw.fanout, 1..=64, 8)?;
    Ok(Control {
        data: base.join(s.need("data", &raw.data, "the folder of the durable state")?),
        compact_bytes: s.number("compact-bytes", &raw.compact_bytes, 4096..=1 << 30, 4 << 20)?,
        fanout: usize::try_from(fanout).unwrap_or(8),
    })
}

fn platform(s: &Section) -> Result<Platform> {
    let raw: RawPlatform = s.raw()?;
    let path = s.need("path", &raw.path, "the path of the list")?;
    if !path.starts_with('/') {
        return Err(s.wrong("path", path, "a path that begins with /"));
    }
    Ok(Platform {
        address: s.parse("address", &raw.address, ADDRESS)?,
        path: path.to_owned(),
        every_ms: s.millis("every", &raw.every, 100..=600_000, 1000)?,
    })
}

fn log(s: Option<&Section>) -> Result<Log> {
    let empty = Section::empty();
    let s = s.unwrap_or(&empty);
    let raw: RawLog = s.raw()?;
    let json = match raw.format.as_deref() {
        None | Some("text") => false,
        Some("json") => true,
        Some(other) => return Err(s.wrong("format", other, "text or json")),
    };
    let level = raw.level.unwrap_or_else(|| "info".to_owned());
    if !["error", "warn", "info", "debug", "trace"].contains(&level.as_str()) {
        return Err(s.wrong("level", &level, "error, warn, info, debug or trace"));
    }
    let events = s.number("events", &raw.events, 16..=1 << 20, 4096)?;
    Ok(Log {
        json,
        level,
        events: usize::try_from(events).unwrap_or(4096),
    })
}

fn fault(s: Option<&Section>) -> Result<Fault> {
    let Some(s) = s else {
        return Ok(Fault::default());
    };
    let raw: RawFault = s.raw()?;
    let hook = s.flag("hook", &raw.hook)?.unwrap_or(false);
    Ok(Fault { hook })
}
