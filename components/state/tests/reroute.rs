//! Rules whose requests may have gone to another service before.

use rstest::rstest;
use smallvec::SmallVec;
use state::config::{Forward, Rule, Target, Then, When};
use state::id::Name;
use state::reroute::{Reroutes, PAST_MAX};

#[expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]
fn name(text: &str) -> Name {
    Name::try_from(text.to_owned()).unwrap()
}

/// A rule for the path that is also its name, to these services.
fn rule(path: &str, services: &str) -> Rule {
    let target = |service| Target {
        service: name(service),
        weight: 1,
    };
    let services: SmallVec<[Target; 1]> = services.split('+').map(target).collect();
    Rule {
        name: name(&format!("r{}", path.replace('/', "-"))),
        when: When {
            host: Some("host".to_owned()),
            path: Some(path.to_owned()),
            ..When::default()
        },
        then: Then::new(
            Forward {
                services,
                ..Forward::default()
            },
            None,
        ),
    }
}

/// Guards against a stream of unknown origin that goes on at another service than the one that began
/// it, since a rule was added, changed or removed.
#[rstest]
#[case::first("/chat/=llm /=web", "")]
#[case::unrelated("/chat/=llm; /chat/=llm /files/=web", "")]
#[case::unrelated_removed("/chat/=llm /files/=web; /chat/=llm", "")]
#[case::moved("/chat/=a; /chat/=b", "r-chat-")]
#[case::moved_back("/chat/=a; /chat/=b; /chat/=a", "r-chat-")]
#[case::removed_and_added_elsewhere("/chat/=a; ; /chat/=b", "r-chat-")]
#[case::removed_and_added_again("/chat/=a; ; /chat/=a", "")]
#[case::split("/chat/=a; /chat/=a+b", "r-chat-")]
#[case::no_longer_split("/chat/=a+b; /chat/=a", "r-chat-")]
#[case::longer_path("/=web; /chat/=llm /=web", "r-chat-")]
#[case::longer_path_removed("/chat/=llm /=web; /=web", "r-")]
#[case::longer_path_of_same_service("/=llm; /chat/=llm /=llm", "")]
#[case::other_order("/chat/=llm /=web; /=web /chat/=llm", "r- r-chat-")]
#[case::stays("/chat/=a; /chat/=b; /chat/=b /files/=web", "r-chat-")]
fn finds_rules_whose_streams_may_have_begun_elsewhere(
    #[case] configurations: &str,
    #[case] rerouted: &str,
) {
    let mut reroutes = Reroutes::default();
    let mut before: Vec<Rule> = Vec::new();
    for configuration in configurations.split(';') {
        let rules = configuration.split_whitespace();
        let rules = rules.filter_map(|text| text.split_once('='));
        let after: Vec<Rule> = rules.map(|(p, s)| rule(p, s)).collect();
        reroutes.apply(&before, &after);
        before = after;
    }
    let names = before.iter().map(|rule| rule.name.clone());
    let found: Vec<Name> = names.filter(|name| reroutes.contains(name)).collect();
    let expected: Vec<Name> = rerouted.split_whitespace().map(name).collect();
    assert_eq!(found, expected);
}

/// Guards against a stream that begins at a router of one data centre and goes on at the service to
/// which another data centre sends such requests.
#[test]
fn finds_rules_that_depend_on_the_data_centre() {
    let mut local = rule("/chat/", "a");
    local.when.data_centre = Some(name("dc-1"));
    local.name = name("local");
    let rules = [local, rule("/chat/", "b"), rule("/files/", "web")];
    let mut reroutes = Reroutes::default();
    reroutes.apply(&[], &rules);
    assert!(reroutes.contains(&name("local")));
    assert!(reroutes.contains(&name("r-chat-")));
    assert!(!reroutes.contains(&name("r-files-")));
}

/// Guards against routes of earlier configurations that take more and more memory, or are forgotten
/// and then count as routes that never were.
#[test]
fn bounds_the_routes_that_it_remembers() {
    let mut reroutes = Reroutes::default();
    let mut before = vec![rule("/chat/", "a")];
    reroutes.apply(&[], &before);
    for n in 0..PAST_MAX + 2 {
        let after = vec![rule("/chat/", "a"), rule(&format!("/x{n}/"), "web")];
        reroutes.apply(&before, &after);
        before = after;
    }
    assert!(!reroutes.contains(&name("r-chat-")));
    let new = vec![rule("/new/", "web")];
    reroutes.apply(&before, &new);
    assert!(reroutes.contains(&name("r-new-")));
}
