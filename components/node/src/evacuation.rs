//! Operators' orders to evacuate a data centre.

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

/// Longest time for an order to be accepted. An election takes up to 1.4 s; an operator who
/// hears nothing for longer is told to ask again.
const ACCEPT: Duration = Duration::from_millis(2500);

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It is in force at this version.
    Accepted(Version),
    /// It names no data centre of the fleet; nothing was changed.
    Unknown(String),
    /// Whether it was accepted is not known.
    Unsure,
}

/// Gives orders to the control VMs.
pub(crate) struct Orders {
    reactor: flume::Sender<Input>,
    published: watch::Receiver<Published>,
    /// Data centres that the settings name.
    named: Arc<BTreeSet<Name>>,
}

impl Orders {
    /// Orders for the data centres that the settings name, and those that have endpoints.
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

    /// Evacuates a data centre, or ends that.
    pub(crate) async fn give(&self, data_centre: &str, is_evacuated: bool) -> Outcome {
        let known = Name::try_from(data_centre);
        let Some(data_centre) = known.ok().filter(|name| self.knows(name)) else {
            return Outcome::Unknown(format!("there is no data centre {data_centre:?}"));
        };
        let order = tokio::time::timeout(ACCEPT, self.fenced(data_centre, is_evacuated));
        order.await.ok().flatten().unwrap_or(Outcome::Unsure)
    }

    /// Gives an order that holds unless a later one has come meanwhile.
    async fn fenced(&self, data_centre: Name, is_evacuated: bool) -> Option<Outcome> {
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

    async fn ask(&self, query: Query) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        self.reactor.send(Input::Query(query, sender)).ok()?;
        receiver.await.ok()
    }

    fn knows(&self, data_centre: &Name) -> bool {
        let view = &self.published.borrow().view;
        self.named.contains(data_centre)
            || view.evacuations.contains_key(data_centre)
            || view
                .endpoint_counts()
                .iter()
                .any(|c| c.data_centre == *data_centre)
    }
}
