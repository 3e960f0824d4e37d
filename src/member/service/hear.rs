//! What other entry VMs say of members.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{BATCH, Members, Source, send};
use crate::{
    counter::Counter,
    entry::EntryContext,
    member::{MemberMessage, MemberRecord, Reach},
    name::Name,
    time::Time,
};

/// Time between two requests for repair.
const REPAIR_PERIOD: Duration = Duration::from_millis(100);

impl Members {
    pub(super) fn join(
        &mut self,
        now: Time,
        from: &Name,
        record: MemberRecord,
        cx: &mut EntryContext<'_>,
    ) {
        if record.member.name != *from {
            return;
        }
        let source = self.source(&record.member.zone);
        self.learn(now, vec![record], source, cx);
        self.correct(from, cx);
        self.ask_digests(from, cx);
    }

    pub(super) fn heartbeat(
        &mut self,
        now: Time,
        from: &Name,
        version: (u64, u32),
        digest: u64,
        cx: &mut EntryContext<'_>,
    ) {
        match self.table.get(from) {
            Some(known) if known.is_alive() && known.version() >= version => {
                self.detector.heard(now, from);
            }
            Some(known) if known.version() >= version => self.correct(from, cx),
            _ => {}
        }
        if digest != self.table.whole_digest(&self.reach) && now >= self.repair_at {
            self.repair_at = now + REPAIR_PERIOD;
            cx.count(Counter::MemberRepairs);
            self.ask_digests(from, cx);
        }
    }

    pub(super) fn probe_answer(
        &mut self,
        now: Time,
        from: &Name,
        origin: Name,
        target: Name,
        cx: &mut EntryContext<'_>,
    ) {
        if origin == self.me().name {
            self.detector.heard(now, &target);
        } else if *from == target {
            send(cx, &origin.clone(), MemberMessage::ProbeAnswer { origin, target });
        }
    }

    /// Sends the records of availability zones whose digest differs from that in `zones`.
    pub(super) fn compare(
        &self,
        from: &Name,
        zones: &BTreeMap<Name, u64>,
        whole: bool,
        answer: bool,
        cx: &mut EntryContext<'_>,
    ) {
        let own = self.table.digests();
        let mut names: BTreeSet<&Name> = zones.keys().collect();
        if whole {
            names.extend(own.keys());
        }
        names.retain(|zone| {
            self.table.digest(zone) != zones.get(*zone).copied().unwrap_or_default()
        });
        for zone in &names {
            let records: Vec<_> = self.table.zone(zone).cloned().collect();
            for batch in records.chunks(BATCH) {
                send(cx, from, MemberMessage::Records(batch.to_vec()));
            }
        }
        if answer && !names.is_empty() {
            let zones = names.iter().map(|&zone| (zone.clone(), self.table.digest(zone))).collect();
            let reach = self.reach.clone();
            let digests = MemberMessage::Digests { zones, whole: false, answer: false, reach };
            send(cx, from, digests);
        }
    }

    pub(super) fn records(
        &mut self,
        now: Time,
        from: &Name,
        records: Vec<MemberRecord>,
        cx: &mut EntryContext<'_>,
    ) {
        let zone = self.table.get(from).map(|record| record.member.zone.clone());
        let source = zone.map_or(Source::Outside, |zone| self.source(&zone));
        self.learn(now, records, source, cx);
    }

    pub(super) fn summary(
        &mut self,
        now: Time,
        from: &Name,
        digest: u64,
        hears: bool,
        answer: bool,
        cx: &mut EntryContext<'_>,
    ) {
        let Some(known) = self.table.get(from) else {
            self.ask_digests(from, cx);
            return;
        };
        let zone = known.member.zone.clone();
        if !known.is_alive() {
            self.correct(from, cx);
        }
        self.contacts.heard(now, &zone, hears);
        if digest != self.table.digest(&zone) {
            cx.count(Counter::MemberRepairs);
            let zones = [(zone.clone(), self.table.digest(&zone))].into();
            let reach = self.reach.clone();
            send(cx, from, MemberMessage::Digests { zones, whole: false, answer: true, reach });
        }
        if answer {
            let digest = self.table.digest(&self.me().zone);
            send(cx, from, MemberMessage::Summary { digest, hears: true, answer: false });
        }
    }

    /// Takes over the finding of this availability zone's head.
    pub(super) fn take_reach(&mut self, now: Time, reach: Reach, cx: &mut EntryContext<'_>) {
        let inside = self.table.get(&reach.author);
        if inside.is_none_or(|author| author.member.zone != self.me().zone) || reach <= self.reach {
            return;
        }
        self.reach = reach;
        self.stale = true;
        self.refresh(now, cx);
    }

    /// Tells `from` how it stands here, where that is not what it believes.
    fn correct(&self, from: &Name, cx: &mut EntryContext<'_>) {
        let Some(record) = self.table.get(from).filter(|record| !record.is_alive()) else { return };
        send(cx, from, MemberMessage::Records(vec![record.clone()]));
    }

    fn ask_digests(&self, to: &Name, cx: &mut EntryContext<'_>) {
        let zones = self.table.digests().clone();
        let reach = self.reach.clone();
        send(cx, to, MemberMessage::Digests { zones, whole: true, answer: true, reach });
    }
}
