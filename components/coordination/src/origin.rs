//! Where streams began: the software version that wrote the first event of each.
//!
//! What two versions of an endpoint's software write does not fit together, so that a stream may
//! only go on at the version that began it. A caller that takes a stream up again names the
//! request that brought its first event, but may come to any router, after the one that served
//! that request was killed or cut off, and after any time.
//!
//! A router therefore reports the origin of each stream to a control VM, which passes it on to the
//! others. [`Origins`] remembers origins, [`Lookups`] asks for one, and [`decide`] says where a
//! stream may go on. A stream of unknown origin goes on only if its service has never had a second
//! version by the [`state::catalog`].

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use state::secret::Hash;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time for which an origin is remembered after its last report, in milliseconds. Streams in
/// progress are reported again after [`REPORT_AGAIN_MS`].
pub const KEPT_MS: u64 = 60_000;
/// Time after which the origin of a stream that is still in progress is reported again, in
/// milliseconds.
pub const REPORT_AGAIN_MS: u64 = KEPT_MS / 3;
/// Most origins that a process remembers; the oldest are forgotten first. Some 100 bytes each.
pub const ORIGINS_MAX: usize = 131_072;
/// Most origins in one message.
pub const BATCH_MAX: usize = 4096;
/// Time for which a router waits for the answers of control VMs, in milliseconds: many times a
/// round trip, and a small part of the time for which callers wait.
pub const LOOKUP_MS: u64 = 250;
/// Most lookups of a router at a time.
pub const LOOKUPS_MAX: usize = 1024;

/// Identifies a stream by the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(u64);

impl Key {
    /// Key of a stream that began under a request with this ID. Requests of different customers
    /// have different keys.
    pub fn of(customer: CustomerId, id: &[u8]) -> Self {
        let Hash(bytes) = Hash::of(&[b"stream", &customer.0.to_be_bytes(), id]);
        let mut key = [0; 8];
        key.iter_mut().zip(bytes).for_each(|(to, from)| *to = from);
        Key(u64::from_be_bytes(key))
    }

    /// A number that is the same for each request of the stream, to draw its service by.
    pub fn draw(self) -> u64 {
        self.0
    }
}

/// Where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Origin {
    /// Service whose endpoint wrote the first event.
    pub service: ServiceId,
    /// Version of that endpoint's software.
    pub software: Software,
}

/// What is remembered of one stream.
#[derive(Clone, Copy, Debug)]
struct Entry {
    origin: Origin,
    /// Another origin that was reported: either may be the one whose event the caller has.
    other: Option<Origin>,
    reported_at: Millis,
    /// When a report of it was last passed on as news.
    news_at: Millis,
}

/// Origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    entries: BTreeMap<Key, Entry>,
    /// Reports in order, to find the oldest entries.
    order: VecDeque<(Millis, Key)>,
}

impl Origins {
    /// Remembers the origin of a stream from now on. Returns whether the report is news: the first
    /// one of an origin, or the first one for [`REPORT_AGAIN_MS`].
    pub fn record(&mut self, now: Millis, key: Key, origin: Origin) -> bool {
        let before = self.entries.get(&key);
        let is_news = before.is_none_or(|entry| {
            let is_same = entry.origin == origin || entry.other == Some(origin);
            !is_same || now.since(entry.news_at) >= REPORT_AGAIN_MS
        });
        let entry = self.entries.entry(key).or_insert(Entry {
            origin,
            other: None,
            reported_at: now,
            news_at: now,
        });
        if entry.origin != origin {
            entry.other = Some(origin);
        }
        entry.reported_at = now;
        if is_news {
            entry.news_at = now;
        }
        self.order.push_back((now, key));
        self.expire(now);
        is_news
    }

    /// The origin of a stream, if it is known.
    pub fn get(&self, now: Millis, key: Key) -> Option<Origin> {
        let entry = self.entries.get(&key)?;
        let is_recent = now.since(entry.reported_at) < KEPT_MS;
        (is_recent && entry.other.is_none()).then_some(entry.origin)
    }

    /// All origins that were reported, two for a stream that is ambiguous.
    pub fn iter(&self) -> impl Iterator<Item = (Key, Origin)> + '_ {
        let all = self.entries.iter();
        all.flat_map(|(key, entry)| {
            let origins = std::iter::once(entry.origin).chain(entry.other);
            origins.map(|origin| (*key, origin))
        })
    }

    /// Number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Forgets streams that were not reported for [`KEPT_MS`], and the oldest beyond
    /// [`ORIGINS_MAX`].
    pub fn expire(&mut self, now: Millis) {
        while let Some((at, key)) = self.order.front().copied() {
            // A stream that was reported again has a later place in the order, too.
            let is_repeated = self.entries.get(&key).is_none_or(|e| e.reported_at > at);
            let is_excess = self.order.len() > ORIGINS_MAX;
            if !is_repeated && !is_excess && now.since(at) < KEPT_MS {
                return;
            }
            self.order.pop_front();
            if !is_repeated {
                self.entries.remove(&key);
            }
        }
    }
}

/// The only version of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Sole {
    /// The version.
    pub software: Software,
    /// Time for which it has been the only one, in milliseconds, or [`Sole::EVER`]. Processes of an
    /// earlier release state times, which say nothing of streams that have waited for longer.
    pub for_ms: u64,
}

impl Sole {
    /// Time of a version that has been the only one since its service was first used.
    pub const EVER: u64 = u64::MAX;
}

/// Answer of a control VM to a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The stream began here.
    Known(Origin),
    /// The origin is not known; the service has had this version alone, if it has.
    Unknown(Option<Sole>),
}

/// What is known of the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// The stream began here.
    Known(Origin),
    /// The service has never had another version.
    Sole(Software),
    /// All processes that were asked have answered, and none knows.
    Unknown,
    /// Not all of them have answered in time, or there is none to ask.
    Unreachable,
}

/// A lookup in progress.
#[derive(Clone, Debug)]
struct Lookup {
    /// VMs that have not answered.
    awaited: BTreeSet<Name>,
    /// Whether a VM was lost before it answered.
    is_incomplete: bool,
    until: Millis,
}

/// Lookups of origins at the control VMs.
#[derive(Clone, Debug, Default)]
pub struct Lookups {
    lookups: BTreeMap<u64, Lookup>,
    next: u64,
}

/// Result of the start of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begun {
    /// The VMs are to be asked under this number.
    Asked(u64),
    /// The lookup has ended.
    Ended(Found),
}

impl Lookups {
    /// Starts a lookup at these VMs.
    pub fn begin(&mut self, now: Millis, vms: BTreeSet<Name>) -> Begun {
        if vms.is_empty() || self.lookups.len() >= LOOKUPS_MAX {
            return Begun::Ended(Found::Unreachable);
        }
        let number = self.next;
        self.next += 1;
        let lookup = Lookup {
            awaited: vms,
            is_incomplete: false,
            until: now.after(LOOKUP_MS),
        };
        self.lookups.insert(number, lookup);
        Begun::Asked(number)
    }

    /// Takes the answer of a VM. Returns the result if the lookup has ended.
    pub fn answer(&mut self, number: u64, vm: &Name, answer: Answer) -> Option<Found> {
        let lookup = self.lookups.get_mut(&number)?;
        if !lookup.awaited.remove(vm) {
            return None;
        }
        match answer {
            Answer::Known(origin) => {
                self.lookups.remove(&number);
                Some(Found::Known(origin))
            }
            Answer::Unknown(Some(sole)) if sole.for_ms == Sole::EVER => {
                self.lookups.remove(&number);
                Some(Found::Sole(sole.software))
            }
            Answer::Unknown(_) => self.end_if_answered(number),
        }
    }

    /// Lookups that wait for the answer of a VM.
    pub fn awaiting(&self, vm: &Name) -> impl Iterator<Item = u64> + '_ {
        let vm = vm.clone();
        let waiting = self.lookups.iter();
        let waiting = waiting.filter(move |(_, lookup)| lookup.awaited.contains(&vm));
        waiting.map(|(number, _)| *number)
    }

    /// Handles the loss of a VM. Returns the lookups that have ended.
    pub fn lose(&mut self, vm: &Name) -> Vec<(u64, Found)> {
        let numbers: Vec<u64> = self.lookups.keys().copied().collect();
        let ended = numbers.into_iter().filter_map(|number| {
            let lookup = self.lookups.get_mut(&number)?;
            lookup.is_incomplete |= lookup.awaited.remove(vm);
            Some((number, self.end_if_answered(number)?))
        });
        ended.collect()
    }

    /// Ends the lookups whose time is over.
    pub fn tick(&mut self, now: Millis) -> Vec<(u64, Found)> {
        let is_over = |lookup: &Lookup| lookup.until <= now;
        let over = self.lookups.iter().filter(|(_, lookup)| is_over(lookup));
        let over: Vec<u64> = over.map(|(number, _)| *number).collect();
        let end = |number| {
            self.lookups.remove(&number);
            (number, Found::Unreachable)
        };
        over.into_iter().map(end).collect()
    }

    fn end_if_answered(&mut self, number: u64) -> Option<Found> {
        let is_answered = |lookup: &&Lookup| lookup.awaited.is_empty();
        self.lookups.get(&number).filter(is_answered)?;
        let lookup = self.lookups.remove(&number)?;
        Some(match lookup.is_incomplete {
            true => Found::Unreachable,
            false => Found::Unknown,
        })
    }
}

/// Versions of the endpoints of a service.
pub fn versions(view: &View, service: &Name) -> BTreeSet<Software> {
    let endpoints = view.config.endpoints.values();
    let of_service = endpoints.filter(|e| e.service == *service);
    of_service.map(|e| e.software).collect()
}

/// Where a stream that its caller takes up again may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// At endpoints with this version.
    At(Software),
    /// The origin is to be looked up first.
    LookUp,
    /// Nowhere, for this reason.
    Reject(Rejection),
}

/// Why a stream goes on nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No process knows where the stream began.
    Unknown,
    /// This router could not ask all processes that may know.
    Unreachable,
    /// No endpoint with the version that began the stream takes requests.
    Gone,
    /// No such endpoint is on this router's list, which is not the latest.
    Stale,
}

impl Decision {
    /// Name of the decision in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Decision::At(_) => "at-version",
            Decision::LookUp => "look-up",
            Decision::Reject(rejection) => rejection.as_str(),
        }
    }
}

impl Rejection {
    /// Name of the reason in logs and responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Rejection::Unknown => "origin-unknown",
            Rejection::Unreachable => "origin-unreachable",
            Rejection::Gone => "version-gone",
            Rejection::Stale => "endpoints-stale",
        }
    }
}

/// A stream that its caller takes up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Its service, by its rule.
    pub service: ServiceId,
    /// Its rule.
    pub rule: Name,
    /// Whether its rule names no other service.
    pub has_one_service: bool,
}

/// Decides where a stream may go on. `found` is the result of the lookup, if there was one.
/// `is_current` says whether the endpoints of the view are those of the latest list.
pub fn decide(view: &View, is_current: bool, stream: &Stream, found: Option<Found>) -> Decision {
    let service = stream.service;
    let Some(name) = view.config.services.get(&service).map(|s| &s.name) else {
        return Decision::Reject(Rejection::Unknown);
    };
    let software = match found {
        None => return Decision::LookUp,
        Some(Found::Known(origin)) if origin.service == service => origin.software,
        // It may have begun at another service of the rule.
        // All endpoints have this version, so that it may wait for one like any other request.
        Some(Found::Sole(software)) if stream.has_one_service => return Decision::At(software),
        Some(Found::Known(_) | Found::Sole(_) | Found::Unknown) => {
            return Decision::Reject(Rejection::Unknown)
        }
        Some(Found::Unreachable) => return Decision::Reject(Rejection::Unreachable),
    };
    let takes_work = |(id, e): (&EndpointId, &state::config::Endpoint)| {
        e.service == *name && e.software == software && view.accepts_work(*id, e)
    };
    if view.is_partial() || view.config.endpoints.iter().any(takes_work) {
        return Decision::At(software);
    }
    Decision::Reject(match is_current {
        true => Rejection::Gone,
        false => Rejection::Stale,
    })
}
