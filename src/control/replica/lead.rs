//! Replication state of the leader.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::message::{ControlEndpoint, Members, ReplicaId};
use crate::time::Time;

/// Time without a reply after which a voter counts as unreachable.
const VOTER_TIMEOUT: Duration = super::ELECTION_TIMEOUT;
/// Time without a reply after which an observer replaces a voter. Longer than a restart, and short
/// enough that all voters are present again before the next failure.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time without a reply after which a learner counts as unreachable.
const LEARNER_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time without a reply after which a learner leaves the membership.
const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after the last announcement of its end after which a replica that replies has started again.
/// Longer than a reply may be under way.
const STOP_TTL: Duration = Duration::from_millis(1_000);
/// Maximum number of pending join requests.
const MAX_JOINING: usize = 64;

/// Replication progress of another replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Peer {
    /// Index of the next entry to send.
    pub(crate) next_index: u64,
    /// Highest log index known to be synced on the replica.
    pub(crate) match_index: u64,
    /// Time at which its last reply arrived.
    pub(crate) heard_at: Time,
    /// Time at which the latest message that it acknowledged was sent.
    pub(crate) acked_sent: Time,
    /// Time at which the last snapshot was sent, until it is acknowledged.
    pub(crate) snapshot_sent: Option<Time>,
    /// Times of the first and the latest announcement that it is about to end. Kept until it is heard
    /// again, so that it gets no place back before.
    pub(crate) stopping: Option<[Time; 2]>,
}

impl Peer {
    /// Records a reply that acknowledges a message sent at `sent`.
    pub(crate) fn record_reply(&mut self, now: Time, sent: Time) {
        self.heard_at = now;
        self.acked_sent = self.acked_sent.max(sent);
        self.stopping.take_if(|[_, latest]| now.since(*latest) >= STOP_TTL);
    }
}

/// Volatile state of a leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaderState {
    /// Index of the first entry of the leader's term.
    pub(crate) term_start: u64,
    /// Time of the election.
    pub(crate) elected_at: Time,
    /// Time at which the next heartbeat to voters is due.
    pub(crate) next_heartbeat: Time,
    /// Time at which the next heartbeat to learners is due.
    pub(crate) learner_heartbeat: Time,
    /// Progress of the other replicas.
    pub(crate) peers: BTreeMap<ReplicaId, Peer>,
    /// Replicas that asked to join.
    pub(crate) joining: BTreeMap<ReplicaId, ControlEndpoint>,
}

impl LeaderState {
    pub(crate) fn new(now: Time, start: u64) -> LeaderState {
        let (peers, joining) = (BTreeMap::new(), BTreeMap::new());
        LeaderState {
            term_start: start,
            elected_at: now,
            next_heartbeat: now,
            learner_heartbeat: now,
            peers,
            joining,
        }
    }

    /// Sets the peers to `members` without `me`. Replication to new peers starts after `last`.
    pub(crate) fn set_members(&mut self, now: Time, me: ReplicaId, members: &Members, last: u64) {
        self.peers.retain(|replica, _| members.endpoint(*replica).is_some());
        for (replica, _) in members.iter().filter(|(replica, _)| *replica != me) {
            self.joining.remove(&replica);
            self.peers.entry(replica).or_insert(Peer {
                next_index: last + 1,
                match_index: 0,
                heard_at: now,
                acked_sent: Time::ZERO,
                snapshot_sent: None,
                stopping: None,
            });
        }
    }

    /// Records a replica's request to join.
    pub(crate) fn add_joining(&mut self, replica: ReplicaId, endpoint: ControlEndpoint) {
        if self.joining.len() < MAX_JOINING && !self.peers.contains_key(&replica) {
            self.joining.insert(replica, endpoint);
        }
    }

    /// Returns whether the voter `replica` has replied within [`VOTER_TIMEOUT`].
    pub(crate) fn is_reachable(&self, now: Time, replica: ReplicaId) -> bool {
        self.peers.get(&replica).is_some_and(|peer| now.since(peer.heard_at) < VOTER_TIMEOUT)
    }

    /// Returns whether the voter `replica` has not replied for [`REPLACE_TIMEOUT`], so that another
    /// may replace it.
    pub(crate) fn is_lost(&self, now: Time, replica: ReplicaId) -> bool {
        self.peers.get(&replica).is_some_and(|peer| now.since(peer.heard_at) >= REPLACE_TIMEOUT)
    }

    /// Returns whether the learner `replica` has not replied for [`DEPARTURE_TIMEOUT`].
    pub(crate) fn is_gone(&self, now: Time, replica: ReplicaId) -> bool {
        self.peers.get(&replica).is_some_and(|peer| now.since(peer.heard_at) >= DEPARTURE_TIMEOUT)
    }

    /// Returns whether `replica` has replied within [`LEARNER_TIMEOUT`].
    pub(crate) fn is_learner_reachable(&self, now: Time, replica: ReplicaId) -> bool {
        self.peers.get(&replica).is_some_and(|peer| now.since(peer.heard_at) < LEARNER_TIMEOUT)
    }

    /// Returns the highest log index known to be synced on `replica`.
    pub(crate) fn match_index(&self, replica: ReplicaId) -> u64 {
        self.peers.get(&replica).map_or(0, |peer| peer.match_index)
    }

    /// Records that `replica` is about to end; returns whether this is news.
    pub(crate) fn record_stopping(&mut self, now: Time, replica: ReplicaId) -> bool {
        let Some(peer) = self.peers.get_mut(&replica) else { return false };
        let first = peer.stopping.map_or(now, |[first, _]| first);
        peer.stopping.replace([first, now]).is_none()
    }

    /// Returns whether `replica` has announced its end and has not been heard since.
    pub(crate) fn is_stopping(&self, replica: ReplicaId) -> bool {
        self.peers.get(&replica).is_some_and(|peer| peer.stopping.is_some())
    }

    /// Returns whether `replica` may become a voter: it is not about to end, and it has replied
    /// lately, in any case since each voter that is about to end has announced it.
    pub(crate) fn is_fit(&self, now: Time, replica: ReplicaId, members: &Members) -> bool {
        let Some(peer) = self.peers.get(&replica) else { return false };
        let mut voters = members.voters.keys().filter_map(|voter| self.peers.get(voter));
        self.is_learner_reachable(now, replica)
            && peer.stopping.is_none()
            && voters.all(|voter| voter.stopping.is_none_or(|[first, _]| peer.heard_at > first))
    }

    /// Returns whether a quorum of voters is reachable (check-quorum; Ongaro's thesis, 6.2).
    pub(crate) fn has_quorum(&self, now: Time, me: ReplicaId, members: &Members) -> bool {
        let is_reachable =
            |replica: &&ReplicaId| **replica == me || self.is_reachable(now, **replica);
        members.voters.keys().filter(is_reachable).count() >= members.quorum()
    }

    /// Returns the highest index synced by a quorum; `synced` is the leader's synced index.
    pub(crate) fn quorum_index(&self, me: ReplicaId, members: &Members, synced: u64) -> u64 {
        let index = |replica: ReplicaId| {
            if replica == me { synced } else { self.match_index(replica) }
        };
        quorum_value(members, index)
    }

    /// Returns the latest send time that a quorum has acknowledged.
    pub(crate) fn confirmed_at(&self, now: Time, me: ReplicaId, members: &Members) -> Time {
        let sent = |replica: ReplicaId| {
            if replica == me {
                now
            } else {
                self.peers.get(&replica).map_or(Time::ZERO, |peer| peer.acked_sent)
            }
        };
        quorum_value(members, sent)
    }
}

/// Returns the highest value reached by a quorum of voters.
fn quorum_value<T: Ord + Copy + Default>(members: &Members, value: impl Fn(ReplicaId) -> T) -> T {
    let mut values: Vec<T> = members.voters.keys().map(|&replica| value(replica)).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(members.quorum() - 1).copied().unwrap_or_default()
}
