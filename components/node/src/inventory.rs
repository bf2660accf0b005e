//! Asks engines what they have kept of prompts, where nobody remembers it.
//!
//! A scheduler's picture of its engines comes from the routers, which remember what
//! they sent. After all of them were lost at once, requests would be sent to other
//! engines than those that have kept their prompts, and be read again.

use crate::fetch::fetch;
use crate::input::Input;
use crate::interface::{Contents, Inventory};
use crate::shared::cancelled;
use errors::{Error, Result};
use state::id::EndpointId;
use state::line::Line;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

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

/// Asks the engines that schedulers name, until told to stop.
pub(crate) async fn run(
    inventory: Inventory,
    inquiries: flume::Receiver<Unknown>,
    reactor: flume::Sender<Input>,
    mut stop: watch::Receiver<bool>,
) {
    let mut asking = JoinSet::new();
    loop {
        tokio::select! {
            Ok(unknown) = inquiries.recv_async() => {
                asking.spawn(tell(inventory, unknown, reactor.clone()));
            }
            Some(_) = asking.join_next() => {}
            () = cancelled(&mut stop) => break,
        }
    }
    asking.shutdown().await;
}

/// Asks one engine, and tells the reactor what it has kept.
async fn tell(inventory: Inventory, unknown: Unknown, reactor: flume::Sender<Input>) {
    let told = ask(inventory, unknown).await.unwrap_or_else(|error| {
        // Its parts are learned from the requests that it gets.
        tracing::info!(event = Line::InventoryMissing.as_str(), %error);
        Contents::default()
    });
    // The reactor ends only together with this process.
    let _ = reactor.send(Input::Inventory(unknown.endpoint, told));
}

async fn ask(inventory: Inventory, unknown: Unknown) -> Result<Contents> {
    let step = "ask an engine what it has kept";
    let peer = unknown.address;
    let page = tokio::time::timeout(LONGEST, fetch(peer, inventory.path, PAGE_MAX));
    let page = page.await.map_err(Error::peer(step, peer))??;
    (inventory.parse)(&page).map_err(Error::peer(step, peer))
}
