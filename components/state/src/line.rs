//! Kinds of log lines. Each line names its kind in the field `event`, by which
//! readers of logs find it.

/// What a log line tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// The process serves on its addresses.
    Started,
    /// The process takes requests.
    Ready,
    /// The process turns callers away.
    Stopping,
    /// The process refuses new requests.
    Closed,
    /// Requests were still in progress when the time for a stop was up.
    DrainIncomplete,
    /// The settings file has changed and is followed.
    SettingsReloaded,
    /// The settings file has changed and cannot be used.
    SettingsRefused,
    /// A figure of the settings was read as another one.
    SettingsAdjusted,
    /// Something that the process needs cannot be reached.
    DependencyLost,
    /// It can be reached again.
    DependencyRegained,
    /// Connections were ended whose callers left an answer unread past its end.
    AnswersUnread,
    /// Log lines were dropped.
    LinesDropped,
    /// A try of a request is sent to an endpoint.
    RequestSent,
    /// A try has failed.
    TryFailed,
    /// A request has ended.
    RequestEnded,
    /// What a scheduler believes.
    SchedulerState,
    /// What a scheduler gives one customer, and how it stands beside others.
    SchedulerShare,
    /// The leader has assigned a scheduler.
    SchedulerAssigned,
    /// A request is refused from now on, since it has crashed endpoints.
    QuarantineBegan,
    /// It is served again.
    QuarantineEnded,
    /// A data centre's endpoints get no requests from now on.
    EvacuationBegan,
    /// They get requests again.
    EvacuationEnded,
    /// An endpoint gets no requests after failures in a row.
    EndpointEjected,
    /// An ejected endpoint has answered.
    EndpointRestored,
    /// An endpoint has said that it wants no requests for a while, or none any more.
    EndpointBackoff,
    /// The list of endpoints has changed.
    EndpointsChanged,
    /// The platform says that an endpoint leaves, or is back.
    EndpointAnnounced,
    /// A version is in force in this process.
    VersionInForce,
    /// The control VMs have changed.
    MembersChanged,
    /// This VM leads the control VMs.
    LeaderBegan,
    /// It no longer does.
    LeaderEnded,
    /// A complete configuration was accepted.
    ReleaseAccepted,
    /// A complete configuration was refused.
    ReleaseRefused,
    /// Nobody knows yet whether a complete configuration was accepted.
    ReleaseUnanswered,
    /// The durable state cannot be kept: the process ends.
    StateLost,
    /// An engine did not tell what it has kept.
    InventoryMissing,
    /// Entries of the platform's list of endpoints could not be read.
    ListingUnreadable,
    /// A connection could not be accepted.
    AcceptFailed,
    /// A message to another process could not be written.
    MessageLost,
    /// What the process takes of its VM, while that is much.
    Pressure,
    /// New connections are to go to other routers, or may come again.
    Overload,
    /// New callers are to go to other routers since this VM schedules for many, or may come
    /// again.
    Dedicated,
}

impl Line {
    /// All kinds.
    pub const ALL: [Line; 42] = [
        Line::Started,
        Line::Ready,
        Line::Stopping,
        Line::Closed,
        Line::DrainIncomplete,
        Line::SettingsReloaded,
        Line::SettingsAdjusted,
        Line::SettingsRefused,
        Line::DependencyLost,
        Line::DependencyRegained,
        Line::AnswersUnread,
        Line::LinesDropped,
        Line::RequestSent,
        Line::TryFailed,
        Line::RequestEnded,
        Line::SchedulerState,
        Line::SchedulerShare,
        Line::SchedulerAssigned,
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
        Line::InventoryMissing,
        Line::ListingUnreadable,
        Line::AcceptFailed,
        Line::MessageLost,
        Line::Pressure,
        Line::Overload,
        Line::Dedicated,
    ];

    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Line::Started => "started",
            Line::Ready => "ready",
            Line::Stopping => "stopping",
            Line::Closed => "closed",
            Line::DrainIncomplete => "drain-incomplete",
            Line::SettingsReloaded => "settings-reloaded",
            Line::SettingsAdjusted => "settings-adjusted",
            Line::SettingsRefused => "settings-refused",
            Line::DependencyLost => "dependency-lost",
            Line::DependencyRegained => "dependency-regained",
            Line::AnswersUnread => "answers-unread",
            Line::LinesDropped => "lines-dropped",
            Line::RequestSent => "request-sent",
            Line::TryFailed => "try-failed",
            Line::RequestEnded => "request-ended",
            Line::SchedulerState => "scheduler-state",
            Line::SchedulerShare => "scheduler-share",
            Line::SchedulerAssigned => "scheduler-assigned",
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
            Line::InventoryMissing => "inventory-missing",
            Line::ListingUnreadable => "listing-unreadable",
            Line::AcceptFailed => "accept-failed",
            Line::MessageLost => "message-lost",
            Line::Pressure => "pressure",
            Line::Overload => "overload",
            Line::Dedicated => "dedicated",
        }
    }
}
