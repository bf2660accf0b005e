//! Faults that a request can ask for.

/// Fault in the response to one request, named by its `stand-in-fault` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The response ends halfway through its body.
    Cut,
    /// The connection is closed in the middle of an event, halfway through the stream.
    Tear,
    /// The connection is reset in the middle of an event, halfway through the stream.
    Reset,
    /// Nothing more is sent after half of an event, halfway through the stream.
    Stall,
    /// The response ends as complete in the middle of an event, halfway through the stream.
    Truncate,
    /// The stream begins with its first event, whichever event the request names.
    Restart,
    /// The connection is closed without a response.
    NoResponse,
    /// The response is a redirect to the stand-in itself.
    Redirect,
    /// The response carries the identity of another request.
    WrongIdentity,
    /// The status of the response is 500.
    ServerError,
    /// The process exits while it handles the request, if
    /// [`Settings::may_crash`](crate::Settings::may_crash) allows it.
    Crash,
}

impl Fault {
    /// Whether a stream breaks in the middle of an event.
    pub(crate) fn is_within_event(self) -> bool {
        matches!(
            self,
            Fault::Tear | Fault::Reset | Fault::Stall | Fault::Truncate
        )
    }
}

impl From<&str> for Fault {
    fn from(text: &str) -> Self {
        match text {
            "cut" => Fault::Cut,
            "tear" => Fault::Tear,
            "reset" => Fault::Reset,
            "stall" => Fault::Stall,
            "truncate" => Fault::Truncate,
            "restart" => Fault::Restart,
            "silence" => Fault::NoResponse,
            "redirect" => Fault::Redirect,
            "swap" => Fault::WrongIdentity,
            "broken" => Fault::ServerError,
            "crash" => Fault::Crash,
            _ => Fault::None,
        }
    }
}
