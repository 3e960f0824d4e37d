//! Replicates flow records to other VMs: batched, retransmitted until acknowledged, and limited to
//! a fixed rate.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    flow::{
        FlowMessage,
        record::{RecordKey, Records},
    },
    name::Name,
    time::Time,
};

/// Interval between two batches to the same VM. A record younger than this can be lost with its
/// owner.
pub(crate) const REPLICATION_INTERVAL: Duration = Duration::from_millis(200);

/// Rate limit on the records that one VM sends, in bytes per second; keeps within the bandwidth
/// budget for control traffic.
const MAX_BYTES_PER_S: u64 = 2_048;

/// Maximum size of the records in a batch, in bytes.
const MAX_BATCH_BYTES: u64 = 1_024;

/// Overhead of a batch in bytes: sequence number, service and servers.
const BATCH_OVERHEAD_BYTES: u64 = 40;

/// Time after which an unacknowledged batch is retransmitted.
const RESEND_TIMEOUT: Duration = Duration::from_millis(300);

const MICROS_PER_S: u64 = 1_000_000;

/// Records of one service in a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecordGroup {
    /// Name of the service.
    pub service: Name,
    /// Identifiers of the backend servers that `flows` refers to.
    pub servers: Vec<u32>,
    /// Callers, each with the index of its backend server in `servers`.
    pub flows: Vec<(SocketAddr, u8)>,
    /// Callers whose records have been removed.
    pub ended: Vec<SocketAddr>,
}

#[derive(Debug, Default)]
struct PeerQueue {
    new_records: BTreeSet<RecordKey>,
    bulk: BTreeSet<RecordKey>,
    in_flight: Option<InFlight>,
    is_joining: bool,
    next_batch: Time,
}

impl PeerQueue {
    fn is_empty(&self) -> bool {
        self.new_records.is_empty() && self.bulk.is_empty() && self.in_flight.is_none()
    }
}

#[derive(Debug)]
struct InFlight {
    serial: u32,
    sent_at: Time,
    message: FlowMessage,
}

/// Replication queues, one per receiving VM, with a shared rate limit.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    queues: BTreeMap<Name, PeerQueue>,
    serial: u32,
    tokens: u64,
    refilled_at: Time,
    last_served: Option<Name>,
}

impl Outbox {
    /// Queues a new record, ahead of bulk transfers.
    pub(crate) fn push(&mut self, vm: &Name, key: RecordKey) {
        self.queues.entry(vm.clone()).or_default().new_records.insert(key);
    }

    /// Queues records at low priority: those that `vm` lacks after a change of owners, and
    /// removals.
    pub(crate) fn push_bulk(&mut self, vm: &Name, keys: impl IntoIterator<Item = RecordKey>) {
        self.queues.entry(vm.clone()).or_default().bulk.extend(keys);
    }

    /// Marks `vm` as joining; returns whether it was marked already.
    pub(crate) fn start_join(&mut self, vm: &Name) -> bool {
        let queue = self.queues.entry(vm.clone()).or_default();
        std::mem::replace(&mut queue.is_joining, true)
    }

    /// Marks `vm` as no longer joining; returns whether it was.
    pub(crate) fn finish_join(&mut self, vm: &Name) -> bool {
        self.queues.get_mut(vm).is_some_and(|queue| std::mem::take(&mut queue.is_joining))
    }

    /// Iterates over the joining VMs.
    pub(crate) fn joining(&self) -> impl Iterator<Item = &Name> {
        self.queues.iter().filter(|(_, queue)| queue.is_joining).map(|(vm, _)| vm)
    }

    /// Returns whether `vm` has acknowledged everything that was queued for it.
    pub(crate) fn is_drained(&self, vm: &Name) -> bool {
        self.queues.get(vm).is_none_or(PeerQueue::is_empty)
    }

    /// Returns whether every VM has acknowledged everything that was queued for it.
    pub(crate) fn is_empty(&self) -> bool {
        self.queues.values().all(PeerQueue::is_empty)
    }

    /// Drops the queues of VMs for which `is_live` is false.
    pub(crate) fn retain(&mut self, is_live: impl Fn(&Name) -> bool) {
        self.queues.retain(|vm, _| is_live(vm));
    }

    /// Handles the acknowledgement of the batch `serial` by `vm`.
    pub(crate) fn acknowledge(&mut self, vm: &Name, serial: u32) {
        let Some(queue) = self.queues.get_mut(vm) else { return };
        queue.in_flight.take_if(|batch| batch.serial == serial);
    }

    /// Returns the batches that are due, each with its receiver.
    pub(crate) fn flush(&mut self, now: Time, records: &Records) -> Vec<(Name, FlowMessage)> {
        let gained =
            now.since(self.refilled_at).as_micros() as u64 * MAX_BYTES_PER_S / MICROS_PER_S;
        if gained > 0 {
            self.refilled_at = now;
            self.tokens = (self.tokens + gained).min(MAX_BYTES_PER_S);
        }
        let mut out = Vec::new();
        for vm in self.round_robin() {
            if self.tokens < BATCH_OVERHEAD_BYTES * 2 {
                break;
            }
            if let Some(message) = self.next_batch(now, &vm, records) {
                self.last_served = Some(vm.clone());
                out.push((vm, message));
            }
        }
        out
    }

    /// Returns the VMs in round-robin order, starting after the one served last.
    fn round_robin(&self) -> Vec<Name> {
        let (head, tail): (Vec<_>, Vec<_>) = self
            .queues
            .keys()
            .cloned()
            .partition(|vm| self.last_served.as_ref().is_none_or(|last| vm > last));
        head.into_iter().chain(tail).collect()
    }

    fn next_batch(&mut self, now: Time, vm: &Name, records: &Records) -> Option<FlowMessage> {
        let queue = self.queues.get_mut(vm)?;
        if let Some(batch) = &mut queue.in_flight {
            if now.since(batch.sent_at) < RESEND_TIMEOUT {
                return None;
            }
            batch.sent_at = now;
            self.tokens = self.tokens.saturating_sub(BATCH_OVERHEAD_BYTES);
            return Some(batch.message.clone());
        }
        if queue.is_empty() || now < queue.next_batch {
            return None;
        }
        let mut room = self.tokens.min(MAX_BATCH_BYTES).saturating_sub(BATCH_OVERHEAD_BYTES);
        let mut groups = Vec::new();
        while let Some(key) = queue.new_records.pop_first().or_else(|| queue.bulk.pop_first()) {
            let cost = record_cost(&key.caller);
            if room < cost {
                queue.new_records.insert(key);
                break;
            }
            room -= cost;
            self.tokens = self.tokens.saturating_sub(cost);
            add_to_group(&mut groups, key, records);
        }
        self.tokens = self.tokens.saturating_sub(BATCH_OVERHEAD_BYTES);
        self.serial = self.serial.wrapping_add(1);
        let remaining = (queue.new_records.len() + queue.bulk.len()) as u32;
        let message = FlowMessage::Records { serial: self.serial, remaining, groups };
        queue.next_batch = now + REPLICATION_INTERVAL;
        queue.in_flight =
            Some(InFlight { serial: self.serial, sent_at: now, message: message.clone() });
        Some(message)
    }
}

fn record_cost(caller: &SocketAddr) -> u64 {
    if caller.is_ipv4() { 10 } else { 22 }
}

/// Adds the record of `key` to the group of its service, or its removal if there is no record.
fn add_to_group(groups: &mut Vec<RecordGroup>, key: RecordKey, records: &Records) {
    let RecordKey { shard, caller } = &key;
    let is_open = |group: &RecordGroup| {
        group.service == shard.service && group.servers.len() < usize::from(u8::MAX)
    };
    let position = groups.iter().position(is_open).unwrap_or_else(|| {
        let service = shard.service.clone();
        let (servers, flows, ended) = (Vec::new(), Vec::new(), Vec::new());
        groups.push(RecordGroup { service, servers, flows, ended });
        groups.len() - 1
    });
    let group = &mut groups[position];
    let Some(record) = records.get(&key) else {
        group.ended.push(*caller);
        return;
    };
    let server = group.servers.iter().position(|&id| id == record.server).unwrap_or_else(|| {
        group.servers.push(record.server);
        group.servers.len() - 1
    });
    group.flows.push((*caller, server as u8));
}
