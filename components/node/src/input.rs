//! What the reactor is told.

use crate::interface::Contents;
use crate::shared::Status;
use coordination::backoff::Backoff;
use coordination::dispatcher::{Arrival, Handle, Rejection};
use coordination::messages::{Placement, Refusal, Verdict};
use protocol::wire::{Query, Reply};
use state::clock::Millis;
use state::id::{EndpointId, Name};
use state::listing::Entry;
use state::suspect::{Completion, Crash};
use state::view::{Node, Step, View};
use std::net::SocketAddr;
use tokio::sync::oneshot;
use transport::link;

/// Where to send a request.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch {
    /// Endpoint.
    pub(crate) endpoint: EndpointId,
    /// Its name.
    pub(crate) name: Name,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Engine that has kept more of the prompt, to copy it from.
    pub(crate) copy_from: Option<SocketAddr>,
    /// What decided.
    pub(crate) placement: Placement,
}

/// What becomes of a waiting request.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    /// Send it.
    Dispatch(Dispatch),
    /// It cannot be served in time.
    Refused(Refusal),
    /// No endpoint takes work for it.
    NoEndpoint,
    /// Its deadline has passed.
    Expired,
}

/// Receiver of a decision.
pub(crate) type Decided = oneshot::Receiver<Decision>;

/// What was read of the platform's list.
#[derive(Clone, Debug)]
pub(crate) struct Reading {
    /// When it began.
    pub(crate) began: Millis,
    /// The entries.
    pub(crate) endpoints: Vec<Entry>,
    /// Whether it has all pages.
    pub(crate) is_whole: bool,
}

/// An endpoint whose load this VM asks for.
#[derive(Clone, Debug)]
pub(crate) struct Watched {
    /// Endpoint.
    pub(crate) endpoint: EndpointId,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// Path of its load report.
    pub(crate) path: String,
}

/// An input of the reactor.
pub(crate) enum Input {
    /// Something happened on the links.
    Link(link::Event),
    /// A request arrives.
    Arrive(
        Arrival,
        oneshot::Sender<Result<(Handle, Decided), Rejection>>,
    ),
    /// A waiting request's caller has gone.
    Cancel(Handle),
    /// A request failed and is to be queued again.
    Requeue(Handle, Verdict, oneshot::Sender<Decided>),
    /// The first byte of an answer has come, this many milliseconds after its dispatch;
    /// `None` if tasks ran late meanwhile.
    FirstByte(Handle, Option<u32>),
    /// A request has cost this much so far.
    Progress(Handle, u32),
    /// A request has ended.
    Done(Handle, u32, Verdict),
    /// An endpoint has said in its answer to a request that it wants no more of them.
    Backoff(Handle, Backoff),
    /// An endpoint broke off a request.
    Crashed(Crash),
    /// An endpoint has answered a suspected request whole.
    Cleared(Completion),
    /// Something for the control VMs.
    Query(Query, oneshot::Sender<Reply>),
    /// An endpoint reported its load.
    Load(EndpointId, u32),
    /// Steps that the control role of this process saw accepted.
    Applied(Vec<Step>),
    /// A view that the control role of this process was given whole.
    Restored(Box<View>),
    /// Whether the control role of this process follows a living leader.
    Fresh(bool),
    /// Whether the control role of this process leads.
    Leads(bool),
    /// The control VMs, voting or not, as the control role of this process knows
    /// them.
    Members(Vec<Node>),
    /// The settings name other control VMs.
    Seeds(Vec<Node>),
    /// Is this process to read the platform's list of endpoints now? Answered with the time.
    ListingDue(oneshot::Sender<Option<Millis>>),
    /// What it has read.
    ListingRead(Reading),
    /// What an engine has kept; nothing if it did not tell.
    Inventory(EndpointId, Contents),
    /// Which endpoints are scheduled here, and where do they report their load?
    Watched(oneshot::Sender<Vec<Watched>>),
    /// What is the state?
    Status(oneshot::Sender<Status>),
    /// Stop: callers are to go elsewhere.
    Stop,
    /// Take no more requests.
    Close,
    /// End.
    End,
}
