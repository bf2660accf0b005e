//! Asks the endpoints that are scheduled here for their load.

use crate::input::{Input, Watched};
use crate::shared::raised;
use bytes::Bytes;
use errors::{Error, Result};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

/// Time between two rounds.
const PERIOD: Duration = Duration::from_secs(1);
/// Longest time for one report.
const LONGEST: Duration = Duration::from_millis(800);
/// Largest report in bytes.
const REPORT_MAX: usize = 4096;

/// A load report.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Report {
    running: u32,
    waiting: u32,
}

/// Asks until told to stop.
pub(crate) async fn run(reactor: flume::Sender<Input>, mut stop: watch::Receiver<bool>) {
    let mut period = tokio::time::interval(PERIOD);
    loop {
        tokio::select! {
            _ = period.tick() => {}
            () = raised(&mut stop) => return,
        }
        let (sender, receiver) = oneshot::channel();
        if reactor.send(Input::Watched(sender)).is_err() {
            return;
        }
        let watched = receiver.await.unwrap_or_default();
        let mut round = JoinSet::new();
        for watched in watched {
            round.spawn(async move {
                let report = tokio::time::timeout(LONGEST, ask(&watched)).await;
                (watched.endpoint, report)
            });
        }
        while let Some(done) = round.join_next().await {
            // An endpoint that does not report is judged by its answers alone.
            if let Ok((endpoint, Ok(Ok(report)))) = done {
                let load = report.running.saturating_add(report.waiting);
                let _ = reactor.send(Input::Load(endpoint, load));
            }
        }
    }
}

async fn ask(watched: &Watched) -> Result<Report> {
    let step = "ask for load";
    let peer = watched.address;
    let stream = TcpStream::connect(peer)
        .await
        .map_err(Error::peer(step, peer))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(Error::peer(step, peer))?;
    let request = Request::get(&watched.path)
        .header("host", peer.to_string())
        .header("connection", "close")
        .body(Empty::<Bytes>::new())
        .map_err(Error::peer(step, peer))?;
    let answer = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(Error::peer(step, peer))?;
        let body = Limited::new(response.into_body(), REPORT_MAX).collect();
        body.await
            .map(|b| b.to_bytes())
            .map_err(Error::peer(step, peer))
    };
    let (body, _) = tokio::join!(answer, connection);
    serde_json::from_slice(&body?).map_err(Error::peer(step, peer))
}
