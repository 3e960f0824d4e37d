//! The configuration service; the only writer of [`Shared::state`], [`Shared::router`],
//! [`Shared::lease`] and [`Shared::lease_lapsed`].

use std::time::Duration;

use crate::{
    counter::Counter,
    entry::{EntryAction, EntryContext, EntryMessage, Shared},
    kernel::Service,
    name::Name,
    peer::PeerMessage,
    spread::{
        Applied, ConfigMessage, Entries,
        head::{Ack, HeadState},
        lease::Lease,
        recent::RecentEntries,
        snapshot::{SnapshotEncoder, Transfer},
    },
    time::Time,
};

/// Interval between acknowledgements.
const ACK_PERIOD: Duration = Duration::from_millis(500);

/// Interval between status messages of the head to the VMs of its availability zone.
const STATUS_PERIOD: Duration = Duration::from_secs(1);

/// Minimum interval between requests for missing entries.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between requests to the heads of other availability zones.
const NEIGHBOUR_PERIOD: Duration = Duration::from_millis(500);

/// Minimum interval between writes of the configuration to disk.
const SAVE_PERIOD: Duration = Duration::from_secs(1);

/// Applies the configuration, distributes it within the availability zone and maintains the lease.
pub(crate) struct ConfigSync {
    /// Whether entries come from the shell only, so that no lease is maintained.
    external_entries: bool,
    incarnation: u64,
    lease: Lease,
    head_state: HeadState,
    /// Time since which this VM has been head of its availability zone.
    head_since: Option<Time>,
    recent: RecentEntries,
    encoder: SnapshotEncoder,
    transfer: Option<Transfer>,
    ack_at: Time,
    status_at: Time,
    fetch_at: Time,
    neighbour_at: Time,
    save_at: Time,
    saved_index: u64,
    rotation: usize,
}

impl ConfigSync {
    /// Creates a service whose entries come from the shell; its configuration never counts as
    /// stale.
    pub(crate) fn with_external_entries() -> ConfigSync {
        ConfigSync { external_entries: true, ..ConfigSync::new(0, 0) }
    }

    /// Creates a service for the incarnation `incarnation` of a VM that has applied `index`.
    pub(crate) fn new(incarnation: u64, index: u64) -> ConfigSync {
        ConfigSync {
            external_entries: false,
            incarnation,
            lease: Lease::new(incarnation),
            head_state: HeadState::new(),
            head_since: None,
            recent: RecentEntries::new(index),
            encoder: SnapshotEncoder::default(),
            transfer: None,
            ack_at: Time::ZERO,
            status_at: Time::ZERO,
            fetch_at: Time::ZERO,
            neighbour_at: Time::ZERO,
            save_at: Time::ZERO,
            saved_index: index,
            rotation: 0,
        }
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: &Name,
        msg: ConfigMessage,
        cx: &mut EntryContext<'_>,
    ) {
        match msg {
            ConfigMessage::Entries(entries) => self.apply_entries(now, Some(from), entries, cx),
            ConfigMessage::Ack { applied, sent_at } => {
                self.handle_ack(now, from, applied, sent_at, cx)
            }
            ConfigMessage::HeadStatus { index, digest, grant } => {
                if let Some(grant) = grant {
                    self.lease.apply_grant(now, &grant);
                    self.update_lease(now, cx);
                }
                self.handle_head_status(now, from, index, digest, cx);
            }
            ConfigMessage::Fetch { after } => self.handle_fetch(now, from, after, cx),
            ConfigMessage::FetchPart { index, offset } => {
                let part = self.encoder.part(now, &cx.shared.state, index, offset);
                send(cx, from, part);
            }
            ConfigMessage::SnapshotPart { index, digest, total, offset, bytes } => {
                self.handle_part(now, from, (index, digest, total), offset, &bytes, cx);
            }
        }
    }

    /// Applies a snapshot and entries in order. Ignores older ones, and requests missing entries if
    /// there is a gap.
    fn apply_entries(
        &mut self,
        now: Time,
        from: Option<&Name>,
        entries: Entries,
        cx: &mut EntryContext<'_>,
    ) {
        let before = cx.shared.state.index;
        if let Some(snapshot) = entries.snapshot {
            if snapshot.index > before {
                self.recent = RecentEntries::new(snapshot.index);
                self.encoder.reset();
                cx.shared.state = *snapshot;
                cx.count(Counter::SnapshotsApplied);
            } else {
                cx.count(Counter::EntriesStale);
            }
        }
        for (index, command) in (entries.first..).zip(&entries.commands) {
            if index == cx.shared.state.index + 1 {
                cx.shared.state.apply(command);
                self.recent.push(command);
                cx.count(Counter::EntriesApplied);
            } else if index <= cx.shared.state.index {
                cx.count(Counter::EntriesStale);
            } else {
                self.fetch(now, from, cx);
                break;
            }
        }
        if cx.shared.state.index > before {
            self.after_apply(now, before, cx);
        }
    }

    /// Updates the router, the VMs of the zone and the acknowledgement after new entries were
    /// applied.
    fn after_apply(&mut self, now: Time, before: u64, cx: &mut EntryContext<'_>) {
        cx.shared.router.update(&cx.shared.state);
        if self.external_entries {
            return;
        }
        if self.head_since.is_some() {
            self.push_entries(before, cx);
        }
        self.send_ack(now, cx);
    }

    /// Sends the entries that follow `before` to every VM of the availability zone.
    fn push_entries(&mut self, before: u64, cx: &mut EntryContext<'_>) {
        let Some(entries) = self.recent.entries_after(before) else {
            self.status_at = Time::ZERO;
            return;
        };
        for vm in zone_peers(cx) {
            send(cx, &vm, ConfigMessage::Entries(entries.clone()));
        }
    }

    fn send_ack(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        self.ack_at = now + ACK_PERIOD;
        let applied = Applied { incarnation: self.incarnation, index: cx.shared.state.index };
        let me = &cx.shared.me;
        let Some(head) = cx.shared.view.head(&me.zone).map(|head| head.name.clone()) else {
            return;
        };
        if head == me.name {
            self.head_state.record_ack(now, &head, Ack { applied, sent_at: now });
        } else {
            send(cx, &head, ConfigMessage::Ack { applied, sent_at: now });
        }
    }

    fn handle_ack(
        &mut self,
        now: Time,
        from: &Name,
        applied: Applied,
        sent_at: Time,
        cx: &mut EntryContext<'_>,
    ) {
        self.head_state.record_ack(now, from, Ack { applied, sent_at });
        let index = cx.shared.state.index;
        if applied.index > index {
            self.fetch(now, Some(from), cx);
        } else if applied.index < index {
            self.handle_fetch(now, from, applied.index, cx);
        }
    }

    /// Compares this VM's state with the status of the head.
    fn handle_head_status(
        &mut self,
        now: Time,
        from: &Name,
        index: u64,
        digest: u64,
        cx: &mut EntryContext<'_>,
    ) {
        if index > cx.shared.state.index {
            self.fetch(now, Some(from), cx);
        } else if index < cx.shared.state.index {
            // The head is behind; it gets the entries from its own sources or from this VM.
        } else if self.encoder.digest(&cx.shared.state) == digest {
            cx.shared.config_complete = true;
        } else if self.transfer.is_none() {
            cx.count(Counter::DigestMismatches);
            send(cx, from, ConfigMessage::FetchPart { index, offset: 0 });
        }
    }

    fn fetch(&mut self, now: Time, from: Option<&Name>, cx: &mut EntryContext<'_>) {
        let Some(from) = from else { return };
        if now < self.fetch_at || self.transfer.is_some() {
            return;
        }
        self.fetch_at = now + MIN_FETCH_INTERVAL;
        let after = cx.shared.state.index;
        send(cx, from, ConfigMessage::Fetch { after });
    }

    fn handle_fetch(&mut self, now: Time, from: &Name, after: u64, cx: &mut EntryContext<'_>) {
        if after >= cx.shared.state.index {
            return;
        }
        let msg = match self.recent.entries_after(after) {
            Some(entries) => ConfigMessage::Entries(entries),
            None => self.encoder.first_part(now, &cx.shared.state, after),
        };
        send(cx, from, msg);
    }

    /// Stores a part of a snapshot that is newer than this VM's state, or differs from it at the
    /// same index.
    fn handle_part(
        &mut self,
        now: Time,
        from: &Name,
        (index, digest, total): (u64, u64, u32),
        offset: u32,
        bytes: &[u8],
        cx: &mut EntryContext<'_>,
    ) {
        let own = (cx.shared.state.index, self.encoder.digest(&cx.shared.state));
        if index < own.0 || (index, digest) == own {
            cx.count(Counter::EntriesStale);
            return;
        }
        if offset == 0 {
            self.transfer.take_if(|transfer| transfer.is_superseded(from, index));
            if self.transfer.is_none() {
                self.transfer = Transfer::new(now, from, index, digest, total);
            }
        }
        let Some(transfer) = &mut self.transfer else { return };
        if !transfer.matches(from, index, digest, total) {
            return;
        }
        match transfer.store_part(now, offset, bytes) {
            Ok(None) => self.fetch_parts(now, cx),
            Ok(Some(state)) => {
                self.transfer = None;
                let before = cx.shared.state.index;
                self.recent = RecentEntries::new(state.index);
                self.encoder.reset();
                cx.shared.state = state;
                cx.count(Counter::SnapshotsApplied);
                self.after_apply(now, before, cx);
            }
            Err(()) => {
                self.transfer = None;
                cx.count(Counter::SnapshotsRefused);
            }
        }
    }

    fn fetch_parts(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let Some(transfer) = &mut self.transfer else { return };
        let (from, requests) = transfer.due_requests(now);
        for request in requests {
            send(cx, &from, request);
        }
    }

    /// Handles the answer of a control VM.
    fn handle_answer(
        &mut self,
        now: Time,
        report: u64,
        entries: Entries,
        cx: &mut EntryContext<'_>,
    ) {
        let granted = self.head_state.record_answer(now, report, &entries);
        self.apply_entries(now, None, entries, cx);
        for vm in granted {
            if vm != cx.shared.me.name {
                self.send_status(&vm, cx);
            } else if let Some(grant) = self.head_state.grant(&vm) {
                self.lease.apply_grant(now, &grant);
                self.update_lease(now, cx);
            }
        }
    }

    fn send_status(&mut self, vm: &Name, cx: &mut EntryContext<'_>) {
        let index = cx.shared.state.index;
        let digest = self.encoder.digest(&cx.shared.state);
        let grant = self.head_state.grant(vm);
        send(cx, vm, ConfigMessage::HeadStatus { index, digest, grant });
    }

    fn tick(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        self.update_lease(now, cx);
        self.encoder.tick(now);
        self.transfer.take_if(|transfer| transfer.is_stalled(now));
        self.fetch_parts(now, cx);
        if now >= self.ack_at {
            self.send_ack(now, cx);
        }
        let me = &cx.shared.me;
        let is_head = cx.shared.view.head(&me.zone).is_some_and(|head| head.name == me.name);
        self.head_since = if is_head { self.head_since.or(Some(now)) } else { None };
        if let Some(since) = self.head_since {
            self.tick_head(now, since, cx);
        }
        if cx.shared.state.index > self.saved_index && now >= self.save_at {
            self.saved_index = cx.shared.state.index;
            self.save_at = now + SAVE_PERIOD;
            cx.act(EntryAction::Save);
        }
    }

    /// Performs the duties of the head: reports, status messages, and requests to other heads while
    /// the control VMs do not answer.
    fn tick_head(&mut self, now: Time, since: Time, cx: &mut EntryContext<'_>) {
        if let Some((report, progress)) = self.head_state.next_report(now, cx.shared.state.index) {
            cx.act(EntryAction::Report { report, progress });
        }
        if now >= self.status_at && cx.shared.config_complete {
            self.status_at = now + STATUS_PERIOD;
            for vm in zone_peers(cx) {
                self.send_status(&vm, cx);
            }
        }
        if self.head_state.is_cut_off(now, since) && now >= self.neighbour_at {
            self.neighbour_at = now + NEIGHBOUR_PERIOD;
            self.fetch_from_neighbour(now, cx);
        }
    }

    /// Requests entries from the heads of the other availability zones, in turn.
    fn fetch_from_neighbour(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let view = &cx.shared.view;
        let mut zones: Vec<_> = view.members.values().map(|member| &member.zone).collect();
        zones.sort();
        zones.dedup();
        zones.retain(|zone| **zone != cx.shared.me.zone);
        if zones.is_empty() {
            return;
        }
        self.rotation += 1;
        let head = view.head(zones[self.rotation % zones.len()]).map(|head| head.name.clone());
        self.fetch(now, head.as_ref(), cx);
    }

    fn update_lease(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        cx.shared.lease = Some(self.lease.until());
        cx.shared.config_complete |= self.lease.until() > Time::ZERO;
        if cx.shared.update_lease(now) {
            cx.count(Counter::LeasesLapsed);
        }
    }
}

impl Service<Shared, EntryMessage, EntryAction> for ConfigSync {
    fn handle(&mut self, now: Time, msg: EntryMessage, cx: &mut EntryContext<'_>) {
        match msg {
            EntryMessage::Entries(entries) => self.apply_entries(now, None, entries, cx),
            _ if self.external_entries => {}
            EntryMessage::Reply { report, entries } => self.handle_answer(now, report, entries, cx),
            EntryMessage::Peer { from, message: PeerMessage::Config(msg) } => {
                self.handle_message(now, &from, msg, cx);
            }
            EntryMessage::Tick => self.tick(now, cx),
            _ => {}
        }
    }
}

fn zone_peers(cx: &EntryContext<'_>) -> Vec<Name> {
    let me = &cx.shared.me;
    let in_zone = cx.shared.view.members.values().filter(|member| member.zone == me.zone);
    in_zone.map(|member| member.name.clone()).filter(|name| *name != me.name).collect()
}

fn send(cx: &mut EntryContext<'_>, to: &Name, msg: ConfigMessage) {
    let message = PeerMessage::Config(msg);
    cx.act(EntryAction::ToPeer { to: to.clone(), message });
}
