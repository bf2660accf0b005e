//! `cowslipford status`: prints the state of all processes of the fleet.

use super::client::Client;
use super::Failure;
use crate::cli::Status;
use serde_json::Value;

/// Prints the state of each reachable process, and which ones lag behind the newest version.
pub(crate) fn run(args: &Status) -> Result<(), Failure> {
    let client = Client { key: &args.key };
    let fleet = client.discover_fleet(args.operators)?;
    let mut newest = 0;
    let mut pages = Vec::new();
    for peer in &fleet {
        match client.get_json::<Value>(peer.operators, "/status") {
            Ok(page) => {
                newest = newest.max(page["version"].as_u64().unwrap_or(0));
                pages.push(page);
            }
            Err(failure) => eprintln!("cowslipford: skipped {}: {failure}", peer.vm),
        }
    }
    for page in &pages {
        if args.json {
            print_line!("{page}");
        } else {
            print(page);
        }
    }
    if !args.json {
        report_lagging(&pages, newest);
    }
    Ok(())
}

/// What a quarantined fingerprint stands for.
fn describe(fingerprint: &str, page: &Value) -> String {
    let found = &page["quarantined-parts"][fingerprint];
    let Some(part) = found["part"].as_str() else {
        return "one request".to_owned();
    };
    match found["customer"].as_str() {
        Some(customer) => format!("prompts of {customer} with part {part}"),
        None => format!("prompts with part {part}"),
    }
}

/// Prints the status page of one process as text.
fn print(page: &Value) {
    let text = |v: &Value| v.as_str().unwrap_or("-").to_owned();
    let state = match (page["stopping"].as_bool(), page["ready"].as_bool()) {
        (Some(true), _) => "stopping",
        (_, Some(true)) => "ready",
        _ => "not ready",
    };
    print_line!(
        "{:<12} {:<9} version {} in progress {} parent {}",
        text(&page["vm"]),
        state,
        page["version"],
        page["held"],
        text(&page["parent"]),
    );
    for fingerprint in page["quarantined"].as_array().into_iter().flatten() {
        let fingerprint = text(fingerprint);
        let meaning = describe(&fingerprint, page);
        print_line!("  quarantined: {fingerprint} ({meaning})");
    }
    for data_centre in page["evacuated"].as_array().into_iter().flatten() {
        print_line!("  evacuated: {}", text(data_centre));
    }
    if let Some(control) = page["control"].as_object() {
        print_line!(
            "  control: {} term {} accepted {} voters {} learners {}",
            text(&control["role"]),
            control["term"],
            control["accepted"],
            control["voters"],
            control["learners"],
        );
    }
    for (customer, count) in page["waiting"].as_object().into_iter().flatten() {
        print_line!("  waiting: {customer} {count}");
    }
    for shard in page["local"].as_array().into_iter().flatten() {
        print_line!("  local: schedules {shard} itself, without a scheduler");
    }
    for epoch in page["schedulers"].as_array().into_iter().flatten() {
        print_line!(
            "  schedules {} since epoch {}: running {} of {} slots, waiting {}, routers {}",
            epoch["shard"],
            epoch["epoch"],
            epoch["running"],
            epoch["slots"],
            epoch["waiting"],
            epoch["routers"],
        );
        for (customer, level) in epoch["levels"].as_object().into_iter().flatten() {
            print_line!("    service received: {customer} {level}");
        }
    }
}

/// Prints which processes have a version older than the newest one.
fn report_lagging(pages: &[Value], newest: u64) {
    let behind = |p: &&Value| p["version"].as_u64().is_some_and(|v| v < newest);
    let lagging: Vec<&str> = pages
        .iter()
        .filter(behind)
        .filter_map(|p| p["vm"].as_str())
        .collect();
    if lagging.is_empty() {
        print_line!(
            "version {newest} is in force on all {} processes",
            pages.len()
        );
    } else {
        print_line!(
            "version {newest} is not yet in force on: {}",
            lagging.join(", ")
        );
    }
}
