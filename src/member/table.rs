//! Table of all membership records, with a digest for each availability zone.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
    time::Duration,
};

use siphasher::sip::SipHasher13;

use crate::{
    member::{Member, MemberRecord, ZoneReach},
    name::Name,
    time::Time,
};

/// Maximum number of records.
const MAX_RECORDS: usize = 4096;

/// Time for which the record of a VM that is gone is kept, so that an old report does not bring it
/// back.
const TOMBSTONE_TTL: Duration = Duration::from_secs(2 * 3_600);

/// Result of merging a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The record is new or supersedes the known one.
    Updated,
    /// The known record takes precedence or is the same.
    Unchanged,
    /// The table is full.
    Full,
}

struct Entry {
    record: MemberRecord,
    updated_at: Time,
}

/// The membership records of all VMs.
pub(crate) struct Table {
    entries: BTreeMap<Name, Entry>,
    digests: BTreeMap<Name, u64>,
}

impl Table {
    pub(crate) fn new() -> Table {
        Table { entries: BTreeMap::new(), digests: BTreeMap::new() }
    }

    pub(crate) fn get(&self, vm: &str) -> Option<&MemberRecord> {
        self.entries.get(vm).map(|entry| &entry.record)
    }

    /// Inserts `record` unless the known one takes precedence.
    pub(crate) fn merge(&mut self, now: Time, record: MemberRecord) -> MergeOutcome {
        let name = record.member.name.clone();
        let known = self.get(&name);
        if known.is_some_and(|known| !record.supersedes(known)) {
            return MergeOutcome::Unchanged;
        }
        if known.is_none() && !self.make_room() {
            return MergeOutcome::Full;
        }
        self.update_digest(&record, true);
        if let Some(old) = self.entries.insert(name, Entry { record, updated_at: now }) {
            self.update_digest(&old.record, false);
        }
        MergeOutcome::Updated
    }

    /// Removes records of VMs that have been gone for longer than [`TOMBSTONE_TTL`].
    pub(crate) fn expire(&mut self, now: Time) {
        self.entries.retain(|_, entry| {
            entry.record.is_alive() || now.since(entry.updated_at) < TOMBSTONE_TTL
        });
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &MemberRecord> + Clone {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Iterates over the records of an availability zone by name, including those of VMs that are
    /// gone.
    pub(crate) fn zone_records<'a>(
        &'a self,
        zone: &'a str,
    ) -> impl Iterator<Item = &'a MemberRecord> {
        self.records().filter(move |record| &*record.member.zone == zone)
    }

    /// Iterates over the live VMs of an availability zone by name.
    pub(crate) fn live_members<'a>(
        &'a self,
        zone: &'a str,
    ) -> impl Iterator<Item = &'a Member> + Clone {
        let in_zone = self.records().filter(move |record| &*record.member.zone == zone);
        in_zone.filter(|record| record.is_alive()).map(|record| &record.member)
    }

    /// Returns the head of an availability zone. It is the same VM as in [`crate::View::head`] if
    /// the zone is reachable.
    pub(crate) fn head<'a>(&'a self, zone: &'a str) -> Option<&'a Member> {
        let mut live = self.live_members(zone);
        let first = live.clone().next();
        live.find(|member| member.ready).or(first)
    }

    /// Returns the availability zones that have at least one live VM.
    pub(crate) fn live_zones(&self) -> BTreeSet<Name> {
        let live = self.records().filter(|record| record.is_alive());
        live.map(|record| record.member.zone.clone()).collect()
    }

    /// Returns the digests of the live VMs by availability zone.
    pub(crate) fn digests(&self) -> &BTreeMap<Name, u64> {
        &self.digests
    }

    /// Returns the digest of the live VMs of one availability zone.
    pub(crate) fn digest(&self, zone: &str) -> u64 {
        self.digests.get(zone).copied().unwrap_or_default()
    }

    /// Returns a digest of all live VMs and of the version and author of `reach`.
    pub(crate) fn full_digest(&self, reach: &ZoneReach) -> u64 {
        let mut hasher = SipHasher13::new();
        for (zone, digest) in &self.digests {
            hasher.write(zone.as_bytes());
            hasher.write_u64(*digest);
        }
        hasher.write_u64(reach.version);
        hasher.write(reach.author.as_bytes());
        hasher.finish()
    }

    fn make_room(&mut self) -> bool {
        if self.entries.len() < MAX_RECORDS {
            return true;
        }
        let gone = self.entries.iter().filter(|(_, entry)| !entry.record.is_alive());
        let Some(oldest) =
            gone.min_by_key(|(_, entry)| entry.updated_at).map(|(name, _)| name.clone())
        else {
            return false;
        };
        self.entries.remove(&oldest);
        true
    }

    /// Adds the hash of a live VM to the digest of its zone, or subtracts it. The digest is a sum,
    /// so that it does not depend on the order of changes.
    fn update_digest(&mut self, record: &MemberRecord, add: bool) {
        if !record.is_alive() {
            return;
        }
        let zone = record.member.zone.clone();
        let digest = self.digests.entry(zone.clone()).or_default();
        let hash = live_hash(record);
        *digest = if add { digest.wrapping_add(hash) } else { digest.wrapping_sub(hash) };
        if *digest == 0 {
            self.digests.remove(&zone);
        }
    }
}

fn live_hash(record: &MemberRecord) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(record.member.name.as_bytes());
    hasher.write_u64(record.member.incarnation);
    hasher.write_u32(record.renewal);
    hasher.finish()
}
