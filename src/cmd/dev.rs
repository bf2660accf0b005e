//! `cowslipford dev`: a demo fleet in one process, with a router, a scheduler, a control VM and
//! two stand-in endpoints.

use super::client::Client;
use super::run::{block_on, StopSignals};
use super::{keys, log, Failure};
use crate::cli::Dev;
use errors::{Error, Result};
use node::{Interface, Process};
use settings::Settings;
use standin::{Kind, Server};
use state::id::Name;
use state::secret::Hash;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Operators' key of the demo fleet.
const OPERATOR_KEY: &str = "operator";
/// Longest wait for the process to become ready, and for the first answered request.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the demo fleet until a signal or an operator stops it.
pub(crate) fn run(args: &Dev) -> Result<(), Failure> {
    let folder = std::env::temp_dir().join(format!("cowslipford-dev-{}", std::process::id()));
    let ended = block_on(serve(args, &folder));
    // The folder holds demo certificates and data only, so leftovers are harmless.
    let _ = std::fs::remove_dir_all(&folder);
    ended
}

/// Starts the fleet and its endpoints, applies the configuration, and waits for the stop.
async fn serve(args: &Dev, folder: &Path) -> Result<(), Failure> {
    let mut stop = StopSignals::listen()?;
    let name = Name::try_from("dev").map_err(Failure::Input)?;
    keys::create(folder, &[name])?;
    let settings = settings(args, folder)?;
    let _flush = log::start(&settings.log);
    let mut process = Process::start(settings, Interface::native()).await?;
    let model = stand_in(Kind::Model).await?;
    let plain = stand_in(Kind::Plain).await?;
    let operators = process.addresses().operators;
    wait_ready(&process).await?;
    let text = configuration(model.address(), plain.address());
    let applied = tokio::task::spawn_blocking(move || apply(operators, text)).await;
    applied.map_err(Error::peer("apply the demo configuration", operators))??;
    if let Some(callers) = process.addresses().callers {
        wait_served(callers).await?;
        print_help(callers, operators);
    }
    let ended = tokio::select! {
        ended = process.wait() => ended,
        () = stop.received() => Ok(()),
    };
    process.stop().await;
    model.stop().await;
    plain.stop().await;
    Ok(ended?)
}

/// Settings of the only VM; they refer to certificates in `folder`.
fn settings(args: &Dev, folder: &Path) -> Result<Settings> {
    let key = Hash::of(&[OPERATOR_KEY.as_bytes()]).hex();
    let text = format!(
        "[vm]\nname = dev\ndata-centre = here\n\
         [link]\nlisten = 127.0.0.1:0\n\
         authority = authority.pem\ncertificate = dev.pem\nkey = dev.key\n\
         [peers]\ndev = 127.0.0.1:0\n\
         [operators]\nlisten = {}\nkey-sha256 = {key}\n\
         [callers]\nlisten = {}\n\
         [scheduler]\n\
         [control]\ndata = control\n\
         [log]\nlevel = warn\n",
        args.operators, args.callers
    );
    Settings::parse("(dev)", folder, &text)
}

/// Starts a stand-in endpoint on a free port.
async fn stand_in(kind: Kind) -> Result<Server> {
    Server::start(standin::Settings {
        kind,
        ..standin::Settings::default()
    })
    .await
}

/// Waits until the process takes requests.
///
/// # Errors
///
/// When it is not ready within [`READY_TIMEOUT`].
async fn wait_ready(process: &Process) -> Result<()> {
    let wait = async {
        while !process.is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, wait)
        .await
        .map_err(Error::peer("start the fleet", "dev"))
}

/// Waits until a request of customer `alpha` succeeds, at most [`READY_TIMEOUT`].
///
/// An accepted configuration may not be in force on the router yet. After the timeout the fleet
/// keeps running, and its addresses are printed anyway.
async fn wait_served(callers: SocketAddr) -> Result<()> {
    let probe = move || {
        let began = std::time::Instant::now();
        loop {
            let sent = minreq::get(format!("http://{callers}/booking/ready"))
                .with_header("Authorization", "Bearer alpha")
                .with_timeout(5)
                .send();
            if sent.as_ref().is_ok_and(|r| r.status_code == 200) || began.elapsed() > READY_TIMEOUT
            {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let joined = tokio::task::spawn_blocking(probe).await;
    joined.map_err(Error::peer("probe the fleet", callers))
}

/// Configuration of two customers, two services with one endpoint each, and their rules.
fn configuration(model: SocketAddr, plain: SocketAddr) -> String {
    let customer = |name: &str| {
        let key = Hash::of(&[name.as_bytes()]).hex();
        format!("[customer {name}]\nkey-sha256 = {key}\nservices = assistant, booking\n")
    };
    let (alpha, beta) = (customer("alpha"), customer("beta"));
    format!(
        "{alpha}{beta}\
         [service assistant]\ncost = event\nidempotent = yes\nload = /stand-in/load\n\
         [service booking]\ncost = request\n\
         [endpoint assistant-1]\nservice = assistant\naddress = {model}\ndata-centre = here\n\
         [endpoint booking-1]\nservice = booking\naddress = {plain}\ndata-centre = here\n\
         [rule assistant]\nwhen-path = /assistant\nthen = send\nservice = assistant\n\
         [rule booking]\nwhen-path = /booking\nthen = send\nservice = booking\n"
    )
}

/// Submits the configuration as the fleet's first change.
fn apply(operators: SocketAddr, text: String) -> Result<(), Failure> {
    let client = Client { key: OPERATOR_KEY };
    client
        .post(operators, "/config?id=1&base=0", text)?
        .error_for_status()?;
    Ok(())
}

/// Prints the addresses and commands to try, for pasting into a shell.
fn print_help(callers: SocketAddr, operators: SocketAddr) {
    let program = std::env::current_exe().unwrap_or_else(|_| PathBuf::from("cowslipford"));
    let program = program
        .file_name()
        .map_or_else(String::new, |n| n.to_string_lossy().into());
    print_line!("cowslipford is ready: callers on {callers}, operators on {operators}");
    print_line!("");
    print_line!("Stream an answer of the model service:");
    print_line!("  curl -N -H 'Authorization: Bearer alpha' -d 'a plan for Monday' \\");
    print_line!("    http://{callers}/assistant");
    print_line!("");
    print_line!("Make a booking that runs only once, however often the request is sent:");
    print_line!("  curl -i -H 'Authorization: Bearer beta' -H 'Idempotency-Key: monday-9' \\");
    print_line!("    -d 'Monday at nine' http://{callers}/booking");
    print_line!("");
    print_line!("Show the state of the fleet and its recent events:");
    print_line!("  {program} status --operators {operators}");
    print_line!("  {program} timeline --operators {operators}");
    print_line!("");
    print_line!("Press Ctrl-C to stop the fleet.");
}
