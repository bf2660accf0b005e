//! Regions to which customers and rules are restricted, in a fleet of two regions.

mod harness;

use harness::{Fleet, Plan};

/// A fleet in regions `main` and `region-1`, with an endpoint in each. Requests of customer
/// `alpha` and those to `/short` are restricted to `region-1`, those to `/main` to `main`.
fn fleet() -> Fleet {
    let fleet = Fleet::start(Plan {
        control: 1,
        routers: 2,
        regions: 2,
        models: 2,
        plain_services: 0,
        ..Plan::default()
    });
    let text = fleet.configuration();
    let (first, second) = text
        .split_once("[endpoint assistant-2]")
        .unwrap_or_default();
    let first = first.replacen("[customer beta]", "regions = region-1\n[customer beta]", 1);
    let second = second.replacen("dc-1", "dc-2\nregion = region-1", 1);
    let second = second.replacen("timeout = 300ms", "timeout = 2s\nregions = region-1", 1);
    let rule = "[rule main]\nwhen-path = /main\nthen = send\nservice = assistant\nregions = main\n";
    let second = format!("{second}{rule}");
    let (status, _, error) = fleet.apply(&format!("{first}[endpoint assistant-2]{second}"), &[]);
    assert!(status.success(), "{error}");
    fleet.wait_version(fleet.version());
    fleet
}

/// Number of calls that have reached a stand-in.
fn calls(fleet: &Fleet, endpoint: &str) -> u64 {
    fleet.counts(endpoint)["calls"].as_u64().unwrap_or(0)
}

/// Guards against requests that are served outside of their permitted regions, through any
/// router, also while no endpoint in these regions is available.
#[test]
fn can_serve_a_request_in_its_permitted_regions_only() {
    let mut fleet = fleet();
    let calls_in_main = calls(&fleet, "assistant-1");
    let calls_in_region_1 = calls(&fleet, "assistant-2");
    for turn in 0..10 {
        let router = format!("r{}", 1 + turn % 2);
        for (customer, path) in [("alpha", "/assistant"), ("beta", "/short")] {
            let answer = fleet.call(&router, customer, path, &[], "hello");
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    }
    assert_eq!(calls(&fleet, "assistant-1"), calls_in_main);
    assert_eq!(calls(&fleet, "assistant-2"), calls_in_region_1 + 20);
    // The customer and the rule have no permitted region in common.
    let answer = fleet.call("r1", "alpha", "/main", &[], "hello");
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    fleet.kill_stand_in(1);
    for turn in 0..6 {
        let router = format!("r{}", 1 + turn % 2);
        let answer = fleet.call(&router, "beta", "/short", &[], "hello");
        assert_ne!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(calls(&fleet, "assistant-1"), calls_in_main);
}
