//! The backend servers, as soft state of a control VM: made from announcements and from what
//! other control VMs have heard, never written to the log.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use crate::{
    cookie::record::{Announcement, ServerRecord, ServerState},
    time::Time,
};

/// Announcements that may be missed before a server counts as silent: one lost, one late, and
/// one on its way through another control VM.
const MISSED: u32 = 3;
/// Time for which the end of a server is remembered: longer than a flow lives or an announcement
/// may be late.
const REMEMBERED: Duration = Duration::from_secs(120);
/// Servers that are remembered at most, against announcements of made-up servers; ten times the
/// size that the system is designed for.
const SERVERS: usize = 70_000;

/// What became of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Entry VMs have to know.
    Changed,
    /// Only the time of the last announcement is new.
    Same,
    /// It is older than what is known.
    Late,
}

#[derive(Debug, Clone)]
struct Known {
    record: ServerRecord,
    heard: Time,
    /// Whether other control VMs have to be told, of the record or of the announcement alone.
    fresh: Option<Heard>,
}

/// The backend servers that a control VM knows.
#[derive(Debug, Clone)]
pub struct Registry {
    /// Time between two announcements of a server.
    period: Duration,
    /// When the registry began to hear announcements.
    since: Time,
    /// When it last judged who is silent.
    judged: Option<Time>,
    servers: BTreeMap<u64, Known>,
    /// The server that started last at each address, with its start.
    latest: BTreeMap<SocketAddrV4, (u64, u64)>,
}

impl Registry {
    /// Returns an empty registry of servers that announce themselves once a `period`.
    pub fn new(now: Time, period: Duration) -> Registry {
        Registry {
            period,
            since: now,
            judged: None,
            servers: BTreeMap::new(),
            latest: BTreeMap::new(),
        }
    }

    /// Returns the registry with servers that were there before this VM was down; one that does
    /// not announce itself again falls silent like any other.
    #[must_use]
    pub fn with_kept(mut self, records: Vec<ServerRecord>) -> Registry {
        let heard = self.since;
        for mut record in records {
            record.silent = false;
            self.note_address(&record);
            self.servers.insert(record.announced.id, Known { record, heard, fresh: None });
        }
        self
    }

    /// Returns for how long the registry has heard announcements.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.since)
    }

    /// Yields every record.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values().map(|known| &known.record)
    }

    /// Returns the record of a server.
    pub fn get(&self, id: u64) -> Option<&ServerRecord> {
        self.servers.get(&id).map(|known| &known.record)
    }

    /// Takes over an announcement of a server.
    pub fn announce(&mut self, now: Time, announced: Announcement) -> Heard {
        self.learn(now, ServerRecord::new(announced), true)
    }

    /// Takes over that a server has left; returns its record where it was known.
    pub fn leave(&mut self, now: Time, id: u64) -> Option<ServerRecord> {
        let known = self.servers.get_mut(&id)?;
        known.record.state = ServerState::Gone;
        known.heard = now;
        known.fresh = Some(Heard::Changed);
        Some(known.record.clone())
    }

    /// Takes over what another control VM has heard.
    pub fn gossip(&mut self, now: Time, record: ServerRecord) -> Heard {
        self.learn(now, record, false)
    }

    /// Takes over that another control VM, which has heard announcements for `age`, has told all
    /// that it knows.
    pub fn inherit(&mut self, now: Time, age: Duration) {
        let since = now.as_micros().saturating_sub(age.as_micros() as u64);
        self.since = self.since.min(Time::from_micros(since));
    }

    fn learn(&mut self, now: Time, mut record: ServerRecord, fresh: bool) -> Heard {
        record.silent = false;
        let id = record.announced.id;
        let before = self.servers.get(&id).map(|known| &known.record);
        if before.is_some_and(|before| record.version() <= before.version())
            || (before.is_none() && self.servers.len() >= SERVERS)
        {
            return Heard::Late;
        }
        self.note_address(&record);
        if self.is_replaced(&record) {
            record.state = ServerState::Gone;
        }
        let before = self.servers.get(&id);
        let changed = before.is_none_or(|before| record.differs(&before.record));
        let heard = if changed { Heard::Changed } else { Heard::Same };
        // A change that was not told yet stays one.
        let untold = before.and_then(|before| before.fresh).filter(|old| *old == Heard::Changed);
        let fresh = untold.or(fresh.then_some(heard));
        self.servers.insert(id, Known { record, heard: now, fresh });
        heard
    }

    fn note_address(&mut self, record: &ServerRecord) {
        let Announcement { addr, born, id, .. } = record.announced;
        let held = self.latest.entry(addr).or_insert((born, id));
        *held = (*held).max((born, id));
    }

    /// Returns whether a server that started later has the address of `record`.
    fn is_replaced(&self, record: &ServerRecord) -> bool {
        let own = &record.announced;
        self.latest.get(&own.addr).is_some_and(|&(born, id)| id != own.id && born > own.born)
    }

    /// Takes over that another control VM has heard an announcement without a change.
    pub fn alive(&mut self, now: Time, id: u64, sequence: u64) -> Heard {
        let Some(known) = self.servers.get_mut(&id) else { return Heard::Late };
        let ended = known.record.state == ServerState::Gone;
        if ended || sequence <= known.record.announced.sequence {
            return Heard::Late;
        }
        known.record.announced.sequence = sequence;
        known.heard = now;
        let returned = std::mem::replace(&mut known.record.silent, false);
        if returned { Heard::Changed } else { Heard::Same }
    }

    /// Returns what other control VMs have to be told: changed records, and servers that have
    /// announced themselves without a change, with the number of the announcement.
    pub fn take_fresh(&mut self) -> (Vec<ServerRecord>, Vec<(u64, u64)>) {
        let (mut records, mut alive) = (Vec::new(), Vec::new());
        for known in self.servers.values_mut() {
            match known.fresh.take() {
                Some(Heard::Changed) => records.push(known.record.clone()),
                Some(_) => alive.push((known.record.announced.id, known.record.announced.sequence)),
                None => {}
            }
        }
        (records, alive)
    }

    /// Leaves out of every server's silence the time in which this VM stood still and heard nobody.
    fn skip_pause(&mut self, now: Time) {
        let pause = self.judged.map_or(Duration::ZERO, |judged| now.since(judged));
        self.judged = Some(now);
        if pause >= self.period {
            self.servers.values_mut().for_each(|known| known.heard = now.min(known.heard + pause));
        }
    }

    /// Notes which servers have fallen silent or lost their address; returns the changed records.
    pub fn tick(&mut self, now: Time) -> Vec<ServerRecord> {
        self.skip_pause(now);
        let limit = self.period * MISSED;
        let sure = self.age(now) >= limit;
        let mut changed = Vec::new();
        for known in self.servers.values_mut() {
            let before = known.record.clone();
            let ended = known.record.state == ServerState::Gone;
            known.record.silent = !ended && sure && now.since(known.heard) >= limit;
            let own = &known.record.announced;
            if self.latest.get(&own.addr).is_some_and(|&(born, id)| born > own.born && id != own.id)
            {
                known.record.state = ServerState::Gone;
            }
            if known.record != before {
                changed.push(known.record.clone());
            }
        }
        self.servers.retain(|_, known| now.since(known.heard) < REMEMBERED);
        let servers = &self.servers;
        self.latest.retain(|_, (_, id)| servers.contains_key(id));
        changed
    }
}
