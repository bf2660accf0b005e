//! A fleet whose endpoints have software versions, which the platform lists.
#![allow(dead_code, reason = "each test file uses a part of the module")]

use crate::harness::http::{self, Answer};
pub(crate) use crate::harness::listing::events;
use crate::harness::listing::List;
use crate::harness::{eventually, Fleet, Plan, Vm};
use state::secret::Hash;
use std::thread::JoinHandle;

/// Number of events of each stream.
pub(crate) const TOKENS: u32 = 12;

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
        let list = List::start();
        let address = list.address();
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
        let all = all.map(|(stand_in, version)| (stand_in, version.as_str()));
        self.list
            .set("assistant", all.filter(|(_, version)| is_listed(version)));
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

    /// Takes a stream up again at a router, with events at this pace.
    pub(crate) fn take_up_at_pace(
        &self,
        router: &str,
        id: &str,
        last: usize,
        pace: &str,
    ) -> JoinHandle<Answer> {
        let (tokens, last) = (TOKENS.to_string(), last.to_string());
        let (address, id, pace) = (self.fleet.callers(router), id.to_owned(), pace.to_owned());
        std::thread::spawn(move || {
            let headers = [
                ("stand-in-ids", "yes"),
                ("stand-in-tokens", &*tokens),
                ("stand-in-pace", &*pace),
                ("cowslipford-resumes", &*id),
                ("last-event-id", &*last),
            ];
            http::send(address, "POST", "/", "alpha", &headers, "again")
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
