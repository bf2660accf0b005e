//! Messages of one round of the reactor, batched by receiver.

use coordination::messages::{Grant, Refusal, Report};
use protocol::wire::Message;
use smallvec::SmallVec;
use state::config::Endpoint;
use state::id::{EndpointId, Epoch, Name};
use transport::link::Hub;

/// Messages to be sent at the end of a round.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    reports: Vec<(Name, Epoch, SmallVec<[Report; 2]>)>,
    grants: Vec<(Name, SmallVec<[Grant; 2]>)>,
    refusals: Vec<(Name, SmallVec<[Refusal; 2]>)>,
    endpoint_details: Vec<(Name, Vec<(EndpointId, Endpoint)>)>,
}

impl Batch {
    /// Adds a report for a scheduler.
    pub(crate) fn report(&mut self, vm: &Name, epoch: Epoch, report: Report) {
        let mut all = self.reports.iter_mut();
        match all.find(|(v, e, _)| v == vm && *e == epoch) {
            Some((_, _, reports)) => reports.push(report),
            None => {
                let reports = SmallVec::from_iter([report]);
                self.reports.push((vm.clone(), epoch, reports));
            }
        }
    }

    /// Adds a grant for a router.
    pub(crate) fn grant(&mut self, vm: &Name, grant: Grant) {
        match self.grants.iter_mut().find(|(v, _)| v == vm) {
            Some((_, grants)) => grants.push(grant),
            None => self.grants.push((vm.clone(), SmallVec::from_iter([grant]))),
        }
    }

    /// Adds the address of an endpoint for a router. It is sent before the grants that name the
    /// endpoint.
    pub(crate) fn add_endpoint_details(&mut self, vm: &Name, id: EndpointId, endpoint: &Endpoint) {
        let found = self.endpoint_details.iter_mut().find(|(v, _)| v == vm);
        let Some((_, all)) = found else {
            let all = vec![(id, endpoint.clone())];
            self.endpoint_details.push((vm.clone(), all));
            return;
        };
        if all.iter().all(|(other, _)| *other != id) {
            all.push((id, endpoint.clone()));
        }
    }

    /// Adds a refusal for a router.
    pub(crate) fn refuse(&mut self, vm: &Name, refusal: Refusal) {
        match self.refusals.iter_mut().find(|(v, _)| v == vm) {
            Some((_, refusals)) => refusals.push(refusal),
            None => {
                let refusals = SmallVec::from_iter([refusal]);
                self.refusals.push((vm.clone(), refusals));
            }
        }
    }

    /// Sends all messages. Messages to a VM without a link are lost, like the session with it.
    pub(crate) fn send(&mut self, hub: &Hub) {
        for (vm, epoch, reports) in self.reports.drain(..) {
            hub.send(&vm, Message::Reports(epoch, reports));
        }
        for (vm, all) in self.endpoint_details.drain(..) {
            hub.send(&vm, Message::EndpointDetails(all));
        }
        for (vm, grants) in self.grants.drain(..) {
            hub.send(&vm, Message::Grants(grants));
        }
        for (vm, refusals) in self.refusals.drain(..) {
            hub.send(&vm, Message::Refusals(refusals));
        }
    }
}
