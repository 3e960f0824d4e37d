//! Status of a control VM as shown to operators.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    ControlAction, ControlEvent, ControlNode,
    replica::{ControlEndpoint, ReplicaId},
};
use crate::{name::Name, time::Time};

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Proposes and commits changes.
    Leader,
    /// Follows the leader.
    Follower,
    /// Not a member of the cluster.
    Outside,
    /// Halted after a disk failure.
    Halted,
}

/// Status of a replica as known by the queried control VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Name of the control VM.
    pub name: Name,
    /// Replica id as text.
    pub replica: Name,
    /// Whether the replica is a voter.
    pub voter: bool,
    /// Last synced log index; known to the leader, and to the replica itself.
    pub synced: Option<u64>,
    /// Time since the last reply in milliseconds; known to the leader.
    pub silent_ms: Option<u64>,
}

/// Status of a control VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ControlStatus {
    /// Name of the queried control VM.
    pub name: Name,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<Name>,
    /// Last log index known to be committed.
    pub commit: u64,
    /// Number of configuration commands applied.
    pub index: u64,
    /// Availability zones taken out of service.
    pub zones_out: Vec<Name>,
    /// Backend servers drained by operators.
    pub drains: Vec<Name>,
    /// How many more voters the log may lose now and still have a quorum; known to the leader.
    pub margin: Option<usize>,
    /// All replicas of the cluster.
    pub members: Vec<ReplicaStatus>,
}

impl ControlNode {
    /// Returns the status of this VM. It may be stale.
    pub fn status(&self, now: Time) -> ControlStatus {
        let replica = self.replica();
        let peers = replica.peer_progress();
        let member = |id: ReplicaId, name: &Name, voter: bool| {
            let peer = peers.iter().find(|(peer, ..)| *peer == id);
            let silent = |at: Time| now.since(at).as_millis() as u64;
            let local = (id == replica.id()).then_some((replica.synced_index(), Duration::ZERO));
            ReplicaStatus {
                name: name.clone(),
                replica: id.to_string().into(),
                voter,
                synced: peer.map(|peer| peer.1).or(local.map(|local| local.0)),
                silent_ms: peer.map(|peer| silent(peer.2)).or(local.map(|_| 0)),
            }
        };
        let members = replica.members();
        let voters = members.voters.iter().map(|(&id, endpoint)| member(id, &endpoint.name, true));
        let learners =
            members.learners.iter().map(|(&id, endpoint)| member(id, &endpoint.name, false));
        ControlStatus {
            name: self.endpoint.name.clone(),
            role: self.role(),
            term: replica.term(),
            leader: self.leader().map(|endpoint| endpoint.name.clone()),
            commit: replica.commit_index(),
            index: self.state().index,
            zones_out: self.state().zones_out.keys().cloned().collect(),
            drains: self.state().drains.iter().cloned().collect(),
            margin: replica.margin(now),
            members: voters.chain(learners).collect(),
        }
    }

    /// Handles one event. Returns the actions, and a log line if the role, term, leader, members or
    /// margin changed.
    pub(crate) fn handle_logged(
        &mut self,
        now: Time,
        event: ControlEvent,
    ) -> (Vec<ControlAction>, Option<String>) {
        let before = self.status_line();
        let mut out = Vec::new();
        self.handle(now, event, &mut out);
        self.margin = self.replica.margin(now);
        let after = self.status_line();
        (out, (before != after).then_some(after))
    }

    fn status_line(&self) -> String {
        let leader = self.leader().map_or("no leader", |endpoint| &endpoint.name);
        let role = match self.role() {
            Role::Leader => "leader",
            Role::Follower => "follower",
            Role::Outside => "outside of the log",
            Role::Halted => "halted by its disk",
        };
        let (term, members) = (self.replica().term(), self.replica().members());
        let names = |replicas: &BTreeMap<_, ControlEndpoint>| {
            replicas.values().map(|endpoint| &*endpoint.name).collect::<Vec<_>>().join(" ")
        };
        let mut line = format!(
            "{role} in term {term}, leader: {leader}, voters: {} ({}), observers: {} ({})",
            members.voters.len(),
            names(&members.voters),
            members.learners.len(),
            names(&members.learners)
        );
        if let Some(margin) = self.margin {
            line += &format!(", bears {margin} more losses");
        }
        if let Some(reason) = self.replica().change_reason() {
            line += &format!(", as {reason}");
        }
        line
    }

    fn role(&self) -> Role {
        let replica = self.replica();
        if replica.is_halted() {
            Role::Halted
        } else if replica.is_leader() {
            Role::Leader
        } else if replica.members().endpoint(replica.id()).is_some() {
            Role::Follower
        } else {
            Role::Outside
        }
    }
}
