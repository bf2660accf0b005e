//! Inputs of the reactor.

use crate::interface::{Contents, Load};
use crate::shared::Status;
use coordination::backoff::Backoff;
use coordination::dispatcher::{Arrival, Handle, Rejection};
use coordination::messages::{Objective, Placement, Refusal, Verdict};
use coordination::origin::{self, Origin};
use coordination::pause::Observed;
use protocol::wire::{Message, Query, Reply};
use state::catalog::Catalog;
use state::clock::Millis;
use state::id::{EndpointId, Name, Software};
use state::listing::Entry;
use state::suspect::{Break, Completion, Crash, Survival};
use state::view::{Node, Step, View};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use transport::link;

/// The endpoint that a request is sent to.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    /// ID of the endpoint.
    pub(crate) endpoint: EndpointId,
    /// Name of the endpoint.
    pub(crate) name: Name,
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
    /// Version of its software.
    pub(crate) software: Software,
    /// Engine that has more of the prompt in its cache, to copy it from.
    pub(crate) copy_from: Option<SocketAddr>,
    /// Why this endpoint was chosen.
    pub(crate) placement: Placement,
}

/// Decision about a waiting request.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    /// Send the request to this endpoint.
    Dispatch(Dispatch),
    /// The request cannot be served in time.
    Refused(Refusal),
    /// No endpoint accepts the request.
    NoEndpoint,
    /// The request's deadline has passed.
    Expired,
}

/// Receiver of the decision about a request.
pub(crate) type Decided = oneshot::Receiver<Decision>;

/// Result of one read of the platform's list.
#[derive(Clone, Debug)]
pub(crate) struct Reading {
    /// When the read began.
    pub(crate) began: Millis,
    /// Entries that could be read.
    pub(crate) endpoints: Vec<Entry>,
    /// Whether all pages could be read.
    pub(crate) is_whole: bool,
}

/// An endpoint that is polled for its load report.
#[derive(Clone, Debug)]
pub(crate) struct Watched {
    /// ID of the endpoint.
    pub(crate) endpoint: EndpointId,
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
    /// Path of its load report.
    pub(crate) path: String,
}

/// Times of the next event of a stream that is resumed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NextEvent {
    /// When the event counts as late.
    pub(crate) aim: Millis,
    /// When the caller gives up the stream without it.
    pub(crate) gives_up: Millis,
    /// Software version that the endpoint must have.
    pub(crate) software: Option<Software>,
}

/// Where a stream that its caller takes up again may go on, and how that is known.
#[derive(Clone, Debug)]
pub(crate) struct Continued {
    pub(crate) decision: origin::Decision,
    /// Whether the service has had no other version.
    pub(crate) is_only: bool,
    /// Source of the decision, for the access log.
    pub(crate) source: &'static str,
    /// Age of this router's list of endpoints, in milliseconds; `None` without a list.
    pub(crate) listing_age_ms: Option<u64>,
    /// Versions of the service's endpoints that this router knows.
    pub(crate) listed: BTreeSet<Software>,
}

/// An input of the reactor.
pub(crate) enum Input {
    /// An event of the links.
    Link(link::Event),
    /// A request arrives, with what is demanded of the stream that answers it, and the software
    /// version that the endpoint must have. The reply is its handle and the receiver of its
    /// decision.
    Arrive(
        Arrival,
        Option<Objective>,
        Option<Software>,
        oneshot::Sender<Result<(Handle, Decided), Rejection>>,
    ),
    /// The caller of a waiting request has disconnected.
    Cancel(Handle),
    /// A try has failed and the request is queued again, with new times if it is resumed.
    Requeue(Handle, Verdict, Option<NextEvent>, oneshot::Sender<Decided>),
    /// A stream that its caller may take up again has brought its first event, or is still in
    /// progress after [`REPORT_AGAIN_MS`](origin::REPORT_AGAIN_MS).
    Began(origin::Key, Origin),
    /// Asks where a stream that its caller takes up again may go on.
    Continue(origin::Stream, origin::Key, oneshot::Sender<Continued>),
    /// The first byte of an answer has arrived, this many milliseconds after the dispatch. `None`
    /// if tasks ran late meanwhile, so that the time says little about the endpoint.
    FirstByte(Handle, Option<u32>),
    /// Speed that the endpoint has stated in the head of the answer, in percent of the usual time,
    /// and the age of the statement in milliseconds.
    Speed(Handle, u16, u16),
    /// Pauses between the events of an answer.
    Pauses(Handle, Observed),
    /// Cost of a running request so far.
    Progress(Handle, u32),
    /// A request has ended with this cost.
    Done(Handle, u32, Verdict),
    /// An endpoint has announced in an answer that it wants no more requests for a time or at all.
    Backoff(Handle, Backoff),
    /// An endpoint closed its connection during a request.
    Crashed(Crash),
    /// An endpoint broke off a request with parts of a prompt that may have crashed it.
    Broken(Break),
    /// An endpoint answers a prompt with a suspected part.
    Survived(Survival),
    /// An endpoint has answered a suspected request completely.
    Completed(Completion),
    /// A query to the control VMs.
    Query(Query, oneshot::Sender<Reply>),
    /// An endpoint reported its load.
    Load(EndpointId, Load),
    /// The control role of this process has applied these steps.
    Applied(Vec<Step>),
    /// The control role of this process has restored this view from a snapshot.
    Restored(Box<View>),
    /// Whether the control role of this process follows a live leader.
    LeaderContact(bool),
    /// Whether the control role of this process is the leader.
    Leadership(bool),
    /// The control role of this process has this catalog of software versions.
    Catalog(Box<Catalog>),
    /// Members of the replicated log, voting or not, from the control role of this process.
    Members(Vec<Node>),
    /// The control VMs in the settings have changed.
    Seeds(Vec<Node>),
    /// Asks whether this process should read the platform's list of endpoints now. If so, the
    /// reply is the current time.
    ListingDue(oneshot::Sender<Option<Millis>>),
    /// Result of such a read.
    ListingRead(Reading),
    /// Contents of an engine's prompt cache; empty if it did not answer.
    Inventory(EndpointId, Contents),
    /// Asks for the endpoints that are scheduled here and have a load report.
    Watched(oneshot::Sender<Vec<Watched>>),
    /// Asks for the state of this process.
    Status(oneshot::Sender<Status>),
    /// Starts a stop: readiness fails, so that callers use other routers.
    Stop,
    /// Refuses new requests from now on.
    Close,
    /// Ends the reactor.
    End,
}

impl Input {
    /// Whether this input may be handled before the other parts of the reactor know the view's new
    /// version: it is a new version itself, or is only passed on to the control role.
    pub(crate) fn may_precede_version(&self) -> bool {
        matches!(
            self,
            Input::Applied(_)
                | Input::Restored(_)
                | Input::Link(link::Event::Message(
                    _,
                    Message::Updates(_)
                        | Message::FullView(_)
                        | Message::Consensus(_)
                        | Message::Heartbeat { .. }
                        | Message::Query(..),
                    _
                ))
        )
    }
}
