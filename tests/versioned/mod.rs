//! A fleet whose endpoints have software versions, which the platform lists.
#![allow(dead_code, reason = "each test file uses a part of the module")]
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use crate::harness::http::{self, Answer};
use crate::harness::{eventually, Fleet, Plan, Vm};
use state::secret::Hash;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

/// Number of events of each stream.
pub(crate) const TOKENS: u32 = 12;

/// The platform's list of endpoints.
pub(crate) struct List {
    server: Arc<tiny_http::Server>,
    /// The page; `None` answers with an error.
    page: Arc<Mutex<Option<String>>>,
    thread: Option<JoinHandle<()>>,
}

impl List {
    fn start() -> std::io::Result<Self> {
        let server = tiny_http::Server::http("127.0.0.1:0").map_err(std::io::Error::other)?;
        let server = Arc::new(server);
        let page = Arc::new(Mutex::new(None));
        let (listener, body) = (server.clone(), page.clone());
        let thread = std::thread::spawn(move || {
            while let Ok(request) = listener.recv() {
                let body: Option<String> = body.lock().map(|page| page.clone()).unwrap_or_default();
                let status = if body.is_some() { 200 } else { 500 };
                let response = tiny_http::Response::from_string(body.unwrap_or_default());
                let _ = request.respond(response.with_status_code(status));
            }
        });
        Ok(List {
            server,
            page,
            thread: Some(thread),
        })
    }

    /// Lists endpoints of the service, each with its name, address and version.
    fn set(&self, endpoints: &[(String, SocketAddr, String)]) {
        let row = |(name, address, version): &(String, SocketAddr, String)| {
            serde_json::json!({
                "name": name, "service": "assistant", "address": address,
                "data-centre": "dc-1", "slots": 16, "version": version,
            })
        };
        let rows: Vec<_> = endpoints.iter().map(row).collect();
        if let Ok(mut page) = self.page.lock() {
            *page = Some(serde_json::json!({"endpoints": rows, "next": null}).to_string());
        }
    }

    /// Answers with an error from now on.
    fn fail(&self) {
        if let Ok(mut page) = self.page.lock() {
            *page = None;
        }
    }
}

impl Drop for List {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already failed the test.
            let _ = thread.join();
        }
    }
}

/// What a service starts with.
pub(crate) struct Setup<'a> {
    /// Number of control VMs.
    pub(crate) control: usize,
    /// Number of routers.
    pub(crate) routers: usize,
    /// Software version of each stand-in.
    pub(crate) versions: &'a [&'a str],
    /// Versions that are listed.
    pub(crate) listed: &'a [&'a str],
    /// Additional settings in the section of the service.
    pub(crate) service_keys: &'a str,
}

/// A fleet with stand-ins of these versions, which the platform lists.
pub(crate) struct Service {
    pub(crate) fleet: Fleet,
    list: List,
    versions: Vec<String>,
}

impl Service {
    pub(crate) fn start(routers: usize, versions: &[&str]) -> Self {
        Service::start_with(&Setup {
            control: 3,
            routers,
            versions,
            listed: versions,
            service_keys: "",
        })
    }

    pub(crate) fn start_with(setup: &Setup<'_>) -> Self {
        let Setup {
            control,
            routers,
            versions,
            listed,
            service_keys,
        } = *setup;
        let list = List::start().unwrap();
        let address = list.server.server_addr();
        let mut fleet = Fleet::start_unconfigured(Plan {
            control,
            routers,
            models: 0,
            plain_services: 0,
            batch: 16,
            settings: format!(
                "[listing]\naddress = {address}\nevery = 100ms\n\
                 [router]\nresume = yes\nretry-extra = 300\n"
            ),
            ..Plan::default()
        });
        for (n, version) in versions.iter().enumerate() {
            let name = format!("assistant-{n}");
            fleet.add_stand_in_with(&name, false, &["--software", version]);
        }
        let service = Service {
            fleet,
            list,
            versions: versions.iter().map(|v| (*v).to_owned()).collect(),
        };
        service.list_versions(|version| listed.contains(&version));
        let key = Hash::of(&[b"alpha"]).hex();
        let text = format!(
            "[customer alpha]\nkey-sha256 = {key}\nservices = assistant\n\
             [service assistant]\ncost = event\nidempotent = yes\n{service_keys}\n\
             [rule assistant]\nthen = send\nservice = assistant\nresume = yes\n"
        );
        let (status, _, error) = service.fleet.apply(&text, &[]);
        assert!(status.success(), "{error}");
        service.fleet.wait_version(service.fleet.version());
        for n in 1..=routers {
            let router = service.fleet.callers(&format!("r{n}"));
            eventually("a router serves requests", || {
                http::get(router, "/", "alpha").status == 200
            });
        }
        service
    }

    /// Lists the endpoints whose versions `is_listed` accepts.
    pub(crate) fn list_versions<F>(&self, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        let all = self.fleet.stand_ins.iter().zip(&self.versions);
        let listed = all.filter(|(_, version)| is_listed(version));
        let listed = listed.map(|(s, version)| (s.name.clone(), s.address, version.clone()));
        self.list.set(&listed.collect::<Vec<_>>());
    }

    /// Makes the list unreadable.
    pub(crate) fn fail_list(&self) {
        self.list.fail();
    }

    /// Kills all processes of the fleet, but not the stand-ins.
    pub(crate) fn kill_all(&mut self) {
        self.fleet.vms.iter_mut().for_each(Vm::kill);
    }

    /// Starts all processes of the fleet, without waiting until they serve.
    pub(crate) fn start_all(&mut self) {
        self.fleet.vms.iter_mut().for_each(Vm::start);
    }

    /// Begins a stream at a router.
    pub(crate) fn begin(
        &self,
        router: &str,
        label: &str,
        fault: &str,
        pace: &str,
    ) -> JoinHandle<Answer> {
        let tokens = TOKENS.to_string();
        let (address, label) = (self.fleet.callers(router), label.to_owned());
        let (fault, pace) = (fault.to_owned(), pace.to_owned());
        std::thread::spawn(move || {
            let headers = [
                ("stand-in-ids", "yes"),
                ("stand-in-tokens", &*tokens),
                ("stand-in-pace", &*pace),
                ("stand-in-fault", &*fault),
            ];
            http::send(address, "POST", "/", "alpha", &headers, &label)
        })
    }

    /// Takes a stream up again at a router, after the events that its caller has.
    pub(crate) fn take_up(&self, router: &str, label: &str, id: &str, last: usize) -> Answer {
        self.take_up_as(router, label, Some(id), last)
    }

    /// Takes a stream up again, with or without the ID of the request that began it.
    pub(crate) fn take_up_as(
        &self,
        router: &str,
        label: &str,
        id: Option<&str>,
        last: usize,
    ) -> Answer {
        let last = last.to_string();
        let tokens = TOKENS.to_string();
        let mut headers = vec![
            ("stand-in-ids", "yes"),
            ("stand-in-tokens", &*tokens),
            ("last-event-id", &*last),
        ];
        headers.extend(id.map(|id| ("cowslipford-resumes", id)));
        self.fleet.call(router, "alpha", "/", &headers, label)
    }
}

/// Version of each whole event of an answer, and the number of its last event.
pub(crate) fn events(answer: &Answer) -> (Vec<String>, Option<usize>) {
    let text = answer.text();
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let data = whole.lines().filter_map(|line| line.strip_prefix("data: "));
    let events: Vec<serde_json::Value> = data
        .filter_map(|data| serde_json::from_str(data).ok())
        .collect();
    let version = |event: &serde_json::Value| event["software"].as_str().map(str::to_owned);
    let last = events.last().and_then(|event| event["token"].as_u64());
    (
        events.iter().filter_map(version).collect(),
        last.and_then(|last| usize::try_from(last).ok()),
    )
}
