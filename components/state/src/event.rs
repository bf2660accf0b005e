//! Events of the timeline, which the journal records per process.

use crate::clock::Stamp;
use crate::id::{CustomerId, EndpointId, Epoch, Name, RequestId, ServiceId, Version};
use serde::{Deserialize, Serialize};

/// Kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A router received a request.
    Taken,
    /// The request was queued.
    Queued,
    /// A scheduler granted a slot.
    Granted,
    /// A router returned a grant without using it.
    GrantReturned,
    /// The request was sent to an endpoint.
    Sent,
    /// The request was sent again, to another endpoint.
    Retried,
    /// The response ended.
    Ended,
    /// The router refused the request, or gave up on it.
    Refused,
    /// The caller disconnected.
    CallerGone,
    /// An idempotency key was claimed.
    Claimed,
    /// A new version came into force on this process.
    VersionInForce,
    /// A scheduler for a service started on this process.
    SchedulerBegan,
    /// A scheduler for a service ended on this process.
    SchedulerEnded,
    /// A link to a peer came up.
    LinkUp,
    /// A link to a peer went down.
    LinkDown,
    /// This control VM became the leader.
    LeaderBegan,
    /// This control VM ceased to be the leader.
    LeaderEnded,
    /// An endpoint was ejected after failures.
    Ejected,
    /// An ejected endpoint is in use again.
    Restored,
    /// The process started to shut down.
    Stopping,
    /// A planned stop was announced.
    StopAnnounced,
}

/// An event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Event {
    /// Time of the event, by the hybrid logical clock.
    pub stamp: Stamp,
    /// Kind of the event.
    #[serde(rename = "step")]
    pub kind: Kind,
    /// Request concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub request: Option<RequestId>,
    /// Customer concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub customer: Option<CustomerId>,
    /// Service concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub service: Option<ServiceId>,
    /// Endpoint concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub endpoint: Option<EndpointId>,
    /// Peer concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub peer: Option<Name>,
    /// Version concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub version: Option<Version>,
    /// Epoch concerned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub epoch: Option<Epoch>,
}

impl Event {
    /// Creates an event of a kind; the journal sets its stamp.
    pub fn new(kind: Kind) -> Self {
        Event {
            stamp: Stamp::default(),
            kind,
            request: None,
            customer: None,
            service: None,
            endpoint: None,
            peer: None,
            version: None,
            epoch: None,
        }
    }

    /// Sets the request.
    pub fn request(mut self, id: RequestId) -> Self {
        self.request = Some(id);
        self
    }

    /// Sets the customer.
    pub fn customer(mut self, id: CustomerId) -> Self {
        self.customer = Some(id);
        self
    }

    /// Sets the service.
    pub fn service(mut self, id: ServiceId) -> Self {
        self.service = Some(id);
        self
    }

    /// Sets the endpoint.
    pub fn endpoint(mut self, id: EndpointId) -> Self {
        self.endpoint = Some(id);
        self
    }

    /// Sets the peer.
    pub fn peer(mut self, name: &Name) -> Self {
        self.peer = Some(name.clone());
        self
    }

    /// Sets the version.
    pub fn version(mut self, version: Version) -> Self {
        self.version = Some(version);
        self
    }

    /// Sets the epoch.
    pub fn epoch(mut self, epoch: Epoch) -> Self {
        self.epoch = Some(epoch);
        self
    }
}
