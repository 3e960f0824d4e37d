//! What a control VM tells the others and entry VMs of backend servers.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use tokio::sync::mpsc;

use super::shell::{Peer, Shell};
use crate::{
    cookie::{ControlEndpoint, FeedMessage, Gossip, ServerRecord, UpdateOutcome},
    daemon::link::{self, Parcel, PeerFrame},
    name::Name,
};

/// Time without gossip after which a control VM that is no member is not named to entry VMs.
const PRESENT: Duration = Duration::from_secs(6);

impl Shell {
    /// Tells entry VMs and the other control VMs of changed servers; the receiver hears of each
    /// VM that has it.
    pub(super) fn spread(&mut self, records: Vec<ServerRecord>) -> mpsc::Receiver<()> {
        self.changed = true;
        let (sender, arrived) = mpsc::channel(1);
        self.publish(records.clone(), Some(&sender));
        self.gossip(false, records, Vec::new(), Some(&sender));
        arrived
    }

    /// Tells entry VMs of changed servers, of most of them with the next message.
    pub(super) fn publish(
        &mut self,
        records: Vec<ServerRecord>,
        arrived: Option<&mpsc::Sender<()>>,
    ) {
        if let Some(records) = self.news.push(self.now(), records) {
            self.publisher.send(&FeedMessage::Servers { all: false, records }, arrived);
        }
    }

    pub(super) fn gossip(
        &mut self,
        asks: bool,
        records: Vec<ServerRecord>,
        alive: Vec<(u64, u64)>,
        arrived: Option<&mpsc::Sender<()>>,
    ) {
        let gossip = Gossip {
            from: self.seat(),
            request_all: asks,
            registry_age: None,
            records,
            refreshed: alive,
        };
        for to in self.others() {
            let parcel =
                Parcel { message: PeerFrame::Gossip(gossip.clone()), arrived: arrived.cloned() };
            self.post(to, parcel);
        }
    }

    pub(super) fn post(&mut self, to: SocketAddr, parcel: Parcel<PeerFrame>) {
        let link = self.links.entry(to).or_insert_with(|| link::start(to, self.reached.clone()));
        // A full queue loses the message, as the way there may.
        _ = link.try_send(parcel);
    }

    pub(super) fn seat(&self) -> ControlEndpoint {
        ControlEndpoint { addr: self.settings.listen, zone: self.settings.zone.clone() }
    }

    /// Returns where the other control VMs are reached.
    pub(super) fn others(&self) -> BTreeSet<SocketAddr> {
        let now = self.now();
        let members = self.node.replica().members().all().map(|(_, seat)| seat.addr);
        let mut others: BTreeSet<_> = members.collect();
        others.extend(&self.settings.seeds);
        let present = self.peers.iter().filter(|(_, peer)| now.since(peer.heard) < PRESENT);
        others.extend(present.map(|(addr, _)| *addr));
        others.remove(&self.settings.listen);
        others
    }

    pub(super) fn heard(&mut self, gossip: Gossip) {
        let now = self.now();
        let Gossip { from, request_all, registry_age, records, refreshed } = gossip;
        let peer = Peer { zone: from.zone, heard: now };
        self.peers.insert(from.addr, peer);
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
        if !changed.is_empty() {
            self.changed = true;
            self.publish(changed, None);
        }
        if let Some(age) = registry_age {
            self.registry.inherit_age(now, age);
            self.caught_up = true;
        }
        if request_all {
            self.tell_all(from.addr);
        }
    }

    /// Tells a control VM all that is known; what was told before it was reached may be lost.
    pub(super) fn tell_all(&mut self, to: SocketAddr) {
        let age = Some(self.registry.age(self.now()));
        let records = self.registry.records().cloned().collect();
        let gossip = Gossip {
            from: self.seat(),
            request_all: false,
            registry_age: age,
            records,
            refreshed: Vec::new(),
        };
        self.post(to, Parcel { message: PeerFrame::Gossip(gossip), arrived: None });
    }

    pub(super) fn beat(&self) -> FeedMessage {
        let now = self.now();
        let seats = self.others().into_iter().map(|addr| {
            let zone = self.peers.get(&addr).map_or_else(|| Name::from(""), |p| p.zone.clone());
            ControlEndpoint { addr, zone }
        });
        FeedMessage::Heartbeat {
            index: self.node.state().index,
            confirmed: self.node.is_fresh(now),
            registry_age: self.registry.age(now),
            control_vms: seats.chain([self.seat()]).collect(),
        }
    }
}
