//! Polls the platform's list of live and leaving VMs, and announces its changes to the control
//! VMs.

use crate::fetch::fetch;
use crate::input::Input;
use crate::shared::{cancelled, Published};
use coordination::platform::{Change, Entry, Watch};
use errors::{Error, Result};
use protocol::wire::{Drain, Query};
use settings::Platform;
use state::line::Line;
use state::view::View;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Timeout for reading the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest list in bytes.
const LIST_BYTES_MAX: usize = 1024 * 1024;
/// Time for a departure to be accepted, after which the next list repeats it.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Polls the list until `stop` is set.
pub(crate) async fn run(
    platform: Platform,
    reactor: flume::Sender<Input>,
    published: watch::Receiver<Published>,
    mut stop: watch::Receiver<bool>,
) {
    let mut period = tokio::time::interval(Duration::from_millis(platform.every_ms));
    let mut watch = Watch::default();
    let mut is_reachable = true;
    loop {
        tokio::select! {
            _ = period.tick() => {}
            () = cancelled(&mut stop) => return,
        }
        let list = read(&platform).await;
        if list.is_ok() != is_reachable {
            is_reachable = list.is_ok();
            match &list {
                Ok(_) => tracing::info!(
                    event = Line::DependencyRegained.as_str(),
                    dependency = "platform",
                ),
                Err(error) => tracing::warn!(
                    event = Line::DependencyLost.as_str(),
                    dependency = "platform",
                    %error,
                ),
            }
        }
        let Ok(list) = list else {
            continue;
        };
        let view = published.borrow().view.clone();
        for change in watch.compare(&view, &list) {
            announce(&reactor, &view, change).await;
        }
    }
}

/// Reads the list.
async fn read(platform: &Platform) -> Result<Vec<Entry>> {
    let step = "read the platform's list";
    let peer = platform.address;
    let fetched = tokio::time::timeout(LIST_TIMEOUT, fetch(peer, &platform.path, LIST_BYTES_MAX));
    let page = fetched.await.map_err(Error::peer(step, peer))??;
    serde_json::from_slice(&page).map_err(Error::peer(step, peer))
}

/// Sends a change of an endpoint to the control VMs.
async fn announce(reactor: &flume::Sender<Input>, view: &View, change: Change) {
    let (id, leaves) = match change {
        Change::Leaving(id) => (id, true),
        Change::Returned(id) => (id, false),
    };
    let Some(endpoint) = view.config.endpoints.get(&id) else {
        return;
    };
    let name = endpoint.name.clone();
    tracing::info!(
        event = Line::EndpointAnnounced.as_str(),
        endpoint = %name,
        leaves,
        version = view.version.0,
    );
    let drain = if leaves {
        Drain::Endpoint(name)
    } else {
        Drain::EndpointBack(name)
    };
    let (sender, receiver) = oneshot::channel();
    let _ = reactor.send(Input::Query(Query::Drain(drain), sender));
    // A change that is not answered is repeated after the next list that contains it.
    let _ = tokio::time::timeout(ACCEPT_TIMEOUT, receiver).await;
}
