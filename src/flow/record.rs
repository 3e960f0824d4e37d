//! Records of tracked flows.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{name::Name, time::Time};

/// Maximum number of records on one VM.
pub(crate) const MAX_RECORDS: usize = 131_072;

/// Memory used by a record and its key within its shard, in bytes.
pub const RECORD_LEN: usize = size_of::<(SocketAddr, Record)>();

/// One bucket of one service, the unit of ownership.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Shard {
    pub(crate) service: Name,
    pub(crate) bucket: u16,
}

/// Identifies a tracked flow.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RecordKey {
    pub(crate) shard: Shard,
    pub(crate) caller: SocketAddr,
}

/// The backend server of a tracked flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Record {
    /// Identifier of the backend server.
    pub(crate) server: u32,
    /// Time of the last packet, or of the arrival of the record on this VM.
    pub(crate) last_seen: Time,
}

/// The flow records of one VM, at most [`MAX_RECORDS`].
#[derive(Debug, Default)]
pub(crate) struct Records {
    shards: BTreeMap<Shard, BTreeMap<SocketAddr, Record>>,
    len: usize,
}

impl Records {
    pub(crate) fn get(&self, key: &RecordKey) -> Option<&Record> {
        self.shards.get(&key.shard)?.get(&key.caller)
    }

    pub(crate) fn get_mut(&mut self, key: &RecordKey) -> Option<&mut Record> {
        self.shards.get_mut(&key.shard)?.get_mut(&key.caller)
    }

    /// Stores a record; returns false if the limit is reached and the flow has no record yet.
    pub(crate) fn insert(&mut self, key: &RecordKey, record: Record) -> bool {
        if self.len >= MAX_RECORDS && self.get(key).is_none() {
            return false;
        }
        let records = self.shards.entry(key.shard.clone()).or_default();
        self.len += usize::from(records.insert(key.caller, record).is_none());
        true
    }

    pub(crate) fn remove(&mut self, key: &RecordKey) {
        let Some(records) = self.shards.get_mut(&key.shard) else { return };
        self.len -= usize::from(records.remove(&key.caller).is_some());
        if records.is_empty() {
            self.shards.remove(&key.shard);
        }
    }

    /// Removes the records of all shards for which `keep` is false.
    pub(crate) fn retain_shards(&mut self, mut keep: impl FnMut(&Shard) -> bool) {
        self.shards.retain(|shard, _| keep(shard));
        self.len = self.shards.values().map(BTreeMap::len).sum();
    }

    /// Returns the flows of `shard` that have been idle for at least `idle`.
    pub(crate) fn idle_flows(&self, shard: &Shard, now: Time, idle: Duration) -> Vec<RecordKey> {
        let records = self.shards.get(shard).into_iter().flatten();
        let ended = records.filter(|(_, record)| now.since(record.last_seen) >= idle);
        ended.map(|(&caller, _)| RecordKey { shard: shard.clone(), caller }).collect()
    }

    /// Sets the time of the last packet of all flows of `shard` to `now`.
    pub(crate) fn mark_seen(&mut self, shard: &Shard, now: Time) {
        let records = self.shards.get_mut(shard).into_iter().flatten();
        records.for_each(|(_, record)| record.last_seen = now);
    }

    /// Iterates over the shards that have records.
    pub(crate) fn shards(&self) -> impl Iterator<Item = &Shard> {
        self.shards.keys()
    }

    /// Iterates over the tracked flows of `shard`.
    pub(crate) fn keys(&self, shard: &Shard) -> impl Iterator<Item = RecordKey> + use<'_> {
        let shard = shard.clone();
        let callers = self.shards.get(&shard).into_iter().flat_map(|records| records.keys());
        callers.map(move |&caller| RecordKey { shard: shard.clone(), caller })
    }
}
