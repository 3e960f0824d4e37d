//! The decision on a packet that opens a flow.

use super::{
    super::{
        admission::Verdict,
        exchange::Exchange,
        flow_table::FlowEntry,
        link_budget::FlowBytes,
        record::{Announcement, ServerState, server_cookie},
        server_view::{View, services},
        slot_use::SlotUse,
        verdict::{
            DropReason, Endpoints, FlowVerdict, PacketInfo, ResetReason, Resource, flow_hash,
        },
    },
    Forwarder, RETRY_AGE, STARTUP_GRACE,
};
use crate::{name::Name, time::Time};

impl Forwarder {
    pub(super) fn decide_opening(&mut self, now: Time, packet: &PacketInfo) -> FlowVerdict {
        self.apply_outcomes(now);
        self.update_pool(now);
        let endpoints = (packet.caller, packet.route);
        let Some(route) = self.routes.get(&packet.route) else {
            return FlowVerdict::Reset(ResetReason::NoRoute);
        };
        let (priority, service) = (route.priority, services(route, packet.flow_hash()).next());
        let Some(service) = service.cloned() else {
            return FlowVerdict::Reset(ResetReason::NoServer);
        };
        let known = self.flows.get(&endpoints, packet.sequence);
        let is_new = known.is_none() && packet.retransmits == 0;
        let first = known.filter(|_| packet.retransmits > 0);
        if let Some(verdict) =
            first.and_then(|entry| self.decide_repeated(now, endpoints, entry, packet))
        {
            return verdict;
        }
        if known.is_none() {
            match self.admission.decide(now, packet, priority, &service) {
                Verdict::Admit => {}
                Verdict::Refuse(resource) => {
                    return FlowVerdict::Reset(ResetReason::Overload(resource));
                }
                Verdict::Ignore => return FlowVerdict::Drop(DropReason::Overload),
            }
        }
        let avoid = first.map(|entry| entry.cookie);
        let Some(id) = self.select_server(now, &endpoints, avoid) else {
            return self.decide_unserved(now, &endpoints);
        };
        let with_room =
            if is_new { self.find_room(now, &endpoints, priority, id) } else { Some(id) };
        let Some(id) = with_room else {
            self.admission.record_refused(now, packet, &service);
            return FlowVerdict::Reset(ResetReason::Overload(Resource::Service));
        };
        let cookie = server_cookie(id);
        if is_new {
            self.admission.record_admitted(now, packet, priority, &service);
        }
        let mut link = match known {
            Some(entry) => entry.link,
            None if self.flows.has_room() => self.admission.link.reserve(now, &packet.route),
            None => FlowBytes::default(),
        };
        self.admission.link.attribute(&mut link, packet.link_len);
        let entry = FlowEntry {
            cookie,
            established: false,
            closed: false,
            sequence: packet.sequence,
            acknowledged: 0,
            last_seen: now,
            link,
            exchange: Exchange::opened(now, packet),
        };
        self.flows.insert(endpoints, entry, &mut self.load);
        self.health.opening_sent(now, endpoints, id);
        self.forward(cookie).unwrap_or(FlowVerdict::Reset(ResetReason::NoServer))
    }

    /// Sends a repeated opening to the server of the first one, or returns `None` if that server
    /// is gone or has had the time to answer.
    ///
    /// If two servers answer, the flow opens at the one whose answer the caller accepts; its entry
    /// keeps it there.
    fn decide_repeated(
        &mut self,
        now: Time,
        endpoints: Endpoints,
        mut entry: FlowEntry,
        packet: &PacketInfo,
    ) -> Option<FlowVerdict> {
        let record = self.directory.by_cookie(entry.cookie)?;
        let id = record.announcement.id;
        if record.state == ServerState::Gone {
            return None;
        }
        let unanswered =
            now.since(entry.last_seen) >= RETRY_AGE || self.health.is_unanswered(now, id);
        if !entry.established && unanswered {
            return None;
        }
        self.admission.link.attribute(&mut entry.link, packet.link_len);
        let exchange = match entry.established {
            true => entry.exchange,
            false => entry.exchange.repeated(),
        };
        let entry = FlowEntry { last_seen: now, exchange, ..entry };
        self.flows.insert(endpoints, entry, &mut self.load);
        self.forward(entry.cookie)
    }

    /// Decides on the opening of a flow for which no server is eligible.
    ///
    /// The flow is reset, so that its caller can go on at once. The packet is only dropped while
    /// this VM has just started and knows no server of the route: it learns of them before the
    /// caller repeats the opening.
    fn decide_unserved(&self, now: Time, endpoints: &Endpoints) -> FlowVerdict {
        let shares = self.routes.get(&endpoints.1).into_iter().flat_map(|route| &route.shares);
        let mut services = shares.map(|share| &share.service);
        let known =
            services.any(|service| self.directory.service_servers(now, service).next().is_some());
        match !known && now.since(self.started) < STARTUP_GRACE {
            true => FlowVerdict::Drop(DropReason::Early),
            false => FlowVerdict::Reset(ResetReason::NoServer),
        }
    }

    /// Selects the server of a new flow, preferring servers with another cookie than `avoid`.
    pub(super) fn select_server(
        &mut self,
        now: Time,
        endpoints: &Endpoints,
        avoid: Option<u32>,
    ) -> Option<u64> {
        let Forwarder { routes, pool, directory, health, flows, load, plan, .. } = self;
        let hash = flow_hash(endpoints);
        let silent = false;
        let view =
            View { now, endpoints, hash, avoid, silent, directory, health, flows, load, plan };
        // The services are selected by the lower bits.
        let point = (hash >> 32) as u32;
        let services = services(routes.get(&endpoints.1)?, hash);
        let available = services.clone().find_map(|service| {
            pool.tick(now, service, &view);
            pool.select(now, service, point, false, &view)
        });
        available.or_else(|| {
            let view = View { silent: true, ..view };
            services.clone().find_map(|service| {
                let only_silent = pool.has_only_silent(service);
                only_silent.then(|| pool.select(now, service, point, true, &view)).flatten()
            })
        })
    }

    /// Returns a server with room for a new flow: `id`, or one of another zone if the servers in
    /// that one's zone are short of capacity.
    ///
    /// Openings of the highest priority find room by results; others also need room by the requests
    /// in progress, so that these leave the queues to the highest.
    fn find_room(
        &mut self,
        now: Time,
        endpoints: &Endpoints,
        priority: u8,
        id: u64,
    ) -> Option<u64> {
        let Forwarder { pool, room, directory, health, flows, load, load_view, plan, .. } = self;
        let hash = flow_hash(endpoints);
        let Announcement { service, zone, .. } =
            &directory.by_cookie(server_cookie(id))?.announcement;
        let (avoid, silent) = (None, false);
        let view =
            View { now, endpoints, hash, avoid, silent, directory, health, flows, load, plan };
        let place = (service, zone);
        let yields = room.yields(now, place, priority);
        let slot_use = || pool.slot_use(now, service, zone, &view);
        let admitted = room.admits(now, place, priority, hash);
        if admitted && (!yields || slot_use().is_none_or(SlotUse::has_room)) {
            return Some(id);
        }
        let point = (hash >> 32) as u32;
        // The load summary of this zone's VMs leaves out the requests of other zones' VMs, which
        // only totals have; these are up to 2 s old.
        let is_full = |zone: &Name| {
            let total = load_view.zone_room(now, service, zone);
            total.is_some_and(|(requests, slots)| SlotUse::new(requests, slots).is_full())
        };
        let has_room = |zone: &Name, slots: SlotUse| {
            !room.is_short((service, zone)) && (!yields || slots.has_room() && !is_full(zone))
        };
        let other = pool.select_elsewhere(now, service, point, &view, has_room)?;
        let zone = &directory.by_cookie(server_cookie(other))?.announcement.zone;
        room.admits(now, (service, zone), priority, hash).then_some(other)
    }
}
