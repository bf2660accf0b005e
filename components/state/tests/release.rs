//! Numbered complete configurations, the choice of a service by weight, and the index of rules.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use state::config::{Cost, Draft, Forward, Rule, Service, Target, Then, When};
use state::id::{Name, Version};
use state::record::{Answer, DiskId, Member, Members, Record, Release};
use state::route::Routes;
use state::store::Store;
use state::view::Node;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn release(number: u64, services: &[&str]) -> Record {
    let service = |text: &&str| Service {
        name: name(text),
        cost: Cost::Request,
        estimate: 1,
        timeout_ms: 1000,
        idempotent: false,
        load: None,
        connections: None,
        engine: None,
        cold: None,
    };
    Record::Release(Box::new(Release {
        number,
        document: format!("{number} {services:?}").into_bytes(),
        draft: Draft {
            services: services.iter().map(service).collect(),
            ..Draft::default()
        },
    }))
}

fn services(store: &Store) -> Vec<&str> {
    let all = store.view.config.services.values();
    all.map(|s| s.name.as_str()).collect()
}

#[test]
fn the_highest_number_wins_in_any_order() {
    // Symptom: an older configuration is in force after a newer one was accepted.
    // Sequence: two operators send configurations at once; an older one arrives again.
    // Cause: the store applies whatever arrives last.
    let mut store = Store::default();
    assert_eq!(store.apply(&release(5, &["a", "b"])).0, Answer::Released(5));
    assert_eq!(store.apply(&release(9, &["b", "c"])).0, Answer::Released(9));
    let (answer, step) = store.apply(&release(7, &["a"]));
    assert_eq!(answer, Answer::Released(9));
    assert_eq!(step, None);
    assert_eq!(services(&store), ["b", "c"]);
    assert_eq!(store.view.release, 9);
    let kept = store.release.as_ref().unwrap();
    assert_eq!(kept.bytes, b"9 [\"b\", \"c\"]");
}

#[test]
fn keeps_the_first_content_of_a_number() {
    // Symptom: the configuration read back under a number differs from the accepted one.
    // Sequence: other content is sent under the number that is in force.
    // Cause: the repeated number is acknowledged, and its content is stored.
    let mut store = Store::default();
    store.apply(&release(5, &["a"]));
    let version = store.view.version;
    assert_eq!(store.apply(&release(5, &["b"])).0, Answer::Released(5));
    assert_eq!(store.view.version, version);
    assert_eq!(services(&store), ["a"]);
    assert_eq!(store.release.unwrap().bytes, b"5 [\"a\"]");
}

#[test]
fn a_service_keeps_its_number_through_releases() {
    let mut store = Store::default();
    store.apply(&release(1, &["a", "b"]));
    let b = store.view.config.service(&name("b"));
    store.apply(&release(2, &["b", "c"]));
    assert_eq!(store.view.config.service(&name("b")), b);
}

#[test]
fn the_view_lists_the_voting_control_vms() {
    let member = |n: u64| Member {
        disk: DiskId(n),
        node: Node::at(format!("10.0.0.{n}:7001").parse().unwrap()),
    };
    let mut store = Store::default();
    let members = Members {
        voters: [member(1), member(2)].into_iter().collect(),
        learners: [member(3)].into_iter().collect(),
    };
    let (_, step) = store.apply(&Record::Members(Box::new(members.clone())));
    assert!(step.is_some());
    let names: Vec<&str> = store.view.control.iter().map(|p| p.vm.as_str()).collect();
    assert_eq!(names, ["vm-10-0-0-1", "vm-10-0-0-2"]);
    // The same control VMs again change nothing.
    let version = store.view.version;
    assert_eq!(store.apply(&Record::Members(Box::new(members))).1, None);
    assert_eq!(store.view.version, version);
    assert_eq!(store.view.config_version, Version(0));
}

#[test]
fn selects_no_service_without_weights() {
    let send = |weight| Forward {
        services: [Target {
            service: name("a"),
            weight,
        }]
        .into_iter()
        .collect(),
        ..Forward::default()
    };
    assert_eq!(send(0).pick_service(17), None);
    assert_eq!(send(3).pick_service(17), Some(&name("a")));
}

#[test]
fn splits_requests_by_weight() {
    let parts = [("a", 90), ("b", 10), ("c", 0)].map(|(service, weight)| Target {
        service: name(service),
        weight,
    });
    let send = Forward {
        services: parts.into_iter().collect(),
        ..Forward::default()
    };
    let count = |wanted: &str| {
        let drawn = (0..1000).filter(|draw| send.pick_service(*draw) == Some(&name(wanted)));
        drawn.count()
    };
    assert_eq!([count("a"), count("b"), count("c")], [900, 100, 0]);
}

/// Lookup without the index: the first rule whose host and path match.
fn scan(rules: &[Rule], host: &str, path: &str) -> Option<u16> {
    let matches = |when: &When| {
        when.host.as_deref().is_none_or(|h| h == host)
            && when.path.as_deref().is_none_or(|p| path.starts_with(p))
    };
    let position = rules.iter().position(|rule| matches(&rule.when))?;
    u16::try_from(position).ok()
}

#[test]
fn the_index_finds_the_same_rule_as_a_scan() {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut pick = |all: &[&str]| all[rng.random_range(0..all.len())].to_owned();
    let hosts = ["a.example", "b.example", "c.example"];
    let paths = ["/", "/x/", "/x", "/x/y/", "/x/y", "/xy/", "/z/"];
    let asked = ["/", "/x", "/x/", "/x/y", "/x/y/z", "/xy/1", "/z/x/", "/w"];
    for _ in 0..500 {
        let rules: Vec<Rule> = (0..8)
            .map(|n| Rule {
                name: name(&format!("r{n}")),
                when: When {
                    host: Some(pick(&hosts)).filter(|h| h != "c.example"),
                    path: Some(pick(&paths)).filter(|p| p != "/z/"),
                    ..When::default()
                },
                then: Then::Refuse {
                    reason: String::new(),
                },
            })
            .collect();
        let routes = Routes::from(rules.as_slice());
        for host in hosts {
            for path in asked {
                let candidates = routes.candidates(Some(host), path);
                let found = candidates.iter().copied().find(|position| {
                    let rule = &rules[usize::from(*position)];
                    scan(std::slice::from_ref(rule), host, path).is_some()
                });
                assert_eq!(found, scan(&rules, host, path), "{host}{path}");
            }
        }
    }
}
