//! The decision on each packet of a flow, without a socket or a clock.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use super::{
    balance::{Candidate, choose},
    directory::{Directory, Usable},
    evidence::Evidence,
    explain::Weighed,
    feed::{FeedMessage, Plan},
    notes::{Ends, Note, Notes},
    record::{ServerState, tag},
};
use crate::{member::hash, name::Name, time::Time, whole::Route};

/// Time without a packet after which a flow that never opened is forgotten: a caller repeats its
/// opening for less.
const OPENING: Duration = Duration::from_secs(2);
/// Time in which a VM that has started hears of the backend servers: a few of their periods.
const LEARNING: Duration = Duration::from_secs(5);
/// Time after which an opening counts as unanswered when it is repeated: callers repeat theirs
/// after 200 ms, and copies that have waited here together are no sign of the server.
const UNANSWERED: Duration = Duration::from_millis(150);
/// Time between two sweeps of what is old.
const SWEEP: Duration = Duration::from_secs(1);

/// What the forwarder needs of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// The caller.
    pub caller: SocketAddrV4,
    /// The route's address and port.
    pub route: SocketAddrV4,
    /// Whether the packet opens a flow.
    pub opens: bool,
    /// How often the opening was sent before.
    pub repeats: u32,
    /// Whether the packet ends the flow from the caller's side.
    pub ends: bool,
    /// Cookie that the caller returns, 0 for none.
    pub cookie: u32,
}

impl Head {
    /// Returns a hash of the flow, the same on every VM.
    pub fn key(&self) -> u64 {
        flow_key(&(self.caller, self.route))
    }
}

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Its cookie stands for no server that is known.
    Unknown,
    /// It carries no cookie.
    NoCookie,
    /// It has waited while the VM stood still, and the caller has gone on.
    Stale,
    /// This VM has no configuration yet.
    Early,
}

/// Why a flow was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResetReason {
    /// No route has its address and port.
    NoRoute,
    /// No server may take it.
    NoServer,
    /// Its server is gone.
    ServerGone,
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowVerdict {
    /// Sends it to a server under a cookie.
    Forward {
        /// Where the server takes packets.
        to: SocketAddrV4,
        /// Number of the server.
        id: u64,
        /// Cookie of the server.
        cookie: u32,
    },
    /// Resets the flow, so that the caller goes on elsewhere at once.
    Reset(ResetReason),
    /// Drops it.
    Drop(DropReason),
}

/// The packet path of an entry VM.
pub struct Forwarder {
    zone: Name,
    plan: Arc<Plan>,
    routes: BTreeMap<SocketAddrV4, Route>,
    directory: Directory,
    evidence: Evidence,
    notes: Notes,
    /// Time between two announcements of a server.
    period: Duration,
    started: Time,
    swept: Time,
}

impl Forwarder {
    /// Returns the forwarder of a VM in `zone` that starts `now`, before servers that announce themselves once a
    /// `period`.
    pub fn new(now: Time, zone: Name, period: Duration) -> Forwarder {
        Forwarder {
            zone,
            plan: Arc::default(),
            routes: BTreeMap::new(),
            directory: Directory::new(period),
            evidence: Evidence::default(),
            notes: Notes::default(),
            period,
            started: now,
            swept: now,
        }
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the backend servers.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns how many flows were seen lately.
    pub fn flows(&self) -> usize {
        self.notes.len()
    }

    /// Takes over a message of the control VM at `source`.
    pub fn fed(&mut self, now: Time, source: SocketAddr, message: FeedMessage) {
        match message {
            FeedMessage::Beat { age, .. } => self.directory.beat(source, age),
            FeedMessage::Plan(plan) => self.take_plan(now, plan),
            FeedMessage::Servers { all, records } => {
                self.directory.learn(now, source, all, records);
            }
        }
    }

    /// Takes over that a control VM cannot be reached.
    pub fn lose(&mut self, source: SocketAddr) {
        self.directory.lose(source);
    }

    /// Puts a plan in force unless it is older than the one that is.
    fn take_plan(&mut self, now: Time, plan: Arc<Plan>) {
        if plan.index <= self.plan.index {
            return;
        }
        for zone in self.plan.out.difference(&plan.out) {
            // The servers may have become cold meanwhile; the next announcement says so.
            let warmup = plan.whole.services.values().map(|service| service.time).max();
            let until = now + self.period + warmup.unwrap_or_default();
            self.directory.chill(zone, until);
        }
        let place = |route: &Route| SocketAddrV4::new(route.addr, route.port);
        self.routes = plan.whole.routes.iter().map(|route| (place(route), route.clone())).collect();
        self.plan = plan;
    }

    /// Decides on a packet; `stale` where it may have waited for long.
    pub fn packet(&mut self, now: Time, head: &Head, stale: bool) -> FlowVerdict {
        if self.plan.index == 0 {
            return FlowVerdict::Drop(DropReason::Early);
        }
        match head.opens {
            true if stale => FlowVerdict::Drop(DropReason::Stale),
            true => self.opening(now, head),
            false => self.following(now, head),
        }
    }

    fn opening(&mut self, now: Time, head: &Head) -> FlowVerdict {
        self.evidence.tick(now);
        let ends = (head.caller, head.route);
        if !self.routes.contains_key(&head.route) {
            return FlowVerdict::Reset(ResetReason::NoRoute);
        }
        let first = self.notes.get(&ends).filter(|_| head.repeats > 0);
        if let Some(verdict) = first.and_then(|note| self.repeated(now, ends, note)) {
            return verdict;
        }
        let avoid = first.map(|note| note.tag);
        let Some(id) = self.place(now, &ends, avoid) else { return self.unplaced(now, &ends) };
        let note = Note { tag: tag(id), opened: false, closed: false, at: now };
        self.notes.set(ends, note);
        self.evidence.asked(now, ends, id);
        self.forward(note.tag).unwrap_or(FlowVerdict::Reset(ResetReason::NoServer))
    }

    /// Returns where a repeated opening goes: where the first went, unless that server has had the
    /// time to answer.
    ///
    /// Two servers may then answer, and the flow opens at the one whose answer the caller takes;
    /// its note keeps it there.
    fn repeated(&mut self, now: Time, ends: Ends, note: Note) -> Option<FlowVerdict> {
        let record = self.directory.by_tag(note.tag)?;
        let id = record.announced.id;
        if record.state == ServerState::Gone {
            return None;
        }
        let unanswered = now.since(note.at) >= UNANSWERED || self.evidence.is_suspect(now, id);
        if !note.opened && unanswered {
            return None;
        }
        self.notes.set(ends, Note { at: now, ..note });
        self.forward(note.tag)
    }

    /// Returns what becomes of a flow that no server may take: its caller goes on at once, unless
    /// this VM has just started and hears of servers before the caller repeats itself.
    fn unplaced(&self, now: Time, ends: &Ends) -> FlowVerdict {
        let shares = self.routes.get(&ends.1).into_iter().flat_map(|route| &route.shares);
        let mut services = shares.map(|share| &share.service);
        let known =
            services.any(|service| self.directory.of_service(now, service).next().is_some());
        match !known && now.since(self.started) < LEARNING {
            true => FlowVerdict::Drop(DropReason::Early),
            false => FlowVerdict::Reset(ResetReason::NoServer),
        }
    }

    /// Returns the server of a new flow, one of another tag than `avoid` where there is one.
    fn place(&self, now: Time, ends: &Ends, avoid: Option<u32>) -> Option<u64> {
        let route = self.routes.get(&ends.1)?;
        let key = flow_key(ends);
        let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = key % total.max(1);
        let mut chosen = None;
        for share in &route.shares {
            if point < u64::from(share.weight) {
                chosen = Some(share);
                break;
            }
            point -= u64::from(share.weight);
        }
        // Where the chosen service has no server left, the others of the route are allowed too.
        let rest = route.shares.iter().filter(|share| share.weight > 0);
        let services = chosen.into_iter().chain(rest).map(|share| &share.service);
        let take =
            |service, wanted| choose(key, self.candidates(now, ends, service, avoid, wanted));
        let heard = services.clone().find_map(|service| take(service, Usable::New));
        heard.or_else(|| {
            let mut silent = services.filter(|service| self.is_unheard(now, service));
            silent.find_map(|service| take(service, Usable::Silent))
        })
    }

    /// Returns whether every server of a service that could take flows is silent: that many do
    /// not fail at once, but what carries their announcements may.
    fn is_unheard(&self, now: Time, service: &Name) -> bool {
        let mut servers = self.directory.of_service(now, service);
        servers.all(|(_, usable)| !matches!(usable, Usable::New | Usable::Cold))
    }

    /// Returns every server of the services to which the route sends flows.
    pub(super) fn weigh(&self, now: Time, head: &Head) -> Vec<Weighed> {
        let shares = self.routes.get(&head.route).into_iter().flat_map(|route| &route.shares);
        let shares = shares.filter(|share| share.weight > 0);
        let servers = shares.flat_map(|share| self.directory.of_service(now, &share.service));
        let weighed = servers.map(|(record, usable)| {
            let server = &record.announced;
            Weighed {
                id: server.id,
                service: server.service.clone(),
                addr: server.addr,
                zone: server.zone.clone(),
                usable,
                out: self.plan.out.contains(&server.zone),
                suspect: self.evidence.is_suspect(now, server.id),
                flows: self.notes.open(tag(server.id)),
            }
        });
        weighed.collect()
    }

    fn candidates(
        &self,
        now: Time,
        ends: &Ends,
        service: &Name,
        avoid: Option<u32>,
        wanted: Usable,
    ) -> impl Iterator<Item = Candidate> {
        let caller = *ends.0.ip();
        let servers = self.directory.of_service(now, service);
        servers.filter_map(move |(record, usable)| {
            let server = &record.announced;
            let suspect = self.evidence.is_suspect(now, server.id);
            let answers = wanted != Usable::Silent || !suspect;
            let allowed = usable == wanted && answers && !self.plan.out.contains(&server.zone);
            allowed.then(|| Candidate {
                id: server.id,
                near: server.zone == self.zone,
                suspect: avoid == Some(tag(server.id))
                    || suspect
                    || self.evidence.waits(caller, server.id),
                flows: self.notes.open(tag(server.id)),
            })
        })
    }

    fn following(&mut self, now: Time, head: &Head) -> FlowVerdict {
        let ends = (head.caller, head.route);
        if !self.routes.contains_key(&head.route) {
            return FlowVerdict::Reset(ResetReason::NoRoute);
        }
        let noted = self.notes.get(&ends);
        // The cookie of a flow that was seen open here cannot change.
        let known = noted.filter(|note| note.opened && !note.closed).map(|note| note.tag);
        let cookie = Some(head.cookie).filter(|cookie| *cookie != 0);
        let Some(tag) = known.or(cookie).or(noted.map(|note| note.tag)) else {
            return FlowVerdict::Drop(DropReason::NoCookie);
        };
        let Some(record) = self.directory.by_tag(tag) else {
            return FlowVerdict::Drop(DropReason::Unknown);
        };
        if record.state == ServerState::Gone {
            return FlowVerdict::Reset(ResetReason::ServerGone);
        }
        let id = record.announced.id;
        if noted.is_none_or(|note| !note.opened) {
            self.evidence.answered(&ends, id);
        }
        let closed = head.ends || noted.is_some_and(|note| note.closed && note.tag == tag);
        self.notes.set(ends, Note { tag, opened: true, closed, at: now });
        self.forward(tag).unwrap_or(FlowVerdict::Drop(DropReason::Unknown))
    }

    fn forward(&self, tag: u32) -> Option<FlowVerdict> {
        let server = &self.directory.by_tag(tag)?.announced;
        Some(FlowVerdict::Forward { to: server.addr, id: server.id, cookie: tag })
    }

    /// Forgets what is old.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.swept) < SWEEP {
            return;
        }
        self.swept = now;
        self.notes.expire(now, self.plan.whole.idle.max(OPENING));
        self.evidence.tick(now);
        self.directory.tick(now);
    }
}

fn flow_key((caller, route): &Ends) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&caller.ip().octets());
    bytes[4..6].copy_from_slice(&caller.port().to_be_bytes());
    bytes[6..10].copy_from_slice(&route.ip().octets());
    bytes[10..].copy_from_slice(&route.port().to_be_bytes());
    hash(&bytes)
}
