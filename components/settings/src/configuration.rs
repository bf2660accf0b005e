//! Configuration files: parses and prints customers, services, endpoints and rules.

use crate::section::{self, raw_section, split_list, Section};
use errors::{Error, Result};
use smallvec::SmallVec;
use state::config::{
    Cold, Cost, Customer, Draft, Endpoint, Engine, Forward, Limits, Rule, Service, Target, Then,
    When,
};
use state::id::{Name, Software};
use state::secret::Hash;
use std::fmt::Write;

raw_section!(RawCustomer {
    key_sha256,
    weight,
    priority,
    services,
    regions
});
raw_section!(RawService {
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
raw_section!(RawEndpoint {
    service,
    address,
    data_centre,
    region,
    slots,
    lead
});
raw_section!(RawRule {
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
    max_gap,
});

/// Longest timeout of a service or rule, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Largest weight of a service in a rule.
const MAX_WEIGHT: u32 = 1_000_000;
/// Default of `cold-time`, for which the endpoints of a service with `cold-rate` stay cold,
/// in milliseconds.
const DEFAULT_COLD_TIME_MS: u64 = 5000;
/// Default timeout of a service, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;

/// Parses and validates the text of a configuration file; `file` names it in errors.
///
/// # Errors
///
/// [`Error::Setting`] for the first invalid line or contradiction.
pub fn parse(file: &str, text: &str) -> Result<Draft> {
    let mut draft = Draft::default();
    let sections = section::parse_sections(file, text)?;
    for s in &sections {
        match s.kind.as_str() {
            "customer" => draft.customers.push(customer(s)?),
            "service" => draft.services.push(service(s)?),
            "endpoint" => draft.endpoints.push(endpoint(s)?),
            "rule" => draft.rules.push(rule(s)?),
            _ => {
                let allowed = "[customer NAME], [service NAME], [endpoint NAME] and [rule NAME]";
                return Err(s.invalid("(section)", &s.title, allowed));
            }
        }
    }
    draft.check().map_err(|contradiction| Error::Setting {
        file: file.to_owned(),
        section: format!("{} {}", contradiction.kind, contradiction.name),
        key: contradiction.key.to_owned(),
        value: contradiction.value,
        allowed: contradiction.allowed,
    })?;
    Ok(draft)
}

/// Reads the name in the title of a section.
fn name(s: &Section) -> Result<Name> {
    Name::try_from(s.name.as_str()).map_err(|allowed| s.invalid("(section)", &s.name, allowed))
}

/// Reads a comma-separated list of names; an absent key gives an empty list.
fn names(s: &Section, key: &str, value: &Option<String>) -> Result<SmallVec<[Name; 4]>> {
    let text = value.as_deref().unwrap_or("");
    let each = |part| Name::try_from(part).map_err(|allowed| s.invalid(key, text, allowed));
    split_list(text).map(each).collect()
}

fn optional_name(s: &Section, key: &str, value: &Option<String>) -> Result<Option<Name>> {
    value
        .as_ref()
        .map(|_| s.convert(key, value, "a name"))
        .transpose()
}

fn customer(s: &Section) -> Result<Customer> {
    let raw: RawCustomer = s.deserialize()?;
    Ok(Customer {
        name: name(s)?,
        keys: keys(s, &raw.key_sha256)?,
        weight: s.number_u32("weight", &raw.weight, 1..=1000, 1)?,
        priority: priority(s, &raw.priority)?,
        services: names(s, "services", &raw.services)?,
        regions: names(s, "regions", &raw.regions)?.into_iter().collect(),
    })
}

/// Reads the hashes of the keys of a customer.
fn keys(s: &Section, value: &Option<String>) -> Result<SmallVec<[Hash; 2]>> {
    let what = "the SHA-256 of the customer's key, or several";
    let text = s.required("key-sha256", value, what)?;
    let each =
        |part| Hash::try_from(part).map_err(|allowed| s.invalid("key-sha256", text, allowed));
    split_list(text).map(each).collect()
}

fn priority(s: &Section, value: &Option<String>) -> Result<Option<u8>> {
    let number = |_| s.number_u32("priority", value, 0..=u32::from(u8::MAX), 0);
    let number = value.as_ref().map(number).transpose()?;
    Ok(number.map(|n| u8::try_from(n).unwrap_or(u8::MAX)))
}

fn service(s: &Section) -> Result<Service> {
    let raw: RawService = s.deserialize()?;
    let cost = match raw.cost.as_deref() {
        None | Some("request") => Cost::Request,
        Some("event") => Cost::Event,
        Some("time") => Cost::Time,
        Some("token") => Cost::Token,
        Some(other) => return Err(s.invalid("cost", other, "request, event, time or token")),
    };
    if let Some(path) = raw.load.as_deref().filter(|p| !p.starts_with('/')) {
        return Err(s.invalid("load", path, "a path that begins with /"));
    }
    let estimate = if cost == Cost::Request { 1 } else { 100 };
    Ok(Service {
        name: name(s)?,
        cost,
        estimate: s.number_u32("estimate", &raw.estimate, 1..=1_000_000, estimate)?,
        timeout_ms: s.duration_ms(
            "timeout",
            &raw.timeout,
            10..=MAX_TIMEOUT_MS,
            DEFAULT_TIMEOUT_MS,
        )?,
        idempotent: s.flag("idempotent", &raw.idempotent)?.unwrap_or(false),
        connections: optional_number(s, "connections", &raw.connections, 1 << 20)?,
        engine: engine(s, &raw)?,
        cold: cold(s, &raw)?,
        load: raw.load,
    })
}

/// Reads the memory and copy rate of a model engine, if `memory-tokens` is set.
fn engine(s: &Section, raw: &RawService) -> Result<Option<Engine>> {
    if raw.memory_tokens.is_none() {
        return Ok(None);
    }
    Ok(Some(Engine {
        memory_tokens: s.number("memory-tokens", &raw.memory_tokens, 1..=1 << 40, 1)?,
        event_tokens: s.number_u32("event-tokens", &raw.event_tokens, 1..=1 << 16, 1)?,
        copy_tokens_per_s: optional_number(
            s,
            "copy-tokens-per-s",
            &raw.copy_tokens_per_s,
            u32::MAX,
        )?,
    }))
}

/// Reads the rate limit of cold endpoints, if `cold-rate` is set.
fn cold(s: &Section, raw: &RawService) -> Result<Option<Cold>> {
    let Some(text) = raw.cold_rate.as_deref() else {
        return match &raw.cold_time {
            None => Ok(None),
            Some(time) => Err(s.invalid("cold-time", time, "only with cold-rate")),
        };
    };
    let allowed = "requests a second, 0.001 to 1000000, such as 8.5";
    let rate = text
        .parse()
        .ok()
        .filter(|rate| (0.001..=1e6).contains(rate));
    let rate: f64 = rate.ok_or_else(|| s.invalid("cold-rate", text, allowed))?;
    Ok(Some(Cold {
        // CAST: at most 10^9, by the bounds.
        rate: (rate * 1000.0).round() as u32,
        for_ms: s.duration_ms(
            "cold-time",
            &raw.cold_time,
            0..=3_600_000,
            DEFAULT_COLD_TIME_MS,
        )?,
    }))
}

/// Reads a number from 1 to `max`, if the key is set.
fn optional_number(
    s: &Section,
    key: &str,
    value: &Option<String>,
    max: u32,
) -> Result<Option<u32>> {
    let number = |_| s.number_u32(key, value, 1..=max, 1);
    value.as_ref().map(number).transpose()
}

fn endpoint(s: &Section) -> Result<Endpoint> {
    let raw: RawEndpoint = s.deserialize()?;
    let address = "an IP number with a port, such as 127.0.0.1:9001";
    let region = Some(raw.region.unwrap_or_else(|| "main".to_owned()));
    Ok(Endpoint {
        name: name(s)?,
        service: s.convert("service", &raw.service, "the service that it serves")?,
        address: s.parse("address", &raw.address, address)?,
        data_centre: s.convert("data-centre", &raw.data_centre, "the data centre's name")?,
        region: s.convert("region", &region, "the region's name")?,
        slots: s.number_u32("slots", &raw.slots, 1..=4096, 8)?,
        prefetch: s.number_u32("lead", &raw.lead, 0..=64, 1)?,
        software: Software::UNSTATED,
    })
}

fn rule(s: &Section) -> Result<Rule> {
    let raw: RawRule = s.deserialize()?;
    let when = when(s, &raw)?;
    let then = then(s, &raw)?;
    Ok(Rule {
        name: name(s)?,
        when,
        then,
    })
}

/// Reads the conditions of a rule.
fn when(s: &Section, raw: &RawRule) -> Result<When> {
    let methods = raw.when_method.as_deref().unwrap_or("");
    for method in split_list(methods) {
        if !method.bytes().all(|b| b.is_ascii_uppercase()) {
            return Err(s.invalid(
                "when-method",
                methods,
                "methods in upper case, such as GET, POST",
            ));
        }
    }
    if let Some(path) = raw.when_path.as_deref().filter(|p| !p.starts_with('/')) {
        return Err(s.invalid("when-path", path, "a prefix of the path that begins with /"));
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
        methods: split_list(methods).map(str::to_owned).collect(),
        host: raw.when_host.as_ref().map(|h| h.to_ascii_lowercase()),
        path: raw.when_path.clone(),
        header,
        data_centre: optional_name(s, "when-data-centre", &raw.when_data_centre)?,
        size_min: size("when-size-min", &raw.when_size_min)?,
        size_max: size("when-size-max", &raw.when_size_max)?,
    })
}

/// Reads the action of a rule.
fn then(s: &Section, raw: &RawRule) -> Result<Then> {
    let number = |key, value: &Option<String>, max: u32| optional_number(s, key, value, max);
    let limits = Limits {
        rate: number("rate", &raw.rate, 1_000_000)?,
        concurrency: number("concurrency", &raw.concurrency, 1_000_000)?,
        queue: number("queue", &raw.queue, 1 << 20)?,
    };
    let then = s.required("then", &raw.then, "send, limit or refuse")?;
    match then {
        "refuse" => {
            if limits != Limits::default() || raw.service.is_some() {
                return Err(s.invalid("then", then, "a refusal has only a reason"));
            }
            if let Some(gap) = &raw.max_gap {
                return Err(s.invalid("max-gap", gap, "only with then = send or limit"));
            }
            let reason = raw.reason.clone();
            return Ok(Then::Refuse {
                reason: reason.unwrap_or_else(|| "a rule refuses it".to_owned()),
            });
        }
        "limit" if limits == Limits::default() => {
            return Err(s.invalid("then", then, "a limit sets rate, concurrency or queue"));
        }
        "send" | "limit" => {}
        other => return Err(s.invalid("then", other, "send, limit or refuse")),
    }
    if let Some(reason) = &raw.reason {
        return Err(s.invalid("reason", reason, "only with then = refuse"));
    }
    let timeout = |_| {
        s.duration_ms(
            "timeout",
            &raw.timeout,
            10..=MAX_TIMEOUT_MS,
            DEFAULT_TIMEOUT_MS,
        )
    };
    let retries = |_| s.number_u32("retries", &raw.retries, 0..=10, 2);
    let aim = |_| s.duration_ms("aim", &raw.aim, 1..=MAX_TIMEOUT_MS, DEFAULT_TIMEOUT_MS);
    let gap = |_| {
        s.duration_ms(
            "max-gap",
            &raw.max_gap,
            1..=MAX_TIMEOUT_MS,
            DEFAULT_TIMEOUT_MS,
        )
    };
    let max_gap_ms = raw.max_gap.as_ref().map(gap).transpose()?;
    let forward = Forward {
        services: targets(s, &raw.service)?,
        limits,
        timeout_ms: raw.timeout.as_ref().map(timeout).transpose()?,
        aim_ms: raw.aim.as_ref().map(aim).transpose()?,
        weight: number("weight", &raw.weight, 1000)?,
        priority: priority(s, &raw.priority)?.unwrap_or(0),
        idempotent: s.flag("idempotent", &raw.idempotent)?,
        retries: raw.retries.as_ref().map(retries).transpose()?,
        anonymous: s.flag("anonymous", &raw.anonymous)?.unwrap_or(false),
        resume: s.flag("resume", &raw.resume)?.unwrap_or(false),
        regions: names(s, "regions", &raw.regions)?.into_iter().collect(),
    };
    Ok(Then::new(forward, max_gap_ms))
}

/// Reads the services that a rule sends to: one name, or several with weights such as
/// `a:90, b:10`.
fn targets(s: &Section, value: &Option<String>) -> Result<SmallVec<[Target; 1]>> {
    let what = "the service that receives it, or several as NAME:WEIGHT, NAME:WEIGHT";
    let text = s.required("service", value, what)?;
    let each = |part: &str| {
        let (name, weight) = part.split_once(':').unwrap_or((part, "1"));
        let service = Name::try_from(name.trim()).map_err(|a| s.invalid("service", text, a))?;
        let weight = weight.trim().parse().ok().filter(|w| *w <= MAX_WEIGHT);
        let weight = weight.ok_or_else(|| s.invalid("service", text, what))?;
        Ok(Target { service, weight })
    };
    split_list(text).map(each).collect()
}

/// Prints a configuration in the format of [`parse`], which reads the same configuration
/// back.
pub fn print(draft: &Draft) -> String {
    let mut out = String::new();
    for c in &draft.customers {
        write_title(&mut out, "customer", &c.name);
        let keys: Vec<String> = c.keys.iter().map(Hash::hex).collect();
        write_pair(&mut out, "key-sha256", &keys.join(", "));
        write_pair(&mut out, "weight", &c.weight);
        write_optional(&mut out, "priority", c.priority.as_ref());
        write_pair(&mut out, "services", &join_names(&c.services));
        print_regions(&mut out, &c.regions);
    }
    for s in &draft.services {
        write_title(&mut out, "service", &s.name);
        let cost = match s.cost {
            Cost::Request => "request",
            Cost::Event => "event",
            Cost::Time => "time",
            Cost::Token => "token",
        };
        write_pair(&mut out, "cost", &cost);
        write_pair(&mut out, "estimate", &s.estimate);
        write_pair(&mut out, "timeout", &format_args!("{}ms", s.timeout_ms));
        write_pair(&mut out, "idempotent", &yes_or_no(s.idempotent));
        write_optional(&mut out, "load", s.load.as_ref());
        write_optional(&mut out, "connections", s.connections.as_ref());
        let engine = s.engine.as_ref();
        let memory = engine.map(|e| e.memory_tokens);
        let event = engine.map(|e| e.event_tokens);
        write_optional(&mut out, "memory-tokens", memory.as_ref());
        write_optional(&mut out, "event-tokens", event.as_ref());
        let copy = engine.and_then(|e| e.copy_tokens_per_s);
        write_optional(&mut out, "copy-tokens-per-s", copy.as_ref());
        if let Some(cold) = s.cold {
            write_pair(&mut out, "cold-rate", &(f64::from(cold.rate) / 1000.0));
            write_pair(&mut out, "cold-time", &format_args!("{}ms", cold.for_ms));
        }
    }
    for e in &draft.endpoints {
        write_title(&mut out, "endpoint", &e.name);
        write_pair(&mut out, "service", &e.service);
        write_pair(&mut out, "address", &e.address);
        write_pair(&mut out, "data-centre", &e.data_centre);
        write_pair(&mut out, "region", &e.region);
        write_pair(&mut out, "slots", &e.slots);
        write_pair(&mut out, "lead", &e.prefetch);
    }
    for r in &draft.rules {
        write_title(&mut out, "rule", &r.name);
        print_when(&mut out, &r.when);
        print_then(&mut out, &r.then);
    }
    out
}

fn print_when(out: &mut String, when: &When) {
    if !when.customers.is_empty() {
        write_pair(out, "when-customer", &join_names(&when.customers));
    }
    write_optional(out, "when-service", when.service.as_ref());
    if !when.methods.is_empty() {
        write_pair(out, "when-method", &when.methods.join(", "));
    }
    write_optional(out, "when-host", when.host.as_ref());
    write_optional(out, "when-path", when.path.as_ref());
    match &when.header {
        Some((name, Some(value))) => {
            write_pair(out, "when-header", &format_args!("{name}: {value}"))
        }
        Some((name, None)) => write_pair(out, "when-header", name),
        None => {}
    }
    write_optional(out, "when-data-centre", when.data_centre.as_ref());
    write_optional(out, "when-size-min", when.size_min.as_ref());
    write_optional(out, "when-size-max", when.size_max.as_ref());
}

fn print_then(out: &mut String, then: &Then) {
    match then {
        Then::Refuse { reason } => {
            write_pair(out, "then", &"refuse");
            write_pair(out, "reason", reason);
        }
        Then::Send(forward) => print_forward(out, forward),
        Then::Stream(stream) => {
            print_forward(out, &stream.forward);
            write_pair(out, "max-gap", &format_args!("{}ms", stream.max_gap_ms));
        }
    }
}

fn print_forward(out: &mut String, forward: &Forward) {
    let millis = |ms: Option<u64>| ms.map(|ms| format!("{ms}ms"));
    write_pair(out, "then", &"send");
    match forward.services.as_slice() {
        [Target { service, weight: 1 }] => write_pair(out, "service", service),
        targets => {
            let targets: Vec<String> = (targets.iter())
                .map(|t| format!("{}:{}", t.service, t.weight))
                .collect();
            write_pair(out, "service", &targets.join(", "));
        }
    }
    write_optional(out, "rate", forward.limits.rate.as_ref());
    write_optional(out, "concurrency", forward.limits.concurrency.as_ref());
    write_optional(out, "queue", forward.limits.queue.as_ref());
    write_optional(out, "timeout", millis(forward.timeout_ms).as_ref());
    write_optional(out, "aim", millis(forward.aim_ms).as_ref());
    write_optional(out, "weight", forward.weight.as_ref());
    if forward.priority > 0 {
        write_pair(out, "priority", &forward.priority);
    }
    write_optional(
        out,
        "idempotent",
        forward.idempotent.map(yes_or_no).as_ref(),
    );
    write_optional(out, "retries", forward.retries.as_ref());
    for (key, set) in [("anonymous", forward.anonymous), ("resume", forward.resume)] {
        if set {
            write_pair(out, key, &yes_or_no(set));
        }
    }
    print_regions(out, &forward.regions);
}

fn print_regions(out: &mut String, regions: &[Name]) {
    if !regions.is_empty() {
        write_pair(out, "regions", &join_names(regions));
    }
}

/// Prints a flag.
fn yes_or_no(flag: bool) -> &'static str {
    if flag {
        "yes"
    } else {
        "no"
    }
}

/// Prints a list of names.
fn join_names(names: &[Name]) -> String {
    let all: Vec<&str> = names.iter().map(Name::as_str).collect();
    all.join(", ")
}

/// Appends the title of a section, after an empty line unless it is the first one.
fn write_title(out: &mut String, kind: &str, name: &Name) {
    if !out.is_empty() {
        out.push('\n');
    }
    // Writing to a `String` cannot fail.
    let _ = writeln!(out, "[{kind} {name}]");
}

/// Appends a key and its value.
fn write_pair<V>(out: &mut String, key: &str, value: &V)
where
    V: std::fmt::Display + ?Sized,
{
    let _ = writeln!(out, "{key} = {value}");
}

/// Appends a key and its value, if there is one.
fn write_optional<V>(out: &mut String, key: &str, value: Option<&V>)
where
    V: std::fmt::Display,
{
    if let Some(value) = value {
        write_pair(out, key, value);
    }
}
