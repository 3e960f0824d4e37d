//! The decision on each packet of a flow, independent of sockets and clocks.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use super::{
    admission::{Admission, ShortageChange},
    directory::ServerDirectory,
    explain::ServerAssessment,
    feed::{FeedMessage, ForwardingPlan},
    flow_table::{FlowEntry, FlowTable},
    link_budget::{FlowBytes, LinkBudget},
    load_reporter::ReportedLoad,
    load_view::LoadView,
    passive_health::PassiveHealth,
    record::{ServerState, server_cookie},
    server_load::ServerLoad,
    server_pool::ServerPool,
    server_view::services,
    service_room::{ServiceRoom, ShortChange},
    verdict::{DropReason, FlowReset, FlowVerdict, PacketInfo, ResetReason, Resource},
};
use crate::{member::hash, name::Name, routing_config::Route, time::Time};

mod opening;
mod outcomes;

/// Lower bound on the idle time of tracked flows: callers repeat an opening for less.
const MIN_IDLE: Duration = Duration::from_secs(2);
/// Time within which a VM that has started learns of the backend servers: a few announcement
/// periods.
const STARTUP_GRACE: Duration = Duration::from_secs(5);
/// Age from which on a repeated opening shows that the first went unanswered. Callers repeat after
/// 200 ms; copies that queued up at this VM arrive together and say nothing about the server.
const RETRY_AGE: Duration = Duration::from_millis(150);
/// Time between two removals of expired state.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// The packet path of an entry VM that forwards by flow cookies.
pub struct Forwarder {
    zone: Name,
    plan: Arc<ForwardingPlan>,
    routes: BTreeMap<SocketAddrV4, Route>,
    directory: ServerDirectory,
    health: PassiveHealth,
    flows: FlowTable,
    admission: Admission,
    pool: ServerPool,
    load: ServerLoad,
    room: ServiceRoom,
    load_view: LoadView,
    resets: Vec<FlowReset>,
    /// Time between two announcements of a server.
    period: Duration,
    started: Time,
    /// Whether a control VM has sent all of its server records.
    all_sent: bool,
    /// Whether a control VM has sent its server records of this availability zone.
    zone_sent: bool,
    /// Whether a control VM has said that no newer plan is in force.
    plan_confirmed: bool,
    last_sweep: Time,
}

impl Forwarder {
    /// Creates the forwarder of a VM in `zone` that starts at `now`; the backend servers announce
    /// themselves once per `period`.
    pub fn new(now: Time, zone: Name, period: Duration) -> Forwarder {
        Forwarder {
            pool: ServerPool::new(zone.clone(), 0),
            zone,
            plan: Arc::default(),
            routes: BTreeMap::new(),
            directory: ServerDirectory::new(period),
            health: PassiveHealth::new(),
            flows: FlowTable::default(),
            admission: Admission::new(now, None),
            load: ServerLoad::default(),
            room: ServiceRoom::default(),
            load_view: LoadView::new(),
            resets: Vec::new(),
            period,
            started: now,
            all_sent: false,
            zone_sent: false,
            plan_confirmed: false,
            last_sweep: now,
        }
    }

    /// Sets the rate of the VM's link in each direction, in bytes per second, if it is known.
    pub fn with_link_rate(mut self, rate: Option<u64>) -> Forwarder {
        self.admission = Admission::new(self.started, rate);
        self.admission.set_routes(&self.routes);
        self
    }

    /// Gives the VM an order of servers of its own; it has received no records yet.
    #[must_use]
    pub fn with_name(mut self, name: &Name) -> Forwarder {
        self.pool = ServerPool::new(self.zone.clone(), hash(name.as_bytes()));
        self
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> &ForwardingPlan {
        &self.plan
    }

    /// Returns the known backend servers.
    pub fn directory(&self) -> &ServerDirectory {
        &self.directory
    }

    /// Returns the number of tracked flows.
    pub fn tracked_flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns the budget of the VM's link.
    pub(crate) fn link_budget(&self) -> &LinkBudget {
        &self.admission.link
    }

    /// Returns whether openings are refused because of `resource`.
    pub fn is_short(&self, resource: Resource) -> bool {
        self.admission.is_short(resource)
    }

    /// Takes the starts and ends of shortages since the last call.
    pub fn take_shortage_changes(&mut self, now: Time) -> Vec<ShortageChange> {
        self.admission.take_changes(now)
    }

    /// Returns the share of new flows that leave the own availability zone because it is short, of
    /// the service that sends most.
    pub fn sent_away(&self) -> f64 {
        self.pool.sent_away()
    }

    /// Returns what is known of the load that other VMs bring.
    pub fn load_view(&self) -> &LoadView {
        &self.load_view
    }

    /// Iterates over the servers at which this VM has requests in progress.
    pub fn server_loads(&self) -> impl Iterator<Item = ReportedLoad> {
        self.load.all_in_progress().filter_map(|(cookie, requests)| {
            let slots = self.directory.by_cookie(cookie)?.announcement.slots;
            Some(ReportedLoad { cookie, requests, slots })
        })
    }

    /// Applies a message of the control VM at `source`.
    pub fn handle_feed(&mut self, now: Time, source: SocketAddr, message: FeedMessage) {
        self.apply_message(now, source, message);
        self.update_pool(now);
    }

    fn apply_message(&mut self, now: Time, source: SocketAddr, message: FeedMessage) {
        match message {
            FeedMessage::Heartbeat { confirmed, registry_age, .. } => {
                self.plan_confirmed |= confirmed && self.plan.index > 0;
                self.directory.set_registry_age(source, registry_age);
                self.all_sent |= !self.directory.is_changes_only(source);
            }
            FeedMessage::Plan(plan) => self.apply_plan(now, plan),
            FeedMessage::Servers { all, records } => {
                self.directory.apply_records(now, source, all, records);
                self.reset_superseded();
            }
            FeedMessage::ControlVms(_) => {}
            FeedMessage::ZoneSent => self.zone_sent = true,
            FeedMessage::ChangesOnly => self.directory.set_changes_only(source),
            FeedMessage::Load(summary) => self.apply_summary(now, &summary),
        }
    }

    /// Applies a summary of the requests that other VMs have in progress.
    fn apply_summary(&mut self, now: Time, summary: &[u8]) {
        if !self.load_view.update(now, summary) {
            return;
        }
        let mut reported_at = now;
        let reported = self.directory.cookies().filter_map(|cookie| {
            let (requests, at) = self.load_view.reported(cookie)?;
            reported_at = at;
            (requests > 0).then_some((cookie, requests))
        });
        let requests = reported.collect();
        self.pool.set_summary(reported_at, &requests);
    }

    /// Brings the pool up to date with the directory.
    fn update_pool(&mut self, now: Time) {
        if self.directory.has_changed(now) {
            let changed = self.directory.take_changed(now);
            let directory = &self.directory;
            self.pool.update(changed.into_iter().map(|id| (id, directory.assess(now, id))));
        }
    }

    /// Resets the flows of servers that have ended for certain, as another server has started at
    /// their address.
    ///
    /// An idle caller then opens a new flow for its next request, which it would otherwise send to
    /// nobody. A server that is silent or says that it leaves may still be at work, and keeps its
    /// flows.
    fn reset_superseded(&mut self) {
        let cookies = self.directory.take_superseded();
        if cookies.is_empty() {
            return;
        }
        let flows = self.flows.remove_established(&cookies, &mut self.load);
        self.resets.extend(flows.into_iter().map(|((caller, route), entry)| FlowReset {
            caller,
            route,
            sequence: entry.acknowledged,
        }));
    }

    /// Takes the servers that have become suspect, as openings sent to them went unanswered.
    pub fn take_suspects(&mut self) -> Vec<u64> {
        self.health.take_suspects()
    }

    /// Returns the load of the backend servers, as far as this VM sees it.
    pub fn load(&self) -> &ServerLoad {
        &self.load
    }

    /// Returns the smallest share of openings that a service has room for.
    pub fn min_level(&self, now: Time) -> f32 {
        self.room.min_level(now)
    }

    /// Takes the services that have become short of capacity or are no longer.
    pub fn take_short_changes(&mut self) -> Vec<ShortChange> {
        self.room.take_changes()
    }

    /// Takes the flows that have to be reset.
    pub fn take_resets(&mut self) -> Vec<FlowReset> {
        std::mem::take(&mut self.resets)
    }

    /// Removes a control VM that is unreachable.
    pub fn remove_source(&mut self, source: SocketAddr) {
        self.directory.remove_source(source);
    }

    /// Puts a plan in force if it is newer than the current one.
    fn apply_plan(&mut self, now: Time, plan: Arc<ForwardingPlan>) {
        if plan.index <= self.plan.index {
            return;
        }
        for zone in self.plan.zones_out.difference(&plan.zones_out) {
            // Servers may have become cold while the zone was out; their next announcement says so.
            let warmup = plan.config.services.values().map(|service| service.time).max();
            let until = now + self.period + warmup.unwrap_or_default();
            self.directory.mark_zone_cold(zone, until);
        }
        let socket = |route: &Route| SocketAddrV4::new(route.addr, route.port);
        let routes = plan.config.routes.iter();
        self.routes = routes.map(|route| (socket(route), route.clone())).collect();
        self.admission.set_routes(&self.routes);
        self.plan = plan;
    }

    /// Returns whether this VM has just started and learns what it needs to forward a packet, so
    /// that the packet should wait.
    ///
    /// An opening waits until the records of all servers are there, or of those in this availability
    /// zone if one of them can take it: placed earlier, it and those of all other VMs would go to the
    /// few servers that come first.
    pub fn awaits_feed(&self, now: Time, packet: &PacketInfo) -> bool {
        if now.since(self.started) >= STARTUP_GRACE {
            return false;
        }
        if self.plan.index == 0 || self.directory.is_empty() {
            return true;
        }
        // The control VM may have just started, too, and not know the route yet.
        if !self.plan_confirmed && !self.routes.contains_key(&packet.route) {
            return true;
        }
        match packet.opens {
            true => !(self.all_sent || self.zone_sent && self.has_local(packet)),
            false => self.directory.by_cookie(packet.cookie).is_none(),
        }
    }

    /// Returns whether the service that an opening selects has an eligible server in this VM's
    /// availability zone.
    fn has_local(&self, packet: &PacketInfo) -> bool {
        let Some(route) = self.routes.get(&packet.route) else { return false };
        let mut services = services(route, packet.flow_hash());
        let selected = services.find(|service| self.pool.has_available(service));
        let zone_in = !self.plan.zones_out.contains(&self.zone);
        zone_in && selected.is_some_and(|service| self.pool.has_local(service))
    }

    /// Decides on a packet; `stale` is set if it may have waited while the VM was suspended.
    pub fn decide(&mut self, now: Time, packet: &PacketInfo, stale: bool) -> FlowVerdict {
        if !stale {
            // What waited while the VM was suspended has passed the link then.
            self.admission.link.received(now, packet.link_len);
        }
        if self.plan.index == 0 {
            return FlowVerdict::Drop(DropReason::Early);
        }
        let verdict = match packet.opens {
            true if stale => FlowVerdict::Drop(DropReason::Stale),
            true => self.decide_opening(now, packet),
            false => self.decide_subsequent(now, packet, stale),
        };
        match verdict {
            FlowVerdict::Forward { .. } => self.admission.link.forwarded(packet.link_len),
            FlowVerdict::Reset(_) => self.admission.link.reset_sent(packet.link_len),
            FlowVerdict::Drop(_) => {}
        }
        verdict
    }

    /// Assesses every server of the services that receive flows of the packet's route.
    pub(super) fn assess_servers(&self, now: Time, packet: &PacketInfo) -> Vec<ServerAssessment> {
        let shares = self.routes.get(&packet.route).into_iter().flat_map(|route| &route.shares);
        let shares = shares.filter(|share| share.weight > 0);
        let servers = shares.flat_map(|share| self.directory.service_servers(now, &share.service));
        let assessments = servers.map(|(record, eligibility)| {
            let server = &record.announcement;
            ServerAssessment {
                id: server.id,
                service: server.service.clone(),
                addr: server.addr,
                zone: server.zone.clone(),
                eligibility,
                zone_out: self.plan.zones_out.contains(&server.zone),
                suspect: self.health.is_suspect(now, server.id),
                open_flows: self.flows.open_flows(server_cookie(server.id)),
            }
        });
        assessments.collect()
    }

    fn decide_subsequent(&mut self, now: Time, packet: &PacketInfo, stale: bool) -> FlowVerdict {
        let endpoints = (packet.caller, packet.route);
        if !self.routes.contains_key(&packet.route) {
            return FlowVerdict::Reset(ResetReason::NoRoute);
        }
        let entry = self.flows.get(&endpoints, packet.sequence);
        // The cookie of a flow that is established here cannot change.
        let pinned = entry.filter(|entry| entry.established && !entry.closed);
        let pinned = pinned.map(|entry| entry.cookie);
        let echoed = Some(packet.cookie).filter(|cookie| *cookie != 0);
        let Some(cookie) = pinned.or(echoed).or(entry.map(|entry| entry.cookie)) else {
            return FlowVerdict::Drop(DropReason::NoCookie);
        };
        let Some(record) = self.directory.by_cookie(cookie) else {
            return FlowVerdict::Drop(DropReason::Unknown);
        };
        if record.state == ServerState::Gone {
            return FlowVerdict::Reset(ResetReason::ServerGone);
        }
        if entry.is_none() && self.flows.is_opening(&endpoints) {
            // A late packet of an earlier flow of this port.
            return self.forward(cookie).unwrap_or(FlowVerdict::Drop(DropReason::Unknown));
        }
        let id = record.announcement.id;
        self.note_progress(now, packet, entry, id);
        let exchange = self.note_exchange(now, packet, entry, cookie);
        let closed =
            packet.closes || entry.is_some_and(|entry| entry.closed && entry.cookie == cookie);
        let mut link = entry.map_or_else(FlowBytes::default, |entry| entry.link);
        if !stale && entry.is_some_and(|entry| !entry.established) {
            self.admission.link.opening_answered(now, &link);
        }
        self.admission.link.attribute(&mut link, packet.link_len);
        self.admission.link.settle(now, &mut link, &packet.route, closed);
        let sequence = packet.sequence;
        // A packet that arrives late must not make a later one look like progress.
        let established = entry.filter(|entry| entry.established);
        let acknowledged = match established {
            Some(entry) if !packet.acknowledges_after(entry.acknowledged) => entry.acknowledged,
            _ => packet.acknowledged,
        };
        let entry = FlowEntry {
            cookie,
            established: true,
            closed,
            sequence,
            acknowledged,
            last_seen: now,
            link,
            exchange,
        };
        self.flows.insert(endpoints, entry, &mut self.load);
        self.forward(cookie).unwrap_or(FlowVerdict::Drop(DropReason::Unknown))
    }

    fn forward(&self, cookie: u32) -> Option<FlowVerdict> {
        let server = &self.directory.by_cookie(cookie)?.announcement;
        Some(FlowVerdict::Forward { to: server.addr, id: server.id, cookie })
    }

    /// Removes expired state, at most once per second.
    pub fn tick(&mut self, now: Time) {
        self.load_view.tick(now);
        if now.since(self.last_sweep) < SWEEP_PERIOD {
            return;
        }
        self.last_sweep = now;
        let limit = |route: &SocketAddrV4| {
            self.routes.get(route).map_or(Duration::ZERO, |route| route.timeout)
        };
        self.flows.expire(now, self.plan.config.idle.max(MIN_IDLE), limit, &mut self.load);
        self.apply_outcomes(now);
        self.health.sweep(now, &self.directory);
        self.load.sweep(now);
        self.directory.tick(now);
    }
}
