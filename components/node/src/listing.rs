//! Reads the platform's list of endpoints, when it is this process's turn.

use crate::fetch::fetch;
use crate::input::Input;
use crate::interface::{Interface, Regions};
use crate::shared::raised;
use errors::{Error, Result};
use state::line::Line;
use state::listing::Listed;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};

/// Time between two questions whether it is this process's turn.
const TURN: Duration = Duration::from_millis(100);
/// Longest time for one page.
const LONGEST: Duration = Duration::from_secs(2);
/// Largest page in bytes.
const PAGE_MAX: usize = 4 * 1024 * 1024;
/// Pages of one reading at most: more would mean that they go round in a ring.
const PAGES_MAX: usize = 1000;
/// Time between two log lines on entries that cannot be read.
const UNREADABLE: Duration = Duration::from_secs(10);
/// Pause after a reading that failed: the list may bear no more calls.
const PAUSE: Duration = Duration::from_millis(500);

/// Reads until told to stop.
pub(crate) async fn run(
    settings: settings::Listing,
    interface: Interface,
    regions: Regions,
    reactor: flume::Sender<Input>,
    mut stop: watch::Receiver<bool>,
) {
    let mut reachable = true;
    let mut unreadable = Unreadable::default();
    loop {
        let pause = if reachable { TURN } else { PAUSE };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = raised(&mut stop) => return,
        }
        let (sender, due) = oneshot::channel();
        if reactor.send(Input::ListingDue(sender)).is_err() {
            return;
        }
        if !due.await.unwrap_or(false) {
            continue;
        }
        let read = read(&settings, &interface, &regions, &mut unreadable).await;
        if read.is_ok() != reachable {
            reachable = read.is_ok();
            match &read {
                Ok(_) => tracing::info!(
                    event = Line::DependencyRegained.as_str(),
                    dependency = "listing"
                ),
                Err(error) => {
                    tracing::warn!(event = Line::DependencyLost.as_str(), dependency = "listing", %error);
                }
            }
        }
        if let Ok(endpoints) = read {
            // The reactor ends only together with this process.
            let _ = reactor.send(Input::ListingRead(endpoints));
        }
    }
}

/// Entries of the list that could not be read, told at a bounded rate: the list is
/// read twice a second, and an entry may stay broken for long.
#[derive(Default)]
struct Unreadable {
    entries: usize,
    told: Option<Instant>,
}

impl Unreadable {
    fn add(&mut self, entries: usize) {
        self.entries += entries;
        let is_due = self.told.is_none_or(|at| at.elapsed() >= UNREADABLE);
        if self.entries == 0 || !is_due {
            return;
        }
        tracing::warn!(
            event = Line::ListingUnreadable.as_str(),
            entries = self.entries
        );
        self.entries = 0;
        self.told = Some(Instant::now());
    }
}

async fn read(
    settings: &settings::Listing,
    interface: &Interface,
    regions: &Regions,
    unreadable: &mut Unreadable,
) -> Result<Vec<Listed>> {
    let step = "read the list of endpoints";
    let peer = settings.address;
    let mut path = interface.listing.to_owned();
    let mut endpoints = Vec::new();
    for _ in 0..PAGES_MAX {
        let fetched = tokio::time::timeout(LONGEST, fetch(peer, &path, PAGE_MAX));
        let page = fetched.await.map_err(Error::peer(step, peer))??;
        let page = (interface.page)(&page, regions).map_err(Error::peer(step, peer))?;
        endpoints.extend(page.endpoints);
        unreadable.add(page.unreadable);
        match page.next {
            Some(next) => path = next,
            None => return Ok(endpoints),
        }
    }
    Err(Error::peer(step, peer)("its pages do not end"))
}
