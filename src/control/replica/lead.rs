//! Replication state of the leader.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::message::{ControlEndpoint, Members, ReplicaId};
use crate::{name::Name, time::Time};

/// Time without a reply after which a voter counts as unreachable.
const VOTER_TIMEOUT: Duration = super::ELECTION_TIMEOUT;
/// Time without a sign of life after which an observer replaces a voter. Longer than a restart or a
/// pause.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(10);
/// The same if a control VM has joined since then, which is likely to be the voter's successor. Short
/// enough that all voters are present again before the next failure.
const SUCCEEDED_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time for which a replica does not answer though its control VM runs, after which an observer
/// replaces it: its disk is full or hangs.
const MUTE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time for which a replica has to answer once another one speaks for its control VM: several round
/// trips, and a write to a slow disk.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for a replica that speaks for the control VM of a voter to take its place before an observer
/// does.
const CATCH_UP_TIME: Duration = Duration::from_millis(500);
/// Time after an election, or after the leader was paused, during which it holds nobody for silent:
/// every member was sent a heartbeat and could have answered it.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Time without a reply after which a learner counts as unreachable.
const LEARNER_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time without a reply after which a learner leaves the membership.
const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after the last announcement of its end after which a replica that replies has started again.
/// Longer than a reply may be under way.
const STOP_TTL: Duration = Duration::from_millis(1_000);
/// Time after its last request for which a replica counts as willing to join: several requests.
const JOIN_TTL: Duration = Duration::from_millis(2_000);
/// Maximum number of pending join requests.
const MAX_JOINING: usize = 64;

/// Replication progress of another replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Peer {
    /// Index of the next entry to send.
    pub(crate) next_index: u64,
    /// Highest log index known to be synced on the replica.
    pub(crate) match_index: u64,
    /// Time at which its last reply to this leader arrived, if any has.
    pub(crate) replied_at: Option<Time>,
    /// Latest time at which it is known to have run. Evidence from before the election counts.
    pub(crate) seen_at: Time,
    /// Time since when another replica speaks for its control VM, which has then lost its disk. Unset
    /// by a reply, as the other one may have been delayed.
    pub(crate) superseded_at: Option<Time>,
    /// First and last time at which its control VM was heard, without long gaps, since its last reply.
    mute: Option<[Time; 2]>,
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
        self.replied_at = Some(now);
        self.seen_at = now;
        self.superseded_at = None;
        self.mute = None;
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
    /// Time of the last tick.
    ticked_at: Time,
    /// Time until which no member counts as silent.
    settled_at: Time,
    /// Progress of the other replicas.
    pub(crate) peers: BTreeMap<ReplicaId, Peer>,
    /// Replicas that asked to join, with the time of the last request.
    joining: BTreeMap<ReplicaId, (Time, ControlEndpoint)>,
}

impl LeaderState {
    pub(crate) fn new(now: Time, start: u64) -> LeaderState {
        LeaderState {
            term_start: start,
            elected_at: now,
            next_heartbeat: now,
            learner_heartbeat: now,
            ticked_at: now,
            settled_at: now + SETTLE_TIME,
            peers: BTreeMap::new(),
            joining: BTreeMap::new(),
        }
    }

    /// Records a tick. After a pause of this process, members get time to answer again.
    pub(crate) fn record_tick(&mut self, now: Time) {
        if now.since(self.ticked_at) >= SETTLE_TIME {
            self.settled_at = now + SETTLE_TIME;
        }
        self.ticked_at = now;
    }

    /// Sets the peers to `members` without `me`. Replication to new peers starts after `last`;
    /// `seen_at` returns when a replica was last known to run.
    pub(crate) fn set_members(
        &mut self,
        now: Time,
        me: ReplicaId,
        members: &Members,
        last: u64,
        seen_at: impl Fn(ReplicaId) -> Time,
    ) {
        self.peers.retain(|replica, _| members.endpoint(*replica).is_some());
        for (replica, _) in members.iter().filter(|(replica, _)| *replica != me) {
            let has_joined = self.joining.remove(&replica).is_some();
            self.peers.entry(replica).or_insert_with(|| Peer {
                next_index: last + 1,
                match_index: 0,
                replied_at: None,
                seen_at: if has_joined { now } else { seen_at(replica) },
                superseded_at: None,
                mute: None,
                acked_sent: Time::ZERO,
                snapshot_sent: None,
                stopping: None,
            });
        }
    }

    /// Records a replica's request to join. Returns the other members of the same control VM that
    /// have to be asked whether they still run.
    pub(crate) fn add_joining(
        &mut self,
        now: Time,
        replica: ReplicaId,
        endpoint: ControlEndpoint,
        members: &Members,
    ) -> Vec<ReplicaId> {
        self.joining.retain(|_, (asked_at, _)| now.since(*asked_at) < JOIN_TTL);
        if self.joining.len() >= MAX_JOINING || self.peers.contains_key(&replica) {
            return Vec::new();
        }
        let name = endpoint.name.clone();
        self.joining.insert(replica, (now, endpoint));
        self.record_speaker(now, replica, &name, members)
    }

    /// Returns the replicas that want to join.
    pub(crate) fn joining(&self, now: Time) -> impl Iterator<Item = (ReplicaId, &ControlEndpoint)> {
        let fresh = self.joining.iter().filter(move |(_, (at, _))| now.since(*at) < JOIN_TTL);
        fresh.map(|(&replica, (_, endpoint))| (replica, endpoint))
    }

    /// Records that `replica` speaks for the control VM `name`, so that other replicas of that VM are
    /// superseded unless they answer. Returns those of which this is news.
    pub(crate) fn record_speaker(
        &mut self,
        now: Time,
        replica: ReplicaId,
        name: &Name,
        members: &Members,
    ) -> Vec<ReplicaId> {
        let mut news = Vec::new();
        let same =
            members.iter().filter(|(other, endpoint)| *other != replica && endpoint.name == *name);
        for (other, _) in same {
            let Some(peer) = self.peers.get_mut(&other) else { continue };
            if peer.superseded_at.is_none() {
                peer.superseded_at = Some(now);
                news.push(other);
            }
        }
        news
    }

    /// Records that the control VM of `replica` runs, with whatever disk.
    pub(crate) fn record_vm(&mut self, now: Time, replica: ReplicaId) {
        let Some(peer) = self.peers.get_mut(&replica) else { return };
        let first = match peer.mute {
            Some([first, last]) if now.since(last) < VOTER_TIMEOUT => first,
            _ => now,
        };
        peer.mute = Some([first, now]);
    }

    /// Returns whether the control VM of `replica` has come back with another disk.
    pub(crate) fn is_superseded(&self, now: Time, replica: ReplicaId) -> bool {
        let since = self.peers.get(&replica).and_then(|peer| peer.superseded_at);
        since.is_some_and(|since| now.since(since) >= ANSWER_TIMEOUT)
    }

    /// Returns whether the voter `replica` has replied within [`VOTER_TIMEOUT`], or may still do so
    /// after the election.
    pub(crate) fn is_reachable(&self, now: Time, replica: ReplicaId) -> bool {
        let peer = self.peers.get(&replica);
        peer.is_some_and(|peer| now.since(self.heard_at(peer)) < VOTER_TIMEOUT)
    }

    /// Returns whether `replica` has replied to this leader within [`VOTER_TIMEOUT`].
    pub(crate) fn is_present(&self, now: Time, replica: ReplicaId) -> bool {
        let replied_at = self.peers.get(&replica).and_then(|peer| peer.replied_at);
        replied_at.is_some_and(|at| now.since(at) < VOTER_TIMEOUT)
    }

    /// Returns whether the voter `replica` has shown no sign of life for [`VOTER_TIMEOUT`], or is
    /// superseded, so that another replica of its control VM may replace it.
    pub(crate) fn is_silent(&self, now: Time, replica: ReplicaId) -> bool {
        self.is_superseded(now, replica) || self.silence(now, replica) >= VOTER_TIMEOUT
    }

    /// Returns whether the voter `replica` has shown no sign of life for so long that an observer may
    /// replace it.
    ///
    /// `joined` are the times at which control VMs joined that were no members before.
    pub(crate) fn is_lost(
        &self,
        now: Time,
        replica: ReplicaId,
        members: &Members,
        joined: &[Time],
    ) -> bool {
        let Some(peer) = self.peers.get(&replica) else { return false };
        let superseded = peer.superseded_at.map_or(Duration::ZERO, |since| now.since(since));
        let mute = peer.mute.map_or(Duration::ZERO, |[first, last]| last.since(first));
        if superseded >= ANSWER_TIMEOUT + CATCH_UP_TIME || mute >= MUTE_TIMEOUT {
            return true;
        }
        let silence = self.silence(now, replica);
        silence >= REPLACE_TIMEOUT
            || silence >= SUCCEEDED_TIMEOUT && self.is_succeeded(now, peer, members, joined)
    }

    /// Returns whether as many control VMs have joined since `peer` was last seen as voters are
    /// silent.
    fn is_succeeded(&self, now: Time, peer: &Peer, members: &Members, joined: &[Time]) -> bool {
        let successors = joined.iter().filter(|at| **at > peer.seen_at).count();
        let silent = |voter: &&ReplicaId| self.silence(now, **voter) >= SUCCEEDED_TIMEOUT;
        successors >= members.voters.keys().filter(silent).count()
    }

    /// Returns the time for which `replica` has shown no sign of life, or zero as long as it may not
    /// have had the time to answer.
    fn silence(&self, now: Time, replica: ReplicaId) -> Duration {
        match self.peers.get(&replica) {
            Some(peer) if now >= self.settled_at => now.since(peer.seen_at),
            _ => Duration::ZERO,
        }
    }

    /// Returns whether the learner `replica` has not replied for [`DEPARTURE_TIMEOUT`].
    pub(crate) fn is_gone(&self, now: Time, replica: ReplicaId) -> bool {
        let peer = self.peers.get(&replica);
        peer.is_some_and(|peer| now.since(self.heard_at(peer)) >= DEPARTURE_TIMEOUT)
    }

    /// Returns when `peer` last replied; until then, when it could first be asked.
    fn heard_at(&self, peer: &Peer) -> Time {
        peer.replied_at.unwrap_or(self.elected_at.max(peer.seen_at))
    }

    /// Returns whether the learner `replica` has replied within [`LEARNER_TIMEOUT`], or may still do
    /// so after the election, and is not superseded.
    pub(crate) fn is_learner_reachable(&self, now: Time, replica: ReplicaId) -> bool {
        let peer = self.peers.get(&replica);
        peer.is_some_and(|peer| now.since(self.heard_at(peer)) < LEARNER_TIMEOUT)
            && !self.is_superseded(now, replica)
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
            && voters.all(|voter| {
                voter.stopping.is_none_or(|[first, _]| peer.replied_at.is_some_and(|at| at > first))
            })
    }

    /// Returns whether a quorum of voters is reachable (check-quorum; Ongaro's thesis, 6.2).
    pub(crate) fn has_quorum(&self, now: Time, me: ReplicaId, members: &Members) -> bool {
        let is_reachable =
            |replica: &&ReplicaId| **replica == me || self.is_reachable(now, **replica);
        members.voters.keys().filter(is_reachable).count() >= members.quorum()
    }

    /// Returns how many more voters may be lost before there is no quorum, counting as lost those that
    /// have not replied lately.
    pub(crate) fn margin(&self, now: Time, me: ReplicaId, members: &Members) -> usize {
        let voters = members.voters.keys().copied();
        let present = voters.filter(|voter| *voter == me || self.is_present(now, *voter)).count();
        present.saturating_sub(members.quorum())
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
