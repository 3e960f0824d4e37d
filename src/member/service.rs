//! The service for membership; the only writer of [`Shared::view`], [`Shared::previous`],
//! [`Shared::peer_addrs`] and [`Shared::me`].

use std::{collections::BTreeSet, net::SocketAddr};

mod hear;
mod rounds;

use crate::{
    counter::Counter,
    entry::{EntryAction, EntryContext, EntryMessage, Shared},
    kernel::Service,
    member::{
        Member, MemberMessage, MemberRecord, Reach, View,
        contacts::Contacts,
        detector::{self, Detector, WATCHERS},
        own::Own,
        table::{Merge, Table},
    },
    name::Name,
    peer::PeerMessage,
    time::Time,
};

/// Records in one message.
const BATCH: usize = 64;

/// Where news comes from, which says who else has to hear it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Own,
    Inside,
    Outside,
}

/// Finds the other entry VMs and keeps the view of this one.
pub(crate) struct Members {
    seeds: Vec<SocketAddr>,
    /// Whether the shell hands over views, so that nothing is detected here.
    given: bool,
    own: Own,
    table: Table,
    detector: Detector,
    contacts: Contacts,
    reach: Reach,
    head: bool,
    /// Whether records have changed since the view was made from them.
    stale: bool,
    beat_at: Time,
    join_at: Time,
    repair_at: Time,
    expire_at: Time,
    turn: usize,
}

impl Members {
    /// Returns a service that takes views from the shell.
    pub(crate) fn given(me: Member) -> Members {
        let mut members = Members::new(me, Vec::new());
        members.given = true;
        members
    }

    /// Returns a service that finds other VMs, `seeds` first.
    pub(crate) fn new(me: Member, seeds: Vec<SocketAddr>) -> Members {
        let seeds = seeds.into_iter().filter(|seed| *seed != me.peers).collect();
        let record = MemberRecord::new(me);
        let mut table = Table::new();
        table.merge(Time::ZERO, record.clone());
        Members {
            seeds,
            given: false,
            own: Own::new(record),
            table,
            detector: Detector::new(),
            contacts: Contacts::new(),
            reach: Reach::default(),
            head: false,
            stale: true,
            beat_at: Time::ZERO,
            join_at: Time::ZERO,
            repair_at: Time::ZERO,
            expire_at: Time::ZERO,
            turn: 0,
        }
    }

    fn me(&self) -> &Member {
        &self.own.record.member
    }

    fn message(&mut self, now: Time, from: &Name, msg: MemberMessage, cx: &mut EntryContext<'_>) {
        match msg {
            MemberMessage::Join(record) => self.join(now, from, record, cx),
            MemberMessage::Heartbeat { incarnation, renewal, digest } => {
                self.heartbeat(now, from, (incarnation, renewal), digest, cx);
            }
            MemberMessage::Probe { origin } => {
                let target = self.me().name.clone();
                send(cx, from, MemberMessage::ProbeAnswer { origin, target });
            }
            MemberMessage::ProbeThrough { target } => {
                send(cx, &target, MemberMessage::Probe { origin: from.clone() });
            }
            MemberMessage::ProbeAnswer { origin, target } => {
                self.probe_answer(now, from, origin, target, cx);
            }
            MemberMessage::Digests { zones, whole, answer, reach } => {
                self.take_reach(now, reach, cx);
                self.compare(from, &zones, whole, answer, cx);
            }
            MemberMessage::Records(records) => self.records(now, from, records, cx),
            MemberMessage::Summary { digest, hears, answer } => {
                self.summary(now, from, digest, hears, answer, cx);
            }
            MemberMessage::Reach(reach) => self.take_reach(now, reach, cx),
        }
    }

    /// Merges records and passes on what was news.
    fn learn(
        &mut self,
        now: Time,
        records: Vec<MemberRecord>,
        source: Source,
        cx: &mut EntryContext<'_>,
    ) {
        let mut news = Vec::new();
        let mut refuted = false;
        for record in records {
            if record.member.name == self.me().name {
                refuted |= self.own.refute(&record);
                continue;
            }
            match self.table.merge(now, record.clone()) {
                Merge::News => news.push(record),
                Merge::Known => {}
                Merge::Full => cx.count(Counter::MembersRefused),
            }
        }
        if refuted {
            cx.count(Counter::MembersRefuted);
            self.publish(now, cx);
        }
        if !news.is_empty() {
            // Many VMs may come and go at once: the view follows at the next tick.
            self.stale = true;
            let addrs = news.iter().map(|record| &record.member);
            cx.shared.peer_addrs.extend(addrs.map(|member| (member.name.clone(), member.peers)));
            self.pass_on(&news, source, cx);
        }
    }

    /// Makes this VM's own record known.
    fn publish(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let record = self.own.record.clone();
        cx.shared.me = record.member.clone();
        self.table.merge(now, record.clone());
        self.stale = true;
        self.refresh(now, cx);
        self.pass_on(&[record], Source::Own, cx);
    }

    /// Sends news inside the availability zone, unless it comes from there, and, as head, to the
    /// other heads, unless it comes from them.
    fn pass_on(&self, news: &[MemberRecord], source: Source, cx: &mut EntryContext<'_>) {
        let mut to = BTreeSet::new();
        if source != Source::Inside {
            to.extend(self.table.live(&self.me().zone).map(|member| member.name.clone()));
        }
        if source != Source::Outside && self.head {
            let zones = self.table.zones();
            let others = zones.iter().filter(|zone| **zone != self.me().zone);
            to.extend(others.filter_map(|zone| Some(self.table.head(zone)?.name.clone())));
        }
        to.remove(&self.me().name);
        for vm in to {
            for batch in news.chunks(BATCH) {
                send(cx, &vm, MemberMessage::Records(batch.to_vec()));
            }
        }
    }

    fn source(&self, zone: &Name) -> Source {
        if *zone == self.me().zone { Source::Inside } else { Source::Outside }
    }

    /// Makes the view, the ring and the contacts from the records, where these have changed.
    fn refresh(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        let zone = self.me().zone.clone();
        let ring: Vec<_> = self.table.live(&zone).map(|member| member.name.clone()).collect();
        let watched = detector::predecessors(&ring, &self.me().name, WATCHERS);
        self.detector.watch(now, &watched);
        let mut zones = self.table.zones();
        zones.remove(&zone);
        self.contacts.track(now, &zones);
        let shown =
            |member: &&Member| member.zone == zone || !self.reach.lost.contains(&member.zone);
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
                self.given = true;
                cx.shared.previous_view = std::mem::replace(&mut cx.shared.view, view);
            }
            _ if self.given => {}
            EntryMessage::Peer { from, message: PeerMessage::Member(msg) } => {
                self.message(now, &from, msg, cx);
            }
            EntryMessage::Ready(service) => self.own.ready(service),
            EntryMessage::Leave if self.own.leave(now) => self.publish(now, cx),
            EntryMessage::Tick => self.tick(now, cx),
            _ => {}
        }
    }
}

fn send(cx: &mut EntryContext<'_>, to: &Name, msg: MemberMessage) {
    let message = PeerMessage::Member(msg);
    cx.act(EntryAction::ToPeer { to: to.clone(), message });
}
