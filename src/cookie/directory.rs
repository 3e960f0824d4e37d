//! The backend servers as an entry VM knows them, merged from the feeds of control VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::Serialize;

use crate::{
    cookie::record::{ServerRecord, ServerState, tag},
    name::Name,
    time::Time,
};

/// Time for which a server that has ended stays known: flows of that age may still send packets.
const REMEMBERED: Duration = Duration::from_secs(120);
/// Age of a feed from which on a server that it does not name counts as silent, in periods of
/// announcements: each server has announced itself a few times by then.
const SETTLED: u32 = 4;

/// What may be done with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum Usable {
    /// It takes new flows.
    New,
    /// It takes new flows, but is cold.
    Cold,
    /// It takes packets of its flows only.
    Old,
    /// It takes new flows where nothing better is left: nothing was heard of it for some time.
    Silent,
    /// It takes nothing.
    Not,
}

#[derive(Debug, Clone)]
struct Server {
    record: ServerRecord,
    cold_until: Time,
    /// When the record changed last.
    at: Time,
}

#[derive(Debug, Clone, Default)]
struct Source {
    named: BTreeSet<u64>,
    silent: BTreeSet<u64>,
    age: Duration,
}

/// The backend servers.
#[derive(Debug, Clone)]
pub struct Directory {
    /// Time between two announcements of a server.
    period: Duration,
    /// Servers by id.
    servers: BTreeMap<u64, Server>,
    tags: BTreeMap<u32, u64>,
    by_service: BTreeMap<Name, BTreeSet<u64>>,
    sources: BTreeMap<SocketAddr, Source>,
}

impl Directory {
    /// Returns an empty directory of servers that announce themselves once a `period`.
    pub fn new(period: Duration) -> Directory {
        Directory {
            period,
            servers: BTreeMap::new(),
            tags: BTreeMap::new(),
            by_service: BTreeMap::new(),
            sources: BTreeMap::new(),
        }
    }

    /// Returns how many servers are known.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Takes over how long a control VM has heard announcements.
    pub fn beat(&mut self, source: SocketAddr, age: Duration) {
        self.sources.entry(source).or_default().age = age;
    }

    /// Forgets a control VM that cannot be reached.
    pub fn lose(&mut self, source: SocketAddr) {
        self.sources.remove(&source);
    }

    /// Takes over records of a control VM, all that it knows where `all` is set.
    pub fn learn(&mut self, now: Time, source: SocketAddr, all: bool, records: Vec<ServerRecord>) {
        let told = self.sources.entry(source).or_default();
        if all {
            told.named.clear();
            told.silent.clear();
        }
        for record in &records {
            let id = record.announced.id;
            told.named.insert(id);
            match record.silent {
                true => told.silent.insert(id),
                false => told.silent.remove(&id),
            };
        }
        for record in records {
            self.take(now, record);
        }
    }

    fn take(&mut self, now: Time, mut record: ServerRecord) {
        record.silent = false;
        let id = record.announced.id;
        let held = self.servers.get(&id);
        if held.is_some_and(|held| record.version() <= held.record.version()) {
            return;
        }
        if let Some(held) = held
            && held.record.announced.service != record.announced.service
        {
            let service = held.record.announced.service.clone();
            self.by_service.entry(service).or_default().remove(&id);
        }
        let cold_until = now + record.announced.cold;
        self.by_service.entry(record.announced.service.clone()).or_default().insert(id);
        self.claim_tag(id, record.announced.born);
        self.servers.insert(id, Server { record, cold_until, at: now });
    }

    /// Gives the tag of `id` to the server that started first of those that share it; every VM
    /// decides the same, and the others take no flows.
    fn claim_tag(&mut self, id: u64, born: u64) {
        let holder = self.tags.get(&tag(id)).and_then(|holder| self.servers.get(holder));
        let first = holder.is_none_or(|holder| {
            let other = &holder.record.announced;
            holder.record.state == ServerState::Gone || (other.born, other.id) >= (born, id)
        });
        if first {
            self.tags.insert(tag(id), id);
        }
    }

    /// Counts every server of `zone` as cold until `until`, as it may be after an absence.
    pub fn chill(&mut self, zone: &Name, until: Time) {
        for server in self.servers.values_mut().filter(|s| s.record.announced.zone == *zone) {
            server.cold_until = server.cold_until.max(until);
        }
    }

    /// Returns the server that a cookie stands for.
    pub fn by_tag(&self, tag: u32) -> Option<&ServerRecord> {
        let id = self.tags.get(&tag)?;
        self.servers.get(id).map(|server| &server.record)
    }

    /// Yields the servers of a service and what may be done with them.
    pub fn of_service(
        &self,
        now: Time,
        service: &Name,
    ) -> impl Iterator<Item = (&ServerRecord, Usable)> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(move |id| {
            let server = self.servers.get(id)?;
            Some((&server.record, self.usable(now, *id, server)))
        })
    }

    fn usable(&self, now: Time, id: u64, server: &Server) -> Usable {
        match server.record.state {
            ServerState::Gone => Usable::Not,
            _ if self.tags.get(&tag(id)) != Some(&id) => Usable::Not,
            ServerState::Draining => Usable::Old,
            ServerState::Ready if now < server.cold_until => Usable::Cold,
            ServerState::Ready if self.is_silent(id) => Usable::Silent,
            ServerState::Ready => Usable::New,
        }
    }

    /// Returns whether every control VM that is reached has heard nothing of the server for long.
    fn is_silent(&self, id: u64) -> bool {
        let silent = |source: &Source| {
            let unknown = source.age >= self.period * SETTLED && !source.named.contains(&id);
            unknown || source.silent.contains(&id)
        };
        !self.sources.is_empty() && self.sources.values().all(silent)
    }

    /// Forgets servers that ended long ago.
    pub fn tick(&mut self, now: Time) {
        let over = |id: u64, server: &Server| {
            let gone = server.record.state == ServerState::Gone || self.is_silent(id);
            gone && now.since(server.at) >= REMEMBERED
        };
        let ended: Vec<u64> =
            self.servers.iter().filter(|(id, s)| over(**id, s)).map(|(id, _)| *id).collect();
        for id in ended {
            let Some(server) = self.servers.remove(&id) else { continue };
            self.tags.retain(|_, holder| *holder != id);
            if let Some(ids) = self.by_service.get_mut(&server.record.announced.service) {
                ids.remove(&id);
            }
        }
    }
}
