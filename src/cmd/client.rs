//! Calls to the operators' address of a process.

use super::Failure;
use errors::Error;
use serde::de::DeserializeOwned;
use state::id::Name;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Longest time for one call, in seconds.
const SECONDS: u64 = 15;
/// Largest answer in bytes.
const ANSWER_MAX: usize = 64 * 1024 * 1024;

/// A process, as operators see it.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Peer {
    pub(crate) vm: Name,
    pub(crate) incarnation: u64,
    pub(crate) operators: SocketAddr,
}

/// An answer that was read whole.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) version: Option<String>,
    pub(crate) body: String,
}

/// Calls with a key.
pub(crate) struct Client<'a> {
    pub(crate) key: &'a str,
}

impl Client<'_> {
    /// Reads a page.
    pub(crate) fn get(&self, address: SocketAddr, path: &str) -> Result<Answer, Failure> {
        self.send(minreq::get(url(address, path)), address)
    }

    /// Sends a text.
    pub(crate) fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: String,
    ) -> Result<Answer, Failure> {
        self.send(minreq::post(url(address, path)).with_body(body), address)
    }

    /// Takes something back.
    pub(crate) fn delete(&self, address: SocketAddr, path: &str) -> Result<Answer, Failure> {
        self.send(minreq::delete(url(address, path)), address)
    }

    /// Reads a page of JSON.
    pub(crate) fn json<T>(&self, address: SocketAddr, path: &str) -> Result<T, Failure>
    where
        T: DeserializeOwned,
    {
        let answer = self.get(address, path)?;
        if answer.status != 200 {
            return Err(Failure::Refused(format!("{address}: {}", answer.reason())));
        }
        let parsed = serde_json::from_str(&answer.body);
        Ok(parsed.map_err(Error::peer("read an answer", address))?)
    }

    /// Finds all processes that can be reached from one, over their links.
    pub(crate) fn fleet(&self, first: SocketAddr) -> Result<Vec<Peer>, Failure> {
        let mut found: BTreeMap<Name, Peer> = BTreeMap::new();
        let mut asked = BTreeSet::new();
        let mut next = vec![first];
        while let Some(address) = next.pop() {
            if !asked.insert(address) {
                continue;
            }
            let peers: Vec<Peer> = match self.json(address, "/peers") {
                Ok(peers) => peers,
                Err(failure) if address == first => return Err(failure),
                Err(failure) => {
                    eprintln!("cowslipford: left out: {failure}");
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

    fn send(&self, request: minreq::Request, address: SocketAddr) -> Result<Answer, Failure> {
        // minreq takes a body that was cut short for whole: the length is
        // checked here, and redirects, which would send a change twice, are off.
        let response = request
            .with_header("Authorization", format!("Bearer {}", self.key))
            .with_timeout(SECONDS)
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
        if !(whole || chunked) || body.len() > ANSWER_MAX {
            return Err(Failure::Failed(Error::Peer {
                step: "read an answer",
                peer: address.to_string(),
                reason: "it was cut short or is too long".to_owned(),
            }));
        }
        Ok(Answer {
            status: response.status_code,
            version: header("cowslipford-version"),
            body: String::from_utf8_lossy(body).into_owned(),
        })
    }
}

impl Answer {
    /// The reason in a refusal.
    pub(crate) fn reason(&self) -> String {
        let parsed: Option<serde_json::Value> = serde_json::from_str(&self.body).ok();
        let reason = parsed.as_ref().and_then(|v| v["error"].as_str());
        reason.map_or_else(|| self.body.trim().to_owned(), str::to_owned)
    }

    /// This answer, or the failure that its status means.
    pub(crate) fn accepted(self) -> Result<Self, Failure> {
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
