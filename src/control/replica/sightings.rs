//! What a replica has seen of the others itself, whoever leads.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::message::{ControlEndpoint, Members, ReplicaId};
use crate::time::Time;

/// Time for which a control VM that was heard is worth a question.
const RECENT: Duration = Duration::from_secs(6);
/// Maximum number of control VMs that are remembered.
const MAX_VMS: usize = 64;

/// Times at which control VMs that send regularly were last heard.
///
/// A leader that was just elected goes by them: the time for which a voter has been silent does not
/// start with the election.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sightings {
    /// Control VMs that gossip, by address.
    vms: BTreeMap<SocketAddr, Time>,
    /// The last leader that sent heartbeats.
    leader: Option<(ReplicaId, Time)>,
    /// The membership that was recorded last.
    members: Members,
    /// Members whose control VM was none before, with the time at which this replica learned of it.
    joined: BTreeMap<ReplicaId, Time>,
}

impl Sightings {
    /// Records that the control VM at `addr` runs, with whatever disk.
    pub(crate) fn record_vm(&mut self, now: Time, addr: SocketAddr) {
        if self.vms.len() >= MAX_VMS && !self.vms.contains_key(&addr) {
            let oldest = self.vms.iter().min_by_key(|(_, at)| **at).map(|(&addr, _)| addr);
            oldest.and_then(|oldest| self.vms.remove(&oldest));
        }
        self.vms.insert(addr, now);
    }

    /// Returns the control VMs that were heard within [`RECENT`].
    pub(crate) fn recent_vms(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        let recent = self.vms.iter().filter(move |(_, at)| now.since(**at) < RECENT);
        recent.map(|(&addr, _)| addr)
    }

    /// Records the current membership. The first one says nothing about when its members joined.
    pub(crate) fn record_members(&mut self, now: Time, members: &Members) {
        if self.members == *members {
            return;
        }
        let before = std::mem::replace(&mut self.members, members.clone());
        let is_new = |endpoint: &ControlEndpoint| {
            before.iter().all(|(_, other)| other.name != endpoint.name)
        };
        let joined = members.iter().filter(|(_, endpoint)| is_new(endpoint));
        if !before.voters.is_empty() {
            self.joined.extend(joined.map(|(replica, _)| (replica, now)));
        }
        self.joined.retain(|replica, _| members.endpoint(*replica).is_some());
    }

    /// Returns the times at which control VMs became members that were none before.
    pub(crate) fn joined(&self) -> Vec<Time> {
        self.joined.values().copied().collect()
    }

    /// Records a message of the leader.
    pub(crate) fn record_leader(&mut self, now: Time, leader: ReplicaId) {
        self.leader = Some((leader, now));
    }

    /// Forgets the last leader, whose silence says nothing from now on.
    pub(crate) fn forget_leader(&mut self) {
        self.leader = None;
    }

    /// Returns when `replica`, whose control VM is at `addr`, was last heard. `None` if it sends
    /// nothing that this replica would miss.
    pub(crate) fn seen_at(&self, replica: ReplicaId, addr: Option<SocketAddr>) -> Option<Time> {
        let vm = addr.and_then(|addr| self.vms.get(&addr).copied());
        let leader = self.leader.filter(|(leader, _)| *leader == replica).map(|(_, at)| at);
        vm.max(leader)
    }
}
