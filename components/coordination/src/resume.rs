//! Resuming of streams of server-sent events that their endpoint broke off.
//!
//! A router passes on streams of 10 to 50 events of a few hundred bytes, several hundred streams
//! at a time. When an engine or a link fails, all streams in progress there break at once,
//! often in the middle of an event. Each of them may continue at another endpoint after the last
//! event that its caller has received whole.
//!
//! [`Events`] finds the ends and ids of events as pieces arrive, and holds back an unfinished
//! event. [`decide`] says whether a broken stream is resumed.

use crate::retry::Budget;
use state::clock::Millis;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Longest unfinished event that is held back, in bytes. It bounds the memory of a stream; events
/// of engines have a few hundred bytes.
pub const HELD_MAX_BYTES: usize = 64 * 1024;

/// Longest id that a stream is resumed from, in bytes. Servers refuse heads with long headers.
pub const ID_MAX_BYTES: usize = 1024;

/// Most events with an id in a stream that is resumed. Eight bytes are kept of each, so that a
/// repeated event is found.
pub const EVENTS_MAX: usize = 4096;

/// Byte order mark in UTF-8, which a stream may begin with.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Shortest silence after which an endpoint is given up, in milliseconds. Callers wait for at
/// least 2 s before they give up a stream, and shorter silences occur while an engine prefills.
pub const SILENCE_MIN_MS: u64 = 2000;

/// Multiple of a rule's longest pause for which an endpoint may be silent. Callers give up a
/// stream after eight times the pause, so there is as much time left for the next endpoint.
const SILENCE_PAUSES: u64 = 4;

/// Multiple of the latency target within which an answer must bring its first event. Callers give
/// up after four times the target, so there is as much time left for the next endpoint.
const FIRST_EVENT_AIMS: u64 = 2;

/// Breaks of a stream after which it ends. A request that breaks two endpoints may be one that
/// crashes them.
const BREAKS_MAX: u32 = 2;

/// Shortest gap after which callers give up a stream, in milliseconds.
const GIVE_UP_MIN_MS: u64 = 2000;
/// Multiple of a rule's longest pause after which callers give up a stream.
const GIVE_UP_PAUSES: u64 = 8;
/// Multiple of the latency target after which callers give up a stream.
const GIVE_UP_AIMS: u64 = 4;

/// Time in which a resumed stream should bring its next event, in milliseconds: half of the
/// shortest gap after which callers give up a stream.
pub const RESUME_AIM_MS: u64 = 1000;

/// Silence after which an endpoint is given up, in milliseconds.
///
/// `max_gap_ms` is the longest pause that the rule allows. Before the first event of an answer,
/// `aim_ms` is the latency target of the request, since an endpoint may send the head of an
/// answer long before its first event.
pub fn silence_ms(max_gap_ms: Option<u64>, aim_ms: Option<u64>) -> u64 {
    let by_gap = max_gap_ms.unwrap_or(0).saturating_mul(SILENCE_PAUSES);
    let by_aim = aim_ms.unwrap_or(0).saturating_mul(FIRST_EVENT_AIMS);
    SILENCE_MIN_MS.max(by_gap).max(by_aim)
}

/// Gap between two events after which callers give up a stream, in milliseconds.
///
/// `max_gap_ms` is the longest pause that the rule allows, `aim_ms` its latency target.
pub fn give_up_ms(max_gap_ms: Option<u64>, aim_ms: Option<u64>) -> u64 {
    let by_gap = max_gap_ms.unwrap_or(0).saturating_mul(GIVE_UP_PAUSES);
    let by_aim = aim_ms.unwrap_or(0).saturating_mul(GIVE_UP_AIMS);
    GIVE_UP_MIN_MS.max(by_gap).max(by_aim)
}

/// Latency target of a request whose rule has none, in milliseconds: its caller waits until the
/// deadline, as others wait for four times their target.
pub fn untargeted_aim_ms(remaining_ms: u64) -> u64 {
    remaining_ms / GIVE_UP_AIMS
}

/// Where a stream would be resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Position {
    /// No event was passed on: the request starts anew.
    Start,
    /// The last event that was passed on has this id.
    After(Vec<u8>),
    /// The last event that was passed on has no id of its own, or one that does not fit into a
    /// header or occurred before. An endpoint might send that event again.
    Unknown,
    /// An event or the number of events was beyond the bounds, so pieces are passed on as they
    /// come.
    Unbounded,
}

/// Why the answer of the next endpoint does not continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// An event has the id of one that was passed on before.
    Repeated,
    /// The first event has no id. The endpoint may send no ids at all and have begun anew.
    Unidentified,
    /// The first event exceeds [`HELD_MAX_BYTES`], so that its id is unknown.
    TooLong,
}

impl Mismatch {
    /// Name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Mismatch::Repeated => "repeated",
            Mismatch::Unidentified => "unidentified",
            Mismatch::TooLong => "too-long",
        }
    }
}

/// Parser of one stream, over all of the answers that it is put together from.
#[derive(Clone, Debug)]
pub struct Events {
    /// Bytes that were not passed on yet.
    held: Vec<u8>,
    /// Length of the whole events at the start of `held`.
    whole: usize,
    /// Start of the current line in `held`.
    line_start: usize,
    /// Whether the last byte was a carriage return. A line feed after it belongs to the same line
    /// end.
    after_return: bool,
    /// Id of the unfinished event.
    id: Option<Vec<u8>>,
    /// Whether the unfinished event has a `data` field.
    has_data: bool,
    /// Whether the present answer has brought a whole event.
    has_event: bool,
    /// Number of whole events of all answers.
    count: u64,
    /// Whether the first bytes of the present answer may be a byte order mark.
    is_at_start: bool,
    position: Position,
    /// Hashes of the ids that were passed on.
    passed: HashSet<u64>,
    /// Whether the present answer is not the first one.
    is_resumed: bool,
    /// Whether the present answer still has to show that it continues the stream.
    is_unconfirmed: bool,
}

impl Default for Events {
    fn default() -> Self {
        Events {
            held: Vec::new(),
            whole: 0,
            line_start: 0,
            after_return: false,
            id: None,
            has_data: false,
            has_event: false,
            count: 0,
            is_at_start: true,
            position: Position::Start,
            passed: HashSet::new(),
            is_resumed: false,
            is_unconfirmed: false,
        }
    }
}

impl Events {
    /// A stream that its caller resumes itself, after the event with this id.
    pub fn after(id: &[u8]) -> Self {
        let mut events = Events::default();
        events.passed.insert(hash(id));
        events
    }

    /// Takes the next piece of the answer. Returns the bytes to pass on: whole events.
    ///
    /// # Errors
    ///
    /// [`Mismatch`], if the answer of the next endpoint does not continue the stream. Nothing of
    /// the piece may be passed on then.
    pub fn push(&mut self, piece: &[u8]) -> Result<Vec<u8>, Mismatch> {
        if self.position == Position::Unbounded {
            return Ok(piece.to_vec());
        }
        for part in piece.split_inclusive(|b| is_line_end(*b)) {
            match part.split_last() {
                Some((end, line)) if is_line_end(*end) => {
                    self.push_bytes(line);
                    self.push_line_end(*end)?;
                }
                _ => self.push_bytes(part),
            }
        }
        if self.held.len() - self.whole > HELD_MAX_BYTES {
            if self.is_unconfirmed {
                return Err(Mismatch::TooLong);
            }
            self.position = Position::Unbounded;
        }
        if self.position == Position::Unbounded {
            self.passed = HashSet::new();
            return Ok(self.take_held());
        }
        let rest = self.held.split_off(self.whole);
        self.line_start -= self.whole;
        self.whole = 0;
        Ok(std::mem::replace(&mut self.held, rest))
    }

    /// Returns the bytes that are held back, at the end of a complete answer.
    pub fn take_held(&mut self) -> Vec<u8> {
        self.whole = 0;
        self.line_start = 0;
        std::mem::take(&mut self.held)
    }

    /// Number of bytes that are held back.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Whether the present answer has brought a whole event. Comments and `retry` fields are no
    /// events; an endpoint may send them before its prefill.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Number of whole events of all answers.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether the present answer is not the first one.
    pub fn is_resumed(&self) -> bool {
        self.is_resumed
    }

    /// Where the stream would be resumed.
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Drops the unfinished event of a broken answer; the next piece is of another answer, which
    /// must continue the stream.
    pub fn begin_next_answer(&mut self) {
        self.take_held();
        self.after_return = false;
        self.id = None;
        self.has_data = false;
        self.has_event = false;
        self.is_at_start = true;
        self.is_resumed = true;
        self.is_unconfirmed = matches!(self.position, Position::After(_));
    }

    /// Whether the present answer has yet to show that it continues the stream. If it ends like
    /// that, its endpoint may have ignored the position, and the stream is not known to be whole.
    pub fn is_unconfirmed(&self) -> bool {
        self.is_unconfirmed
    }

    /// Takes bytes within a line.
    fn push_bytes(&mut self, bytes: &[u8]) {
        self.after_return &= bytes.is_empty();
        self.held.extend_from_slice(bytes);
        if self.is_at_start && self.held.len() >= BYTE_ORDER_MARK.len() {
            self.skip_byte_order_mark();
        }
    }

    /// Skips a byte order mark at the start of an answer. Clients ignore it at the start of a
    /// stream; in the middle, where a later answer continues the stream, it would be a part of a
    /// field's name.
    fn skip_byte_order_mark(&mut self) {
        self.is_at_start = false;
        if !self.held.starts_with(BYTE_ORDER_MARK) {
            return;
        }
        if self.is_resumed {
            self.held.drain(..BYTE_ORDER_MARK.len());
        } else {
            self.line_start = BYTE_ORDER_MARK.len();
        }
    }

    /// Takes a byte that ends a line.
    fn push_line_end(&mut self, byte: u8) -> Result<(), Mismatch> {
        self.is_at_start = false;
        self.held.push(byte);
        let is_second = std::mem::take(&mut self.after_return) && byte == b'\n';
        if is_second {
            // Part of the line end before it, and of an event that ended there.
            if self.whole + 1 == self.held.len() {
                self.whole = self.held.len();
            }
            self.line_start = self.held.len();
            return Ok(());
        }
        self.after_return = byte == b'\r';
        let end = self.held.len() - 1;
        if self.line_start == end {
            self.end_event()?;
            self.whole = self.held.len();
        } else {
            self.read_field(self.line_start, end);
        }
        self.line_start = self.held.len();
        Ok(())
    }

    /// Reads the field of the line between two positions of `held`.
    fn read_field(&mut self, start: usize, end: usize) {
        let line = self.held.get(start..end).unwrap_or_default();
        let colon = line.iter().position(|b| *b == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        let value = value.strip_prefix(b":").unwrap_or(value);
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
            b"data" => self.has_data = true,
            // Clients ignore ids that contain a null character.
            b"id" if !value.contains(&0) => self.id = Some(value.to_vec()),
            _ => {}
        }
    }

    /// Ends an event at an empty line.
    fn end_event(&mut self) -> Result<(), Mismatch> {
        let id = self.id.take();
        let has_data = std::mem::take(&mut self.has_data);
        if id.is_none() && !has_data {
            // A comment, which no client takes for an event.
            return Ok(());
        }
        self.has_event = true;
        self.count += 1;
        let Some(id) = id.filter(|id| is_usable(id)) else {
            if self.is_unconfirmed {
                return Err(Mismatch::Unidentified);
            }
            self.position = Position::Unknown;
            return Ok(());
        };
        self.is_unconfirmed = false;
        if !self.passed.insert(hash(&id)) {
            if self.is_resumed {
                return Err(Mismatch::Repeated);
            }
            // It does not say after which of its events to resume.
            self.position = Position::Unknown;
            return Ok(());
        }
        self.position = match self.passed.len() > EVENTS_MAX {
            true => Position::Unbounded,
            false => Position::After(id),
        };
        Ok(())
    }
}

/// Hash by which a repeated id is found.
fn hash(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Whether a byte ends a line, alone or as a part of a line end.
fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Whether an id arrives unchanged as the value of a header.
fn is_usable(id: &[u8]) -> bool {
    let is_blank = |b: Option<&u8>| b.is_none_or(u8::is_ascii_whitespace);
    let fits = |b: &u8| *b >= b' ' && *b != 0x7f;
    id.len() <= ID_MAX_BYTES && id.iter().all(fits) && !is_blank(id.first()) && !is_blank(id.last())
}

/// A stream that broke, or whose next try failed.
#[derive(Clone, Debug)]
pub struct Break<'a> {
    /// Where the stream would be resumed.
    pub position: &'a Position,
    /// Endpoints that broke off or fell silent during this request, with this one.
    pub breaks: u32,
    /// Whether the request was suspected of crashing endpoints before it was sent.
    pub is_suspected: bool,
    /// Retries made so far.
    pub retries: u32,
    /// Retries that the rule allows.
    pub retries_max: u32,
    /// When the request is given up.
    pub deadline: Millis,
}

/// What to do with a broken stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Queue the request again, for another endpoint.
    Resume,
    /// End the stream, visibly cut, for this reason.
    End(&'static str),
}

impl Decision {
    /// Name of the decision in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Decision::Resume => "resume",
            Decision::End(reason) => reason,
        }
    }
}

/// Decides whether to resume a broken stream. Takes a retry from the budget if so.
pub fn decide(broken: &Break<'_>, now: Millis, budget: &mut Budget) -> Decision {
    match broken.position {
        Position::Unknown => return Decision::End("no-id"),
        Position::Unbounded => return Decision::End("too-long"),
        Position::Start | Position::After(_) => {}
    }
    if broken.breaks >= BREAKS_MAX {
        return Decision::End("second-break");
    }
    if broken.is_suspected {
        return Decision::End("suspected");
    }
    if now >= broken.deadline {
        return Decision::End("deadline");
    }
    if broken.retries >= broken.retries_max {
        return Decision::End("retries");
    }
    if !budget.take() {
        return Decision::End("budget");
    }
    Decision::Resume
}
