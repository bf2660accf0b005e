//! `cowslipford stand-in`: a simulated endpoint in a process of its own.

use super::run::{block_on, StopSignals};
use super::Failure;
use crate::cli::StandIn;
use standin::{Kind, Server, Settings};
use std::time::Duration;

/// Serves until SIGTERM or Ctrl-C.
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
        software: args.software.clone(),
        crash_part: args.crash_part,
    };
    block_on(async {
        let mut stop = StopSignals::listen()?;
        let server = Server::start(settings).await?;
        print_line!("listening on {}", server.address());
        stop.received().await;
        server.stop().await;
        Ok(())
    })
}
