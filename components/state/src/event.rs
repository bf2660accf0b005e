//! Typed events of the time line.

use crate::clock::Stamp;
use crate::id::{CustomerId, EndpointId, Epoch, Name, RequestId, ServiceId, Version};
use serde::{Deserialize, Serialize};

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A caller's request was taken.
    Taken,
    /// The request was queued.
    Queued,
    /// A scheduler granted a slot.
    Granted,
    /// A router refused or gave back a grant.
    GrantReturned,
    /// The request was sent to an endpoint.
    Sent,
    /// The request was sent again, to another endpoint.
    Retried,
    /// The answer ended.
    Ended,
    /// The request was refused or given up on.
    Refused,
    /// The caller went away.
    CallerGone,
    /// An idempotency key was claimed.
    Claimed,
    /// A new version came into force on this process.
    VersionInForce,
    /// A scheduler began to work for a service.
    SchedulerBegan,
    /// A scheduler ended its work for a service.
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
    /// An ejected endpoint was tried again.
    Restored,
    /// The process began to stop.
    Stopping,
    /// A planned stop was announced.
    StopAnnounced,
}

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Event {
    /// Hybrid logical time.
    pub stamp: Stamp,
    /// What happened.
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
    /// An event with nothing but its step; the journal stamps it.
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

    /// Names the request.
    pub fn request(mut self, id: RequestId) -> Self {
        self.request = Some(id);
        self
    }

    /// Names the customer.
    pub fn customer(mut self, id: CustomerId) -> Self {
        self.customer = Some(id);
        self
    }

    /// Names the service.
    pub fn service(mut self, id: ServiceId) -> Self {
        self.service = Some(id);
        self
    }

    /// Names the endpoint.
    pub fn endpoint(mut self, id: EndpointId) -> Self {
        self.endpoint = Some(id);
        self
    }

    /// Names the peer.
    pub fn peer(mut self, name: &Name) -> Self {
        self.peer = Some(name.clone());
        self
    }

    /// Names the version.
    pub fn version(mut self, version: Version) -> Self {
        self.version = Some(version);
        self
    }

    /// Names the epoch.
    pub fn epoch(mut self, epoch: Epoch) -> Self {
        self.epoch = Some(epoch);
        self
    }
}
