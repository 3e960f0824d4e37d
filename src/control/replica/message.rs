//! Types and messages of the Raft log.

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{control::machine::Change, name::Name, time::Time};

/// Identifies a replica, which is one data folder of a control VM. A wiped folder gets a new id.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ReplicaId(u64);

impl ReplicaId {
    /// Creates an id from its number.
    pub const fn new(number: u64) -> ReplicaId {
        ReplicaId(number)
    }

    /// Returns the number of this id.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Name and address of a control VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlEndpoint {
    /// Name of the control VM.
    pub name: Name,
    /// TCP address at which other control VMs reach it.
    pub addr: SocketAddr,
}

/// Membership of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that vote and count towards the quorum.
    pub voters: BTreeMap<ReplicaId, ControlEndpoint>,
    /// Replicas that receive the log without voting: observers, and future voters that are catching
    /// up.
    pub learners: BTreeMap<ReplicaId, ControlEndpoint>,
}

impl Members {
    /// Creates a membership without learners.
    pub fn new(voters: impl IntoIterator<Item = (ReplicaId, ControlEndpoint)>) -> Members {
        Members { voters: voters.into_iter().collect(), learners: BTreeMap::new() }
    }

    /// Returns the number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the control VM of `replica`, or `None` if it is not a member.
    pub fn endpoint(&self, replica: ReplicaId) -> Option<&ControlEndpoint> {
        self.voters.get(&replica).or_else(|| self.learners.get(&replica))
    }

    /// Iterates over all replicas, voters first.
    pub fn iter(&self) -> impl Iterator<Item = (ReplicaId, &ControlEndpoint)> {
        self.voters.iter().chain(&self.learners).map(|(&replica, endpoint)| (replica, endpoint))
    }
}

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation. A new leader appends it to commit entries of earlier terms.
    Noop,
    /// The membership from this entry on.
    Members(Members),
    /// A configuration change.
    Change(Change),
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Content of the entry.
    pub payload: Payload,
}

/// Identifies a log entry by term and index.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogId {
    /// Term of the entry. The first field, so that the derived order tells which log is more up to
    /// date.
    pub term: u64,
    /// Index of the entry, starting at 1. 0 is the position before the first entry.
    pub index: u64,
}

/// Replaces the log up to and including an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry covered by the snapshot.
    pub last_entry: LogId,
    /// The membership as of that entry.
    pub members: Members,
    /// The encoded state machine as of that entry.
    pub data: Arc<[u8]>,
}

/// Raft state that must be synced before a replica answers a message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the replica has seen.
    pub term: u64,
    /// Candidate that received the replica's vote in that term.
    pub vote: Option<ReplicaId>,
}

/// Data to write and sync, in this order: hard state, snapshot, entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Id of the write, increasing by one.
    pub id: u64,
    /// The new hard state, if it changed.
    pub hard_state: Option<HardState>,
    /// The new snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Whether the snapshot replaces the whole existing log.
    pub reset: bool,
    /// Index of the first entry, or 0 if the write changes no entries. Existing entries from there on
    /// are overwritten.
    pub first: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// A Raft message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Sent by a candidate to request a vote.
    RequestVote {
        /// Term of the election.
        term: u64,
        /// Last log entry of the candidate.
        last_entry: LogId,
        /// Whether this is a pre-vote.
        pre_vote: bool,
    },
    /// Reply to [`ReplicaMessage::RequestVote`].
    VoteReply {
        /// Term of the election if granted, otherwise the voter's term.
        term: u64,
        /// Whether the vote was granted.
        granted: bool,
        /// Whether this answers a pre-vote.
        pre_vote: bool,
    },
    /// Replicates log entries; without entries it is a heartbeat.
    AppendEntries {
        /// Term of the leader.
        term: u64,
        /// The entry that precedes `entries`.
        prev: LogId,
        /// The entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Time at which the leader sent the message.
        sent: Time,
    },
    /// Sends a snapshot to a replica that lacks compacted entries.
    InstallSnapshot {
        /// Term of the leader.
        term: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// Time at which the leader sent the message.
        sent: Time,
    },
    /// Announces that the sender is about to end. Followers of a leader need not wait for the
    /// election timeout; a leader gives the place of a voter to another replica.
    StepDown {
        /// Term of the sender.
        term: u64,
    },
    /// Acknowledges the leader's log up to `index` as synced.
    AppendAccepted {
        /// Term of the replica.
        term: u64,
        /// Last log index that is synced and matches the leader's log.
        index: u64,
        /// Send time of the latest leader message received.
        sent: Time,
    },
    /// Rejects [`ReplicaMessage::AppendEntries`] because the preceding entry does not match.
    AppendRejected {
        /// Term of the replica.
        term: u64,
        /// Last index that may match the leader's log.
        hint: u64,
        /// Send time of the latest leader message received.
        sent: Time,
    },
}

impl ReplicaMessage {
    pub(crate) fn term(&self) -> u64 {
        match *self {
            ReplicaMessage::RequestVote { term, .. }
            | ReplicaMessage::VoteReply { term, .. }
            | ReplicaMessage::AppendEntries { term, .. }
            | ReplicaMessage::InstallSnapshot { term, .. }
            | ReplicaMessage::StepDown { term }
            | ReplicaMessage::AppendAccepted { term, .. }
            | ReplicaMessage::AppendRejected { term, .. } => term,
        }
    }
}
