//! The backend servers known to an entry VM, merged from the feeds of several control VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use serde::Serialize;

use crate::{
    cookie::record::{Announcement, ServerRecord, ServerState, server_cookie},
    name::Name,
    time::Time,
};

/// How long a server that is gone is remembered: older flows may still send packets to it.
const GONE_RETENTION: Duration = Duration::from_secs(120);
/// Age of a control VM's registry, in announcement periods, from which on a server missing from
/// its feed counts as silent: each server has announced itself several times by then.
const COMPLETE_PERIODS: u32 = 4;

/// Which traffic a server may receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum Eligibility {
    /// New flows.
    #[serde(rename = "New")]
    Available,
    /// Packets of its existing flows only: it is cold after a start or an absence.
    Cold,
    /// Packets of its existing flows only: it is draining.
    #[serde(rename = "Old")]
    Draining,
    /// New flows only if no server of the service is available or cold: its announcements have
    /// stopped.
    Silent,
    /// Nothing: it is gone, or another server holds its cookie.
    #[serde(rename = "Not")]
    Unavailable,
}

#[derive(Debug, Clone)]
struct Server {
    record: ServerRecord,
    cold_until: Time,
    /// When the record was last replaced.
    updated: Time,
}

/// What one control VM reports.
#[derive(Debug, Clone, Default)]
struct FeedSource {
    known: BTreeSet<u64>,
    silent: BTreeSet<u64>,
    registry_age: Duration,
    /// Whether it sends changes only, so that a server without a record is not unknown to it.
    changes_only: bool,
}

/// The backend servers known to an entry VM.
#[derive(Debug, Clone)]
pub struct ServerDirectory {
    /// Time between two announcements of a server.
    period: Duration,
    /// Servers by number.
    servers: BTreeMap<u64, Server>,
    /// Number of the server that holds each cookie.
    cookies: BTreeMap<u32, u64>,
    by_service: BTreeMap<Name, BTreeSet<u64>>,
    /// Incarnation and number of the server that started last at each address.
    by_address: BTreeMap<SocketAddrV4, (u64, u64)>,
    /// Cookies of servers that were found to be superseded.
    superseded: BTreeSet<u32>,
    /// Control VMs by the address of their feed.
    sources: BTreeMap<SocketAddr, FeedSource>,
    /// Servers whose eligibility may have changed since they were last taken.
    changed: BTreeSet<u64>,
    /// When servers that are cold become warm.
    warming: BTreeSet<(Time, u64)>,
}

impl ServerDirectory {
    /// Creates an empty directory of servers that announce themselves once per `period`.
    pub fn new(period: Duration) -> ServerDirectory {
        ServerDirectory {
            period,
            servers: BTreeMap::new(),
            cookies: BTreeMap::new(),
            by_service: BTreeMap::new(),
            by_address: BTreeMap::new(),
            superseded: BTreeSet::new(),
            sources: BTreeMap::new(),
            changed: BTreeSet::new(),
            warming: BTreeSet::new(),
        }
    }

    /// Returns the number of known servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Records for how long the control VM at `source` has received announcements.
    pub fn set_registry_age(&mut self, source: SocketAddr, age: Duration) {
        let complete = self.period * COMPLETE_PERIODS;
        let known = self.sources.contains_key(&source);
        let feed = self.sources.entry(source).or_default();
        let before = std::mem::replace(&mut feed.registry_age, age);
        if !known || (before >= complete) != (age >= complete) {
            self.changed.extend(self.servers.keys());
        }
    }

    /// Records that the control VM at `source` sends changes only.
    pub fn set_changes_only(&mut self, source: SocketAddr) {
        self.sources.entry(source).or_default().changes_only = true;
    }

    /// Returns whether the control VM at `source` sends changes only.
    pub fn is_changes_only(&self, source: SocketAddr) -> bool {
        self.sources.get(&source).is_some_and(|feed| feed.changes_only)
    }

    /// Removes a control VM that is unreachable.
    pub fn remove_source(&mut self, source: SocketAddr) {
        self.sources.remove(&source);
        self.changed.extend(self.servers.keys());
    }

    /// Merges records sent by a control VM; with `all` set, the servers that it reported before no
    /// longer count as reported by it.
    pub fn apply_records(
        &mut self,
        now: Time,
        source: SocketAddr,
        all: bool,
        records: Vec<ServerRecord>,
    ) {
        if all || !self.sources.contains_key(&source) {
            self.changed.extend(self.servers.keys());
        }
        let feed = self.sources.entry(source).or_default();
        if all {
            feed.known.clear();
            feed.silent.clear();
            feed.changes_only = false;
        }
        for record in &records {
            let id = record.announcement.id;
            self.changed.insert(id);
            feed.known.insert(id);
            match record.silent {
                true => feed.silent.insert(id),
                false => feed.silent.remove(&id),
            };
        }
        for record in records {
            self.apply_record(now, record);
        }
    }

    fn apply_record(&mut self, now: Time, mut record: ServerRecord) {
        record.silent = false;
        let id = record.announcement.id;
        let known = self.servers.get(&id);
        if known.is_some_and(|known| record.version() <= known.record.version())
            || record.announcement.check().is_err()
        {
            return;
        }
        if let Some(known) = known
            && known.record.announcement.service != record.announcement.service
        {
            let service = known.record.announcement.service.clone();
            self.by_service.entry(service).or_default().remove(&id);
        }
        self.record_address(&record);
        let cold_until = now + record.announcement.warmup_left;
        self.by_service.entry(record.announcement.service.clone()).or_default().insert(id);
        self.claim_cookie(id, record.announcement.incarnation);
        self.warming.insert((cold_until, id));
        self.servers.insert(id, Server { record, cold_until, updated: now });
    }

    /// Records which server started last at the address of `record`. Of two servers that have had
    /// an address, the one that started first has ended, unless it has started again elsewhere.
    fn record_address(&mut self, record: &ServerRecord) {
        let Announcement { addr, incarnation, id, .. } = record.announcement;
        let latest = self.by_address.entry(addr).or_insert((incarnation, id));
        let (first, last) = ((*latest).min((incarnation, id)), (*latest).max((incarnation, id)));
        *latest = last;
        let cookie = server_cookie(first.1);
        let is_there = |server: &Server| server.record.announcement.is_start_at(first.0, addr);
        let holds = self.cookies.get(&cookie) == Some(&first.1)
            && (first.1 == id || self.servers.get(&first.1).is_some_and(is_there));
        if first.0 < last.0 && first.1 != last.1 && holds {
            self.superseded.insert(cookie);
        }
    }

    /// Takes the cookies of the servers that were found to be superseded since the last call.
    pub(super) fn take_superseded(&mut self) -> BTreeSet<u32> {
        std::mem::take(&mut self.superseded)
    }

    /// Assigns the cookie of `id` to the server that started first among those that share it.
    ///
    /// Every entry VM makes the same decision; the other servers receive no traffic.
    fn claim_cookie(&mut self, id: u64, incarnation: u64) {
        let holder = self.cookies.get(&server_cookie(id));
        let holder = holder.and_then(|holder| self.servers.get(holder));
        let first = holder.is_none_or(|holder| {
            let other = &holder.record.announcement;
            holder.record.state == ServerState::Gone
                || (other.incarnation, other.id) >= (incarnation, id)
        });
        if first {
            let before = self.cookies.insert(server_cookie(id), id);
            self.changed.extend(before);
        }
    }

    /// Treats every server of `zone` as cold until `until`, as it may be after an absence.
    pub fn mark_zone_cold(&mut self, zone: &Name, until: Time) {
        let servers = self.servers.iter_mut();
        for (id, server) in servers.filter(|(_, s)| s.record.announcement.zone == *zone) {
            server.cold_until = server.cold_until.max(until);
            self.warming.insert((server.cold_until, *id));
            self.changed.insert(*id);
        }
    }

    /// Returns whether servers have changed, or become warm, since they were last taken.
    pub(super) fn has_changed(&self, now: Time) -> bool {
        !self.changed.is_empty() || self.warming.first().is_some_and(|(until, _)| *until <= now)
    }

    /// Takes the numbers of the servers whose eligibility may have changed since the last call.
    pub(super) fn take_changed(&mut self, now: Time) -> BTreeSet<u64> {
        while let Some((until, id)) = self.warming.first().copied()
            && until <= now
        {
            self.warming.pop_first();
            self.changed.insert(id);
        }
        std::mem::take(&mut self.changed)
    }

    /// Returns the announcement and eligibility of a server.
    pub(super) fn assess(&self, now: Time, id: u64) -> Option<(&Announcement, Eligibility)> {
        let server = self.servers.get(&id)?;
        Some((&server.record.announcement, self.eligibility(now, id, server)))
    }

    /// Iterates over the cookies of all servers.
    pub(super) fn cookies(&self) -> impl Iterator<Item = u32> {
        self.cookies.keys().copied()
    }

    /// Returns the server that holds a cookie.
    pub fn by_cookie(&self, cookie: u32) -> Option<&ServerRecord> {
        let id = self.cookies.get(&cookie)?;
        self.servers.get(id).map(|server| &server.record)
    }

    /// Iterates over the servers of a service with their eligibility.
    pub fn service_servers(
        &self,
        now: Time,
        service: &Name,
    ) -> impl Iterator<Item = (&ServerRecord, Eligibility)> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(move |id| {
            let server = self.servers.get(id)?;
            Some((&server.record, self.eligibility(now, *id, server)))
        })
    }

    fn eligibility(&self, now: Time, id: u64, server: &Server) -> Eligibility {
        match server.record.state {
            ServerState::Gone => Eligibility::Unavailable,
            _ if self.cookies.get(&server_cookie(id)) != Some(&id) => Eligibility::Unavailable,
            ServerState::Draining => Eligibility::Draining,
            ServerState::Ready if now < server.cold_until => Eligibility::Cold,
            ServerState::Ready if self.is_silent(id) => Eligibility::Silent,
            ServerState::Ready => Eligibility::Available,
        }
    }

    /// Returns whether every reachable control VM reports the server as silent or, with a complete
    /// registry, does not know it.
    fn is_silent(&self, id: u64) -> bool {
        let silent = |source: &FeedSource| {
            let complete = source.registry_age >= self.period * COMPLETE_PERIODS;
            let unknown = complete && !source.changes_only && !source.known.contains(&id);
            unknown || source.silent.contains(&id)
        };
        !self.sources.is_empty() && self.sources.values().all(silent)
    }

    /// Removes servers that are gone or silent and whose record has not changed for 120 s.
    pub fn tick(&mut self, now: Time) {
        let expired = |id: u64, server: &Server| {
            let ended = server.record.state == ServerState::Gone || self.is_silent(id);
            ended && now.since(server.updated) >= GONE_RETENTION
        };
        let ended: Vec<u64> =
            self.servers.iter().filter(|(id, s)| expired(**id, s)).map(|(id, _)| *id).collect();
        for id in ended {
            let Some(server) = self.servers.remove(&id) else { continue };
            self.changed.insert(id);
            self.cookies.retain(|_, holder| *holder != id);
            self.by_address.retain(|_, (_, latest)| *latest != id);
            if let Some(ids) = self.by_service.get_mut(&server.record.announcement.service) {
                ids.remove(&id);
            }
        }
    }
}
