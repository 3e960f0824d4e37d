//! Servers that wait for a configuration that names their service.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{LeaveOutcome, UpdateOutcome};
use crate::{
    cookie::record::{ServerRecord, ServerState},
    name::Name,
    time::Time,
};

/// Limit on records that wait, so that invented servers neither fill the memory nor overflow the names
/// of a batch of records; above the design size of the system, as all servers wait for its first
/// configuration.
const MAX_WAITING: usize = 10_000;

#[derive(Debug, Clone)]
struct Waiting {
    record: ServerRecord,
    last_heard: Time,
    /// Whether this VM has received it from the server, and passes it on once it is registered.
    forward: bool,
    /// Whether it has yet to be sent to other control VMs, so that all register it at once.
    pending: bool,
}

/// Records set aside because no known configuration names their service.
///
/// Anyone may announce a service that does not exist, also under the number of a server that lives:
/// records under one number are kept apart by service.
#[derive(Debug, Clone, Default)]
pub(super) struct SetAside {
    servers: BTreeMap<(u64, Name), Waiting>,
}

impl SetAside {
    pub(super) fn len(&self) -> usize {
        self.servers.len()
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.find(id).is_some()
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values().map(|server| &server.record)
    }

    /// Sets a record aside, unless one as new is held or too many servers wait.
    pub(super) fn insert(
        &mut self,
        now: Time,
        record: ServerRecord,
        forward: bool,
    ) -> UpdateOutcome {
        let key = (record.announcement.id, record.announcement.service.clone());
        let before = self.servers.get(&key);
        if before.is_some_and(|before| record.version() <= before.record.version())
            || (before.is_none() && self.servers.len() >= MAX_WAITING)
        {
            return UpdateOutcome::Outdated;
        }
        let changed = before.is_none_or(|before| record.is_change(&before.record));
        let pending = forward && changed || before.is_some_and(|before| before.pending);
        let forward = forward || before.is_some_and(|before| before.forward);
        self.servers.insert(key, Waiting { record, last_heard: now, forward, pending });
        UpdateOutcome::Unnamed
    }

    /// Removes the records under a number.
    pub(super) fn remove(&mut self, id: u64) {
        while let Some(key) = self.find(id) {
            self.servers.remove(&key);
        }
    }

    fn find(&self, id: u64) -> Option<(u64, Name)> {
        // Most of the time, no server waits.
        if self.servers.is_empty() {
            return None;
        }
        let (first, _) = self.servers.range((id, Name::from(""))..).next()?;
        (first.0 == id).then(|| first.clone())
    }

    /// Removes the records of `services`, with their remaining warm-up and whether they have to be
    /// passed on.
    pub(super) fn take_named(
        &mut self,
        now: Time,
        services: &BTreeSet<Name>,
    ) -> Vec<(ServerRecord, bool)> {
        let named = self.servers.extract_if(.., |(_, service), _| services.contains(service));
        let updated = named.map(|(_, Waiting { mut record, last_heard, forward, .. })| {
            let announcement = &mut record.announcement;
            announcement.warmup_left = (last_heard + announcement.warmup_left).since(now);
            (record, forward)
        });
        updated.collect()
    }

    /// Marks the servers under a number that drain as gone; returns the last of them.
    pub(super) fn leave(&mut self, now: Time, id: u64) -> LeaveOutcome {
        let mut outcome = LeaveOutcome::Unknown;
        let Some(first) = self.find(id) else { return outcome };
        for (_, server) in self.servers.range_mut(first..).take_while(|((key, _), _)| *key == id) {
            if server.record.state != ServerState::Ready {
                server.record.state = ServerState::Gone;
                (server.last_heard, server.forward) = (now, true);
                outcome = LeaveOutcome::Ended(server.record.clone());
            } else if outcome == LeaveOutcome::Unknown {
                outcome = LeaveOutcome::NotDraining;
            }
        }
        outcome
    }

    /// Takes the records that have yet to be sent to other control VMs.
    pub(super) fn take_pending(&mut self) -> Vec<ServerRecord> {
        let pending = self.servers.values_mut().filter_map(|server| {
            std::mem::take(&mut server.pending).then(|| server.record.clone())
        });
        pending.collect()
    }

    /// Removes records not heard of for `limit`.
    pub(super) fn expire(&mut self, now: Time, limit: Duration) {
        self.servers.retain(|_, server| now.since(server.last_heard) < limit);
    }
}
