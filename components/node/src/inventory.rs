//! Asks engines for the contents of their prompt caches, if no router knows them.
//!
//! Schedulers normally learn the contents from routers, which remember what they sent. If all
//! routers were lost at once, requests would otherwise go to engines without the prompt in their
//! cache, and the prefill would be repeated.

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

/// Timeout for one engine. By then its cache is known well enough from its requests.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest page in bytes, enough for some ten thousand parts.
const PAGE_BYTES_MAX: usize = 1 << 20;

/// A query of one engine's prompt cache.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Inquiry {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
}

/// Queries the engines that schedulers name, until `stop` is set.
pub(crate) async fn run(
    inventory: Inventory,
    inquiries: flume::Receiver<Inquiry>,
    reactor: flume::Sender<Input>,
    mut stop: watch::Receiver<bool>,
) {
    let mut queries = JoinSet::new();
    loop {
        tokio::select! {
            Ok(inquiry) = inquiries.recv_async() => {
                queries.spawn(run_query(inventory, inquiry, reactor.clone()));
            }
            Some(_) = queries.join_next() => {}
            () = cancelled(&mut stop) => break,
        }
    }
    queries.shutdown().await;
}

/// Queries one engine, and sends the result to the reactor.
async fn run_query(inventory: Inventory, inquiry: Inquiry, reactor: flume::Sender<Input>) {
    let contents = fetch_contents(inventory, inquiry)
        .await
        .unwrap_or_else(|error| {
            // The contents are learned from the requests that the engine gets.
            tracing::info!(event = Line::InventoryMissing.as_str(), %error);
            Contents::default()
        });
    // The reactor ends only together with this process.
    let _ = reactor.send(Input::Inventory(inquiry.endpoint, contents));
}

/// Fetches and parses an engine's list of cached prompts.
async fn fetch_contents(inventory: Inventory, inquiry: Inquiry) -> Result<Contents> {
    let step = "read an engine's prompt cache";
    let peer = inquiry.address;
    let page = tokio::time::timeout(QUERY_TIMEOUT, fetch(peer, inventory.path, PAGE_BYTES_MAX));
    let page = page.await.map_err(Error::peer(step, peer))??;
    (inventory.parse)(&page).map_err(Error::peer(step, peer))
}
