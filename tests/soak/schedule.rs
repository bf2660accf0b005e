//! Schedule of faults: the same seed gives the same faults at the same times.

use super::proxy::Mode;
use super::releases::VERSIONED_COUNT;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::time::Duration;

/// Number of control VMs, the first of the VMs.
pub(crate) const CONTROL_COUNT: usize = 3;
/// Number of routers, which follow the control VMs.
pub(crate) const ROUTER_COUNT: usize = 3;
/// Number of all VMs.
pub(crate) const VM_COUNT: usize = CONTROL_COUNT + ROUTER_COUNT;
/// Number of stand-ins: two model engines, then two plain services.
pub(crate) const STAND_IN_COUNT: usize = 4;
/// Stand-ins that routers reach through a proxy: the first of each service. The others are
/// reached directly, so that a killed stand-in refuses connections.
pub(crate) const PROXIED: [usize; 2] = [0, 2];
/// Stand-ins in the data centre that is evacuated.
pub(crate) const EVACUATED: [usize; 2] = [1, 3];
/// Name of the data centre that is evacuated.
pub(crate) const EVACUATED_DATA_CENTRE: &str = "dc-2";
/// Number of proxies: one before each router, then one before each stand-in of `PROXIED`.
pub(crate) const PROXY_COUNT: usize = ROUTER_COUNT + PROXIED.len();

/// Milliseconds between the starts of two faults, or series of faults. Much shorter than
/// the faults last, so that they overlap.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 50..700;
/// Duration of a fault in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..4000;
/// Milliseconds by which a clock is advanced: from less to more than a lease, an epoch and
/// the time for a revocation.
const SUSPEND_MS: std::ops::Range<u64> = 300..9000;
/// Milliseconds between the faults of a series.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 50..900;
/// Probability that a fault is repeated in a series.
const SERIES_PROBABILITY: f64 = 0.25;
/// Milliseconds between two changes of the list of endpoints.
const LIST_INTERVAL_MS: std::ops::Range<u64> = 500..6000;
/// Probability that all VMs are killed after a change of the list.
const KILL_ALL_PROBABILITY: f64 = 0.3;
/// Milliseconds for which all VMs are down.
const KILL_ALL_MS: std::ops::Range<u64> = 100..2000;
/// Maximum number of faults in a series.
const MAX_FAULTS_PER_SERIES: u64 = 4;

/// A process, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    Vm(usize),
    StandIn(usize),
}

/// An action on the fleet: a fault, its end or a change by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Act {
    /// Sets the fault of a proxy.
    SetProxy(usize, Mode),
    /// SIGSTOP.
    Pause(Target),
    /// SIGCONT.
    Resume(Target),
    /// SIGKILL.
    Kill(Target),
    /// SIGTERM: a planned stop.
    Terminate(Target),
    /// Starts a process that is down.
    Start(Target),
    /// Closes the link between two VMs and refuses new ones, at the first of the VMs. The
    /// silent mode of the fault injection is not used: it drops messages of a link that
    /// stays up, which no network does to QUIC. Paused processes cover silent links.
    Cut(usize, usize),
    /// Closes all links of a VM and refuses new ones.
    Isolate(usize),
    /// Restores all links of a VM.
    Join(usize),
    /// Advances a VM's clock by a number of milliseconds, as a suspension does.
    Suspend(usize, u64),
    /// Kills a control VM and removes its durable state.
    Wipe(usize),
    /// Applies another configuration.
    Change,
    /// Applies a configuration that revokes a customer's key and adds another one.
    Revoke,
    /// Announces the departure of an endpoint.
    Withdraw(usize),
    /// Withdraws the announcement of the departure.
    Return(usize),
    /// Evacuates the data centre of the second stand-in of each service.
    Evacuate,
    /// Ends the evacuation.
    EndEvacuation,
    /// Floods a router with requests of one customer.
    Flood(usize),
    /// Lists the stand-ins of several versions whose bits are set.
    List(u32),
    /// Kills all VMs at once.
    KillAll,
    /// Starts all VMs that are down.
    StartAll,
}

/// An act and the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) at: Duration,
    pub(crate) act: Act,
    /// Name under which a fault is counted; `None` for the end of a fault.
    pub(crate) kind: Option<&'static str>,
}

/// Name of a fault, the act that starts it, and the act that ends it.
type Fault = (&'static str, Act, Option<Act>);

/// Generates the schedule of a seed. Faults that outlast it are ended by the run.
pub(crate) fn schedule(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let (kind, begin, end) = fault(&mut rng);
        let mut moment = at;
        let is_series = rng.random_bool(SERIES_PROBABILITY);
        let most = if is_series { MAX_FAULTS_PER_SERIES } else { 1 };
        for _ in 0..rng.random_range(1..=most) {
            let lasts = millis(&mut rng, FAULT_DURATION_MS);
            steps.push(step(moment, begin, Some(kind)));
            steps.extend(end.map(|end| step(moment + lasts, end, None)));
            moment += millis(&mut rng, SERIES_INTERVAL_MS);
        }
        at += millis(&mut rng, FAULT_INTERVAL_MS);
    }
    wipe(&mut rng, &mut steps, length);
    releases(seed, &mut steps, length);
    steps.retain(|s| s.at < length);
    steps.sort_by_key(|s| s.at);
    steps
}

fn step(at: Duration, act: Act, kind: Option<&'static str>) -> Step {
    Step { at, act, kind }
}

fn millis(rng: &mut Pcg64, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Adds the loss of one disk. A second one could be lost before the first is repaired, and
/// losing a majority of disks loses accepted changes.
fn wipe(rng: &mut Pcg64, steps: &mut Vec<Step>, length: Duration) {
    let index = rng.random_range(0..CONTROL_COUNT);
    let at = length.mul_f64(rng.random_range(0.1..0.9));
    let back = at + millis(rng, FAULT_DURATION_MS);
    steps.push(step(at, Act::Wipe(index), Some("wipe-disk")));
    steps.push(step(back, Act::Start(Target::Vm(index)), None));
}

/// Adds changes of the list of endpoints with several versions, and kills of all VMs at once, by
/// random numbers of their own.
fn releases(seed: u64, steps: &mut Vec<Step>, length: Duration) {
    let mut rng = Pcg64::seed_from_u64(!seed);
    let mut at = millis(&mut rng, LIST_INTERVAL_MS);
    while at < length {
        let listed = rng.random_range(1..1 << VERSIONED_COUNT);
        steps.push(step(at, Act::List(listed), Some("list")));
        if rng.random_bool(KILL_ALL_PROBABILITY) {
            let kill = at + millis(&mut rng, SERIES_INTERVAL_MS);
            let start = kill + millis(&mut rng, KILL_ALL_MS);
            steps.push(step(kill, Act::KillAll, Some("kill-all-vms")));
            steps.push(step(start, Act::StartAll, None));
        }
        at += millis(&mut rng, LIST_INTERVAL_MS);
    }
}

/// Generates a random fault.
fn fault(rng: &mut Pcg64) -> Fault {
    match rng.random_range(0..100) {
        0..24 => {
            let index = rng.random_range(0..PROXY_COUNT);
            let (kind, mode) = mode(rng);
            let end = Act::SetProxy(index, Mode::Pass);
            (kind, Act::SetProxy(index, mode), Some(end))
        }
        24..32 => {
            let vm = rng.random_range(0..VM_COUNT);
            let peer = (vm + rng.random_range(1..VM_COUNT)) % VM_COUNT;
            if rng.random_bool(0.5) {
                return ("isolate", Act::Isolate(vm), Some(Act::Join(vm)));
            }
            ("cut-link", Act::Cut(vm, peer), Some(Act::Join(vm)))
        }
        32..36 => {
            let vm = rng.random_range(0..VM_COUNT);
            let suspend = Act::Suspend(vm, rng.random_range(SUSPEND_MS));
            ("suspend-clock", suspend, None)
        }
        36..76 => signal(rng),
        76..84 => ("change", Act::Change, None),
        84..90 => ("revoke", Act::Revoke, None),
        90..96 => {
            let index = rng.random_range(0..STAND_IN_COUNT);
            let end = Act::Return(index);
            ("withdraw-endpoint", Act::Withdraw(index), Some(end))
        }
        96..98 => ("evacuate", Act::Evacuate, Some(Act::EndEvacuation)),
        _ => ("flood", Act::Flood(rng.random_range(0..ROUTER_COUNT)), None),
    }
}

/// Generates a random fault of a proxy.
fn mode(rng: &mut Pcg64) -> (&'static str, Mode) {
    match rng.random_range(0..5) {
        0 => ("delay", Mode::Delay(millis(rng, 5..300))),
        1 => ("silence", Mode::Silence),
        2 => ("cut-up", Mode::CutUp),
        3 => ("cut-down", Mode::CutDown),
        _ => ("reset", Mode::Reset),
    }
}

/// Generates a random fault of a process.
fn signal(rng: &mut Pcg64) -> Fault {
    let way = rng.random_range(0..3);
    if rng.random_bool(0.7) {
        let vm = Target::Vm(rng.random_range(0..VM_COUNT));
        return match way {
            0 => ("pause-vm", Act::Pause(vm), Some(Act::Resume(vm))),
            1 => ("kill-vm", Act::Kill(vm), Some(Act::Start(vm))),
            _ => ("terminate-vm", Act::Terminate(vm), Some(Act::Start(vm))),
        };
    }
    let stand_in = Target::StandIn(rng.random_range(0..STAND_IN_COUNT));
    match way {
        0 => (
            "pause-stand-in",
            Act::Pause(stand_in),
            Some(Act::Resume(stand_in)),
        ),
        1 => (
            "kill-stand-in",
            Act::Kill(stand_in),
            Some(Act::Start(stand_in)),
        ),
        _ => (
            "terminate-stand-in",
            Act::Terminate(stand_in),
            Some(Act::Start(stand_in)),
        ),
    }
}
