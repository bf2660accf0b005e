//! `cowslipford dev`: the smallest whole fleet in one process.

use super::client::Client;
use super::run::{runtime, StopSignals};
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

/// Key of operators in a fleet for trying.
const OPERATOR: &str = "operator";
/// Longest wait for the fleet to become ready.
const READY: Duration = Duration::from_secs(20);

/// Runs until told to stop.
pub(crate) fn run(args: &Dev) -> Result<(), Failure> {
    let folder = std::env::temp_dir().join(format!("cowslipford-dev-{}", std::process::id()));
    let ended = runtime()?.block_on(serve(args, &folder));
    // What was made for trying goes with it; what cannot be removed is harmless.
    let _ = std::fs::remove_dir_all(&folder);
    ended
}

async fn serve(args: &Dev, folder: &Path) -> Result<(), Failure> {
    let mut stop = StopSignals::listen()?;
    let name = Name::try_from("dev").map_err(Failure::Input)?;
    keys::make(folder, &[name])?;
    let settings = settings(args, folder)?;
    log::start(&settings.log);
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

fn settings(args: &Dev, folder: &Path) -> Result<Settings> {
    let key = Hash::of(&[OPERATOR.as_bytes()]).hex();
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

async fn stand_in(kind: Kind) -> Result<Server> {
    Server::start(standin::Settings {
        kind,
        ..standin::Settings::default()
    })
    .await
}

async fn wait_ready(process: &Process) -> Result<()> {
    let wait = async {
        while !process.is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(READY, wait)
        .await
        .map_err(Error::peer("start the fleet", "dev"))
}

/// Waits until a request of each customer is answered.
async fn wait_served(callers: SocketAddr) -> Result<()> {
    let probe = move || {
        let began = std::time::Instant::now();
        loop {
            let sent = minreq::get(format!("http://{callers}/booking/ready"))
                .with_header("Authorization", "Bearer alpha")
                .with_timeout(5)
                .send();
            if sent.as_ref().is_ok_and(|r| r.status_code == 200) || began.elapsed() > READY {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let joined = tokio::task::spawn_blocking(probe).await;
    joined.map_err(Error::peer("try the fleet", callers))
}

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

fn apply(operators: SocketAddr, text: String) -> Result<(), Failure> {
    let client = Client { key: OPERATOR };
    client
        .post(operators, "/config?id=1&base=0", text)?
        .accepted()?;
    Ok(())
}

fn print_help(callers: SocketAddr, operators: SocketAddr) {
    let program = std::env::current_exe().unwrap_or_else(|_| PathBuf::from("cowslipford"));
    let program = program
        .file_name()
        .map_or_else(String::new, |n| n.to_string_lossy().into());
    say!("cowslipford is ready: callers on {callers}, operators on {operators}");
    say!("");
    say!("A streamed answer of the model service:");
    say!("  curl -N -H 'Authorization: Bearer alpha' -d 'a plan for Monday' \\");
    say!("    http://{callers}/assistant");
    say!("");
    say!("A booking that runs once, however often it is sent:");
    say!("  curl -i -H 'Authorization: Bearer beta' -H 'Idempotency-Key: monday-9' \\");
    say!("    -d 'Monday at nine' http://{callers}/booking");
    say!("");
    say!("The state, and what happened:");
    say!("  {program} status --operators {operators}");
    say!("  {program} timeline --operators {operators}");
    say!("");
    say!("Ctrl-C ends it.");
}
