//! Differences between two configurations, for rules.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use state::config::{Config, Draft, Rule, Then, When};
use state::delta::{Delta, Run};
use state::id::Name;

fn rule(number: u32, reason: u32) -> Rule {
    Rule {
        name: Name::try_from(format!("r-{number}")).unwrap(),
        when: When::default(),
        then: Then::Refuse {
            reason: reason.to_string(),
        },
    }
}

fn draft(rules: &[Rule]) -> Draft {
    Draft {
        rules: rules.to_vec(),
        ..Draft::default()
    }
}

/// Number of rules that a delta carries in full.
fn full_rules(delta: &Delta) -> usize {
    let runs = delta.rules.iter().flatten();
    let new = runs.map(|run| match run {
        Run::New(rules) => rules.len(),
        Run::Kept { .. } => 0,
    });
    new.sum()
}

/// Guards against sending hundreds of rules to all processes whenever one of them changes.
#[test]
fn a_delta_carries_only_the_changed_rule() {
    let mut config = Config::default();
    let mut rules: Vec<Rule> = (0..1000).map(|n| rule(n, 0)).collect();
    Delta::between(&config, &draft(&rules)).apply(&mut config);
    rules[400] = rule(400, 1);
    let delta = Delta::between(&config, &draft(&rules));
    assert_eq!(
        (full_rules(&delta), delta.rules.as_ref().unwrap().len()),
        (1, 3)
    );
    delta.apply(&mut config);
    assert_eq!(config.rules, rules);
    assert_eq!(Delta::between(&config, &draft(&rules)).rules, None);
}

/// Guards against rules that are lost or reordered by any sequence of changes.
#[test]
fn applies_any_change_of_rules() {
    for seed in 0..200 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut config = Config::default();
        let mut rules: Vec<Rule> = (0..30).map(|n| rule(n, 0)).collect();
        let mut next = 30;
        for _ in 0..20 {
            match random.random_range(0..5) {
                0 => rules.shuffle(&mut random),
                1 => rules.truncate(random.random_range(0..=rules.len())),
                2 => {
                    let at = random.random_range(0..=rules.len());
                    rules.insert(at, rule(next, 0));
                    next += 1;
                }
                3 if !rules.is_empty() => {
                    let at = random.random_range(0..rules.len());
                    let name = rules[at].name.clone();
                    rules[at] = Rule {
                        name,
                        ..rule(0, random.random())
                    };
                }
                _ => {}
            }
            Delta::between(&config, &draft(&rules)).apply(&mut config);
            assert_eq!(config.rules, rules, "seed {seed}");
        }
    }
}
