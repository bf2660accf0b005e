//! An operator that changes the configuration while faults go on, one change after
//! the other, each sent until its outcome is known.

use super::callers::{World, PATIENCE, PROBE};
use super::harness::http::{request, Answer, Client};
use super::harness::OPERATOR;
use state::secret::Hash;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;

/// Time between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// What the operator is to do.
#[derive(Clone, Debug)]
pub(crate) enum Order {
    Change,
    Revoke,
    /// Announces that an endpoint stops, or takes that back, by this path.
    Depart(String),
    /// Evacuates a data centre, or ends that, by this method and path.
    Evacuate(&'static str, String),
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
    /// Requests sent so far: numbers changes and keys, and says whose turn it is.
    pub(crate) sent: usize,
}

impl Operator {
    /// Carries out orders until no more can come.
    pub(crate) async fn run(mut self, mut orders: UnboundedReceiver<Order>) -> InForce {
        while let Some(order) = orders.recv().await {
            match order {
                Order::Change => self.change().await,
                Order::Revoke => self.revoke().await,
                Order::Evacuate(method, path) => {
                    self.until_known(method, &path, "").await;
                }
                Order::Depart(path) => {
                    while self.until_known("POST", &path, "").await.status == 409 {}
                }
            }
        }
        self.in_force
    }

    async fn revoke(&mut self) {
        let next = format!("guest-{}", self.sent);
        let old = std::mem::replace(&mut self.in_force.guest, next);
        self.change().await;
        self.world.ledger.revoke(old);
    }

    /// Applies a configuration with a marker of its own, on the version in force.
    pub(crate) async fn change(&mut self) {
        loop {
            let answer = self.until_known("GET", "/config", "").await;
            let base: u64 = answer.header("cowslipford-version").parse().unwrap();
            self.in_force.marker += 1;
            let path = format!("/config?id={:x}&base={base}", self.sent);
            let answer = self.until_known("POST", &path, &self.text()).await;
            if answer.status == 409 {
                continue;
            }
            let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
            self.in_force.version = body["version"].as_u64().unwrap();
            if self.in_force.version <= base {
                let text = format!("a change on {base} was accepted: {body}");
                self.world.ledger.wrong(text);
            }
            self.world.ledger.count("change accepted");
            return;
        }
    }

    /// Sends to one VM after the other, until one says that it was accepted or that
    /// something else was.
    async fn until_known(&mut self, method: &str, path: &str, body: &str) -> Answer {
        let began = Instant::now();
        loop {
            self.sent += 1;
            let mut client = Client::new(self.vms[self.sent % self.vms.len()]);
            let http = request(method, path, OPERATOR, &[], body);
            let answer = client.call(http, PROBE).await;
            if answer.whole && [200, 409].contains(&answer.status) {
                return answer;
            }
            let expected = [0, 200, 409, 503].contains(&answer.status);
            assert!(expected, "{path} got {}: {}", answer.status, answer.text());
            assert!(began.elapsed() < PATIENCE, "{path} was never accepted");
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn text(&self) -> String {
        let key = Hash::of(&[self.in_force.guest.as_bytes()]).hex();
        let marker = format!("reason = marker {}", self.in_force.marker);
        let text = self.text.replace("reason = not today", &marker);
        format!("[customer guest]\nkey-sha256 = {key}\nservices = booking\n{text}")
    }
}
