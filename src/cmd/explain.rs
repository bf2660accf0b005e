//! `cowslipford explain`: one request through the log files of several processes.

use super::Failure;
use crate::cli::Explain;
use errors::Error;
use serde_json::Value;
use std::collections::BTreeMap;

/// Time around a request in which what a process came to believe is shown.
const AROUND_S: f64 = 2.0;

/// A refusal that took longer came to one that was let in at first, in milliseconds.
const AT_ONCE_MS: f64 = 50.0;

/// One line of a log.
#[derive(Debug)]
struct Line {
    /// Seconds since the start of its day.
    at: f64,
    time: String,
    /// File, or what stands before the line in it.
    process: String,
    event: String,
    fields: Value,
}

/// Reads the files and prints what happened, the cause first.
pub(crate) fn run(args: &Explain) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for file in &args.files {
        let text = std::fs::read_to_string(file).map_err(Error::file("read a log", file))?;
        let name = file
            .file_stem()
            .map_or_else(String::new, |n| n.to_string_lossy().into());
        lines.extend(text.lines().filter_map(|line| read(&name, line)));
    }
    lines.sort_by(|a, b| a.at.total_cmp(&b.at));
    let own: Vec<&Line> = lines.iter().filter(|l| is_of(l, &args.id)).collect();
    let sent = |l: &&&Line| l.event == "request-sent";
    let ended = own.iter().rfind(|l| l.event == "request-ended");
    let Some(end) = ended.or_else(|| own.iter().rfind(sent)) else {
        let text = format!("no line of these files tells of {}", args.id);
        return Err(Failure::Input(text));
    };
    match ended {
        Some(end) => say!("{}", cause(end, &own, &lines)),
        None => say!("{}", unfinished(end, &lines)),
    }
    own.iter().for_each(|line| line.print());
    let began = end.at - end.number("took_ms") / 1000.0;
    say!("around it:");
    around(&lines, began, end).for_each(Line::print);
    Ok(())
}

impl Line {
    fn print(&self) {
        let fields = show(&self.fields);
        say!("{} {} {}: {fields}", self.time, self.process, self.event);
    }

    fn text(&self, key: &str) -> &str {
        self.fields[key].as_str().unwrap_or("")
    }

    fn number(&self, key: &str) -> f64 {
        self.fields[key].as_f64().unwrap_or(0.0)
    }
}

/// Reads a line; what stands before its JSON names the process.
fn read(file: &str, line: &str) -> Option<Line> {
    // A process that is lost in the middle of a line leaves a piece before the next.
    let start = line.rfind("{\"timestamp\"")?;
    let mut fields: BTreeMap<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let time = fields.remove("timestamp")?.as_str()?.to_owned();
    let event = fields.remove("event")?.as_str()?.to_owned();
    let before = line[..start].split_whitespace().last();
    Some(Line {
        at: seconds(&time)?,
        time,
        process: before.unwrap_or(file).to_owned(),
        event,
        fields: serde_json::to_value(fields).ok()?,
    })
}

/// Seconds since midnight of a time, as RFC 3339 writes it.
fn seconds(time: &str) -> Option<f64> {
    let clock = time.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = clock.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    Some(hours * 3600.0 + minutes * 60.0 + seconds)
}

fn is_of(line: &Line, id: &str) -> bool {
    line.text("request") == id || line.text("caller") == id
}

/// Why a request ended as it did.
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
        "whole" => format!("It was answered whole by {endpoint}{}.", pieces(end, own)),
        "caller-gone" if end.text("outcome") == "not-run" => {
            "Its caller left before it was sent.".to_owned()
        }
        "caller-gone" if end.text("outcome") == "unknown" => format!(
            "Its caller left {} ms after its arrival, before {endpoint} had answered.",
            end.number("took_ms"),
        ),
        "caller-gone" => format!("Its caller left in the middle of the answer of {endpoint}."),
        "endpoint-backoff" => format!(
            "{endpoint} turned it away and wants no more requests for now; its caller may come back \
             at once."
        ),
        "quarantined" => "It was refused: endpoints have crashed while they ran this request, one \
                          after the other. `quarantine-began` tells since when."
            .to_owned(),
        "customer-queue-full" => format!(
            "It was refused: too many requests of {} waited on {}.",
            end.text("customer"),
            end.process,
        ),
        "deadline" => "No endpoint was free for it before its deadline.".to_owned(),
        "no-endpoint" => format!("{} had no endpoint that takes work.", end.text("service")),
        "endpoint-broke-off" => format!("{endpoint} broke off in the middle of its answer."),
        "overloaded" => format!(
            "It was refused {}: {} had more waiting than it could serve in time{}{}.",
            when(end),
            end.text("service"),
            expected(end),
            belief(end, all),
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
        "timeout" => format!("{endpoint} had not ended its answer within the time of its rule."),
        "endpoint-unreachable" => format!("{endpoint} did not take it: {error}."),
        "endpoint-failed" => format!("{endpoint} may have run it, and failed: {error}."),
        other => format!("It ended with '{other}'."),
    }
}

/// When the pieces of an answer came, and when the first was expected.
fn pieces(end: &Line, own: &[&Line]) -> String {
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

/// What became of a request that was sent and has no end: its router was stopped or
/// lost, or the log ends first.
fn unfinished(sent: &Line, all: &[Line]) -> String {
    let endpoint = sent.text("endpoint");
    let router = &sent.process;
    let next = |event: &str| {
        let of = |l: &&Line| l.process == *router && l.event == event && l.at > sent.at;
        all.iter().find(of).map(|l| l.at - sent.at)
    };
    match (next("drain-incomplete"), next("started")) {
        (Some(stopped), again) if again.is_none_or(|again| stopped < again) => format!(
            "It was sent to {endpoint}, and {router} had to stop {stopped:.1} s later, \
             before the answer had ended."
        ),
        (_, Some(again)) => format!(
            "It was sent to {endpoint}, and {router} was lost: it started again {again:.1} s later."
        ),
        _ => format!("It was sent to {endpoint}; no line tells of its end."),
    }
}

/// After how long a request was refused.
fn when(end: &Line) -> String {
    match end.number("took_ms") {
        took if took < AT_ONCE_MS => "at once".to_owned(),
        took => format!("after {took} ms, as it would have come too late"),
    }
}

/// How long a refused request would have waited, where its line tells.
fn expected(end: &Line) -> String {
    match end.number("expected_ms") as u64 {
        0 => String::new(),
        wait => format!(", it would have waited {wait} ms"),
    }
}

/// What the scheduler of a refused request believed then.
fn belief(end: &Line, all: &[Line]) -> String {
    let of = |l: &&Line| l.event == "scheduler-state" && l.text("service") == end.text("service");
    let last = all.iter().filter(of).rfind(|l| l.at <= end.at);
    last.map_or_else(String::new, |l| {
        format!(
            " ({} asks of {} customers waited, {} ran, {:.1} s before)",
            l.number("waiting"),
            l.number("customers"),
            l.number("running"),
            end.at - l.at,
        )
    })
}

/// What processes came to believe around a request, without other requests.
fn around<'a>(lines: &'a [Line], began: f64, end: &'a Line) -> impl Iterator<Item = &'a Line> {
    let other = |event: &str| {
        matches!(
            event,
            "request-ended" | "request-sent" | "try-failed" | "scheduler-state"
        )
    };
    let near = move |l: &&Line| l.at >= began - AROUND_S && l.at <= end.at;
    lines.iter().filter(near).filter(move |l| !other(&l.event))
}

fn show(fields: &Value) -> String {
    let shown = fields.as_object().into_iter().flatten();
    let shown = shown.filter(|(key, value)| *key != "level" && *value != "");
    let pairs: Vec<String> = shown.map(|(key, value)| format!("{key}={value}")).collect();
    pairs.join(" ")
}
