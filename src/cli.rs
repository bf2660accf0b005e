//! The command line.

use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A router fleet that shares endpoints fairly among customers.
///
/// Exit codes: 0 done; 1 failed; 2 bad input; 3 refused, such as a change that
/// was based on an older version.
#[derive(Debug, FromArgs)]
pub(crate) struct Cowslipford {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// The commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    /// Runs one process.
    Run(Run),
    /// Runs a small fleet for trying.
    Dev(Dev),
    /// Runs the endpoint stand-in.
    StandIn(StandIn),
    /// Checks a file.
    Check(Check),
    /// Sends a configuration.
    Apply(Apply),
    /// Prints the configuration.
    Get(Get),
    /// Announces a planned stop.
    Stop(Stop),
    /// Evacuates a data centre.
    Evacuate(Evacuate),
    /// Serves a quarantined request again.
    Unquarantine(Unquarantine),
    /// Shows the fleet's state.
    Status(Status),
    /// Explains how a request ended.
    Explain(Explain),
    /// Shows the time line.
    Timeline(Timeline),
    /// Makes keys.
    Keys(Keys),
    /// Sends load.
    Load(Load),
}

/// Start one process of the fleet: router, scheduler and control, as its settings say.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "run",
    example = "{command_name} r1.ini",
    note = "SIGTERM or Ctrl-C: takes nothing new, ends what is in progress, exits with 0."
)]
pub(crate) struct Run {
    /// file with the settings
    #[argh(positional)]
    pub(crate) settings: PathBuf,
}

/// Start the smallest whole fleet in one process on the loopback, for trying.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "dev",
    example = "{command_name}",
    example = "{command_name} --callers 127.0.0.1:0 --operators 127.0.0.1:0"
)]
pub(crate) struct Dev {
    /// callers' address, 127.0.0.1:8080 by default; port 0 lets the system choose
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    pub(crate) callers: SocketAddr,
    /// operators' address, 127.0.0.1:8081 by default; port 0 lets the system choose
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
}

/// Start the endpoint stand-in: a small fake of a model engine or a plain service.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "stand-in",
    example = "{command_name} --listen 127.0.0.1:9001 --batch 8",
    example = "{command_name} --listen 127.0.0.1:9002 --plain",
    note = "A request chooses its behaviour by headers: stand-in-tokens, stand-in-pace (ms), \
            stand-in-fault (cut, silence, redirect, swap, broken), stand-in-id (a label). \
            GET /stand-in/calls gives its counters, GET /stand-in/load its lagging load."
)]
pub(crate) struct StandIn {
    /// address, 127.0.0.1:9001 by default; port 0 lets the system choose
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 9001))")]
    pub(crate) listen: SocketAddr,
    /// play a plain service instead of a model engine
    #[argh(switch)]
    pub(crate) plain: bool,
    /// requests worked on at once, 8 by default
    #[argh(option, default = "8")]
    pub(crate) batch: usize,
    /// tokens of an answer, 20 by default
    #[argh(option, default = "20")]
    pub(crate) tokens: u32,
    /// milliseconds between tokens, 5 by default
    #[argh(option, default = "5")]
    pub(crate) pace: u64,
    /// milliseconds by which its load report lags, 1000 by default
    #[argh(option, default = "1000")]
    pub(crate) lag: u64,
    /// file to which the label of each call is appended
    #[argh(option)]
    pub(crate) record: Option<PathBuf>,
}

/// Check settings or a configuration without starting anything.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} r1.ini",
    example = "{command_name} fleet.ini",
    note = "A file with a [vm] section is read as settings, any other as a configuration.",
    error_code(
        2,
        "a line is bad; file, section, key, value and what is allowed are named"
    )
)]
pub(crate) struct Check {
    /// file to check
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Send customers, services, endpoints and rules as one change.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} fleet.ini --key operator",
    example = "{command_name} fleet.ini --key operator --base 41 --id 5f0c",
    error_code(2, "the configuration is wrong; nothing was changed"),
    error_code(3, "someone else's change came first; the current version is named")
)]
pub(crate) struct Apply {
    /// file with the whole configuration
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// version that the change is based on; the current one by default
    #[argh(option)]
    pub(crate) base: Option<u64>,
    /// identity of the change in hexadecimal; a resend with the same gets the first answer
    #[argh(option)]
    pub(crate) id: Option<String>,
    /// operators' address of any process, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) key: String,
}

/// Print the configuration in force, with its version.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "get",
    example = "{command_name} --key operator > fleet.ini"
)]
pub(crate) struct Get {
    /// operators' address of any process, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) key: String,
}

/// Announce a planned stop of a VM or an endpoint.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "stop",
    example = "{command_name} endpoint assistant-1",
    example = "{command_name} vm r1",
    example = "{command_name} endpoint assistant-1 --back",
    note = "An endpoint gets no new work from then on. A VM takes nothing new, ends what is in \
            progress and exits. Neither cuts a request in progress."
)]
pub(crate) struct Stop {
    /// what stops: vm or endpoint
    #[argh(positional)]
    pub(crate) kind: String,
    /// its name
    #[argh(positional)]
    pub(crate) name: String,
    /// the endpoint is back
    #[argh(switch)]
    pub(crate) back: bool,
    /// operators' address of any process, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) key: String,
}

/// Send nothing more to the endpoints of a data centre, until `--end`.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "evacuate",
    example = "{command_name} dk-1",
    example = "{command_name} dk-1 --end",
    note = "Requests in progress there end as they would. Given again, the same order changes \
            nothing. Exit code 2 for a data centre that the fleet does not know.",
    error_code(2, "no data centre has that name; nothing was changed")
)]
pub(crate) struct Evacuate {
    /// name of the data centre
    #[argh(positional)]
    pub(crate) data_centre: String,
    /// send requests there again
    #[argh(switch)]
    pub(crate) end: bool,
    /// operators' address of any process, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) key: String,
}

/// Serve a request again that is quarantined since it crashed endpoints.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "unquarantine",
    example = "{command_name} 71197ba8f0e9dd0bc98307d9e85bac10",
    note = "`status` shows the fingerprints, and log lines of requests that endpoints broke off \
            bear theirs. Three more crashes bring the quarantine back."
)]
pub(crate) struct Unquarantine {
    /// fingerprint of the request
    #[argh(positional)]
    pub(crate) fingerprint: String,
    /// operators' address of any process, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) key: String,
}

/// Show version, members, queues, slots and counters of all processes.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name}",
    example = "{command_name} --json"
)]
pub(crate) struct Status {
    /// print JSON lines, one a process
    #[argh(switch)]
    pub(crate) json: bool,
    /// operators' address of any process, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) key: String,
}

/// Follow one request through the logs of several processes, the cause first.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} 9c41d07be2a35f68 r1.log r2.log c1.log",
    note = "The logs are JSON lines, as [log] format = json writes them to standard output."
)]
pub(crate) struct Explain {
    /// identity of the request: the router's, or its caller's
    #[argh(positional)]
    pub(crate) id: String,
    /// log files
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Merge the events of all processes into one time line, cause before effect.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "timeline",
    example = "{command_name} --request 3f1c000000000001-2a",
    example = "{command_name} --customer alpha --last 5000 --format json",
    example = "{command_name} --format page > timeline.html"
)]
pub(crate) struct Timeline {
    /// text, json (one line an event) or page (one HTML file); text by default
    #[argh(option, default = "String::from(\"text\")")]
    pub(crate) format: String,
    /// only events of this request
    #[argh(option)]
    pub(crate) request: Option<String>,
    /// only events of this customer's requests
    #[argh(option)]
    pub(crate) customer: Option<String>,
    /// only events at this endpoint
    #[argh(option)]
    pub(crate) endpoint: Option<String>,
    /// only events of the last milliseconds
    #[argh(option)]
    pub(crate) last: Option<u64>,
    /// operators' address of any process, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) key: String,
}

/// Make the fleet's certificate authority and one certificate a VM.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "keys",
    example = "{command_name} keys c1 c2 c3 r1 r2",
    note = "An authority that is there already is used again. Keep authority.key off the VMs."
)]
pub(crate) struct Keys {
    /// folder for the files
    #[argh(positional)]
    pub(crate) folder: PathBuf,
    /// names of VMs
    #[argh(positional)]
    pub(crate) vms: Vec<String>,
}

/// Send load to a router, or to an endpoint directly, and report what was measured.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "load",
    example = "{command_name} --target 127.0.0.1:8080 --key alpha --callers 8 --requests 400",
    note = "Prints one JSON line: requests a second, latencies in microseconds, statuses."
)]
pub(crate) struct Load {
    /// address to send to
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    pub(crate) target: SocketAddr,
    /// customers' key
    #[argh(option, default = "String::from(\"alpha\")")]
    pub(crate) key: String,
    /// path, /assistant by default
    #[argh(option, default = "String::from(\"/assistant\")")]
    pub(crate) path: String,
    /// method, POST by default
    #[argh(option, default = "String::from(\"POST\")")]
    pub(crate) method: String,
    /// callers at once, 8 by default
    #[argh(option, default = "8")]
    pub(crate) callers: usize,
    /// requests in all, 400 by default
    #[argh(option, default = "400")]
    pub(crate) requests: usize,
    /// requests a second over all callers; as fast as answers come by default
    #[argh(option)]
    pub(crate) rate: Option<f64>,
    /// bytes of a body, 64 by default
    #[argh(option, default = "64")]
    pub(crate) bytes: usize,
    /// give each request an Idempotency-Key of its own
    #[argh(switch)]
    pub(crate) keys: bool,
    /// tokens to ask a stand-in for
    #[argh(option)]
    pub(crate) tokens: Option<u32>,
    /// milliseconds between a stand-in's tokens
    #[argh(option)]
    pub(crate) pace: Option<u32>,
}
