//! What a replica tells of itself.

use super::{
    READ_LEASE, Replica, Role,
    message::{Entry, LogId, Members, ReplicaId, Snapshot},
};
use crate::time::Time;

impl Replica {
    /// Returns the desired number of voters, or 0 if only configured control VMs become voters.
    pub fn voter_count(&self) -> usize {
        self.voter_count
    }

    /// Returns the id of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the latest term that this replica has seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the leader if it is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the latest membership in the log, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns whether this replica counts for a quorum, as far as it knows.
    pub fn is_voter(&self) -> bool {
        let is_settled = self.members_index <= self.commit_index;
        self.members.voters.contains_key(&self.id) || !is_settled
    }

    /// Returns the last index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the id of the last log entry.
    pub fn last(&self) -> LogId {
        self.log.last()
    }

    /// Returns the last log index synced to this replica's disk.
    pub fn synced_index(&self) -> u64 {
        self.writes.synced_index()
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the entry at `index`, or `None` if it is compacted or beyond the log.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Returns whether the replica is halted after a disk failure.
    pub fn is_halted(&self) -> bool {
        self.halted
    }

    /// Returns the match index of each other replica and the time at which it was last seen. Empty
    /// unless this replica is the leader.
    pub fn peer_progress(&self) -> Vec<(ReplicaId, u64, Time)> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        leader
            .peers
            .iter()
            .map(|(&replica, peer)| (replica, peer.match_index, peer.seen_at))
            .collect()
    }

    /// Returns the time since when this replica is the leader if its lease is valid, so that no
    /// other replica can be leader; otherwise `None`.
    pub fn lease_start(&self, now: Time) -> Option<Time> {
        let Role::Leader(leader) = &self.role else { return None };
        let confirmed = leader.confirmed_at(now, self.id, &self.members);
        let fresh = now.since(confirmed) < READ_LEASE;
        (fresh && self.commit_index >= leader.term_start && !self.halted)
            .then_some(leader.elected_at)
    }

    /// Returns whether this replica is a leader with a valid lease, or a follower that heard from
    /// its leader lately.
    pub fn is_in_contact(&self, now: Time) -> bool {
        let heard = self.leader.is_some() && now.since(self.leader_heard) < self.contact_timeout();
        if self.is_leader() { self.lease_start(now).is_some() } else { heard && !self.halted }
    }

    /// Returns how many more voters the log may lose now and still have a quorum. `None` if this replica
    /// is not the leader.
    pub fn margin(&self, now: Time) -> Option<usize> {
        let Role::Leader(leader) = &self.role else { return None };
        Some(leader.margin(now, self.id, &self.members))
    }

    /// Returns the latest time at which a quorum is known to have accepted this replica as leader.
    /// `None` if it is not the leader or no entry of its term is committed yet.
    pub fn leadership_confirmed(&self, now: Time) -> Option<Time> {
        let Role::Leader(leader) = &self.role else { return None };
        let known = self.commit_index >= leader.term_start && !self.halted;
        known.then(|| leader.confirmed_at(now, self.id, &self.members))
    }
}
