//! Requests that arrive at a router, and grants for them.
#![allow(dead_code, reason = "each test file uses a part of it")]

use coordination::dispatcher::{Arrival, Bounds, Dispatcher, Location};
use coordination::messages::{Class, Forecast, Grant, Seq};
use coordination::prompt::Prompt;
use coordination::regions::Regions;
use state::clock::Millis;
use state::id::{CustomerId, EndpointId, Epoch, Name, ServiceId};

/// A request of customer 1 with a latency target of one minute.
pub(crate) fn arrival(service: ServiceId) -> Arrival {
    Arrival {
        service,
        class: Class {
            customer: CustomerId(1),
            rule: 0,
        },
        weight: 1,
        priority: 0,
        rate: 0,
        concurrency: 0,
        queue: 1000,
        hint: 10,
        prompt: Prompt::default(),
        bytes: 10,
        regions: Regions::default(),
        aim: Millis(60_000),
        deadline: Millis(60_000),
    }
}

/// A grant for an ask.
pub(crate) fn grant(epoch: Epoch, seq: Seq, endpoint: EndpointId) -> Grant {
    Grant {
        epoch,
        seq,
        endpoint,
        copy_from: None,
        forecast: Forecast::default(),
        level: 0,
        floor: 0,
        routers: 1,
        running: 1,
        busy: 0,
    }
}

/// A dispatcher with bounds that no test reaches.
pub(crate) fn dispatcher(region: Name, data_centre: Name, incarnation: u64) -> Dispatcher {
    let home = Location {
        region,
        data_centre,
        incarnation,
    };
    let bounds = Bounds {
        requests: 10_000,
        bytes: 1 << 30,
    };
    Dispatcher::new(home, bounds)
}
