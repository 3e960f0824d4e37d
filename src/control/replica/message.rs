//! What replicas of the log know about each other and send each other.

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{control::machine::Change, name::Name, time::Time};

/// A replica: one data folder of one control VM. A VM whose folder was wiped has another one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Identity(u64);

impl Identity {
    /// Returns the identity with this number.
    pub const fn new(number: u64) -> Identity {
        Identity(number)
    }

    /// Returns the number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The control VM of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Name of the control VM.
    pub name: Name,
    /// Where it is called (TCP).
    pub addr: SocketAddr,
}

/// The replicas of a log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas whose votes and acknowledgements count.
    pub voters: BTreeMap<Identity, Seat>,
    /// Replicas that only receive the log: observers, and voters to be that are catching up.
    pub learners: BTreeMap<Identity, Seat>,
}

impl Members {
    /// Returns members without learners.
    pub fn new(voters: impl IntoIterator<Item = (Identity, Seat)>) -> Members {
        Members { voters: voters.into_iter().collect(), learners: BTreeMap::new() }
    }

    /// Returns how many voters are a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the control VM of `replica`.
    pub fn seat(&self, replica: Identity) -> Option<&Seat> {
        self.voters.get(&replica).or_else(|| self.learners.get(&replica))
    }

    /// Yields every replica, voters first.
    pub fn all(&self) -> impl Iterator<Item = (Identity, &Seat)> {
        self.voters.iter().chain(&self.learners).map(|(&replica, seat)| (replica, seat))
    }
}

/// What an entry of the log holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader commits what its predecessors left with it.
    Noop,
    /// The replicas from this entry on.
    Members(Members),
    /// A change of the configuration.
    Change(Change),
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that made the entry.
    pub term: u64,
    /// What it holds.
    pub payload: Payload,
}

/// A place in the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    /// Term of the entry; first, so that marks compare as logs do.
    pub term: u64,
    /// Index of the entry; 0 stands before the first.
    pub index: u64,
}

/// What stands for the log up to an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that is covered.
    pub mark: Mark,
    /// The replicas after that entry.
    pub members: Members,
    /// The state machine after that entry, encoded.
    pub data: Arc<[u8]>,
}

/// What a replica must not forget: synced before it answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    /// Latest term that the replica has seen.
    pub term: u64,
    /// Candidate that got the replica's vote in that term.
    pub vote: Option<Identity>,
}

/// What a replica asks its disk to write and sync, in this order: hard state, snapshot, entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Number of the write; grows by one.
    pub id: u64,
    /// The new hard state.
    pub hard: Option<Hard>,
    /// The new snapshot.
    pub snapshot: Option<Snapshot>,
    /// Whether the whole log before this write goes away with the snapshot.
    pub reset: bool,
    /// Index of the first entry; entries from there on that were written before go away.
    pub first: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// What replicas tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// A candidate asks for a vote.
    Ask {
        /// Term of the election.
        term: u64,
        /// Last entry of the candidate.
        last: Mark,
        /// Whether it only asks whether it would win.
        pre: bool,
    },
    /// The answer to [`ReplicaMessage::Ask`].
    Vote {
        /// Term of the election where granted, the voter's term otherwise.
        term: u64,
        /// Whether the candidate has the vote.
        granted: bool,
        /// Whether it was only asked whether it would win.
        pre: bool,
    },
    /// A leader sends entries, or none to show that it leads.
    Append {
        /// Term of the leader.
        term: u64,
        /// The entry before the first.
        prev: Mark,
        /// The entries.
        entries: Vec<Entry>,
        /// Last committed index.
        commit: u64,
        /// Leader's time of sending.
        sent: Time,
    },
    /// A leader sends a snapshot to a replica that is behind its log.
    Install {
        /// Term of the leader.
        term: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// Leader's time of sending.
        sent: Time,
    },
    /// A leader stops leading; its followers need not wait for it.
    Resign {
        /// Term of the leader.
        term: u64,
    },
    /// A replica holds the leader's log up to an index, synced.
    Acked {
        /// Term of the replica.
        term: u64,
        /// The index.
        index: u64,
        /// Time of sending of the newest message that is answered.
        sent: Time,
    },
    /// A replica does not hold the entry before those sent.
    Mismatch {
        /// Term of the replica.
        term: u64,
        /// Last index that it may share with the leader.
        hint: u64,
        /// Time of sending of the message that is answered.
        sent: Time,
    },
}

impl ReplicaMessage {
    /// Returns the term that the message carries.
    pub(crate) fn term(&self) -> u64 {
        match *self {
            ReplicaMessage::Ask { term, .. }
            | ReplicaMessage::Vote { term, .. }
            | ReplicaMessage::Append { term, .. }
            | ReplicaMessage::Install { term, .. }
            | ReplicaMessage::Resign { term }
            | ReplicaMessage::Acked { term, .. }
            | ReplicaMessage::Mismatch { term, .. } => term,
        }
    }
}
