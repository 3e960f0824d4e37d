//! Backend servers: announcements, probes, admission, and the ramp of those that start.
//!
//! Each backend server has one home, an entry VM of its availability zone. Only the home probes
//! it, counts its slots and decides how much work it bears.

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

use admit::{Asker, Letter};
use home::{Due, Home, IDLE_RETRY};
use probe::{Found, Probes};
use roster::{Roster, home_of};

pub(crate) use probe::is_probe;

pub use message::{Admission, Ask, Ended, Finish, Free, HomeMessage};
pub use phase::ServerPhase;
pub use probe::Load;
pub use slots::Holder;
pub use standing::Standing;

/// Time between two notes to a home that a server announced itself here.
const ALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Time between two reports of free capacity.
const FREE_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a VM that asked hears of free capacity.
const ASKER_AGE: Duration = Duration::from_secs(10);
/// VMs that hear of free capacity, at most.
const MAX_ASKERS: usize = 64;
/// Announcing servers that one VM keeps, at most.
const MAX_HEARD: usize = 8_192;

struct Heard {
    boot: u64,
    fresh: bool,
    sent: Option<Time>,
}

/// Takes announcements, keeps the homes of this VM and admits requests.
pub(crate) struct Backends {
    roster: Roster,
    asker: Asker,
    probes: Probes,
    heard: BTreeMap<Name, Heard>,
    askers: BTreeMap<Name, Time>,
    free: BTreeMap<Name, u32>,
    alive: Time,
    shared: Time,
}

impl Backends {
    pub(crate) fn new() -> Backends {
        Backends {
            roster: Roster::default(),
            asker: Asker::default(),
            probes: Probes::new(),
            heard: BTreeMap::new(),
            askers: BTreeMap::new(),
            free: BTreeMap::new(),
            alive: Time::ZERO,
            shared: Time::ZERO,
        }
    }

    fn announce(&mut self, now: Time, mut announce: Announce, cx: &mut EntryContext<'_>) {
        cx.count(Counter::AnnouncesReceived);
        announce.draining = cx.shared.state.is_draining(&announce);
        let Some(home) = home_of(cx.shared, &announce).cloned() else { return };
        if home == cx.shared.me.name {
            self.announced(now, &announce, cx);
            return;
        }
        if !self.heard.contains_key(&announce.server) && self.heard.len() >= MAX_HEARD {
            cx.count(Counter::AnnouncesOverflowed);
            return;
        }
        let is_known = cx.shared.state.servers.get(&announce.server) == Some(&announce);
        let heard = self.heard.entry(announce.server.clone()).or_insert(Heard {
            boot: announce.boot,
            fresh: true,
            sent: None,
        });
        heard.boot = announce.boot;
        heard.fresh = true;
        if !is_known && heard.sent.is_none_or(|at| now.since(at) >= ALIVE_PERIOD) {
            heard.sent = Some(now);
            to_peer(home, HomeMessage::Announced(announce), cx);
        }
    }

    fn announced(&mut self, now: Time, announce: &Announce, cx: &mut EntryContext<'_>) {
        if home_of(cx.shared, announce) != Some(&cx.shared.me.name) {
            return;
        }
        match self.roster.homes.get_mut(&announce.server) {
            Some(home) => {
                let counted = home.announced(now, announce);
                counted.into_iter().for_each(|counter| cx.count(counter));
            }
            None => {
                let home = Home::new(now, announce.clone());
                self.roster.homes.insert(announce.server.clone(), home);
            }
        }
        self.settle(now, &announce.server, cx);
    }

    /// Tells the homes which servers announced themselves here since the last time.
    fn share_alive(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        if now.since(self.alive) < ALIVE_PERIOD {
            return;
        }
        self.alive = now;
        let mut batches: BTreeMap<Name, Vec<(Name, u64)>> = BTreeMap::new();
        for (server, heard) in &mut self.heard {
            let announce = cx.shared.state.servers.get(server);
            let home = announce.and_then(|announce| home_of(cx.shared, announce));
            if let Some(home) = home.filter(|home| heard.fresh && **home != cx.shared.me.name) {
                batches.entry(home.clone()).or_default().push((server.clone(), heard.boot));
            }
        }
        self.heard.retain(|_, heard| std::mem::take(&mut heard.fresh));
        batches.into_iter().for_each(|(home, all)| to_peer(home, HomeMessage::Alive(all), cx));
    }

    /// Tells the VMs that asked lately what has become free or busy.
    fn share_free(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        if now.since(self.shared) < FREE_PERIOD {
            return;
        }
        self.shared = now;
        let mut changed = Vec::new();
        for (server, home) in &self.roster.homes {
            let slots = home.free(now);
            if self.free.insert(server.clone(), slots) != Some(slots) {
                changed.push(Free { server: server.clone(), slots });
            }
        }
        self.free.retain(|server, _| self.roster.homes.contains_key(server));
        self.askers.retain(|_, at| now.since(*at) < ASKER_AGE);
        if changed.is_empty() {
            return;
        }
        for vm in self.askers.keys() {
            to_peer(vm.clone(), HomeMessage::Free(changed.clone()), cx);
        }
        self.asker.choices.hint(now, cx.shared, changed);
    }

    fn tick(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let zone = cx.shared.me.zone.clone();
        for home in self.roster.homes.values_mut() {
            let counted = home.tick(now, &cx.shared.state, &zone);
            counted.into_iter().for_each(|counter| cx.count(counter));
        }
        for server in self.probes.expire(now) {
            self.found(now, &server, &Found::Health(false), cx);
        }
        let servers: Vec<Name> = self.roster.homes.keys().cloned().collect();
        for server in servers {
            self.settle(now, &server, cx);
        }
        let letters = self.asker.tick(now, cx);
        self.deliver(now, letters, cx);
        self.share_alive(now, cx);
        self.share_free(now, cx);
        self.roster.rebalance(now, cx);
    }

    /// Does what is due for one server.
    fn settle(&mut self, now: Time, server: &Name, cx: &mut EntryContext<'_>) {
        let Some(home) = self.roster.homes.get_mut(server) else { return };
        let due = home.due(now, &cx.shared.state, &cx.shared.me.name);
        let announce = home.announce().clone();
        for due in due {
            match due {
                Due::Probe(kind) => {
                    if let Ok(bytes) = self.probes.start(now, server, kind) {
                        cx.act(EntryAction::ToServer { to: announce.requests, bytes });
                    }
                }
                Due::Report(standing) => {
                    cx.count(Counter::ServersReported);
                    let announce = announce.clone();
                    cx.act(EntryAction::Submit(Command::Report { announce, standing }));
                }
                Due::Gone => {
                    cx.act(EntryAction::Submit(Command::Gone { server: server.clone() }));
                }
            }
        }
    }

    fn found(&mut self, now: Time, server: &Name, found: &Found, cx: &mut EntryContext<'_>) {
        let Some(home) = self.roster.homes.get_mut(server) else { return };
        let counted = home.found(now, &cx.shared.state, found);
        counted.into_iter().for_each(|counter| cx.count(counter));
        self.settle(now, server, cx);
    }

    /// Decides as home on a request of `holder`.
    fn grant(
        &mut self,
        now: Time,
        holder: &Holder,
        index: u64,
        ask: &Ask,
        server: &Name,
        cx: &mut EntryContext<'_>,
    ) -> Admission {
        if cx.shared.careful && index > cx.shared.state.index {
            // A newer configuration may name another home.
            cx.count(Counter::AsksFenced);
            return Admission::Refused { retry: IDLE_RETRY };
        }
        let mut order: Vec<_> = self
            .roster
            .homes
            .iter()
            .filter(|(name, home)| {
                home.announce().service == ask.service && !ask.tried.contains(name)
            })
            .map(|(name, home)| (name != server, u32::MAX - home.free(now), name.clone()))
            .collect();
        order.sort();
        let mut retry = IDLE_RETRY;
        for (_, _, name) in order {
            let home = self.roster.homes.get_mut(&name).expect("the name is a key");
            if home_of(cx.shared, home.announce()) != Some(&cx.shared.me.name) {
                continue;
            }
            match home.admit(now, &cx.shared.state, holder) {
                Ok(()) => {
                    return Admission::Granted { server: name, to: home.announce().requests };
                }
                Err(after) => retry = retry.min(after),
            }
        }
        Admission::Refused { retry }
    }

    fn finish(
        &mut self,
        now: Time,
        vm: &Name,
        start: u64,
        ended: Ended,
        cx: &mut EntryContext<'_>,
    ) {
        // The next home of a server that was passed on learns it from the next renewal.
        let Some(home) = self.roster.homes.get_mut(&ended.server) else { return };
        let holder = Holder { vm: vm.clone(), start, ticket: ended.ticket };
        let counted = home.finish(now, &cx.shared.state, &holder, &ended.finish);
        counted.into_iter().for_each(|counter| cx.count(counter));
        let service = home.announce().service.clone();
        let freed = EntryMessage::Freed { service, server: ended.server.clone() };
        cx.send(REQUESTS, freed).expect("the service is registered in EntryNode::new");
        self.settle(now, &ended.server, cx);
    }

    fn renew(
        &mut self,
        now: Time,
        vm: &Name,
        start: u64,
        held: &BTreeMap<Name, BTreeSet<u64>>,
        cx: &mut EntryContext<'_>,
    ) {
        let none = BTreeSet::new();
        for (server, home) in &mut self.roster.homes {
            home.renew(now, vm, start, held.get(server).unwrap_or(&none));
        }
        let astray = held.keys().filter(|server| !self.roster.homes.contains_key(*server));
        astray.for_each(|_| cx.count(Counter::RenewalsAstray));
    }

    fn message(
        &mut self,
        now: Time,
        from: Name,
        message: HomeMessage,
        cx: &mut EntryContext<'_>,
    ) -> Vec<Letter> {
        match message {
            HomeMessage::Announced(announce) => self.announced(now, &announce, cx),
            HomeMessage::Alive(all) => {
                for (server, boot) in all {
                    if let Some(home) = self.roster.homes.get_mut(&server) {
                        home.still_there(now, boot);
                    }
                }
            }
            HomeMessage::Ask { start, index, ask, server } => {
                if self.askers.len() < MAX_ASKERS && from != cx.shared.me.name {
                    self.askers.insert(from.clone(), now);
                }
                let ticket = ask.ticket;
                let holder = Holder { vm: from.clone(), start, ticket };
                let admission = self.grant(now, &holder, index, &ask, &server, cx);
                let message = HomeMessage::Answer { start, ticket, admission };
                return vec![Letter { to: from, message }];
            }
            HomeMessage::Answer { start, ticket, admission } => {
                // An answer to an earlier start of this VM is for nobody.
                if start == cx.shared.me.incarnation {
                    return self.asker.answer(now, &from, ticket, admission, cx);
                }
            }
            HomeMessage::Finish { start, ended } => {
                ended.into_iter().for_each(|ended| self.finish(now, &from, start, ended, cx));
            }
            HomeMessage::Withdraw { start, ticket } => {
                let holder = Holder { vm: from, start, ticket };
                for home in self.roster.homes.values_mut() {
                    home.finish(now, &cx.shared.state, &holder, &Finish::Cancelled);
                }
            }
            HomeMessage::Renew { start, held } => self.renew(now, &from, start, &held, cx),
            HomeMessage::Free(free) => self.asker.choices.hint(now, cx.shared, free),
            HomeMessage::Handover { server, step, holders } => {
                self.roster.handover(now, from, server, step, holders);
            }
        }
        Vec::new()
    }

    /// Hands letters to the homes that they are for, this VM's own included.
    fn deliver(&mut self, now: Time, letters: Vec<Letter>, cx: &mut EntryContext<'_>) {
        let mut letters = std::collections::VecDeque::from(letters);
        while let Some(Letter { to, message }) = letters.pop_front() {
            if to == cx.shared.me.name {
                letters.extend(self.message(now, to, message, cx));
            } else {
                to_peer(to, message, cx);
            }
        }
    }
}

impl Service<Shared, EntryMessage, EntryAction> for Backends {
    fn handle(&mut self, now: Time, msg: EntryMessage, cx: &mut EntryContext<'_>) {
        self.roster.sync(now, cx);
        let letters = match msg {
            EntryMessage::Tick => {
                self.tick(now, cx);
                Vec::new()
            }
            EntryMessage::Announce(announce) => {
                self.announce(now, announce, cx);
                Vec::new()
            }
            EntryMessage::Probe { from, answer } => {
                let found = self.probes.answer(&answer);
                let known = found.filter(|(server, _)| {
                    let home = self.roster.homes.get(server);
                    home.is_some_and(|home| home.announce().requests == from)
                });
                if let Some((server, found)) = known {
                    self.found(now, &server, &found, cx);
                }
                Vec::new()
            }
            EntryMessage::Ask(ask) => self.asker.ask(now, ask, cx),
            EntryMessage::Finish { ticket, server, finish } => {
                self.asker.finish(ticket, server, finish, cx).into_iter().collect()
            }
            EntryMessage::Peer { from, message: PeerMessage::Home(message) } => {
                self.message(now, from, message, cx)
            }
            _ => Vec::new(),
        };
        self.deliver(now, letters, cx);
    }
}

fn to_peer(to: Name, message: HomeMessage, cx: &mut EntryContext<'_>) {
    cx.act(EntryAction::ToPeer { to, message: PeerMessage::Home(message) });
}
