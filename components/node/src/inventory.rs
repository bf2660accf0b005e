//! Asks engines what they have kept of prompts, where nobody remembers it.
//!
//! A scheduler's picture of its engines comes from the routers, which remember what
//! they sent. After all of them were lost at once, requests would be sent to other
//! engines than those that have kept their prompts, and be read again.

use crate::fetch::fetch;
use crate::input::Input;
use crate::interface::Inventory;
use crate::shared::raised;
use coordination::prompt::Part;
use errors::{Error, Result};
use state::id::EndpointId;
use state::line::Line;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

/// Time between two looks for engines of which nothing is known: short beside the
/// seconds in which a fleet that was lost fills its engines again.
const PERIOD: Duration = Duration::from_millis(200);
/// Longest time for one engine; what comes later is known by then.
const LONGEST: Duration = Duration::from_millis(800);
/// Largest page in bytes: some ten thousand parts.
const PAGE_MAX: usize = 1 << 20;

/// An engine to ask.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unknown {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
}

/// Asks until told to stop.
pub(crate) async fn run(
    inventory: Inventory,
    reactor: flume::Sender<Input>,
    mut stop: watch::Receiver<bool>,
) {
    let mut period = tokio::time::interval(PERIOD);
    loop {
        tokio::select! {
            _ = period.tick() => {}
            () = raised(&mut stop) => return,
        }
        let (sender, receiver) = oneshot::channel();
        if reactor.send(Input::Unknown(sender)).is_err() {
            return;
        }
        let mut round = JoinSet::new();
        for unknown in receiver.await.unwrap_or_default() {
            round.spawn(ask(inventory, unknown));
        }
        while let Some(done) = round.join_next().await {
            match done {
                Ok(Ok((endpoint, parts))) => {
                    // The reactor ends only together with this process.
                    let _ = reactor.send(Input::Inventory(endpoint, parts));
                }
                // Its parts are learned from the requests that it gets.
                Ok(Err(error)) => {
                    tracing::info!(event = Line::InventoryMissing.as_str(), %error);
                }
                Err(_) => {}
            }
        }
    }
}

async fn ask(inventory: Inventory, unknown: Unknown) -> Result<(EndpointId, Vec<Part>)> {
    let step = "ask an engine what it has kept";
    let peer = unknown.address;
    let page = tokio::time::timeout(LONGEST, fetch(peer, inventory.path, PAGE_MAX));
    let page = page.await.map_err(Error::peer(step, peer))??;
    let parts = (inventory.read)(&page).map_err(Error::peer(step, peer))?;
    Ok((unknown.endpoint, parts))
}
