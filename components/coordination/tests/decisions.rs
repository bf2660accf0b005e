//! Unit tests of scheduling decisions: service accounts, rate limits, retries, endpoint
//! health, rules, scheduler sessions, the configuration tree and endpoint listings.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use coordination::health::{Change, Health, EJECT_FAILURES, EJECT_MIN_MS};
use coordination::ledger::{virtual_cost, Ledger};
use coordination::limit::Bucket;
use coordination::messages::{Ask, Class, Held, Hello, Seq, Totals, Usage, Verdict};
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
use state::id::{CustomerId, EndpointId, Epoch, Name, Software, Version};
use state::route::Routes;
use state::view::{Node, View};

/// The first of two customers that share a scheduler.
const CUSTOMER_A: CustomerId = CustomerId(1);
/// The second of two customers that share a scheduler.
const CUSTOMER_B: CustomerId = CustomerId(2);

/// Parses a name that is known to be valid.
fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

#[test]
fn can_return_from_idle_without_credit_or_debt() {
    let mut ledger = Ledger::default();
    ledger.open(0);
    ledger.set_backlogged(CUSTOMER_A, true);
    ledger.settle(CUSTOMER_A, 0, 5000);
    ledger.set_backlogged(CUSTOMER_B, true);
    assert_eq!(ledger.level(CUSTOMER_B), 5000);
    ledger.set_backlogged(CUSTOMER_B, false);
    ledger.settle(CUSTOMER_A, 0, 1000);
    ledger.set_backlogged(CUSTOMER_B, true);
    assert_eq!(ledger.level(CUSTOMER_B), 6000);
}

#[test]
fn can_return_from_idle_before_overestimates_are_corrected() {
    // Symptom: a small customer waits for a dozen requests of a large customer.
    // Sequence: requests of the large customer are in progress, charged at
    // estimates far above their cost; the small customer becomes backlogged; the
    // requests end, and their charges are corrected downwards.
    // Cause: the small customer was set to a level that included the estimates.
    let mut ledger = Ledger::default();
    ledger.open(0);
    ledger.set_backlogged(CUSTOMER_A, true);
    for _ in 0..3 {
        ledger.charge(CUSTOMER_A, 100_000);
    }
    ledger.set_backlogged(CUSTOMER_B, true);
    for _ in 0..3 {
        ledger.settle(CUSTOMER_A, 100_000, 20_000);
    }
    assert!(ledger.level(CUSTOMER_B) < ledger.level(CUSTOMER_A));
}

#[test]
fn can_restore_an_account_repeatedly_without_adding_up() {
    let mut ledger = Ledger::default();
    ledger.restore(CUSTOMER_A, 700);
    ledger.restore(CUSTOMER_A, 700);
    ledger.restore(CUSTOMER_A, 300);
    assert_eq!(ledger.settled(CUSTOMER_A), 700);
}

#[test]
fn can_divide_cost_by_weight() {
    assert_eq!(virtual_cost(10, 1), 2 * virtual_cost(10, 2));
    assert_eq!(virtual_cost(10, 0), virtual_cost(10, 1));
}

#[test]
fn can_enforce_a_rate_with_a_token_bucket() {
    let mut bucket = Bucket::new(10, Millis(0));
    let mut started = 0;
    for ms in 0..=3000 {
        while bucket.has_token(Millis(ms)) {
            bucket.take(Millis(ms));
            started += 1;
        }
    }
    // The bucket starts full, with the tokens of one second.
    assert_eq!(started, 10 + 30);
}

/// Retry bounds of the whole fleet in these tests: 10% of the requests, and 10 more
/// in each window of 10 s.
const BOUNDS: Bounds = Bounds {
    per_mille: 100,
    extra: 10,
    window_ms: 10_000,
};

/// A retry budget at time 0, before any request.
fn budget() -> Budget {
    Budget::new(BOUNDS, Millis(0))
}

/// A retry budget that allows at least one retry.
fn budget_with_retry() -> Budget {
    let mut budget = budget();
    budget.earn(Millis(0), 1);
    budget
}

#[test]
fn can_bound_the_retries_of_all_routers_in_every_window() {
    // Symptom: the endpoints of a service receive more retries than operators
    // allow, although no router exceeds its own budget.
    // Sequence: every request of six routers fails for a minute.
    // Cause: each router has the whole budget instead of its share, or the budget
    // refills within a window and is spent once before and once after the refill.
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
    let count_in_window = |all: &[u64], from: u64| {
        let inside = all
            .iter()
            .filter(|at| (from..from + BOUNDS.window_ms).contains(*at));
        inside.count() as u64
    };
    for from in (0..50_000).step_by(100) {
        let allowed = BOUNDS.extra + count_in_window(&requests, from) * BOUNDS.per_mille / 1000;
        let added = count_in_window(&retries, from);
        assert!(
            added <= allowed,
            "{added} retries of {allowed} allowed in the window from {from} ms"
        );
    }
    assert!(retries.len() > 100, "{}", retries.len());
}

/// Failure: an endpoint breaks off thirty streams of one router at once, and most are not resumed
/// although the router's requests have earned enough retries; or the routers together exceed the
/// bounds in some window, because each spends at once what it has saved up.
#[test]
fn can_spend_saved_retries_at_once_within_the_bounds_of_every_window() {
    const ROUTERS: u32 = 3;
    let mut budgets: Vec<Budget> = (0..ROUTERS).map(|_| budget().with_savings()).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut most_at_once = 0;
    for ms in (0..60_000_u64).step_by(10) {
        for budget in &mut budgets {
            budget.earn(Millis(ms), ROUTERS);
            requests.push(ms);
        }
        if ms % 7000 == 6990 {
            for budget in &mut budgets {
                let spent = (0..60).filter(|_| budget.take()).count();
                most_at_once = most_at_once.max(spent);
                retries.extend(std::iter::repeat_n(ms, spent));
            }
        }
    }
    assert!(most_at_once >= 30, "{most_at_once}");
    let in_window = |all: &[u64], from: u64| {
        let window = from..from + BOUNDS.window_ms;
        all.iter().filter(|at| window.contains(*at)).count() as u64
    };
    for from in (0..50_000).step_by(100) {
        let allowed = BOUNDS.extra + in_window(&requests, from) * BOUNDS.per_mille / 1000;
        let added = in_window(&retries, from);
        assert!(added <= allowed, "{added} of {allowed} from {from} ms");
    }
}

#[test]
fn can_bound_retries_while_every_request_fails() {
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
#[case::nothing_sent_without_retries_left(Reach::Nothing, false, 2, Action::NotRun)]
#[case::sent_once(Reach::Sent, false, 0, Action::Unknown)]
#[case::sent_idempotent(Reach::Sent, true, 0, Action::Retry)]
#[case::sent_without_retries_left(Reach::Sent, true, 2, Action::Unknown)]
#[case::earlier_attempt_was_sent(Reach::Nothing, true, 2, Action::Unknown)]
#[case::response_has_begun(Reach::Answering, true, 0, Action::Unknown)]
fn can_decide_what_follows_a_failed_attempt(
    #[case] reach: Reach,
    #[case] idempotent: bool,
    #[case] retries: u32,
    #[case] expected: Action,
) {
    let failure = Failure {
        reach,
        idempotent,
        retries,
        retries_max: 2,
        deadline: Millis(100),
    };
    assert_eq!(
        decide(failure, Millis(0), &mut budget_with_retry()),
        expected
    );
}

#[test]
fn can_refuse_retries_after_the_deadline() {
    let failure = Failure {
        reach: Reach::Nothing,
        idempotent: true,
        retries: 0,
        retries_max: 2,
        deadline: Millis(100),
    };
    assert_eq!(
        decide(failure, Millis(100), &mut budget_with_retry()),
        Action::NotRun
    );
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
fn can_compare_a_delayed_load_report_with_recent_requests() {
    // Symptom: slots stay unused although no other client uses the endpoint.
    // Sequence: four requests run and end; a load report that was measured a second
    // earlier then arrives and counts four.
    // Cause: the delayed report was compared with the requests that run now.
    let criteria = Criteria {
        session: None,
        prompt: Prompt::default(),
        avoid: None,
        aim_ms: 600,
        slack_ms: 0,
        only_in_time: false,
        software: None,
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
    // Load above our own recent requests comes from other clients.
    slots.report_load(Millis(1000), id, 8);
    assert!(!slots.has_free_slot(Millis(1000)));
}

#[test]
fn can_prefer_an_endpoint_with_the_cached_prefix_at_similar_load() {
    let criteria = |prefix| Criteria {
        session: None,
        prompt: Prompt::from_prefix_key(prefix),
        avoid: None,
        aim_ms: 600,
        slack_ms: 0,
        only_in_time: false,
        software: None,
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
    // With two more requests than the other endpoint, it is no longer preferred.
    assert_ne!(take(&mut slots, 77), Some(first));
}

/// A rule that refuses the requests that match `when`.
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
fn can_apply_the_first_matching_rule() {
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
    let matching_rule = |path: &str, size| {
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
        first_match(&rules, &Routes::from(&rules[..]), &request).map(|(index, _)| index)
    };
    assert_eq!(matching_rule("/a/b/c", 0), Some(0));
    assert_eq!(matching_rule("/a/c", 0), Some(1));
    assert_eq!(matching_rule("/z", 10), Some(3));
    assert_eq!(matching_rule("/z", 9), None);
    assert_eq!(shadowed(&rules), [(1, 2)]);
}

#[rstest]
#[case(None, false, "GET", true)]
#[case(None, false, "POST", false)]
#[case(None, true, "POST", true)]
#[case(Some(false), true, "GET", false)]
#[case(Some(true), false, "POST", true)]
fn can_decide_whether_a_request_is_idempotent(
    #[case] rule: Option<bool>,
    #[case] service: bool,
    #[case] method: &str,
    #[case] expected: bool,
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
    assert_eq!(is_idempotent(rule, &service, method), expected);
}

/// A request for a slot, with the limits of its customer; 0 means no limit.
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

/// Sequence numbers of the requests that `effects` grant, in order.
fn granted(effects: &Effects) -> Vec<u64> {
    let numbers = effects.iter().filter_map(|e| match e {
        Effect::Grant(_, grant) => Some(grant.seq.0),
        _ => None,
    });
    numbers.collect()
}

/// A new scheduler with one endpoint of `slots` slots, and the session of one router.
fn scheduler(slots: u32) -> (Scheduler, Session) {
    let mut scheduler = Scheduler::new(Epoch(1), Millis(0));
    scheduler.slots().set(EndpointId(1), slots, 0, false);
    let session = scheduler.open_session(Millis(0), None, &Hello::default());
    (scheduler, session)
}

#[test]
fn can_enforce_a_concurrency_limit_across_routers() {
    let (mut scheduler, first) = scheduler(8);
    let second = scheduler.open_session(Millis(0), None, &Hello::default());
    let now = Millis(GATHER_MS);
    assert_eq!(
        granted(&scheduler.ask(now, first, ask(1, CUSTOMER_A, 2, 0))),
        [1]
    );
    assert_eq!(
        granted(&scheduler.ask(now, second, ask(2, CUSTOMER_A, 2, 0))),
        [2]
    );
    assert!(granted(&scheduler.ask(now, second, ask(3, CUSTOMER_A, 2, 0))).is_empty());
    // The limit of one customer does not delay another customer.
    assert_eq!(
        granted(&scheduler.ask(now, second, ask(4, CUSTOMER_B, 0, 0))),
        [4]
    );
    let done = scheduler.done(now, first, Seq(1), 10, Verdict::Fine);
    assert_eq!(granted(&done), [3]);
}

#[test]
fn can_enforce_a_rate_limit() {
    let (mut scheduler, session) = scheduler(100);
    let now = Millis(GATHER_MS);
    let mut started = 0;
    for seq in 0..20 {
        started += granted(&scheduler.ask(now, session, ask(seq, CUSTOMER_A, 0, 5))).len();
    }
    assert_eq!(started, 5);
    let later = now.after(1000);
    assert_eq!(granted(&scheduler.tick(later)).len(), 5);
}

#[test]
fn can_gather_sessions_before_granting() {
    // Symptom: endpoints exceed their slots right after a change of scheduler.
    // Sequence: a router with a waiting request opens its session first; requests
    // of another router, which opens its session later, fill all slots.
    // Cause: the scheduler grants before all routers have reported the slots that
    // they hold.
    let mut scheduler = Scheduler::new(Epoch(2), Millis(0));
    scheduler.slots().set(EndpointId(1), 1, 0, false);
    let first = scheduler.open_session(Millis(1), None, &Hello::default());
    assert!(scheduler
        .ask(Millis(1), first, ask(1, CUSTOMER_A, 0, 0))
        .is_empty());
    let held = Held {
        seq: Seq(5),
        class: Class {
            customer: CUSTOMER_B,
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
fn can_keep_service_levels_through_a_change_of_scheduler() {
    // Symptom: a customer that has received less service than the others loses its
    // claim to catch up.
    // Sequence: a new scheduler learns first of the customer with the higher level.
    // Cause: the customer that is reported later was lifted to the level of the
    // customer that was reported first.
    let known = |customer, level, spent| Usage {
        customer,
        level,
        spent,
    };
    let hello = |known, floor| Hello {
        usage: vec![known],
        floor,
        ..Hello::default()
    };
    let mut scheduler = Scheduler::new(Epoch(2), Millis(0));
    scheduler.slots().set(EndpointId(1), 1, 0, false);
    let first = scheduler.open_session(Millis(1), None, &hello(known(CUSTOMER_A, 9000, 500), 5000));
    scheduler.ask(Millis(1), first, ask(1, CUSTOMER_A, 0, 0));
    let second = scheduler.open_session(Millis(2), None, &hello(known(CUSTOMER_B, 6000, 0), 5500));
    scheduler.ask(Millis(2), second, ask(2, CUSTOMER_B, 0, 0));
    assert_eq!(granted(&scheduler.tick(Millis(GATHER_MS))), [2]);
    assert_eq!(scheduler.levels(), [(CUSTOMER_A, 9500), (CUSTOMER_B, 6000)]);
}

#[test]
fn can_free_the_slots_of_a_lost_router() {
    let (mut scheduler, session) = scheduler(1);
    let now = Millis(GATHER_MS);
    scheduler.ask(now, session, ask(1, CUSTOMER_A, 0, 0));
    scheduler.close_session(now, session);
    let other = scheduler.open_session(now, None, &Hello::default());
    assert!(scheduler
        .ask(now, other, ask(9, CUSTOMER_B, 0, 0))
        .is_empty());
    assert_eq!(granted(&scheduler.tick(now.after(ORPHAN_MS))), [9]);
}

#[test]
fn can_free_the_slots_of_a_restarted_router_at_once() {
    let (mut scheduler, session) = scheduler(1);
    let now = Millis(GATHER_MS);
    scheduler.ask(now, session, ask(1, CUSTOMER_A, 0, 0));
    scheduler.close_session(now, session);
    let restarted = scheduler.open_session(now, Some(session), &Hello::default());
    assert_eq!(
        granted(&scheduler.ask(now, restarted, ask(1, CUSTOMER_A, 0, 0))),
        [1]
    );
}

/// Router `n` of the tree tests.
fn router(n: usize) -> Node {
    Node {
        vm: name(&format!("r{n}")),
        address: "127.0.0.1:7001".parse().unwrap(),
    }
}

#[test]
fn can_spread_redirected_routers_over_the_other_roots() {
    // Symptom: after a restart of all processes, some routers refuse all requests for a
    // second longer than others.
    // Sequence: all routers look for a parent before a leader is elected, and each control
    // VM redirects them to another one.
    // Cause: a control VM redirected all routers to the same root, which then had to send
    // the whole configuration to each of them.
    let roots: Vec<Node> = ["c1", "c2", "c3"]
        .map(|vm| Node {
            vm: name(vm),
            address: "127.0.0.1:7001".parse().unwrap(),
        })
        .into();
    let mut tree = Tree::new(8);
    let mut redirected: std::collections::BTreeMap<Name, u32> = std::collections::BTreeMap::new();
    for n in 0..8 {
        let target = tree.redirect(&roots, &name("c1"), &name(&format!("r{n}")));
        *redirected.entry(target.unwrap().vm).or_default() += 1;
    }
    assert_eq!(redirected.into_values().collect::<Vec<_>>(), [4, 4]);
    assert_eq!(tree.redirect(&roots[..1], &name("c1"), &name("r1")), None);
}

#[test]
fn can_keep_a_confirmation_when_a_child_attaches_again() {
    // Symptom: a version that is in force on all routers is never confirmed by all.
    // Sequence: a child confirms a version for its whole subtree; then it misses a
    // step and attaches to its parent again.
    // Cause: the parent treated it as a new child and dropped the confirmation,
    // while the child reports only changes.
    let router = |n: u8| Node {
        vm: name(&format!("r{n}")),
        address: format!("127.0.0.{n}:1").parse().unwrap(),
    };
    let mut tree = Tree::new(2);
    tree.attach(router(1), &name("dc-1"), Version(4));
    let confirm = Confirmation {
        version: Version(5),
        routers: 3,
        slowest: [name("r1")].into_iter().collect(),
    };
    tree.confirm(&name("r1"), confirm.clone());
    assert_eq!(
        tree.attach(router(1), &name("dc-1"), Version(4)),
        Attachment::Child
    );
    assert_eq!(tree.aggregate(None), confirm);
    // A child that was detached after its link was lost counts as new.
    tree.detach(&name("r1"));
    tree.attach(router(1), &name("dc-1"), Version(4));
    assert_eq!(tree.aggregate(None).routers, 1);
}

#[test]
fn can_attach_340_routers_with_a_bounded_fanout() {
    let mut nodes: Vec<Tree> = vec![Tree::new(8)];
    let mut depth = vec![0];
    for n in 1..=340 {
        let mut at = 0;
        loop {
            match nodes[at].attach(router(n), &name("dc-1"), Version(1)) {
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

/// Guards against a tree that sends each change to another data centre once per router
/// instead of once per subtree.
#[test]
fn can_attach_routers_within_their_data_centre() {
    let centres = ["dc-1", "dc-2", "dc-3"].map(name);
    let centre_of = |n: usize| &centres[n % 3];
    let mut nodes: Vec<Tree> = vec![Tree::new(8)];
    let mut crossings = 0;
    for n in 1..=300_u16 {
        let mut at = 0;
        let data_centre = centre_of(usize::from(n));
        let router = Node {
            vm: name(&format!("r{n}")),
            address: "127.0.0.1:1".parse().unwrap(),
        };
        while let Attachment::Redirect(next) =
            nodes[at].attach(router.clone(), data_centre, Version(1))
        {
            at = next.vm.as_str()[1..].parse().unwrap();
        }
        crossings += usize::from(at == 0 || centre_of(at) != data_centre);
        nodes.push(Tree::new(4));
    }
    assert_eq!(
        crossings, 8,
        "only the children of the root may have a parent in another data centre"
    );
}

#[test]
fn can_name_the_routers_with_the_oldest_version() {
    let mut tree = Tree::new(4);
    tree.attach(router(1), &name("dc-1"), Version(5));
    tree.attach(router(2), &name("dc-1"), Version(7));
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
fn can_grant_slots_to_other_regions_only_without_local_demand() {
    let (mut scheduler, session) = scheduler(1);
    let now = Millis(GATHER_MS);
    let remote = |seq| Ask {
        remote: true,
        ..ask(seq, CUSTOMER_B, 0, 0)
    };
    assert_eq!(
        granted(&scheduler.ask(now, session, ask(1, CUSTOMER_A, 0, 0))),
        [1]
    );
    assert!(granted(&scheduler.ask(now, session, remote(2))).is_empty());
    assert!(granted(&scheduler.ask(now, session, ask(3, CUSTOMER_A, 0, 0))).is_empty());
    let done = scheduler.done(now, session, Seq(1), 10, Verdict::Fine);
    assert_eq!(granted(&done), [3]);
    let done = scheduler.done(now, session, Seq(3), 10, Verdict::Fine);
    assert_eq!(granted(&done), [2]);
}

#[test]
fn can_count_service_of_another_region_once() {
    // Symptom: a customer that two regions serve receives twice its share, or is
    // charged twice after a scheduler was replaced.
    // Sequence: two schedulers exchange their running totals repeatedly.
    // Cause: each total was added in full instead of its increase.
    let (mut scheduler, _) = scheduler(1);
    let mut merge = |epoch, all, totals: &[(CustomerId, u64)]| {
        scheduler.merge_service_totals(&Totals {
            epoch: Epoch(epoch),
            all,
            totals: totals.to_vec(),
        });
        scheduler.levels()
    };
    // A report of changed totals is ignored until a full report has set the baseline.
    assert_eq!(merge(9, false, &[(CUSTOMER_A, 400)]), []);
    assert_eq!(
        merge(9, true, &[(CUSTOMER_A, 500), (CUSTOMER_B, 50)]),
        [(CUSTOMER_A, 0), (CUSTOMER_B, 0)]
    );
    assert_eq!(
        merge(9, false, &[(CUSTOMER_A, 700)]),
        [(CUSTOMER_A, 200), (CUSTOMER_B, 0)]
    );
    assert_eq!(
        merge(9, true, &[(CUSTOMER_A, 700), (CUSTOMER_B, 60)]),
        [(CUSTOMER_A, 200), (CUSTOMER_B, 10)]
    );
    // The totals of a later epoch start again from zero.
    assert_eq!(
        merge(10, true, &[(CUSTOMER_A, 30)]),
        [(CUSTOMER_A, 200), (CUSTOMER_B, 10)]
    );
    assert_eq!(
        merge(10, false, &[(CUSTOMER_A, 40), (CUSTOMER_B, 5)]),
        [(CUSTOMER_A, 210), (CUSTOMER_B, 15)]
    );
}

/// A view with four endpoints, and a listing that reports the given ones as live.
fn view_and_listing(live: &[u16]) -> (View, Vec<Entry>) {
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
            software: Software::UNSTATED,
        };
        view.config
            .endpoints
            .insert(EndpointId(u32::from(n)), endpoint);
    }
    let entry = |n: &u16| Entry {
        address: address(*n),
        state: State::Live,
    };
    (view, live.iter().map(entry).collect())
}

#[test]
fn can_repeat_a_departure_until_the_view_has_it() {
    let (mut view, list) = view_and_listing(&[1, 2, 3, 4]);
    let mut watch = Watch::default();
    assert!(watch.compare(&view, &list).is_empty());
    let mut leaving = list.clone();
    leaving[0].state = State::Leaving;
    let e1 = EndpointId(1);
    assert_eq!(
        watch.compare(&view, &leaving).to_vec(),
        [ListChange::Leaving(e1)]
    );
    // The departure is reported until the view has it, and not after that.
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
fn can_keep_departures_that_operators_announced() {
    // The listing still has endpoint 2 as live, which must not cancel its departure.
    let (mut view, list) = view_and_listing(&[1, 2, 3, 4]);
    view.leaving.insert(EndpointId(2));
    let mut watch = Watch::default();
    assert!(watch.compare(&view, &list).is_empty());
}

#[test]
fn can_distinguish_a_missing_endpoint_from_a_broken_listing() {
    // Symptom: no endpoint of the fleet receives new requests.
    // Sequence: the platform restarts and serves an empty listing for a while.
    // Cause: every endpoint that was missing from the listing counted as departed.
    let mut watch = Watch::default();
    let (view, list) = view_and_listing(&[1, 2, 3, 4]);
    watch.compare(&view, &list);
    for _ in 0..5 {
        assert!(watch.compare(&view, &[]).is_empty());
        assert!(watch.compare(&view, &list[..1]).is_empty());
    }
    watch.compare(&view, &list);
    assert!(watch.compare(&view, &list[..3]).is_empty());
    let changes = watch.compare(&view, &list[..3]);
    assert_eq!(changes.to_vec(), [ListChange::Leaving(EndpointId(4))]);
}

#[test]
fn can_report_increased_totals_to_other_regions() {
    let (mut scheduler, session) = scheduler(1);
    let now = Millis(GATHER_MS);
    let mut serve = |seq, customer| {
        scheduler.ask(now, session, ask(seq, customer, 0, 0));
        scheduler.done(now, session, Seq(seq), 10, Verdict::Fine);
        let service = scheduler.take_service_totals();
        (service.all, service.totals)
    };
    assert_eq!(serve(1, CUSTOMER_A), (true, vec![(CUSTOMER_A, 10_000)]));
    assert_eq!(serve(2, CUSTOMER_B), (false, vec![(CUSTOMER_B, 10_000)]));
    assert_eq!(serve(3, CUSTOMER_B), (false, vec![(CUSTOMER_B, 20_000)]));
    // All totals are sent from time to time, for new receivers and in case a message was lost.
    let all = (4..20)
        .map(|seq| serve(seq, CUSTOMER_A))
        .filter(|(all, totals)| *all && totals.len() == 2);
    assert_eq!(all.count(), 2);
}

#[test]
fn can_limit_log_lines_per_second() {
    // Symptom: during a flood of refused requests, logging costs more than the responses.
    // Sequence: ten times the limit in one second, then a second below the limit.
    // Cause: each refused request wrote a log line.
    let mut window = coordination::limit::Window::new(100);
    let admitted_in_second = |window: &mut coordination::limit::Window, at: u64, lines: u64| {
        let times = (0..lines).map(|n| Millis(at * 1000 + n * 1000 / lines));
        times.filter(|now| window.admits(*now)).count()
    };
    assert_eq!(admitted_in_second(&mut window, 1, 1000), 100);
    assert_eq!(admitted_in_second(&mut window, 2, 60), 60);
    assert_eq!(admitted_in_second(&mut window, 3, 1000), 100);
}

/// Guards against service that is counted twice when a router sends another hello before
/// it has received the acknowledgement of the previous one.
#[test]
fn can_count_reported_usage_once_across_repeated_hellos() {
    let known = |spent| Usage {
        customer: CUSTOMER_A,
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
    // A request of another router makes the scheduler settle the reported usage.
    scheduler.ask(Millis(310), other, ask(1, CUSTOMER_B, 0, 0));
    scheduler.tick(Millis(310));
    assert_eq!(scheduler.levels().first(), Some(&(CUSTOMER_A, 500)));
    let second = scheduler.open_session(Millis(320), Some(first), &hello(7, 500));
    scheduler.ask(Millis(330), other, ask(2, CUSTOMER_B, 0, 0));
    scheduler.tick(Millis(330));
    assert_eq!(scheduler.levels().first(), Some(&(CUSTOMER_A, 500)));
    // The next hello reports usage since then as well, and only the increase counts.
    let third = scheduler.open_session(Millis(340), Some(second), &hello(7, 700));
    scheduler.ask(Millis(350), other, ask(3, CUSTOMER_B, 0, 0));
    scheduler.tick(Millis(350));
    assert_eq!(scheduler.levels().first(), Some(&(CUSTOMER_A, 700)));
    // After the acknowledgement, the router uses a new identifier and reports only later
    // usage.
    scheduler.open_session(Millis(360), Some(third), &hello(8, 40));
    scheduler.ask(Millis(370), other, ask(4, CUSTOMER_B, 0, 0));
    scheduler.tick(Millis(370));
    assert_eq!(scheduler.levels().first(), Some(&(CUSTOMER_A, 740)));
}
