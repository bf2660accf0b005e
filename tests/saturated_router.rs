//! A router on a fraction of a core, to which several times as many callers come as it can serve.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;

use harness::{eventually, http, Fleet, Plan, SetOnDrop, OPERATOR_KEY};
use rustix::process::{kill_process, Pid, Signal};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Processor time that the router may use, in thousandths of a core: that of the deployments of
/// docs/HARD-LOAD.md.
const QUOTA_PERMILLE: i64 = 120;
/// Largest processor time that it can save up, in microseconds: what it may use in 10 ms.
const SAVED_MAX_US: i64 = 1200;
/// Time between two checks of its processor time.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Threads that open connections.
const THREADS: usize = 4;
/// Rounds, between which the two routers exchange their settings. On a busy machine the processor
/// time of a request differs by a third between two processes, and the served requests of four
/// rounds by a tenth. The number is fixed: a test that ends once it passes would hide a fall.
const ROUNDS: usize = 8;
/// Time for which the load lasts in a round.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Attempts for each request that the router can serve.
const EXCESS_FACTOR: u64 = 3;
/// Time that a caller allows for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a response; a router that neither answers nor closes fails the test.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Processor time of all threads of a process, in microseconds.
fn processor_us(pid: u32) -> u64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    let ns = tasks.map(|task| {
        // A thread may have ended.
        let text = std::fs::read_to_string(task.unwrap().path().join("schedstat"));
        let text = text.unwrap_or_default();
        let ns = text.split(' ').next().unwrap_or_default();
        ns.parse::<u64>().unwrap_or(0)
    });
    ns.sum::<u64>() / 1000
}

/// Stops a process whenever it has used up its quota, until the flag is set.
///
/// A quota by processor time gives the router the same on a busy machine as on an idle one.
fn throttle(pid: u32, is_done: &AtomicBool) {
    let process = Pid::from_raw(i32::try_from(pid).unwrap()).unwrap();
    let (mut checked_at, mut used_us) = (Instant::now(), processor_us(pid));
    let mut saved_us = 0;
    while !is_done.load(Ordering::Relaxed) {
        std::thread::sleep(CHECK_INTERVAL);
        let elapsed_us = i64::try_from(checked_at.elapsed().as_micros()).unwrap();
        checked_at = Instant::now();
        let used_before_us = std::mem::replace(&mut used_us, processor_us(pid));
        let used_now_us = i64::try_from(used_us.saturating_sub(used_before_us)).unwrap();
        saved_us += elapsed_us * QUOTA_PERMILLE / 1000 - used_now_us;
        saved_us = saved_us.min(SAVED_MAX_US);
        let signal = match saved_us > 0 {
            true => Signal::CONT,
            false => Signal::STOP,
        };
        kill_process(process, signal).unwrap();
    }
    kill_process(process, Signal::CONT).unwrap();
}

/// How an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Served,
    /// Refused by the router for this reason; whether with `Retry-After`.
    Refused(String, bool),
    /// Another response: its status and body.
    Failed(u16, String),
    /// Closed or reset without a whole response.
    Closed,
    /// No connection within a second.
    Unconnected,
}

/// Sends a request on a connection of its own.
async fn attempt(address: SocketAddr, label: &str) -> End {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(mut stream)) = connected else {
        return End::Unconnected;
    };
    let request = format!(
        "POST /booking HTTP/1.1\r\nhost: a\r\nconnection: close\r\nstand-in-id: {label}\r\n\
         authorization: Bearer alpha\r\ncontent-length: 3\r\n\r\nxyz"
    );
    let mut answer = Vec::new();
    let exchange = async {
        stream.write_all(request.as_bytes()).await?;
        stream.read_to_end(&mut answer).await
    };
    let ended = tokio::time::timeout(READ_TIMEOUT, exchange).await.unwrap();
    let answer = String::from_utf8(answer).unwrap();
    match (ended, answer.split_once("\r\n\r\n")) {
        (Ok(_), Some((head, body))) => {
            let status: u16 = head.split(' ').nth(1).unwrap().parse().unwrap();
            let head = head.to_ascii_lowercase();
            let is_not_run = head.contains("\r\ncowslipford-outcome: not-run");
            match (status, is_not_run) {
                (200, false) => End::Served,
                (_, true) => {
                    // The body may come in chunks.
                    let code = body.split(r#""error":""#).nth(1).unwrap();
                    let code = code.split('"').next().unwrap();
                    End::Refused(code.to_owned(), head.contains("\r\nretry-after: "))
                }
                _ => End::Failed(status, body.to_owned()),
            }
        }
        _ => End::Closed,
    }
}

/// Ends of the attempts by their labels.
type Ends = BTreeMap<String, End>;

/// Opens connections to each router at a rate, whatever becomes of those before, and waits for their ends.
fn load(routers: [SocketAddr; 2], round: usize, per_s: u64) -> [Ends; 2] {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let began = Instant::now();
        let mut attempts = Vec::new();
        let mut interval = tokio::time::interval(Duration::from_millis(1));
        while began.elapsed() < LOAD_TIME {
            interval.tick().await;
            let due = u64::try_from(began.elapsed().as_micros()).unwrap() * per_s / 1_000_000;
            while attempts.len() < 2 * usize::try_from(due).unwrap() {
                let number = attempts.len();
                let router = number % 2;
                attempts.push(tokio::spawn(async move {
                    let label = format!("{round}-{number}");
                    let end = attempt(routers[router], &label).await;
                    (router, label, end)
                }));
            }
        }
        let mut ends = [Ends::new(), Ends::new()];
        for attempt in attempts {
            let (router, label, end) = attempt.await.unwrap();
            ends[router].insert(label, end);
        }
        ends
    })
}

/// Requests per second that a router serves to a few callers, each of which waits for its answer.
fn capacity(address: SocketAddr) -> u64 {
    let served = AtomicU64::new(0);
    let began = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..2 * THREADS {
            scope.spawn(|| {
                while began.elapsed() < Duration::from_secs(2) {
                    let answer = http::get(address, "/booking", "alpha");
                    served.fetch_add(u64::from(answer.status == 200), Ordering::Relaxed);
                }
            });
        }
    });
    served.into_inner() / 2
}

fn count(ends: &Ends, is: fn(&End) -> bool) -> usize {
    ends.values().filter(|end| is(end)).count()
}

/// Number of attempts by their ends.
fn summary(ends: &Ends) -> BTreeMap<&End, usize> {
    let mut summary = BTreeMap::new();
    for end in ends.values() {
        *summary.entry(end).or_default() += 1;
    }
    summary
}

/// Restarts a router with a value of the setting `answer-excess`.
fn set_answer_excess(fleet: &mut Fleet, name: &str, value: &str) {
    let settings = fleet.vm(name).settings.clone();
    let text = std::fs::read_to_string(&settings).unwrap();
    let lines = text.lines().map(|line| match line.split_once(" = ") {
        Some(("answer-excess", _)) => format!("answer-excess = {value}\n"),
        _ => format!("{line}\n"),
    });
    std::fs::write(&settings, lines.collect::<String>()).unwrap();
    fleet.vm_mut(name).kill();
    fleet.vm_mut(name).start();
    eventually("a restarted router serves requests", || {
        http::get(fleet.callers(name), "/booking", "alpha").status == 200
    });
}

/// Probes after which refusals had used up their part of the processor time for 200 ms.
fn exhausted_refusals(fleet: &Fleet, name: &str) -> u64 {
    let answer = http::get(fleet.vm(name).operators, "/metrics", OPERATOR_KEY);
    let text = answer.text();
    let mut values = text.lines().filter_map(|line| {
        let value = line.strip_prefix("cowslipford_refusals_exhausted_total ")?;
        value.parse().ok()
    });
    values.next().unwrap()
}

/// Guards against a saturated router that closes connections unread although refusals have not
/// taken their part of the processor, that refuses without `Retry-After`, that serves fewer since
/// it refuses, or that runs what it refuses.
#[test]
fn a_saturated_router_refuses_with_a_response_and_serves_as_many() {
    // The first router schedules; the others have the same load, at the same time.
    let mut fleet = Fleet::start(Plan {
        control: 1,
        routers: 3,
        schedulers: 1,
        models: 1,
        batch: 64,
        settings: "[router]\nanswer-excess = no\n".to_owned(),
        ..Plan::default()
    });
    let (mut before, mut after) = (Ends::new(), Ends::new());
    let (mut per_s, mut exhausted) = (0, 0);
    let served = |ends: &Ends| count(ends, |end| *end == End::Served);
    for round in 0..ROUNDS {
        // The router that closes connections unread comes first.
        let names = match round % 2 {
            0 => ["r2", "r3"],
            _ => ["r3", "r2"],
        };
        for (name, answers) in names.into_iter().zip(["no", "yes"]) {
            set_answer_excess(&mut fleet, name, answers);
        }
        let routers = names.map(|name| fleet.callers(name));
        let is_done = AtomicBool::new(false);
        let ends = std::thread::scope(|scope| {
            let _done = SetOnDrop(&is_done);
            for name in names {
                let pid = fleet.vm(name).pid();
                let is_done = &is_done;
                scope.spawn(move || throttle(pid, is_done));
            }
            if round == 0 {
                per_s = routers.map(capacity).into_iter().max().unwrap() * EXCESS_FACTOR;
                println!("{per_s} attempts a second at each router");
            }
            load(routers, round, per_s)
        });
        let [of_first, of_second] = ends;
        before.extend(of_first);
        after.extend(of_second);
        exhausted += exhausted_refusals(&fleet, names[1]);
    }
    for (answers, ends) in [("no", &before), ("yes", &after)] {
        println!("answer-excess = {answers}: {:?}", summary(ends));
    }
    println!("refusals had used up their part at {exhausted} probes");
    let (before, after) = (&before, &after);
    assert!(served(after) * 4 >= served(before) * 3);
    let is_saturated = before.len() * 2 >= served(before) * 3;
    assert!(is_saturated, "nearly all attempts were served");
    let closed = count(after, |end| *end == End::Closed);
    // The machine may withhold the processor from the router for longer than its quota does.
    assert!(closed == 0 || exhausted > 0, "{closed}");
    assert!(closed * 50 < after.len(), "{closed} of {}", after.len());
    assert_eq!(count(after, |end| matches!(end, End::Refused(_, false))), 0);
    let refused = after.iter();
    let refused = refused.filter(|(_, end)| matches!(end, End::Refused(..)));
    let refused: BTreeSet<String> = refused.map(|(label, _)| label.clone()).collect();
    let ran = fleet.stand_ins.iter().flat_map(|s| s.recorded_labels());
    assert_eq!(ran.filter(|label| refused.contains(label)).count(), 0);
}
