//! `cowslipford explain`: reads the log files of several processes and prints why one request
//! ended as it did, its log lines, and the fleet's events around that time.

use super::Failure;
use crate::cli::Explain;
use errors::Error;
use serde_json::Value;
use std::collections::BTreeMap;

/// Time before the arrival of a request from which fleet events are shown, in seconds.
const CONTEXT_S: f64 = 2.0;

/// Longest time to a refusal at admission, in milliseconds. A refusal that took longer
/// concerns a request that was admitted to the queue first.
const ADMISSION_MS: f64 = 50.0;

/// A parsed log line.
#[derive(Debug)]
struct Line {
    /// Seconds since midnight, the sort key.
    at_s: f64,
    /// Timestamp as logged.
    time: String,
    /// Process that logged the line: the word before the JSON object, or else the file's stem.
    process: String,
    /// Kind of the line, such as `request-ended`.
    event: String,
    /// The other fields, as a JSON object.
    fields: Value,
}

/// Reads the files, and prints the cause first, then the lines of the request and its context.
pub(crate) fn run(args: &Explain) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for file in &args.files {
        let text = std::fs::read_to_string(file).map_err(Error::file("read a log", file))?;
        let name = file
            .file_stem()
            .map_or_else(String::new, |n| n.to_string_lossy().into());
        lines.extend(text.lines().filter_map(|line| parse_line(&name, line)));
    }
    lines.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let own: Vec<&Line> = lines.iter().filter(|l| belongs_to(l, &args.id)).collect();
    let sent = |l: &&&Line| l.event == "request-sent";
    let ended = own.iter().rfind(|l| l.event == "request-ended");
    let Some(end) = ended.or_else(|| own.iter().rfind(sent)) else {
        let text = format!("no log line in these files mentions request {}", args.id);
        return Err(Failure::Input(text));
    };
    match ended {
        Some(end) => print_line!("{}", cause(end, &own, &lines)),
        None => print_line!("{}", unfinished(end, &lines)),
    }
    own.iter().for_each(|line| line.print());
    let began = end.at_s - end.number("took_ms") / 1000.0;
    print_line!("other events around that time:");
    context(&lines, began, end).for_each(Line::print);
    Ok(())
}

impl Line {
    fn print(&self) {
        let fields = format_fields(&self.fields);
        print_line!("{} {} {}: {fields}", self.time, self.process, self.event);
    }

    /// Value of a text field, empty if it is absent.
    fn text(&self, key: &str) -> &str {
        self.fields[key].as_str().unwrap_or("")
    }

    /// Value of a numeric field, 0 if it is absent.
    fn number(&self, key: &str) -> f64 {
        self.fields[key].as_f64().unwrap_or(0.0)
    }
}

/// Parses a line; `None` if it is not a JSON log line. A word before the JSON object, as log
/// collectors add it, names the process.
fn parse_line(file: &str, line: &str) -> Option<Line> {
    // A process that crashes while it writes leaves a partial line before its next one.
    let start = line.rfind("{\"timestamp\"")?;
    let mut fields: BTreeMap<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let time = fields.remove("timestamp")?.as_str()?.to_owned();
    let event = fields.remove("event")?.as_str()?.to_owned();
    let before = line[..start].split_whitespace().last();
    Some(Line {
        at_s: seconds_of_day(&time)?,
        time,
        process: before.unwrap_or(file).to_owned(),
        event,
        fields: serde_json::to_value(fields).ok()?,
    })
}

/// Seconds since midnight of an RFC 3339 timestamp.
fn seconds_of_day(time: &str) -> Option<f64> {
    let clock = time.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = clock.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    Some(hours * 3600.0 + minutes * 60.0 + seconds)
}

/// Whether a line belongs to the request with this id, the router's or the caller's.
fn belongs_to(line: &Line, id: &str) -> bool {
    line.text("request") == id || line.text("caller") == id
}

/// Why a request ended as it did, from its `request-ended` line `end`, its other lines and all
/// lines.
fn cause(end: &Line, own: &[&Line], all: &[Line]) -> String {
    let failed = own.iter().rfind(|l| l.event == "try-failed");
    let endpoint = end.text("endpoint");
    let error = failed.map_or("", |l| l.text("error"));
    match end.text("reason") {
        "whole" if end.number("status") >= 500.0 => format!(
            "{endpoint} itself answered that it failed, with {}, on try {}.",
            end.number("status"),
            end.number("tries"),
        ),
        "whole" => format!(
            "It was answered whole by {endpoint}{}.",
            answer_times(end, own)
        ),
        "caller-gone" if end.text("outcome") == "not-run" => {
            "Its caller left before it was sent.".to_owned()
        }
        "caller-gone" if end.text("outcome") == "unknown" => format!(
            "Its caller left {} ms after its arrival, before {endpoint} had answered.",
            end.number("took_ms"),
        ),
        "caller-gone" => format!("Its caller left in the middle of the answer of {endpoint}."),
        "endpoint-backoff" => format!(
            "{endpoint} refused it and asked for a pause in requests; its caller may retry at once."
        ),
        "quarantined" => "It was refused: several endpoints in succession crashed while they ran \
                          it, or others with a part of its prompt. The event `quarantine-began` \
                          shows since when."
            .to_owned(),
        "customer-queue-full" => format!(
            "It was refused: too many requests of {} waited on {}.",
            end.text("customer"),
            end.process,
        ),
        "deadline" => "No endpoint was free for it before its deadline.".to_owned(),
        "no-endpoint" => format!(
            "{} had no endpoint that accepts requests.",
            end.text("service")
        ),
        "endpoint-broke-off" => format!("{endpoint} broke off in the middle of its answer."),
        "overloaded" => format!(
            "It was refused {}: {} had more waiting than it could serve in time{}{}.",
            refusal_delay(end),
            end.text("service"),
            predicted_wait(end),
            scheduler_state(end, all),
        ),
        "stale" => format!(
            "It was refused: {} had last proved its version {} to be the newest {} ms before.",
            end.process,
            end.number("version"),
            end.number("proof_ms"),
        ),
        "unknown-customer" => format!(
            "Its key belongs to no customer at version {}, release {}.",
            end.number("version"),
            end.number("release"),
        ),
        "no-rule" => format!(
            "No rule matches it at version {}, release {}.",
            end.number("version"),
            end.number("release"),
        ),
        "stopping" => format!("{} was stopping.", end.process),
        "not-ready" => format!("{} did not know the configuration yet.", end.process),
        "timeout" => format!("{endpoint} did not end its answer within its rule's timeout."),
        "endpoint-unreachable" => format!("{endpoint} did not accept it: {error}."),
        "endpoint-failed" => format!("{endpoint} may have run it, and failed: {error}."),
        other => format!("It ended with '{other}'."),
    }
}

/// Time to the first byte of an answer and the longest pause within it, beside the time that
/// was predicted when the request was sent.
fn answer_times(end: &Line, own: &[&Line]) -> String {
    if end.fields["first_ms"].is_null() {
        return String::new();
    }
    let mut text = format!(
        ": its first piece came {} ms after it did, the longest pause took {} ms",
        end.number("first_ms"),
        end.number("pause_ms"),
    );
    let sent = own.iter().rfind(|l| l.event == "request-sent");
    if let Some(sent) = sent.filter(|l| l.number("first_ms") > 0.0) {
        let waited = sent.number("waited_ms");
        text += &format!(
            "; it had waited {waited} ms when it was sent, and {} ms were expected then, {} of \
             them for others",
            sent.number("first_ms"),
            sent.number("ahead_ms"),
        );
    }
    text
}

/// What happened to a request that was sent and has no `request-ended` line: its router was
/// stopped or crashed, or the log ends earlier.
fn unfinished(sent: &Line, all: &[Line]) -> String {
    let endpoint = sent.text("endpoint");
    let router = &sent.process;
    let next = |event: &str| {
        let of = |l: &&Line| l.process == *router && l.event == event && l.at_s > sent.at_s;
        all.iter().find(of).map(|l| l.at_s - sent.at_s)
    };
    match (next("drain-incomplete"), next("started")) {
        (Some(stopped), again) if again.is_none_or(|again| stopped < again) => format!(
            "It was sent to {endpoint}, and {router} had to stop {stopped:.1} s later, \
             before the answer had ended."
        ),
        (_, Some(again)) => format!(
            "It was sent to {endpoint}, and {router} was lost: it started again {again:.1} s later."
        ),
        _ => format!("It was sent to {endpoint}; no log line records how it ended."),
    }
}

/// After how long a request was refused, as text.
fn refusal_delay(end: &Line) -> String {
    match end.number("took_ms") {
        took if took < ADMISSION_MS => "at once".to_owned(),
        took => format!("after {took} ms, as it could no longer be served in time"),
    }
}

/// The predicted wait of a refused request, empty if its line has none.
fn predicted_wait(end: &Line) -> String {
    match end.number("expected_ms") as u64 {
        0 => String::new(),
        wait => format!(", it would have waited {wait} ms"),
    }
}

/// The last state that the scheduler of a refused request logged before the refusal.
fn scheduler_state(end: &Line, all: &[Line]) -> String {
    let of = |l: &&Line| l.event == "scheduler-state" && l.text("service") == end.text("service");
    let last = all.iter().filter(of).rfind(|l| l.at_s <= end.at_s);
    last.map_or_else(String::new, |l| {
        format!(
            " ({} asks of {} customers waited, {} ran, {:.1} s before)",
            l.number("waiting"),
            l.number("customers"),
            l.number("running"),
            end.at_s - l.at_s,
        )
    })
}

/// Lines around the time of a request, from [`CONTEXT_S`] before its arrival to its end,
/// without those of requests and the periodic ones of schedulers.
fn context<'a>(lines: &'a [Line], began: f64, end: &'a Line) -> impl Iterator<Item = &'a Line> {
    let is_omitted = |event: &str| {
        matches!(
            event,
            "request-ended" | "request-sent" | "try-failed" | "scheduler-state"
        )
    };
    let near = move |l: &&Line| l.at_s >= began - CONTEXT_S && l.at_s <= end.at_s;
    lines
        .iter()
        .filter(near)
        .filter(move |l| !is_omitted(&l.event))
}

/// Formats fields as `key=value` pairs, without the level and empty values.
fn format_fields(fields: &Value) -> String {
    let shown = fields.as_object().into_iter().flatten();
    let shown = shown.filter(|(key, value)| *key != "level" && *value != "");
    let pairs: Vec<String> = shown.map(|(key, value)| format!("{key}={value}")).collect();
    pairs.join(" ")
}
