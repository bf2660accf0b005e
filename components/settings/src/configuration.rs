//! Configuration files: customers, services, endpoints and rules.

use crate::section::{self, list, raw, Section};
use errors::{Error, Result};
use smallvec::SmallVec;
use state::config::{
    Cold, Cost, Customer, Draft, Endpoint, Engine, Forward, Limits, Rule, Service, Target, Then,
    When,
};
use state::id::Name;
use state::secret::Hash;
use std::fmt::Write;

raw!(RawCustomer {
    key_sha256,
    weight,
    priority,
    services,
    regions
});
raw!(RawService {
    cost,
    estimate,
    timeout,
    idempotent,
    load,
    connections,
    memory_tokens,
    event_tokens,
    copy_tokens_per_s,
    cold_rate,
    cold_time
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
    when_host,
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
    aim,
    weight,
    priority,
    idempotent,
    retries,
    anonymous,
    resume,
    regions,
});

/// Longest time-out, in milliseconds.
const TIMEOUT_MAX_MS: u64 = 3_600_000;
/// Largest weight of a service in a rule.
const WEIGHT_MAX: u32 = 1_000_000;
/// Time for which endpoints of a service with `cold-rate` stay cold, unless it is set, in
/// milliseconds.
const COLD_MS: u64 = 5000;
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
        keys: keys(s, &raw.key_sha256)?,
        weight: s.small("weight", &raw.weight, 1..=1000, 1)?,
        priority: priority(s, &raw.priority)?,
        services: names(s, "services", &raw.services)?,
        regions: names(s, "regions", &raw.regions)?.into_iter().collect(),
    })
}

fn keys(s: &Section, value: &Option<String>) -> Result<SmallVec<[Hash; 2]>> {
    let what = "the SHA-256 of the customer's key, or several";
    let text = s.need("key-sha256", value, what)?;
    let each = |part| Hash::try_from(part).map_err(|allowed| s.wrong("key-sha256", text, allowed));
    list(text).map(each).collect()
}

fn priority(s: &Section, value: &Option<String>) -> Result<Option<u8>> {
    let number = |_| s.small("priority", value, 0..=u32::from(u8::MAX), 0);
    let number = value.as_ref().map(number).transpose()?;
    Ok(number.map(|n| u8::try_from(n).unwrap_or(u8::MAX)))
}

fn service(s: &Section) -> Result<Service> {
    let raw: RawService = s.raw()?;
    let cost = match raw.cost.as_deref() {
        None | Some("request") => Cost::Request,
        Some("event") => Cost::Event,
        Some("time") => Cost::Time,
        Some("token") => Cost::Token,
        Some(other) => return Err(s.wrong("cost", other, "request, event, time or token")),
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
        connections: optional(s, "connections", &raw.connections, 1 << 20)?,
        engine: engine(s, &raw)?,
        cold: cold(s, &raw)?,
        load: raw.load,
    })
}

fn engine(s: &Section, raw: &RawService) -> Result<Option<Engine>> {
    if raw.memory_tokens.is_none() {
        return Ok(None);
    }
    Ok(Some(Engine {
        memory_tokens: s.number("memory-tokens", &raw.memory_tokens, 1..=1 << 40, 1)?,
        event_tokens: s.small("event-tokens", &raw.event_tokens, 1..=1 << 16, 1)?,
        copy_tokens_per_s: optional(s, "copy-tokens-per-s", &raw.copy_tokens_per_s, u32::MAX)?,
    }))
}

fn cold(s: &Section, raw: &RawService) -> Result<Option<Cold>> {
    let Some(text) = raw.cold_rate.as_deref() else {
        return match &raw.cold_time {
            None => Ok(None),
            Some(time) => Err(s.wrong("cold-time", time, "only with cold-rate")),
        };
    };
    let allowed = "requests a second, 0.001 to 1000000, such as 8.5";
    let rate = text
        .parse()
        .ok()
        .filter(|rate| (0.001..=1e6).contains(rate));
    let rate: f64 = rate.ok_or_else(|| s.wrong("cold-rate", text, allowed))?;
    Ok(Some(Cold {
        // CAST: at most 10^9, by the bounds.
        rate: (rate * 1000.0).round() as u32,
        for_ms: s.millis("cold-time", &raw.cold_time, 0..=3_600_000, COLD_MS)?,
    }))
}

fn optional(s: &Section, key: &str, value: &Option<String>, max: u32) -> Result<Option<u32>> {
    let number = |_| s.small(key, value, 1..=max, 1);
    value.as_ref().map(number).transpose()
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
        prefetch: s.small("lead", &raw.lead, 0..=64, 1)?,
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
        host: raw.when_host.as_ref().map(|h| h.to_ascii_lowercase()),
        path: raw.when_path.clone(),
        header,
        data_centre: optional_name(s, "when-data-centre", &raw.when_data_centre)?,
        size_min: size("when-size-min", &raw.when_size_min)?,
        size_max: size("when-size-max", &raw.when_size_max)?,
    })
}

fn then(s: &Section, raw: &RawRule) -> Result<Then> {
    let small = |key, value: &Option<String>, max: u32| optional(s, key, value, max);
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
    let aim = |_| s.millis("aim", &raw.aim, 1..=TIMEOUT_MAX_MS, TIMEOUT_MS);
    Ok(Then::Send(Box::new(Forward {
        services: parts(s, &raw.service)?,
        limits,
        timeout_ms: raw.timeout.as_ref().map(timeout).transpose()?,
        aim_ms: raw.aim.as_ref().map(aim).transpose()?,
        weight: small("weight", &raw.weight, 1000)?,
        priority: priority(s, &raw.priority)?.unwrap_or(0),
        idempotent: s.flag("idempotent", &raw.idempotent)?,
        retries: raw.retries.as_ref().map(retries).transpose()?,
        anonymous: s.flag("anonymous", &raw.anonymous)?.unwrap_or(false),
        resume: s.flag("resume", &raw.resume)?.unwrap_or(false),
        regions: names(s, "regions", &raw.regions)?.into_iter().collect(),
    })))
}

/// One service, or several with their weights: `a:90, b:10`.
fn parts(s: &Section, value: &Option<String>) -> Result<SmallVec<[Target; 1]>> {
    let what = "the service that receives it, or several as NAME:WEIGHT, NAME:WEIGHT";
    let text = s.need("service", value, what)?;
    let each = |part: &str| {
        let (name, weight) = part.split_once(':').unwrap_or((part, "1"));
        let service = Name::try_from(name.trim()).map_err(|a| s.wrong("service", text, a))?;
        let weight = weight.trim().parse().ok().filter(|w| *w <= WEIGHT_MAX);
        let weight = weight.ok_or_else(|| s.wrong("service", text, what))?;
        Ok(Target { service, weight })
    };
    list(text).map(each).collect()
}

/// Prints a configuration as a file that [`parse`] reads back.
pub fn print(draft: &Draft) -> String {
    let mut out = String::new();
    for c in &draft.customers {
        head(&mut out, "customer", &c.name);
        let keys: Vec<String> = c.keys.iter().map(Hash::hex).collect();
        line(&mut out, "key-sha256", &keys.join(", "));
        line(&mut out, "weight", &c.weight);
        option(&mut out, "priority", c.priority.as_ref());
        line(&mut out, "services", &join(&c.services));
        print_regions(&mut out, &c.regions);
    }
    for s in &draft.services {
        head(&mut out, "service", &s.name);
        let cost = match s.cost {
            Cost::Request => "request",
            Cost::Event => "event",
            Cost::Time => "time",
            Cost::Token => "token",
        };
        line(&mut out, "cost", &cost);
        line(&mut out, "estimate", &s.estimate);
        line(&mut out, "timeout", &format_args!("{}ms", s.timeout_ms));
        line(&mut out, "idempotent", &yes(s.idempotent));
        option(&mut out, "load", s.load.as_ref());
        option(&mut out, "connections", s.connections.as_ref());
        let engine = s.engine.as_ref();
        let memory = engine.map(|e| e.memory_tokens);
        let event = engine.map(|e| e.event_tokens);
        option(&mut out, "memory-tokens", memory.as_ref());
        option(&mut out, "event-tokens", event.as_ref());
        let copy = engine.and_then(|e| e.copy_tokens_per_s);
        option(&mut out, "copy-tokens-per-s", copy.as_ref());
        if let Some(cold) = s.cold {
            line(&mut out, "cold-rate", &(f64::from(cold.rate) / 1000.0));
            line(&mut out, "cold-time", &format_args!("{}ms", cold.for_ms));
        }
    }
    for e in &draft.endpoints {
        head(&mut out, "endpoint", &e.name);
        line(&mut out, "service", &e.service);
        line(&mut out, "address", &e.address);
        line(&mut out, "data-centre", &e.data_centre);
        line(&mut out, "region", &e.region);
        line(&mut out, "slots", &e.slots);
        line(&mut out, "lead", &e.prefetch);
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
    option(out, "when-host", when.host.as_ref());
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
        Then::Send(send) => print_send(out, send),
    }
}

fn print_send(out: &mut String, send: &Forward) {
    let millis = |ms: Option<u64>| ms.map(|ms| format!("{ms}ms"));
    line(out, "then", &"send");
    match send.services.as_slice() {
        [Target { service, weight: 1 }] => line(out, "service", service),
        parts => {
            let parts: Vec<String> = (parts.iter())
                .map(|p| format!("{}:{}", p.service, p.weight))
                .collect();
            line(out, "service", &parts.join(", "));
        }
    }
    option(out, "rate", send.limits.rate.as_ref());
    option(out, "concurrency", send.limits.concurrency.as_ref());
    option(out, "queue", send.limits.queue.as_ref());
    option(out, "timeout", millis(send.timeout_ms).as_ref());
    option(out, "aim", millis(send.aim_ms).as_ref());
    option(out, "weight", send.weight.as_ref());
    if send.priority > 0 {
        line(out, "priority", &send.priority);
    }
    option(out, "idempotent", send.idempotent.map(yes).as_ref());
    option(out, "retries", send.retries.as_ref());
    for (key, set) in [("anonymous", send.anonymous), ("resume", send.resume)] {
        if set {
            line(out, key, &yes(set));
        }
    }
    print_regions(out, &send.regions);
}

fn print_regions(out: &mut String, regions: &[Name]) {
    if !regions.is_empty() {
        line(out, "regions", &join(regions));
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
