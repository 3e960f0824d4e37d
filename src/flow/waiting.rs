//! Holds packets while former owners are asked for the record of their flow.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    flow::{Packet, record::RecordKey},
    name::Name,
    time::Time,
};

/// Maximum number of held packets.
const MAX_HELD_PACKETS: usize = 1_024;

/// Maximum number of held packets of one flow.
const MAX_HELD_PER_FLOW: usize = 8;

/// Time after which an unanswered lookup is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a lookup is abandoned and its packets are dropped; callers retransmit.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct PendingLookup {
    asked: BTreeSet<Name>,
    started: Time,
    last_asked: Time,
    packets: Vec<Packet>,
}

/// Result of a periodic check of the pending lookups.
#[derive(Debug, Default)]
pub(crate) struct DueLookups {
    /// Lookups to repeat, each with the VM to ask.
    pub(crate) repeat: Vec<(Name, RecordKey)>,
    /// Packets of flows for which no VM has a record.
    pub(crate) unrecorded: Vec<Packet>,
    /// Number of packets dropped after the time limit.
    pub(crate) dropped: usize,
}

/// Pending lookups by flow.
#[derive(Debug, Default)]
pub(crate) struct PendingLookups {
    lookups: BTreeMap<RecordKey, PendingLookup>,
    held_packets: usize,
}

impl PendingLookups {
    /// Holds `packet` until `asked` have answered. Returns the VMs to ask now, which are none if
    /// the flow already has a lookup, or `None` if there is no room.
    pub(crate) fn hold(
        &mut self,
        now: Time,
        packet: Packet,
        asked: BTreeSet<Name>,
    ) -> Option<BTreeSet<Name>> {
        if self.held_packets >= MAX_HELD_PACKETS {
            return None;
        }
        if let Some(lookup) = self.lookups.get_mut(&packet.key) {
            if lookup.packets.len() >= MAX_HELD_PER_FLOW {
                return None;
            }
            lookup.packets.push(packet);
            self.held_packets += 1;
            return Some(BTreeSet::new());
        }
        let key = packet.key.clone();
        let lookup = PendingLookup {
            asked: asked.clone(),
            started: now,
            last_asked: now,
            packets: vec![packet],
        };
        self.lookups.insert(key, lookup);
        self.held_packets += 1;
        Some(asked)
    }

    /// Ends the lookup of a flow and returns its packets.
    pub(crate) fn finish(&mut self, key: &RecordKey) -> Vec<Packet> {
        let packets = self.lookups.remove(key).map(|lookup| lookup.packets);
        let packets = packets.unwrap_or_default();
        self.held_packets -= packets.len();
        packets
    }

    /// Records that `from` has no record; returns the packets once all VMs have answered.
    pub(crate) fn record_miss(&mut self, key: &RecordKey, from: &Name) -> Vec<Packet> {
        let Some(lookup) = self.lookups.get_mut(key) else { return Vec::new() };
        lookup.asked.remove(from);
        if lookup.asked.is_empty() { self.finish(key) } else { Vec::new() }
    }

    /// Repeats and abandons lookups that are due; VMs for which `is_live` is false are no longer
    /// waited for.
    pub(crate) fn tick(&mut self, now: Time, is_live: impl Fn(&Name) -> bool) -> DueLookups {
        let mut due = DueLookups::default();
        let keys: Vec<_> = self.lookups.keys().cloned().collect();
        for key in keys {
            let Some(lookup) = self.lookups.get_mut(&key) else { continue };
            lookup.asked.retain(&is_live);
            if lookup.asked.is_empty() {
                due.unrecorded.extend(self.finish(&key));
            } else if now.since(lookup.started) >= LOOKUP_TIMEOUT {
                due.dropped += self.finish(&key).len();
            } else if now.since(lookup.last_asked) >= RETRY_INTERVAL {
                lookup.last_asked = now;
                due.repeat.extend(lookup.asked.iter().map(|vm| (vm.clone(), key.clone())));
            }
        }
        due
    }
}
