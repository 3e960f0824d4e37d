//! What an entry VM knows of backend servers when it selects one for a new flow.

use super::{
    directory::{Eligibility, ServerDirectory},
    feed::ForwardingPlan,
    flow_table::FlowTable,
    passive_health::PassiveHealth,
    record::server_cookie,
    server_load::ServerLoad,
    server_pool::{OwnLoad, ServerView},
    verdict::Endpoints,
};
use crate::{name::Name, routing_config::Route, time::Time};

/// Iterates over the services that an opening with the hash `hash` may go to: the one that it selects
/// by weight, and then the route's others in case that it has no eligible server.
pub(super) fn services(route: &Route, hash: u64) -> impl Iterator<Item = &Name> + Clone {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut point = hash % total.max(1);
    let selected = route.shares.iter().find(|share| {
        let weight = u64::from(share.weight);
        let selects = point < weight;
        point = point.saturating_sub(weight);
        selects
    });
    let rest = route.shares.iter().filter(|share| share.weight > 0);
    selected.into_iter().chain(rest).map(|share| &share.service)
}

/// What the forwarder knows of servers for the selection of a flow's server.
pub(super) struct View<'a> {
    pub(super) now: Time,
    pub(super) endpoints: &'a Endpoints,
    /// Hash of the flow.
    pub(super) hash: u64,
    /// Cookie of the server that an earlier opening of the flow was sent to.
    pub(super) avoid: Option<u32>,
    /// Whether silent servers are selected; suspect ones are not among them.
    pub(super) silent: bool,
    pub(super) directory: &'a ServerDirectory,
    pub(super) health: &'a PassiveHealth,
    pub(super) flows: &'a FlowTable,
    pub(super) load: &'a ServerLoad,
    pub(super) plan: &'a ForwardingPlan,
}

impl ServerView for View<'_> {
    fn load(&self, cookie: u32) -> OwnLoad {
        OwnLoad { requests: self.load.in_progress(cookie), flows: self.flows.open_flows(cookie) }
    }

    fn accepts(&self, id: u64) -> bool {
        let wanted = if self.silent { Eligibility::Silent } else { Eligibility::Available };
        let eligibility = self.directory.assess(self.now, id).map(|(_, eligibility)| eligibility);
        eligibility == Some(wanted) && !(self.silent && self.health.is_unanswered(self.now, id))
    }

    fn is_last_resort(&self, id: u64) -> bool {
        self.avoid == Some(server_cookie(id))
            || self.health.avoids(self.now, id, self.hash)
            || self.health.has_pending(*self.endpoints.0.ip(), id)
    }

    fn is_zone_in(&self, zone: &Name) -> bool {
        !self.plan.zones_out.contains(zone)
    }
}
