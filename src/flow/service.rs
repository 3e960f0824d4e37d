//! The service for tracked flows of one VM: the owner's decisions on packets of moving buckets.

use std::net::SocketAddr;

use crate::{
    counter::Counter,
    entry::{EntryAction, EntryContext, EntryMessage, Shared, Verdict},
    flow::{
        self, FlowMessage, MovePhase, Packet, SEED,
        outbox::Outbox,
        ownership::Ownership,
        record::{Record, RecordKey, Records, Shard},
        settler::Settler,
        specs::Specs,
        waiting::Waiting,
    },
    kernel::Service,
    name::Name,
    packet::{self, Geneve, Protocol, Segment},
    peer::PeerMessage,
    time::Time,
};

/// Times that a packet is passed on between VMs at most.
const HOP_LIMIT: u8 = 4;

/// Owns the records of tracked flows.
pub(crate) struct Flows {
    pub(super) records: Records,
    pub(super) ownership: Ownership,
    pub(super) outbox: Outbox,
    pub(super) waiting: Waiting,
    pub(super) settler: Settler,
    pub(super) specs: Specs,
    pub(super) feeds: super::handover::Feeds,
}

impl Flows {
    /// Returns the service of the VM `me`, which owns nothing.
    pub(crate) fn new(shared: &Shared) -> Flows {
        Flows {
            records: Records::default(),
            ownership: Ownership::new(shared.me.name.clone(), shared.view.clone()),
            outbox: Outbox::default(),
            waiting: Waiting::default(),
            settler: Settler::default(),
            specs: Specs::default(),
            feeds: Default::default(),
        }
    }

    /// Handles a packet that this VM or `hops` others passed to the flow service.
    fn arrived(
        &mut self,
        now: Time,
        service: Name,
        hops: u8,
        from: Option<&Name>,
        bytes: Vec<u8>,
        cx: &mut EntryContext<'_>,
    ) {
        let Some(packet) = read(service, bytes, cx) else { return };
        let me = &cx.shared.me.name;
        let chain = self.ownership.chain(&packet.key.shard);
        let place = chain.iter().position(|vm| vm == me);
        // A VM that passes a packet on to the next of the chain is careful, or believes that the
        // next one is the owner.
        let before = place.filter(|place| *place > 0).map(|place| &chain[place - 1]);
        let decides = place.is_some() && (before.is_none() || from == before);
        let next = match place {
            Some(place) if decides => chain.get(place + 1),
            _ => chain.first(),
        };
        let next = next.filter(|_| hops < HOP_LIMIT).cloned();
        // A configuration that may be out of date decides only on flows whose server it knows.
        let defers = cx.shared.lease_lapsed && self.slot(&packet.key, cx).is_none();
        match next {
            Some(next) if !decides || defers => relay(next, packet, hops, cx),
            _ if decides => self.own(now, packet, before, cx),
            // A VM that has not found the owners yet does not guess.
            _ => cx.count(Counter::PacketsUnowned),
        }
    }

    /// Decides on a packet as the owner of its shard, or in the place of the owner `before` that
    /// has passed it on.
    fn own(&mut self, now: Time, packet: Packet, before: Option<&Name>, cx: &mut EntryContext<'_>) {
        let shard = &packet.key.shard;
        let placement = cx.shared.state.placements.get(&shard.service);
        let Some(bucket) = placement.and_then(|p| p.bucket(shard.bucket.into()).copied()) else {
            cx.count(Counter::PacketsUnserved);
            return;
        };
        if bucket.phase == MovePhase::Rest && !cx.shared.lease_lapsed {
            self.forward(now, packet, bucket.current, cx);
            return;
        }
        if let Some(slot) = self.recorded(now, &packet.key, cx) {
            self.forward(now, packet, slot, cx);
            return;
        }
        let mut candidates = self.ownership.candidates(shard);
        // An owner that leaves may have passed the packet on before its records.
        candidates.extend(before.cloned());
        if candidates.is_empty() {
            self.missed(now, packet, false, cx);
            return;
        }
        let key = packet.key.clone();
        match self.waiting.hold(now, packet, candidates) {
            Some(asked) => {
                cx.count(Counter::FlowsAsked);
                asked.into_iter().for_each(|vm| ask(vm, &key, cx));
            }
            None => cx.count(Counter::PacketsOverflowed),
        }
    }

    /// Returns the slot of the server that the flow's record names.
    fn slot(&self, key: &RecordKey, cx: &EntryContext<'_>) -> Option<u16> {
        let record = self.records.get(key)?;
        cx.shared.state.placements.get(&key.shard.service)?.find(record.server)
    }

    /// Returns the slot that the flow's record names, and notes that the flow was seen.
    fn recorded(&mut self, now: Time, key: &RecordKey, cx: &mut EntryContext<'_>) -> Option<u16> {
        let idle = self.specs.get(&cx.shared.state, &key.shard.service)?.idle;
        let record = self.records.get_mut(key)?;
        if now.since(record.seen) >= idle {
            self.records.remove(key);
            cx.count(Counter::FlowsExpired);
            return None;
        }
        record.seen = now;
        match self.slot(key, cx) {
            Some(slot) => Some(slot),
            // The server may be newer than the configuration.
            None if cx.shared.lease_lapsed => None,
            None => {
                self.records.remove(key);
                cx.count(Counter::FlowsLost);
                None
            }
        }
    }

    /// Decides on a packet whose flow has no record; `is_asked` tells that other VMs said so, and
    /// then it is recorded, so that they are not asked again.
    pub(super) fn missed(
        &mut self,
        now: Time,
        packet: Packet,
        is_asked: bool,
        cx: &mut EntryContext<'_>,
    ) {
        let shard = &packet.key.shard;
        let placement = cx.shared.state.placements.get(&shard.service);
        let Some(bucket) = placement.and_then(|p| p.bucket(shard.bucket.into()).copied()) else {
            cx.count(Counter::PacketsUnserved);
            return;
        };
        let opens = match (packet.protocol, packet.segment) {
            (_, Segment::Open) => true,
            (Protocol::Udp, segment) => segment != Segment::Error,
            (Protocol::Tcp, _) => false,
        };
        let slot = if opens { bucket.open() } else { bucket.fallback() };
        let is_tracked = opens || (is_asked && packet.segment != Segment::Error);
        let slot = match is_tracked && !self.record(now, &packet.key, slot, cx) {
            true => bucket.fallback(),
            false => slot,
        };
        self.forward(now, packet, slot, cx);
    }

    /// Records a flow and returns whether there was room.
    fn record(&mut self, now: Time, key: &RecordKey, slot: u16, cx: &mut EntryContext<'_>) -> bool {
        let placement = cx.shared.state.placements.get(&key.shard.service);
        let Some(server) = placement.and_then(|placement| placement.id(slot)) else {
            return false;
        };
        if !self.records.insert(key, Record { server, seen: now }) {
            cx.count(Counter::FlowsUntracked);
            return false;
        }
        cx.count(Counter::FlowsRecorded);
        self.replicate(key);
        true
    }

    fn forward(&mut self, now: Time, packet: Packet, slot: u16, cx: &mut EntryContext<'_>) {
        let Packet { key, bytes, .. } = packet;
        let placement = cx.shared.state.placements.get(&key.shard.service);
        let Some(to) = placement.and_then(|p| Some(p.slot(slot)?.packets)) else {
            cx.count(Counter::PacketsUnserved);
            return;
        };
        let bucket = placement.and_then(|p| p.bucket(key.shard.bucket.into()));
        if bucket.is_some_and(|bucket| bucket.next != slot) {
            self.settler.used(now, &key.shard);
        }
        cx.count(Counter::PacketsForwarded);
        cx.act(EntryAction::Send { to, bytes });
    }

    /// Forwards packets that waited, now that the record of their flow is known.
    fn release(&mut self, now: Time, packets: Vec<Packet>, cx: &mut EntryContext<'_>) {
        for packet in packets {
            match self.recorded(now, &packet.key, cx) {
                Some(slot) => self.forward(now, packet, slot, cx),
                None => self.missed(now, packet, true, cx),
            }
        }
    }

    fn peer(&mut self, now: Time, from: Name, message: FlowMessage, cx: &mut EntryContext<'_>) {
        match message {
            FlowMessage::Relay { service, hops, bytes } => {
                self.arrived(now, service, hops.max(1), Some(&from), bytes, cx);
            }
            FlowMessage::Ask { service, caller } => {
                let key = self.key(&service, caller, cx);
                let server = key.and_then(|key| self.records.get(&key)).map(|r| r.server);
                to_peer(from, FlowMessage::Answer { service, caller, server }, cx);
            }
            FlowMessage::Answer { service, caller, server } => {
                let Some(key) = self.key(&service, caller, cx) else { return };
                self.answered(now, &from, &key, server, cx);
            }
            FlowMessage::Records { serial, left, groups } => {
                self.take_records(now, &from, left, groups, cx);
                to_peer(from, FlowMessage::Stored { serial }, cx);
            }
            FlowMessage::Stored { serial } => self.outbox.stored(&from, serial),
            FlowMessage::Pull => self.pulled(&from),
            FlowMessage::Pulled => self.feeds.end(from),
        }
    }

    fn answered(
        &mut self,
        now: Time,
        from: &Name,
        key: &RecordKey,
        server: Option<u32>,
        cx: &mut EntryContext<'_>,
    ) {
        let packets = match server {
            Some(server) => {
                let packets = self.waiting.found(key);
                if !packets.is_empty() && self.records.get(key).is_none() {
                    self.records.insert(key, Record { server, seen: now });
                    self.replicate(key);
                }
                packets
            }
            None => self.waiting.denied(key, from),
        };
        self.release(now, packets, cx);
    }

    /// Returns the name of the flow of `caller`, or `None` where there is no such service.
    pub(super) fn key(
        &mut self,
        service: &Name,
        caller: SocketAddr,
        cx: &EntryContext<'_>,
    ) -> Option<RecordKey> {
        let flow = self.specs.get(&cx.shared.state, service)?.flow(caller);
        let bucket = flow::bucket(SEED, &flow) as u16;
        Some(RecordKey { shard: Shard { service: service.clone(), bucket }, caller })
    }

    fn tick(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let view = self.ownership.view();
        let due = self.waiting.tick(now, |vm| view.members.contains_key(vm));
        due.repeat.into_iter().for_each(|(vm, key)| ask(vm, &key, cx));
        (0..due.dropped).for_each(|_| cx.count(Counter::PacketsOverdue));
        self.release(now, due.missed, cx);
        for (vm, message) in self.outbox.flush(now, &self.records) {
            to_peer(vm, message, cx);
        }
        if self.settler.is_due(now) {
            self.expire(now, cx);
            self.settle(now, cx);
            self.feed(now, cx);
        }
    }
}

impl Service<Shared, EntryMessage, EntryAction> for Flows {
    fn handle(&mut self, now: Time, msg: EntryMessage, cx: &mut EntryContext<'_>) {
        self.follow_view(now, cx);
        match msg {
            EntryMessage::Tracked { service, bytes } => {
                self.arrived(now, service, 0, None, bytes, cx)
            }
            EntryMessage::Peer { from, message: PeerMessage::Flow(message) } => {
                self.peer(now, from, message, cx);
            }
            EntryMessage::Tick => self.tick(now, cx),
            _ => {}
        }
    }
}

/// Reads a packet for `service`; one that belongs to another service here is dropped.
fn read(service: Name, bytes: Vec<u8>, cx: &mut EntryContext<'_>) -> Option<Packet> {
    let Ok(geneve) = Geneve::decode(&bytes) else {
        cx.count(Counter::PacketsMalformed);
        return None;
    };
    match cx.shared.router.route(&cx.shared.state, true, geneve.inner) {
        Verdict::Track { service: here } if here == service => {}
        Verdict::Drop(reason) => {
            cx.count(reason);
            return None;
        }
        _ => {
            cx.count(Counter::PacketsMisdirected);
            return None;
        }
    }
    let parsed = packet::parse(geneve.inner).ok()?;
    let bucket = flow::bucket(SEED, &parsed.key) as u16;
    let key = RecordKey { shard: Shard { service, bucket }, caller: parsed.key.caller };
    let (protocol, segment) = (parsed.key.protocol, parsed.segment);
    Some(Packet { key, protocol, segment, bytes })
}

fn relay(to: Name, packet: Packet, hops: u8, cx: &mut EntryContext<'_>) {
    cx.count(Counter::PacketsRelayed);
    let service = packet.key.shard.service;
    to_peer(to, FlowMessage::Relay { service, hops: hops + 1, bytes: packet.bytes }, cx);
}

fn ask(vm: Name, key: &RecordKey, cx: &mut EntryContext<'_>) {
    let (service, caller) = (key.shard.service.clone(), key.caller);
    to_peer(vm, FlowMessage::Ask { service, caller }, cx);
}

pub(super) fn to_peer(to: Name, message: FlowMessage, cx: &mut EntryContext<'_>) {
    cx.act(EntryAction::ToPeer { to, message: PeerMessage::Flow(message) });
}
