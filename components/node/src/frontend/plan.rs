//! Routing plan of a request: the rule that matches, and the service, limits and deadline that
//! follow from it.

use super::admit::check_proof_age;
use super::listen::Frontend;
use super::refusal::Refusal;
use super::upstream::Call;
use crate::interface::Inbound;
use crate::shared::Published;
use bytes::Bytes;
use coordination::dispatcher::Arrival;
use coordination::messages::{Class, Objective};
use coordination::origin::Key;
use coordination::prompt::Prompt;
use coordination::regions::Regions;
use coordination::rule;
use hyper::{HeaderMap, StatusCode, Uri};
use state::config::{Config, Cost, Customer, Engine, Rule, Service, Then};
use state::id::{CustomerId, Name, ServiceId};
use state::secret::Hash;
use std::time::Duration;

/// Retries of a request whose rule sets no number.
const DEFAULT_RETRIES: u32 = 2;
/// Customer that all callers without a customer's key are accounted to.
pub(super) const ANONYMOUS_CUSTOMER: CustomerId = CustomerId(u32::MAX);
/// Bytes at the start of a body that are hashed as its prompt's prefix if the caller sends no hash.
const PREFIX_BYTES: usize = 256;
/// Tokens that a model is expected to generate if the caller does not say.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Text of a refusal because no endpoint of the service accepts requests.
pub(super) const NO_ENDPOINT_TEXT: &str = "no endpoint serves this request at the moment";
/// Retry-After of such a refusal.
pub(super) const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the matching rule decides for a request.
pub(super) struct Plan {
    /// Name of the rule that matched.
    pub(super) rule: Name,
    /// Customer, or [`ANONYMOUS_CUSTOMER`].
    pub(super) customer: CustomerId,
    pub(super) service: ServiceId,
    pub(super) service_name: Name,
    /// Unit in which the service counts cost.
    pub(super) cost: Cost,
    /// Settings of the engines, if the service's endpoints are model engines.
    pub(super) engine: Option<Engine>,
    /// Time from the request's arrival to the end of its answer.
    pub(super) timeout: Duration,
    /// Whether the rule names no other service.
    pub(super) has_one_service: bool,
    /// Whether the request may run more than once.
    pub(super) idempotent: bool,
    /// Most retries of the request.
    pub(super) retries: u32,
    /// Whether a stream that breaks off may continue at another endpoint.
    pub(super) resume: bool,
    /// Key of the stream, by which its caller may take it up again.
    pub(super) stream: Key,
    /// Latency target of the rule, in milliseconds: time from the request's arrival until the first
    /// byte counts as late.
    pub(super) target_ms: Option<u64>,
    /// The request as the dispatcher queues it.
    pub(super) arrival: Arrival,
    /// What the rule demands of the stream that answers the request.
    pub(super) objective: Option<Objective>,
}

impl Plan {
    /// Longest pause between two events that the rule allows, in milliseconds.
    pub(super) fn max_gap_ms(&self) -> Option<u64> {
        self.objective.map(|o| u64::from(o.max_gap_ms))
    }
}

/// Finds the rule that matches the request, and makes the plan that follows from it.
///
/// # Errors
///
/// The refusal, if no rule matches, the rule refuses the request, or the customer may not reach
/// the service.
pub(super) fn plan(
    frontend: &Frontend,
    published: &Published,
    inbound: &Inbound,
    call: &mut Call,
) -> Result<Plan, Refusal> {
    let config = &published.view.config;
    let key = inbound.key.as_ref();
    let id = key.and_then(|k| published.index.customer(k));
    let customer = id.and_then(|id| Some((id, config.customers.get(&id)?)));
    let decided = match_rule(
        frontend,
        published,
        inbound,
        call,
        customer.map(|(_, c)| &c.name),
    );
    let (rule_index, rule) =
        decided.map_err(|refusal| refuse_if_current(frontend, published, refusal))?;
    if let Then::Refuse { reason } = &rule.then {
        let status = StatusCode::FORBIDDEN;
        let refusal = Refusal::not_run(status, "refused", reason.clone());
        return Err(refuse_if_current(frontend, published, refusal));
    }
    let send = rule.then.forward().ok_or_else(no_endpoint)?;
    let objective = (rule.then.max_gap_ms()).map(|max_gap_ms| Objective {
        max_gap_ms: u32::try_from(max_gap_ms).unwrap_or(u32::MAX),
        is_resumable: send.resume,
    });
    if customer.is_none() && !send.anonymous {
        return Err(refuse_if_current(frontend, published, unknown_customer()));
    }
    if customer.is_some() {
        check_proof_age(frontend, published)?;
    }
    let stream = stream_key(frontend, call, customer.map(|(id, _)| id));
    // A stream goes on at the service that began it.
    let draw = if send.resume {
        stream.draw()
    } else {
        rand::random()
    };
    let service = send.pick_service(draw).ok_or_else(no_endpoint)?;
    if let Some((_, customer)) = customer {
        check_service(customer, service)?;
        call.customer = Some(customer.name.clone());
    }
    let found = published.index.service(service);
    let found = found.and_then(|id| Some((id, config.services.get(&id)?)));
    let (service_id, settings) = found.ok_or_else(no_endpoint)?;
    let timeout = Duration::from_millis(send.timeout_ms.unwrap_or(settings.timeout_ms));
    let timeout = inbound.timeout.map_or(timeout, |p| p.min(timeout));
    let prompt = prompt_of(inbound, settings, call);
    let class = Class {
        customer: customer.map_or(ANONYMOUS_CUSTOMER, |(id, _)| id),
        rule: rule_index,
    };
    let regions = Regions::named(&send.regions);
    let regions = regions
        .intersection(customer.map_or(Regions::default(), |(_, c)| Regions::named(&c.regions)));
    if regions.is_empty() {
        return Err(no_endpoint());
    }
    let now = frontend.context.clock.now();
    let aim_ms = send.aim_ms.unwrap_or(millis(timeout));
    let arrival = Arrival {
        service: service_id,
        class,
        weight: send.weight.unwrap_or(customer.map_or(1, |(_, c)| c.weight)),
        priority: customer
            .and_then(|(_, c)| c.priority)
            .unwrap_or(send.priority),
        rate: send.limits.rate.unwrap_or(0),
        concurrency: send.limits.concurrency.unwrap_or(0),
        queue: send
            .limits
            .queue
            .unwrap_or(frontend.context.customer_queue_limit),
        hint: expected_cost(inbound, settings, &prompt),
        prompt,
        bytes: call.body.len() as u64,
        regions,
        aim: now.after(aim_ms),
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
        has_one_service: send.services.len() == 1,
        idempotent: rule::is_idempotent(send.idempotent, settings, call.method.as_str()),
        retries: send.retries.unwrap_or(DEFAULT_RETRIES),
        resume: send.resume,
        stream,
        target_ms: send.aim_ms,
        arrival,
        objective,
    })
}

/// Key of the stream that a request begins or, by its headers, takes up again.
fn stream_key(frontend: &Frontend, call: &Call, customer: Option<CustomerId>) -> Key {
    let customer = customer.unwrap_or(ANONYMOUS_CUSTOMER);
    let resumes = call.headers.get(frontend.context.interface.resumes);
    match resumes.or(call.request_id.as_ref()) {
        Some(id) => Key::of(customer, id.as_bytes()),
        None => Key::of(customer, call.id.to_string().as_bytes()),
    }
}

/// Returns `refusal` if this router's configuration is current enough, and else the refusal that
/// it is stale.
///
/// A router that is partitioned from the control VMs lacks keys and rules that were added since, and
/// has rules that were removed. Callers that are told that their key does not exist would give up,
/// although any other router would serve them.
fn refuse_if_current(frontend: &Frontend, published: &Published, refusal: Refusal) -> Refusal {
    check_proof_age(frontend, published)
        .err()
        .unwrap_or(refusal)
}

/// Finds the rule that matches, with its index; refuses the request if none does.
fn match_rule<'a>(
    frontend: &Frontend,
    published: &'a Published,
    inbound: &Inbound,
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
        service: inbound.service.as_deref(),
        method: call.method.as_str(),
        host: host.as_deref(),
        path: call.uri.path(),
        headers: &headers,
        data_centre: &frontend.context.data_centre,
        // CAST: `usize` is at most 64 bits on every supported target.
        size: inbound.size.map_or(call.body.len() as u64, u64::from),
    };
    let found = rule::first_match(&config.rules, published.index.routes(), &request);
    found.ok_or_else(|| {
        if customer.is_none() && config.rules.iter().any(names_customers) {
            return unknown_customer();
        }
        let text = "no rule matches this request";
        Refusal::not_run(StatusCode::NOT_FOUND, "no-rule", text)
    })
}

/// Whether a rule applies only to named customers.
fn names_customers(rule: &Rule) -> bool {
    !rule.when.customers.is_empty()
}

/// Host that the request names, in lower case and without a port.
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

/// Refuses a customer's request for a service that the customer may not reach.
fn check_service(customer: &Customer, service: &Name) -> Result<(), Refusal> {
    if customer.services.contains(service) {
        return Ok(());
    }
    let text = format!("this customer may not reach {service}");
    let status = StatusCode::FORBIDDEN;
    Err(Refusal::not_run(status, "service-not-allowed", text))
}

/// Expected cost of the request, in units of the service.
fn expected_cost(inbound: &Inbound, service: &Service, prompt: &Prompt) -> u32 {
    match service.cost {
        Cost::Request => 1,
        Cost::Event | Cost::Time => inbound.size.unwrap_or(service.estimate).max(1),
        Cost::Token => token_cost(prompt, prompt.output),
    }
}

/// Cost of a request in tokens: a prompt token counts once, a generated token twice.
pub(super) fn token_cost(prompt: &Prompt, generated: u32) -> u32 {
    let read = u32::try_from(prompt.tokens()).unwrap_or(u32::MAX);
    read.saturating_add(generated.saturating_mul(2)).max(1)
}

/// Description of the prompt for placement. If the caller sends none, the prefix is the hash of the
/// start of the body.
fn prompt_of(inbound: &Inbound, service: &Service, call: &Call) -> Prompt {
    if inbound.prompt.first_key() == 0 {
        return Prompt::from_prefix_key(prefix_hash(&call.body));
    }
    let mut prompt = inbound.prompt;
    if prompt.output == 0 && service.engine.is_some() {
        prompt.output = DEFAULT_OUTPUT_TOKENS;
    }
    prompt
}

/// Hash of the first [`PREFIX_BYTES`] of a body; 0 for a shorter body.
fn prefix_hash(body: &Bytes) -> u32 {
    match body.get(..PREFIX_BYTES) {
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

/// Refusal of a request whose key belongs to no customer.
fn unknown_customer() -> Refusal {
    let text = "send a customer's key";
    Refusal::not_run(StatusCode::UNAUTHORIZED, "unknown-customer", text)
}

/// Refusal of a request for whose service no endpoint is available.
pub(super) fn no_endpoint() -> Refusal {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run(status, "no-endpoint", NO_ENDPOINT_TEXT)
        .with_retry_after(NO_ENDPOINT_RETRY_AFTER)
}
