//! Whether an answer that has ended is complete.
//!
//! The end of an answer with a length or with chunks is marked. An answer with neither ends with
//! its connection, and the connection of an endpoint that has crashed ends in the same way. Of a
//! stream of events, the events themselves tell the two apart: one that ends inside an event has
//! been broken off.

/// How the end of an answer's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunked,
    /// Only by the end of its connection.
    Close,
}

impl Framing {
    /// Name of the framing in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Close => "close",
        }
    }
}

/// Whether an answer may be whole that has ended without an error.
///
/// An endpoint that accepts a request and ends its answer by the end of the connection alone, before
/// the request was written to it, is not known to have meant that end. One that refuses a request need
/// not read the rest of it.
pub fn may_be_whole(framing: Framing, is_accepted: bool, is_written: bool) -> bool {
    framing != Framing::Close || is_written || !is_accepted
}

/// What the end of a body says of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer is complete, as far as can be known.
    Complete,
    /// The endpoint has marked the end of a stream inside an event.
    Truncated,
    /// The connection has ended inside an event, or before the first one.
    BrokenOff,
}

/// Longest field name that is compared.
const NAME_MAX: usize = 5;

/// Where in a stream of server-sent events its latest byte is.
#[derive(Clone, Debug, Default)]
pub struct Boundary {
    /// First bytes of the unfinished line.
    line: [u8; NAME_MAX],
    /// Length of the unfinished line, in bytes.
    line_length: usize,
    /// Whether the last byte was a carriage return, which a line feed may follow.
    after_return: bool,
    /// Whether lines end with both a carriage return and a line feed.
    has_pairs: bool,
    /// Whether a field has come since the last empty line. Comments are no fields.
    has_field: bool,
    /// Whether one of these fields makes an event.
    is_event: bool,
    /// Whether a whole event has come.
    has_event: bool,
    /// Bytes since the last empty line.
    unfinished: usize,
}

impl Boundary {
    /// Takes the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        for byte in piece {
            let is_second = std::mem::take(&mut self.after_return) && *byte == b'\n';
            if is_second {
                // Part of the line end before it.
                self.has_pairs = true;
                self.unfinished += usize::from(self.unfinished > 0);
                continue;
            }
            self.unfinished += 1;
            match byte {
                b'\n' | b'\r' => {
                    self.after_return = *byte == b'\r';
                    self.end_line();
                }
                _ => {
                    if let Some(place) = self.line.get_mut(self.line_length) {
                        *place = *byte;
                    }
                    self.line_length += 1;
                }
            }
        }
    }

    fn end_line(&mut self) {
        let length = std::mem::take(&mut self.line_length);
        if length == 0 {
            self.has_event |= self.is_event;
            self.has_field = false;
            self.is_event = false;
            self.unfinished = 0;
            return;
        }
        let start = self.line.get(..length).unwrap_or(&self.line);
        self.has_field |= !start.starts_with(b":");
        let name = start.split(|b| *b == b':').next();
        self.is_event |= matches!(name, Some(b"data" | b"id"));
    }

    /// Whether the stream is inside an event or a line. A whole comment is no part of an event.
    pub fn is_inside_event(&self) -> bool {
        let is_inside_pair = self.after_return && self.has_pairs;
        self.line_length > 0 || self.has_field || is_inside_pair
    }

    /// Whether a whole event has come.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Bytes since the end of the last whole event. Not 0 inside an event.
    pub fn unfinished(&self) -> usize {
        self.unfinished.max(usize::from(self.is_inside_event()))
    }

    /// Judges a stream of events that ends here without an error of its connection.
    pub fn judge(&self, framing: Framing) -> Ending {
        match framing {
            Framing::Close if self.is_inside_event() || !self.has_event => Ending::BrokenOff,
            Framing::Length | Framing::Chunked if self.is_inside_event() => Ending::Truncated,
            Framing::Length | Framing::Chunked | Framing::Close => Ending::Complete,
        }
    }
}
