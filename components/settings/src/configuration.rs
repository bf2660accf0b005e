//! Configuration files: customers, services, endpoints and rules.

use crate::section::{self, list, raw, Section};
use errors::{Error, Result};
use smallvec::SmallVec;
use state::config::{Cost, Customer, Draft, Endpoint, Limits, Rule, Service, Then, When};
use state::id::Name;
use std::fmt::Write;

raw!(RawCustomer {
    key_sha256,
    weight,
    services
});
raw!(RawService {
    cost,
    estimate,
    timeout,
    idempotent,
    load
});
raw!(RawEndpoint {
    service,
    address,
    data_centre,
    region,
    slots,
    lead
});
raw!(RawRule {
    when_customer,
    when_service,
    when_method,
    when_path,
    when_header,
    when_data_centre,
    when_size_min,
    when_size_max,
    then,
    service,
    reason,
    rate,
    concurrency,
    queue,
    timeout,
    weight,
    idempotent,
    retries,
});

/// Longest time-out, in milliseconds.
const TIMEOUT_MAX_MS: u64 = 3_600_000;
/// Time-out of a service that sets none, in milliseconds.
const TIMEOUT_MS: u64 = 60_000;

/// Reads and checks a configuration file.
///
/// # Errors
///
/// [`Error::Setting`] for the first bad line.
pub fn parse(file: &str, text: &str) -> Result<Draft> {
    let mut draft = Draft::default();
    let sections = section::read(file, text)?;
    for s in &sections {
        match s.kind.as_str() {
            "customer" => draft.customers.push(customer(s)?),
            "service" => draft.services.push(service(s)?),
            "endpoint" => draft.endpoints.push(endpoint(s)?),
            "rule" => draft.rules.push(rule(s)?),
            _ => {
                let allowed = "[customer NAME], [service NAME], [endpoint NAME] and [rule NAME]";
                return Err(s.wrong("(section)", &s.title, allowed));
            }
        }
    }
    draft.check().map_err(|found| Error::Setting {
        file: file.to_owned(),
        section: format!("{} {}", found.kind, found.name),
        key: found.key.to_owned(),
        value: found.value,
        allowed: found.allowed,
    })?;
    Ok(draft)
}

fn name(s: &Section) -> Result<Name> {
    Name::try_from(s.name.as_str()).map_err(|allowed| s.wrong("(section)", &s.name, allowed))
}

fn names(s: &Section, key: &str, value: &Option<String>) -> Result<SmallVec<[Name; 4]>> {
    let text = value.as_deref().unwrap_or("");
    let each = |part| Name::try_from(part).map_err(|allowed| s.wrong(key, text, allowed));
    list(text).map(each).collect()
}

fn optional_name(s: &Section, key: &str, value: &Option<String>) -> Result<Option<Name>> {
    value
        .as_ref()
        .map(|_| s.convert(key, value, "a name"))
        .transpose()
}

fn customer(s: &Section) -> Result<Customer> {
    let raw: RawCustomer = s.raw()?;
    Ok(Customer {
        name: name(s)?,
        key: s.convert(
            "key-sha256",
            &raw.key_sha256,
            "the SHA-256 of the customer's key",
        )?,
        weight: s.small("weight", &raw.weight, 1..=1000, 1)?,
        services: names(s, "services", &raw.services)?,
    })
}

fn service(s: &Section) -> Result<Service> {
    let raw: RawService = s.raw()?;
    let cost = match raw.cost.as_deref() {
        None | Some("request") => Cost::Request,
        Some("event") => Cost::Event,
        Some("time") => Cost::Time,
        Some(other) => return Err(s.wrong("cost", other, "request, event or time")),
    };
    if let Some(path) = raw.load.as_deref().filter(|p| !p.starts_with('/')) {
        return Err(s.wrong("load", path, "a path that begins with /"));
    }
    let estimate = if cost == Cost::Request { 1 } else { 100 };
    Ok(Service {
        name: name(s)?,
        cost,
        estimate: s.small("estimate", &raw.estimate, 1..=1_000_000, estimate)?,
        timeout_ms: s.millis("timeout", &raw.timeout, 10..=TIMEOUT_MAX_MS, TIMEOUT_MS)?,
        idempotent: s.flag("idempotent", &raw.idempotent)?.unwrap_or(false),
        load: raw.load,
    })
}

fn endpoint(s: &Section) -> Result<Endpoint> {
    let raw: RawEndpoint = s.raw()?;
    let address = "an IP number with a port, such as 127.0.0.1:9001";
    let region = Some(raw.region.unwrap_or_else(|| "main".to_owned()));
    Ok(Endpoint {
        name: name(s)?,
        service: s.convert("service", &raw.service, "the service that it serves")?,
        address: s.parse("address", &raw.address, address)?,
        data_centre: s.convert("data-centre", &raw.data_centre, "the data centre's name")?,
        region: s.convert("region", &region, "the region's name")?,
        slots: s.small("slots", &raw.slots, 1..=4096, 8)?,
        lead: s.small("lead", &raw.lead, 0..=64, 1)?,
    })
}

fn rule(s: &Section) -> Result<Rule> {
    let raw: RawRule = s.raw()?;
    let when = when(s, &raw)?;
    let then = then(s, &raw)?;
    Ok(Rule {
        name: name(s)?,
        when,
        then,
    })
}

fn when(s: &Section, raw: &RawRule) -> Result<When> {
    let methods = raw.when_method.as_deref().unwrap_or("");
    for method in list(methods) {
        if !method.bytes().all(|b| b.is_ascii_uppercase()) {
            return Err(s.wrong(
                "when-method",
                methods,
                "methods in upper case, such as GET, POST",
            ));
        }
    }
    if let Some(path) = raw.when_path.as_deref().filter(|p| !p.starts_with('/')) {
        return Err(s.wrong("when-path", path, "a prefix of the path that begins with /"));
    }
    let header = raw
        .when_header
        .as_deref()
        .map(|text| match text.split_once(':') {
            Some((name, value)) => (
                name.trim().to_ascii_lowercase(),
                Some(value.trim().to_owned()),
            ),
            None => (text.trim().to_ascii_lowercase(), None),
        });
    let size = |key, value: &Option<String>| -> Result<Option<u64>> {
        let number = |_| s.number(key, value, 0..=u64::MAX / 2, 0);
        value.as_ref().map(number).transpose()
    };
    Ok(When {
        customers: names(s, "when-customer", &raw.when_customer)?,
        service: optional_name(s, "when-service", &raw.when_service)?,
        methods: list(methods).map(str::to_owned).collect(),
        path: raw.when_path.clone(),
        header,
        data_centre: optional_name(s, "when-data-centre", &raw.when_data_centre)?,
        size_min: size("when-size-min", &raw.when_size_min)?,
        size_max: size("when-size-max", &raw.when_size_max)?,
    })
}

fn then(s: &Section, raw: &RawRule) -> Result<Then> {
    let small = |key, value: &Option<String>, max: u32| -> Result<Option<u32>> {
        let number = |_| s.small(key, value, 1..=max, 1);
        value.as_ref().map(number).transpose()
    };
    let limits = Limits {
        rate: small("rate", &raw.rate, 1_000_000)?,
        concurrency: small("concurrency", &raw.concurrency, 1_000_000)?,
        queue: small("queue", &raw.queue, 1 << 20)?,
    };
    let then = s.need("then", &raw.then, "send, limit or refuse")?;
    match then {
        "refuse" => {
            if limits != Limits::default() || raw.service.is_some() {
                return Err(s.wrong("then", then, "a refusal has only a reason"));
            }
            let reason = raw.reason.clone();
            return Ok(Then::Refuse {
                reason: reason.unwrap_or_else(|| "a rule refuses it".to_owned()),
            });
        }
        "limit" if limits == Limits::default() => {
            return Err(s.wrong("then", then, "a limit sets rate, concurrency or queue"));
        }
        "send" | "limit" => {}
        other => return Err(s.wrong("then", other, "send, limit or refuse")),
    }
    if let Some(reason) = &raw.reason {
        return Err(s.wrong("reason", reason, "only with then = refuse"));
    }
    let timeout = |_| s.millis("timeout", &raw.timeout, 10..=TIMEOUT_MAX_MS, TIMEOUT_MS);
    let retries = |_| s.small("retries", &raw.retries, 0..=10, 2);
    Ok(Then::Send {
        service: s.convert("service", &raw.service, "the service that receives it")?,
        limits,
        timeout_ms: raw.timeout.as_ref().map(timeout).transpose()?,
        weight: small("weight", &raw.weight, 1000)?,
        idempotent: s.flag("idempotent", &raw.idempotent)?,
        retries: raw.retries.as_ref().map(retries).transpose()?,
    })
}

/// Prints a configuration as a file that [`parse`] reads back.
pub fn print(draft: &Draft) -> String {
    let mut out = String::new();
    for c in &draft.customers {
        head(&mut out, "customer", &c.name);
        line(&mut out, "key-sha256", &c.key.hex());
        line(&mut out, "weight", &c.weight);
        line(&mut out, "services", &join(&c.services));
    }
    for s in &draft.services {
        head(&mut out, "service", &s.name);
        let cost = match s.cost {
            Cost::Request => "request",
            Cost::Event => "event",
            Cost::Time => "time",
        };
        line(&mut out, "cost", &cost);
        line(&mut out, "estimate", &s.estimate);
        line(&mut out, "timeout", &format_args!("{}ms", s.timeout_ms));
        line(&mut out, "idempotent", &yes(s.idempotent));
        option(&mut out, "load", s.load.as_ref());
    }
    for e in &draft.endpoints {
        head(&mut out, "endpoint", &e.name);
        line(&mut out, "service", &e.service);
        line(&mut out, "address", &e.address);
        line(&mut out, "data-centre", &e.data_centre);
        line(&mut out, "region", &e.region);
        line(&mut out, "slots", &e.slots);
        line(&mut out, "lead", &e.lead);
    }
    for r in &draft.rules {
        head(&mut out, "rule", &r.name);
        print_when(&mut out, &r.when);
        print_then(&mut out, &r.then);
    }
    out
}

fn print_when(out: &mut String, when: &When) {
    if !when.customers.is_empty() {
        line(out, "when-customer", &join(&when.customers));
    }
    option(out, "when-service", when.service.as_ref());
    if !when.methods.is_empty() {
        line(out, "when-method", &when.methods.join(", "));
    }
    option(out, "when-path", when.path.as_ref());
    match &when.header {
        Some((name, Some(value))) => line(out, "when-header", &format_args!("{name}: {value}")),
        Some((name, None)) => line(out, "when-header", name),
        None => {}
    }
    option(out, "when-data-centre", when.data_centre.as_ref());
    option(out, "when-size-min", when.size_min.as_ref());
    option(out, "when-size-max", when.size_max.as_ref());
}

fn print_then(out: &mut String, then: &Then) {
    match then {
        Then::Refuse { reason } => {
            line(out, "then", &"refuse");
            line(out, "reason", reason);
        }
        Then::Send {
            service,
            limits,
            timeout_ms,
            weight,
            idempotent,
            retries,
        } => {
            line(out, "then", &"send");
            line(out, "service", service);
            option(out, "rate", limits.rate.as_ref());
            option(out, "concurrency", limits.concurrency.as_ref());
            option(out, "queue", limits.queue.as_ref());
            option(
                out,
                "timeout",
                timeout_ms.map(|ms| format!("{ms}ms")).as_ref(),
            );
            option(out, "weight", weight.as_ref());
            option(out, "idempotent", idempotent.map(yes).as_ref());
            option(out, "retries", retries.as_ref());
        }
    }
}

fn yes(flag: bool) -> &'static str {
    if flag {
        "yes"
    } else {
        "no"
    }
}

fn join(names: &[Name]) -> String {
    let all: Vec<&str> = names.iter().map(Name::as_str).collect();
    all.join(", ")
}

fn head(out: &mut String, kind: &str, name: &Name) {
    if !out.is_empty() {
        out.push('\n');
    }
    // Writing to a `String` cannot fail.
    let _ = writeln!(out, "[{kind} {name}]");
}

fn line<V>(out: &mut String, key: &str, value: &V)
where
    V: std::fmt::Display + ?Sized,
{
    let _ = writeln!(out, "{key} = {value}");
}

fn option<V>(out: &mut String, key: &str, value: Option<&V>)
where
    V: std::fmt::Display,
{
    if let Some(value) = value {
        line(out, key, value);
    }
}
