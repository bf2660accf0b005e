//! Settings of one process.

use crate::section::{self, raw, Adjusted, Rounding, Section, BYTES, MILLIS, NUMBER};
use errors::{Error, Result};
use smallvec::SmallVec;
use state::id::Name;
use state::secret::Hash;
use state::view::Node;
use std::collections::BTreeMap;
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
    /// How callers, endpoints and operators of complete configurations speak.
    pub interface: String,
    /// Longest time for what is in progress to end after a stop, in milliseconds.
    pub grace_ms: u64,
    /// Memory that this process may take, in bytes.
    pub memory: u64,
    /// Files and sockets that it may have open; the system's own limit, where none
    /// is named.
    pub descriptors: Option<u64>,
}

/// Links to other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    /// Where they listen.
    pub listen: SocketAddr,
    /// Files that prove who this VM is; without them, peers are taken for what
    /// they say they are.
    pub keys: Option<KeyFiles>,
    /// Silence after which a link is down, in milliseconds.
    pub idle_ms: u64,
    /// Time between signs of life on a quiet link, in milliseconds.
    pub keep_alive_ms: u64,
}

/// Files that `cowslipford keys` made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Certificate of the fleet's authority.
    pub authority: PathBuf,
    /// Certificate of this VM.
    pub certificate: PathBuf,
    /// Private key of this VM.
    pub key: PathBuf,
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
    /// Retries that all routers together may add in any [`Retries::window_ms`].
    pub retries: Retries,
}

/// Bounds on retries over the whole fleet, for each service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retries {
    /// Retries for each thousand first tries.
    pub per_mille: u64,
    /// Retries beyond that.
    pub extra: u64,
    /// Time over which both are counted, in milliseconds.
    pub window_ms: u64,
}

/// The operators' side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operators {
    /// Where operators connect.
    pub listen: SocketAddr,
    /// Hash of the operators' key; without one, only what needs none is answered.
    pub key: Option<Hash>,
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
    /// Whether a new group may begin, when control VMs are found through seeds.
    pub begins: bool,
    /// Control VMs that may be lost at once, with their disks.
    pub losses: u32,
}

impl Control {
    /// Voters that a group needs, so that after so many losses a majority is left that
    /// knows everything that was accepted.
    pub fn voters(&self) -> usize {
        usize::try_from(self.losses).map_or(usize::MAX, |n| 2 * n + 1)
    }
}

/// Where operators send complete configurations and read them back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Releases {
    /// Where they connect.
    pub listen: SocketAddr,
}

/// Where it is asked whether this router takes requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// Where to ask.
    pub listen: SocketAddr,
}

/// The platform's list of all endpoints, in place of those of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Where it is served.
    pub address: SocketAddr,
    /// Time between two looks of the VM that reads it for the fleet, in
    /// milliseconds.
    pub every_ms: u64,
}

/// How this process learns of the control VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Peers {
    /// All of them are known by name, for good.
    Named(SmallVec<[Node; 5]>),
    /// Some of them are known by address; they tell of the others.
    Seeds(SmallVec<[Node; 5]>),
}

impl Peers {
    /// Places that are known from the settings.
    pub fn places(&self) -> &[Node] {
        match self {
            Peers::Named(places) | Peers::Seeds(places) => places,
        }
    }
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
    pub peers: Peers,
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
    /// The platform's list of VMs, if this VM follows it.
    pub platform: Option<Platform>,
    /// The platform's list of all endpoints, if they come from there.
    pub listing: Option<Listing>,
    /// Region of each data centre that the settings name.
    pub regions: BTreeMap<Name, Name>,
    /// Complete configurations, if operators send them here.
    pub releases: Option<Releases>,
    /// Readiness on an address of its own.
    pub readiness: Option<Readiness>,
    /// Logs.
    pub log: Log,
    /// Hooks for tests.
    pub fault: Fault,
    /// Figures that were read as others, for the log.
    pub adjusted: Vec<Adjusted>,
}

raw!(RawVm {
    name,
    data_centre,
    region,
    interface,
    grace,
    memory,
    descriptors
});
raw!(RawLink {
    listen,
    authentication,
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
    without_control,
    revocation,
    retry_ratio,
    retry_extra,
    retry_window
});
raw!(RawOperators { listen, key_sha256 });
raw!(RawScheduler {});
raw!(RawControl {
    data,
    compact_bytes,
    fanout,
    first_start,
    losses
});
raw!(RawSeeds { addresses });
raw!(RawListen { listen });
raw!(RawListing { address, every });
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

/// Age of the last proof of the newest version up to which a router serves, as
/// a part of the time in which a removed key must be refused everywhere, in
/// hundredths. The rest is for the way of a change to a router that is reached.
const PROOF_PERCENT: u64 = 60;
/// Retries for each first try, unless set: an outage must not double the load.
const RETRY_RATIO: f64 = 0.1;
/// Retries beyond that in a window, unless set.
const RETRY_EXTRA: u64 = 10;
/// That window, unless set, in milliseconds.
const RETRY_WINDOW_MS: u64 = 10_000;
/// Time in which a removed key is refused everywhere, where none is named, in milliseconds.
const REVOCATION_MS: u64 = 5000;
/// Losses of control VMs that can be asked to be borne: more would take more voters than a
/// quorum is fast with.
const LOSSES_MAX: u64 = 3;

/// Memory that a process may take, unless its settings say otherwise, in bytes: the
/// smallest VM that is sold today.
const MEMORY: u64 = 512_000_000;
/// Least that can be named, in bytes: a process at rest with 340 peers takes half of it.
const MEMORY_MIN: u64 = 48_000_000;
/// Most that can be named, in bytes.
const MEMORY_MAX: u64 = 1 << 44;

const ADDRESS: &str = "an IP number with a port, such as 127.0.0.1:7001";
const KINDS: &str =
    "vm, link, peers, seeds, operators, callers, router, scheduler, control, platform, listing, \
     data-centres, releases, readiness, log, fault";

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
        let link = link(need("link")?, base)?;
        // Peers that know only an address must come to the same name.
        let name = find("seeds").map(|_| Node::at(link.listen).vm);
        let vm = vm(need("vm")?, name)?;
        let control = find("control").map(|s| control(s, base)).transpose()?;
        let peers = match find("seeds") {
            Some(s) => Peers::Seeds(seeds(s, link.listen)?),
            None => Peers::Named(peers(need("peers")?)?),
        };
        let known = peers.places().iter().any(|place| place.vm == vm.name);
        if control.is_some() && matches!(peers, Peers::Named(_)) && !known {
            let allowed = "a VM with [control] stands in [peers] itself";
            return Err(need("peers")?.wrong(vm.name.as_str(), "", allowed));
        }
        Ok(Settings {
            link,
            peers,
            operators: operators(need("operators")?)?,
            callers: find("callers").map(callers).transpose()?,
            router: router(find("router"))?,
            scheduler: match find("scheduler") {
                Some(s) => s.raw::<RawScheduler>().map(|_| true)?,
                None => false,
            },
            control,
            platform: find("platform").map(platform).transpose()?,
            listing: find("listing").map(listing).transpose()?,
            regions: (find("data-centres").map(regions).transpose()?).unwrap_or_default(),
            releases: (find("releases").map(listen).transpose()?).map(|listen| Releases { listen }),
            readiness: find("readiness")
                .map(listen)
                .transpose()?
                .map(|listen| Readiness { listen }),
            log: log(find("log"))?,
            fault: fault(find("fault"))?,
            adjusted: sections.iter().flat_map(Section::adjusted).collect(),
            vm,
        })
    }
}

fn listen(s: &Section) -> Result<SocketAddr> {
    let raw: RawListen = s.raw()?;
    s.parse("listen", &raw.listen, ADDRESS)
}

fn listing(s: &Section) -> Result<Listing> {
    let raw: RawListing = s.raw()?;
    Ok(Listing {
        address: s.parse("address", &raw.address, ADDRESS)?,
        every_ms: s.millis("every", &raw.every, 100..=600_000, 500)?,
    })
}

/// Region of each data centre.
fn regions(s: &Section) -> Result<BTreeMap<Name, Name>> {
    let name =
        |key: &str, text: &str| Name::try_from(text).map_err(|allowed| s.wrong(key, text, allowed));
    let pairs = s.pairs().iter();
    pairs
        .map(|(key, value)| Ok((name(key, key)?, name(key, value)?)))
        .collect()
}

fn vm(s: &Section, name: Option<Name>) -> Result<Vm> {
    let raw: RawVm = s.raw()?;
    let region = Some(raw.region.unwrap_or_else(|| "main".to_owned()));
    let name = match (name, &raw.name) {
        (Some(name), None) => name,
        (Some(_), Some(other)) => {
            return Err(s.wrong(
                "name",
                other,
                "no name: with [seeds] it follows from the link",
            ));
        }
        (None, name) => s.convert("name", name, "the VM's name")?,
    };
    Ok(Vm {
        name,
        data_centre: s.convert("data-centre", &raw.data_centre, "the data centre's name")?,
        region: s.convert("region", &region, "the region's name")?,
        interface: raw.interface.unwrap_or_else(|| "own".to_owned()),
        grace_ms: s.figure(
            "grace",
            &raw.grace,
            MILLIS,
            Rounding::Down,
            500..=600_000,
            30_000,
        )?,
        memory: s.figure(
            "memory",
            &raw.memory,
            BYTES,
            Rounding::Down,
            MEMORY_MIN..=MEMORY_MAX,
            MEMORY,
        )?,
        descriptors: match raw.descriptors.as_deref() {
            None | Some("") => None,
            _ => Some(s.figure(
                "descriptors",
                &raw.descriptors,
                NUMBER,
                Rounding::Down,
                64..=1 << 30,
                64,
            )?),
        },
    })
}

/// Places of seeds. Their links listen on the port of this VM's own.
fn seeds(s: &Section, link: SocketAddr) -> Result<SmallVec<[Node; 5]>> {
    let raw: RawSeeds = s.raw()?;
    let what = "addresses of control VMs, such as 10.0.0.1:7001, 10.0.0.2:7001";
    let text = s.need("addresses", &raw.addresses, what)?;
    let each = |part: &str| {
        let address: SocketAddr = part.parse().map_err(|_| s.wrong("addresses", text, what))?;
        Ok(Node::at(SocketAddr::new(address.ip(), link.port())))
    };
    section::list(text).map(each).collect()
}

fn link(s: &Section, base: &Path) -> Result<Link> {
    let raw: RawLink = s.raw()?;
    let path = |key, value: &Option<String>| -> Result<PathBuf> {
        let what = "a file that `cowslipford keys` made";
        Ok(base.join(s.need(key, value, what)?))
    };
    let idle_ms = s.millis("idle", &raw.idle, 200..=60_000, 1500)?;
    let keys = match raw.authentication.as_deref() {
        Some("none") => None,
        None | Some("certificates") => Some(KeyFiles {
            authority: path("authority", &raw.authority)?,
            certificate: path("certificate", &raw.certificate)?,
            key: path("key", &raw.key)?,
        }),
        Some(other) => return Err(s.wrong("authentication", other, "certificates or none")),
    };
    Ok(Link {
        listen: s.parse("listen", &raw.listen, ADDRESS)?,
        keys,
        idle_ms,
        keep_alive_ms: s.millis("keep-alive", &raw.keep_alive, 50..=idle_ms / 2, idle_ms / 3)?,
    })
}

fn peers(s: &Section) -> Result<SmallVec<[Node; 5]>> {
    let mut seeds: SmallVec<[Node; 5]> = SmallVec::new();
    for (key, value) in s.pairs() {
        let vm = Name::try_from(key.as_str()).map_err(|allowed| s.wrong(key, value, allowed))?;
        let address = value.parse().map_err(|_| s.wrong(key, value, ADDRESS))?;
        if seeds.iter().any(|p| p.vm == vm) {
            return Err(s.wrong(key, value, "each VM once"));
        }
        seeds.push(Node { vm, address });
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
        key: match &raw.key_sha256 {
            None => None,
            key => Some(s.convert("key-sha256", key, "the SHA-256 of the operators' key")?),
        },
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
    let revocation = |_| {
        let bounds = 1000..=86_400_000;
        s.figure(
            "revocation",
            &raw.revocation,
            MILLIS,
            Rounding::Down,
            bounds,
            REVOCATION_MS,
        )
    };
    let revocation = raw.revocation.as_ref().map(revocation).transpose()?;
    let stale_ms = match revocation.map(|ms| ms * PROOF_PERCENT / 100) {
        Some(proof) => Some(stale_ms.map_or(proof, |stale| stale.min(proof))),
        None => stale_ms,
    };
    let queue = s.number("queue", &raw.queue, 1..=1 << 20, 4096)?;
    let fanout = s.number("fanout", &raw.fanout, 1..=64, 4)?;
    Ok(Router {
        queue: usize::try_from(queue).unwrap_or(usize::MAX),
        queue_customer: s.small("queue-customer", &raw.queue_customer, 1..=1 << 20, 64)?,
        queue_bytes: s.number("queue-bytes", &raw.queue_bytes, 1..=1 << 40, 32 << 20)?,
        fanout: usize::try_from(fanout).unwrap_or(4),
        stale_ms,
        retries: retries(s, &raw)?,
    })
}

fn retries(s: &Section, raw: &RawRouter) -> Result<Retries> {
    let what = "retries for each first try, such as 0.2";
    let ratio: f64 = match raw.retry_ratio.as_deref() {
        None | Some("") => RETRY_RATIO,
        Some(text) => s.parse("retry-ratio", &Some(text.to_owned()), what)?,
    };
    if !(0.0..=1.0).contains(&ratio) {
        return Err(s.wrong("retry-ratio", &ratio.to_string(), what));
    }
    let extra = (&raw.retry_extra, 0..=1 << 20, RETRY_EXTRA);
    let window = (&raw.retry_window, 100..=600_000, RETRY_WINDOW_MS);
    Ok(Retries {
        // CAST: at most 1000.
        per_mille: (ratio * 1000.0) as u64,
        extra: s.figure(
            "retry-extra",
            extra.0,
            NUMBER,
            Rounding::Down,
            extra.1,
            extra.2,
        )?,
        window_ms: s.figure(
            "retry-window",
            window.0,
            MILLIS,
            Rounding::Up,
            window.1,
            window.2,
        )?,
    })
}

fn control(s: &Section, base: &Path) -> Result<Control> {
    let raw: RawControl = s.raw()?;
    let fanout = s.number("fanout", &raw.fanout, 1..=64, 8)?;
    Ok(Control {
        data: base.join(s.need("data", &raw.data, "the folder of the durable state")?),
        compact_bytes: s.number(
            "compact-bytes",
            &raw.compact_bytes,
            4096..=1 << 30,
            512 << 10,
        )?,
        fanout: usize::try_from(fanout).unwrap_or(8),
        begins: s.flag("first-start", &raw.first_start)?.unwrap_or(false),
        // CAST: at most `LOSSES_MAX`.
        losses: s.figure(
            "losses",
            &raw.losses,
            NUMBER,
            Rounding::Up,
            0..=LOSSES_MAX,
            1,
        )? as u32,
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
