//! The schedule of faults: a seed gives the same faults at the same moments.

use super::proxy::Mode;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::time::Duration;

/// Control VMs; they come first among the VMs.
pub(crate) const CONTROL: usize = 3;
/// Routers, behind them.
pub(crate) const ROUTERS: usize = 3;
/// All VMs.
pub(crate) const VMS: usize = CONTROL + ROUTERS;
/// Stand-ins: two model engines, then two plain services.
pub(crate) const STAND_INS: usize = 4;
/// Stand-ins that the routers reach through a proxy: the first of each service. The
/// others are reached directly, so that a killed one refuses the connection.
pub(crate) const PROXIED: [usize; 2] = [0, 2];
/// Stand-ins in the data centre that is evacuated.
pub(crate) const EVACUATED: [usize; 2] = [1, 3];
/// Its name.
pub(crate) const EVACUATED_CENTRE: &str = "dc-2";
/// Proxies: one before each router, then one before each stand-in of `PROXIED`.
pub(crate) const PROXIES: usize = ROUTERS + PROXIED.len();

/// Milliseconds between the beginnings of two faults, or series of faults. Far less
/// than they last, so that they overlap.
const BETWEEN_MS: std::ops::Range<u64> = 50..700;
/// Milliseconds that a fault lasts.
const LENGTH_MS: std::ops::Range<u64> = 200..4000;
/// Milliseconds by which a clock moves on: less and more than a lease, an epoch and
/// the time for a revocation.
const SUSPEND_MS: std::ops::Range<u64> = 300..9000;
/// Milliseconds between the faults of a series.
const SERIES_MS: std::ops::Range<u64> = 50..900;
/// How often a fault comes as a series.
const SERIES: f64 = 0.25;
/// Most faults of a series.
const SERIES_MAX: u64 = 4;

/// A process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    Vm(usize),
    StandIn(usize),
}

/// What is done to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Act {
    /// Sets what a proxy does.
    Line(usize, Mode),
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
    /// Closes the link between two VMs and refuses others, at the first of them. Not in
    /// silence: there the hook loses messages of a link that stays up, which no network
    /// does to QUIC. Links fall silent where a process is paused.
    Cut(usize, usize),
    /// The same with all links of a VM.
    Isolate(usize),
    /// Joins all links of a VM.
    Join(usize),
    /// Moves a VM's clock on by so many milliseconds, as a suspension does.
    Suspend(usize, u64),
    /// Kills a control VM and removes its disk.
    Wipe(usize),
    /// Applies another configuration.
    Change,
    /// The same, with another key for the customer whose keys are revoked.
    Revoke,
    /// Announces that an endpoint stops.
    Withdraw(usize),
    /// Takes that back.
    Return(usize),
    /// Evacuates the data centre of the second stand-in of each service.
    Evacuate,
    /// Ends that.
    UseAgain,
    /// One customer sends many times its usual through a router.
    Flood(usize),
}

/// An act and its moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) at: Duration,
    pub(crate) act: Act,
    /// Name under which faults are counted; none for what ends a fault.
    pub(crate) kind: Option<&'static str>,
}

/// A kind of fault, how it begins, and what ends it.
type Fault = (&'static str, Act, Option<Act>);

/// Makes the schedule of a seed. What is still on at its end is ended by the runner.
pub(crate) fn schedule(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let (kind, begin, end) = fault(&mut rng);
        let mut moment = at;
        let is_series = rng.random_bool(SERIES);
        let most = if is_series { SERIES_MAX } else { 1 };
        for _ in 0..rng.random_range(1..=most) {
            let lasts = millis(&mut rng, LENGTH_MS);
            steps.push(step(moment, begin, Some(kind)));
            steps.extend(end.map(|end| step(moment + lasts, end, None)));
            moment += millis(&mut rng, SERIES_MS);
        }
        at += millis(&mut rng, BETWEEN_MS);
    }
    wipe(&mut rng, &mut steps, length);
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

/// Adds the loss of one disk. More would be a majority of the disks, if the repair of
/// the first had not ended, and to lose that is to lose what was accepted.
fn wipe(rng: &mut Pcg64, steps: &mut Vec<Step>, length: Duration) {
    let place = rng.random_range(0..CONTROL);
    let at = length.mul_f64(rng.random_range(0.1..0.9));
    let back = at + millis(rng, LENGTH_MS);
    steps.push(step(at, Act::Wipe(place), Some("wipe-disk")));
    steps.push(step(back, Act::Start(Target::Vm(place)), None));
}

fn fault(rng: &mut Pcg64) -> Fault {
    match rng.random_range(0..100) {
        0..24 => {
            let place = rng.random_range(0..PROXIES);
            let (kind, mode) = mode(rng);
            let end = Act::Line(place, Mode::Pass);
            (kind, Act::Line(place, mode), Some(end))
        }
        24..32 => {
            let vm = rng.random_range(0..VMS);
            let peer = (vm + rng.random_range(1..VMS)) % VMS;
            if rng.random_bool(0.5) {
                return ("isolate", Act::Isolate(vm), Some(Act::Join(vm)));
            }
            ("cut-link", Act::Cut(vm, peer), Some(Act::Join(vm)))
        }
        32..36 => {
            let vm = rng.random_range(0..VMS);
            let suspend = Act::Suspend(vm, rng.random_range(SUSPEND_MS));
            ("suspend-clock", suspend, None)
        }
        36..76 => signal(rng),
        76..84 => ("change", Act::Change, None),
        84..90 => ("revoke", Act::Revoke, None),
        90..96 => {
            let place = rng.random_range(0..STAND_INS);
            let end = Act::Return(place);
            ("withdraw-endpoint", Act::Withdraw(place), Some(end))
        }
        96..98 => ("evacuate", Act::Evacuate, Some(Act::UseAgain)),
        _ => ("flood", Act::Flood(rng.random_range(0..ROUTERS)), None),
    }
}

fn mode(rng: &mut Pcg64) -> (&'static str, Mode) {
    match rng.random_range(0..5) {
        0 => ("delay", Mode::Delay(millis(rng, 5..300))),
        1 => ("silence", Mode::Silence),
        2 => ("cut-up", Mode::CutUp),
        3 => ("cut-down", Mode::CutDown),
        _ => ("reset", Mode::Reset),
    }
}

fn signal(rng: &mut Pcg64) -> Fault {
    let way = rng.random_range(0..3);
    if rng.random_bool(0.7) {
        let vm = Target::Vm(rng.random_range(0..VMS));
        return match way {
            0 => ("pause-vm", Act::Pause(vm), Some(Act::Resume(vm))),
            1 => ("kill-vm", Act::Kill(vm), Some(Act::Start(vm))),
            _ => ("terminate-vm", Act::Terminate(vm), Some(Act::Start(vm))),
        };
    }
    let one = Target::StandIn(rng.random_range(0..STAND_INS));
    match way {
        0 => ("pause-stand-in", Act::Pause(one), Some(Act::Resume(one))),
        1 => ("kill-stand-in", Act::Kill(one), Some(Act::Start(one))),
        _ => (
            "terminate-stand-in",
            Act::Terminate(one),
            Some(Act::Start(one)),
        ),
    }
}
