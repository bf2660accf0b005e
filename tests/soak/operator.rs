//! An operator that changes the configuration during faults, one change at a time, each
//! resent until its outcome is known.

use super::callers::{Shared, PROBE_TIMEOUT, RECOVERY_TIMEOUT};
use super::harness::http::{request, Answer, Client};
use super::harness::OPERATOR_KEY;
use state::secret::Hash;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;

/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A command to the operator.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Applies a changed configuration.
    Change,
    /// Applies a configuration with another key for customer `guest`.
    Revoke,
    /// Path that announces the departure of an endpoint, or withdraws it.
    EndpointPath(String),
    /// Method and path that evacuate a data centre, or end its evacuation.
    Evacuate(&'static str, String),
}

/// The configuration in force, as far as the operator has changed it.
#[derive(Clone, Debug, Default)]
pub(crate) struct InForce {
    pub(crate) version: u64,
    /// Number of the change, which routers show when they refuse `/forbidden`.
    pub(crate) marker: u64,
    /// Key of customer `guest`.
    pub(crate) revocable_key: String,
}

/// Sends changes to the fleet and resends them until their outcome is known.
pub(crate) struct Operator {
    pub(crate) shared: Arc<Shared>,
    /// Operators' addresses of all VMs.
    pub(crate) vms: Vec<SocketAddr>,
    /// The configuration without the marker and without customer `guest`.
    pub(crate) text: String,
    pub(crate) in_force: InForce,
    /// Requests sent so far: numbers changes and keys, and selects the next VM.
    pub(crate) sent: usize,
}

impl Operator {
    /// Carries out commands until their channel is closed.
    pub(crate) async fn run(mut self, mut commands: UnboundedReceiver<Command>) -> InForce {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Change => self.change().await,
                Command::Revoke => self.revoke().await,
                Command::Evacuate(method, path) => {
                    self.until_known(method, &path, "").await;
                }
                Command::EndpointPath(path) => {
                    while self.until_known("POST", &path, "").await.status == 409 {}
                }
            }
        }
        self.in_force
    }

    /// Replaces the key of customer `guest`, which revokes the old one.
    async fn revoke(&mut self) {
        let next = format!("guest-{}", self.sent);
        let old = std::mem::replace(&mut self.in_force.revocable_key, next);
        self.change().await;
        self.shared.observations.revoke(old);
    }

    /// Applies a configuration with a new marker, based on the version in force.
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
                let text = format!(
                    "a change based on version {base} was accepted without a newer version: {body}"
                );
                self.shared.observations.report_violation(text);
            }
            self.shared.observations.count("change accepted");
            return;
        }
    }

    /// Sends a request to the VMs in turn until one answers 200, or 409 for a conflict with
    /// another change.
    async fn until_known(&mut self, method: &str, path: &str, body: &str) -> Answer {
        let began = Instant::now();
        loop {
            self.sent += 1;
            let mut client = Client::new(self.vms[self.sent % self.vms.len()]);
            let http = request(method, path, OPERATOR_KEY, &[], body);
            let answer = client.call(http, PROBE_TIMEOUT).await;
            if answer.complete && [200, 409].contains(&answer.status) {
                return answer;
            }
            let expected = [0, 200, 409, 503].contains(&answer.status);
            assert!(expected, "{path} got {}: {}", answer.status, answer.text());
            assert!(
                began.elapsed() < RECOVERY_TIMEOUT,
                "{path} was never accepted"
            );
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// The configuration with the present marker and key.
    fn text(&self) -> String {
        let key = Hash::of(&[self.in_force.revocable_key.as_bytes()]).hex();
        let marker = format!("reason = marker {}", self.in_force.marker);
        let text = self.text.replace("reason = not today", &marker);
        format!("[customer guest]\nkey-sha256 = {key}\nservices = booking\n{text}")
    }
}
