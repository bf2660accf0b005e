//! Streams that callers take up again after all routers were killed, or at a router that stood
//! still.

#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod harness;
mod versioned;

use coordination::origin::KEPT_MS;
use harness::http::Answer;
use rstest::rstest;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use versioned::{events, Service, Setup, TOKENS};

const ROUTERS: [&str; 3] = ["r1", "r2", "r3"];
/// Setting of the time for which a stream lasts at most.
const TIMEOUT: &str = "timeout = 5s";
/// A time that is longer than that.
const AFTER_TIMEOUT: Duration = Duration::from_secs(6);
/// Time between the events of a stream, in milliseconds.
const PACE: &str = "170";
/// Time for which streams run before they are cut.
const RUN: Duration = Duration::from_millis(1200);

/// A stream that was cut, as its caller has it.
#[derive(Debug)]
struct Cut {
    /// ID of the request that began it.
    id: String,
    /// Version that wrote its events.
    version: String,
    /// Number of its last event.
    last: usize,
}

/// How streams went on, by the last answer to each.
#[derive(Debug, Default)]
struct Outcomes {
    /// At the version that began them, to their end.
    gone_on: usize,
    /// With events of another version.
    joined: usize,
    /// With neither.
    rejected: usize,
}

fn service(versions: &[&str], listed: &[&str]) -> Service {
    Service::start_with(&Setup {
        control: 1,
        routers: ROUTERS.len(),
        versions,
        listed,
        service_keys: TIMEOUT,
    })
}

/// Tries of a caller: the time between two, and in all.
fn tries(seconds: u64) -> (Duration, Duration) {
    (Duration::from_millis(500), Duration::from_secs(seconds))
}

/// Begins streams at these routers in turn, and lets them run.
fn begin(service: &Service, routers: &[&str], count: usize) -> Vec<JoinHandle<Answer>> {
    let begin = |n: usize| service.begin(routers[n % routers.len()], &n.to_string(), "", PACE);
    let streams = (0..count).map(begin).collect();
    std::thread::sleep(RUN);
    streams
}

/// Waits for the ends of streams whose routers were killed.
fn cut(streams: Vec<JoinHandle<Answer>>) -> Vec<Cut> {
    let cut = |stream: JoinHandle<Answer>| {
        let answer = stream.join().unwrap();
        let (versions, last) = events(&answer);
        assert!(!answer.complete, "{}", answer.text());
        Cut {
            id: answer.header("cowslipford-request-id").to_owned(),
            version: versions[0].clone(),
            last: last.unwrap(),
        }
    };
    streams.into_iter().map(cut).collect()
}

/// Takes streams up again at all routers, each until it is accepted or refused for good: a
/// refusal names the time of the next try.
fn take_up_as_told(service: &Service, cuts: &[Cut], time: Duration) -> Outcomes {
    let until = Instant::now() + time;
    collect(cuts, |n, cut| loop {
        let router = ROUTERS[n % ROUTERS.len()];
        let answer = service.take_up(router, &format!("again-{n}"), &cut.id, cut.last);
        let pause = match answer.status {
            // The router is starting.
            0 => Some(Duration::from_millis(100)),
            503 => answer
                .header("retry-after")
                .parse()
                .ok()
                .map(Duration::from_secs_f64),
            _ => None,
        };
        match pause {
            Some(pause) if Instant::now() + pause < until => std::thread::sleep(pause),
            _ => return answer,
        }
    })
}

/// Takes streams up again at these routers, at this interval, until each is answered 200 or the
/// time is over.
fn take_up(
    service: &Service,
    routers: &[&str],
    cuts: &[Cut],
    names_id: bool,
    (interval, time): (Duration, Duration),
) -> Outcomes {
    let until = Instant::now() + time;
    let call = |n: usize, cut: &Cut| {
        let id = names_id.then_some(&*cut.id);
        let router = routers[n % routers.len()];
        service.take_up_as(router, &format!("again-{n}"), id, cut.last)
    };
    let retry = |n: usize, cut: &Cut| loop {
        let answer = call(n, cut);
        if answer.status == 200 || Instant::now() + interval >= until {
            return answer;
        }
        std::thread::sleep(interval);
    };
    collect(cuts, retry)
}

/// Runs each stream's caller in a thread of its own, and counts how the streams went on.
fn collect<F>(cuts: &[Cut], caller: F) -> Outcomes
where
    F: Fn(usize, &Cut) -> Answer + Sync,
{
    let answers: Vec<Answer> = std::thread::scope(|scope| {
        let caller = &caller;
        let all = cuts.iter().enumerate();
        let threads: Vec<_> = all
            .map(|(n, cut)| scope.spawn(move || caller(n, cut)))
            .collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    });
    let mut outcomes = Outcomes::default();
    for (cut, answer) in cuts.iter().zip(&answers) {
        let (versions, last) = events(answer);
        let is_whole = answer.complete && last == Some(TOKENS as usize - 1);
        if versions.iter().any(|version| *version != cut.version) {
            println!(
                "joined: {cut:?}: {}",
                answer.header("cowslipford-request-id")
            );
            outcomes.joined += 1;
        } else if is_whole {
            outcomes.gone_on += 1;
        } else {
            println!("{cut:?}: {} {}", answer.status, answer.text());
            outcomes.rejected += 1;
        }
    }
    println!("{outcomes:?}");
    outcomes
}

/// Guards against streams that go on at a new version after all processes were killed while the
/// old one left.
#[rstest]
#[case::with_id(true)]
#[case::without_id(false)]
fn joins_no_versions_after_a_restart_during_which_the_old_one_left(#[case] names_id: bool) {
    let mut service = service(&["v1", "v1", "v2", "v2"], &["v1"]);
    let streams = begin(&service, &ROUTERS, 24);
    service.kill_all();
    service.list_versions(|version| version == "v2");
    let cuts = cut(streams);
    service.start_all();
    let outcomes = take_up(&service, &ROUTERS, &cuts, names_id, tries(9));
    assert_eq!(outcomes.joined, 0, "{outcomes:?}");
}

/// Guards against streams of a new version that go on at the old one, at a router that stood still
/// while the new one joined.
#[rstest]
#[case::beside_the_old_one_with_id(&["v1", "v2"], true)]
#[case::beside_the_old_one_without_id(&["v1", "v2"], false)]
#[case::alone_with_id(&["v2"], true)]
#[case::alone_without_id(&["v2"], false)]
fn joins_no_versions_at_a_router_that_stood_still_while_one_joined(
    #[case] listed: &[&str],
    #[case] names_id: bool,
) {
    check_a_router_that_stood_still(listed, names_id, Duration::ZERO);
}

/// Guards against streams of a new version that go on at the old one, at a router that stood still
/// while the new one joined, and is cut off from the list and the control VM for a second.
#[rstest]
#[case::beside_the_old_one_with_id(&["v1", "v2"], true)]
#[case::beside_the_old_one_without_id(&["v1", "v2"], false)]
#[case::alone_with_id(&["v2"], true)]
#[case::alone_without_id(&["v2"], false)]
fn joins_no_versions_at_a_router_that_stood_still_and_is_cut_off(
    #[case] listed: &[&str],
    #[case] names_id: bool,
) {
    check_a_router_that_stood_still(listed, names_id, Duration::from_secs(1));
}

/// Lists versions and begins streams while a router stands still, and checks that those of the new
/// version do not go on at another there. The router is cut off for `outage` from then on.
fn check_a_router_that_stood_still(listed: &[&str], names_id: bool, outage: Duration) {
    let mut service = service(&["v1", "v1", "v2", "v2"], &["v1"]);
    // The old version has been the only one for longer than a stream lasts.
    std::thread::sleep(AFTER_TIMEOUT);
    let scheduler = service.fleet.scheduler();
    let still = *ROUTERS.iter().rfind(|name| **name != scheduler).unwrap();
    let others: Vec<&str> = ROUTERS.into_iter().filter(|name| *name != still).collect();
    if !outage.is_zero() {
        service.fleet.cut(still, &["c1"], false);
    }
    service.fleet.vm(still).signal("-STOP");
    service.list_versions(|version| listed.contains(&version));
    std::thread::sleep(Duration::from_secs(1));
    let streams = begin(&service, &others, 24);
    for name in &others {
        service.fleet.vm_mut(name).kill();
    }
    let mut cuts = cut(streams);
    cuts.retain(|cut| cut.version == "v2");
    assert!(!cuts.is_empty(), "no stream began at the new version");
    let outcomes = std::thread::scope(|scope| {
        let service = &service;
        scope.spawn(move || {
            // Requests wait on the connections when the router goes on.
            std::thread::sleep(Duration::from_millis(200));
            if !outage.is_zero() {
                service.fail_list();
            }
            service.fleet.vm(still).signal("-CONT");
            std::thread::sleep(outage);
            service.fleet.cut(still, &[], false);
            service.list_versions(|version| listed.contains(&version));
        });
        take_up(service, &[still], &cuts, names_id, tries(4))
    });
    assert_eq!(outcomes.joined, 0, "{outcomes:?}");
}

/// Fault of the platform's list.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// It is not readable.
    Unreadable,
    /// It has no endpoints.
    Empty,
}

/// Guards against streams that are taken up while there is no list, and that go on at whatever
/// version is listed later.
#[rstest]
#[case::unreadable_with_id(Fault::Unreadable, true)]
#[case::unreadable_without_id(Fault::Unreadable, false)]
#[case::empty_with_id(Fault::Empty, true)]
#[case::empty_without_id(Fault::Empty, false)]
fn joins_no_versions_after_a_restart_without_a_list(#[case] fault: Fault, #[case] names_id: bool) {
    const OUTAGE: Duration = Duration::from_secs(3);
    let mut service = service(&["v1", "v1", "v2", "v2"], &["v1"]);
    let streams = begin(&service, &ROUTERS, 24);
    service.kill_all();
    match fault {
        Fault::Unreadable => service.fail_list(),
        Fault::Empty => service.list_versions(|_| false),
    }
    let cuts = cut(streams);
    service.start_all();
    let outcomes = std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(OUTAGE);
            service.list_versions(|version| version == "v2");
        });
        // Some tries come when a scheduler has read the list and their router has not.
        let tries = (
            Duration::from_millis(10),
            OUTAGE + Duration::from_millis(700),
        );
        take_up(&service, &ROUTERS, &cuts, names_id, tries)
    });
    assert_eq!(outcomes.joined, 0, "{outcomes:?}");
}

/// Guards against streams that nobody remembers after all processes were killed.
#[test]
fn takes_up_all_streams_after_a_restart_of_all_processes() {
    let versions = ["v1", "v1", "v2", "v2"];
    let mut service = service(&versions, &versions);
    let streams = begin(&service, &ROUTERS, 36);
    service.kill_all();
    let cuts = cut(streams);
    service.start_all();
    let outcomes = take_up_as_told(&service, &cuts, Duration::from_secs(10));
    assert_eq!(outcomes.gone_on, cuts.len(), "{outcomes:?}");
}

/// Guards against streams that do not go on although their version, which left while all processes
/// were killed, is listed again.
#[test]
fn takes_up_all_streams_once_their_version_is_listed_again() {
    let mut service = service(&["v1", "v1", "v2", "v2"], &["v1"]);
    let streams = begin(&service, &ROUTERS, 24);
    service.kill_all();
    service.list_versions(|version| version == "v2");
    let cuts = cut(streams);
    service.start_all();
    std::thread::sleep(AFTER_TIMEOUT);
    service.list_versions(|_| true);
    let outcomes = take_up(&service, &ROUTERS, &cuts, true, tries(10));
    assert_eq!(outcomes.gone_on, cuts.len(), "{outcomes:?}");
}

/// Guards against streams of a service with one version that do not go on after all processes were
/// killed, since their callers do not name them.
#[test]
fn takes_up_streams_without_id_at_the_only_version_a_service_has_had() {
    let mut service = service(&["v1", "v1"], &["v1"]);
    let streams = begin(&service, &ROUTERS, 24);
    service.kill_all();
    let cuts = cut(streams);
    service.start_all();
    let outcomes = take_up(&service, &ROUTERS, &cuts, false, tries(10));
    assert_eq!(outcomes.gone_on, cuts.len(), "{outcomes:?}");
}

/// Guards against streams that break again after they were taken up, and that then go on at another
/// version or not at all.
#[test]
fn takes_up_streams_that_break_again() {
    let versions = ["v1", "v1", "v2", "v2"];
    let mut service = service(&versions, &versions);
    // Without a scheduler the streams would wait for the next one.
    let scheduler = service.fleet.scheduler();
    let first = *ROUTERS.iter().find(|name| **name != scheduler).unwrap();
    let streams = begin(&service, &[first], 24);
    service.fleet.vm_mut(first).kill();
    let mut cuts = cut(streams);
    let again = |cut: &Cut| service.take_up_at_pace(&scheduler, &cut.id, cut.last, PACE);
    let again: Vec<JoinHandle<Answer>> = cuts.iter().map(again).collect();
    std::thread::sleep(Duration::from_millis(600));
    service.kill_all();
    let mut continued = 0;
    for (cut, again) in cuts.iter_mut().zip(again) {
        let (versions, last) = events(&again.join().unwrap());
        assert!(versions.iter().all(|v| *v == cut.version), "{versions:?}");
        continued += usize::from(last.is_some());
        cut.last = last.unwrap_or(cut.last);
    }
    println!("continued once: {continued}");
    assert!(continued > 0, "no stream went on before it broke again");
    service.start_all();
    let outcomes = take_up_as_told(&service, &cuts, Duration::from_secs(10));
    assert_eq!(outcomes.gone_on, cuts.len(), "{outcomes:?}");
}

/// Guards against streams that go on at another version since their callers come back after their
/// origins were forgotten.
#[rstest]
#[case::beside_the_new_one_with_id(&["v1", "v2"], true)]
#[case::beside_the_new_one_without_id(&["v1", "v2"], false)]
#[case::gone_with_id(&["v2"], true)]
#[case::gone_without_id(&["v2"], false)]
fn joins_no_versions_long_after_a_break(#[case] listed: &[&str], #[case] names_id: bool) {
    let mut service = service(&["v1", "v1", "v2", "v2"], &["v1"]);
    let streams = begin(&service, &ROUTERS, 24);
    for name in ROUTERS {
        service.fleet.vm_mut(name).kill();
    }
    let cuts = cut(streams);
    for name in ROUTERS {
        service.fleet.vm_mut(name).start();
    }
    service.list_versions(|version| listed.contains(&version));
    service.fleet.wait_ready();
    std::thread::sleep(Duration::from_secs(1));
    for name in ["c1", "r1", "r2", "r3"] {
        service.fleet.suspend(name, 10 * KEPT_MS);
    }
    let outcomes = take_up(&service, &ROUTERS, &cuts, names_id, tries(4));
    assert_eq!(outcomes.joined, 0, "{outcomes:?}");
}
