//! The smaller decisions, one by one.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use coordination::health::{Change, Health, EJECT_FAILURES, EJECT_MIN_MS};
use coordination::ledger::{virtual_cost, Ledger};
use coordination::limit::Bucket;
use coordination::messages::{Ask, Class, Held, Hello, Seq, Served, Usage, Verdict};
use coordination::platform::{Change as ListChange, Entry, State, Watch};
use coordination::prompt::Prompt;
use coordination::retry::{decide, Action, Bounds, Budget, Failure, Reach};
use coordination::rule::{first_match, is_idempotent, shadowed, Request};
use coordination::scheduler::{Effect, Effects, Scheduler, Session, GATHER_MS, ORPHAN_MS};
use coordination::slot::{Criteria, Reservations, Slots};
use coordination::tree::{Attachment, Confirmation, Tree};
use rstest::rstest;
use state::clock::Millis;
use state::config::{Cost, Endpoint, Rule, Service, Then, When};
use state::id::{CustomerId, EndpointId, Epoch, Name, Version};
use state::route::Routes;
use state::view::{Node, View};

const A: CustomerId = CustomerId(1);
const B: CustomerId = CustomerId(2);

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

#[test]
fn can_start_from_idleness_without_credit_or_debt() {
    let mut ledger = Ledger::default();
    ledger.open(0);
    ledger.set_backlogged(A, true);
    ledger.settle(A, 0, 5000);
    ledger.set_backlogged(B, true);
    assert_eq!(ledger.level(B), 5000);
    ledger.set_backlogged(B, false);
    ledger.settle(A, 0, 1000);
    ledger.set_backlogged(B, true);
    assert_eq!(ledger.level(B), 6000);
}

#[test]
fn can_start_without_waiting_for_estimates_that_are_taken_back() {
    // Symptom: a small customer waits for a dozen requests of a large one.
    // Sequence: the large one has requests in progress, charged far more than
    // they will cost; the small one returns from idleness; they end.
    // Cause: it started at the level with the estimates, which then fell.
    let mut ledger = Ledger::default();
    ledger.open(0);
    ledger.set_backlogged(A, true);
    for _ in 0..3 {
        ledger.charge(A, 100_000);
    }
    ledger.set_backlogged(B, true);
    for _ in 0..3 {
        ledger.settle(A, 100_000, 20_000);
    }
    assert!(ledger.level(B) < ledger.level(A));
}

#[test]
fn can_remember_twice_without_counting_twice() {
    let mut ledger = Ledger::default();
    ledger.restore(A, 700);
    ledger.restore(A, 700);
    ledger.restore(A, 300);
    assert_eq!(ledger.settled(A), 700);
}

#[test]
fn can_weigh_service() {
    assert_eq!(virtual_cost(10, 1), 2 * virtual_cost(10, 2));
    assert_eq!(virtual_cost(10, 0), virtual_cost(10, 1));
}

#[test]
fn can_hold_a_rate() {
    let mut bucket = Bucket::new(10, Millis(0));
    let mut started = 0;
    for ms in 0..=3000 {
        while bucket.has_token(Millis(ms)) {
            bucket.take(Millis(ms));
            started += 1;
        }
    }
    // One second's worth may be saved up.
    assert_eq!(started, 10 + 30);
}

const BOUNDS: Bounds = Bounds {
    per_mille: 100,
    extra: 10,
    window_ms: 10_000,
};

fn budget() -> Budget {
    Budget::new(BOUNDS, Millis(0))
}

/// A budget from which a retry can be taken.
fn earned() -> Budget {
    let mut budget = budget();
    budget.earn(Millis(0), 1);
    budget
}

#[test]
fn can_keep_the_retries_of_all_routers_within_any_window() {
    // Symptom: the endpoints of a service get more repeats than the operators
    // allow, though no router adds more than its share.
    // Sequence: everything fails at six routers for a minute.
    // Cause: a budget that each router has whole, or that fills up between two
    // windows and is spent in both.
    let routers = 6;
    let mut budgets: Vec<Budget> = (0..routers).map(|_| budget()).collect();
    let mut retries: Vec<u64> = Vec::new();
    let mut requests: Vec<u64> = Vec::new();
    for ms in (0..60_000).step_by(10) {
        let budget = &mut budgets[usize::try_from(ms / 10 % routers).unwrap()];
        budget.earn(Millis(ms), u32::try_from(routers).unwrap());
        requests.push(ms);
        while budget.take() {
            retries.push(ms);
        }
    }
    let within = |all: &[u64], from: u64| {
        let inside = all
            .iter()
            .filter(|at| (from..from + BOUNDS.window_ms).contains(*at));
        inside.count() as u64
    };
    for from in (0..50_000).step_by(100) {
        let allowed = BOUNDS.extra + within(&requests, from) * BOUNDS.per_mille / 1000;
        let added = within(&retries, from);
        assert!(added <= allowed, "{added} of {allowed} from {from} ms on");
    }
    assert!(retries.len() > 100, "{}", retries.len());
}

#[test]
fn can_keep_an_outage_from_feeding_itself() {
    let mut budget = budget();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.earn(Millis(0), 1);
        while budget.take() {
            retries += 1;
        }
    }
    assert!(retries <= 10 + 100, "{retries}");
}

#[rstest]
#[case::nothing_sent(Reach::Nothing, false, 0, Action::Retry)]
#[case::nothing_sent_no_retries(Reach::Nothing, false, 2, Action::NotRun)]
#[case::sent_once(Reach::Sent, false, 0, Action::Unknown)]
#[case::sent_idempotent(Reach::Sent, true, 0, Action::Retry)]
#[case::sent_too_often(Reach::Sent, true, 2, Action::Unknown)]
#[case::earlier_try_was_sent(Reach::Nothing, true, 2, Action::Unknown)]
#[case::answer_has_begun(Reach::Answering, true, 0, Action::Unknown)]
fn can_decide_what_follows_a_failed_try(
    #[case] reach: Reach,
    #[case] idempotent: bool,
    #[case] retries: u32,
    #[case] next: Action,
) {
    let attempt = Failure {
        reach,
        idempotent,
        retries,
        retries_max: 2,
        deadline: Millis(100),
    };
    assert_eq!(decide(attempt, Millis(0), &mut earned()), next);
}

#[test]
fn can_give_up_at_once_past_the_deadline() {
    let attempt = Failure {
        reach: Reach::Nothing,
        idempotent: true,
        retries: 0,
        retries_max: 2,
        deadline: Millis(100),
    };
    assert_eq!(decide(attempt, Millis(100), &mut earned()), Action::NotRun);
}

#[test]
fn can_eject_an_endpoint_and_probe_it_with_one_request() {
    let mut health = Health::default();
    for _ in 1..EJECT_FAILURES {
        assert_eq!(health.record_failure(Millis(0)), Change::None);
    }
    assert_eq!(health.record_failure(Millis(0)), Change::Ejected);
    assert_eq!(health.capacity(Millis(EJECT_MIN_MS - 1), 8), 0);
    assert_eq!(health.capacity(Millis(EJECT_MIN_MS), 8), 1);
    assert_eq!(health.record_failure(Millis(EJECT_MIN_MS)), Change::Ejected);
    assert_eq!(health.capacity(Millis(EJECT_MIN_MS * 2), 8), 0);
    assert_eq!(health.record_success(), Change::Restored);
    assert_eq!(health.capacity(Millis(EJECT_MIN_MS * 2), 8), 8);
}

#[test]
fn can_read_a_late_load_report_against_what_was_ours_then() {
    // Symptom: slots stand empty though nobody else uses the endpoint.
    // Sequence: four requests run and end; a report of a second ago says four.
    // Cause: a late report that is set against what runs now.
    let criteria = Criteria {
        session: None,
        prompt: Prompt::default(),
        avoid: None,
        aim_ms: 600,
        slack_ms: 0,
        only_in_time: false,
    };
    let id = EndpointId(1);
    let mut slots = Slots::default();
    slots.set(id, 4, 0, false);
    for _ in 0..4 {
        let taken = slots.choose(Millis(0), criteria, &mut Reservations::default());
        assert_eq!(taken, Some(id));
        slots.acquire(Millis(0), id, criteria.prompt);
    }
    for _ in 0..4 {
        slots.release(Millis(900), id, Some(Verdict::Fine));
    }
    slots.report_load(Millis(1000), id, 4);
    assert!(slots.has_free_slot(Millis(1000)));
    // Beyond ours, it is someone else's work.
    slots.report_load(Millis(1000), id, 8);
    assert!(!slots.has_free_slot(Millis(1000)));
}

#[test]
fn can_prefer_an_endpoint_that_has_seen_the_prefix_while_loads_are_near() {
    let criteria = |prefix| Criteria {
        session: None,
        prompt: Prompt::from_prefix_key(prefix),
        avoid: None,
        aim_ms: 600,
        slack_ms: 0,
        only_in_time: false,
    };
    let take = |slots: &mut Slots, prefix| {
        let criteria = criteria(prefix);
        let id = slots.choose(Millis(0), criteria, &mut Reservations::default())?;
        slots.acquire(Millis(0), id, criteria.prompt);
        Some(id)
    };
    let mut slots = Slots::default();
    slots.set(EndpointId(1), 8, 0, false);
    slots.set(EndpointId(2), 8, 0, false);
    let first = take(&mut slots, 77).unwrap();
    assert_eq!(take(&mut slots, 77), Some(first));
    // Two fuller than the other one, it is passed over.
    assert_ne!(take(&mut slots, 77), Some(first));
}

fn rule(text: &str, when: When) -> Rule {
    Rule {
        name: name(text),
        when,
        then: Then::Refuse {
            reason: text.to_owned(),
        },
    }
}

#[test]
fn can_let_the_first_matching_rule_decide() {
    let path = |p: &str| When {
        path: Some(p.to_owned()),
        ..When::default()
    };
    let rules = [
        rule("long", path("/a/b")),
        rule("short", path("/a")),
        rule("never", path("/a/c")),
        rule(
            "large",
            When {
                size_min: Some(10),
                ..When::default()
            },
        ),
    ];
    let customer = name("alpha");
    let data_centre = name("dc");
    let decided = |path: &str, size| {
        let request = Request {
            customer: Some(&customer),
            service: None,
            method: "GET",
            host: None,
            path,
            headers: &[],
            data_centre: &data_centre,
            size,
        };
        first_match(&rules, &Routes::from(&rules[..]), &request).map(|(place, _)| place)
    };
    assert_eq!(decided("/a/b/c", 0), Some(0));
    assert_eq!(decided("/a/c", 0), Some(1));
    assert_eq!(decided("/z", 10), Some(3));
    assert_eq!(decided("/z", 9), None);
    assert_eq!(shadowed(&rules), [(1, 2)]);
}

#[rstest]
#[case(None, false, "GET", true)]
#[case(None, false, "POST", false)]
#[case(None, true, "POST", true)]
#[case(Some(false), true, "GET", false)]
#[case(Some(true), false, "POST", true)]
fn can_tell_what_may_run_twice(
    #[case] rule: Option<bool>,
    #[case] service: bool,
    #[case] method: &str,
    #[case] twice: bool,
) {
    let service = Service {
        name: name("s"),
        cost: Cost::Request,
        estimate: 1,
        timeout_ms: 1,
        idempotent: service,
        load: None,
        connections: None,
        engine: None,
        cold: None,
    };
    assert_eq!(is_idempotent(rule, &service, method), twice);
}

fn ask(seq: u64, customer: CustomerId, concurrency: u32, rate: u32) -> Ask {
    Ask {
        seq: Seq(seq),
        class: Class { customer, rule: 0 },
        weight: 1,
        rate,
        concurrency,
        hint: 10,
        priority: 0,
        aim_ms: u32::MAX,
        prompt: Prompt::default(),
        avoid: None,
        remote: false,
    }
}

fn granted(effects: &Effects) -> Vec<u64> {
    let each = effects.iter().filter_map(|e| match e {
        Effect::Grant(_, grant) => Some(grant.seq.0),
        _ => None,
    });
    each.collect()
}

fn scheduler(slots: u32) -> (Scheduler, Session) {
    let mut scheduler = Scheduler::new(Epoch(1), Millis(0));
    scheduler.slots().set(EndpointId(1), slots, 0, false);
    let session = scheduler.open_session(Millis(0), None, &Hello::default());
    (scheduler, session)
}

#[test]
fn can_hold_a_concurrency_limit_over_all_routers() {
    let (mut scheduler, first) = scheduler(8);
    let second = scheduler.open_session(Millis(0), None, &Hello::default());
    let now = Millis(GATHER_MS);
    assert_eq!(granted(&scheduler.ask(now, first, ask(1, A, 2, 0))), [1]);
    assert_eq!(granted(&scheduler.ask(now, second, ask(2, A, 2, 0))), [2]);
    assert!(granted(&scheduler.ask(now, second, ask(3, A, 2, 0))).is_empty());
    // Another customer is not held up by it.
    assert_eq!(granted(&scheduler.ask(now, second, ask(4, B, 0, 0))), [4]);
    let done = scheduler.done(now, first, Seq(1), 10, Verdict::Fine);
    assert_eq!(granted(&done), [3]);
}

#[test]
fn can_hold_a_rate_limit_over_all_routers() {
    let (mut scheduler, session) = scheduler(100);
    let now = Millis(GATHER_MS);
    let mut started = 0;
    for seq in 0..20 {
        started += granted(&scheduler.ask(now, session, ask(seq, A, 0, 5))).len();
    }
    assert_eq!(started, 5);
    let later = now.after(1000);
    assert_eq!(granted(&scheduler.tick(later)).len(), 5);
}

#[test]
fn can_gather_before_granting() {
    // Symptom: endpoints are over their slots right after a change of scheduler.
    // Sequence: a router with a waiting request is told first; another one's
    // requests fill all slots.
    // Cause: grants before all routers have told what they hold.
    let mut scheduler = Scheduler::new(Epoch(2), Millis(0));
    scheduler.slots().set(EndpointId(1), 1, 0, false);
    let first = scheduler.open_session(Millis(1), None, &Hello::default());
    assert!(scheduler.ask(Millis(1), first, ask(1, A, 0, 0)).is_empty());
    let held = Held {
        seq: Seq(5),
        class: Class {
            customer: B,
            rule: 0,
        },
        weight: 1,
        endpoint: EndpointId(1),
        cost: 3,
    };
    let holding = Hello {
        held: vec![held],
        ..Hello::default()
    };
    let second = scheduler.open_session(Millis(50), None, &holding);
    assert!(scheduler.tick(Millis(GATHER_MS)).is_empty());
    let done = scheduler.done(Millis(GATHER_MS), second, Seq(5), 10, Verdict::Fine);
    assert_eq!(granted(&done), [1]);
}

#[test]
fn can_keep_what_a_customer_is_owed_through_a_change_of_scheduler() {
    // Symptom: a customer that is behind by right is set equal to the others.
    // Sequence: a new scheduler hears first of the customer that is ahead.
    // Cause: the one that comes later is lifted to whoever came first.
    let known = |customer, level, spent| Usage {
        customer,
        level,
        spent,
    };
    let remembering = |known, floor| Hello {
        usage: vec![known],
        floor,
        ..Hello::default()
    };
    let mut scheduler = Scheduler::new(Epoch(2), Millis(0));
    scheduler.slots().set(EndpointId(1), 1, 0, false);
    let first = scheduler.open_session(Millis(1), None, &remembering(known(A, 9000, 500), 5000));
    scheduler.ask(Millis(1), first, ask(1, A, 0, 0));
    let second = scheduler.open_session(Millis(2), None, &remembering(known(B, 6000, 0), 5500));
    scheduler.ask(Millis(2), second, ask(2, B, 0, 0));
    assert_eq!(granted(&scheduler.tick(Millis(GATHER_MS))), [2]);
    assert_eq!(scheduler.levels(), [(A, 9500), (B, 6000)]);
}

#[test]
fn can_free_the_slots_of_a_lost_router() {
    let (mut scheduler, session) = scheduler(1);
    let now = Millis(GATHER_MS);
    scheduler.ask(now, session, ask(1, A, 0, 0));
    scheduler.close_session(now, session);
    let other = scheduler.open_session(now, None, &Hello::default());
    assert!(scheduler.ask(now, other, ask(9, B, 0, 0)).is_empty());
    assert_eq!(granted(&scheduler.tick(now.after(ORPHAN_MS))), [9]);
}

#[test]
fn can_give_a_reborn_router_its_slots_at_once() {
    let (mut scheduler, session) = scheduler(1);
    let now = Millis(GATHER_MS);
    scheduler.ask(now, session, ask(1, A, 0, 0));
    scheduler.close_session(now, session);
    let reborn = scheduler.open_session(now, Some(session), &Hello::default());
    assert_eq!(granted(&scheduler.ask(now, reborn, ask(1, A, 0, 0))), [1]);
}

fn place(n: usize) -> Node {
    Node {
        vm: name(&format!("r{n}")),
        address: "127.0.0.1:7001".parse().unwrap(),
    }
}

#[test]
fn seekers_that_are_sent_away_are_spread_over_the_other_roots() {
    // Symptom: after all processes were lost, some routers refuse everything for a second
    // longer than others.
    // Sequence: all of them seek a parent before there is a leader, and each control VM
    // sends them on.
    // Cause: it named the same other one to all; that one had to send the whole
    // configuration to every router.
    let roots: Vec<Node> = ["c1", "c2", "c3"]
        .map(|vm| Node {
            vm: name(vm),
            address: "127.0.0.1:7001".parse().unwrap(),
        })
        .into();
    let mut tree = Tree::new(8);
    let mut sent: std::collections::BTreeMap<Name, u32> = std::collections::BTreeMap::new();
    for n in 0..8 {
        let to = tree.redirect(&roots, &name("c1"), &name(&format!("r{n}")));
        *sent.entry(to.unwrap().vm).or_default() += 1;
    }
    assert_eq!(sent.into_values().collect::<Vec<_>>(), [4, 4]);
    assert_eq!(tree.redirect(&roots[..1], &name("c1"), &name("r1")), None);
}

#[test]
fn can_keep_what_a_child_confirmed_when_it_asks_again() {
    // Symptom: a version that is in force everywhere is never confirmed by all.
    // Sequence: a child that feeds others confirms for all of them; it misses a
    // step and asks its parent again.
    // Cause: a parent that takes it for a new child, while the child tells only
    // what changes.
    let place = |n: u8| Node {
        vm: name(&format!("r{n}")),
        address: format!("127.0.0.{n}:1").parse().unwrap(),
    };
    let mut tree = Tree::new(2);
    tree.attach(place(1), &name("dc-1"), Version(4));
    let confirm = Confirmation {
        version: Version(5),
        routers: 3,
        slowest: [name("r1")].into_iter().collect(),
    };
    tree.confirm(&name("r1"), confirm.clone());
    assert_eq!(
        tree.attach(place(1), &name("dc-1"), Version(4)),
        Attachment::Child
    );
    assert_eq!(tree.aggregate(None), confirm);
    // One whose link was lost is a new child.
    tree.detach(&name("r1"));
    tree.attach(place(1), &name("dc-1"), Version(4));
    assert_eq!(tree.aggregate(None).routers, 1);
}

#[test]
fn can_feed_340_routers_with_few_children_each() {
    let mut nodes: Vec<Tree> = vec![Tree::new(8)];
    let mut depth = vec![0];
    for n in 1..=340 {
        let mut at = 0;
        loop {
            match nodes[at].attach(place(n), &name("dc-1"), Version(1)) {
                Attachment::Child => break,
                Attachment::Redirect(next) => {
                    at = next.vm.as_str()[1..].parse().unwrap();
                }
            }
        }
        nodes.push(Tree::new(4));
        depth.push(depth[at] + 1);
    }
    assert!(nodes.iter().all(|t| t.children().count() <= 8));
    assert!(depth.iter().max() <= Some(&6), "{:?}", depth.iter().max());
}

/// Guards against a view that crosses between data centres once for each router.
#[test]
fn can_feed_routers_from_their_own_data_centre() {
    let centres = ["dc-1", "dc-2", "dc-3"].map(name);
    let centre_of = |n: usize| &centres[n % 3];
    let mut nodes: Vec<Tree> = vec![Tree::new(8)];
    let mut crossings = 0;
    for n in 1..=300_u16 {
        let mut at = 0;
        let of = centre_of(usize::from(n));
        let place = Node {
            vm: name(&format!("r{n}")),
            address: "127.0.0.1:1".parse().unwrap(),
        };
        while let Attachment::Redirect(next) = nodes[at].attach(place.clone(), of, Version(1)) {
            at = next.vm.as_str()[1..].parse().unwrap();
        }
        crossings += usize::from(at == 0 || centre_of(at) != of);
        nodes.push(Tree::new(4));
    }
    assert_eq!(
        crossings, 8,
        "all but the children of the root are fed at home"
    );
}

#[test]
fn can_tell_operators_which_routers_lag() {
    let mut tree = Tree::new(4);
    tree.attach(place(1), &name("dc-1"), Version(5));
    tree.attach(place(2), &name("dc-1"), Version(7));
    let own = name("c1");
    let total = tree.aggregate(Some((&own, Version(7))));
    assert_eq!((total.version, total.routers), (Version(5), 3));
    assert_eq!(total.slowest.to_vec(), [name("r1")]);
    let confirm = Confirmation {
        version: Version(7),
        routers: 4,
        slowest: Default::default(),
    };
    tree.confirm(&name("r1"), confirm);
    let total = tree.aggregate(Some((&own, Version(7))));
    assert_eq!((total.version, total.routers), (Version(7), 6));
}

#[test]
fn can_serve_guests_only_from_slots_that_nobody_here_wants() {
    let (mut scheduler, session) = scheduler(1);
    let now = Millis(GATHER_MS);
    let remote = |seq| Ask {
        remote: true,
        ..ask(seq, B, 0, 0)
    };
    assert_eq!(granted(&scheduler.ask(now, session, ask(1, A, 0, 0))), [1]);
    assert!(granted(&scheduler.ask(now, session, remote(2))).is_empty());
    assert!(granted(&scheduler.ask(now, session, ask(3, A, 0, 0))).is_empty());
    let done = scheduler.done(now, session, Seq(1), 10, Verdict::Fine);
    assert_eq!(granted(&done), [3]);
    let done = scheduler.done(now, session, Seq(3), 10, Verdict::Fine);
    assert_eq!(granted(&done), [2]);
}

#[test]
fn can_count_what_another_region_gave_once() {
    // Symptom: a customer that two regions serve gets twice its share, or is
    // charged twice after a scheduler was replaced.
    // Sequence: two schedulers tell each other their totals again and again.
    // Cause: totals that are added instead of their growth.
    let (mut scheduler, _) = scheduler(1);
    let mut hear = |epoch, all, totals: &[(CustomerId, u64)]| {
        scheduler.merge_served(&Served {
            epoch: Epoch(epoch),
            all,
            totals: totals.to_vec(),
        });
        scheduler.levels()
    };
    // Without all totals it is not known where counting begins.
    assert_eq!(hear(9, false, &[(A, 400)]), []);
    assert_eq!(hear(9, true, &[(A, 500), (B, 50)]), [(A, 0), (B, 0)]);
    assert_eq!(hear(9, false, &[(A, 700)]), [(A, 200), (B, 0)]);
    assert_eq!(hear(9, true, &[(A, 700), (B, 60)]), [(A, 200), (B, 10)]);
    // A later epoch begins its totals anew.
    assert_eq!(hear(10, true, &[(A, 30)]), [(A, 200), (B, 10)]);
    assert_eq!(hear(10, false, &[(A, 40), (B, 5)]), [(A, 210), (B, 15)]);
}

/// A view with four endpoints, and the lines that call the given ones live.
fn platform(live: &[u16]) -> (View, Vec<Entry>) {
    let address = |n: u16| std::net::SocketAddr::from(([127, 0, 0, 1], n));
    let mut view = View::default();
    for n in 1..=4 {
        let endpoint = Endpoint {
            name: name(&format!("e{n}")),
            service: name("s"),
            address: address(n),
            data_centre: name("dc"),
            region: name("main"),
            slots: 1,
            prefetch: 0,
        };
        view.config
            .endpoints
            .insert(EndpointId(u32::from(n)), endpoint);
    }
    let line = |n: &u16| Entry {
        address: address(*n),
        state: State::Live,
    };
    (view, live.iter().map(line).collect())
}

#[test]
fn can_follow_a_list_that_lags() {
    let (mut view, list) = platform(&[1, 2, 3, 4]);
    let mut watch = Watch::default();
    assert!(watch.compare(&view, &list).is_empty());
    let mut leaving = list.clone();
    leaving[0].state = State::Leaving;
    let e1 = EndpointId(1);
    assert_eq!(
        watch.compare(&view, &leaving).to_vec(),
        [ListChange::Leaving(e1)]
    );
    // It says so until it is in force, and once it is, no more.
    assert_eq!(
        watch.compare(&view, &leaving).to_vec(),
        [ListChange::Leaving(e1)]
    );
    view.leaving.insert(e1);
    assert!(watch.compare(&view, &leaving).is_empty());
    assert_eq!(
        watch.compare(&view, &list).to_vec(),
        [ListChange::Returned(e1)]
    );
}

#[test]
fn can_leave_operators_their_own_stops() {
    let (mut view, list) = platform(&[1, 2, 3, 4]);
    view.leaving.insert(EndpointId(2));
    let mut watch = Watch::default();
    assert!(watch.compare(&view, &list).is_empty());
}

#[test]
fn can_tell_a_missing_endpoint_from_a_broken_list() {
    // Symptom: the whole fleet gets no new work.
    // Sequence: the platform restarts and serves an empty list for a while.
    // Cause: a list that is taken at its word.
    let mut watch = Watch::default();
    let (view, list) = platform(&[1, 2, 3, 4]);
    watch.compare(&view, &list);
    for _ in 0..5 {
        assert!(watch.compare(&view, &[]).is_empty());
        assert!(watch.compare(&view, &list[..1]).is_empty());
    }
    watch.compare(&view, &list);
    assert!(watch.compare(&view, &list[..3]).is_empty());
    let words = watch.compare(&view, &list[..3]);
    assert_eq!(words.to_vec(), [ListChange::Leaving(EndpointId(4))]);
}

#[test]
fn can_tell_other_regions_what_has_grown() {
    let (mut scheduler, session) = scheduler(1);
    let now = Millis(GATHER_MS);
    let mut serve = |seq, customer| {
        scheduler.ask(now, session, ask(seq, customer, 0, 0));
        scheduler.done(now, session, Seq(seq), 10, Verdict::Fine);
        let told = scheduler.take_served();
        (told.all, told.totals)
    };
    assert_eq!(serve(1, A), (true, vec![(A, 10_000)]));
    assert_eq!(serve(2, B), (false, vec![(B, 10_000)]));
    assert_eq!(serve(3, B), (false, vec![(B, 20_000)]));
    // At times all are told, for a new listener, or in case one was lost.
    let all = (4..20)
        .map(|seq| serve(seq, A))
        .filter(|(all, told)| *all && told.len() == 2);
    assert_eq!(all.count(), 2);
}

#[test]
fn can_keep_lines_of_logs_under_a_ceiling() {
    // Symptom: a flood of refused requests takes more for its log than for its answers.
    // Sequence: ten times the ceiling in one second, then a calm one.
    // Cause: a line for each of them.
    let mut ceiling = coordination::limit::Window::new(100);
    let second = |ceiling: &mut coordination::limit::Window, at: u64, lines: u64| {
        let times = (0..lines).map(|n| Millis(at * 1000 + n * 1000 / lines));
        times.filter(|now| ceiling.admits(*now)).count()
    };
    assert_eq!(second(&mut ceiling, 1, 1000), 100);
    assert_eq!(second(&mut ceiling, 2, 60), 60);
    assert_eq!(second(&mut ceiling, 3, 1000), 100);
}

/// Guards against service that is counted twice, since a router says hello again before it
/// has heard that the first one was taken.
#[test]
fn can_count_what_a_router_spent_once_through_two_hellos() {
    let known = |spent| Usage {
        customer: A,
        level: 0,
        spent,
    };
    let hello = |usage_id, spent| Hello {
        usage: vec![known(spent)],
        usage_id,
        ..Hello::default()
    };
    let mut scheduler = Scheduler::new(Epoch(2), Millis(0));
    scheduler.slots().set(EndpointId(1), 4, 0, false);
    let other = scheduler.open_session(Millis(1), None, &Hello::default());
    let first = scheduler.open_session(Millis(300), None, &hello(7, 500));
    // Another router's ask lets what was spent be settled.
    scheduler.ask(Millis(310), other, ask(1, B, 0, 0));
    scheduler.tick(Millis(310));
    assert_eq!(scheduler.levels().first(), Some(&(A, 500)));
    let second = scheduler.open_session(Millis(320), Some(first), &hello(7, 500));
    scheduler.ask(Millis(330), other, ask(2, B, 0, 0));
    scheduler.tick(Millis(330));
    assert_eq!(scheduler.levels().first(), Some(&(A, 500)));
    // What it has spent since is told with the next one, and counts.
    let third = scheduler.open_session(Millis(340), Some(second), &hello(7, 700));
    scheduler.ask(Millis(350), other, ask(3, B, 0, 0));
    scheduler.tick(Millis(350));
    assert_eq!(scheduler.levels().first(), Some(&(A, 700)));
    // Once it has heard that, it tells only what came after.
    scheduler.open_session(Millis(360), Some(third), &hello(8, 40));
    scheduler.ask(Millis(370), other, ask(4, B, 0, 0));
    scheduler.tick(Millis(370));
    assert_eq!(scheduler.levels().first(), Some(&(A, 740)));
}
