//! State that the reactor publishes to the other parts of the process.

use coordination::tree::Confirmation;
use serde::Serialize;
use state::clock::Millis;
use state::config::Index;
use state::id::Name;
use state::view::{Shard, View};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::watch;

/// The view in force and the state of this process, as every request needs them.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// The view in force, with the endpoints that this process knows.
    pub(crate) view: Arc<View>,
    /// Look-up tables of the configuration.
    pub(crate) index: Arc<Index>,
    /// Whether the view is known to be current enough to serve.
    pub(crate) ready: bool,
    /// Whether this process is stopping.
    pub(crate) stopping: bool,
    /// Whether new requests are refused, because they might not end before the process does.
    pub(crate) closed: bool,
    /// Whether new callers should use other routers, because this VM schedules for many.
    pub(crate) is_dedicated: bool,
    /// Whether far more requests are in progress here than on other routers.
    pub(crate) is_hot: bool,
    /// Latest time at which this view was proved to be the newest.
    pub(crate) verified_at: Option<Millis>,
    /// Number of routers that share the endpoints, as far as this process knows.
    pub(crate) routers: u32,
}

/// The published state, shared between readers.
pub(crate) type Published = Arc<Shared>;

/// State of a shard, for operators.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct ShardStatus {
    /// Service and region, and the data centre if the shard has one.
    pub(crate) shard: Shard,
    /// Epoch of the scheduler.
    pub(crate) epoch: u64,
    /// Number of slots of endpoints that accept requests.
    pub(crate) slots: u32,
    /// Number of requests in progress.
    pub(crate) running: usize,
    /// Number of requests that wait for a grant.
    pub(crate) waiting: usize,
    /// Number of routers with a session.
    pub(crate) routers: usize,
    /// Virtual time of the service that each customer has received.
    pub(crate) levels: BTreeMap<String, u64>,
}

/// State of a process, for operators.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Status {
    /// Name of the VM.
    pub(crate) vm: Name,
    /// Incarnation of the process, which changes with each start.
    pub(crate) incarnation: u64,
    /// Version of the view in force.
    pub(crate) version: u64,
    /// Version of the configuration.
    pub(crate) config_version: u64,
    /// Whether the process serves requests.
    pub(crate) ready: bool,
    /// Whether the process is stopping.
    pub(crate) stopping: bool,
    /// Node that sends the view to this process.
    pub(crate) parent: Option<Name>,
    /// Versions confirmed by this process and all nodes below it.
    pub(crate) confirmed: Confirmation,
    /// Peers with a link.
    pub(crate) peers: Vec<Name>,
    /// Number of requests that wait on this router, by customer.
    pub(crate) waiting: BTreeMap<String, u32>,
    /// Number of requests in progress on this router.
    pub(crate) held: usize,
    /// Shards that this router schedules alone, because it cannot reach their scheduler.
    pub(crate) local: Vec<Shard>,
    /// Shards that are scheduled here.
    pub(crate) schedulers: Vec<ShardStatus>,
    /// Fingerprints of requests that this process refuses, because they crash endpoints.
    pub(crate) quarantined: Vec<String>,
    /// Those of them that stand for a part of prompts.
    pub(crate) quarantined_parts: BTreeMap<String, QuarantinedPart>,
    /// Data centres that are evacuated: their endpoints get no requests.
    pub(crate) evacuated: Vec<Name>,
    /// State of the replicated log, if this is a control VM.
    pub(crate) control: Option<serde_json::Value>,
}

/// A part of prompts that is quarantined.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct QuarantinedPart {
    /// The part.
    pub(crate) part: String,
    /// The customer whose requests are refused; `None` for all customers.
    pub(crate) customer: Option<String>,
}

/// Waits until a stop flag is set or its sender is dropped.
pub(crate) async fn cancelled(flag: &mut watch::Receiver<bool>) {
    let _ = flag.wait_for(|is_set| *is_set).await;
}
