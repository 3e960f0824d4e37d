//! Transfer of flow records between VMs when ownership changes: planned leave, failure and join.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    entry::{EntryContext, EntryMessage, FLOWS, MEMBERS},
    flow::{
        FlowMessage,
        outbox::RecordGroup,
        ownership::owners_in,
        record::{Record, RecordKey},
        service::{Flows, send_to_peer},
    },
    member::View,
    name::Name,
    time::Time,
};

/// Time without a batch after which a VM that announced more records is no longer waited for.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Progress of the record transfers of this VM, used for readiness and for a planned stop.
///
/// A starting VM is announced as not ready until `records_received` is true, which is also reported
/// to the membership service. A stopping VM is first announced as not ready and leaves once
/// `records_sent` is true.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Handover {
    /// This VM is ready, or every other ready VM in the view has sent it the records of the buckets
    /// that it will own.
    pub(crate) records_received: bool,
    /// All records that this VM had to send have been acknowledged.
    pub(crate) records_sent: bool,
}

/// State of the record transfers from other VMs to this one.
#[derive(Debug, Default)]
pub(crate) struct InboundTransfers {
    remaining: BTreeMap<Name, (u32, Time)>,
    completed: BTreeSet<Name>,
    was_ready: bool,
}

impl InboundTransfers {
    /// Marks the transfer from `vm` as complete.
    pub(crate) fn complete(&mut self, vm: Name) {
        self.completed.insert(vm);
    }

    /// Returns whether another VM still has records to send to this one.
    fn is_receiving(&self, now: Time) -> bool {
        self.remaining
            .values()
            .any(|&(remaining, at)| remaining > 0 && now.since(at) < TRANSFER_TIMEOUT)
    }
}

impl Flows {
    /// Applies a new membership view and queues records for VMs that have become owners of shards.
    pub(super) fn apply_view(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        if cx.shared.view.version == self.ownership.view().version {
            return;
        }
        let view = cx.shared.view.clone();
        let Some(previous) = self.ownership.update_view(now, &view) else { return };
        let is_live = |vm: &Name| view.members.contains_key(vm);
        self.outbox.retain(is_live);
        self.inbound.remaining.retain(|vm, _| is_live(vm));
        self.inbound.completed.retain(is_live);
        let ready = view.members.values().filter(|member| member.ready);
        let joined: BTreeSet<_> =
            ready.map(|m| m.name.clone()).filter(|vm| self.outbox.finish_join(vm)).collect();
        self.queue_transfers(now, &previous, &joined, &cx.shared.me.name);
        cx.shared.handover.records_sent = self.outbox.is_empty();
    }

    /// Queues the records of each shard whose owners changed, if this VM is responsible for sending
    /// them: it was the first owner, or the second owner and the first one has failed.
    fn queue_transfers(&mut self, now: Time, previous: &View, joined: &BTreeSet<Name>, me: &Name) {
        let shards: Vec<_> = self.records.shards().cloned().collect();
        for shard in shards {
            let old = owners_in(previous, &shard);
            let new = self.ownership.owners(&shard);
            if old == new {
                continue;
            }
            self.settler.reset(&shard);
            if new.first.as_ref() == Some(me) {
                self.records.mark_seen(&shard, now);
            }
            let is_live = |vm: &&Name| self.ownership.view().members.contains_key(*vm);
            let sender = old.iter().find(is_live);
            if sender != Some(me) {
                continue;
            }
            for vm in new.iter() {
                if vm != me && !old.contains(vm) && !joined.contains(vm) {
                    self.outbox.push_bulk(vm, self.records.keys(&shard));
                }
            }
        }
    }

    /// Queues a new record for the other owner and for joining VMs.
    pub(super) fn replicate(&mut self, key: &RecordKey) {
        for vm in self.replication_targets(key) {
            self.outbox.push(&vm, key.clone());
        }
    }

    /// Queues the removal of a record at the lowest priority.
    pub(super) fn replicate_removal(&mut self, key: RecordKey) {
        for vm in self.replication_targets(&key) {
            self.outbox.push_bulk(&vm, [key.clone()]);
        }
    }

    fn replication_targets(&mut self, key: &RecordKey) -> BTreeSet<Name> {
        let owners = self.ownership.owners(&key.shard);
        let joining = self.outbox.joining().filter(|vm| self.ownership.would_own(vm, &key.shard));
        let mut vms: BTreeSet<_> = joining.cloned().collect();
        vms.extend(owners.iter().filter(|vm| *vm != self.ownership.me()).cloned());
        vms
    }

    /// Stores replicated records. In shards that this VM owns as first owner, existing records are
    /// kept and removals are ignored.
    pub(super) fn store_records(
        &mut self,
        now: Time,
        from: &Name,
        remaining: u32,
        groups: Vec<RecordGroup>,
        cx: &EntryContext<'_>,
    ) {
        self.inbound.remaining.insert(from.clone(), (remaining, now));
        for group in groups {
            for (caller, position) in group.flows {
                let Some(key) = self.record_key(&group.service, caller, cx) else { continue };
                let Some(&server) = group.servers.get(usize::from(position)) else { continue };
                let is_first_owner = self.ownership.is_first_owner(&key.shard);
                if !is_first_owner || self.records.get(&key).is_none() {
                    self.records.insert(&key, Record { server, last_seen: now });
                }
                if is_first_owner {
                    self.replicate(&key);
                }
            }
            for caller in group.ended {
                let Some(key) = self.record_key(&group.service, caller, cx) else { continue };
                if !self.ownership.is_first_owner(&key.shard) {
                    self.records.remove(&key);
                }
            }
        }
    }

    /// Handles a pull request from a joining VM: queues the records of the shards that it will own.
    ///
    /// A VM that is not in the view yet is ignored and has to ask again, because its future shards
    /// cannot be determined.
    pub(super) fn handle_pull(&mut self, from: &Name) {
        if !self.ownership.view().members.contains_key(from) || self.outbox.start_join(from) {
            return;
        }
        let shards: Vec<_> = self.records.shards().cloned().collect();
        for shard in shards {
            if self.ownership.is_first_owner(&shard) && self.ownership.would_own(from, &shard) {
                self.outbox.push_bulk(from, self.records.keys(&shard));
            }
        }
    }

    /// Tells joining VMs that their transfer is complete, and requests records while this VM is
    /// joining itself.
    pub(super) fn update_handover(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        self.ownership.expire_views(now, self.inbound.is_receiving(now));
        let done: Vec<_> =
            self.outbox.joining().filter(|vm| self.outbox.is_drained(vm)).cloned().collect();
        for vm in done {
            send_to_peer(vm, FlowMessage::PullComplete, cx);
        }
        let is_ready = self.ownership.is_ready();
        self.inbound.was_ready |= is_ready;
        let me = cx.shared.me.name.clone();
        let view = self.ownership.view();
        let others = view.members.values().filter(|member| member.ready && member.name != me);
        let missing: Vec<_> = others
            .map(|member| member.name.clone())
            .filter(|vm| !self.inbound.completed.contains(vm))
            .collect();
        cx.shared.handover = Handover {
            records_received: is_ready || missing.is_empty(),
            records_sent: self.outbox.is_empty(),
        };
        if !is_ready && !self.inbound.was_ready {
            if missing.is_empty() && cx.shared.view.members.len() > 1 {
                let sent = cx.send(MEMBERS, EntryMessage::Ready(FLOWS));
                debug_assert!(sent.is_ok(), "the service is registered in EntryNode::new");
            }
            missing.into_iter().for_each(|vm| send_to_peer(vm, FlowMessage::PullRecords, cx));
        }
    }
}
