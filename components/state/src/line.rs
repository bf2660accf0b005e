//! Kinds of log lines. Each line has its kind in the field `event`, for searches and alerts.

/// Kind of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// The process listens on its addresses.
    Started,
    /// The process is ready for requests.
    Ready,
    /// The process shuts down and sends callers to other routers.
    Stopping,
    /// The process refuses new requests.
    Closed,
    /// What a stopping process still waits for.
    Draining,
    /// A stopping process waits no longer, for this reason.
    Drained,
    /// A stopping process has ended its work.
    Stopped,
    /// Requests were still in progress at the end of the grace period of a shutdown.
    DrainIncomplete,
    /// The settings file has changed and was applied.
    SettingsReloaded,
    /// The settings file has changed but is invalid.
    SettingsRefused,
    /// A value of the settings was replaced by another one.
    SettingsAdjusted,
    /// A dependency of the process cannot be reached.
    DependencyLost,
    /// The dependency can be reached again.
    DependencyRegained,
    /// Connections were closed because their callers did not read a response to its end.
    AnswersUnread,
    /// Connections of a customer were closed unread, since tasks ran late or there was no place.
    ConnectionsUnread,
    /// Log lines were dropped.
    LinesDropped,
    /// A request is sent to an endpoint, first or as a retry.
    RequestSent,
    /// An attempt to run a request has failed.
    TryFailed,
    /// A request has ended.
    RequestEnded,
    /// State of a scheduler.
    SchedulerState,
    /// Share of the service that a scheduler gives to one customer.
    SchedulerShare,
    /// The leader has assigned a scheduler.
    SchedulerAssigned,
    /// An endpoint broke off a request, which may have crashed it.
    CrashEvidence,
    /// The leader has attributed crashes to a part of prompts, or has cleared it.
    CrashAttributed,
    /// A request is quarantined because it has crashed endpoints.
    QuarantineBegan,
    /// The quarantine of a request has ended.
    QuarantineEnded,
    /// The evacuation of a data centre has begun: its endpoints get no requests.
    EvacuationBegan,
    /// The evacuation of a data centre has ended.
    EvacuationEnded,
    /// An endpoint gets no requests after consecutive failures.
    EndpointEjected,
    /// An ejected endpoint has answered and gets requests again.
    EndpointRestored,
    /// An endpoint has asked for a pause, or for no more requests.
    EndpointBackoff,
    /// The platform's list of endpoints has changed.
    EndpointsChanged,
    /// The platform has announced that an endpoint drains, or is back.
    EndpointAnnounced,
    /// A new version of the view is in force in this process.
    VersionInForce,
    /// The members among the control VMs have changed.
    MembersChanged,
    /// This VM became the leader of the control VMs.
    LeaderBegan,
    /// This VM is no longer the leader.
    LeaderEnded,
    /// A complete configuration was accepted.
    ReleaseAccepted,
    /// A complete configuration was refused.
    ReleaseRefused,
    /// It is not known yet whether a complete configuration was accepted.
    ReleaseUnanswered,
    /// The durable state cannot be written, so the process ends.
    StateLost,
    /// Origins of streams cannot be written, and are lost if all control VMs lose power.
    OriginsUnwritten,
    /// Software versions have joined their services.
    VersionsJoined,
    /// An engine did not report the contents of its cache.
    InventoryMissing,
    /// Entries of the platform's list of endpoints could not be read.
    ListingUnreadable,
    /// A connection could not be accepted.
    AcceptFailed,
    /// A message to another process could not be sent, and the link to it was closed.
    MessageLost,
    /// A link was closed because its peer does not take what is queued for it.
    LinkBacklogged,
    /// Another process was sent the whole view, which it lacked.
    ViewSent,
    /// The view of this process has been older than the newest version for seconds, or no longer is.
    ViewBehind,
    /// Use of the VM's resources by the process, while it is high.
    Pressure,
    /// The process began or ceased to send new connections to other routers because of its load.
    Overload,
    /// The process began or ceased to send new callers to other routers because it schedules
    /// for many of them.
    Dedicated,
    /// The router began to hand requests over to other routers.
    HandoverBegan,
    /// The router ceased to hand requests over to other routers.
    HandoverEnded,
    /// Requests that were handed over to one router within the last second.
    RequestsHandedOver,
}

impl Line {
    /// All kinds.
    pub const ALL: [Line; 56] = [
        Line::Started,
        Line::Ready,
        Line::Stopping,
        Line::Closed,
        Line::Draining,
        Line::Drained,
        Line::Stopped,
        Line::DrainIncomplete,
        Line::SettingsReloaded,
        Line::SettingsAdjusted,
        Line::SettingsRefused,
        Line::DependencyLost,
        Line::DependencyRegained,
        Line::AnswersUnread,
        Line::ConnectionsUnread,
        Line::LinesDropped,
        Line::RequestSent,
        Line::TryFailed,
        Line::RequestEnded,
        Line::SchedulerState,
        Line::SchedulerShare,
        Line::SchedulerAssigned,
        Line::CrashEvidence,
        Line::CrashAttributed,
        Line::QuarantineBegan,
        Line::QuarantineEnded,
        Line::EvacuationBegan,
        Line::EvacuationEnded,
        Line::EndpointEjected,
        Line::EndpointRestored,
        Line::EndpointBackoff,
        Line::EndpointsChanged,
        Line::EndpointAnnounced,
        Line::VersionInForce,
        Line::MembersChanged,
        Line::LeaderBegan,
        Line::LeaderEnded,
        Line::ReleaseAccepted,
        Line::ReleaseRefused,
        Line::ReleaseUnanswered,
        Line::StateLost,
        Line::OriginsUnwritten,
        Line::VersionsJoined,
        Line::InventoryMissing,
        Line::ListingUnreadable,
        Line::AcceptFailed,
        Line::MessageLost,
        Line::LinkBacklogged,
        Line::ViewSent,
        Line::ViewBehind,
        Line::Pressure,
        Line::Overload,
        Line::Dedicated,
        Line::HandoverBegan,
        Line::HandoverEnded,
        Line::RequestsHandedOver,
    ];

    /// The value of the field `event`.
    pub fn as_str(self) -> &'static str {
        match self {
            Line::Started => "started",
            Line::Ready => "ready",
            Line::Stopping => "stopping",
            Line::Closed => "closed",
            Line::Draining => "draining",
            Line::Drained => "drained",
            Line::Stopped => "stopped",
            Line::DrainIncomplete => "drain-incomplete",
            Line::SettingsReloaded => "settings-reloaded",
            Line::SettingsAdjusted => "settings-adjusted",
            Line::SettingsRefused => "settings-refused",
            Line::DependencyLost => "dependency-lost",
            Line::DependencyRegained => "dependency-regained",
            Line::AnswersUnread => "answers-unread",
            Line::ConnectionsUnread => "connections-unread",
            Line::LinesDropped => "lines-dropped",
            Line::RequestSent => "request-sent",
            Line::TryFailed => "try-failed",
            Line::RequestEnded => "request-ended",
            Line::SchedulerState => "scheduler-state",
            Line::SchedulerShare => "scheduler-share",
            Line::SchedulerAssigned => "scheduler-assigned",
            Line::CrashEvidence => "crash-evidence",
            Line::CrashAttributed => "crash-attributed",
            Line::QuarantineBegan => "quarantine-began",
            Line::QuarantineEnded => "quarantine-ended",
            Line::EvacuationBegan => "evacuation-began",
            Line::EvacuationEnded => "evacuation-ended",
            Line::EndpointEjected => "endpoint-ejected",
            Line::EndpointRestored => "endpoint-restored",
            Line::EndpointBackoff => "endpoint-backoff",
            Line::EndpointsChanged => "endpoints-changed",
            Line::EndpointAnnounced => "endpoint-announced",
            Line::VersionInForce => "version-in-force",
            Line::MembersChanged => "members-changed",
            Line::LeaderBegan => "leader-began",
            Line::LeaderEnded => "leader-ended",
            Line::ReleaseAccepted => "release-accepted",
            Line::ReleaseRefused => "release-refused",
            Line::ReleaseUnanswered => "release-unanswered",
            Line::StateLost => "state-lost",
            Line::OriginsUnwritten => "origins-unwritten",
            Line::VersionsJoined => "versions-joined",
            Line::InventoryMissing => "inventory-missing",
            Line::ListingUnreadable => "listing-unreadable",
            Line::AcceptFailed => "accept-failed",
            Line::MessageLost => "message-lost",
            Line::LinkBacklogged => "link-backlogged",
            Line::ViewSent => "view-sent",
            Line::ViewBehind => "view-behind",
            Line::Pressure => "pressure",
            Line::Overload => "overload",
            Line::Dedicated => "dedicated",
            Line::HandoverBegan => "handover-began",
            Line::HandoverEnded => "handover-ended",
            Line::RequestsHandedOver => "requests-handed-over",
        }
    }
}
