//! The registry of backend servers on a control VM.
//!
//! It is soft state, built from announcements and from gossip of other control VMs, and is never
//! written to the replicated log.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::Duration,
};

mod set_aside;

use set_aside::SetAside;

use crate::{
    cookie::{
        feed::UnnamedServers,
        record::{Announcement, ServerRecord, ServerState},
    },
    name::Name,
    time::Time,
};

/// Announcement periods without an announcement after which a server counts as silent: one may be
/// lost, one late and one on its way through another control VM.
const SILENT_PERIODS: u32 = 3;
/// How long the end of a server is remembered: longer than a flow lives or an announcement may be
/// delayed.
const GONE_RETENTION: Duration = Duration::from_secs(120);
/// Difference in the remaining warm-up from which on a server has turned cold again: announcements
/// are delayed by less.
const WARMUP_TOLERANCE: Duration = Duration::from_millis(100);
/// Limit on registered servers, a protection against announcements of invented servers; ten times
/// the design size of the system.
const MAX_SERVERS: usize = 70_000;

/// Most servers listed by [`ServerRegistry::unnamed_servers`].
const MAX_LISTED: usize = 500;

/// The effect of an announcement or a gossiped record on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The record changed and has to be sent to entry VMs.
    Changed,
    /// Only the sequence number and the time of the last announcement changed.
    Unchanged,
    /// It was ignored: the registered record is as new, the server is gone or, for a sequence
    /// number alone, unknown, it names no server to use, or the registry is full.
    Outdated,
    /// It was set aside until a configuration names the service: anyone may announce servers of
    /// services that do not exist.
    Unnamed,
}

/// The effect of a report that a server leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaveOutcome {
    /// The server counts as gone from now on.
    Ended(ServerRecord),
    /// It was ignored: the registered start has not announced that it drains, and the report may be
    /// about an earlier one.
    NotDraining,
    /// No server has this number.
    Unknown,
}

#[derive(Debug, Clone)]
struct Registered {
    record: ServerRecord,
    last_heard: Time,
    /// Until when a sequence number that names no start may be of an earlier start.
    ambiguous_until: Time,
    /// The last such number while it was ambiguous.
    ambiguous_number: u64,
    /// When it is warm, as entry VMs know it.
    cold_until: Time,
    /// What has yet to be sent to other control VMs: a changed record, or only that the server
    /// announced itself.
    pending: Option<UpdateOutcome>,
}

/// The backend servers known to a control VM.
#[derive(Debug, Clone)]
pub struct ServerRegistry {
    /// Time between two announcements of a server.
    period: Duration,
    /// When the registry was created.
    created: Time,
    /// When the registry, or another one whose records it has, began to receive announcements.
    since: Time,
    /// When silent servers were last determined.
    last_tick: Option<Time>,
    servers: BTreeMap<u64, Registered>,
    /// The services that the configuration names, or `None` if every service counts as named.
    services: Option<BTreeSet<Name>>,
    /// Servers of other services. They are not used, and end no server at their address.
    set_aside: SetAside,
    /// Incarnation and number of the server that started last at each address.
    by_address: BTreeMap<SocketAddrV4, (u64, u64)>,
    /// Servers that ended because another one started at their address.
    superseded: Vec<u64>,
    /// Whether another control VM hears a server that is not known here.
    lacks_record: bool,
}

impl ServerRegistry {
    /// Creates an empty registry of servers that announce themselves once per `period`.
    pub fn new(now: Time, period: Duration) -> ServerRegistry {
        ServerRegistry {
            period,
            created: now,
            since: now,
            last_tick: None,
            servers: BTreeMap::new(),
            services: None,
            set_aside: SetAside::default(),
            by_address: BTreeMap::new(),
            superseded: Vec::new(),
            lacks_record: false,
        }
    }

    /// Registers servers of these services only; others wait until [`set_services`] names theirs.
    ///
    /// [`set_services`]: ServerRegistry::set_services
    #[must_use]
    pub fn with_services(mut self, services: BTreeSet<Name>) -> ServerRegistry {
        self.services = Some(services);
        self
    }

    /// Adds servers that were registered before this VM went down; one that does not announce
    /// itself again becomes silent like any other.
    #[must_use]
    pub fn with_cached(mut self, records: Vec<ServerRecord>) -> ServerRegistry {
        let last_heard = self.since;
        for mut record in records {
            record.silent = false;
            self.record_address(&record);
            let id = record.announcement.id;
            let cold_until = last_heard + record.announcement.warmup_left;
            let registered = Registered {
                record,
                last_heard,
                ambiguous_until: self.since + GONE_RETENTION,
                ambiguous_number: 0,
                cold_until,
                pending: None,
            };
            self.servers.insert(id, registered);
        }
        self
    }

    /// Sets the services that the configuration names. Returns the servers that were set aside and
    /// are registered now.
    ///
    /// Servers of a service that is no longer named stay registered: their flows go on.
    pub fn set_services(&mut self, now: Time, services: BTreeSet<Name>) -> Vec<ServerRecord> {
        let named = self.set_aside.take_named(now, &services);
        self.services = Some(services);
        let mut registered = Vec::new();
        for (record, forward) in named {
            let id = record.announcement.id;
            // Its later announcements may have reached other control VMs only.
            if self.update(now, record, forward) != UpdateOutcome::Outdated {
                registered.extend(self.get(id).cloned());
            }
        }
        registered
    }

    /// Returns the number of servers whose service is not named.
    pub fn unnamed(&self) -> usize {
        self.set_aside.len()
    }

    /// Returns the servers whose service is not named, as operators see them.
    pub fn unnamed_servers(&self) -> UnnamedServers {
        let records = self.set_aside.records().take(MAX_LISTED).cloned().collect();
        UnnamedServers { count: self.set_aside.len() as u64, records }
    }

    /// Returns whether `record` is of a server that may be used: its service is named, or was when
    /// the server was registered.
    pub fn is_named(&self, record: &ServerRecord) -> bool {
        let Announcement { id, service, .. } = &record.announcement;
        self.services.as_ref().is_none_or(|services| services.contains(service))
            || self.get(*id).is_some_and(|held| held.announcement.service == *service)
    }

    /// Returns for how long the registry has received announcements.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.since)
    }

    /// Iterates over every record.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values().map(|server| &server.record)
    }

    /// Iterates over every record, also those of servers whose service is not named.
    pub fn all_records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.records().chain(self.set_aside.records())
    }

    /// Returns the record of a server.
    pub fn get(&self, id: u64) -> Option<&ServerRecord> {
        self.servers.get(&id).map(|server| &server.record)
    }

    /// Registers an announcement of a server.
    pub fn announce(&mut self, now: Time, announcement: Announcement) -> UpdateOutcome {
        self.update(now, ServerRecord::new(announcement), true)
    }

    /// Marks a server that has left as gone.
    ///
    /// The report names no start, and one that was delayed may be about an earlier one. A server
    /// leaves after it has announced that it drains, so that a start that has not is not meant.
    pub fn leave(&mut self, now: Time, id: u64) -> LeaveOutcome {
        let Some(server) = self.servers.get_mut(&id) else {
            return self.set_aside.leave(now, id);
        };
        if server.record.state == ServerState::Ready {
            return LeaveOutcome::NotDraining;
        }
        server.record.state = ServerState::Gone;
        server.last_heard = now;
        server.pending = Some(UpdateOutcome::Changed);
        LeaveOutcome::Ended(server.record.clone())
    }

    /// Merges a record received from another control VM.
    pub fn merge(&mut self, now: Time, record: ServerRecord) -> UpdateOutcome {
        self.update(now, record, false)
    }

    /// Takes over the registry age of a control VM that has sent every record, if it is higher.
    pub fn inherit_age(&mut self, now: Time, age: Duration) {
        let since = now.as_micros().saturating_sub(age.as_micros() as u64);
        self.since = self.since.min(Time::from_micros(since));
    }

    /// Applies a record; with `forward` set, it has to be sent to other control VMs.
    fn update(&mut self, now: Time, mut record: ServerRecord, forward: bool) -> UpdateOutcome {
        record.silent = false;
        if record.announcement.check().is_err() {
            return UpdateOutcome::Outdated;
        }
        if !self.is_named(&record) {
            return self.set_aside.insert(now, record, forward);
        }
        let id = record.announcement.id;
        let before = self.servers.get(&id).map(|server| &server.record);
        if before.is_some_and(|before| record.version() <= before.version())
            || (before.is_none() && self.is_full())
        {
            return UpdateOutcome::Outdated;
        }
        // What was set aside under this number is not of this server.
        self.set_aside.remove(id);
        self.end_predecessor(&record);
        self.record_address(&record);
        if self.is_superseded(&record) {
            record.state = ServerState::Gone;
        }
        let before = self.servers.get(&id);
        let warmup_left = record.announcement.warmup_left;
        let changed = before.is_none_or(|before| {
            let known = before.cold_until.since(now) + WARMUP_TOLERANCE;
            warmup_left > known || record.is_change(&before.record)
        });
        let cold_until = now + warmup_left;
        let cold_until = match before {
            Some(before) if !changed => before.cold_until.min(cold_until),
            _ => cold_until,
        };
        let outcome = if changed { UpdateOutcome::Changed } else { UpdateOutcome::Unchanged };
        // A change that has not been sent yet stays pending.
        let unsent = before.and_then(|before| before.pending);
        let unsent = unsent.filter(|pending| *pending == UpdateOutcome::Changed);
        let pending = unsent.or(forward.then_some(outcome));
        let incarnation = record.announcement.incarnation;
        let (ambiguous_until, ambiguous_number) = match before {
            Some(before) if before.record.announcement.incarnation == incarnation => {
                (before.ambiguous_until, before.ambiguous_number)
            }
            // Without a record, an earlier start is possible if this VM has not been up for long.
            None if now.since(self.created) >= GONE_RETENTION => (now, 0),
            _ => (now + GONE_RETENTION, 0),
        };
        let registered = Registered {
            record,
            last_heard: now,
            ambiguous_until,
            ambiguous_number,
            cold_until,
            pending,
        };
        self.servers.insert(id, registered);
        outcome
    }

    fn is_full(&self) -> bool {
        self.servers.len() >= MAX_SERVERS
    }

    /// Marks the server that had the address of `record` before as gone, unless it has started again
    /// at another address since.
    fn end_predecessor(&mut self, record: &ServerRecord) {
        let Announcement { addr, incarnation, id, .. } = record.announcement;
        let Some(&(earlier, previous)) = self.by_address.get(&addr) else { return };
        if earlier >= incarnation || previous == id {
            return;
        }
        if let Some(server) = self.servers.get_mut(&previous)
            && server.record.announcement.is_start_at(earlier, addr)
            && server.record.state != ServerState::Gone
        {
            server.record.state = ServerState::Gone;
            self.superseded.push(previous);
        }
    }

    /// Takes the records of servers that have ended since the last call because another one started
    /// at their address.
    pub fn take_superseded(&mut self) -> Vec<ServerRecord> {
        let ids = std::mem::take(&mut self.superseded);
        ids.iter().filter_map(|id| self.get(*id)).cloned().collect()
    }

    fn record_address(&mut self, record: &ServerRecord) {
        let Announcement { addr, incarnation, id, .. } = record.announcement;
        let latest = self.by_address.entry(addr).or_insert((incarnation, id));
        *latest = (*latest).max((incarnation, id));
    }

    /// Returns whether a server that started later has the address of `record`.
    fn is_superseded(&self, record: &ServerRecord) -> bool {
        let announcement = &record.announcement;
        let latest = self.by_address.get(&announcement.addr);
        latest.is_some_and(|&(incarnation, id)| {
            id != announcement.id && incarnation > announcement.incarnation
        })
    }

    /// Registers that another control VM received an announcement without a change.
    ///
    /// It does not say of which start. For 120 s after a start has been registered, it may have been
    /// delayed and be about an earlier one, whose sequence numbers are higher, unless this VM knows
    /// that there was none: it then shows that the server is heard, and its number is not taken.
    pub fn refresh(&mut self, now: Time, id: u64, sequence: u64) -> UpdateOutcome {
        let Some(server) = self.servers.get_mut(&id) else {
            self.lacks_record |= !self.set_aside.contains(id);
            return UpdateOutcome::Outdated;
        };
        let gone = server.record.state == ServerState::Gone;
        if gone || sequence <= server.record.announcement.sequence {
            return UpdateOutcome::Outdated;
        }
        self.set_aside.remove(id);
        if now >= server.ambiguous_until {
            server.record.announcement.sequence = sequence;
        } else if sequence == std::mem::replace(&mut server.ambiguous_number, sequence) {
            return UpdateOutcome::Outdated;
        }
        server.last_heard = now;
        let was_silent = std::mem::replace(&mut server.record.silent, false);
        if was_silent { UpdateOutcome::Changed } else { UpdateOutcome::Unchanged }
    }

    /// Returns whether, since the last call, another control VM has refreshed a server that is not
    /// known here: its record was lost on the way.
    pub fn take_lacks_record(&mut self) -> bool {
        std::mem::take(&mut self.lacks_record)
    }

    /// Takes what has yet to be sent to other control VMs: changed records, also of servers whose
    /// service is not named, and the number and sequence number of servers that announced themselves
    /// without a change.
    pub fn take_pending(&mut self) -> (Vec<ServerRecord>, Vec<(u64, u64)>) {
        let (mut records, mut refreshed) = (self.set_aside.take_pending(), Vec::new());
        for server in self.servers.values_mut() {
            let announcement = &server.record.announcement;
            match server.pending.take() {
                Some(UpdateOutcome::Changed) => records.push(server.record.clone()),
                Some(_) => refreshed.push((announcement.id, announcement.sequence)),
                None => {}
            }
        }
        (records, refreshed)
    }

    /// Excludes from every server's silence the time in which this VM was suspended and received
    /// nothing.
    fn skip_suspension(&mut self, now: Time) {
        let pause = self.last_tick.map_or(Duration::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if pause >= self.period {
            for server in self.servers.values_mut() {
                server.last_heard = now.min(server.last_heard + pause);
            }
        }
    }

    /// Brings the remaining warm-up of every record up to date.
    ///
    /// Only some announcements of a server reach this VM in full; a record that keeps the warm-up of the
    /// first one would make an entry VM that starts later spare a warm server.
    fn update_warmups(&mut self, now: Time) {
        for server in self.servers.values_mut() {
            server.record.announcement.warmup_left = server.cold_until.since(now);
        }
    }

    /// Marks servers that have become silent or lost their address, and removes those not heard
    /// from for 120 s. Returns the changed records.
    pub fn tick(&mut self, now: Time) -> Vec<ServerRecord> {
        self.skip_suspension(now);
        self.update_warmups(now);
        let limit = self.period * SILENT_PERIODS;
        let complete = self.age(now) >= limit;
        let mut changed = Vec::new();
        for server in self.servers.values_mut() {
            let before = server.record.clone();
            let gone = server.record.state == ServerState::Gone;
            server.record.silent = !gone && complete && now.since(server.last_heard) >= limit;
            let announcement = &server.record.announcement;
            let latest = self.by_address.get(&announcement.addr);
            if latest.is_some_and(|&(start, id)| {
                start > announcement.incarnation && id != announcement.id
            }) {
                server.record.state = ServerState::Gone;
            }
            if server.record != before {
                changed.push(server.record.clone());
            }
        }
        self.servers.retain(|_, server| now.since(server.last_heard) < GONE_RETENTION);
        self.set_aside.expire(now, GONE_RETENTION);
        let servers = &self.servers;
        self.by_address.retain(|_, (_, id)| servers.contains_key(id));
        changed
    }
}
