//! What a control VM tells operators about itself and the others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ControlAction, ControlEvent, ControlNode, replica::Identity};
use crate::{name::Name, time::Time};

/// What a replica does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Orders changes.
    Leader,
    /// Follows the leader.
    Follower,
    /// Belongs to no log yet.
    Outside,
    /// Its disk has failed; it promises nothing.
    Halted,
}

/// A replica as the asked control VM knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Name of the control VM.
    pub name: Name,
    /// The replica, as text.
    pub replica: Name,
    /// Whether its vote counts.
    pub voter: bool,
    /// Last entry that it has synced, as the leader knows.
    pub synced: Option<u64>,
    /// Time since its last answer, in milliseconds, as the leader knows.
    pub silent_ms: Option<u64>,
}

/// A control VM's view.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ControlStatus {
    /// Name of the asked control VM.
    pub name: Name,
    /// What it does.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader, where it knows one.
    pub leader: Option<Name>,
    /// Last entry of the log that it knows to be committed.
    pub commit: u64,
    /// Number of configuration commands that it has applied.
    pub index: u64,
    /// Availability zones that are out.
    pub zones_out: Vec<Name>,
    /// Backend servers that operators drain.
    pub drains: Vec<Name>,
    /// The replicas.
    pub members: Vec<ReplicaStatus>,
}

impl ControlNode {
    /// Returns what this VM knows now, which may be out of date.
    pub fn status(&self, now: Time) -> ControlStatus {
        let replica = self.replica();
        let peers = replica.peers();
        let member = |id: Identity, name: &Name, voter: bool| {
            let peer = peers.iter().find(|(peer, ..)| *peer == id);
            let silent = |at: Time| now.since(at).as_millis() as u64;
            let own = (id == replica.me()).then_some((replica.durable(), Duration::ZERO));
            ReplicaStatus {
                name: name.clone(),
                replica: id.to_string().into(),
                voter,
                synced: peer.map(|peer| peer.1).or(own.map(|own| own.0)),
                silent_ms: peer.map(|peer| silent(peer.2)).or(own.map(|_| 0)),
            }
        };
        let members = replica.members();
        let voters = members.voters.iter().map(|(&id, seat)| member(id, &seat.name, true));
        let learners = members.learners.iter().map(|(&id, seat)| member(id, &seat.name, false));
        ControlStatus {
            name: self.seat.name.clone(),
            role: self.role(),
            term: replica.term(),
            leader: self.leader().map(|seat| seat.name.clone()),
            commit: replica.commit(),
            index: self.state().index,
            zones_out: self.state().zones_out.keys().cloned().collect(),
            drains: self.state().drains.iter().cloned().collect(),
            members: voters.chain(learners).collect(),
        }
    }

    /// Handles one event; returns what the shell has to do, and a line where this VM's part in the
    /// log has changed.
    pub(crate) fn step(
        &mut self,
        now: Time,
        event: ControlEvent,
    ) -> (Vec<ControlAction>, Option<String>) {
        let before = self.status_line();
        let mut out = Vec::new();
        self.handle(now, event, &mut out);
        let after = self.status_line();
        (out, (before != after).then_some(after))
    }

    fn status_line(&self) -> String {
        let leader = self.leader().map_or("no leader", |seat| &seat.name);
        let role = match self.role() {
            Role::Leader => "leader",
            Role::Follower => "follower",
            Role::Outside => "outside of the log",
            Role::Halted => "halted by its disk",
        };
        let voters = self.replica().members().voters.len();
        format!("{role} in term {}, leader: {leader}, voters: {voters}", self.replica().term())
    }

    fn role(&self) -> Role {
        let replica = self.replica();
        if replica.is_halted() {
            Role::Halted
        } else if replica.is_leader() {
            Role::Leader
        } else if replica.members().seat(replica.me()).is_some() {
            Role::Follower
        } else {
            Role::Outside
        }
    }
}
