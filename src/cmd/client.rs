//! HTTP client of the operators' interface, which each process of the fleet serves.

use super::Failure;
use errors::Error;
use serde::de::DeserializeOwned;
use state::id::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Timeout of a call, in seconds.
const CALL_TIMEOUT_S: u64 = 15;
/// Largest accepted response body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A process of the fleet, as `/peers` lists it.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Peer {
    pub(crate) vm: Name,
    pub(crate) incarnation: u64,
    /// Address on which it serves operators.
    pub(crate) operators: SocketAddr,
}

/// A response that was received completely.
pub(crate) struct Response {
    pub(crate) status: u16,
    /// Version of the configuration, from the header `cowslipford-version`.
    pub(crate) version: Option<String>,
    pub(crate) body: String,
}

/// A client that authenticates with an operators' key.
pub(crate) struct Client<'a> {
    pub(crate) key: &'a str,
}

impl Client<'_> {
    /// Sends a GET request.
    pub(crate) fn get(&self, address: SocketAddr, path: &str) -> Result<Response, Failure> {
        self.send(minreq::get(url(address, path)), address)
    }

    /// Sends a POST request with a text body.
    pub(crate) fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<Response, Failure> {
        self.send(minreq::post(url(address, path)).with_body(body), address)
    }

    /// Sends a DELETE request.
    pub(crate) fn delete(&self, address: SocketAddr, path: &str) -> Result<Response, Failure> {
        self.send(minreq::delete(url(address, path)), address)
    }

    /// Sends a GET request and parses the JSON body; any status but 200 is an error.
    pub(crate) fn get_json<T>(&self, address: SocketAddr, path: &str) -> Result<T, Failure>
    where
        T: DeserializeOwned,
    {
        let response = self.get(address, path)?;
        if response.status != 200 {
            return Err(Failure::Refused(format!(
                "{address}: {}",
                response.reason()
            )));
        }
        let parsed = serde_json::from_str(&response.body);
        Ok(parsed.map_err(Error::peer("read a response", address))?)
    }

    /// Discovers the fleet: asks `first` for its peers, then each peer in turn. Processes that do
    /// not respond are reported on standard error; only a failure of `first` is returned.
    pub(crate) fn discover_fleet(&self, first: SocketAddr) -> Result<Vec<Peer>, Failure> {
        let mut found: BTreeMap<Name, Peer> = BTreeMap::new();
        let mut asked = BTreeSet::new();
        let mut next = vec![first];
        while let Some(address) = next.pop() {
            if !asked.insert(address) {
                continue;
            }
            let peers: Vec<Peer> = match self.get_json(address, "/peers") {
                Ok(peers) => peers,
                Err(failure) if address == first => return Err(failure),
                Err(failure) => {
                    eprintln!("cowslipford: skipped a process: {failure}");
                    continue;
                }
            };
            for peer in peers {
                next.push(peer.operators);
                found.entry(peer.vm.clone()).or_insert(peer);
            }
        }
        Ok(found.into_values().collect())
    }

    /// Sends a request with the key and checks that the response is complete.
    fn send(&self, request: minreq::Request, address: SocketAddr) -> Result<Response, Failure> {
        // minreq reports a truncated body as complete, so the length is checked below.
        // Redirects are off, as following one would send a change twice.
        let response = request
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_timeout(CALL_TIMEOUT_S)
            .with_follow_redirects(false)
            .with_max_headers_size(64 * 1024)
            .send()
            .map_err(Error::peer("call", address))?;
        let header = |name: &str| {
            let mut all = response.headers.iter();
            all.find(|(n, _)| n.eq_ignore_ascii_case(name))
                .map(|(_, v)| v.clone())
        };
        let body = response.as_bytes();
        let whole = header("content-length").and_then(|l| l.parse().ok()) == Some(body.len());
        let chunked = header("transfer-encoding").is_some();
        if !(whole || chunked) || body.len() > MAX_BODY_BYTES {
            return Err(Failure::Failed(Error::Peer {
                step: "read a response",
                peer: address.to_string(),
                reason: "it is truncated or too long".to_owned(),
            }));
        }
        Ok(Response {
            status: response.status_code,
            version: header("cowslipford-version"),
            body: String::from_utf8_lossy(body).into_owned(),
        })
    }
}

impl Response {
    /// Why a request was refused: the `error` field of a JSON body, or else the whole body.
    pub(crate) fn reason(&self) -> String {
        let parsed: Option<serde_json::Value> = serde_json::from_str(&self.body).ok();
        let reason = parsed.as_ref().and_then(|v| v["error"].as_str());
        reason.map_or_else(|| self.body.trim().to_owned(), str::to_owned)
    }

    /// Returns the response if its status is 200, else the failure that the status stands for:
    /// invalid input for 400, 413 and 422, refused for all others.
    pub(crate) fn error_for_status(self) -> Result<Self, Failure> {
        match self.status {
            200 => Ok(self),
            400 | 413 | 422 => Err(Failure::Input(self.reason())),
            409 => {
                let parsed: Option<serde_json::Value> = serde_json::from_str(&self.body).ok();
                let version = parsed.map_or(0, |v| v["version"].as_u64().unwrap_or(0));
                let reason = self.reason();
                Err(Failure::Refused(format!(
                    "version {version} is in force: {reason}"
                )))
            }
            status => Err(Failure::Refused(format!("{status}: {}", self.reason()))),
        }
    }
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}
