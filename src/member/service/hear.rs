//! Handlers for the membership messages of other entry VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{MAX_BATCH_RECORDS, Members, Source, send};
use crate::{
    counter::Counter,
    entry::EntryContext,
    member::{MemberMessage, MemberRecord, ZoneReach},
    name::Name,
    time::Time,
};

/// Minimum interval between repairs triggered by heartbeats.
const REPAIR_PERIOD: Duration = Duration::from_millis(100);

impl Members {
    pub(super) fn handle_join(
        &mut self,
        now: Time,
        from: &Name,
        record: MemberRecord,
        cx: &mut EntryContext<'_>,
    ) {
        if record.member.name != *from {
            return;
        }
        let source = self.source_of(&record.member.zone);
        self.merge_records(now, vec![record], source, cx);
        self.send_correction(from, cx);
        self.request_repair(from, cx);
    }

    pub(super) fn handle_heartbeat(
        &mut self,
        now: Time,
        from: &Name,
        version: (u64, u32),
        digest: u64,
        cx: &mut EntryContext<'_>,
    ) {
        match self.table.get(from) {
            Some(known) if known.is_alive() && known.version() >= version => {
                self.detector.mark_alive(now, from);
            }
            Some(known) if known.version() >= version => self.send_correction(from, cx),
            _ => {}
        }
        if digest != self.table.full_digest(&self.reach) && now >= self.repair_at {
            self.repair_at = now + REPAIR_PERIOD;
            cx.count(Counter::MemberRepairs);
            self.request_repair(from, cx);
        }
    }

    pub(super) fn handle_probe_answer(
        &mut self,
        now: Time,
        from: &Name,
        origin: Name,
        target: Name,
        cx: &mut EntryContext<'_>,
    ) {
        if origin == self.me().name {
            self.detector.mark_alive(now, &target);
        } else if *from == target {
            send(cx, &origin.clone(), MemberMessage::ProbeAnswer { origin, target });
        }
    }

    /// Sends the records of the availability zones whose digest differs from the one in `zones`,
    /// and the digests of these zones if `reply` is set.
    pub(super) fn handle_digests(
        &self,
        from: &Name,
        zones: &BTreeMap<Name, u64>,
        complete: bool,
        reply: bool,
        cx: &mut EntryContext<'_>,
    ) {
        let own = self.table.digests();
        let mut names: BTreeSet<&Name> = zones.keys().collect();
        if complete {
            names.extend(own.keys());
        }
        names.retain(|zone| {
            self.table.digest(zone) != zones.get(*zone).copied().unwrap_or_default()
        });
        for zone in &names {
            let records: Vec<_> = self.table.zone_records(zone).cloned().collect();
            for batch in records.chunks(MAX_BATCH_RECORDS) {
                send(cx, from, MemberMessage::Records(batch.to_vec()));
            }
        }
        if reply && !names.is_empty() {
            let zones = names.iter().map(|&zone| (zone.clone(), self.table.digest(zone))).collect();
            let reach = self.reach.clone();
            let digests = MemberMessage::Digests { zones, complete: false, reply: false, reach };
            send(cx, from, digests);
        }
    }

    pub(super) fn handle_records(
        &mut self,
        now: Time,
        from: &Name,
        records: Vec<MemberRecord>,
        cx: &mut EntryContext<'_>,
    ) {
        let zone = self.table.get(from).map(|record| record.member.zone.clone());
        let source = zone.map_or(Source::Outside, |zone| self.source_of(&zone));
        self.merge_records(now, records, source, cx);
    }

    pub(super) fn handle_summary(
        &mut self,
        now: Time,
        from: &Name,
        digest: u64,
        hears: bool,
        reply: bool,
        cx: &mut EntryContext<'_>,
    ) {
        let Some(known) = self.table.get(from) else {
            self.request_repair(from, cx);
            return;
        };
        let zone = known.member.zone.clone();
        if !known.is_alive() {
            self.send_correction(from, cx);
        }
        self.zone_contacts.record_message(now, &zone, hears);
        if digest != self.table.digest(&zone) {
            cx.count(Counter::MemberRepairs);
            let zones = [(zone.clone(), self.table.digest(&zone))].into();
            let reach = self.reach.clone();
            send(cx, from, MemberMessage::Digests { zones, complete: false, reply: true, reach });
        }
        if reply {
            let digest = self.table.digest(&self.me().zone);
            send(cx, from, MemberMessage::Summary { digest, hears: true, reply: false });
        }
    }

    /// Applies the reachability determined by the head of this availability zone.
    pub(super) fn handle_reach(&mut self, now: Time, reach: ZoneReach, cx: &mut EntryContext<'_>) {
        let author = self.table.get(&reach.author);
        if author.is_none_or(|record| record.member.zone != self.me().zone) || reach <= self.reach {
            return;
        }
        self.reach = reach;
        self.needs_refresh = true;
        self.refresh(now, cx);
    }

    /// Sends `from` its own record if that record is not alive here, so that it can refute it.
    fn send_correction(&self, from: &Name, cx: &mut EntryContext<'_>) {
        let Some(record) = self.table.get(from).filter(|record| !record.is_alive()) else { return };
        send(cx, from, MemberMessage::Records(vec![record.clone()]));
    }

    fn request_repair(&self, to: &Name, cx: &mut EntryContext<'_>) {
        let zones = self.table.digests().clone();
        let reach = self.reach.clone();
        send(cx, to, MemberMessage::Digests { zones, complete: true, reply: true, reach });
    }
}
