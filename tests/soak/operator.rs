//! An operator that changes the configuration while faults go on, one change after
//! the other, each sent until its outcome is known.

use super::callers::{request, Client, World, PATIENCE};
use super::harness::http::Answer;
use super::harness::OPERATOR;
use state::secret::Hash;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;

/// Longest wait for one answer.
const ANSWER: Duration = Duration::from_secs(4);
/// Time between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// What the operator is to do.
#[derive(Clone, Debug)]
pub(crate) enum Order {
    Change,
    Revoke,
    /// Announces that an endpoint stops.
    Withdraw(String),
    /// Takes that back.
    Return(String),
}

/// What is in force when the operator has done all its orders.
#[derive(Clone, Debug, Default)]
pub(crate) struct InForce {
    pub(crate) version: u64,
    pub(crate) marker: u64,
    pub(crate) guest: String,
}

/// The operator.
pub(crate) struct Operator {
    pub(crate) world: Arc<World>,
    /// Operators' addresses of all VMs.
    pub(crate) vms: Vec<SocketAddr>,
    /// The configuration, but for what changes.
    pub(crate) text: String,
    pub(crate) in_force: InForce,
    pub(crate) keys: u64,
    pub(crate) ids: u64,
    pub(crate) turn: usize,
}

impl Operator {
    /// Carries out orders until no more can come.
    pub(crate) async fn run(mut self, mut orders: UnboundedReceiver<Order>) -> InForce {
        while let Some(order) = orders.recv().await {
            match order {
                Order::Change => self.change().await,
                Order::Revoke => self.revoke().await,
                Order::Withdraw(name) => self.depart(&format!("/stop?endpoint={name}")).await,
                Order::Return(name) => self.depart(&format!("/stop?endpoint-back={name}")).await,
            }
        }
        self.in_force
    }

    async fn revoke(&mut self) {
        self.keys += 1;
        let old = std::mem::replace(&mut self.in_force.guest, format!("guest-{}", self.keys));
        if self.apply().await {
            self.world.ledger.revoke(old);
        }
    }

    /// Applies a configuration with a marker of its own.
    pub(crate) async fn change(&mut self) {
        self.apply().await;
    }

    async fn apply(&mut self) -> bool {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            self.in_force.marker += 1;
            self.ids += 1;
            let Some(base) = self.base().await else {
                continue;
            };
            if let Some(version) = self.submit(base, began).await {
                if version <= base {
                    let text = format!("a change on {base} was accepted as {version}");
                    self.world.ledger.wrong(text);
                }
                self.in_force.version = version;
                self.world.ledger.count("change accepted");
                return true;
            }
            tokio::time::sleep(PAUSE).await;
        }
        self.world.ledger.wrong("a change was never accepted");
        false
    }

    /// Sends one change until its outcome is known; gives its version, if it was
    /// accepted.
    async fn submit(&mut self, base: u64, began: Instant) -> Option<u64> {
        let path = format!("/config?id={:x}&base={base}", self.ids);
        let text = self.text();
        while began.elapsed() < PATIENCE {
            let answer = self.send("POST", &path, &text).await;
            let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            match answer.status {
                200 if answer.whole => return body["version"].as_u64(),
                409 => return None,
                0 | 200 | 503 => {}
                status => {
                    let text = format!("a change got {status}: {}", answer.text());
                    self.world.ledger.wrong(text);
                    return None;
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        None
    }

    async fn base(&mut self) -> Option<u64> {
        let answer = self.send("GET", "/config", "").await;
        let version = answer.header("cowslipford-version").parse().ok();
        if version.is_none() {
            tokio::time::sleep(PAUSE).await;
        }
        version.filter(|_| answer.status == 200)
    }

    async fn depart(&mut self, path: &str) {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            let answer = self.send("POST", path, "").await;
            match answer.status {
                200 => return,
                0 | 409 | 503 => tokio::time::sleep(PAUSE).await,
                status => {
                    let text = format!("{path} got {status}: {}", answer.text());
                    self.world.ledger.wrong(text);
                    return;
                }
            }
        }
        self.world
            .ledger
            .wrong(format!("{path} was never accepted"));
    }

    /// Sends to one VM after the other.
    async fn send(&mut self, method: &str, path: &str, body: &str) -> Answer {
        self.turn += 1;
        let mut client = Client::new(self.vms[self.turn % self.vms.len()]);
        let http = request(method, path, OPERATOR, &[], body);
        client.call(http, ANSWER).await
    }

    fn text(&self) -> String {
        let key = Hash::of(&[self.in_force.guest.as_bytes()]).hex();
        let marker = format!("reason = marker {}", self.in_force.marker);
        let text = self.text.replace("reason = not today", &marker);
        format!("[customer guest]\nkey-sha256 = {key}\nservices = booking\n{text}")
    }
}
