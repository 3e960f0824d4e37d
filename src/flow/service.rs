//! The flow service of an entry VM: forwards the packets of tracked buckets by the records of their
//! flows.

use std::{net::SocketAddr, time::Duration};

use crate::{
    counter::Counter,
    entry::{EntryAction, EntryContext, EntryMessage, Shared, Verdict},
    flow::{
        self, FlowMessage, HASH_SEED, MovePhase, Packet,
        outbox::Outbox,
        ownership::Ownership,
        record::{Record, RecordKey, Records, Shard},
        settler::Settler,
        specs::ServiceCache,
        waiting::PendingLookups,
    },
    kernel::Service,
    name::Name,
    packet::{self, Geneve, Protocol, Segment},
    peer::PeerMessage,
    time::Time,
};

/// Maximum number of times a packet is relayed between VMs.
const MAX_HOPS: u8 = 4;

/// Time after the last packet left to the next VM because the lease had lapsed, for which that VM
/// may have records that have not arrived: a batch and its repetitions at the rate limit.
const DEFERRAL_OVERLAP: Duration = Duration::from_secs(5);

/// Number of VMs that are asked then; the next one may have had no lease either.
const DEFERRAL_VMS: usize = 2;

/// Tracks flows and forwards their packets.
pub(crate) struct Flows {
    pub(super) records: Records,
    pub(super) ownership: Ownership,
    pub(super) outbox: Outbox,
    pub(super) lookups: PendingLookups,
    pub(super) settler: Settler,
    pub(super) services: ServiceCache,
    pub(super) inbound: super::handover::InboundTransfers,
    /// When this VM last left a packet to the next VM because its lease had lapsed.
    deferred_at: Option<Time>,
}

impl Flows {
    /// Creates the flow service; it starts without records.
    pub(crate) fn new(shared: &Shared) -> Flows {
        Flows {
            records: Records::default(),
            ownership: Ownership::new(shared.me.name.clone(), shared.view.clone()),
            outbox: Outbox::default(),
            lookups: PendingLookups::default(),
            settler: Settler::default(),
            services: ServiceCache::default(),
            inbound: Default::default(),
            deferred_at: None,
        }
    }

    /// Handles a packet of a tracked bucket that came from this VM's packet path (`hops` is 0) or
    /// was relayed by `from`.
    fn handle_packet(
        &mut self,
        now: Time,
        service: Name,
        hops: u8,
        from: Option<&Name>,
        bytes: Vec<u8>,
        cx: &mut EntryContext<'_>,
    ) {
        let Some(packet) = parse_packet(service, bytes, cx) else { return };
        let me = &cx.shared.me.name;
        let order = self.ownership.decision_order(&packet.key.shard);
        let position = order.iter().position(|vm| vm == me);
        // The VM before this one in the decision order relays a packet if its lease has lapsed, or
        // if it regards this VM as the owner.
        let predecessor =
            position.filter(|position| *position > 0).map(|position| &order[position - 1]);
        let decides = position.is_some() && (predecessor.is_none() || from == predecessor);
        let next = match position {
            Some(position) if decides => order.get(position + 1),
            _ => order.first(),
        };
        let next = next.filter(|_| hops < MAX_HOPS).cloned();
        // While the lease has lapsed, this VM decides only on flows whose recorded server it knows.
        let defers = cx.shared.lease_lapsed && self.recorded_slot(&packet.key, cx).is_none();
        match next {
            Some(next) if !decides || defers => {
                self.deferred_at = if decides { Some(now) } else { self.deferred_at };
                relay(next, packet, hops, cx);
            }
            _ if decides => self.decide(now, packet, predecessor, cx),
            // The decision belongs to another VM, but none is known or the hop limit is reached.
            // Drop the packet rather than guess.
            _ => cx.count(Counter::PacketsUnowned),
        }
    }

    /// Decides on a packet as the owner of its shard, or on behalf of the VM `predecessor` that
    /// relayed it.
    fn decide(
        &mut self,
        now: Time,
        packet: Packet,
        predecessor: Option<&Name>,
        cx: &mut EntryContext<'_>,
    ) {
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
        if let Some(slot) = self.lookup(now, &packet.key, cx) {
            self.forward(now, packet, slot, cx);
            return;
        }
        let mut candidates = self.ownership.former_owners(shard);
        // A leaving owner may have relayed the packet before it sent the record.
        candidates.extend(predecessor.cloned());
        if self.deferred_at.is_some_and(|at| now.since(at) < DEFERRAL_OVERLAP) {
            candidates.extend(self.ownership.successors(shard).into_iter().take(DEFERRAL_VMS));
        }
        if candidates.is_empty() {
            self.forward_unrecorded(now, packet, false, cx);
            return;
        }
        let key = packet.key.clone();
        match self.lookups.hold(now, packet, candidates) {
            Some(asked) => {
                cx.count(Counter::FlowsAsked);
                asked.into_iter().for_each(|vm| send_lookup(vm, &key, cx));
            }
            None => cx.count(Counter::PacketsOverflowed),
        }
    }

    /// Returns the slot of the recorded backend server, if there is a record and the server is
    /// known.
    fn recorded_slot(&self, key: &RecordKey, cx: &EntryContext<'_>) -> Option<u16> {
        let record = self.records.get(key)?;
        cx.shared.state.placements.get(&key.shard.service)?.slot_of_server(record.server)
    }

    /// Returns the slot of the recorded backend server and updates the time of the last packet.
    /// Removes a record that has expired or whose server is gone.
    fn lookup(&mut self, now: Time, key: &RecordKey, cx: &mut EntryContext<'_>) -> Option<u16> {
        let idle = self.services.get(&cx.shared.state, &key.shard.service)?.idle;
        let record = self.records.get_mut(key)?;
        if now.since(record.last_seen) >= idle {
            self.records.remove(key);
            cx.count(Counter::FlowsExpired);
            return None;
        }
        record.last_seen = now;
        match self.recorded_slot(key, cx) {
            Some(slot) => Some(slot),
            // The server may be newer than this VM's configuration.
            None if cx.shared.lease_lapsed => None,
            None => {
                self.records.remove(key);
                cx.count(Counter::FlowsLost);
                None
            }
        }
    }

    /// Forwards a packet whose flow has no record. `is_asked` means that the former owners have
    /// denied having one; the flow is then recorded even if the packet does not open it, so that
    /// they are not asked again.
    pub(super) fn forward_unrecorded(
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
        let slot = if opens { bucket.open_slot() } else { bucket.fallback_slot() };
        let is_tracked = opens || (is_asked && packet.segment != Segment::Error);
        let slot = match is_tracked && !self.record(now, &packet.key, slot, cx) {
            true => bucket.fallback_slot(),
            false => slot,
        };
        if slot != bucket.fallback_slot()
            && let Some(second) = self.other_owner(&packet.key.shard)
        {
            // Without a record the flow would go to the old target, so the second owner has the
            // record before the server sees the flow. A repeated opening finds the record here and
            // does not depend on the second owner.
            send_open(second, packet, slot, cx);
            return;
        }
        self.forward(now, packet, slot, cx);
    }

    /// Returns the second owner of `shard` if this VM is the first one.
    fn other_owner(&mut self, shard: &Shard) -> Option<Name> {
        let owners = self.ownership.owners(shard);
        owners.second.filter(|_| owners.first.as_ref() == Some(self.ownership.me()))
    }

    /// Stores the record of a flow that opens and forwards its packet.
    fn handle_open(
        &mut self,
        now: Time,
        service: Name,
        server: u32,
        bytes: Vec<u8>,
        cx: &mut EntryContext<'_>,
    ) {
        let Some(packet) = parse_packet(service, bytes, cx) else { return };
        let placement = cx.shared.state.placements.get(&packet.key.shard.service);
        // A VM that does not know the server yet leaves the flow to the repeated opening.
        let Some(slot) = placement.and_then(|placement| placement.slot_of_server(server)) else {
            cx.count(Counter::PacketsUnserved);
            return;
        };
        if self.records.get(&packet.key).is_none() {
            self.records.insert(&packet.key, Record { server, last_seen: now });
        }
        let slot = self.recorded_slot(&packet.key, cx).unwrap_or(slot);
        self.forward(now, packet, slot, cx);
    }

    /// Records a flow; returns false if the slot has no server or the table is full.
    fn record(&mut self, now: Time, key: &RecordKey, slot: u16, cx: &mut EntryContext<'_>) -> bool {
        let placement = cx.shared.state.placements.get(&key.shard.service);
        let Some(server) = placement.and_then(|placement| placement.server_id_in(slot)) else {
            return false;
        };
        if !self.records.insert(key, Record { server, last_seen: now }) {
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
        let Some(to) = placement.and_then(|p| Some(p.target_in(slot)?.packets)) else {
            cx.count(Counter::PacketsUnserved);
            return;
        };
        let bucket = placement.and_then(|p| p.bucket(key.shard.bucket.into()));
        if bucket.is_some_and(|bucket| bucket.next != slot) {
            self.settler.restart(now, &key.shard);
        }
        cx.count(Counter::PacketsForwarded);
        cx.act(EntryAction::Send { to, bytes });
    }

    /// Forwards held packets once the record of their flow, or its absence, is known.
    fn resume(&mut self, now: Time, packets: Vec<Packet>, cx: &mut EntryContext<'_>) {
        for packet in packets {
            match self.lookup(now, &packet.key, cx) {
                Some(slot) => self.forward(now, packet, slot, cx),
                None => self.forward_unrecorded(now, packet, true, cx),
            }
        }
    }

    fn handle_peer(
        &mut self,
        now: Time,
        from: Name,
        message: FlowMessage,
        cx: &mut EntryContext<'_>,
    ) {
        match message {
            FlowMessage::Relay { service, hops, bytes } => {
                self.handle_packet(now, service, hops.max(1), Some(&from), bytes, cx);
            }
            FlowMessage::Lookup { service, caller } => {
                let key = self.record_key(&service, caller, cx);
                let server = key.and_then(|key| self.records.get(&key)).map(|r| r.server);
                send_to_peer(from, FlowMessage::LookupReply { service, caller, server }, cx);
            }
            FlowMessage::LookupReply { service, caller, server } => {
                let Some(key) = self.record_key(&service, caller, cx) else { return };
                self.handle_lookup_reply(now, &from, &key, server, cx);
            }
            FlowMessage::Records { serial, remaining, groups } => {
                self.store_records(now, &from, remaining, groups, cx);
                send_to_peer(from, FlowMessage::RecordsAck { serial }, cx);
            }
            FlowMessage::RecordsAck { serial } => self.outbox.acknowledge(&from, serial),
            FlowMessage::PullRecords => self.handle_pull(&from),
            FlowMessage::PullComplete => self.inbound.complete(from),
            FlowMessage::Open { service, server, bytes } => {
                self.handle_open(now, service, server, bytes, cx);
            }
        }
    }

    fn handle_lookup_reply(
        &mut self,
        now: Time,
        from: &Name,
        key: &RecordKey,
        server: Option<u32>,
        cx: &mut EntryContext<'_>,
    ) {
        let packets = match server {
            Some(server) => {
                let packets = self.lookups.finish(key);
                if !packets.is_empty() && self.records.get(key).is_none() {
                    self.records.insert(key, Record { server, last_seen: now });
                    self.replicate(key);
                }
                packets
            }
            None => self.lookups.record_miss(key, from),
        };
        self.resume(now, packets, cx);
    }

    /// Returns the record key of the flow from `caller`, or `None` if the service is unknown.
    pub(super) fn record_key(
        &mut self,
        service: &Name,
        caller: SocketAddr,
        cx: &EntryContext<'_>,
    ) -> Option<RecordKey> {
        let flow = self.services.get(&cx.shared.state, service)?.flow_key(caller);
        let bucket = flow::bucket(HASH_SEED, &flow) as u16;
        Some(RecordKey { shard: Shard { service: service.clone(), bucket }, caller })
    }

    fn tick(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let view = self.ownership.view();
        let due = self.lookups.tick(now, |vm| view.members.contains_key(vm));
        due.repeat.into_iter().for_each(|(vm, key)| send_lookup(vm, &key, cx));
        (0..due.dropped).for_each(|_| cx.count(Counter::PacketsOverdue));
        self.resume(now, due.unrecorded, cx);
        for (vm, message) in self.outbox.flush(now, &self.records) {
            send_to_peer(vm, message, cx);
        }
        if self.settler.is_due(now) {
            self.expire_records(now, cx);
            self.submit_settled(now, cx);
            self.update_handover(now, cx);
        }
    }
}

impl Service<Shared, EntryMessage, EntryAction> for Flows {
    fn handle(&mut self, now: Time, msg: EntryMessage, cx: &mut EntryContext<'_>) {
        self.apply_view(now, cx);
        match msg {
            EntryMessage::Tracked { service, bytes } => {
                self.handle_packet(now, service, 0, None, bytes, cx)
            }
            EntryMessage::Peer { from, message: PeerMessage::Flow(message) } => {
                self.handle_peer(now, from, message, cx);
            }
            EntryMessage::Tick => self.tick(now, cx),
            _ => {}
        }
    }
}

/// Parses a packet for `service`; drops it if the address belongs to another service on this VM.
fn parse_packet(service: Name, bytes: Vec<u8>, cx: &mut EntryContext<'_>) -> Option<Packet> {
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
    let bucket = flow::bucket(HASH_SEED, &parsed.key) as u16;
    let key = RecordKey { shard: Shard { service, bucket }, caller: parsed.key.caller };
    let (protocol, segment) = (parsed.key.protocol, parsed.segment);
    Some(Packet { key, protocol, segment, bytes })
}

fn relay(to: Name, packet: Packet, hops: u8, cx: &mut EntryContext<'_>) {
    cx.count(Counter::PacketsRelayed);
    let service = packet.key.shard.service;
    send_to_peer(to, FlowMessage::Relay { service, hops: hops + 1, bytes: packet.bytes }, cx);
}

fn send_open(to: Name, packet: Packet, slot: u16, cx: &mut EntryContext<'_>) {
    let service = packet.key.shard.service;
    let placement = cx.shared.state.placements.get(&service);
    let Some(server) = placement.and_then(|placement| placement.server_id_in(slot)) else {
        cx.count(Counter::PacketsUnserved);
        return;
    };
    cx.count(Counter::PacketsRelayed);
    send_to_peer(to, FlowMessage::Open { service, server, bytes: packet.bytes }, cx);
}

fn send_lookup(vm: Name, key: &RecordKey, cx: &mut EntryContext<'_>) {
    let (service, caller) = (key.shard.service.clone(), key.caller);
    send_to_peer(vm, FlowMessage::Lookup { service, caller }, cx);
}

pub(super) fn send_to_peer(to: Name, message: FlowMessage, cx: &mut EntryContext<'_>) {
    cx.act(EntryAction::ToPeer { to, message: PeerMessage::Flow(message) });
}
