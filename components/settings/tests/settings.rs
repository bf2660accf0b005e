//! Parsing, validation and printing of settings and configuration files.
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use rstest::rstest;
use settings::{parse_configuration, print_configuration, Settings};
use std::path::Path;

const KEY: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// Settings of a process with every role.
fn process_settings() -> String {
    format!(
        "[vm]\nname = c1\ndata-centre = dk-1\n\
         [link]\nlisten = 127.0.0.1:7001\nauthority = a.pem\ncertificate = c.pem\nkey = c.key\n\
         [peers]\nc1 = 127.0.0.1:7001\n\
         [operators]\nlisten = 127.0.0.1:8081\nkey-sha256 = {KEY}\n\
         [callers]\nlisten = 127.0.0.1:8080\n\
         [router]\nqueue = 100\n\
         [scheduler]\n\
         [control]\ndata = data\n\
         [log]\nformat = json\n"
    )
}

/// A configuration with sections of each kind.
fn configuration() -> String {
    format!(
        "[customer alpha]\nkey-sha256 = {KEY}\nweight = 2\nservices = assistant, booking\nregions = east, west\n\
         [service assistant]\ncost = event\nidempotent = yes\nload = /load\n\
         [service booking]\ncost = request\ncold-rate = 8.4\ncold-time = 3s\n\
         [endpoint a-1]\nservice = assistant\naddress = 127.0.0.1:9001\ndata-centre = dk-1\n\
         [rule chat]\nwhen-customer = alpha\nwhen-method = POST, PUT\nwhen-path = /chat\n\
         when-header = x-kind: quick\nwhen-size-max = 500\nthen = limit\nservice = assistant\n\
         rate = 5\nconcurrency = 2\nqueue = 9\ntimeout = 5s\nweight = 3\nidempotent = no\n\
         retries = 0\nregions = west\n\
         [rule rest]\nthen = refuse\nreason = nothing here\n"
    )
}

/// Error text for settings that are invalid.
fn error_of(text: &str) -> String {
    Settings::parse("vm.ini", Path::new("."), text)
        .unwrap_err()
        .to_string()
}

#[test]
fn parses_settings() {
    let settings = Settings::parse("vm.ini", Path::new("/etc/fleet"), &process_settings()).unwrap();
    assert_eq!(settings.vm.name.as_str(), "c1");
    let keys = settings.link.keys.unwrap();
    assert_eq!(keys.authority, Path::new("/etc/fleet/a.pem"));
    assert!(settings.scheduler && settings.log.json);
    // A section without keys means what it meant before it had any.
    assert!(!settings.scheduling.appointments);
    let text = process_settings().replacen("[scheduler]", "[scheduler]\nappointments = yes", 1);
    let settings = Settings::parse("vm.ini", Path::new("/etc/fleet"), &text).unwrap();
    assert!(settings.scheduler && settings.scheduling.appointments);
    assert_eq!(settings.router.queue, 100);
    assert_eq!(settings.router.stale_ms, None);
}

#[rstest]
#[case(
    "name = c1",
    "name = C1",
    "[vm] name = \"C1\": a name has 1 to 63 of a-z"
)]
#[case(
    "name = c1\n",
    "",
    "[vm] name = \"\": this key is needed: the VM's name"
)]
#[case(
    "[scheduler]",
    "[shedule]",
    "[shedule] (section) = \"shedule\": the sections vm, link"
)]
#[case(
    "[scheduler]",
    "[scheduler]\nappointments = some",
    "[scheduler] appointments = \"some\": yes or no"
)]
#[case(
    "queue = 100",
    "queue = many",
    "[router] queue = \"many\": a whole number from 1 to"
)]
#[case(
    "queue = 100",
    "queue = 0",
    "[router] queue = \"0\": a whole number from 1 to"
)]
#[case(
    "queue = 100",
    "cue = 100",
    "[router] cue = \"100\": the keys one of `queue`"
)]
#[case(
    "format = json",
    "format = xml",
    "[log] format = \"xml\": text or json"
)]
#[case(
    "listen = 127.0.0.1:8080",
    "listen = here:80",
    "[callers] listen = \"here:80\": an IP address"
)]
#[case(
    "[peers]\nc1 =",
    "[peers]\nc2 =",
    "[peers] c1 = \"\": a VM with [control] must itself be listed in [peers]"
)]
#[case(
    "queue = 100",
    "without-control = 5",
    "[router] without-control = \"5\": a duration such as"
)]
#[case(
    "[log]\n",
    "[platform]\naddress = 10.0.0.9:80\npath = vms\n[log]\n",
    "[platform] path = \"vms\": a path that begins with /"
)]
#[case(
    "[vm]\n",
    "x = 1\n[vm]\n",
    "[(none)] x = \"1\": keys stand below a [section]"
)]
#[case("queue = 100", "queue = 1\nqueue = 2", "[router] queue = ")]
#[case(
    "queue = 100",
    "answer-excess = maybe",
    "[router] answer-excess = \"maybe\": yes or no"
)]
fn errors_when_a_line_of_settings_is_invalid(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] expected: &str,
) {
    let text = process_settings();
    assert!(text.contains(good));
    let error = error_of(&text.replacen(good, bad, 1));
    assert!(error.starts_with("vm.ini: "), "{error}");
    assert!(error.contains(expected), "{error}");
}

/// Guards against a fleet that does not start because the system that generates the
/// settings writes a number as a fraction, above the bounds or not at all.
#[rstest]
#[case::fraction("grace", "7.5s", 7500)]
#[case::small_fraction("grace", "2500.9ms", 2500)]
#[case::large("grace", "99999s", 600_000)]
#[case::missing("grace", "s", 30_000)]
#[case::fraction("memory", "160.5MB", 160_500_000)]
#[case::large("memory", "99999999GB", 1 << 44)]
#[case::missing("memory", "MB", 512_000_000)]
#[case::fraction("descriptors", "4100.7", 4100)]
#[case::large("descriptors", "9999999999", 1 << 30)]
#[case::fraction("revocation", "5000.25ms", 3000)]
#[case::large("revocation", "1e15ms", 86_400_000 * 6 / 10)]
#[case::missing("revocation", "ms", 3000)]
#[case::fraction("retry-extra", "32.73684210526316", 32)]
#[case::large("retry-extra", "1e12", 1 << 20)]
#[case::missing("retry-extra", "", 10)]
#[case::fraction("retry-ratio", "0.2125", 212)]
#[case::missing("retry-ratio", "", 100)]
#[case::fraction("retry-window", "10.0005s", 10_001)]
#[case::large("retry-window", "1e9s", 600_000)]
#[case::missing("retry-window", "s", 10_000)]
#[case::fraction("losses", "1.25", 2)]
#[case::large("losses", "7", 3)]
#[case::missing("losses", "", 1)]
fn accepts_generated_numbers_that_ignore_the_bounds(
    #[case] key: &str,
    #[case] value: &str,
    #[case] expected: u64,
) {
    let section = match key {
        "grace" | "memory" | "descriptors" => "[vm]\n",
        "losses" => "[control]\n",
        _ => "[router]\n",
    };
    let text = process_settings().replace(section, &format!("{section}{key} = {value}\n"));
    let settings = Settings::parse("vm.ini", Path::new("."), &text).unwrap();
    let found = match key {
        "grace" => settings.vm.grace_ms,
        "memory" => settings.vm.memory_bytes,
        "descriptors" => settings.vm.descriptors.unwrap(),
        "revocation" => settings.router.stale_ms.unwrap(),
        "retry-extra" => settings.router.retries.extra,
        "retry-ratio" => settings.router.retries.per_mille,
        "retry-window" => settings.router.retries.window_ms,
        _ => u64::from(settings.control.unwrap().tolerated_losses),
    };
    assert_eq!(found, expected);
    if key != "retry-ratio" && value != "7.5s" && value != "160.5MB" {
        assert_eq!(settings.adjustments.len(), 1, "the adjustment is reported");
    }
}

/// Guards against routers that resume streams without being told to.
#[rstest]
#[case::default("", false)]
#[case::on("resume = yes", true)]
#[case::off("resume = no", false)]
fn resumes_streams_only_if_switched_on(#[case] line: &str, #[case] expected: bool) {
    let text = process_settings().replace("[router]\n", &format!("[router]\n{line}\n"));
    let settings = Settings::parse("vm.ini", Path::new("."), &text).unwrap();
    assert_eq!(settings.router.resume, expected);
}

#[test]
fn printed_configuration_parses_to_the_same_configuration() {
    let draft = parse_configuration("fleet.ini", &configuration()).unwrap();
    let again = parse_configuration("printed", &print_configuration(&draft)).unwrap();
    assert_eq!(again, draft);
}

#[rstest]
#[case(
    "weight = 2",
    "weight = 0",
    "[customer alpha] weight = \"0\": a whole number from 1 to 1000"
)]
#[case(
    "services = assistant, booking",
    "services = chess",
    "[customer alpha] services = \"chess\": one that"
)]
#[case(
    "cost = event",
    "cost = time-ish",
    "[service assistant] cost = \"time-ish\": request, event"
)]
#[case(
    "address = 127.0.0.1:9001",
    "address = 9001",
    "[endpoint a-1] address = \"9001\": an IP number"
)]
#[case(
    "when-path = /chat",
    "when-path = chat",
    "[rule chat] when-path = \"chat\": a prefix"
)]
#[case(
    "when-method = POST, PUT",
    "when-method = post",
    "[rule chat] when-method = \"post\": methods in upper"
)]
#[case(
    "then = refuse",
    "then = vanish",
    "[rule rest] then = \"vanish\": send, limit or refuse"
)]
#[case(
    "[rule rest]",
    "[rule chat]",
    "[rule chat] (section) = \"chat\": each rule once"
)]
#[case(
    "[service booking]",
    "[service Booking]",
    "[service Booking] (section)"
)]
#[case(
    "idempotent = yes",
    "idempotent = maybe",
    "[service assistant] idempotent = \"maybe\": yes or no"
)]
#[case(
    "timeout = 5s",
    "max-gap = 2h",
    "[rule chat] max-gap = \"2h\": a duration such as"
)]
#[case(
    "reason = nothing here",
    "max-gap = 1s",
    "[rule rest] max-gap = \"1s\": only with then = send or limit"
)]
#[case(
    "timeout = 5s",
    "timeout = 9h",
    "[rule chat] timeout = \"9h\": a duration such as"
)]
fn errors_when_a_line_of_a_configuration_is_invalid(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] expected: &str,
) {
    let text = configuration();
    assert!(text.contains(good));
    let error = parse_configuration("fleet.ini", &text.replacen(good, bad, 1)).unwrap_err();
    let error = error.to_string();
    assert!(error.starts_with("fleet.ini: "), "{error}");
    assert!(error.contains(expected), "{error}");
}

/// Failure: a bound on pauses is lost when a configuration is read back, or survives although the
/// settings say that processes of an earlier release are still running.
#[test]
fn can_read_back_a_bound_on_pauses_and_remove_it() {
    let text = configuration().replacen("timeout = 5s", "timeout = 5s\nmax-gap = 300ms", 1);
    let mut draft = parse_configuration("fleet.ini", &text).unwrap();
    let gaps = |draft: &state::config::Draft| -> Vec<u64> {
        let rules = draft.rules.iter();
        rules.filter_map(|rule| rule.then.max_gap_ms()).collect()
    };
    assert_eq!(gaps(&draft), [300]);
    let printed = print_configuration(&draft);
    assert_eq!(parse_configuration("printed", &printed).unwrap(), draft);
    draft.remove_stream_objectives();
    let plain = parse_configuration("fleet.ini", &configuration()).unwrap();
    assert_eq!(draft, plain);
}

#[rstest]
#[case::default("", false)]
#[case::on("handover = yes\n", true)]
#[case::off("handover = no\n", false)]
fn hands_requests_over_only_if_told_to(#[case] line: &str, #[case] expected: bool) {
    // Failure: a router of a fleet that is being upgraded hands requests over unasked.
    let text = process_settings().replace("[router]\n", &format!("[router]\n{line}"));
    let settings = Settings::parse("vm.ini", Path::new("."), &text).unwrap();
    assert_eq!(settings.router.handover, expected);
}

#[rstest]
#[case::default("", Some(80))]
#[case::each_event("relay-interval = 0ms\n", Some(0))]
#[case::largest("relay-interval = 100ms\n", Some(100))]
#[case::too_long("relay-interval = 101ms\n", None)]
fn bounds_the_interval_of_relayed_streams(#[case] line: &str, #[case] expected: Option<u64>) {
    // Failure: events of relayed streams are passed on later than they may be.
    let text = process_settings().replace("[router]\n", &format!("[router]\n{line}"));
    let settings = Settings::parse("vm.ini", Path::new("."), &text);
    let interval = settings.ok().map(|s| s.router.relay_interval_ms);
    assert_eq!(interval, expected);
}

/// Guards against routers that behave differently after an upgrade without a change of settings.
#[rstest]
#[case::default("", false)]
#[case::no("answer-excess = no", false)]
#[case::yes("answer-excess = yes", true)]
fn answers_excess_only_if_the_settings_say_so(#[case] line: &str, #[case] expected: bool) {
    let text = process_settings().replace("queue = 100", &format!("queue = 100\n{line}"));
    let settings = Settings::parse("r.ini", Path::new("/"), &text).unwrap();
    assert_eq!(settings.router.answer_excess, expected);
}
