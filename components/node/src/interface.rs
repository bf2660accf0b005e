//! The HTTP dialect of callers, endpoints, operators and the platform.
//!
//! An [`Interface`] only parses and formats. All decisions are made by the node.

use crate::retry_after::retry_after;
use bytes::Bytes;
use coordination::prompt::{parse_parts, shared_parts, Part, Prompt, SharedParts};
use hyper::header::{HeaderMap, HeaderValue, AUTHORIZATION};
use hyper::http::{request, response};
use hyper::StatusCode;
use state::id::{Name, Software};
use state::listing::Entry;
use state::outcome::Outcome;
use state::record::Release;
use state::secret::Hash;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Header of the native interface with the ID of a request.
pub(crate) const REQUEST_ID: &str = "cowslipford-request-id";
/// Header with which a caller names a service.
const SERVICE: &str = "cowslipford-service";
/// Header with which a caller states the expected cost.
const SIZE: &str = "cowslipford-size";
/// Header with the parts of the prompt in their order, as `ID:TOKENS,...` with hexadecimal
/// identifiers.
const PROMPT_PARTS: &str = "cowslipford-prompt-parts";
/// Header with the address of another engine, from which an engine copies the cached part of the
/// prompt. Only routers set it.
const COPY_FROM: &str = "cowslipford-copy-from";
/// Header with which an endpoint announces that it is leaving.
const LEAVING: &str = "cowslipford-leaving";

/// Contents of the head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct Inbound {
    /// ID that the caller gave the request.
    pub request_id: Option<HeaderValue>,
    /// Hash of the customer's key.
    pub key: Option<Hash>,
    /// Service that the caller asks for.
    pub service: Option<String>,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Expected cost, in units of the service.
    pub size: Option<u32>,
    /// Prompt, as far as its length and parts are known.
    pub prompt: Prompt,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: SharedParts,
}

/// Values for the headers of a request to an endpoint.
#[derive(Clone, Debug)]
pub struct Outbound<'a> {
    /// ID that the router gave the request, for requests without one from the caller.
    pub request_id: &'a str,
    /// Endpoint that the request is sent to.
    pub endpoint: &'a Name,
    /// Customer whose key the request contained.
    pub customer: Option<&'a Name>,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Engine that has more of the prompt in its cache, to copy it from.
    pub copy_from: Option<SocketAddr>,
}

/// Information in the head of an endpoint's answer.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// ID of the request that is answered.
    pub request_id: Option<HeaderValue>,
    /// Whether the endpoint states that it has not run the request.
    pub not_run: bool,
    /// Whether the answer can come from an endpoint, rather than from a proxy before it.
    pub is_authentic: bool,
    /// Whether the endpoint announces that it is leaving, or another one now has its address.
    pub is_leaving: bool,
    /// Time for which the endpoint wants no more requests from this router.
    pub retry_after: Option<Duration>,
    /// Time that work takes on the endpoint's machine relative to the usual one, in percent.
    pub speed_percent: Option<u16>,
}

/// An endpoint's answer to a poll of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Load {
    /// Requests that are being served.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Time that work takes on the endpoint's machine relative to the usual one, in percent.
    pub percent: Option<u16>,
}

/// Region of each data centre.
pub type Regions = BTreeMap<Name, Name>;

/// One page of the platform's list of endpoints.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Endpoints of the page.
    pub endpoints: Vec<Entry>,
    /// Path of the next page, if there is one.
    pub next: Option<String>,
    /// Number of entries that could not be parsed.
    pub unreadable: usize,
}

/// Contents of an engine's prompt cache.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    /// When the engine started, in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// Cached parts of prompts.
    pub parts: Vec<Part>,
}

/// How to read the contents of an engine's prompt cache.
#[derive(Clone, Copy, Debug)]
pub struct Inventory {
    /// Path of the page that lists the contents.
    pub path: &'static str,
    /// Parses the page; the error says what is wrong with it.
    pub parse: fn(&[u8]) -> Result<Contents, String>,
}

/// The header of a caller's request with the key of its customer.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name of the header, in lower case.
    pub header: &'static str,
    /// What stands before the key in its value.
    pub prefix: &'static str,
}

/// A header of a caller's request with the time for which the caller waits.
#[derive(Clone, Copy, Debug)]
pub struct Timeout {
    /// Name of the header, in lower case.
    pub header: &'static str,
    /// Parses its value; the error says what is wrong with it.
    pub parse: fn(&str) -> Result<Duration, String>,
}

/// One HTTP dialect: paths, and functions that parse and format messages.
#[derive(Clone, Copy, Debug)]
pub struct Interface {
    /// Parses the head of a caller's request; the error says what is wrong with it.
    pub parse_request: fn(&request::Parts) -> Result<Inbound, String>,
    /// Header with the key of a caller's customer.
    pub key: Key,
    /// Header with the ID that a caller gives its request, if there is one, in lower case.
    pub request_id: Option<&'static str>,
    /// Header with the time for which a caller waits, if there is one.
    pub timeout: Option<Timeout>,
    /// Rewrites a caller's headers for the request to the endpoint.
    pub rewrite_headers: fn(&mut HeaderMap, &Outbound<'_>),
    /// Parses the head of an endpoint's answer.
    pub parse_response: fn(&response::Parts) -> Signals,
    /// Maps the status of a response that the router itself makes, because no endpoint answered.
    pub map_status: fn(StatusCode, Outcome) -> StatusCode,
    /// Path at which operators put and get the complete configuration.
    pub release_path: &'static str,
    /// Parses a complete configuration; the error says what is wrong with it.
    pub parse_release: fn(Bytes) -> Result<Release, String>,
    /// Path of orders to evacuate a data centre, without its name at the end.
    pub evacuation_path: &'static str,
    /// Path of the first page of the platform's list of endpoints.
    pub listing_path: &'static str,
    /// Restricts the path of a page of the list to one data centre, if the platform supports that.
    pub data_centre_path: fn(&str, &Name) -> Option<String>,
    /// Parses a page of the list.
    pub parse_page: fn(&[u8], &Regions) -> Result<Page, String>,
    /// How to read the prompt caches of engines, if they can list them.
    pub inventory: Option<Inventory>,
    /// Header that names the event after which a stream continues, in lower case.
    pub last_event_id: &'static str,
    /// Header of a caller that takes a stream up again, in lower case: the ID of its request whose
    /// answer brought the first event of the stream.
    pub resumes: &'static str,
}

impl Interface {
    /// The native dialect, which has the project's own header names and paths.
    pub fn native() -> Self {
        Interface {
            parse_request: native_request,
            key: Key {
                header: AUTHORIZATION.as_str(),
                prefix: "Bearer ",
            },
            request_id: None,
            timeout: None,
            rewrite_headers: native_headers,
            parse_response: native_response,
            map_status: |status, _| status,
            release_path: "/release",
            parse_release: native_release,
            evacuation_path: "/evacuation/",
            listing_path: "/endpoints",
            data_centre_path: |_, _| None,
            parse_page: native_page,
            inventory: None,
            last_event_id: "last-event-id",
            resumes: "cowslipford-resumes",
        }
    }
}

/// Parses the head of a caller's request of the native interface.
fn native_request(head: &request::Parts) -> Result<Inbound, String> {
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let header = head.headers.get(AUTHORIZATION);
    let header = header.and_then(|v| v.to_str().ok());
    let key = header.and_then(|v| v.strip_prefix("Bearer "));
    Ok(Inbound {
        key: key.map(|k| Hash::of(&[k.trim().as_bytes()])),
        service: text(SERVICE).map(str::to_owned),
        size: text(SIZE).and_then(|v| v.parse().ok()),
        prompt: Prompt::new(parse_parts(text(PROMPT_PARTS).unwrap_or("")), 0),
        shared_parts: text(PROMPT_PARTS).map(shared_parts).unwrap_or_default(),
        ..Inbound::default()
    })
}

/// Rewrites a caller's headers for an endpoint with the native interface.
fn native_headers(headers: &mut HeaderMap, outbound: &Outbound<'_>) {
    headers.remove(AUTHORIZATION);
    headers.remove(COPY_FROM);
    if let Some(address) = outbound.copy_from {
        if let Ok(address) = HeaderValue::from_str(&address.to_string()) {
            headers.insert(COPY_FROM, address);
        }
    }
    if let Ok(request_id) = HeaderValue::from_str(outbound.request_id) {
        headers.insert(REQUEST_ID, request_id);
    }
}

/// Parses the head of an answer of an endpoint with the native interface.
fn native_response(head: &response::Parts) -> Signals {
    Signals {
        request_id: head.headers.get(REQUEST_ID).cloned(),
        not_run: false,
        is_authentic: true,
        is_leaving: head.headers.contains_key(LEAVING),
        retry_after: retry_after(head),
        speed_percent: None,
    }
}

/// Parses a complete configuration of the native interface: JSON with `number` and `text`, the
/// text of a configuration file.
fn native_release(document: Bytes) -> Result<Release, String> {
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

/// Parses a page of the native interface: JSON with `endpoints` and `next`.
fn native_page(page: &[u8], regions: &Regions) -> Result<Page, String> {
    #[derive(serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    struct Row {
        name: Name,
        service: Name,
        address: SocketAddr,
        data_centre: Name,
        slots: u32,
        #[serde(default)]
        leaving: bool,
        #[serde(default)]
        #[serde(rename = "born")]
        started_ms: Option<u64>,
        #[serde(default)]
        cold_ms: u32,
        /// Version of the endpoint's software.
        #[serde(default)]
        version: String,
    }
    #[derive(serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    struct Rows {
        endpoints: Vec<Row>,
        next: Option<String>,
    }
    let read: Rows = serde_json::from_slice(page).map_err(|e| e.to_string())?;
    let endpoints = read.endpoints.into_iter().map(|row| Entry {
        leaving: row.leaving,
        started_ms: row.started_ms,
        cold_ms: row.cold_ms,
        endpoint: state::config::Endpoint {
            region: region(regions, &row.data_centre),
            name: row.name,
            service: row.service,
            address: row.address,
            data_centre: row.data_centre,
            slots: row.slots,
            prefetch: 0,
            software: Software::of(&row.version),
        },
    });
    Ok(Page {
        endpoints: endpoints.collect(),
        next: read.next,
        unreadable: 0,
    })
}

/// Region of a data centre. A data centre that the settings do not name is its own region.
pub fn region(regions: &Regions, data_centre: &Name) -> Name {
    regions.get(data_centre).unwrap_or(data_centre).clone()
}
