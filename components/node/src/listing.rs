//! Reads the platform's list of endpoints, when it is this process's turn.

use crate::fetch::fetch;
use crate::input::{Input, Reading};
use crate::interface::{Interface, Page, Regions};
use crate::shared::cancelled;
use errors::{Error, Result};
use state::id::Name;
use state::line::Line;
use state::listing::Entry;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;

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
/// Pause after a reading that failed, twice as long after each further one: the list may
/// bear no more calls.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest such pause.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// Times that one page is asked for again.
const TRIES: u32 = 3;
/// Pause before the first of them, twice as long before each further one.
const AGAIN: Duration = Duration::from_millis(50);
/// Of so many readings of a long list one is not by data centre: it may name one that the
/// settings do not.
const SEEK_EACH: usize = 16;
/// Which of them.
const SEEK_FIRST: usize = 2;
const STEP: &str = "read the list of endpoints";

/// Reads until told to stop.
pub(crate) async fn run(
    settings: settings::Listing,
    interface: Interface,
    regions: Regions,
    reactor: flume::Sender<Input>,
    mut stop: watch::Receiver<bool>,
) {
    let mut reader = Reader {
        list: Arc::new(List {
            address: settings.address,
            interface,
            regions: regions.clone(),
        }),
        pages: None,
        centres: regions.keys().cloned().collect(),
        readings: 0,
    };
    let mut unreadable = Unreadable::default();
    let mut pause = TURN;
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = cancelled(&mut stop) => return,
        }
        let (sender, due) = oneshot::channel();
        if reactor.send(Input::ListingDue(sender)).is_err() {
            return;
        }
        let Some(began) = due.await.ok().flatten() else {
            continue;
        };
        let (part, failure) = reader.read().await;
        tell(failure.as_ref(), pause == TURN);
        unreadable.add(part.unreadable);
        pause = match failure {
            None => TURN,
            Some(_) => (pause * 2).clamp(PAUSE, PAUSE_MAX),
        };
        if failure.is_none() || !part.endpoints.is_empty() {
            let reading = Reading {
                began,
                endpoints: part.endpoints,
                is_whole: failure.is_none(),
            };
            // The reactor ends only together with this process.
            let _ = reactor.send(Input::ListingRead(reading));
        }
    }
}

/// Logs that the list can no longer be read, or can again.
fn tell(failure: Option<&Error>, was_reachable: bool) {
    match failure {
        None if !was_reachable => tracing::info!(
            event = Line::DependencyRegained.as_str(),
            dependency = "listing"
        ),
        Some(error) if was_reachable => {
            tracing::warn!(event = Line::DependencyLost.as_str(), dependency = "listing", %error);
        }
        _ => {}
    }
}

/// What was read of the list.
#[derive(Default)]
struct Part {
    endpoints: Vec<Entry>,
    unreadable: usize,
    pages: usize,
}

/// Reads the whole list: page by page, or the data centres beside each other where it has at
/// least a page for each.
struct Reader {
    list: Arc<List>,
    /// Pages of the last whole reading.
    pages: Option<usize>,
    /// Data centres that the settings name, and others of which endpoints were seen.
    centres: BTreeSet<Name>,
    readings: usize,
}

impl Reader {
    /// Gives what could be read, and why it is not all if it is not.
    async fn read(&mut self) -> (Part, Option<Error>) {
        let count = self.centres.len();
        let is_long = match self.pages {
            Some(pages) => count > 1 && pages >= count,
            None => count > 1 && self.list.has_more().await,
        };
        self.readings += 1;
        let seeks_centres = self.readings % SEEK_EACH == SEEK_FIRST;
        let mut part = Part::default();
        let failure = if is_long && !seeks_centres {
            self.read_centres(&mut part).await
        } else {
            self.list.read(None, &mut part).await.err()
        };
        let seen = part.endpoints.iter();
        let unknown = seen.filter(|l| !self.centres.contains(&l.endpoint.data_centre));
        let unknown: Vec<Name> = unknown.map(|l| l.endpoint.data_centre.clone()).collect();
        self.centres.extend(unknown);
        if failure.is_none() {
            self.pages = Some(part.pages);
        }
        (part, failure)
    }

    async fn read_centres(&self, part: &mut Part) -> Option<Error> {
        let mut tasks = JoinSet::new();
        for centre in self.centres.clone() {
            let list = self.list.clone();
            tasks.spawn(async move {
                let mut part = Part::default();
                let read = list.read(Some(&centre), &mut part).await;
                (part, read.err())
            });
        }
        let mut failure = None;
        while let Some(read) = tasks.join_next().await {
            match read {
                Ok((other, error)) => {
                    part.endpoints.extend(other.endpoints);
                    part.unreadable += other.unreadable;
                    part.pages += other.pages;
                    failure = failure.or(error);
                }
                Err(error) => failure = Some(Error::peer(STEP, self.list.address)(error)),
            }
        }
        failure
    }
}

/// The list, and how its pages are read.
struct List {
    address: SocketAddr,
    interface: Interface,
    regions: Regions,
}

impl List {
    /// Whether it has more than one page, as far as the first one tells.
    async fn has_more(&self) -> bool {
        let first = self.page(self.interface.listing_path).await;
        first.is_ok_and(|page| page.next.is_some())
    }

    /// Reads all pages, or those of one data centre. Those that were read before one that
    /// fails are kept.
    async fn read(&self, centre: Option<&Name>, part: &mut Part) -> Result<()> {
        let mut path = self.interface.listing_path.to_owned();
        for _ in 0..PAGES_MAX {
            let of_centre = centre.and_then(|c| (self.interface.data_centre_path)(&path, c));
            let page = self.page(of_centre.as_deref().unwrap_or(&path)).await?;
            part.endpoints.extend(page.endpoints);
            part.unreadable += page.unreadable;
            part.pages += 1;
            match page.next {
                Some(next) => path = next,
                None => return Ok(()),
            }
        }
        Err(Error::peer(STEP, self.address)("its pages do not end"))
    }

    /// Reads one page, and again after a pause if that fails: given up, a list of many pages
    /// would hardly ever be read whole while it refuses some calls.
    async fn page(&self, path: &str) -> Result<Page> {
        let mut tries = 0;
        loop {
            let fetched = tokio::time::timeout(LONGEST, fetch(self.address, path, PAGE_MAX));
            let fetched = fetched.await.map_err(Error::peer(STEP, self.address));
            let bytes = match fetched {
                Ok(Ok(bytes)) => bytes,
                Ok(Err(_)) if tries < TRIES => {
                    tokio::time::sleep(AGAIN * 2_u32.pow(tries)).await;
                    tries += 1;
                    continue;
                }
                Ok(Err(error)) | Err(error) => return Err(error),
            };
            let page = (self.interface.parse_page)(&bytes, &self.regions);
            return page.map_err(Error::peer(STEP, self.address));
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
