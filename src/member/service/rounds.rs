//! What a VM does at each tick for membership: signs of life, probes, the head's work, and tries to
//! find VMs again.

use std::{collections::BTreeSet, time::Duration};

use super::{Members, Source, send};
use crate::{
    counter::Counter,
    entry::{EntryAction, EntryContext},
    member::{
        MemberMessage, MemberRecord, MemberStatus, Reach,
        detector::{self, HEARTBEAT_PERIOD, Step, WATCHERS},
        own::Change,
    },
    name::Name,
    peer::PeerMessage,
    time::Time,
};

/// Time between two attempts to reach a VM that is gone, or a seed that is not known.
const REJOIN_PERIOD: Duration = Duration::from_millis(500);

/// VMs through which a suspected VM is probed.
const HELPERS: usize = 3;

/// Time between two searches for records to forget.
const EXPIRY_PERIOD: Duration = Duration::from_secs(60);

impl Members {
    pub(super) fn tick(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        self.refresh(now, cx);
        self.live_on(now, cx);
        self.lead(now, cx);
        if now >= self.beat_at {
            self.beat_at = now + HEARTBEAT_PERIOD;
            self.beat(cx);
        }
        for step in self.detector.tick(now) {
            self.step(now, step, cx);
        }
        if now >= self.join_at {
            self.join_at = now + REJOIN_PERIOD;
            self.rejoin(cx);
        }
        if now >= self.expire_at {
            self.expire_at = now + EXPIRY_PERIOD;
            self.table.expire(now);
        }
    }

    fn live_on(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let view = &cx.shared.view;
        let others = view.members.len() > 1;
        let owners = view.members.values().any(|member| member.ready);
        let handed = cx.shared.handover.records_sent || !others;
        match self.own.tick(now, !self.seeds.is_empty(), others, owners, handed) {
            Change::None => {}
            Change::Renewed => self.publish(now, cx),
            Change::Settled => {
                cx.count(Counter::MembersSettled);
                self.publish(now, cx);
            }
            Change::Left => {
                self.publish(now, cx);
                cx.act(EntryAction::Left);
            }
        }
    }

    /// Does the head's work where this VM is the head of its availability zone.
    fn lead(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let head = self.table.head(&self.me().zone).is_some_and(|head| head.name == self.me().name);
        if head && !self.head {
            self.contacts.restart(now);
        }
        self.head = head;
        if !head {
            return;
        }
        for due in self.contacts.due(now, &self.reach.lost) {
            let live: Vec<_> = self.table.live(&due.zone).map(|m| m.name.clone()).collect();
            let to = if due.urgent && !live.is_empty() {
                live.get(due.turn % live.len())
            } else {
                self.table.head(&due.zone).map(|head| &head.name)
            };
            let Some(to) = to else { continue };
            let hears = self.contacts.hears(now, &due.zone);
            let digest = self.table.digest(&self.me().zone);
            send(cx, to, MemberMessage::Summary { digest, hears, answer: due.urgent });
        }
        let lost = self.contacts.lost(now, &self.reach.lost);
        if lost != self.reach.lost {
            let author = self.me().name.clone();
            self.reach = Reach { stamp: self.reach.stamp + 1, author, lost };
            cx.count(Counter::ZoneReachChanges);
            self.stale = true;
            self.refresh(now, cx);
            for vm in self.others_inside() {
                send(cx, &vm, MemberMessage::Reach(self.reach.clone()));
            }
        }
    }

    fn beat(&self, cx: &mut EntryContext<'_>) {
        if self.own.record.status == MemberStatus::Left {
            return;
        }
        let ring: Vec<_> = self.table.live(&self.me().zone).map(|m| m.name.clone()).collect();
        let (incarnation, renewal) = self.own.record.version();
        let digest = self.table.whole_digest(&self.reach);
        for vm in detector::successors(&ring, &self.me().name, WATCHERS) {
            send(cx, &vm, MemberMessage::Heartbeat { incarnation, renewal, digest });
        }
    }

    fn step(&mut self, now: Time, step: Step, cx: &mut EntryContext<'_>) {
        match step {
            Step::Suspect(_) => cx.count(Counter::MembersSuspected),
            Step::Probe(target) => self.probe(&target, cx),
            Step::Dead(target) => {
                let Some(record) = self.table.get(&target) else { return };
                let dead = MemberRecord { status: MemberStatus::Dead, ..record.clone() };
                cx.count(Counter::MembersRemoved);
                self.learn(now, vec![dead], Source::Own, cx);
            }
        }
    }

    /// Probes `target` directly and through others, first those of the same availability zone.
    fn probe(&mut self, target: &Name, cx: &mut EntryContext<'_>) {
        send(cx, target, MemberMessage::Probe { origin: self.me().name.clone() });
        let inside = self.others_inside();
        let view = cx.shared.view.members.values();
        let outside = view.filter(|m| m.zone != self.me().zone).map(|m| m.name.clone());
        let helpers: Vec<_> = inside.into_iter().chain(outside).filter(|vm| vm != target).collect();
        self.turn += 1;
        let count = helpers.len().min(HELPERS);
        for offset in 0..count {
            let helper = &helpers[(self.turn + offset) % helpers.len()];
            send(cx, helper, MemberMessage::ProbeThrough { target: target.clone() });
        }
    }

    /// Tries one VM of this availability zone that is believed dead, or seeds that are not known,
    /// so that two sides of a partition find each other again.
    fn rejoin(&mut self, cx: &mut EntryContext<'_>) {
        if self.own.record.status == MemberStatus::Left {
            return;
        }
        self.turn += 1;
        let join = MemberMessage::Join(self.own.record.clone());
        let inside = self.table.zone(&self.me().zone);
        let dead: Vec<_> = inside.filter(|record| record.status == MemberStatus::Dead).collect();
        if !dead.is_empty() {
            send(cx, &dead[self.turn % dead.len()].member.name.clone(), join.clone());
        }
        let known: BTreeSet<_> = cx.shared.view.members.values().map(|m| m.peers).collect();
        let unknown: Vec<_> = self.seeds.iter().filter(|seed| !known.contains(seed)).collect();
        if !unknown.is_empty() {
            let to = *unknown[self.turn % unknown.len()];
            cx.act(EntryAction::ToSeed { to, message: PeerMessage::Member(join) });
        }
    }

    fn others_inside(&self) -> Vec<Name> {
        let live = self.table.live(&self.me().zone).map(|member| member.name.clone());
        live.filter(|name| *name != self.me().name).collect()
    }
}
