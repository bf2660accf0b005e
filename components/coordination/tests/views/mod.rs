//! Builds views of one service for tests.
#![allow(dead_code, reason = "each test file uses a part of it")]
#![expect(clippy::unwrap_used, reason = "a helper that panics fails its test")]

use state::config::{Cost, Endpoint, Engine, Service};
use state::id::{EndpointId, Epoch, Name, ServiceId, Software};
use state::view::{Assignment, Node, Shard, View};

/// Number of the service.
pub(crate) const SERVICE: ServiceId = ServiceId(1);

pub(crate) fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

pub(crate) fn node(vm: &str) -> Node {
    Node {
        vm: name(vm),
        address: "127.0.0.1:7001".parse().unwrap(),
    }
}

/// A view with the service and no endpoints.
pub(crate) fn view(engine: Option<Engine>) -> View {
    let service = Service {
        name: name("assistant"),
        cost: Cost::Token,
        estimate: 100,
        timeout_ms: 10_000,
        idempotent: false,
        load: None,
        connections: None,
        engine,
        cold: None,
    };
    let mut view = View::default();
    view.config.services.insert(SERVICE, service);
    view
}

/// Adds an endpoint of the service to region `main`.
pub(crate) fn add(view: &mut View, id: u32, data_centre: &str, slots: u32) {
    let endpoint = Endpoint {
        name: name(&format!("e-{id}")),
        service: name("assistant"),
        address: "127.0.0.1:9001".parse().unwrap(),
        data_centre: name(data_centre),
        region: name("main"),
        slots,
        prefetch: 0,
        software: Software::UNSTATED,
    };
    view.config.endpoints.insert(EndpointId(id), endpoint);
}

/// Assigns shards to the VMs `s-0`, `s-1` and so on, with epochs from `epoch` on.
pub(crate) fn assign<S>(view: &mut View, shards: S, epoch: u64)
where
    S: IntoIterator<Item = Shard>,
{
    for (n, shard) in (0..).zip(shards) {
        view.assignments.push(Assignment {
            shard,
            node: node(&format!("s-{n}")),
            epoch: Epoch(epoch + n),
        });
    }
}
