//! Periodic work of the membership service: heartbeats, probes, the duties of the head, and
//! attempts to reach lost VMs again.

use std::{collections::BTreeSet, time::Duration};

use super::{Members, Source, send};
use crate::{
    counter::Counter,
    entry::{EntryAction, EntryContext},
    member::{
        MemberMessage, MemberRecord, MemberStatus, ZoneReach,
        detector::{self, DetectorAction, HEARTBEAT_PERIOD, WATCHERS},
        own::OwnChange,
    },
    name::Name,
    peer::PeerMessage,
    time::Time,
};

/// Interval between attempts to reach a dead VM or an unknown seed.
const REJOIN_PERIOD: Duration = Duration::from_millis(500);

/// Number of VMs through which a suspected VM is probed.
const INDIRECT_PROBES: usize = 3;

/// Interval between removals of expired records.
const EXPIRY_PERIOD: Duration = Duration::from_secs(60);

impl Members {
    pub(super) fn tick(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        self.refresh(now, cx);
        self.update_own(now, cx);
        self.tick_head(now, cx);
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + HEARTBEAT_PERIOD;
            self.send_heartbeats(cx);
        }
        for action in self.detector.tick(now) {
            self.handle_action(now, action, cx);
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

    fn update_own(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let view = &cx.shared.view;
        let others = view.members.len() > 1;
        let owners = view.members.values().any(|member| member.ready);
        let transferred = cx.shared.handover.records_sent || !others;
        match self.own.tick(now, !self.seeds.is_empty(), others, owners, transferred) {
            OwnChange::None => {}
            OwnChange::Renewed => self.publish_own(now, cx),
            OwnChange::TimedOut => {
                cx.count(Counter::MembersSettled);
                self.publish_own(now, cx);
            }
            OwnChange::Left => {
                self.publish_own(now, cx);
                cx.act(EntryAction::Left);
            }
        }
    }

    /// Performs the duties of the head if this VM is the head of its availability zone.
    fn tick_head(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let is_head =
            self.table.head(&self.me().zone).is_some_and(|head| head.name == self.me().name);
        if is_head && !self.is_head {
            self.zone_contacts.reset(now);
        }
        self.is_head = is_head;
        if !is_head {
            return;
        }
        for due in self.zone_contacts.due_summaries(now, &self.reach.unreachable) {
            let live: Vec<_> = self.table.live_members(&due.zone).map(|m| m.name.clone()).collect();
            let to = if due.silent && !live.is_empty() {
                live.get(due.attempt % live.len())
            } else {
                self.table.head(&due.zone).map(|head| &head.name)
            };
            let Some(to) = to else { continue };
            let hears = self.zone_contacts.hears(now, &due.zone);
            let digest = self.table.digest(&self.me().zone);
            send(cx, to, MemberMessage::Summary { digest, hears, reply: due.silent });
        }
        let unreachable = self.zone_contacts.unreachable(now, &self.reach.unreachable);
        if unreachable != self.reach.unreachable {
            let author = self.me().name.clone();
            self.reach = ZoneReach { version: self.reach.version + 1, author, unreachable };
            cx.count(Counter::ZoneReachChanges);
            self.needs_refresh = true;
            self.refresh(now, cx);
            for vm in self.zone_peers() {
                send(cx, &vm, MemberMessage::Reach(self.reach.clone()));
            }
        }
    }

    fn send_heartbeats(&self, cx: &mut EntryContext<'_>) {
        if self.own.record.status == MemberStatus::Left {
            return;
        }
        let ring: Vec<_> =
            self.table.live_members(&self.me().zone).map(|m| m.name.clone()).collect();
        let (incarnation, renewal) = self.own.record.version();
        let digest = self.table.full_digest(&self.reach);
        for vm in detector::successors(&ring, &self.me().name, WATCHERS) {
            send(cx, &vm, MemberMessage::Heartbeat { incarnation, renewal, digest });
        }
    }

    fn handle_action(&mut self, now: Time, action: DetectorAction, cx: &mut EntryContext<'_>) {
        match action {
            DetectorAction::Suspect(_) => cx.count(Counter::MembersSuspected),
            DetectorAction::Probe(target) => self.probe(&target, cx),
            DetectorAction::Dead(target) => {
                let Some(record) = self.table.get(&target) else { return };
                let dead = MemberRecord { status: MemberStatus::Dead, ..record.clone() };
                cx.count(Counter::MembersRemoved);
                self.merge_records(now, vec![dead], Source::Local, cx);
            }
        }
    }

    /// Probes `target` directly and through others, preferring those of the same availability zone.
    fn probe(&mut self, target: &Name, cx: &mut EntryContext<'_>) {
        send(cx, target, MemberMessage::Probe { origin: self.me().name.clone() });
        let inside = self.zone_peers();
        let view = cx.shared.view.members.values();
        let outside = view.filter(|m| m.zone != self.me().zone).map(|m| m.name.clone());
        let relays: Vec<_> = inside.into_iter().chain(outside).filter(|vm| vm != target).collect();
        self.rotation += 1;
        let count = relays.len().min(INDIRECT_PROBES);
        for offset in 0..count {
            let relay = &relays[(self.rotation + offset) % relays.len()];
            send(cx, relay, MemberMessage::IndirectProbe { target: target.clone() });
        }
    }

    /// Contacts one dead VM of this availability zone and one unknown seed, so that the two sides
    /// of a partition merge again.
    fn rejoin(&mut self, cx: &mut EntryContext<'_>) {
        if self.own.record.status == MemberStatus::Left {
            return;
        }
        self.rotation += 1;
        let join = MemberMessage::Join(self.own.record.clone());
        let inside = self.table.zone_records(&self.me().zone);
        let dead: Vec<_> = inside.filter(|record| record.status == MemberStatus::Dead).collect();
        if !dead.is_empty() {
            send(cx, &dead[self.rotation % dead.len()].member.name.clone(), join.clone());
        }
        let known: BTreeSet<_> = cx.shared.view.members.values().map(|m| m.peers).collect();
        let unknown: Vec<_> = self.seeds.iter().filter(|seed| !known.contains(seed)).collect();
        if !unknown.is_empty() {
            let to = *unknown[self.rotation % unknown.len()];
            cx.act(EntryAction::ToSeed { to, message: PeerMessage::Member(join) });
        }
    }

    fn zone_peers(&self) -> Vec<Name> {
        let live = self.table.live_members(&self.me().zone).map(|member| member.name.clone());
        live.filter(|name| *name != self.me().name).collect()
    }
}
