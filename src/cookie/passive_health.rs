//! Passive health checks: tells backend servers that have failed from those that are full or answer
//! badly, by what their callers send.
//!
//! Replies bypass the entry VM, but a caller that receives one sends its next packet at once. An
//! opening that no further packet of its flow follows in time therefore went unanswered. It counts
//! against its server only if openings that were sent to other servers later have been answered, or
//! if no other server is slow at the same time: packets that wait before this VM's link arrive in
//! order. A server at which flows still make progress has not failed but is full of connections.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use super::{
    decayed_share::DecayedShare,
    directory::{Eligibility, ServerDirectory},
    record::server_cookie,
    server_results::{Openings, RESULT_WINDOW, Server},
    verdict::Endpoints,
};
use crate::{name::Name, time::Time};

/// Time within which a packet follows an answered opening: several round trips between
/// availability zones and to the caller.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Age from which on unanswered openings at several servers point to a backlog before the link.
const SLOW_ANSWER: Duration = Duration::from_millis(50);
/// Upper bound on the difference of the round-trip times of two servers.
const ROUND_TRIP_SPREAD: Duration = Duration::from_millis(30);
/// Age from which on an opening without evidence for or against its server is disregarded; its
/// caller has repeated it twice by then.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on openings tracked at the same time.
const MAX_PENDING: usize = 512;

/// A forwarded opening that no further packet of its flow has followed.
#[derive(Debug, Clone, Copy)]
struct PendingOpening {
    sent: Time,
    id: u64,
}

/// An opening that went unanswered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnansweredOpening {
    /// Address and port of its route.
    pub(crate) route: SocketAddrV4,
    /// Number of the server.
    pub(crate) id: u64,
}

/// The results of one service.
#[derive(Debug, Clone)]
struct Service {
    results: DecayedShare,
    /// Servers that get fewer flows or none.
    limited: Vec<u64>,
    /// How many servers may be limited; updated once per second.
    max_limited: usize,
}

/// Openings without an answer and bad results, by backend server.
#[derive(Debug, Clone)]
pub(crate) struct PassiveHealth {
    pending: BTreeMap<Endpoints, PendingOpening>,
    /// Openings in the order in which they were sent; some have been answered.
    order: VecDeque<(Time, Endpoints)>,
    /// Number of pending openings by caller and server.
    waiting: BTreeMap<(Ipv4Addr, u64), u32>,
    /// When the newest of the answered openings was sent.
    newest_answered: Time,
    openings: Openings,
    servers: BTreeMap<u64, Server>,
    services: BTreeMap<Name, Service>,
    /// Servers that have become suspect since they were last taken.
    suspects: Vec<u64>,
    /// Openings that went unanswered since they were last taken.
    unanswered: VecDeque<UnansweredOpening>,
}

impl PassiveHealth {
    /// Creates health checks without results.
    pub(crate) fn new() -> PassiveHealth {
        PassiveHealth {
            pending: BTreeMap::new(),
            order: VecDeque::new(),
            waiting: BTreeMap::new(),
            newest_answered: Time::ZERO,
            openings: Openings::new(),
            servers: BTreeMap::new(),
            services: BTreeMap::new(),
            suspects: Vec::new(),
            unanswered: VecDeque::new(),
        }
    }

    /// Returns whether the opening of a flow is pending.
    pub(crate) fn is_pending(&self, endpoints: &Endpoints) -> bool {
        self.pending.contains_key(endpoints)
    }

    /// Records that the opening of a flow was sent to server `id`.
    pub(crate) fn opening_sent(&mut self, now: Time, endpoints: Endpoints, id: u64) {
        if self.order.len() >= MAX_PENDING {
            return;
        }
        self.remove_pending(&endpoints);
        self.pending.insert(endpoints, PendingOpening { sent: now, id });
        self.order.push_back((now, endpoints));
        *self.waiting.entry((*endpoints.0.ip(), id)).or_default() += 1;
    }

    /// Records that a flow is established at server `id`.
    pub(crate) fn opening_answered(&mut self, now: Time, endpoints: &Endpoints, id: u64) {
        if let Some(pending) = self.remove_pending(endpoints) {
            self.newest_answered = self.newest_answered.max(pending.sent);
        }
        self.openings.record(now, false);
        let all = self.openings;
        let server = self.server(id);
        server.opening_ended(now, now, false, &all);
        server.progressed(now);
    }

    /// Records that a caller has acknowledged something new from server `id`.
    pub(crate) fn progress(&mut self, now: Time, id: u64) {
        self.server(id).progressed(now);
    }

    /// Records a result of server `id`, good or bad.
    pub(crate) fn record(&mut self, now: Time, id: u64, bad: bool, directory: &ServerDirectory) {
        let Some(service) = service_of(id, directory) else { return };
        let all = self.service(now, &service, directory);
        let before = all.results;
        all.results.record(now, bad);
        let server = self.server(id);
        server.record(now, bad, &before);
        if bad || server.limited {
            self.update_limit(now, id, &service, directory);
        }
    }

    /// Returns whether server `id` has failed by its results.
    pub(crate) fn is_suspect(&self, now: Time, id: u64) -> bool {
        self.servers.get(&id).is_some_and(|server| server.limited && server.is_failed(now))
    }

    /// Returns whether server `id` gets fewer flows than the others, or none.
    pub(crate) fn is_limited(&self, id: u64) -> bool {
        self.servers.get(&id).is_some_and(|server| server.limited)
    }

    /// Returns whether a flow with the hash `key` should go to another server than `id`, as that one
    /// has failed or answers badly.
    pub(crate) fn avoids(&self, now: Time, id: u64, key: u64) -> bool {
        let Some(server) = self.servers.get(&id).filter(|server| server.limited) else {
            return false;
        };
        let weight = server.weight(now);
        // Multiplication by an odd constant separates the draws of the servers for one flow.
        let draw = (key ^ id).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        weight < 1.0 && draw as f32 >= weight * (1 << 24) as f32
    }

    /// Returns whether recent openings went unanswered at server `id` with no other sign of life.
    pub(crate) fn is_unanswered(&self, now: Time, id: u64) -> bool {
        self.servers.get(&id).is_some_and(|server| server.is_unanswered(now))
    }

    /// Takes the servers that have become suspect since the last call.
    pub(crate) fn take_suspects(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.suspects)
    }

    /// Takes the oldest opening that went unanswered and has not been taken.
    pub(crate) fn take_unanswered(&mut self) -> Option<UnansweredOpening> {
        self.unanswered.pop_front()
    }

    /// Returns whether another opening of `caller` is pending at server `id`: the server may have
    /// reset the caller, which now retries from another port.
    pub(crate) fn has_pending(&self, caller: Ipv4Addr, id: u64) -> bool {
        self.waiting.contains_key(&(caller, id))
    }

    /// Counts openings that have timed out.
    pub(crate) fn tick(&mut self, now: Time) {
        while let Some(&(sent, endpoints)) = self.order.front() {
            let pending = self.pending.get(&endpoints).filter(|pending| pending.sent == sent);
            if let Some(&PendingOpening { id, .. }) = pending {
                let age = now.since(sent);
                if age < ANSWER_TIMEOUT {
                    break;
                }
                let counts = self.shows_failure(now, sent, id);
                if !counts && age < EVIDENCE_TIMEOUT {
                    break;
                }
                self.remove_pending(&endpoints);
                if counts {
                    self.opening_unanswered(now, sent, id);
                    self.unanswered.push_back(UnansweredOpening { route: endpoints.1, id });
                }
            }
            self.order.pop_front();
        }
    }

    /// Forgets servers without recent results.
    pub(crate) fn sweep(&mut self, now: Time, directory: &ServerDirectory) {
        let servers = &mut self.servers;
        for (name, service) in &mut self.services {
            service.max_limited = max_limited(now, name, directory);
            service.limited.retain(|id| {
                let Some(server) = servers.get_mut(id) else { return false };
                let known = directory.by_cookie(server_cookie(*id)).is_some();
                server.limited = known && server.weight(now) < 1.0;
                server.limited
            });
        }
        self.servers.retain(|_, server| server.sweep(now));
    }

    fn server(&mut self, id: u64) -> &mut Server {
        self.servers.entry(id).or_insert(Server::new())
    }

    fn service(&mut self, now: Time, name: &Name, directory: &ServerDirectory) -> &mut Service {
        if !self.services.contains_key(name) {
            let results = DecayedShare::new(RESULT_WINDOW);
            let max_limited = max_limited(now, name, directory);
            let service = Service { results, limited: Vec::new(), max_limited };
            self.services.insert(name.clone(), service);
        }
        self.services.get_mut(name).expect("the service was just inserted")
    }

    fn remove_pending(&mut self, endpoints: &Endpoints) -> Option<PendingOpening> {
        let pending = self.pending.remove(endpoints)?;
        let key = (*endpoints.0.ip(), pending.id);
        if let Some(waiting) = self.waiting.get_mut(&key) {
            *waiting -= 1;
            if *waiting == 0 {
                self.waiting.remove(&key);
            }
        }
        Some(pending)
    }

    /// Returns whether an opening that was sent to server `id` at `sent` and has timed out says
    /// something about that server, and not about this VM's link.
    fn shows_failure(&self, now: Time, sent: Time, id: u64) -> bool {
        let failed = |id: u64| self.servers.get(&id).is_some_and(|server| server.failed);
        if self.newest_answered >= sent + ROUND_TRIP_SPREAD || failed(id) {
            return true;
        }
        // Under a backlog, one of the first few openings is one to another server.
        let mut slow = self.order.iter().take_while(|(sent, _)| now.since(*sent) >= SLOW_ANSWER);
        !slow.any(|(sent, endpoints)| {
            let pending = self.pending.get(endpoints).filter(|pending| pending.sent == *sent);
            pending.is_some_and(|pending| pending.id != id && !failed(pending.id))
        })
    }

    fn opening_unanswered(&mut self, now: Time, sent: Time, id: u64) {
        let all = self.openings;
        let server = self.server(id);
        let was_failed = server.failed;
        server.opening_ended(now, sent, true, &all);
        if server.failed && !was_failed {
            self.suspects.push(id);
        }
        if !was_failed {
            self.openings.record(now, true);
        }
    }

    /// Limits server `id` if its results ask for it and fewer than a third of the service's servers
    /// are limited, or lifts its limit.
    fn update_limit(&mut self, now: Time, id: u64, name: &Name, directory: &ServerDirectory) {
        let server = *self.server(id);
        let wanted = server.weight(now) < 1.0;
        if wanted == server.limited {
            return;
        }
        let Service { limited, max_limited, .. } = self.service(now, name, directory);
        if wanted && limited.len() >= *max_limited {
            // A failed server takes the place of one that only answers badly.
            let limited = limited.clone();
            let failed = |id: &u64| self.servers.get(id).is_some_and(|other| other.is_failed(now));
            let replaced = limited.into_iter().find(|id| !failed(id));
            let Some(replaced) = replaced.filter(|_| server.is_failed(now)) else { return };
            self.service(now, name, directory).limited.retain(|id| *id != replaced);
            self.server(replaced).limited = false;
        }
        self.server(id).limited = wanted;
        let limited = &mut self.service(now, name, directory).limited;
        match wanted {
            true => limited.push(id),
            false => limited.retain(|limited| *limited != id),
        }
    }
}

fn service_of(id: u64, directory: &ServerDirectory) -> Option<Name> {
    Some(directory.by_cookie(server_cookie(id))?.announcement.service.clone())
}

/// Returns how many servers of a service may be limited: a third, but one of two.
fn max_limited(now: Time, service: &Name, directory: &ServerDirectory) -> usize {
    let servers = directory.service_servers(now, service);
    let in_use = |eligibility| matches!(eligibility, Eligibility::Available | Eligibility::Silent);
    let in_use = servers.filter(|(_, eligibility)| in_use(*eligibility)).count();
    if in_use < 2 { 0 } else { (in_use / 3).max(1) }
}
