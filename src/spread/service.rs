//! The service for configuration; the only writer of [`Shared::state`], [`Shared::router`],
//! [`Shared::lease`] and [`Shared::lease_lapsed`].

use std::time::Duration;

use crate::{
    counter::Counter,
    entry::{EntryAction, EntryContext, EntryMessage, Shared},
    kernel::Service,
    name::Name,
    peer::PeerMessage,
    spread::{
        Applied, Entries, SpreadMessage,
        head::{Ack, Head},
        lease::Lease,
        recent::Recent,
        snapshot::{Encoder, Transfer},
    },
    time::Time,
};

/// Time between two acknowledgements of one VM.
const ACK_PERIOD: Duration = Duration::from_millis(500);

/// Time between two messages of the head to each VM of its availability zone.
const BEAT_PERIOD: Duration = Duration::from_secs(1);

/// Least time between two requests for what is missing.
const ASK_PERIOD: Duration = Duration::from_millis(50);

/// Time between two requests to heads of other availability zones.
const NEIGHBOUR_PERIOD: Duration = Duration::from_millis(500);

/// Time between two writes of the configuration to disk.
const SAVE_PERIOD: Duration = Duration::from_secs(1);

/// Applies the configuration, spreads it inside the availability zone and keeps the lease.
pub(crate) struct Config {
    /// Whether entries come from the shell only, so that no lease is kept.
    given: bool,
    incarnation: u64,
    lease: Lease,
    head: Head,
    /// Since when this VM has been its availability zone's head.
    leads: Option<Time>,
    recent: Recent,
    encoder: Encoder,
    transfer: Option<Transfer>,
    ack_at: Time,
    beat_at: Time,
    ask_at: Time,
    neighbour_at: Time,
    save_at: Time,
    saved: u64,
    turn: usize,
}

impl Config {
    /// Returns a service that takes entries from the shell and is never careful.
    pub(crate) fn given() -> Config {
        Config { given: true, ..Config::new(0, 0) }
    }

    /// Returns a service for the start `incarnation` of a VM that has applied `index`.
    pub(crate) fn new(incarnation: u64, index: u64) -> Config {
        Config {
            given: false,
            incarnation,
            lease: Lease::new(incarnation),
            head: Head::new(),
            leads: None,
            recent: Recent::new(index),
            encoder: Encoder::default(),
            transfer: None,
            ack_at: Time::ZERO,
            beat_at: Time::ZERO,
            ask_at: Time::ZERO,
            neighbour_at: Time::ZERO,
            save_at: Time::ZERO,
            saved: index,
            turn: 0,
        }
    }

    fn message(&mut self, now: Time, from: &Name, msg: SpreadMessage, cx: &mut EntryContext<'_>) {
        match msg {
            SpreadMessage::Entries(entries) => self.entries(now, Some(from), entries, cx),
            SpreadMessage::Ack { applied, stamp } => self.ack(now, from, applied, stamp, cx),
            SpreadMessage::Beat { index, digest, grant } => {
                if let Some(grant) = grant {
                    self.lease.take(now, &grant);
                    self.update_lease(now, cx);
                }
                self.beat(now, from, index, digest, cx);
            }
            SpreadMessage::Ask { after } => self.answer_ask(now, from, after, cx),
            SpreadMessage::AskPart { index, offset } => {
                let part = self.encoder.part(now, &cx.shared.state, index, offset);
                send(cx, from, part);
            }
            SpreadMessage::Part { index, digest, total, offset, bytes } => {
                self.part(now, from, (index, digest, total), offset, &bytes, cx);
            }
        }
    }

    /// Applies entries in order; older ones change nothing, and a gap is asked for.
    fn entries(
        &mut self,
        now: Time,
        from: Option<&Name>,
        entries: Entries,
        cx: &mut EntryContext<'_>,
    ) {
        let before = cx.shared.state.index;
        if let Some(snapshot) = entries.snapshot {
            if snapshot.index > before {
                self.recent = Recent::new(snapshot.index);
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
                self.ask(now, from, cx);
                break;
            }
        }
        if cx.shared.state.index > before {
            self.applied(now, before, cx);
        }
    }

    /// Does what follows a new index: tables, the head's VMs, the acknowledgement.
    fn applied(&mut self, now: Time, before: u64, cx: &mut EntryContext<'_>) {
        cx.shared.router.update(&cx.shared.state);
        if self.given {
            return;
        }
        if self.leads.is_some() {
            self.push(before, cx);
        }
        self.acknowledge(now, cx);
    }

    /// Hands the entries after `before` to every VM of the availability zone.
    fn push(&mut self, before: u64, cx: &mut EntryContext<'_>) {
        let Some(entries) = self.recent.after(before) else {
            self.beat_at = Time::ZERO;
            return;
        };
        for vm in others_inside(cx) {
            send(cx, &vm, SpreadMessage::Entries(entries.clone()));
        }
    }

    fn acknowledge(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        self.ack_at = now + ACK_PERIOD;
        let applied = Applied { incarnation: self.incarnation, index: cx.shared.state.index };
        let me = &cx.shared.me;
        let Some(head) = cx.shared.view.head(&me.zone).map(|head| head.name.clone()) else {
            return;
        };
        if head == me.name {
            self.head.ack(now, &head, Ack { applied, stamp: now });
        } else {
            send(cx, &head, SpreadMessage::Ack { applied, stamp: now });
        }
    }

    fn ack(
        &mut self,
        now: Time,
        from: &Name,
        applied: Applied,
        stamp: Time,
        cx: &mut EntryContext<'_>,
    ) {
        self.head.ack(now, from, Ack { applied, stamp });
        let index = cx.shared.state.index;
        if applied.index > index {
            self.ask(now, Some(from), cx);
        } else if applied.index < index {
            self.answer_ask(now, from, applied.index, cx);
        }
    }

    /// Compares this VM's state with that of the head.
    fn beat(&mut self, now: Time, from: &Name, index: u64, digest: u64, cx: &mut EntryContext<'_>) {
        if index > cx.shared.state.index {
            self.ask(now, Some(from), cx);
        } else if index < cx.shared.state.index {
            // The head will catch up with what reached this VM first.
        } else if self.encoder.digest(&cx.shared.state) == digest {
            cx.shared.config_complete = true;
        } else if self.transfer.is_none() {
            cx.count(Counter::DigestMismatches);
            send(cx, from, SpreadMessage::AskPart { index, offset: 0 });
        }
    }

    fn ask(&mut self, now: Time, from: Option<&Name>, cx: &mut EntryContext<'_>) {
        let Some(from) = from else { return };
        if now < self.ask_at || self.transfer.is_some() {
            return;
        }
        self.ask_at = now + ASK_PERIOD;
        let after = cx.shared.state.index;
        send(cx, from, SpreadMessage::Ask { after });
    }

    fn answer_ask(&mut self, now: Time, from: &Name, after: u64, cx: &mut EntryContext<'_>) {
        if after >= cx.shared.state.index {
            return;
        }
        let msg = match self.recent.after(after) {
            Some(entries) => SpreadMessage::Entries(entries),
            None => self.encoder.first(now, &cx.shared.state, after),
        };
        send(cx, from, msg);
    }

    /// Takes over a part of a snapshot that is newer than this VM's state, or differs from it.
    fn part(
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
        if !transfer.is_of(from, index, digest, total) {
            return;
        }
        match transfer.take(now, offset, bytes) {
            Ok(None) => self.ask_parts(now, cx),
            Ok(Some(state)) => {
                self.transfer = None;
                let before = cx.shared.state.index;
                self.recent = Recent::new(state.index);
                self.encoder.reset();
                cx.shared.state = state;
                cx.count(Counter::SnapshotsApplied);
                self.applied(now, before, cx);
            }
            Err(()) => {
                self.transfer = None;
                cx.count(Counter::SnapshotsRefused);
            }
        }
    }

    fn ask_parts(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let Some(transfer) = &mut self.transfer else { return };
        let (from, asks) = transfer.asks(now);
        for ask in asks {
            send(cx, &from, ask);
        }
    }

    /// Takes over the answer of a control VM.
    fn reply(&mut self, now: Time, report: u64, entries: Entries, cx: &mut EntryContext<'_>) {
        let granted = self.head.answer(now, report, &entries);
        self.entries(now, None, entries, cx);
        for vm in granted {
            if vm != cx.shared.me.name {
                self.send_beat(&vm, cx);
            } else if let Some(grant) = self.head.grant(&vm) {
                self.lease.take(now, &grant);
                self.update_lease(now, cx);
            }
        }
    }

    fn send_beat(&mut self, vm: &Name, cx: &mut EntryContext<'_>) {
        let index = cx.shared.state.index;
        let digest = self.encoder.digest(&cx.shared.state);
        let grant = self.head.grant(vm);
        send(cx, vm, SpreadMessage::Beat { index, digest, grant });
    }

    fn tick(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        self.update_lease(now, cx);
        self.encoder.tick(now);
        self.transfer.take_if(|transfer| transfer.has_stopped(now));
        self.ask_parts(now, cx);
        if now >= self.ack_at {
            self.acknowledge(now, cx);
        }
        let me = &cx.shared.me;
        let leads = cx.shared.view.head(&me.zone).is_some_and(|head| head.name == me.name);
        self.leads = if leads { self.leads.or(Some(now)) } else { None };
        if let Some(since) = self.leads {
            self.lead(now, since, cx);
        }
        if cx.shared.state.index > self.saved && now >= self.save_at {
            self.saved = cx.shared.state.index;
            self.save_at = now + SAVE_PERIOD;
            cx.act(EntryAction::Save);
        }
    }

    /// Does the head's work: reports, messages to its VMs, other heads where no control VM answers.
    fn lead(&mut self, now: Time, since: Time, cx: &mut EntryContext<'_>) {
        if let Some((report, progress)) = self.head.report(now, cx.shared.state.index) {
            cx.act(EntryAction::Report { report, progress });
        }
        if now >= self.beat_at && cx.shared.config_complete {
            self.beat_at = now + BEAT_PERIOD;
            for vm in others_inside(cx) {
                self.send_beat(&vm, cx);
            }
        }
        if self.head.is_cut_off(now, since) && now >= self.neighbour_at {
            self.neighbour_at = now + NEIGHBOUR_PERIOD;
            self.ask_neighbour(now, cx);
        }
    }

    /// Asks the head of another availability zone, each in turn, for what it has.
    fn ask_neighbour(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let view = &cx.shared.view;
        let mut zones: Vec<_> = view.members.values().map(|member| &member.zone).collect();
        zones.sort();
        zones.dedup();
        zones.retain(|zone| **zone != cx.shared.me.zone);
        if zones.is_empty() {
            return;
        }
        self.turn += 1;
        let head = view.head(zones[self.turn % zones.len()]).map(|head| head.name.clone());
        self.ask(now, head.as_ref(), cx);
    }

    fn update_lease(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        cx.shared.lease = Some(self.lease.until());
        cx.shared.config_complete |= self.lease.until() > Time::ZERO;
        if cx.shared.update_lease(now) {
            cx.count(Counter::LeasesLapsed);
        }
    }
}

impl Service<Shared, EntryMessage, EntryAction> for Config {
    fn handle(&mut self, now: Time, msg: EntryMessage, cx: &mut EntryContext<'_>) {
        match msg {
            EntryMessage::Entries(entries) => self.entries(now, None, entries, cx),
            _ if self.given => {}
            EntryMessage::Reply { report, entries } => self.reply(now, report, entries, cx),
            EntryMessage::Peer { from, message: PeerMessage::Spread(msg) } => {
                self.message(now, &from, msg, cx);
            }
            EntryMessage::Tick => self.tick(now, cx),
            _ => {}
        }
    }
}

fn others_inside(cx: &EntryContext<'_>) -> Vec<Name> {
    let me = &cx.shared.me;
    let inside = cx.shared.view.members.values().filter(|member| member.zone == me.zone);
    inside.map(|member| member.name.clone()).filter(|name| *name != me.name).collect()
}

fn send(cx: &mut EntryContext<'_>, to: &Name, msg: SpreadMessage) {
    let message = PeerMessage::Spread(msg);
    cx.act(EntryAction::ToPeer { to: to.clone(), message });
}
