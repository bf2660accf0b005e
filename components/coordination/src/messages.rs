//! Messages between routers and schedulers.
//!
//! A router asks the scheduler of a shard for an endpoint slot for each request, and the
//! scheduler answers with a grant or a refusal. A session is one link between a router and a
//! scheduler in one epoch. Asks are numbered within a session; a grant, its return and later
//! reports refer to the ask by its number.

use crate::backoff::Backoff;
use crate::prompt::{Part, Prompt};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use state::id::{CustomerId, EndpointId, Epoch, Name, Software, Version};
use std::net::SocketAddr;

/// Number of an ask within a session.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Seq(pub u64);

/// Requests of one customer that match one rule, and share the limits of that rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Class {
    /// The customer.
    pub customer: CustomerId,
    /// Index of the rule in the configuration.
    pub rule: u16,
}

/// A router's request for an endpoint slot, for a request that waits there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Number of the ask.
    pub seq: Seq,
    /// Customer and rule of the request.
    pub class: Class,
    /// Fair-share weight of the customer.
    pub weight: u32,
    /// Requests a second over the whole fleet, 0 for no limit.
    pub rate: u32,
    /// Requests in progress over the whole fleet, 0 for no limit.
    pub concurrency: u32,
    /// Priority, 0 the most urgent.
    pub priority: u8,
    /// Time left until the first byte of the answer counts as late, in milliseconds.
    pub aim_ms: u32,
    /// Expected cost, in the service's cost units.
    pub hint: u32,
    /// What is known of the request's prompt.
    pub prompt: Prompt,
    /// Endpoint to avoid because an earlier try there failed.
    pub avoid: Option<EndpointId>,
    /// Whether the request comes from another region, and may only take slots that no local
    /// request waits for.
    pub remote: bool,
}

/// A slot that a router holds for a request in progress, as reported to a new scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Number of the request in the new session.
    pub seq: Seq,
    /// Customer and rule of the request.
    pub class: Class,
    /// Fair-share weight of the customer.
    pub weight: u32,
    /// Endpoint that serves the request.
    pub endpoint: EndpointId,
    /// Cost charged so far, in the service's cost units.
    pub cost: u32,
}

/// How a granted request ended, as evidence of its endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The endpoint answered.
    Fine,
    /// The endpoint could not be reached, or the connection broke during the answer.
    Failed,
    /// The caller went away; this says nothing about the endpoint.
    #[serde(rename = "gone")]
    Cancelled,
    /// The endpoint answered with an error of its own.
    Error,
}

/// Service received by a customer, as far as a router knows, for a new scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The customer.
    pub customer: CustomerId,
    /// Virtual service over the whole fleet, from the last grant.
    pub level: u64,
    /// Virtual service given through this router that no scheduler has counted yet.
    pub spent: u64,
}

/// A prompt part that an engine is expected to have cached, since it was sent there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cached {
    /// The engine.
    pub endpoint: EndpointId,
    /// The part.
    pub part: Part,
}

/// First message of a router in a session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Hello {
    /// Slots held by requests in progress.
    pub held: Vec<Held>,
    /// Service received by customers, as far as this router knows.
    #[serde(rename = "known")]
    pub usage: Vec<Usage>,
    /// Identifies the spending reported in `usage`. Changes each time a scheduler has counted
    /// the spending, so that hellos with the same number report the same spending.
    #[serde(rename = "telling")]
    pub usage_id: u64,
    /// Largest floor that this router has received with a grant.
    pub floor: u64,
    /// Prompt parts that engines have cached from the latest requests.
    #[serde(rename = "kept")]
    pub cached: Vec<Cached>,
    /// Endpoints that have asked this router to send no requests.
    pub backoff: Vec<Backoff>,
}

/// A message from a router to a scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
    /// Opens a session.
    Hello(Hello),
    /// A request waits for a slot.
    Ask(Ask),
    /// A waiting request no longer needs a slot.
    Withdraw(Seq),
    /// A grant was not used, and no byte was sent to the endpoint.
    Return(Seq),
    /// The first byte of the answer arrived, this many milliseconds after the grant; `None`
    /// if the router itself ran late and its measurement is unreliable.
    #[serde(rename = "began")]
    FirstByte(Seq, Option<u32>),
    /// Cost of a request in progress so far.
    Progress(Seq, u32),
    /// A request has ended, with its total cost.
    Done(Seq, u32, Verdict),
    /// An endpoint has asked this router to send no requests.
    Backoff(Backoff),
    /// A request with objectives for its stream waits for a slot. Sent to schedulers that support
    /// it, in place of [`Report::Ask`].
    StreamAsk(Ask, Objective),
    /// Pauses between events that this router has observed since its last report.
    Pauses(SmallVec<[Pause; 4]>),
    /// Speed that an endpoint has stated in the head of a response. Sent before the first byte of
    /// that response is reported.
    Speed(Speed),
    /// Bounds in milliseconds on the pauses of requests that the hello before it lists as held.
    Bounds(Vec<(Seq, u32)>),
    /// A stream that has begun waits for a slot to continue at another endpoint. The last field is
    /// the time for which its caller still waits for the next event, in milliseconds. Sent to
    /// schedulers that support objectives of streams, in place of [`Report::Ask`].
    ResumedAsk(Ask, Objective, u32),
    /// A stream that has begun waits for a slot of an endpoint with the software version that began
    /// it. The third field is that of [`Report::ResumedAsk`]; `None` for a new request, by which a
    /// caller takes the stream up again. Sent to schedulers that know versions, in place of the
    /// other asks.
    ContinuedAsk(Ask, Objective, Option<u32>, Software),
}

/// What the rule of a request demands of the stream that answers it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Objective {
    /// Longest pause between two events with which the answer is on time, in milliseconds; 0 for
    /// no bound.
    pub max_gap_ms: u32,
    /// Whether the stream may continue at another endpoint after a break.
    pub is_resumable: bool,
}

/// Pauses between the events of all streams from one endpoint through one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Pause {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Number of pauses.
    pub count: u32,
    /// Sum of the pauses, in milliseconds.
    pub total_ms: u32,
    /// Longest pause, in milliseconds.
    pub longest_ms: u32,
}

/// How long work takes on the machine of an endpoint, by the endpoint's own statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Speed {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Time that work takes relative to the usual one, in percent.
    pub percent: u16,
    /// Age of the statement when it was sent, in milliseconds.
    pub age_ms: u16,
}

/// How much of a router is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Occupancy {
    /// Requests in progress, and those that wait.
    pub requests: u32,
    /// Free capacity, in thousandths of [`crate::handover::NOMINAL_PER_S`].
    pub free_permille: u16,
    /// Whether the router has more to do than it can in time, and needs peers.
    pub is_pressed: bool,
    /// Whether the router takes requests of other routers.
    pub is_open: bool,
    /// Version of the configuration that requests which arrive now are served by.
    pub config_version: Version,
}

/// A router of the same data centre that has room for requests of others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Peer {
    /// Its VM.
    pub vm: Name,
    /// Address on which it accepts callers.
    pub callers: SocketAddr,
    /// The receiver's share of its free capacity, in thousandths of
    /// [`crate::handover::NOMINAL_PER_S`].
    pub free_permille: u16,
    /// Age of this figure when the message was sent, in milliseconds.
    pub age_ms: u32,
    /// Version of its configuration at that time.
    pub config_version: Version,
}

/// Service that a scheduler has given in its epoch, for the schedulers of other regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Totals {
    /// Epoch of the scheduler.
    pub epoch: Epoch,
    /// Whether the totals cover all customers; otherwise only those that have changed.
    pub all: bool,
    /// Virtual service of each customer since the epoch began.
    pub totals: Vec<(CustomerId, u64)>,
}

/// A scheduler's answer to an ask that it cannot serve in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Epoch of the scheduler that refuses, 0 for the router itself.
    pub epoch: Epoch,
    /// The ask.
    pub seq: Seq,
    /// Expected wait for a slot, in milliseconds.
    pub wait_ms: u32,
    /// Time after which the caller may retry, in milliseconds.
    pub after_ms: u32,
}

/// A scheduler's prediction for an engine at the time of a grant, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forecast {
    /// Tokens of the prompt that the engine has to prefill.
    pub to_read: u32,
    /// Time until the prefill begins, in milliseconds.
    pub ahead_ms: u32,
    /// Time from the grant to the first byte of the answer, in milliseconds.
    pub first_ms: u32,
}

/// Where a request was sent and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Epoch of the scheduler that decided, 0 for the router itself.
    pub epoch: Epoch,
    /// Engine from which the serving engine copies prompt parts that it has not cached.
    pub copy_from: Option<EndpointId>,
    /// Prediction on which the decision was based.
    pub forecast: Forecast,
    /// Time for which the request waited before its scheduler was asked, in milliseconds.
    pub unasked_ms: u32,
}

/// A slot given to a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Epoch of the scheduler that grants the slot, 0 for the router itself.
    pub epoch: Epoch,
    /// The ask.
    pub seq: Seq,
    /// Endpoint to send the request to.
    pub endpoint: EndpointId,
    /// Engine from which the endpoint copies prompt parts that it has not cached.
    pub copy_from: Option<EndpointId>,
    /// Prediction on which the decision was based.
    #[serde(rename = "basis")]
    pub forecast: Forecast,
    /// Virtual service of the customer, excluding requests in progress.
    pub level: u64,
    /// Lower bound of the virtual service of all customers with waiting requests.
    pub floor: u64,
    /// Routers with a session. A router without a scheduler divides the slots by this number.
    pub routers: u32,
    /// Requests in progress at all these routers.
    pub running: u32,
    /// Percentage of the engines with a prompt to prefill; 0 if there are no engines.
    pub busy: u8,
}
