//! Reads the platform's list of endpoints whenever the reactor says that this process should.

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

/// Time between two questions to the reactor whether a read is due.
const DUE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for one page.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest page in bytes.
const PAGE_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Largest number of pages of one read. More would mean that the links between pages form a
/// cycle.
const PAGES_MAX: usize = 1000;
/// Time between two log lines about unreadable entries.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Pause after a failed read, doubled after each further failure: the platform may be
/// overloaded.
const BACKOFF: Duration = Duration::from_millis(500);
/// Longest pause after a failed read.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Largest number of retries for one page.
const PAGE_RETRIES_MAX: u32 = 3;
/// Pause before the first retry of a page, doubled before each further one.
const PAGE_BACKOFF: Duration = Duration::from_millis(50);
/// One in this many reads of a long list is not split by data centre, because the list may name
/// data centres that the settings do not.
const UNSPLIT_PERIOD: usize = 16;
/// Remainder of the read number modulo [`UNSPLIT_PERIOD`] at which the read is not split.
const UNSPLIT_REMAINDER: usize = 2;
/// Step that errors of this module name.
const ERROR_STEP: &str = "read the list of endpoints";

/// Reads the list whenever it is due, until `stop` is set.
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
        data_centres: regions.keys().cloned().collect(),
        reads: 0,
    };
    let mut unreadable = Unreadable::default();
    let mut pause = DUE_INTERVAL;
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
        log_reachability(failure.as_ref(), pause == DUE_INTERVAL);
        unreadable.add(part.unreadable);
        pause = match failure {
            None => DUE_INTERVAL,
            Some(_) => (pause * 2).clamp(BACKOFF, BACKOFF_MAX),
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

/// Logs when the list becomes unreachable or reachable again.
fn log_reachability(failure: Option<&Error>, was_reachable: bool) {
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

/// Entries that were read from the list, with their number of pages.
#[derive(Default)]
struct Part {
    endpoints: Vec<Entry>,
    /// Number of entries that could not be parsed.
    unreadable: usize,
    /// Number of pages that were read.
    pages: usize,
}

/// Reads the whole list: page by page, or the data centres concurrently if it has at least one
/// page for each.
struct Reader {
    list: Arc<List>,
    /// Number of pages of the last complete read.
    pages: Option<usize>,
    /// Data centres that the settings or the list name.
    data_centres: BTreeSet<Name>,
    /// Number of reads so far.
    reads: usize,
}

impl Reader {
    /// Reads the list. Returns the entries that could be read, and the error if some could not.
    async fn read(&mut self) -> (Part, Option<Error>) {
        let count = self.data_centres.len();
        let is_long = match self.pages {
            Some(pages) => count > 1 && pages >= count,
            None => count > 1 && self.list.has_more().await,
        };
        self.reads += 1;
        let is_unsplit = self.reads % UNSPLIT_PERIOD == UNSPLIT_REMAINDER;
        let mut part = Part::default();
        let failure = if is_long && !is_unsplit {
            self.read_data_centres(&mut part).await
        } else {
            self.list.read(None, &mut part).await.err()
        };
        let seen = part.endpoints.iter();
        let unknown = seen.filter(|l| !self.data_centres.contains(&l.endpoint.data_centre));
        let unknown: Vec<Name> = unknown.map(|l| l.endpoint.data_centre.clone()).collect();
        self.data_centres.extend(unknown);
        if failure.is_none() {
            self.pages = Some(part.pages);
        }
        (part, failure)
    }

    /// Reads the pages of all data centres concurrently.
    async fn read_data_centres(&self, part: &mut Part) -> Option<Error> {
        let mut tasks = JoinSet::new();
        for data_centre in self.data_centres.clone() {
            let list = self.list.clone();
            tasks.spawn(async move {
                let mut part = Part::default();
                let read = list.read(Some(&data_centre), &mut part).await;
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
                Err(error) => failure = Some(Error::peer(ERROR_STEP, self.list.address)(error)),
            }
        }
        failure
    }
}

/// Address of the list, and how its pages are parsed.
struct List {
    address: SocketAddr,
    interface: Interface,
    regions: Regions,
}

impl List {
    /// Whether the first page links to another one. False if it cannot be read.
    async fn has_more(&self) -> bool {
        let first = self.page(self.interface.listing_path).await;
        first.is_ok_and(|page| page.next.is_some())
    }

    /// Reads all pages, or those of one data centre, into `part`. Pages before one that fails are
    /// kept.
    async fn read(&self, data_centre: Option<&Name>, part: &mut Part) -> Result<()> {
        let mut path = self.interface.listing_path.to_owned();
        for _ in 0..PAGES_MAX {
            let filtered = data_centre.and_then(|c| (self.interface.data_centre_path)(&path, c));
            let page = self.page(filtered.as_deref().unwrap_or(&path)).await?;
            part.endpoints.extend(page.endpoints);
            part.unreadable += page.unreadable;
            part.pages += 1;
            match page.next {
                Some(next) => path = next,
                None => return Ok(()),
            }
        }
        Err(Error::peer(ERROR_STEP, self.address)(
            "the pages of the list do not end",
        ))
    }

    /// Reads one page, and retries after a pause if that fails. Without retries, a list of many
    /// pages would hardly ever be read completely while the platform refuses some calls.
    async fn page(&self, path: &str) -> Result<Page> {
        let mut retries = 0;
        loop {
            let fetched =
                tokio::time::timeout(PAGE_TIMEOUT, fetch(self.address, path, PAGE_BYTES_MAX));
            let fetched = fetched.await.map_err(Error::peer(ERROR_STEP, self.address));
            let bytes = match fetched {
                Ok(Ok(bytes)) => bytes,
                Ok(Err(_)) if retries < PAGE_RETRIES_MAX => {
                    tokio::time::sleep(PAGE_BACKOFF * 2_u32.pow(retries)).await;
                    retries += 1;
                    continue;
                }
                Ok(Err(error)) | Err(error) => return Err(error),
            };
            let page = (self.interface.parse_page)(&bytes, &self.regions);
            return page.map_err(Error::peer(ERROR_STEP, self.address));
        }
    }
}

/// Unreadable entries of the list, which are logged at a bounded rate: the list is read twice a
/// second, and an entry may stay broken for a long time.
#[derive(Default)]
struct Unreadable {
    /// Entries since the last log line.
    entries: usize,
    /// When the last line was logged.
    logged_at: Option<Instant>,
}

impl Unreadable {
    /// Adds entries, and logs them if a line is due.
    fn add(&mut self, entries: usize) {
        self.entries += entries;
        let is_due = self
            .logged_at
            .is_none_or(|at| at.elapsed() >= UNREADABLE_LOG_INTERVAL);
        if self.entries == 0 || !is_due {
            return;
        }
        tracing::warn!(
            event = Line::ListingUnreadable.as_str(),
            entries = self.entries
        );
        self.entries = 0;
        self.logged_at = Some(Instant::now());
    }
}
