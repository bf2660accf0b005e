//! `cowslipford stand-in`: the endpoint stand-in alone.

use super::run::{runtime, StopSignals};
use super::Failure;
use crate::cli::StandIn;
use standin::{Kind, Server, Settings};
use std::time::Duration;

/// Runs until told to stop.
pub(crate) fn run(args: &StandIn) -> Result<(), Failure> {
    let settings = Settings {
        listen: args.listen,
        kind: if args.plain { Kind::Plain } else { Kind::Model },
        batch: args.batch,
        tokens: args.tokens,
        pace: Duration::from_millis(args.pace),
        lag: Duration::from_millis(args.lag),
        record: args.record.clone(),
        may_crash: true,
    };
    runtime()?.block_on(async {
        let mut stop = StopSignals::listen()?;
        let server = Server::start(settings).await?;
        say!("listening on {}", server.address());
        stop.received().await;
        server.stop().await;
        Ok(())
    })
}
