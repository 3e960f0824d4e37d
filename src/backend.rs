//! Backend servers: announcements, probes, admission control and the slow start of new servers.
//!
//! Each backend server has one home, an entry VM of its availability zone. Only the home probes the
//! server, counts its slots in use and sets its weight.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    counter::Counter,
    entry::{EntryAction, EntryContext, EntryMessage, REQUESTS, Shared},
    kernel::Service,
    name::Name,
    peer::PeerMessage,
    state::{Announce, Command},
    time::Time,
};

mod admit;
mod choice;
mod evidence;
mod home;
mod message;
mod phase;
mod probe;
mod ramp;
mod roster;
mod slots;
mod standing;

use admit::{AdmissionClient, OutboundMessage};
use home::{HomeAction, IDLE_RETRY, ManagedServer};
use probe::{ProbeResult, Probes};
use roster::{Roster, home_of};

pub(crate) use probe::is_probe;

pub use message::{
    Admission, AdmissionRequest, Completion, FinishedExchange, FreeSlots, HomeMessage,
};
pub use phase::ServerPhase;
pub use probe::Load;
pub use slots::Holder;
pub use standing::Standing;

/// Minimum time between two forwarded announcements or keep-alive batches to a home.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Time between two updates of free slots.
const FREE_SLOTS_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a VM that sent an admission request receives updates of free slots.
const REQUESTER_AGE: Duration = Duration::from_secs(10);
/// Maximum number of VMs that receive updates of free slots.
const MAX_REQUESTERS: usize = 64;
/// Maximum number of announcing servers with another home that one VM tracks.
const MAX_REMOTE_SERVERS: usize = 8_192;

struct RemoteServer {
    boot: u64,
    pending: bool,
    forwarded: Option<Time>,
}

/// Handles announcements, manages the servers whose home is this VM and admits requests.
pub(crate) struct Backends {
    roster: Roster,
    admissions: AdmissionClient,
    probes: Probes,
    remote: BTreeMap<Name, RemoteServer>,
    requesters: BTreeMap<Name, Time>,
    sent_slots: BTreeMap<Name, u32>,
    kept_alive: Time,
    slots_sent: Time,
}

impl Backends {
    pub(crate) fn new() -> Backends {
        Backends {
            roster: Roster::default(),
            admissions: AdmissionClient::default(),
            probes: Probes::new(),
            remote: BTreeMap::new(),
            requesters: BTreeMap::new(),
            sent_slots: BTreeMap::new(),
            kept_alive: Time::ZERO,
            slots_sent: Time::ZERO,
        }
    }

    fn handle_announce(&mut self, now: Time, mut announce: Announce, cx: &mut EntryContext<'_>) {
        cx.count(Counter::AnnouncesReceived);
        announce.draining = cx.shared.state.is_draining(&announce);
        let Some(home) = home_of(cx.shared, &announce).cloned() else { return };
        if home == cx.shared.me.name {
            self.announce_at_home(now, &announce, cx);
            return;
        }
        if !self.remote.contains_key(&announce.server) && self.remote.len() >= MAX_REMOTE_SERVERS {
            cx.count(Counter::AnnouncesOverflowed);
            return;
        }
        let is_known = cx.shared.state.servers.get(&announce.server) == Some(&announce);
        let remote = self.remote.entry(announce.server.clone()).or_insert(RemoteServer {
            boot: announce.boot,
            pending: true,
            forwarded: None,
        });
        remote.boot = announce.boot;
        remote.pending = true;
        if !is_known && remote.forwarded.is_none_or(|at| now.since(at) >= KEEP_ALIVE_PERIOD) {
            remote.forwarded = Some(now);
            to_peer(home, HomeMessage::Announced(announce), cx);
        }
    }

    fn announce_at_home(&mut self, now: Time, announce: &Announce, cx: &mut EntryContext<'_>) {
        if home_of(cx.shared, announce) != Some(&cx.shared.me.name) {
            return;
        }
        match self.roster.servers.get_mut(&announce.server) {
            Some(managed) => {
                let counter = managed.handle_announce(now, announce);
                counter.into_iter().for_each(|counter| cx.count(counter));
            }
            None => {
                let managed = ManagedServer::new(now, announce.clone());
                self.roster.servers.insert(announce.server.clone(), managed);
            }
        }
        self.run_actions(now, &announce.server, cx);
    }

    /// Sends each home the servers that announced themselves here since the last batch.
    fn send_keep_alives(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        if now.since(self.kept_alive) < KEEP_ALIVE_PERIOD {
            return;
        }
        self.kept_alive = now;
        let mut batches: BTreeMap<Name, Vec<(Name, u64)>> = BTreeMap::new();
        for (server, remote) in &mut self.remote {
            let announce = cx.shared.state.servers.get(server);
            let home = announce.and_then(|announce| home_of(cx.shared, announce));
            if let Some(home) = home.filter(|home| remote.pending && **home != cx.shared.me.name) {
                batches.entry(home.clone()).or_default().push((server.clone(), remote.boot));
            }
        }
        self.remote.retain(|_, remote| std::mem::take(&mut remote.pending));
        batches
            .into_iter()
            .for_each(|(home, servers)| to_peer(home, HomeMessage::KeepAlive(servers), cx));
    }

    /// Sends changed numbers of free slots to the VMs that recently sent an admission request.
    fn send_free_slots(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        if now.since(self.slots_sent) < FREE_SLOTS_PERIOD {
            return;
        }
        self.slots_sent = now;
        let mut changed = Vec::new();
        for (server, managed) in &self.roster.servers {
            let slots = managed.free_slots(now);
            if self.sent_slots.insert(server.clone(), slots) != Some(slots) {
                changed.push(FreeSlots { server: server.clone(), slots });
            }
        }
        self.sent_slots.retain(|server, _| self.roster.servers.contains_key(server));
        self.requesters.retain(|_, at| now.since(*at) < REQUESTER_AGE);
        if changed.is_empty() {
            return;
        }
        for vm in self.requesters.keys() {
            to_peer(vm.clone(), HomeMessage::FreeSlots(changed.clone()), cx);
        }
        self.admissions.selector.update_hints(now, cx.shared, changed);
    }

    fn tick(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let zone = cx.shared.me.zone.clone();
        for managed in self.roster.servers.values_mut() {
            let counter = managed.tick(now, &cx.shared.state, &zone);
            counter.into_iter().for_each(|counter| cx.count(counter));
        }
        for server in self.probes.expire(now) {
            self.handle_probe(now, &server, &ProbeResult::Health(false), cx);
        }
        let servers: Vec<Name> = self.roster.servers.keys().cloned().collect();
        for server in servers {
            self.run_actions(now, &server, cx);
        }
        let messages = self.admissions.tick(now, cx);
        self.deliver(now, messages, cx);
        self.send_keep_alives(now, cx);
        self.send_free_slots(now, cx);
        self.roster.rebalance(now, cx);
    }

    /// Runs the actions that are due for one server.
    fn run_actions(&mut self, now: Time, server: &Name, cx: &mut EntryContext<'_>) {
        let Some(managed) = self.roster.servers.get_mut(server) else { return };
        let actions = managed.due_actions(now, &cx.shared.state, &cx.shared.me.name);
        let announce = managed.announce().clone();
        for action in actions {
            match action {
                HomeAction::Probe(kind) => {
                    if let Ok(bytes) = self.probes.start(now, server, kind) {
                        cx.act(EntryAction::ToServer { to: announce.requests, bytes });
                    }
                }
                HomeAction::Report(standing) => {
                    cx.count(Counter::ServersReported);
                    let announce = announce.clone();
                    cx.act(EntryAction::Submit(Command::Report { announce, standing }));
                }
                HomeAction::ReportGone => {
                    cx.act(EntryAction::Submit(Command::Gone { server: server.clone() }));
                }
            }
        }
    }

    fn handle_probe(
        &mut self,
        now: Time,
        server: &Name,
        result: &ProbeResult,
        cx: &mut EntryContext<'_>,
    ) {
        let Some(managed) = self.roster.servers.get_mut(server) else { return };
        let counter = managed.handle_probe(now, &cx.shared.state, result);
        counter.into_iter().for_each(|counter| cx.count(counter));
        self.run_actions(now, server, cx);
    }

    /// Decides, as home, on the admission request of `holder`, with `preferred` tried first.
    fn grant(
        &mut self,
        now: Time,
        holder: &Holder,
        index: u64,
        request: &AdmissionRequest,
        preferred: &Name,
        cx: &mut EntryContext<'_>,
    ) -> Admission {
        if cx.shared.careful && index > cx.shared.state.index {
            // The sender has applied a newer configuration, which may name another home.
            cx.count(Counter::AsksFenced);
            return Admission::Refused { retry: IDLE_RETRY };
        }
        let mut order: Vec<_> = self
            .roster
            .servers
            .iter()
            .filter(|(name, managed)| {
                managed.announce().service == request.service && !request.tried.contains(name)
            })
            .map(|(name, managed)| {
                (name != preferred, u32::MAX - managed.free_slots(now), name.clone())
            })
            .collect();
        order.sort();
        let mut retry = IDLE_RETRY;
        for (_, _, name) in order {
            let managed = self.roster.servers.get_mut(&name).expect("the name is a key");
            if home_of(cx.shared, managed.announce()) != Some(&cx.shared.me.name) {
                continue;
            }
            match managed.admit(now, &cx.shared.state, holder) {
                Ok(()) => {
                    return Admission::Granted { server: name, to: managed.announce().requests };
                }
                Err(delay) => retry = retry.min(delay),
            }
        }
        Admission::Refused { retry }
    }

    fn finish(
        &mut self,
        now: Time,
        vm: &Name,
        incarnation: u64,
        exchange: FinishedExchange,
        cx: &mut EntryContext<'_>,
    ) {
        // After a handover, the new home learns of the end from the next renewal.
        let Some(managed) = self.roster.servers.get_mut(&exchange.server) else { return };
        let holder = Holder { vm: vm.clone(), incarnation, ticket: exchange.ticket };
        let counter = managed.finish(now, &cx.shared.state, &holder, &exchange.completion);
        counter.into_iter().for_each(|counter| cx.count(counter));
        let service = managed.announce().service.clone();
        let freed = EntryMessage::Freed { service, server: exchange.server.clone() };
        cx.send(REQUESTS, freed).expect("the service is registered in EntryNode::new");
        self.run_actions(now, &exchange.server, cx);
    }

    fn renew(
        &mut self,
        now: Time,
        vm: &Name,
        incarnation: u64,
        held: &BTreeMap<Name, BTreeSet<u64>>,
        cx: &mut EntryContext<'_>,
    ) {
        let none = BTreeSet::new();
        for (server, managed) in &mut self.roster.servers {
            managed.renew(now, vm, incarnation, held.get(server).unwrap_or(&none));
        }
        let unknown = held.keys().filter(|server| !self.roster.servers.contains_key(*server));
        unknown.for_each(|_| cx.count(Counter::RenewalsAstray));
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: Name,
        message: HomeMessage,
        cx: &mut EntryContext<'_>,
    ) -> Vec<OutboundMessage> {
        match message {
            HomeMessage::Announced(announce) => self.announce_at_home(now, &announce, cx),
            HomeMessage::KeepAlive(servers) => {
                for (server, boot) in servers {
                    if let Some(managed) = self.roster.servers.get_mut(&server) {
                        managed.keep_alive(now, boot);
                    }
                }
            }
            HomeMessage::Admit { incarnation, index, request, preferred } => {
                if self.requesters.len() < MAX_REQUESTERS && from != cx.shared.me.name {
                    self.requesters.insert(from.clone(), now);
                }
                let ticket = request.ticket;
                let holder = Holder { vm: from.clone(), incarnation, ticket };
                let admission = self.grant(now, &holder, index, &request, &preferred, cx);
                let message = HomeMessage::Answer { incarnation, ticket, admission };
                return vec![OutboundMessage { to: from, message }];
            }
            HomeMessage::Answer { incarnation, ticket, admission } => {
                // Drops answers to requests that an earlier incarnation of this VM sent.
                if incarnation == cx.shared.me.incarnation {
                    return self.admissions.handle_answer(now, &from, ticket, admission, cx);
                }
            }
            HomeMessage::Finished { incarnation, exchanges } => {
                exchanges
                    .into_iter()
                    .for_each(|exchange| self.finish(now, &from, incarnation, exchange, cx));
            }
            HomeMessage::Cancel { incarnation, ticket } => {
                let holder = Holder { vm: from, incarnation, ticket };
                for managed in self.roster.servers.values_mut() {
                    managed.finish(now, &cx.shared.state, &holder, &Completion::Cancelled);
                }
            }
            HomeMessage::Renew { incarnation, held } => {
                self.renew(now, &from, incarnation, &held, cx)
            }
            HomeMessage::FreeSlots(free) => {
                self.admissions.selector.update_hints(now, cx.shared, free)
            }
            HomeMessage::Handover { server, step, holders } => {
                self.roster.handle_handover(now, from, server, step, holders);
            }
        }
        Vec::new()
    }

    /// Delivers messages to the homes they are addressed to, including this VM.
    fn deliver(&mut self, now: Time, messages: Vec<OutboundMessage>, cx: &mut EntryContext<'_>) {
        let mut messages = std::collections::VecDeque::from(messages);
        while let Some(OutboundMessage { to, message }) = messages.pop_front() {
            if to == cx.shared.me.name {
                messages.extend(self.handle_message(now, to, message, cx));
            } else {
                to_peer(to, message, cx);
            }
        }
    }
}

impl Service<Shared, EntryMessage, EntryAction> for Backends {
    fn handle(&mut self, now: Time, msg: EntryMessage, cx: &mut EntryContext<'_>) {
        self.roster.sync(now, cx);
        let messages = match msg {
            EntryMessage::Tick => {
                self.tick(now, cx);
                Vec::new()
            }
            EntryMessage::Announce(announce) => {
                self.handle_announce(now, announce, cx);
                Vec::new()
            }
            EntryMessage::Probe { from, answer } => {
                let result = self.probes.handle_answer(&answer);
                let known = result.filter(|(server, _)| {
                    let managed = self.roster.servers.get(server);
                    managed.is_some_and(|managed| managed.announce().requests == from)
                });
                if let Some((server, result)) = known {
                    self.handle_probe(now, &server, &result, cx);
                }
                Vec::new()
            }
            EntryMessage::Ask(request) => self.admissions.start(now, request, cx),
            EntryMessage::Finish { ticket, server, finish } => {
                self.admissions.finish(ticket, server, finish, cx).into_iter().collect()
            }
            EntryMessage::Peer { from, message: PeerMessage::Home(message) } => {
                self.handle_message(now, from, message, cx)
            }
            _ => Vec::new(),
        };
        self.deliver(now, messages, cx);
    }
}

fn to_peer(to: Name, message: HomeMessage, cx: &mut EntryContext<'_>) {
    cx.act(EntryAction::ToPeer { to, message: PeerMessage::Home(message) });
}
