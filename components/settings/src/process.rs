//! The settings file of one process: its sections, their defaults and bounds.

use crate::section::{
    self, raw_section, Adjustment, Rounding, Section, DURATION_UNITS, PLAIN_UNITS, SIZE_UNITS,
};
use errors::{Error, Result};
use smallvec::SmallVec;
use state::id::Name;
use state::secret::Hash;
use state::view::Node;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Identity and resource limits of this VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of this VM, unique in the fleet.
    pub name: Name,
    /// Data centre of this VM.
    pub data_centre: Name,
    /// Region of that data centre.
    pub region: Name,
    /// Name of the interface that callers, endpoints and release clients use: `own` or
    /// that of a platform.
    pub interface: String,
    /// Longest time that a shutdown waits for requests in progress, in milliseconds.
    pub grace_ms: u64,
    /// Memory limit of this process, in bytes.
    pub memory_bytes: u64,
    /// Limit on open files and sockets; `None` leaves only the limit of the operating
    /// system.
    pub descriptors: Option<u64>,
}

/// Links to the other processes of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    /// Address on which this process accepts links.
    pub listen: SocketAddr,
    /// Keys and certificates that authenticate both ends of a link; `None` accepts the
    /// name that a peer claims without proof.
    pub keys: Option<KeyFiles>,
    /// Idle timeout after which a link counts as down, in milliseconds.
    pub idle_ms: u64,
    /// Interval of keep-alive messages on an idle link, in milliseconds.
    pub keep_alive_ms: u64,
}

/// Key and certificate files, which `cowslipford keys` generates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Certificate of the fleet's certificate authority.
    pub authority: PathBuf,
    /// Certificate of this VM.
    pub certificate: PathBuf,
    /// Private key of this VM.
    pub key: PathBuf,
}

/// The listener of a router for callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Callers {
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Largest request head, in bytes.
    pub head_max: usize,
    /// Largest request body, in bytes.
    pub body_max: usize,
    /// Timeout for a complete request head, in milliseconds.
    pub head_ms: u64,
    /// Timeout for a complete request body, in milliseconds.
    pub body_ms: u64,
    /// Most concurrent connections from callers.
    pub connections: usize,
}

/// How the schedulers of a VM decide.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scheduling {
    /// Whether refused callers get appointments.
    pub appointments: bool,
}

/// Queue, configuration and retry limits of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Router {
    /// Most requests in the queue.
    pub queue: usize,
    /// Most requests of one customer in the queue, unless a rule sets another limit.
    pub queue_customer: u32,
    /// Most bytes of request bodies in the queue.
    pub queue_bytes: u64,
    /// Children in the tree that distributes the configuration.
    pub fanout: usize,
    /// Time without contact to control after which the router refuses requests, in
    /// milliseconds; `None` keeps serving with the last known configuration.
    pub stale_ms: Option<u64>,
    /// Retry budget, which all routers share.
    pub retries: Retries,
    /// Whether streams of rules with `resume` continue at another endpoint when theirs breaks off.
    pub resume: bool,
    /// Whether requests are handed over between the routers of a data centre.
    pub handover: bool,
    /// Least time between two reads of a stream that another router answers, in milliseconds.
    pub relay_interval_ms: u64,
    /// Whether connections beyond what the router can serve are answered with a refusal, rather
    /// than closed unread.
    pub answer_excess: bool,
}

/// Retry budget of each service over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retries {
    /// Retries allowed for each thousand first attempts.
    pub per_mille: u64,
    /// Retries allowed in a window in addition, whatever the number of first attempts.
    pub extra: u64,
    /// Length of the window in which attempts and retries are counted, in milliseconds.
    pub window_ms: u64,
}

/// The listener for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operators {
    /// Address on which operators connect.
    pub listen: SocketAddr,
    /// Hash of the operators' key; without it, only requests that need no key are answered.
    pub key: Option<Hash>,
}

/// The control role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Control {
    /// Directory of the durable state.
    pub data: PathBuf,
    /// Log size after which a snapshot replaces the log, in bytes.
    pub compact_bytes: u64,
    /// Children in the tree that distributes the configuration.
    pub fanout: usize,
    /// Whether this VM may bootstrap a new control group, where control VMs are found
    /// through seeds.
    pub may_bootstrap: bool,
    /// Simultaneous losses of control VMs, with their disks, that the group must survive.
    pub tolerated_losses: u32,
    /// Whether configurations may contain objectives of streams. Processes of earlier releases
    /// cannot read such a configuration, so this is set once all have been replaced.
    pub stream_objectives: bool,
}

impl Control {
    /// Voters that the group needs so that, after [`Control::tolerated_losses`], a majority
    /// remains that holds every committed entry.
    pub fn voters(&self) -> usize {
        usize::try_from(self.tolerated_losses).map_or(usize::MAX, |n| 2 * n + 1)
    }
}

/// The listener on which release clients send and read complete configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Releases {
    /// Address on which release clients connect.
    pub listen: SocketAddr,
}

/// The listener for readiness probes: whether this router accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// Address on which probes connect.
    pub listen: SocketAddr,
}

/// The platform's list of all endpoints, which replaces the endpoints of the
/// configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Address of the server of the list.
    pub address: SocketAddr,
    /// Polling interval of the VM that reads the list for the fleet, in milliseconds.
    pub every_ms: u64,
}

/// How this process finds the control VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Peers {
    /// The fixed set of all control VMs, by name.
    Named(SmallVec<[Node; 5]>),
    /// Addresses of some control VMs, from which the others are discovered.
    Seeds(SmallVec<[Node; 5]>),
}

impl Peers {
    /// Control VMs that the settings name.
    pub fn nodes(&self) -> &[Node] {
        match self {
            Peers::Named(nodes) | Peers::Seeds(nodes) => nodes,
        }
    }
}

/// The platform's list of VMs that are live or about to leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the server of the list.
    pub address: SocketAddr,
    /// Path of the list.
    pub path: String,
    /// Polling interval, in milliseconds.
    pub every_ms: u64,
}

/// Log output and the timeline of events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Whether log lines are JSON.
    pub json: bool,
    /// Least severe level that is logged: error, warn, info, debug or trace.
    pub level: String,
    /// Most events that the timeline keeps.
    pub events: usize,
}

/// Fault injection for tests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Whether the operators' listener serves the fault injection hooks.
    pub hook: bool,
}

/// Validated settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Identity and resource limits of this VM.
    pub vm: Vm,
    /// Links to the other processes of the fleet.
    pub link: Link,
    /// How this process finds the control VMs.
    pub peers: Peers,
    /// The listener for operators.
    pub operators: Operators,
    /// The listener for callers, if this VM is a router.
    pub callers: Option<Callers>,
    /// Limits of the router.
    pub router: Router,
    /// Whether this VM may run schedulers.
    pub scheduler: bool,
    /// How schedulers decide.
    pub scheduling: Scheduling,
    /// The control role, if this VM has it.
    pub control: Option<Control>,
    /// The platform's list of VMs, if this VM polls it.
    pub platform: Option<Platform>,
    /// The platform's list of all endpoints, if it replaces those of the configuration.
    pub listing: Option<Listing>,
    /// Region of each data centre that the settings name.
    pub regions: BTreeMap<Name, Name>,
    /// The listener for release clients, if there is one.
    pub releases: Option<Releases>,
    /// The listener for readiness probes, if it is a separate one.
    pub readiness: Option<Readiness>,
    /// Log output and the timeline of events.
    pub log: Log,
    /// Fault injection for tests.
    pub fault: Fault,
    /// Numbers that were rounded, clamped or replaced by a default, for the log.
    pub adjustments: Vec<Adjustment>,
}

raw_section!(RawVm {
    name,
    data_centre,
    region,
    interface,
    grace,
    memory,
    descriptors
});
raw_section!(RawLink {
    listen,
    authentication,
    authority,
    certificate,
    key,
    idle,
    keep_alive
});
raw_section!(RawCallers {
    listen,
    head_max,
    body_max,
    head_time,
    body_time,
    connections
});
raw_section!(RawRouter {
    queue,
    queue_customer,
    queue_bytes,
    fanout,
    without_control,
    revocation,
    retry_ratio,
    retry_extra,
    retry_window,
    resume,
    handover,
    relay_interval,
    answer_excess
});
raw_section!(RawOperators { listen, key_sha256 });
raw_section!(RawScheduler { appointments });
raw_section!(RawControl {
    data,
    compact_bytes,
    fanout,
    first_start,
    losses,
    stream_objectives
});
raw_section!(RawSeeds { addresses });
raw_section!(RawListen { listen });
raw_section!(RawListing { address, every });
raw_section!(RawPlatform {
    address,
    path,
    every
});
raw_section!(RawLog {
    format,
    level,
    events
});
raw_section!(RawFault { hook });

/// Longest time that a router serves without proof that its configuration is the newest,
/// in percent of the revocation time, within which every router must refuse a removed key.
/// The rest is left for a change to reach the routers that are connected.
const PROOF_PERCENT: u64 = 60;
/// Default of `retry-ratio`, retries per first attempt: low, so that retries during an
/// outage do not double the load.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Default of `retry-extra`, further retries in a window.
const DEFAULT_RETRY_EXTRA: u64 = 10;
/// Default of `retry-window`, in milliseconds.
const DEFAULT_RETRY_WINDOW_MS: u64 = 10_000;
/// Default of `relay-interval`, in milliseconds: less than half of the 200 ms within which an event has
/// to be passed on, since the router's own tasks may run late too.
const DEFAULT_RELAY_INTERVAL_MS: u64 = 80;
/// Largest `relay-interval`, in milliseconds: half of those 200 ms.
const RELAY_INTERVAL_MAX_MS: u64 = 100;
/// Value of a `revocation` without a number, in milliseconds.
const DEFAULT_REVOCATION_MS: u64 = 5000;
/// Largest `losses`; each one adds two voters, and a larger quorum slows every commit.
const MAX_TOLERATED_LOSSES: u64 = 3;

/// Default of `memory`, in bytes: the smallest VM that is sold has as much.
const DEFAULT_MEMORY_BYTES: u64 = 512_000_000;
/// Smallest `memory`, in bytes: an idle process with 340 peers takes half of it.
const MIN_MEMORY_BYTES: u64 = 48_000_000;
/// Largest `memory`, in bytes.
const MAX_MEMORY_BYTES: u64 = 1 << 44;

/// Allowed values of an address key, for error messages.
const ADDRESS_FORMAT: &str = "an IP address with a port, such as 127.0.0.1:7001";
/// Sections of a settings file, separated by a comma and a space.
const SECTION_TITLES: &str =
    "vm, link, peers, seeds, operators, callers, router, scheduler, control, platform, listing, \
     data-centres, releases, readiness, log, fault";

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`Error::File`] if the file cannot be read, [`Error::Setting`] for the first invalid
    /// line.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(Error::file("read settings", path))?;
        let base = path.parent().unwrap_or(Path::new("."));
        Settings::parse(&path.display().to_string(), base, &text)
    }

    /// Parses and validates the text of a settings file. `file` names it in errors;
    /// relative paths are relative to `base`.
    ///
    /// # Errors
    ///
    /// [`Error::Setting`] for the first invalid line.
    pub fn parse(file: &str, base: &Path, text: &str) -> Result<Self> {
        let sections = section::parse_sections(file, text)?;
        for (i, s) in sections.iter().enumerate() {
            if !SECTION_TITLES.split(", ").any(|kind| kind == s.title) {
                return Err(s.invalid(
                    "(section)",
                    &s.title,
                    format!("the sections {SECTION_TITLES}"),
                ));
            }
            if sections[..i].iter().any(|other| other.title == s.title) {
                return Err(s.invalid("(section)", &s.title, "each section once"));
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
        // With seeds, the name of a VM is derived from its link address, so that peers
        // that know only the address derive the same name.
        let name = find("seeds").map(|_| Node::at(link.listen).vm);
        let vm = vm(need("vm")?, name)?;
        let control = find("control").map(|s| control(s, base)).transpose()?;
        let peers = match find("seeds") {
            Some(s) => Peers::Seeds(seeds(s, link.listen)?),
            None => Peers::Named(peers(need("peers")?)?),
        };
        let is_listed = peers.nodes().iter().any(|node| node.vm == vm.name);
        if control.is_some() && matches!(peers, Peers::Named(_)) && !is_listed {
            let allowed = "a VM with [control] must itself be listed in [peers]";
            return Err(need("peers")?.invalid(vm.name.as_str(), "", allowed));
        }
        Ok(Settings {
            link,
            peers,
            operators: operators(need("operators")?)?,
            callers: find("callers").map(callers).transpose()?,
            router: router(find("router"))?,
            scheduler: find("scheduler").is_some(),
            scheduling: (find("scheduler").map(scheduling).transpose()?).unwrap_or_default(),
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
            adjustments: sections.iter().flat_map(Section::adjustments).collect(),
            vm,
        })
    }
}

fn listen(s: &Section) -> Result<SocketAddr> {
    let raw: RawListen = s.deserialize()?;
    s.parse("listen", &raw.listen, ADDRESS_FORMAT)
}

fn listing(s: &Section) -> Result<Listing> {
    let raw: RawListing = s.deserialize()?;
    Ok(Listing {
        address: s.parse("address", &raw.address, ADDRESS_FORMAT)?,
        every_ms: s.duration_ms("every", &raw.every, 100..=600_000, 500)?,
    })
}

/// Reads the region of each data centre.
fn regions(s: &Section) -> Result<BTreeMap<Name, Name>> {
    let name = |key: &str, text: &str| {
        Name::try_from(text).map_err(|allowed| s.invalid(key, text, allowed))
    };
    let pairs = s.pairs().iter();
    pairs
        .map(|(key, value)| Ok((name(key, key)?, name(key, value)?)))
        .collect()
}

fn vm(s: &Section, name: Option<Name>) -> Result<Vm> {
    let raw: RawVm = s.deserialize()?;
    let region = Some(raw.region.unwrap_or_else(|| "main".to_owned()));
    let name = match (name, &raw.name) {
        (Some(name), None) => name,
        (Some(_), Some(other)) => {
            return Err(s.invalid(
                "name",
                other,
                "no name: with [seeds] it is derived from the link address",
            ));
        }
        (None, name) => s.convert("name", name, "the VM's name")?,
    };
    Ok(Vm {
        name,
        data_centre: s.convert("data-centre", &raw.data_centre, "the data centre's name")?,
        region: s.convert("region", &region, "the region's name")?,
        interface: raw.interface.unwrap_or_else(|| "own".to_owned()),
        grace_ms: s.lenient_number(
            "grace",
            &raw.grace,
            DURATION_UNITS,
            Rounding::Down,
            500..=600_000,
            30_000,
        )?,
        memory_bytes: s.lenient_number(
            "memory",
            &raw.memory,
            SIZE_UNITS,
            Rounding::Down,
            MIN_MEMORY_BYTES..=MAX_MEMORY_BYTES,
            DEFAULT_MEMORY_BYTES,
        )?,
        descriptors: match raw.descriptors.as_deref() {
            None | Some("") => None,
            _ => Some(s.lenient_number(
                "descriptors",
                &raw.descriptors,
                PLAIN_UNITS,
                Rounding::Down,
                64..=1 << 30,
                64,
            )?),
        },
    })
}

/// Reads the link addresses of the seeds; all control VMs listen on the same port as this VM.
fn seeds(s: &Section, link: SocketAddr) -> Result<SmallVec<[Node; 5]>> {
    let raw: RawSeeds = s.deserialize()?;
    let what = "addresses of control VMs, such as 10.0.0.1:7001, 10.0.0.2:7001";
    let text = s.required("addresses", &raw.addresses, what)?;
    let each = |part: &str| {
        let address: SocketAddr = part
            .parse()
            .map_err(|_| s.invalid("addresses", text, what))?;
        Ok(Node::at(SocketAddr::new(address.ip(), link.port())))
    };
    section::split_list(text).map(each).collect()
}

fn link(s: &Section, base: &Path) -> Result<Link> {
    let raw: RawLink = s.deserialize()?;
    let path = |key, value: &Option<String>| -> Result<PathBuf> {
        let what = "a file that `cowslipford keys` made";
        Ok(base.join(s.required(key, value, what)?))
    };
    let idle_ms = s.duration_ms("idle", &raw.idle, 200..=60_000, 1500)?;
    let keys = match raw.authentication.as_deref() {
        Some("none") => None,
        None | Some("certificates") => Some(KeyFiles {
            authority: path("authority", &raw.authority)?,
            certificate: path("certificate", &raw.certificate)?,
            key: path("key", &raw.key)?,
        }),
        Some(other) => return Err(s.invalid("authentication", other, "certificates or none")),
    };
    Ok(Link {
        listen: s.parse("listen", &raw.listen, ADDRESS_FORMAT)?,
        keys,
        idle_ms,
        keep_alive_ms: s.duration_ms(
            "keep-alive",
            &raw.keep_alive,
            50..=idle_ms / 2,
            idle_ms / 3,
        )?,
    })
}

fn peers(s: &Section) -> Result<SmallVec<[Node; 5]>> {
    let mut nodes: SmallVec<[Node; 5]> = SmallVec::new();
    for (key, value) in s.pairs() {
        let vm = Name::try_from(key.as_str()).map_err(|allowed| s.invalid(key, value, allowed))?;
        let address = value
            .parse()
            .map_err(|_| s.invalid(key, value, ADDRESS_FORMAT))?;
        if nodes.iter().any(|p| p.vm == vm) {
            return Err(s.invalid(key, value, "each VM once"));
        }
        nodes.push(Node { vm, address });
    }
    if ![1, 3, 5, 7].contains(&nodes.len()) {
        let value = nodes.len().to_string();
        return Err(s.invalid("(section)", &value, "1, 3, 5 or 7 control VMs"));
    }
    Ok(nodes)
}

fn operators(s: &Section) -> Result<Operators> {
    let raw: RawOperators = s.deserialize()?;
    Ok(Operators {
        listen: s.parse("listen", &raw.listen, ADDRESS_FORMAT)?,
        key: match &raw.key_sha256 {
            None => None,
            key => Some(s.convert("key-sha256", key, "the SHA-256 of the operators' key")?),
        },
    })
}

fn callers(s: &Section) -> Result<Callers> {
    let raw: RawCallers = s.deserialize()?;
    let size = |key, value: &Option<String>, min, max, default| -> Result<usize> {
        let number = s.number(key, value, min..=max, default)?;
        Ok(usize::try_from(number).unwrap_or(usize::MAX))
    };
    Ok(Callers {
        listen: s.parse("listen", &raw.listen, ADDRESS_FORMAT)?,
        head_max: size("head-max", &raw.head_max, 4096, 1 << 20, 32 * 1024)?,
        body_max: size("body-max", &raw.body_max, 0, 1 << 30, 1 << 20)?,
        head_ms: s.duration_ms("head-time", &raw.head_time, 100..=600_000, 10_000)?,
        body_ms: s.duration_ms("body-time", &raw.body_time, 100..=600_000, 30_000)?,
        connections: size("connections", &raw.connections, 1, 1 << 20, 4096)?,
    })
}

fn router(s: Option<&Section>) -> Result<Router> {
    let empty = Section::empty();
    let s = s.unwrap_or(&empty);
    let raw: RawRouter = s.deserialize()?;
    let stale_ms = match raw.without_control.as_deref() {
        None | Some("serve") => None,
        Some(_) => Some(s.duration_ms(
            "without-control",
            &raw.without_control,
            1000..=86_400_000,
            0,
        )?),
    };
    let revocation_ms = |_| {
        let bounds = 1000..=86_400_000;
        s.lenient_number(
            "revocation",
            &raw.revocation,
            DURATION_UNITS,
            Rounding::Down,
            bounds,
            DEFAULT_REVOCATION_MS,
        )
    };
    let revocation_ms = raw.revocation.as_ref().map(revocation_ms).transpose()?;
    let stale_ms = match revocation_ms.map(|ms| ms * PROOF_PERCENT / 100) {
        Some(proof_ms) => Some(stale_ms.map_or(proof_ms, |stale| stale.min(proof_ms))),
        None => stale_ms,
    };
    let queue = s.number("queue", &raw.queue, 1..=1 << 20, 4096)?;
    let fanout = s.number("fanout", &raw.fanout, 1..=64, 4)?;
    Ok(Router {
        queue: usize::try_from(queue).unwrap_or(usize::MAX),
        queue_customer: s.number_u32("queue-customer", &raw.queue_customer, 1..=1 << 20, 64)?,
        queue_bytes: s.number("queue-bytes", &raw.queue_bytes, 1..=1 << 40, 32 << 20)?,
        fanout: usize::try_from(fanout).unwrap_or(4),
        stale_ms,
        retries: retries(s, &raw)?,
        resume: s.flag("resume", &raw.resume)?.unwrap_or(false),
        handover: s.flag("handover", &raw.handover)?.unwrap_or(false),
        relay_interval_ms: s.duration_ms(
            "relay-interval",
            &raw.relay_interval,
            0..=RELAY_INTERVAL_MAX_MS,
            DEFAULT_RELAY_INTERVAL_MS,
        )?,
        answer_excess: s
            .flag("answer-excess", &raw.answer_excess)?
            .unwrap_or(false),
    })
}

fn retries(s: &Section, raw: &RawRouter) -> Result<Retries> {
    let what = "retries for each first try, such as 0.2";
    let ratio: f64 = match raw.retry_ratio.as_deref() {
        None | Some("") => DEFAULT_RETRY_RATIO,
        Some(text) => s.parse("retry-ratio", &Some(text.to_owned()), what)?,
    };
    if !(0.0..=1.0).contains(&ratio) {
        return Err(s.invalid("retry-ratio", &ratio.to_string(), what));
    }
    let extra = (&raw.retry_extra, 0..=1 << 20, DEFAULT_RETRY_EXTRA);
    let window = (&raw.retry_window, 100..=600_000, DEFAULT_RETRY_WINDOW_MS);
    Ok(Retries {
        // CAST: at most 1000.
        per_mille: (ratio * 1000.0) as u64,
        extra: s.lenient_number(
            "retry-extra",
            extra.0,
            PLAIN_UNITS,
            Rounding::Down,
            extra.1,
            extra.2,
        )?,
        window_ms: s.lenient_number(
            "retry-window",
            window.0,
            DURATION_UNITS,
            Rounding::Up,
            window.1,
            window.2,
        )?,
    })
}

fn control(s: &Section, base: &Path) -> Result<Control> {
    let raw: RawControl = s.deserialize()?;
    let fanout = s.number("fanout", &raw.fanout, 1..=64, 8)?;
    Ok(Control {
        data: base.join(s.required("data", &raw.data, "the directory of the durable state")?),
        compact_bytes: s.number(
            "compact-bytes",
            &raw.compact_bytes,
            4096..=1 << 30,
            512 << 10,
        )?,
        fanout: usize::try_from(fanout).unwrap_or(8),
        may_bootstrap: s.flag("first-start", &raw.first_start)?.unwrap_or(false),
        // CAST: at most `MAX_TOLERATED_LOSSES`.
        tolerated_losses: s.lenient_number(
            "losses",
            &raw.losses,
            PLAIN_UNITS,
            Rounding::Up,
            0..=MAX_TOLERATED_LOSSES,
            1,
        )? as u32,
        stream_objectives: (s.flag("stream-objectives", &raw.stream_objectives)?).unwrap_or(false),
    })
}

fn scheduling(s: &Section) -> Result<Scheduling> {
    let raw: RawScheduler = s.deserialize()?;
    Ok(Scheduling {
        appointments: s.flag("appointments", &raw.appointments)?.unwrap_or(false),
    })
}

fn platform(s: &Section) -> Result<Platform> {
    let raw: RawPlatform = s.deserialize()?;
    let path = s.required("path", &raw.path, "the path of the list")?;
    if !path.starts_with('/') {
        return Err(s.invalid("path", path, "a path that begins with /"));
    }
    Ok(Platform {
        address: s.parse("address", &raw.address, ADDRESS_FORMAT)?,
        path: path.to_owned(),
        every_ms: s.duration_ms("every", &raw.every, 100..=600_000, 1000)?,
    })
}

fn log(s: Option<&Section>) -> Result<Log> {
    let empty = Section::empty();
    let s = s.unwrap_or(&empty);
    let raw: RawLog = s.deserialize()?;
    let json = match raw.format.as_deref() {
        None | Some("text") => false,
        Some("json") => true,
        Some(other) => return Err(s.invalid("format", other, "text or json")),
    };
    let level = raw.level.unwrap_or_else(|| "info".to_owned());
    if !["error", "warn", "info", "debug", "trace"].contains(&level.as_str()) {
        return Err(s.invalid("level", &level, "error, warn, info, debug or trace"));
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
    let raw: RawFault = s.deserialize()?;
    let hook = s.flag("hook", &raw.hook)?.unwrap_or(false);
    Ok(Fault { hook })
}
