//! `cowslipford timeline`: merges the events of all processes into one timeline.

use super::client::Client;
use super::{page, Failure};
use crate::cli::Timeline;
use node::Dump;
use serde::Serialize;
use state::event::Event;
use state::id::{CustomerId, EndpointId, Name, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// An event and the VM on which it happened.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Line {
    pub(crate) vm: Name,
    #[serde(flatten)]
    pub(crate) event: Event,
}

/// Prints the merged timeline in the requested format.
pub(crate) fn run(args: &Timeline) -> Result<(), Failure> {
    let client = Client { key: &args.key };
    let mut dumps: Vec<Dump> = Vec::new();
    for peer in client.discover_fleet(args.operators)? {
        match client.get_json(peer.operators, "/events") {
            Ok(dump) => dumps.push(dump),
            Err(failure) => eprintln!("cowslipford: skipped {}: {failure}", peer.vm),
        }
    }
    let dropped: u64 = dumps.iter().map(|l| l.dropped).sum();
    let names = Names::read(&client, args)?;
    let lines = select(merge(dumps), args, &names)?;
    match args.format.as_str() {
        "text" => print_text(&lines, &names),
        "json" => print_json(&lines),
        "page" => print_line!("{}", page::render(&lines, &names).trim_end()),
        other => return Err(Failure::Input(format!("{other:?}: text, json or page"))),
    }
    if dropped > 0 {
        eprintln!("cowslipford: {dropped} older events are missing, as they were overwritten");
    }
    Ok(())
}

/// All events, sorted by hybrid timestamp so that a cause precedes its effects.
fn merge(dumps: Vec<Dump>) -> Vec<Line> {
    let mut lines: Vec<Line> = dumps
        .into_iter()
        .flat_map(|dump| {
            let vm = dump.vm;
            let line = move |event| Line {
                vm: vm.clone(),
                event,
            };
            dump.events.into_iter().map(line)
        })
        .collect();
    lines.sort_by(|a, b| (a.event.stamp, &a.vm).cmp(&(b.event.stamp, &b.vm)));
    lines
}

/// Customers and endpoints by name, with the ids that events carry.
pub(crate) struct Names {
    customers: BTreeMap<Name, CustomerId>,
    endpoints: BTreeMap<Name, EndpointId>,
}

impl Names {
    /// Reads the names from the process that the command line names.
    fn read(client: &Client<'_>, args: &Timeline) -> Result<Self, Failure> {
        /// Body of a response to `/names`.
        #[derive(serde::Deserialize)]
        struct Numbers {
            customers: BTreeMap<Name, CustomerId>,
            endpoints: BTreeMap<Name, EndpointId>,
        }
        let numbers: Numbers = client.get_json(args.operators, "/names")?;
        Ok(Names {
            customers: numbers.customers,
            endpoints: numbers.endpoints,
        })
    }

    /// The id of a customer or endpoint.
    fn find<K>(all: &BTreeMap<Name, K>, kind: &str, name: &str) -> Result<K, Failure>
    where
        K: Copy,
    {
        let found = Name::try_from(name).ok().and_then(|n| all.get(&n).copied());
        found.ok_or_else(|| Failure::Input(format!("no {kind} {name:?} is in force")))
    }

    /// Name of a customer, or its id if the name is unknown.
    pub(crate) fn customer(&self, id: CustomerId) -> String {
        let found = self.customers.iter().find(|(_, c)| **c == id);
        found.map_or_else(|| id.to_string(), |(name, _)| name.to_string())
    }

    /// Name of an endpoint, or its id if the name is unknown.
    pub(crate) fn endpoint(&self, id: EndpointId) -> String {
        let found = self.endpoints.iter().find(|(_, e)| **e == id);
        found.map_or_else(|| id.to_string(), |(name, _)| name.to_string())
    }
}

/// Keeps the events that match the filters of the command line.
fn select(lines: Vec<Line>, args: &Timeline, names: &Names) -> Result<Vec<Line>, Failure> {
    let customer = (args.customer.as_deref())
        .map(|name| Names::find(&names.customers, "customer", name))
        .transpose()?;
    let endpoint = (args.endpoint.as_deref())
        .map(|name| Names::find(&names.endpoints, "endpoint", name))
        .transpose()?;
    // Only some events of a request name its customer, so the ids of the customer's requests
    // are collected first.
    let requests: BTreeSet<RequestId> = (lines.iter())
        .filter(|l| customer.is_some() && l.event.customer == customer)
        .filter_map(|l| l.event.request)
        .collect();
    let newest = lines.last().map_or(0, |l| l.event.stamp.wall);
    let since = args
        .last
        .map(|ms| newest.saturating_sub(ms.saturating_mul(1000)));
    let keep = |line: &Line| {
        let event = &line.event;
        let of_request = |id: &RequestId| requests.contains(id);
        let by_request = args
            .request
            .as_deref()
            .is_none_or(|wanted| event.request.is_some_and(|id| id.to_string() == wanted));
        let by_customer = customer.is_none()
            || event.customer == customer
            || event.request.as_ref().is_some_and(of_request);
        by_request
            && by_customer
            && (endpoint.is_none() || event.endpoint == endpoint)
            && since.is_none_or(|since| event.stamp.wall >= since)
    };
    Ok(lines.into_iter().filter(keep).collect())
}

/// Prints one line per event, with the time since the first one.
fn print_text(lines: &[Line], names: &Names) {
    let first = lines.first().map_or(0, |l| l.event.stamp.wall);
    for line in lines {
        let event = &line.event;
        let ms = (event.stamp.wall - first) as f64 / 1000.0;
        let kind = kind_name(event);
        let mut text = format!("{ms:>12.3} ms  {:<12} {kind:<18}", line.vm);
        let mut add = |key: &str, value: Option<String>| {
            if let Some(value) = value {
                text.push_str(&format!(" {key}={value}"));
            }
        };
        add("request", event.request.map(|v| v.to_string()));
        add("customer", event.customer.map(|id| names.customer(id)));
        add("endpoint", event.endpoint.map(|id| names.endpoint(id)));
        add("peer", event.peer.as_ref().map(Name::to_string));
        add("version", event.version.map(|v| v.to_string()));
        add("epoch", event.epoch.map(|v| v.to_string()));
        print_line!("{text}");
    }
}

/// Prints one JSON object per event.
fn print_json(lines: &[Line]) {
    for line in lines {
        print_line!("{}", serde_json::to_string(line).unwrap_or_default());
    }
}

/// Name of an event's kind, as the JSON output has it.
pub(crate) fn kind_name(event: &Event) -> String {
    let value = serde_json::to_value(event.kind).unwrap_or_default();
    value.as_str().unwrap_or("").to_owned()
}
