//! Gossip about backend servers between control VMs, and its publication to entry VMs.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use tokio::sync::mpsc;

use super::event_loop::{EventLoop, Peer};
use crate::{
    cookie::{ControlLocation, FeedMessage, Gossip, ServerRecord, UpdateOutcome},
    daemon::{
        link::{self, Outbound, PeerFrame},
        presence,
    },
    name::Name,
    time::Time,
};

/// Longest interval at which control VMs exchange the addresses of their subscribers, a fraction of
/// the time for which an entry VM is remembered.
const ENTRY_GOSSIP_INTERVAL: Duration = Duration::from_secs(60);
/// Registry age of another control VM from which on this start is not the end of an outage of all.
const SETTLED_AGE: Duration = Duration::from_secs(5);
/// Shortest interval of requests for all records.
const REQUEST_INTERVAL: Duration = Duration::from_secs(2);
/// Time without gossip after which the zone of a control VM is not known to be reachable: some
/// gossip rounds.
const REACHABLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without gossip after which a control VM that is not a member is no longer listed as a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(6);

impl EventLoop {
    /// Sends changed records to entry VMs and the other control VMs. The returned channel is
    /// notified when a VM has acknowledged them.
    pub(super) fn broadcast(&mut self, records: Vec<ServerRecord>) -> mpsc::Receiver<()> {
        self.unsaved = true;
        let (sender, delivered) = mpsc::channel(1);
        self.publish_records(records.clone(), Some(&sender));
        self.send_gossip(false, records, Vec::new(), Some(&sender));
        delivered
    }

    /// Publishes changed records to entry VMs; most are batched with the next message.
    pub(super) fn publish_records(
        &mut self,
        records: Vec<ServerRecord>,
        delivered: Option<&mpsc::Sender<()>>,
    ) {
        if let Some(records) = self.update_batcher.push(self.now(), records) {
            self.publisher.send(&FeedMessage::Servers { all: false, records }, delivered);
        }
    }

    pub(super) fn send_gossip(
        &mut self,
        request_all: bool,
        records: Vec<ServerRecord>,
        refreshed: Vec<(u64, u64)>,
        delivered: Option<&mpsc::Sender<()>>,
    ) {
        let gossip = Gossip {
            from: self.local_location(),
            request_all,
            registry_age: None,
            records,
            refreshed,
        };
        for to in self.peer_addrs() {
            let outbound = Outbound {
                message: PeerFrame::Gossip(gossip.clone()),
                delivered: delivered.cloned(),
            };
            self.send_to_peer(to, outbound);
        }
    }

    /// Requests a plan from the other control VMs if this one has none, for example after it has
    /// lost its disk.
    ///
    /// Its entry VMs would otherwise have to wait for the next leader.
    pub(super) fn request_plan(&mut self) {
        if self.publisher.plan().is_some() {
            return;
        }
        let message = PeerFrame::PlanRequest(self.settings.listen);
        for to in self.peer_addrs() {
            self.send_to_peer(to, Outbound { message: message.clone(), delivered: None });
        }
    }

    /// Sends the newest known plan, if any, to a control VM that has requested it.
    pub(super) fn send_plan(&mut self, to: SocketAddr) {
        if let Some(plan) = self.publisher.plan() {
            self.send_to_peer(to, Outbound { message: PeerFrame::Plan(plan), delivered: None });
        }
    }

    /// Tells entry VMs without a feed that this control VM is up.
    pub(super) fn tell_entry_vms(&mut self, now: Time) {
        for addr in self.publisher.take_lost() {
            self.entry_vms.record_lost(now, addr);
        }
        let due = self.entry_vms.take_due(now);
        if due.is_empty() {
            return;
        }
        let Some(socket) = &self.presence else { return };
        let sent = presence::send(socket, &self.local_location(), &due);
        log::debug!("event=presence_sent vms={} sent={sent}", due.len());
    }

    /// Sends the addresses of new subscribers to the other control VMs, and now and then those of
    /// all subscribers.
    pub(super) fn gossip_entry_vms(&mut self, now: Time) {
        let mut addrs = self.entry_vms.take_news();
        if now >= self.entry_gossip_due {
            self.entry_gossip_due = now + ENTRY_GOSSIP_INTERVAL;
            addrs = self.publisher.subscriber_addrs();
        }
        if addrs.is_empty() {
            return;
        }
        for to in self.peer_addrs() {
            let message = PeerFrame::EntryVms(addrs.clone());
            self.send_to_peer(to, Outbound { message, delivered: None });
        }
    }

    /// Sends the load of the entry VMs that this VM feeds to the other control VMs, if there is any.
    pub(super) fn gossip_load(&mut self, now: Time) {
        let own = &self.settings.zone;
        let shared = self.recent_peers(now).any(|peer| peer.zone == *own);
        let shared = |zone: &Name| shared || zone != own;
        let Some(load) = self.load.contribution(now, self.registry.records(), shared) else {
            return;
        };
        for to in self.peer_addrs() {
            let message = PeerFrame::Load(self.settings.listen, load.clone());
            self.send_to_peer(to, Outbound { message, delivered: None });
        }
    }

    /// Sends load summaries to the entry VMs that report, in zones that are loaded.
    pub(super) fn send_summaries(&mut self, now: Time) {
        if self.load.reporters() == 0 {
            return;
        }
        let reachable = self.reachable_zones(now);
        for (vm, summary) in self.load.take_due(now, self.registry.records(), &reachable) {
            self.publisher.send_summary(&vm, summary);
        }
    }

    /// Returns the zones of this VM, of its subscribers and of control VMs that have sent gossip
    /// lately.
    fn reachable_zones(&self, now: Time) -> BTreeSet<Name> {
        let peers = self.recent_peers(now).map(|peer| &peer.zone);
        let subscribers = self.publisher.subscriber_zones();
        peers.chain(subscribers).chain([&self.settings.zone]).cloned().collect()
    }

    fn recent_peers(&self, now: Time) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| now.since(peer.last_heard) < REACHABLE_TIMEOUT)
    }

    pub(super) fn send_to_peer(&mut self, to: SocketAddr, outbound: Outbound<PeerFrame>) {
        let link = self.links.entry(to).or_insert_with(|| link::start(to, self.connected.clone()));
        // A full queue drops the message, as the network may.
        _ = link.try_send(outbound);
    }

    pub(super) fn local_location(&self) -> ControlLocation {
        ControlLocation { addr: self.settings.listen, zone: self.settings.zone.clone() }
    }

    /// Returns the addresses of the other control VMs: members, seeds, and recent senders of
    /// gossip.
    pub(super) fn peer_addrs(&self) -> BTreeSet<SocketAddr> {
        let now = self.now();
        let members = self.node.replica().members().iter().map(|(_, endpoint)| endpoint.addr);
        let mut peers: BTreeSet<_> = members.collect();
        peers.extend(&self.settings.seeds);
        let recent =
            self.peers.iter().filter(|(_, peer)| now.since(peer.last_heard) < PEER_TIMEOUT);
        peers.extend(recent.map(|(addr, _)| *addr));
        peers.remove(&self.settings.listen);
        peers
    }

    pub(super) fn handle_gossip(&mut self, gossip: Gossip) {
        let now = self.now();
        let Gossip { from, request_all, registry_age, records, refreshed } = gossip;
        let peer = Peer { zone: from.zone, last_heard: now };
        self.peers.insert(from.addr, peer);
        self.node.record_heard(now, from.addr);
        let mut changed = Vec::new();
        for record in records {
            let id = record.announcement.id;
            if self.registry.merge(now, record) == UpdateOutcome::Changed {
                changed.extend(self.registry.get(id).cloned());
            }
        }
        for (id, sequence) in refreshed {
            if self.registry.refresh(now, id, sequence) == UpdateOutcome::Changed {
                changed.extend(self.registry.get(id).cloned());
            }
        }
        if self.registry.take_lacks_record() && now >= self.request_due {
            self.request_due = now + REQUEST_INTERVAL;
            self.request_records(from.addr);
        }
        changed.extend(self.registry.take_superseded());
        if !changed.is_empty() {
            self.unsaved = true;
            self.publish_records(changed, None);
        }
        if let Some(registry_age) = registry_age {
            self.registry.inherit_age(now, registry_age);
            if registry_age >= SETTLED_AGE {
                self.entry_vms.record_other_up();
            }
            self.synchronised = true;
        }
        if request_all {
            self.send_all_records(from.addr);
        }
    }

    /// Requests all records of a control VM, as one that it sent has been lost.
    fn request_records(&mut self, to: SocketAddr) {
        log::info!("event=records_requested from={to}");
        let gossip = Gossip {
            from: self.local_location(),
            request_all: true,
            registry_age: None,
            records: Vec::new(),
            refreshed: Vec::new(),
        };
        self.send_to_peer(to, Outbound { message: PeerFrame::Gossip(gossip), delivered: None });
    }

    /// Sends all records to a control VM, which may have missed those sent before it was connected.
    pub(super) fn send_all_records(&mut self, to: SocketAddr) {
        let registry_age = Some(self.registry.age(self.now()));
        let records = self.registry.all_records().cloned().collect();
        let gossip = Gossip {
            from: self.local_location(),
            request_all: false,
            registry_age,
            records,
            refreshed: Vec::new(),
        };
        self.send_to_peer(to, Outbound { message: PeerFrame::Gossip(gossip), delivered: None });
    }

    pub(super) fn heartbeat(&self) -> FeedMessage {
        let now = self.now();
        FeedMessage::Heartbeat {
            index: self.node.state().index,
            confirmed: self.node.is_up_to_date(now),
            registry_age: self.registry.age(now),
            control_vms: self.control_vms(),
        }
    }

    /// Returns every known control VM, this one included.
    pub(super) fn control_vms(&self) -> Vec<ControlLocation> {
        let others = self.peer_addrs().into_iter().map(|addr| {
            let zone = self.peers.get(&addr).map_or_else(|| Name::from(""), |p| p.zone.clone());
            ControlLocation { addr, zone }
        });
        others.chain([self.local_location()]).collect()
    }
}
