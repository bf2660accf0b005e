//! Orders of operators to evacuate a data centre or to end its evacuation.

use crate::input::Input;
use crate::shared::Published;
use protocol::wire::{Query, Reply};
use state::evacuation::Order;
use state::id::{Name, Version};
use state::record::Answer;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Time for an order to be accepted, after which the operator is told to repeat it. An election
/// of a leader takes up to 1.4 s.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The order is in force as of this version.
    Accepted(Version),
    /// The order names no data centre of the fleet; nothing was changed. Holds the reason.
    Unknown(String),
    /// It is not known whether the order was accepted.
    Unconfirmed,
}

/// Sends orders to the control VMs.
pub(crate) struct Orders {
    reactor: flume::Sender<Input>,
    published: watch::Receiver<Published>,
    /// Data centres that the settings name.
    named: Arc<BTreeSet<Name>>,
}

impl Orders {
    /// Creates a sender of orders. Valid data centres are those in `named` and those that have
    /// endpoints or an evacuation.
    pub(crate) fn new(
        reactor: flume::Sender<Input>,
        published: watch::Receiver<Published>,
        named: Arc<BTreeSet<Name>>,
    ) -> Self {
        Orders {
            reactor,
            published,
            named,
        }
    }

    /// Evacuates a data centre, or ends its evacuation.
    pub(crate) async fn send(&self, data_centre: &str, is_evacuated: bool) -> Outcome {
        let unknown = || Outcome::Unknown(format!("there is no data centre {data_centre:?}"));
        let Ok(name) = Name::try_from(data_centre) else {
            return unknown();
        };
        let order = async {
            if !self.is_known(&name) {
                self.catch_up().await?;
            }
            match self.is_known(&name) {
                true => self.send_fenced(name, is_evacuated).await,
                false => Some(unknown()),
            }
        };
        let sent = tokio::time::timeout(ACCEPT_TIMEOUT, order).await;
        sent.ok().flatten().unwrap_or(Outcome::Unconfirmed)
    }

    /// Waits until this process has the version that is in force now. One that has just started, or
    /// is cut off, may lack data centres.
    async fn catch_up(&self) -> Option<()> {
        let Reply::CurrentVersion(head) = self.ask(Query::CurrentVersion).await? else {
            return None;
        };
        let mut published = self.published.clone();
        let is_current = |shared: &Published| shared.ready && shared.view.version >= head;
        published.wait_for(is_current).await.ok().map(drop)
    }

    /// Sends an order that is based on the current version, so that it cannot override a later
    /// one.
    async fn send_fenced(&self, data_centre: Name, is_evacuated: bool) -> Option<Outcome> {
        let Reply::CurrentVersion(base) = self.ask(Query::CurrentVersion).await? else {
            return None;
        };
        let order = Order {
            data_centre,
            is_evacuated,
            base,
        };
        match self.ask(Query::Evacuation(order)).await? {
            Reply::Answer(Answer::Accepted(version)) => Some(Outcome::Accepted(version)),
            _ => None,
        }
    }

    /// Sends a query to the control VMs and waits for the reply.
    async fn ask(&self, query: Query) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        self.reactor.send(Input::Query(query, sender)).ok()?;
        receiver.await.ok()
    }

    /// Whether the data centre is named in the settings, has endpoints or is evacuated.
    fn is_known(&self, data_centre: &Name) -> bool {
        let view = &self.published.borrow().view;
        self.named.contains(data_centre)
            || view.evacuations.contains_key(data_centre)
            || view
                .endpoint_counts()
                .iter()
                .any(|c| c.data_centre == *data_centre)
    }
}
