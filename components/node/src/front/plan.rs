//! Which rule decides a request, and what follows from it.

use super::listen::Front;
use super::refusal::Refusal;
use super::upstream::Call;
use crate::shared::Published;
use bytes::Bytes;
use coordination::ask::Class;
use coordination::desk::Arrival;
use coordination::rule;
use hyper::StatusCode;
use state::config::{Cost, Then};
use state::id::{CustomerId, Name, ServiceId};
use state::secret::Hash;
use std::time::Duration;

/// Retries of a request, unless its rule says otherwise.
const RETRIES: u32 = 2;

/// Header by which a caller names a service.
const SERVICE: &str = "cowslipford-service";

/// Header by which a caller gives the expected cost.
const SIZE: &str = "cowslipford-size";

/// Bytes at the start of a body that stand for its prompt's prefix.
const PREFIX: usize = 256;

/// What a rule decided for a request.
pub(super) struct Plan {
    pub(super) service: ServiceId,
    pub(super) service_name: Name,
    pub(super) cost: Cost,
    pub(super) timeout: Duration,
    pub(super) idempotent: bool,
    pub(super) retries: u32,
    pub(super) arrival: Arrival,
}

/// Finds the rule that decides, and what follows from it.
pub(super) fn plan(
    front: &Front,
    published: &Published,
    customer: CustomerId,
    call: &Call,
) -> Result<Plan, Refusal> {
    let config = &published.view.config;
    let missing = || {
        let text = "the customer was removed a moment ago";
        Refusal::not_run(StatusCode::UNAUTHORIZED, "unknown-customer", text)
    };
    let known = config.customers.get(&customer).ok_or_else(missing)?;
    let headers: Vec<(&str, &[u8])> = (call.headers.iter())
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect();
    let text = |name: &str| call.headers.get(name).and_then(|v| v.to_str().ok());
    let hint: Option<u32> = text(SIZE).and_then(|v| v.parse().ok());
    let request = rule::Request {
        customer: &known.name,
        service: text(SERVICE),
        method: call.method.as_str(),
        path: call.uri.path(),
        headers: &headers,
        data_centre: &front.parts.data_centre,
        // CAST: `usize` is at most 64 bits on every supported target.
        size: hint.map_or(call.body.len() as u64, u64::from),
    };
    let (place, rule) = rule::decide(&config.rules, &request).ok_or_else(|| {
        Refusal::not_run(
            StatusCode::NOT_FOUND,
            "no-rule",
            "no rule matches this request",
        )
    })?;
    let (service, limits, timeout_ms, weight, idempotent, retries) = match &rule.then {
        Then::Refuse { reason } => {
            return Err(Refusal::not_run(
                StatusCode::FORBIDDEN,
                "refused",
                reason.clone(),
            ))
        }
        Then::Send {
            service,
            limits,
            timeout_ms,
            weight,
            idempotent,
            retries,
        } => (service, limits, timeout_ms, weight, *idempotent, *retries),
    };
    if !known.services.contains(service) {
        let text = format!("this customer may not reach {service}");
        return Err(Refusal::not_run(
            StatusCode::FORBIDDEN,
            "service-not-allowed",
            text,
        ));
    }
    let found = published.index.service(service);
    let found = found.and_then(|id| Some((id, config.services.get(&id)?)));
    let (service_id, settings) = found.ok_or_else(no_endpoint)?;
    let timeout_ms = timeout_ms.unwrap_or(settings.timeout_ms);
    let hint = match settings.cost {
        Cost::Request => 1,
        Cost::Event | Cost::Time => hint.unwrap_or(settings.estimate).max(1),
    };
    let arrival = Arrival {
        service: service_id,
        class: Class {
            customer,
            rule: place,
        },
        weight: weight.unwrap_or(known.weight),
        rate: limits.rate.unwrap_or(0),
        concurrency: limits.concurrency.unwrap_or(0),
        queue: limits.queue.unwrap_or(front.parts.queue_customer),
        hint,
        prefix: prefix(&call.body),
        bytes: call.body.len() as u64,
        deadline: front.parts.clock.now().after(timeout_ms),
    };
    Ok(Plan {
        service: service_id,
        service_name: service.clone(),
        cost: settings.cost,
        timeout: Duration::from_millis(timeout_ms),
        idempotent: rule::idempotent(idempotent, settings, call.method.as_str()),
        retries: retries.unwrap_or(RETRIES),
        arrival,
    })
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

pub(super) fn no_endpoint() -> Refusal {
    let text = "no endpoint serves this request at the moment";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-endpoint", text).after(1)
}
