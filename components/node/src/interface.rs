//! How callers, endpoints, operators and the platform speak.
//!
//! The node decides by what these functions read and give; they decide nothing.

use crate::retry_after::retry_after;
use bytes::Bytes;
use coordination::prompt::{Part, Prompt};
use hyper::header::{HeaderMap, HeaderValue, AUTHORIZATION};
use hyper::http::{request, response};
use hyper::StatusCode;
use state::id::Name;
use state::listing::Entry;
use state::outcome::Outcome;
use state::record::Release;
use state::secret::Hash;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Header of the product's own interface that carries a request's identity.
pub(crate) const REQUEST_ID: &str = "cowslipford-request-id";
/// Header by which a caller names a service.
const SERVICE: &str = "cowslipford-service";
/// Header by which a caller gives the expected cost.
const SIZE: &str = "cowslipford-size";
/// Header that tells an engine from which other one to copy what that has kept of
/// the prompt. Only a router sets it.
const COPY_FROM: &str = "cowslipford-copy-from";

/// Header by which an endpoint says that it leaves.
const LEAVING: &str = "cowslipford-leaving";

/// What a caller's head says.
#[derive(Clone, Debug, Default)]
pub struct Inbound {
    /// Identity that the caller gave the request, if it did.
    pub identity: Option<HeaderValue>,
    /// Hash of the customer's key, if one was sent.
    pub key: Option<Hash>,
    /// Service that the caller names.
    pub service: Option<String>,
    /// Time for which the caller will wait.
    pub timeout: Option<Duration>,
    /// Expected cost, in units of the service.
    pub size: Option<u32>,
    /// What is known of the prompt.
    pub prompt: Prompt,
}

/// What an onward request is to say.
#[derive(Clone, Debug)]
pub struct Outbound<'a> {
    /// Identity that the router gave the request, in case its caller gave none.
    pub identity: &'a str,
    /// Endpoint that it is meant for.
    pub endpoint: &'a Name,
    /// Customer whose key it bore.
    pub customer: Option<&'a Name>,
    /// Time that is left.
    pub time_left: Duration,
    /// Engine that has kept more of the prompt, to copy it from.
    pub copy_from: Option<SocketAddr>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// Identity of the request that it answers, if it says one.
    pub identity: Option<HeaderValue>,
    /// Whether the endpoint says that it has not run the request.
    pub not_run: bool,
    /// Whether it can be an endpoint's own answer.
    pub is_authentic: bool,
    /// Whether the endpoint says that it leaves, or that another one has its address.
    pub is_leaving: bool,
    /// Time for which the endpoint wants no more requests of this router.
    pub retry_after: Option<Duration>,
}

/// Region of each data centre.
pub type Regions = BTreeMap<Name, Name>;

/// One page of the platform's list of endpoints.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Endpoints of the page.
    pub endpoints: Vec<Entry>,
    /// Path of the next page.
    pub next: Option<String>,
    /// Entries that name no endpoint to use, since they cannot be read.
    pub unreadable: usize,
}

/// What an engine says of itself and of what it has kept.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    /// When it started, in Unix milliseconds, if it says so.
    pub born: Option<u64>,
    /// Parts of prompts.
    pub parts: Vec<Part>,
}

/// How an engine tells what it has kept of prompts.
#[derive(Clone, Copy, Debug)]
pub struct Inventory {
    /// Path of its page.
    pub path: &'static str,
    /// Reads the page; an error says what is wrong with it.
    pub parse: fn(&[u8]) -> Result<Contents, String>,
}

/// One way of speaking.
#[derive(Clone, Copy, Debug)]
pub struct Interface {
    /// Reads a caller's head; an error says what is wrong with it.
    pub parse_request: fn(&request::Parts) -> Result<Inbound, String>,
    /// Makes a caller's headers those of the onward request.
    pub rewrite_headers: fn(&mut HeaderMap, &Outbound<'_>),
    /// Reads the head of an endpoint's answer.
    pub parse_response: fn(&response::Parts) -> Signals,
    /// Status with which the router says how a request ended that no endpoint
    /// has answered.
    pub map_status: fn(StatusCode, Outcome) -> StatusCode,
    /// Path of complete configurations.
    pub release_path: &'static str,
    /// Reads a complete configuration; an error says what is wrong with it.
    pub parse_release: fn(Bytes) -> Result<Release, String>,
    /// Path of orders to evacuate a data centre, which its name follows.
    pub evacuation_path: &'static str,
    /// Path of the first page of the platform's list.
    pub listing_path: &'static str,
    /// The path of a page of the list for the endpoints of one data centre alone, if the list
    /// can be asked for them.
    pub data_centre_path: fn(&str, &Name) -> Option<String>,
    /// Reads a page of the list.
    pub parse_page: fn(&[u8], &Regions) -> Result<Page, String>,
    /// How engines tell what they have kept, if they do.
    pub inventory: Option<Inventory>,
}

impl Interface {
    /// The product's own.
    pub fn native() -> Self {
        Interface {
            parse_request: own_ask,
            rewrite_headers: own_pass_on,
            parse_response: own_answer,
            map_status: |status, _| status,
            release_path: "/release",
            parse_release: own_release,
            evacuation_path: "/evacuation/",
            listing_path: "/endpoints",
            data_centre_path: |_, _| None,
            parse_page: own_page,
            inventory: None,
        }
    }
}

fn own_ask(head: &request::Parts) -> Result<Inbound, String> {
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let header = head.headers.get(AUTHORIZATION);
    let header = header.and_then(|v| v.to_str().ok());
    let key = header.and_then(|v| v.strip_prefix("Bearer "));
    Ok(Inbound {
        key: key.map(|k| Hash::of(&[k.trim().as_bytes()])),
        service: text(SERVICE).map(str::to_owned),
        size: text(SIZE).and_then(|v| v.parse().ok()),
        ..Inbound::default()
    })
}

fn own_pass_on(headers: &mut HeaderMap, onward: &Outbound<'_>) {
    headers.remove(AUTHORIZATION);
    headers.remove(COPY_FROM);
    if let Some(address) = onward.copy_from {
        if let Ok(address) = HeaderValue::from_str(&address.to_string()) {
            headers.insert(COPY_FROM, address);
        }
    }
    if let Ok(identity) = HeaderValue::from_str(onward.identity) {
        headers.insert(REQUEST_ID, identity);
    }
}

fn own_answer(head: &response::Parts) -> Signals {
    Signals {
        identity: head.headers.get(REQUEST_ID).cloned(),
        not_run: false,
        is_authentic: true,
        is_leaving: head.headers.contains_key(LEAVING),
        retry_after: retry_after(head),
    }
}

/// A release of the product's own interface: JSON with `number` and `text`, a
/// configuration file.
fn own_release(document: Bytes) -> Result<Release, String> {
    #[derive(serde::Deserialize)]
    #[serde(rename_all = "kebab-case", deny_unknown_fields)]
    struct Document {
        number: u64,
        text: String,
    }
    let read: Document = serde_json::from_slice(&document).map_err(|e| e.to_string())?;
    let draft = settings::parse_configuration("(release)", &read.text);
    Ok(Release {
        number: read.number,
        draft: draft.map_err(|e| e.to_string())?,
        document: document.to_vec(),
    })
}

/// A page of the product's own interface: JSON with `endpoints` and `next`.
fn own_page(page: &[u8], regions: &Regions) -> Result<Page, String> {
    #[derive(serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    struct Line {
        name: Name,
        service: Name,
        address: SocketAddr,
        data_centre: Name,
        slots: u32,
        #[serde(default)]
        leaving: bool,
        #[serde(default)]
        born: Option<u64>,
        #[serde(default)]
        cold_ms: u32,
    }
    #[derive(serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    struct Lines {
        endpoints: Vec<Line>,
        next: Option<String>,
    }
    let read: Lines = serde_json::from_slice(page).map_err(|e| e.to_string())?;
    let endpoints = read.endpoints.into_iter().map(|line| Entry {
        leaving: line.leaving,
        started_ms: line.born,
        cold_ms: line.cold_ms,
        endpoint: state::config::Endpoint {
            region: region(regions, &line.data_centre),
            name: line.name,
            service: line.service,
            address: line.address,
            data_centre: line.data_centre,
            slots: line.slots,
            prefetch: 0,
        },
    });
    Ok(Page {
        endpoints: endpoints.collect(),
        next: read.next,
        unreadable: 0,
    })
}

/// Region of a data centre; one that the settings do not name is a region of
/// its own.
pub fn region(regions: &Regions, data_centre: &Name) -> Name {
    regions.get(data_centre).unwrap_or(data_centre).clone()
}
