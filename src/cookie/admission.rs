//! Which openings an entry VM admits while a resource is short.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use super::{
    fair_share::FairShare,
    link_budget::LinkBudget,
    refused_flows::RefusedFlows,
    reset_delivery::ResetDelivery,
    verdict::{PacketInfo, Resource},
};
use crate::{name::Name, routing_config::Route, time::Time};

/// Time since the last refusal for want of a resource in which callers above their fair share are refused:
/// without it, the largest callers take what becomes free between two refusals.
const SHARE_HOLD: Duration = Duration::from_millis(500);
/// Time without a refusal after which a resource is no longer short.
const SHORT_END: Duration = Duration::from_secs(1);

/// What to do with an opening.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Forward it.
    Admit,
    /// Reset the flow: no copy of the opening has reached a server.
    Refuse(Resource),
    /// Leave it unanswered, as a copy may have reached a server.
    Ignore,
}

/// The start or the end of a shortage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShortageChange {
    /// What is short.
    pub resource: Resource,
    /// Whether the shortage starts.
    pub starts: bool,
    /// Openings refused while the resource was short; 0 at the start.
    pub refused: u64,
}

/// A resource of which there is too little.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    last_refusal: Time,
    refused: u64,
}

/// The fair shares of a service's callers.
#[derive(Debug, Clone, Default)]
struct ServiceShare {
    share: FairShare,
    /// When an opening was last refused because the service is short.
    last_refusal: Option<Time>,
}

/// Admission control for openings.
#[derive(Debug, Clone, Default)]
pub(crate) struct Admission {
    /// The budget of the VM's own link.
    pub(crate) link: LinkBudget,
    refused: RefusedFlows,
    delivery: ResetDelivery,
    /// Shares and shortages by service: a shortage of one says nothing about another.
    services: BTreeMap<Name, ServiceShare>,
    /// When an opening was last refused for want of room on the link.
    link_refusal: Option<Time>,
    shortages: BTreeMap<Resource, Shortage>,
    changes: Vec<ShortageChange>,
}

impl Admission {
    /// Creates the admission control of a VM whose link carries `link_rate` bytes per second.
    pub(crate) fn new(now: Time, link_rate: Option<u64>) -> Admission {
        Admission { link: LinkBudget::new(now, link_rate), ..Admission::default() }
    }

    /// Sets the routes.
    pub(crate) fn set_routes(&mut self, routes: &BTreeMap<SocketAddrV4, Route>) {
        self.link.set_routes(routes);
    }

    /// Decides on an opening of a flow for which this VM has no entry.
    ///
    /// A copy is refused only if this VM has refused the opening: otherwise an earlier copy may have
    /// reached a server through another VM.
    pub(crate) fn decide(
        &mut self,
        now: Time,
        opening: &PacketInfo,
        priority: u8,
        service: &Name,
    ) -> Verdict {
        if opening.retransmits > 0 {
            return match self.refused.get(now, opening) {
                Some(resource) => {
                    self.delivery.record_copy(now);
                    self.refuse(now, opening, resource)
                }
                None if self.link.is_left(now) => Verdict::Admit,
                None => Verdict::Ignore,
            };
        }
        self.delivery.record_opening(now);
        let caller = *opening.caller.ip();
        self.service(service).share.observe(now, priority, caller);
        if !self.link.has_room(now, &opening.route) {
            self.link_refusal = Some(now);
            return self.refuse(now, opening, Resource::Link);
        }
        let link_refusal = self.link_refusal;
        let service = self.service(service);
        let is_recent = |refusal: Time| now.since(refusal) < SHARE_HOLD;
        let is_short = [link_refusal, service.last_refusal].into_iter().flatten().any(is_recent);
        if is_short && service.share.exceeds(now, priority, caller) {
            return self.refuse(now, opening, Resource::Share);
        }
        Verdict::Admit
    }

    /// Returns the shares of a service's callers.
    fn service(&mut self, service: &Name) -> &mut ServiceShare {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceShare::default());
        }
        self.services.get_mut(service).expect("the service was just inserted")
    }

    /// Records that an opening was admitted.
    pub(crate) fn record_admitted(
        &mut self,
        now: Time,
        opening: &PacketInfo,
        priority: u8,
        service: &Name,
    ) {
        self.service(service).share.record(now, priority, *opening.caller.ip());
    }

    /// Records an opening that was refused because its service is short, so that its copies are
    /// refused.
    pub(crate) fn record_refused(&mut self, now: Time, opening: &PacketInfo, service: &Name) {
        self.service(service).last_refusal = Some(now);
        self.refused.insert(now, opening, Resource::Service);
    }

    /// Refuses an opening, or leaves it unanswered if the reset would reach its caller late.
    fn refuse(&mut self, now: Time, opening: &PacketInfo, resource: Resource) -> Verdict {
        let changes = &mut self.changes;
        let shortage = self.shortages.entry(resource).or_insert_with(|| {
            changes.push(ShortageChange { resource, starts: true, refused: 0 });
            Shortage { last_refusal: now, refused: 0 }
        });
        shortage.last_refusal = now;
        shortage.refused += 1;
        if self.delivery.is_late(now) || !self.link.sends_at_once(now) {
            return Verdict::Ignore;
        }
        self.refused.insert(now, opening, resource);
        Verdict::Refuse(resource)
    }

    /// Returns whether a resource is short.
    pub(crate) fn is_short(&self, resource: Resource) -> bool {
        self.shortages.contains_key(&resource)
    }

    /// Ends the shortages without a recent refusal, and takes the changes since the last call.
    pub(crate) fn take_changes(&mut self, now: Time) -> Vec<ShortageChange> {
        let ended = |shortage: &Shortage| now.since(shortage.last_refusal) >= SHORT_END;
        let ended = self.shortages.extract_if(.., |_, shortage| ended(shortage));
        let changes = ended.map(|(resource, Shortage { refused, .. })| ShortageChange {
            resource,
            starts: false,
            refused,
        });
        self.changes.extend(changes);
        std::mem::take(&mut self.changes)
    }
}
