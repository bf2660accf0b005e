//! HTTP client of the operators' interface, which each process of the fleet serves.

use super::Failure;
use bytes::Bytes;
use coordination::ending::Framing;
use errors::{Error, Result};
use http_body_util::Full;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request};
use serde::de::DeserializeOwned;
use state::id::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
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
        self.send(Method::GET, address, path, String::new())
    }

    /// Sends a POST request with a text body.
    pub(crate) fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<Response, Failure> {
        self.send(Method::POST, address, path, body)
    }

    /// Sends a DELETE request.
    pub(crate) fn delete(&self, address: SocketAddr, path: &str) -> Result<Response, Failure> {
        self.send(Method::DELETE, address, path, String::new())
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

    /// Sends a request with the key, and reads the whole response.
    fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<Response, Failure> {
        let step = "call";
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::new(Bytes::from(body)))
            .map_err(Error::peer(step, address))?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::file("start the runtime", "(process)"))?;
        let exchange = node::exchange(step, address, request, MAX_BODY_BYTES, |_| true);
        let (response, framing) = runtime
            .block_on(async { tokio::time::timeout(CALL_TIMEOUT, exchange).await })
            .map_err(Error::peer(step, address))??;
        if framing == Framing::Close {
            // Processes of the fleet state a length, without which a part looks complete.
            return Err(Failure::Failed(Error::Peer {
                step,
                peer: address.to_string(),
                reason: "the response has neither a length nor chunks".to_owned(),
            }));
        }
        let version = response.headers().get("cowslipford-version");
        Ok(Response {
            status: response.status().as_u16(),
            version: version.and_then(|v| v.to_str().ok()).map(str::to_owned),
            body: String::from_utf8_lossy(response.body()).into_owned(),
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
