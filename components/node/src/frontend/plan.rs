//! Which rule decides a request, and what follows from it.

use super::admit::check_proof;
use super::listen::Frontend;
use super::refusal::Refusal;
use super::upstream::Call;
use crate::interface::Inbound;
use crate::shared::Published;
use bytes::Bytes;
use coordination::dispatcher::Arrival;
use coordination::messages::Class;
use coordination::prompt::Prompt;
use coordination::regions::Regions;
use coordination::rule;
use hyper::{HeaderMap, StatusCode, Uri};
use state::config::{Config, Cost, Customer, Engine, Rule, Service, Then};
use state::id::{CustomerId, Name, ServiceId};
use state::secret::Hash;
use std::time::Duration;

/// Retries of a request, unless its rule says otherwise.
const RETRIES: u32 = 2;
/// Stands for all callers without a customer's key.
const ANONYMOUS: CustomerId = CustomerId(u32::MAX);
/// Bytes at the start of a body that stand for its prompt's prefix.
const PREFIX: usize = 256;
/// Tokens that are expected to be generated when the caller does not say.
const OUTPUT: u32 = 256;

/// Why a request is refused that no endpoint takes work for.
pub(super) const NO_ENDPOINT: &str = "no endpoint serves this request at the moment";
/// Time after which its caller may come back.
pub(super) const NO_ENDPOINT_RETURN: Duration = Duration::from_secs(1);

/// What a rule decided for a request.
pub(super) struct Plan {
    pub(super) rule: Name,
    pub(super) customer: CustomerId,
    pub(super) service: ServiceId,
    pub(super) service_name: Name,
    pub(super) cost: Cost,
    /// Set when the endpoints are model engines.
    pub(super) engine: Option<Engine>,
    /// Time from the request's arrival to the end of its answer.
    pub(super) timeout: Duration,
    pub(super) idempotent: bool,
    pub(super) retries: u32,
    pub(super) arrival: Arrival,
}

/// Finds the rule that decides, and what follows from it.
pub(super) fn plan(
    frontend: &Frontend,
    published: &Published,
    asked: &Inbound,
    call: &mut Call,
) -> Result<Plan, Refusal> {
    let config = &published.view.config;
    let key = asked.key.as_ref();
    let id = key.and_then(|k| published.index.customer(k));
    let known = id.and_then(|id| Some((id, config.customers.get(&id)?)));
    let decided = decide(
        frontend,
        published,
        asked,
        call,
        known.map(|(_, c)| &c.name),
    );
    let (place, rule) = decided.map_err(|refusal| doubt(frontend, published, refusal))?;
    let send = match &rule.then {
        Then::Refuse { reason } => {
            let status = StatusCode::FORBIDDEN;
            return Err(Refusal::not_run(status, "refused", reason.clone()));
        }
        Then::Send(send) => send,
    };
    if known.is_none() && !send.anonymous {
        return Err(doubt(frontend, published, unknown_customer()));
    }
    if known.is_some() {
        check_proof(frontend, published)?;
    }
    let service = send.pick_service(rand::random()).ok_or_else(no_endpoint)?;
    if let Some((_, customer)) = known {
        check_service(customer, service)?;
        call.customer = Some(customer.name.clone());
    }
    let found = published.index.service(service);
    let found = found.and_then(|id| Some((id, config.services.get(&id)?)));
    let (service_id, settings) = found.ok_or_else(no_endpoint)?;
    let timeout = Duration::from_millis(send.timeout_ms.unwrap_or(settings.timeout_ms));
    let timeout = asked.timeout.map_or(timeout, |p| p.min(timeout));
    let prompt = prompt(asked, settings, call);
    let class = Class {
        customer: known.map_or(ANONYMOUS, |(id, _)| id),
        rule: place,
    };
    let regions = Regions::named(&send.regions);
    let regions =
        regions.intersection(known.map_or(Regions::default(), |(_, c)| Regions::named(&c.regions)));
    if regions.is_empty() {
        return Err(no_endpoint());
    }
    let now = frontend.context.clock.now();
    let arrival = Arrival {
        service: service_id,
        class,
        weight: send.weight.unwrap_or(known.map_or(1, |(_, c)| c.weight)),
        priority: known.and_then(|(_, c)| c.priority).unwrap_or(send.priority),
        rate: send.limits.rate.unwrap_or(0),
        concurrency: send.limits.concurrency.unwrap_or(0),
        queue: send
            .limits
            .queue
            .unwrap_or(frontend.context.customer_queue_limit),
        hint: hint(asked, settings, &prompt),
        prompt,
        bytes: call.body.len() as u64,
        regions,
        aim: now.after(send.aim_ms.unwrap_or(millis(timeout))),
        deadline: now.after(millis(timeout)),
    };
    Ok(Plan {
        rule: rule.name.clone(),
        customer: class.customer,
        service: service_id,
        service_name: service.clone(),
        cost: settings.cost,
        engine: settings.engine,
        timeout,
        idempotent: rule::is_idempotent(send.idempotent, settings, call.method.as_str()),
        retries: send.retries.unwrap_or(RETRIES),
        arrival,
    })
}

/// A refusal, or that it is not known whether it would be right.
///
/// A router that is cut off lacks keys and rules that were added since. Told that
/// theirs does not exist, callers would give up, though any other router serves
/// them.
fn doubt(frontend: &Frontend, published: &Published, refusal: Refusal) -> Refusal {
    check_proof(frontend, published).err().unwrap_or(refusal)
}

/// The rule that decides, or why none does.
fn decide<'a>(
    frontend: &Frontend,
    published: &'a Published,
    asked: &Inbound,
    call: &Call,
    customer: Option<&Name>,
) -> Result<(u16, &'a Rule), Refusal> {
    let config: &Config = &published.view.config;
    let headers: Vec<(&str, &[u8])> = (call.headers.iter())
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect();
    let host = host(&call.headers, &call.uri);
    let request = rule::Request {
        customer,
        service: asked.service.as_deref(),
        method: call.method.as_str(),
        host: host.as_deref(),
        path: call.uri.path(),
        headers: &headers,
        data_centre: &frontend.context.data_centre,
        // CAST: `usize` is at most 64 bits on every supported target.
        size: asked.size.map_or(call.body.len() as u64, u64::from),
    };
    let found = rule::first_match(&config.rules, published.index.routes(), &request);
    found.ok_or_else(|| {
        if customer.is_none() && config.rules.iter().any(is_for_some) {
            return unknown_customer();
        }
        let text = "no rule matches this request";
        Refusal::not_run(StatusCode::NOT_FOUND, "no-rule", text)
    })
}

/// Whether a rule names the customers that it is for.
fn is_for_some(rule: &Rule) -> bool {
    !rule.when.customers.is_empty()
}

/// Host that the caller names, in lower case, without a port.
fn host(headers: &HeaderMap, uri: &Uri) -> Option<String> {
    let named = headers
        .get(hyper::header::HOST)
        .and_then(|v| v.to_str().ok());
    let authority = named.or_else(|| uri.host())?;
    let name = match authority.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => authority,
    };
    Some(name.to_ascii_lowercase())
}

fn check_service(customer: &Customer, service: &Name) -> Result<(), Refusal> {
    if customer.services.contains(service) {
        return Ok(());
    }
    let text = format!("this customer may not reach {service}");
    let status = StatusCode::FORBIDDEN;
    Err(Refusal::not_run(status, "service-not-allowed", text))
}

/// Expected cost, in units of the service.
fn hint(asked: &Inbound, service: &Service, prompt: &Prompt) -> u32 {
    match service.cost {
        Cost::Request => 1,
        Cost::Event | Cost::Time => asked.size.unwrap_or(service.estimate).max(1),
        Cost::Token => token_cost(prompt, prompt.output),
    }
}

/// Cost of a request in tokens: each token read once, each generated twice.
pub(super) fn token_cost(prompt: &Prompt, generated: u32) -> u32 {
    let read = u32::try_from(prompt.tokens()).unwrap_or(u32::MAX);
    read.saturating_add(generated.saturating_mul(2)).max(1)
}

/// What is known of the prompt; the start of the body stands in for it where the
/// caller says nothing.
fn prompt(asked: &Inbound, service: &Service, call: &Call) -> Prompt {
    if asked.prompt.first_key() == 0 {
        return Prompt::from_prefix_key(prefix(&call.body));
    }
    let mut prompt = asked.prompt;
    if prompt.output == 0 && service.engine.is_some() {
        prompt.output = OUTPUT;
    }
    prompt
}

/// Hash of the start of a body, 0 for a body that is too short to have one.
fn prefix(body: &Bytes) -> u32 {
    match body.get(..PREFIX) {
        Some(start) => {
            let Hash(bytes) = Hash::of(&[start]);
            u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]).max(1)
        }
        None => 0,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn unknown_customer() -> Refusal {
    let text = "send a customer's key";
    Refusal::not_run(StatusCode::UNAUTHORIZED, "unknown-customer", text)
}

pub(super) fn no_endpoint() -> Refusal {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run(status, "no-endpoint", NO_ENDPOINT).after_time(NO_ENDPOINT_RETURN)
}
