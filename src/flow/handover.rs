//! Records on their way between VMs when owners change: planned leave, loss and joining.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    entry::{EntryContext, EntryMessage, FLOWS, MEMBERS},
    flow::{
        FlowMessage,
        outbox::Group,
        ownership::owners_in,
        record::{Record, RecordKey},
        service::{Flows, to_peer},
    },
    member::View,
    name::Name,
    time::Time,
};

/// Silence after which a VM that had more records to send is not waited for.
const FEED_LIMIT: Duration = Duration::from_secs(5);

/// Whether the records of tracked flows are where they have to be, for the membership service and
/// for a planned stop.
///
/// A VM that starts is announced as not ready until `held` is true; the membership service is told
/// then. A VM that is to stop is first announced as not ready, and leaves once `handed` is true.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Handover {
    /// Every ready VM of the view has sent this VM the records of the buckets that it would own.
    pub(crate) held: bool,
    /// No other VM lacks records that this VM has to send.
    pub(crate) handed: bool,
}

/// What other VMs send this one.
#[derive(Debug, Default)]
pub(crate) struct Feeds {
    left: BTreeMap<Name, (u32, Time)>,
    ended: BTreeSet<Name>,
    was_ready: bool,
}

impl Feeds {
    /// Notes that `vm` has sent all that this VM would own.
    pub(crate) fn end(&mut self, vm: Name) {
        self.ended.insert(vm);
    }

    /// Returns whether records are on their way to this VM.
    fn is_fed(&self, now: Time) -> bool {
        self.left.values().any(|&(left, at)| left > 0 && now.since(at) < FEED_LIMIT)
    }
}

impl Flows {
    /// Takes over a change of the view: sends records to VMs that own shards now.
    pub(super) fn follow_view(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        if cx.shared.view.version == self.ownership.view().version {
            return;
        }
        let view = cx.shared.view.clone();
        let Some(was) = self.ownership.observe(now, &view) else { return };
        let is_live = |vm: &Name| view.members.contains_key(vm);
        self.outbox.retain(is_live);
        self.feeds.left.retain(|vm, _| is_live(vm));
        self.feeds.ended.retain(is_live);
        let ready = view.members.values().filter(|member| member.ready);
        let joined: BTreeSet<_> =
            ready.map(|m| m.name.clone()).filter(|vm| self.outbox.joined(vm)).collect();
        self.hand_over(now, &was, &joined, &cx.shared.me.name);
        cx.shared.handover.handed = self.outbox.is_empty();
    }

    /// Queues the records of each shard whose owners changed, if this VM has to send them:
    /// as its earlier owner, or as the second owner where that one is lost.
    fn hand_over(&mut self, now: Time, was: &View, joined: &BTreeSet<Name>, me: &Name) {
        let shards: Vec<_> = self.records.shards().cloned().collect();
        for shard in shards {
            let old = owners_in(was, &shard);
            let new = self.ownership.owners(&shard);
            if old == new {
                continue;
            }
            self.settler.reset(&shard);
            if new.first.as_ref() == Some(me) {
                self.records.renew(&shard, now);
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

    /// Queues a new record for the other owner and for VMs that join.
    pub(super) fn replicate(&mut self, key: &RecordKey) {
        for vm in self.replicas(key) {
            self.outbox.push(&vm, key.clone());
        }
    }

    /// Queues the end of a record, after everything else.
    pub(super) fn replicate_end(&mut self, key: RecordKey) {
        for vm in self.replicas(&key) {
            self.outbox.push_bulk(&vm, [key.clone()]);
        }
    }

    fn replicas(&mut self, key: &RecordKey) -> BTreeSet<Name> {
        let owners = self.ownership.owners(&key.shard);
        let joining = self.outbox.joining().filter(|vm| self.ownership.would_own(vm, &key.shard));
        let mut vms: BTreeSet<_> = joining.cloned().collect();
        vms.extend(owners.iter().filter(|vm| *vm != self.ownership.me()).cloned());
        vms
    }

    /// Stores copies of records; those of shards that this VM owns itself do not replace its own.
    pub(super) fn take_records(
        &mut self,
        now: Time,
        from: &Name,
        left: u32,
        groups: Vec<Group>,
        cx: &EntryContext<'_>,
    ) {
        self.feeds.left.insert(from.clone(), (left, now));
        for group in groups {
            for (caller, position) in group.flows {
                let Some(key) = self.key(&group.service, caller, cx) else { continue };
                let Some(&server) = group.servers.get(usize::from(position)) else { continue };
                let is_mine = self.ownership.is_mine(&key.shard);
                if !is_mine || self.records.get(&key).is_none() {
                    self.records.insert(&key, Record { server, seen: now });
                }
                if is_mine {
                    self.replicate(&key);
                }
            }
            for caller in group.ended {
                let Some(key) = self.key(&group.service, caller, cx) else { continue };
                if !self.ownership.is_mine(&key.shard) {
                    self.records.remove(&key);
                }
            }
        }
    }

    /// Answers a VM that joins: queues the records of the shards that it would own.
    ///
    /// One that this VM does not know yet asks again: which shards it would own cannot be told.
    pub(super) fn pulled(&mut self, from: &Name) {
        if !self.ownership.view().members.contains_key(from) || self.outbox.join(from) {
            return;
        }
        let shards: Vec<_> = self.records.shards().cloned().collect();
        for shard in shards {
            if self.ownership.is_mine(&shard) && self.ownership.would_own(from, &shard) {
                self.outbox.push_bulk(from, self.records.keys(&shard));
            }
        }
    }

    /// Tells VMs that join when they have everything, and asks as one that joins.
    pub(super) fn feed(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        self.ownership.retire(now, self.feeds.is_fed(now));
        let done: Vec<_> =
            self.outbox.joining().filter(|vm| self.outbox.is_done(vm)).cloned().collect();
        for vm in done {
            to_peer(vm, FlowMessage::Pulled, cx);
        }
        let is_ready = self.ownership.is_ready();
        self.feeds.was_ready |= is_ready;
        let me = cx.shared.me.name.clone();
        let view = self.ownership.view();
        let others = view.members.values().filter(|member| member.ready && member.name != me);
        let missing: Vec<_> = others
            .map(|member| member.name.clone())
            .filter(|vm| !self.feeds.ended.contains(vm))
            .collect();
        cx.shared.handover =
            Handover { held: is_ready || missing.is_empty(), handed: self.outbox.is_empty() };
        if !is_ready && !self.feeds.was_ready {
            if missing.is_empty() && cx.shared.view.members.len() > 1 {
                let sent = cx.send(MEMBERS, EntryMessage::Ready(FLOWS));
                debug_assert!(sent.is_ok(), "the service is registered in EntryNode::new");
            }
            missing.into_iter().for_each(|vm| to_peer(vm, FlowMessage::Pull, cx));
        }
    }
}
