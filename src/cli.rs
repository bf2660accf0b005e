//! The command line: subcommands, arguments and the `--help` text.

use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A router fleet that shares endpoints fairly among customers.
///
/// Exit codes: 0 success; 1 failure; 2 invalid input; 3 refused by the fleet, for
/// example a change that is based on an outdated version.
#[derive(Debug, FromArgs)]
pub(crate) struct Cowslipford {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// The subcommands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    /// Runs one process of the fleet.
    Run(Run),
    /// Runs a demo fleet.
    Dev(Dev),
    /// Runs a simulated endpoint.
    StandIn(StandIn),
    /// Validates a settings or configuration file.
    Check(Check),
    /// Submits a configuration.
    Apply(Apply),
    /// Prints the configuration in force.
    Get(Get),
    /// Announces a planned stop of a VM or an endpoint.
    Stop(Stop),
    /// Evacuates a data centre.
    Evacuate(Evacuate),
    /// Releases a request from quarantine.
    Unquarantine(Unquarantine),
    /// Shows the fleet's state.
    Status(Status),
    /// Explains how a request ended.
    Explain(Explain),
    /// Prints the merged events of all processes.
    Timeline(Timeline),
    /// Creates certificates and private keys.
    Keys(Keys),
    /// Generates load.
    Load(Load),
}

/// Start one process of the fleet: router, scheduler and control VM, as set in its settings.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "run",
    example = "{command_name} r1.ini",
    note = "On SIGTERM or Ctrl-C the process refuses new requests, completes those in progress \
            and exits with 0."
)]
pub(crate) struct Run {
    /// settings file of the process
    #[argh(positional)]
    pub(crate) settings: PathBuf,
}

/// Start a complete demo fleet in one process on the loopback interface.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "dev",
    example = "{command_name}",
    example = "{command_name} --callers 127.0.0.1:0 --operators 127.0.0.1:0"
)]
pub(crate) struct Dev {
    /// address that serves callers, 127.0.0.1:8080 by default; port 0 picks a free port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    pub(crate) callers: SocketAddr,
    /// address that serves operators, 127.0.0.1:8081 by default; port 0 picks a free port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
}

/// Start a stand-in endpoint that simulates a model engine or a plain HTTP service.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "stand-in",
    example = "{command_name} --listen 127.0.0.1:9001 --batch 8",
    example = "{command_name} --listen 127.0.0.1:9002 --plain",
    note = "Request headers set the behaviour: stand-in-tokens, stand-in-pace (ms), \
            stand-in-fault (cut, tear, reset, stall, truncate, restart, silence, redirect, swap, broken), \
            stand-in-resumed-fault (the same, if the request has Last-Event-Id), \
            stand-in-torn-bytes (sent of the event in which a stream breaks), \
            stand-in-ids (events have ids), stand-in-framing (close, http-1.0), \
            stand-in-line-end (cr, crlf), stand-in-id (a label). \
            GET /stand-in/calls returns the counters, GET /stand-in/load the delayed load report."
)]
pub(crate) struct StandIn {
    /// address to listen on, 127.0.0.1:9001 by default; port 0 picks a free port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 9001))")]
    pub(crate) listen: SocketAddr,
    /// simulate a plain HTTP service instead of a model engine
    #[argh(switch)]
    pub(crate) plain: bool,
    /// version of the software, which each event repeats; none by default
    #[argh(option, default = "String::new()")]
    pub(crate) software: String,
    /// requests processed concurrently, 8 by default
    #[argh(option, default = "8")]
    pub(crate) batch: usize,
    /// tokens per answer, 20 by default
    #[argh(option, default = "20")]
    pub(crate) tokens: u32,
    /// milliseconds between tokens, 5 by default
    #[argh(option, default = "5")]
    pub(crate) pace: u64,
    /// milliseconds by which the load report is delayed, 1000 by default
    #[argh(option, default = "1000")]
    pub(crate) lag: u64,
    /// file to which the label of each request is appended
    #[argh(option)]
    pub(crate) record: Option<PathBuf>,
    /// part of a prompt, in hexadecimal, that ends the process; none by default
    #[argh(option, from_str_fn(parse_part))]
    pub(crate) crash_part: Option<u64>,
}

fn parse_part(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| "a hexadecimal number, such as 5c1e07a2".to_owned())
}

/// Validate a settings or configuration file without starting a process.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} r1.ini",
    example = "{command_name} fleet.ini",
    note = "A file with a [vm] section is read as settings, any other as a configuration.",
    error_code(
        2,
        "a line is invalid; the error names file, section, key, value and the allowed values"
    )
)]
pub(crate) struct Check {
    /// file to check
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Submit customers, services, endpoints and rules as one change.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "{command_name} fleet.ini --key operator",
    example = "{command_name} fleet.ini --key operator --base 41 --id 5f0c",
    error_code(2, "the configuration is invalid; nothing was changed"),
    error_code(
        3,
        "another change was accepted first; the error names the current version"
    )
)]
pub(crate) struct Apply {
    /// file with the complete configuration
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// version that the change is based on; the current one by default
    #[argh(option)]
    pub(crate) base: Option<u64>,
    /// identifier of the change in hexadecimal, random by default; submitting it again returns
    /// the first result
    #[argh(option)]
    pub(crate) id: Option<String>,
    /// operators' address of any process of the fleet, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key, operator by default
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
    /// operators' address of any process of the fleet, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key, operator by default
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
    note = "A stopping endpoint gets no new requests. A stopping VM refuses new requests, \
            completes those in progress and exits. Requests in progress are not interrupted."
)]
pub(crate) struct Stop {
    /// type of what stops: vm or endpoint
    #[argh(positional)]
    pub(crate) kind: String,
    /// name of the VM or endpoint
    #[argh(positional)]
    pub(crate) name: String,
    /// announce that the endpoint is available again
    #[argh(switch)]
    pub(crate) back: bool,
    /// operators' address of any process of the fleet, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key, operator by default
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) key: String,
}

/// Stop sending requests to the endpoints of a data centre, until `--end`.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "evacuate",
    example = "{command_name} dk-1",
    example = "{command_name} dk-1 --end",
    note = "Requests in progress there continue. Repeating the command has no further \
            effect. The exit code is 2 if the fleet does not know the data centre.",
    error_code(2, "no data centre has that name; nothing was changed")
)]
pub(crate) struct Evacuate {
    /// name of the data centre
    #[argh(positional)]
    pub(crate) data_centre: String,
    /// end the evacuation: send requests there again
    #[argh(switch)]
    pub(crate) end: bool,
    /// operators' address of any process of the fleet, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key, operator by default
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) key: String,
}

/// Release a request, or a part of prompts, that is quarantined because it crashed endpoints.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "unquarantine",
    example = "{command_name} 71197ba8f0e9dd0bc98307d9e85bac10",
    note = "`status` lists quarantined fingerprints. Log lines of requests whose endpoint broke off \
            contain the fingerprint, too. Three more crashes quarantine the request again."
)]
pub(crate) struct Unquarantine {
    /// fingerprint of the request or the part
    #[argh(positional)]
    pub(crate) fingerprint: String,
    /// operators' address of any process of the fleet, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key, operator by default
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) key: String,
}

/// Show version, members, queues, slots and counters of all reachable processes.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name}",
    example = "{command_name} --json"
)]
pub(crate) struct Status {
    /// print one JSON line per process
    #[argh(switch)]
    pub(crate) json: bool,
    /// operators' address of any process of the fleet, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key, operator by default
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) key: String,
}

/// Explain how one request ended, from the logs of several processes.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} 9c41d07be2a35f68 r1.log r2.log c1.log",
    note = "Expects logs in JSON lines, as processes with [log] format = json write them to \
            standard output. Prints the cause first, then the log lines of the request."
)]
pub(crate) struct Explain {
    /// id of the request, as the router or the caller assigned it
    #[argh(positional)]
    pub(crate) id: String,
    /// log files, one per process
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// Merge the events of all processes into one timeline in causal order.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "timeline",
    example = "{command_name} --request 3f1c000000000001-2a",
    example = "{command_name} --customer alpha --last 5000 --format json",
    example = "{command_name} --format page > timeline.html"
)]
pub(crate) struct Timeline {
    /// output format: text, json (one line per event) or page (one HTML file); text by default
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
    /// only events of this many milliseconds before the newest event
    #[argh(option)]
    pub(crate) last: Option<u64>,
    /// operators' address of any process of the fleet, 127.0.0.1:8081 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8081))")]
    pub(crate) operators: SocketAddr,
    /// operators' key, operator by default
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) key: String,
}

/// Create the fleet's certificate authority and one certificate per VM.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "keys",
    example = "{command_name} keys c1 c2 c3 r1 r2",
    note = "An existing authority is reused; certificates of the named VMs are replaced. Do not \
            copy authority.key to the VMs."
)]
pub(crate) struct Keys {
    /// folder for the certificates and keys
    #[argh(positional)]
    pub(crate) folder: PathBuf,
    /// names of VMs
    #[argh(positional)]
    pub(crate) vms: Vec<String>,
}

/// Send load to a router, or to an endpoint directly, and report throughput and latency.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "load",
    example = "{command_name} --target 127.0.0.1:8080 --key alpha --callers 8 --requests 400",
    note = "Prints one JSON line: requests per second, latencies in microseconds, status counts."
)]
pub(crate) struct Load {
    /// address of the router or endpoint, 127.0.0.1:8080 by default
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 8080))")]
    pub(crate) target: SocketAddr,
    /// key of the customer, alpha by default
    #[argh(option, default = "String::from(\"alpha\")")]
    pub(crate) key: String,
    /// request path, /assistant by default
    #[argh(option, default = "String::from(\"/assistant\")")]
    pub(crate) path: String,
    /// request method, POST by default
    #[argh(option, default = "String::from(\"POST\")")]
    pub(crate) method: String,
    /// concurrent callers, 8 by default
    #[argh(option, default = "8")]
    pub(crate) callers: usize,
    /// total number of requests, 400 by default
    #[argh(option, default = "400")]
    pub(crate) requests: usize,
    /// requests per second over all callers; by default each caller sends its next request as
    /// soon as the previous one is answered
    #[argh(option)]
    pub(crate) rate: Option<f64>,
    /// bytes of each request body, 64 by default
    #[argh(option, default = "64")]
    pub(crate) bytes: usize,
    /// send a unique Idempotency-Key with each request
    #[argh(switch)]
    pub(crate) keys: bool,
    /// tokens per answer to request from a stand-in endpoint
    #[argh(option)]
    pub(crate) tokens: Option<u32>,
    /// milliseconds between tokens of a stand-in endpoint
    #[argh(option)]
    pub(crate) pace: Option<u32>,
}
