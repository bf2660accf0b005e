//! What routers and schedulers say to each other.
//!
//! A session is one link between a router and a scheduler in one epoch. Asks
//! are numbered within it; a grant, its return and its reports name the ask.

use crate::backoff::Backoff;
use crate::prompt::{Part, Prompt};
use serde::{Deserialize, Serialize};
use state::id::{CustomerId, EndpointId, Epoch};

/// Number of an ask within a session.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Seq(pub u64);

/// Requests of one customer that one rule sends, with the limits of that rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Class {
    /// Customer.
    pub customer: CustomerId,
    /// Place of the rule in the list.
    pub rule: u16,
}

/// A request that waits on a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Its number.
    pub seq: Seq,
    /// Whose it is, and by which rule.
    pub class: Class,
    /// Weight of the customer for it.
    pub weight: u32,
    /// Requests a second over the whole fleet, 0 for no limit.
    pub rate: u32,
    /// Requests in progress over the whole fleet, 0 for no limit.
    pub concurrency: u32,
    /// Rank, 0 the most urgent.
    pub priority: u8,
    /// Time within which its caller counts the first byte of an answer as on
    /// time, in milliseconds.
    pub aim_ms: u32,
    /// Expected cost, in units of the service.
    pub hint: u32,
    /// What is known of its prompt.
    pub prompt: Prompt,
    /// Endpoint to avoid since an earlier try on it failed.
    pub avoid: Option<EndpointId>,
    /// Whether it comes from another region, and takes only what nobody here
    /// waits for.
    pub remote: bool,
}

/// A request that a router has sent, as told to a new scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Its number in the new session.
    pub seq: Seq,
    /// Whose it is.
    pub class: Class,
    /// Weight of the customer for it.
    pub weight: u32,
    /// Where it runs.
    pub endpoint: EndpointId,
    /// Cost charged so far, in units of the service.
    pub cost: u32,
}

/// How a granted request ended, as far as the endpoint is to blame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The endpoint answered.
    Fine,
    /// The endpoint could not be reached or broke off.
    Failed,
    /// The caller went away; nothing is known of the endpoint.
    #[serde(rename = "gone")]
    Cancelled,
    /// The endpoint answered that it has failed.
    Error,
}

/// What a router knows of a customer's service, for a new scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Customer.
    pub customer: CustomerId,
    /// Virtual service over the whole fleet, as the last grant told it.
    pub level: u64,
    /// Virtual service given here that no scheduler has counted.
    pub spent: u64,
}

/// A part of a prompt that a router has sent to a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cached {
    /// Engine.
    pub endpoint: EndpointId,
    /// The part.
    pub part: Part,
}

/// What a router says first to a scheduler.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Hello {
    /// Requests in progress.
    pub held: Vec<Held>,
    /// What this router knows of customers' service.
    #[serde(rename = "known")]
    pub usage: Vec<Usage>,
    /// Changes each time that what was spent has been counted: what hellos of one telling say
    /// of it is the same spending.
    #[serde(rename = "telling")]
    pub usage_id: u64,
    /// Largest floor that a grant has told.
    pub floor: u64,
    /// What engines have of the prompts that were sent last.
    #[serde(rename = "kept")]
    pub cached: Vec<Cached>,
    /// Endpoints that want no requests of this router.
    pub backoff: Vec<Backoff>,
}

/// What a router tells a scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
    /// Opens a session.
    Hello(Hello),
    /// A request waits.
    Ask(Ask),
    /// A waiting request was given up.
    Withdraw(Seq),
    /// A grant was not used: no byte was sent.
    Return(Seq),
    /// The first byte of a request's answer has come, this many milliseconds after its
    /// grant had; `None` where the router itself ran late, and cannot tell.
    Began(Seq, Option<u32>),
    /// A request has cost this much so far.
    Progress(Seq, u32),
    /// A request has ended at this cost.
    Done(Seq, u32, Verdict),
    /// An endpoint wants no requests of this router.
    Backoff(Backoff),
}

/// What a scheduler has given in its epoch, for those of other regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Served {
    /// Its epoch.
    pub epoch: Epoch,
    /// Whether these are the totals of all customers.
    pub all: bool,
    /// Virtual service by customer, since the epoch began.
    pub totals: Vec<(CustomerId, u64)>,
}

/// An ask that cannot be served in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Epoch of the scheduler that refuses it, 0 for the router itself.
    pub epoch: Epoch,
    /// The ask.
    pub seq: Seq,
    /// Time for which it would have waited, in milliseconds.
    pub wait_ms: u32,
    /// Time after which its caller may come back, in milliseconds.
    pub after_ms: u32,
}

/// What a scheduler knew of an engine when it granted a request, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forecast {
    /// Tokens of the prompt that the engine has to read.
    pub to_read: u32,
    /// Time until it begins to read them, in milliseconds.
    pub ahead_ms: u32,
    /// Time from the grant to the first event, in milliseconds.
    pub first_ms: u32,
}

/// How a request was placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Epoch of the scheduler that decided, 0 for the router itself.
    pub epoch: Epoch,
    /// Engine from which another is to copy what it has not kept of the prompt.
    pub copy_from: Option<EndpointId>,
    /// What decided.
    pub forecast: Forecast,
    /// Time for which it waited before its scheduler was asked, in milliseconds.
    pub unasked_ms: u32,
}

/// A slot given to a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Assigned that gives it.
    pub epoch: Epoch,
    /// The ask.
    pub seq: Seq,
    /// Where to send the request.
    pub endpoint: EndpointId,
    /// Engine from which it is to copy what it has not kept of the prompt.
    pub copy_from: Option<EndpointId>,
    /// What decided.
    #[serde(rename = "basis")]
    pub forecast: Forecast,
    /// Virtual service of the customer, without requests in progress.
    pub level: u64,
    /// Level below which no customer that waits is.
    pub floor: u64,
    /// Routers with a session, for the share to fall back to.
    pub routers: u32,
    /// Requests in progress of all these routers.
    pub running: u32,
    /// Part of the engines that have a prompt to read, in hundredths; 0 if there are none.
    pub busy: u8,
}
