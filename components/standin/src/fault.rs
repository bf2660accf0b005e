//! Misbehaviour on demand.

/// What goes wrong with one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The answer is cut in the middle.
    Cut,
    /// The connection is closed without an answer.
    Silence,
    /// The answer is a redirect to the same place.
    Redirect,
    /// The answer bears the identity of another request.
    Swap,
    /// The answer says that the server failed.
    Broken,
    /// The process ends while it works on the request, if it may.
    Crash,
}

impl From<&str> for Fault {
    fn from(text: &str) -> Self {
        match text {
            "cut" => Fault::Cut,
            "silence" => Fault::Silence,
            "redirect" => Fault::Redirect,
            "swap" => Fault::Swap,
            "broken" => Fault::Broken,
            "crash" => Fault::Crash,
            _ => Fault::None,
        }
    }
}
