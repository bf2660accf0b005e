//! Processes keep the latest 256 changes, however long these are, and run out of memory.

use crate::behind::config;
use crate::fleet::{attempt_id, now_ms, note, sleep_ms, Fleet, Machine, Result, ROUTER_MEMORY_MB};
use crate::http::{request, response, Channel};
use std::collections::BTreeSet;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Routes: eight, and then as many more as the largest `big_config` of the users' sites adds.
const ROUTES: [usize; 2] = [8, 1744];
/// Changes of the config after that.
const CHANGES: u64 = 256;
/// Delay after which the platform starts a process again.
const RESTART_MS: u64 = 500;
/// When no more changes are sent.
const LAST_CHANGE_MS: u64 = 85_000;
/// Clients of each router.
const CLIENTS: usize = 12;
/// Time that a request runs at its replica.
const WORK_MS: u64 = 150;

/// Does what the platform does: ends a process that uses more than its memory, and starts it again.
fn look_after(fleet: &mut Fleet, ends: &mut Vec<String>, restarts: &mut Vec<(u64, String)>) -> Result<()> {
    let program = fleet.program.clone();
    let each = |machine: &mut Machine, ends: &mut Vec<String>, restarts: &mut Vec<(u64, String)>| {
        if let Some(at) = restarts.iter().position(|(at, name)| *name == machine.name && *at <= now_ms()) {
            restarts.remove(at);
            return machine.start(&program);
        }
        let (used, most) = (machine.memory_mb(), machine.memory_max_mb());
        if used > most {
            note(&format!("{} uses {used} MB of {most} MB: the platform kills it", machine.name));
            machine.end();
            ends.push(machine.name.clone());
            restarts.push((now_ms() + RESTART_MS, machine.name.clone()));
        }
        Ok(())
    };
    for machine in fleet.control.iter_mut().chain(&mut fleet.routers) {
        each(machine, ends, restarts)?;
    }
    Ok(())
}

/// Sends bookings one after the other on a kept channel to a router, until `stop`. Records those
/// whose channel ended without an answer.
fn client(
    fleet: &Fleet,
    router: usize,
    stop: Arc<AtomicBool>,
    unanswered: Arc<Mutex<Vec<String>>>,
) -> std::thread::JoinHandle<u64> {
    let (address, name) = (fleet.routers[router].address(), fleet.routers[router].name.clone());
    std::thread::spawn(move || {
        let mut channel = None;
        let mut answered = 0;
        while !stop.load(Ordering::Relaxed) {
            let is_kept = channel.is_some();
            let open = channel.take().map(Ok);
            let open = open.unwrap_or_else(|| Channel::open(address, Duration::from_secs(1)));
            let Ok(mut open) = open else {
                sleep_ms(100);
                continue;
            };
            let attempt = attempt_id();
            let headers = [
                ("Host", "gym-0007.booking.member-companies.faellesbook.example"),
                ("Attempt-Id", attempt.as_str()),
                ("Deadline-Ms", "2500"),
            ];
            let target = "/v1/gyms/0007/trainer-availability/2f";
            let bytes = request("POST", target, &headers, b"slot 7");
            match open.call(&bytes, Duration::from_millis(2500)) {
                Ok(answer) => {
                    answered += u64::from(answer.status() == 200);
                    if answer.status() != 200 {
                        note(&format!("client: {attempt} at {name}: {}", answer.status()));
                        sleep_ms(100);
                    }
                    let closes = answer.header("connection").is_some_and(|v| v == "close");
                    channel = (!closes).then_some(open);
                }
                Err(error) => {
                    let kept = if is_kept { "kept" } else { "new" };
                    note(&format!("client: {attempt} at {name}: the {kept} channel ended: {error}"));
                    if is_kept {
                        unanswered.lock().unwrap().push(attempt);
                    }
                }
            }
        }
        answered
    })
}

pub fn run(repository: &Path, has_trouble: bool) -> Result<bool> {
    // As the installation has it whose `big_config` this is.
    ROUTER_MEMORY_MB.store(160, Ordering::Relaxed);
    let mut fleet = Fleet::new(repository)?;
    for _ in 0..3 {
        let replica = fleet.add_replica("booking-blue")?;
        *replica.behaviour.lock().unwrap() = Some(Arc::new(|replica, request, output| {
            replica.runs.lock().unwrap().push(replica.run_of(request));
            sleep_ms(WORK_MS);
            let attempt = request.header("attempt-id").unwrap_or("");
            let signature = format!("{}.{attempt}", replica.instance);
            let headers = [("Attempt-Id", attempt), ("Response-Signature", signature.as_str())];
            output.write_all(&response("200 OK", &headers, b"booked"))?;
            Ok(true)
        }));
    }
    fleet.start(3)?;
    let mut version = 10;
    for count in ROUTES {
        version += 3;
        fleet.put(version, &config(version, count, "unsafe", "booking-blue", 2000))?;
    }
    let count = ROUTES[ROUTES.len() - 1];
    for machine in fleet.control.iter().chain(&fleet.routers) {
        machine.mark_started()?;
    }
    fleet.wait_ready()?;
    let stop = Arc::new(AtomicBool::new(false));
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..3 * CLIENTS)
        .map(|n| client(&fleet, n % 3, stop.clone(), unanswered.clone()))
        .collect();
    sleep_ms(4000);

    let (mut ends, mut restarts) = (Vec::new(), Vec::new());
    let mut acknowledged = 0;
    for n in 0..CHANGES {
        if now_ms() > LAST_CHANGE_MS {
            break;
        }
        version += 3;
        if !has_trouble {
            sleep_ms(100);
            look_after(&mut fleet, &mut ends, &mut restarts)?;
            continue;
        }
        let text = config(version, count, "unsafe", "booking-blue", 2001 + n);
        for control in (0..3).cycle() {
            let status = fleet.put_once(control, &text, Duration::from_millis(2500));
            look_after(&mut fleet, &mut ends, &mut restarts)?;
            if status != 200 || n % 20 == 0 {
                note(&format!("operator: config {version} ({} bytes): {status}", text.len()));
            }
            if status == 200 {
                acknowledged += 1;
                break;
            }
            if now_ms() > LAST_CHANGE_MS {
                break;
            }
            sleep_ms(100);
        }
        if n % 20 == 0 {
            let all = fleet.control.iter().chain(&fleet.routers);
            let text: Vec<String> = all.map(|m| format!("{} {}", m.name, m.memory_mb())).collect();
            note(&format!("memory, in MB: {}", text.join(", ")));
        }
    }
    for _ in 0..40 {
        look_after(&mut fleet, &mut ends, &mut restarts)?;
        sleep_ms(100);
    }
    stop.store(true, Ordering::Relaxed);
    let answered: u64 = clients.into_iter().filter_map(|c| c.join().ok()).sum();

    let ran: BTreeSet<String> =
        fleet.runs.lock().unwrap().iter().map(|run| run.attempt.clone()).collect();
    let unanswered = unanswered.lock().unwrap();
    let lost = unanswered.iter().filter(|attempt| ran.contains(*attempt)).count();
    note(&format!("changes acknowledged: {acknowledged}; requests answered with 200: {answered}"));
    note(&format!("processes that ended by themselves: {}", ends.join(", ")));
    note(&format!("requests on kept channels that ran and got no answer: {lost}"));
    Ok(lost > 3)
}
