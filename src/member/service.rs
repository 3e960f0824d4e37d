//! The membership service; the only writer of [`Shared::view`], [`Shared::previous`],
//! [`Shared::peer_addrs`] and [`Shared::me`].

use std::{collections::BTreeSet, net::SocketAddr};

mod hear;
mod rounds;

use crate::{
    counter::Counter,
    entry::{EntryAction, EntryContext, EntryMessage, Shared},
    kernel::Service,
    member::{
        Member, MemberMessage, MemberRecord, View, ZoneReach,
        contacts::ZoneContacts,
        detector::{self, Detector, WATCHERS},
        own::OwnMember,
        table::{MergeOutcome, Table},
    },
    name::Name,
    peer::PeerMessage,
    time::Time,
};

/// Maximum number of records in one message.
const MAX_BATCH_RECORDS: usize = 64;

/// Origin of an update, which determines the VMs it is forwarded to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Local,
    Zone,
    Outside,
}

/// Discovers the other entry VMs and maintains the view of this VM.
pub(crate) struct Members {
    seeds: Vec<SocketAddr>,
    /// Whether views come from the shell, so that failure detection is disabled.
    external_views: bool,
    own: OwnMember,
    table: Table,
    detector: Detector,
    zone_contacts: ZoneContacts,
    reach: ZoneReach,
    is_head: bool,
    /// Whether records have changed since the view was last computed.
    needs_refresh: bool,
    heartbeat_at: Time,
    join_at: Time,
    repair_at: Time,
    expire_at: Time,
    rotation: usize,
}

impl Members {
    /// Creates a service whose views come from the shell.
    pub(crate) fn with_external_views(me: Member) -> Members {
        let mut members = Members::new(me, Vec::new());
        members.external_views = true;
        members
    }

    /// Creates a service that discovers other VMs, starting with `seeds`.
    pub(crate) fn new(me: Member, seeds: Vec<SocketAddr>) -> Members {
        let seeds = seeds.into_iter().filter(|seed| *seed != me.peers).collect();
        let record = MemberRecord::new(me);
        let mut table = Table::new();
        table.merge(Time::ZERO, record.clone());
        Members {
            seeds,
            external_views: false,
            own: OwnMember::new(record),
            table,
            detector: Detector::new(),
            zone_contacts: ZoneContacts::new(),
            reach: ZoneReach::default(),
            is_head: false,
            needs_refresh: true,
            heartbeat_at: Time::ZERO,
            join_at: Time::ZERO,
            repair_at: Time::ZERO,
            expire_at: Time::ZERO,
            rotation: 0,
        }
    }

    fn me(&self) -> &Member {
        &self.own.record.member
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: &Name,
        msg: MemberMessage,
        cx: &mut EntryContext<'_>,
    ) {
        match msg {
            MemberMessage::Join(record) => self.handle_join(now, from, record, cx),
            MemberMessage::Heartbeat { incarnation, renewal, digest } => {
                self.handle_heartbeat(now, from, (incarnation, renewal), digest, cx);
            }
            MemberMessage::Probe { origin } => {
                let target = self.me().name.clone();
                send(cx, from, MemberMessage::ProbeAnswer { origin, target });
            }
            MemberMessage::IndirectProbe { target } => {
                send(cx, &target, MemberMessage::Probe { origin: from.clone() });
            }
            MemberMessage::ProbeAnswer { origin, target } => {
                self.handle_probe_answer(now, from, origin, target, cx);
            }
            MemberMessage::Digests { zones, complete, reply, reach } => {
                self.handle_reach(now, reach, cx);
                self.handle_digests(from, &zones, complete, reply, cx);
            }
            MemberMessage::Records(records) => self.handle_records(now, from, records, cx),
            MemberMessage::Summary { digest, hears, reply } => {
                self.handle_summary(now, from, digest, hears, reply, cx);
            }
            MemberMessage::Reach(reach) => self.handle_reach(now, reach, cx),
        }
    }

    /// Merges records and forwards those that were new.
    fn merge_records(
        &mut self,
        now: Time,
        records: Vec<MemberRecord>,
        source: Source,
        cx: &mut EntryContext<'_>,
    ) {
        let mut updates = Vec::new();
        let mut refuted = false;
        for record in records {
            if record.member.name == self.me().name {
                refuted |= self.own.refute(&record);
                continue;
            }
            match self.table.merge(now, record.clone()) {
                MergeOutcome::Updated => updates.push(record),
                MergeOutcome::Unchanged => {}
                MergeOutcome::Full => cx.count(Counter::MembersRefused),
            }
        }
        if refuted {
            cx.count(Counter::MembersRefuted);
            self.publish_own(now, cx);
        }
        if !updates.is_empty() {
            // The view is recomputed at the next tick, as many VMs may join or leave at once.
            self.needs_refresh = true;
            let addrs = updates.iter().map(|record| &record.member);
            cx.shared.peer_addrs.extend(addrs.map(|member| (member.name.clone(), member.peers)));
            self.forward_records(&updates, source, cx);
        }
    }

    /// Applies and distributes a change of this VM's own record.
    fn publish_own(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let record = self.own.record.clone();
        cx.shared.me = record.member.clone();
        self.table.merge(now, record.clone());
        self.needs_refresh = true;
        self.refresh(now, cx);
        self.forward_records(&[record], Source::Local, cx);
    }

    /// Sends updates to the VMs of this availability zone, unless they came from there, and, if
    /// this VM is the head, to the other heads, unless they came from outside.
    fn forward_records(&self, updates: &[MemberRecord], source: Source, cx: &mut EntryContext<'_>) {
        let mut to = BTreeSet::new();
        if source != Source::Zone {
            to.extend(self.table.live_members(&self.me().zone).map(|member| member.name.clone()));
        }
        if source != Source::Outside && self.is_head {
            let zones = self.table.live_zones();
            let others = zones.iter().filter(|zone| **zone != self.me().zone);
            to.extend(others.filter_map(|zone| Some(self.table.head(zone)?.name.clone())));
        }
        to.remove(&self.me().name);
        for vm in to {
            for batch in updates.chunks(MAX_BATCH_RECORDS) {
                send(cx, &vm, MemberMessage::Records(batch.to_vec()));
            }
        }
    }

    fn source_of(&self, zone: &Name) -> Source {
        if *zone == self.me().zone { Source::Zone } else { Source::Outside }
    }

    /// Recomputes the view, the ring and the tracked zones if records have changed.
    fn refresh(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        if !std::mem::take(&mut self.needs_refresh) {
            return;
        }
        let zone = self.me().zone.clone();
        let ring: Vec<_> =
            self.table.live_members(&zone).map(|member| member.name.clone()).collect();
        let watched = detector::predecessors(&ring, &self.me().name, WATCHERS);
        self.detector.watch(now, &watched);
        let mut zones = self.table.live_zones();
        zones.remove(&zone);
        self.zone_contacts.track(now, &zones);
        let shown = |member: &&Member| {
            member.zone == zone || !self.reach.unreachable.contains(&member.zone)
        };
        let me = &self.me().name;
        let live = self.table.records();
        let live = live.filter(|record| record.is_alive() || record.member.name == *me);
        let members = live.map(|record| &record.member).filter(shown).cloned();
        let view = View { version: cx.shared.view.version + 1, ..View::new(members) };
        if view.members != cx.shared.view.members {
            cx.count(Counter::ViewChanges);
            cx.shared.previous_view = std::mem::replace(&mut cx.shared.view, view);
        }
        let addrs = self.table.records().map(|record| &record.member);
        cx.shared.peer_addrs = addrs.map(|member| (member.name.clone(), member.peers)).collect();
    }
}

impl Service<Shared, EntryMessage, EntryAction> for Members {
    fn handle(&mut self, now: Time, msg: EntryMessage, cx: &mut EntryContext<'_>) {
        match msg {
            EntryMessage::View(view) => {
                self.external_views = true;
                cx.shared.previous_view = std::mem::replace(&mut cx.shared.view, view);
            }
            _ if self.external_views => {}
            EntryMessage::Peer { from, message: PeerMessage::Member(msg) } => {
                self.handle_message(now, &from, msg, cx);
            }
            EntryMessage::Ready(service) => self.own.mark_ready(service),
            EntryMessage::Leave if self.own.start_leave(now) => self.publish_own(now, cx),
            EntryMessage::Tick => self.tick(now, cx),
            _ => {}
        }
    }
}

fn send(cx: &mut EntryContext<'_>, to: &Name, msg: MemberMessage) {
    let message = PeerMessage::Member(msg);
    cx.act(EntryAction::ToPeer { to: to.clone(), message });
}
