//! Polls the endpoints that are scheduled here for their load reports.

use crate::fetch::fetch;
use crate::input::{Input, Watched};
use crate::interface::Load;
use crate::shared::cancelled;
use errors::{Error, Result};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

/// Time between two polls of all endpoints.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest report in bytes.
const REPORT_BYTES_MAX: usize = 4096;

/// Polls until `stop` is set.
pub(crate) async fn run(reactor: flume::Sender<Input>, mut stop: watch::Receiver<bool>) {
    let mut period = tokio::time::interval(POLL_INTERVAL);
    loop {
        tokio::select! {
            _ = period.tick() => {}
            () = cancelled(&mut stop) => return,
        }
        let (sender, receiver) = oneshot::channel();
        if reactor.send(Input::Watched(sender)).is_err() {
            return;
        }
        let watched = receiver.await.unwrap_or_default();
        let mut round = JoinSet::new();
        for watched in watched {
            round.spawn(async move {
                let report = tokio::time::timeout(REPORT_TIMEOUT, fetch_report(&watched)).await;
                (watched.endpoint, report)
            });
        }
        while let Some(done) = round.join_next().await {
            // Without a report, an endpoint's load is estimated from its answers alone.
            if let Ok((endpoint, Ok(Ok(report)))) = done {
                let _ = reactor.send(Input::Load(endpoint, report));
            }
        }
    }
}

/// Fetches the load report of an endpoint.
async fn fetch_report(watched: &Watched) -> Result<Load> {
    let body = fetch(watched.address, &watched.path, REPORT_BYTES_MAX).await?;
    serde_json::from_slice(&body).map_err(Error::peer("ask for load", watched.address))
}
