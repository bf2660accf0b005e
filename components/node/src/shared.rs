//! What the reactor shows to the other parts of the process.

use coordination::tree::Confirmation;
use serde::Serialize;
use state::clock::Millis;
use state::config::Index;
use state::id::Name;
use state::view::{Shard, View};
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::watch;

/// What is in force, with the look-ups that each request needs.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// The view.
    pub(crate) view: Arc<View>,
    /// Look-ups.
    pub(crate) index: Arc<Index>,
    /// Whether the view is known to be current enough to serve.
    pub(crate) ready: bool,
    /// Whether this process is stopping.
    pub(crate) stopping: bool,
    /// Whether it takes no more requests, since they might not end before it does.
    pub(crate) closed: bool,
    /// Whether new callers are to go to other routers, since this VM schedules for many.
    pub(crate) is_dedicated: bool,
    /// Whether far more requests are in progress here than at other routers.
    pub(crate) is_hot: bool,
    /// Latest time at which this view was proved to be the newest.
    pub(crate) verified_at: Option<Millis>,
    /// Routers that share the endpoints, as far as the schedulers tell.
    pub(crate) routers: u32,
}

/// What the reactor publishes.
pub(crate) type Published = Arc<Shared>;

/// State of a shard, for operators.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct ShardStatus {
    /// The shard.
    pub(crate) shard: Shard,
    /// Assigned.
    pub(crate) epoch: u64,
    /// Slots of endpoints that take work.
    pub(crate) slots: u32,
    /// Requests in progress.
    pub(crate) running: usize,
    /// Asks that wait.
    pub(crate) waiting: usize,
    /// Routers with a session.
    pub(crate) routers: usize,
    /// Virtual service of each customer.
    pub(crate) levels: BTreeMap<String, u64>,
}

/// State of a process, for operators.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Status {
    /// Name of the VM.
    pub(crate) vm: Name,
    /// Incarnation.
    pub(crate) incarnation: u64,
    /// Version in force.
    pub(crate) version: u64,
    /// Version of the configuration.
    pub(crate) config_version: u64,
    /// Whether it is ready.
    pub(crate) ready: bool,
    /// Whether it is stopping.
    pub(crate) stopping: bool,
    /// Node that feeds it.
    pub(crate) parent: Option<Name>,
    /// What it and those that it feeds have confirmed.
    pub(crate) confirmed: Confirmation,
    /// Peers with a link.
    pub(crate) peers: Vec<Name>,
    /// Requests that wait here, by customer.
    pub(crate) waiting: BTreeMap<String, u32>,
    /// Requests in progress here.
    pub(crate) held: usize,
    /// Shards that this router has scheduled alone since it lost their scheduler.
    pub(crate) local: Vec<Shard>,
    /// Shards that are scheduled here.
    pub(crate) schedulers: Vec<ShardStatus>,
    /// Fingerprints of requests that this process refuses, since they crash endpoints.
    pub(crate) quarantined: Vec<String>,
    /// Data centres whose endpoints get no requests.
    pub(crate) evacuated: Vec<Name>,
    /// State of the replicated log, if this is a control VM.
    pub(crate) control: Option<serde_json::Value>,
}

/// Waits until a flag turns true, or nobody is left to turn it.
pub(crate) async fn cancelled(flag: &mut watch::Receiver<bool>) {
    let _ = flag.wait_for(|raised| *raised).await;
}
