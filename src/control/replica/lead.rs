//! What a leader knows of the other replicas.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::message::{Identity, Members, Seat};
use crate::time::Time;

/// Time without an answer after which a voter counts as out of reach.
const REACH: Duration = super::ELECTION;
/// Time without an answer after which an observer takes a voter's place: longer than a restart,
/// short enough that the next loss finds a whole set of voters.
const LOST: Duration = Duration::from_millis(4_000);
/// Time without an answer after which a learner counts as out of reach.
const LEARNER_REACH: Duration = Duration::from_millis(5_000);
/// Replicas that may wait to be taken in.
const JOIN_LIMIT: usize = 64;

/// Another replica, as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Peer {
    /// Index of the next entry to send.
    pub(crate) next: u64,
    /// Last index that it holds, synced.
    pub(crate) matched: u64,
    /// When its last answer arrived.
    pub(crate) heard: Time,
    /// When the newest message that it answered was sent.
    pub(crate) sent: Time,
    /// When the last snapshot was sent, until it is answered.
    pub(crate) install: Option<Time>,
}

/// A leader's working state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Lead {
    /// Index of the first entry of the leader's term.
    pub(crate) start: u64,
    /// When it was elected.
    pub(crate) since: Time,
    /// When the next heartbeat to voters is due.
    pub(crate) beat: Time,
    /// When the next heartbeat to learners is due.
    pub(crate) learner_beat: Time,
    /// The other replicas.
    pub(crate) peers: BTreeMap<Identity, Peer>,
    /// Replicas that asked to be taken in.
    pub(crate) joining: BTreeMap<Identity, Seat>,
}

impl Lead {
    pub(crate) fn new(now: Time, start: u64) -> Lead {
        let (peers, joining) = (BTreeMap::new(), BTreeMap::new());
        Lead { start, since: now, beat: now, learner_beat: now, peers, joining }
    }

    /// Follows exactly the replicas in `members` but `me`; new ones start after `last`.
    pub(crate) fn follow(&mut self, now: Time, me: Identity, members: &Members, last: u64) {
        self.peers.retain(|replica, _| members.seat(*replica).is_some());
        for (replica, _) in members.all().filter(|(replica, _)| *replica != me) {
            self.joining.remove(&replica);
            self.peers.entry(replica).or_insert(Peer {
                next: last + 1,
                matched: 0,
                heard: now,
                sent: Time::ZERO,
                install: None,
            });
        }
    }

    /// Remembers that a replica asked to be taken in.
    pub(crate) fn join(&mut self, replica: Identity, seat: Seat) {
        if self.joining.len() < JOIN_LIMIT && !self.peers.contains_key(&replica) {
            self.joining.insert(replica, seat);
        }
    }

    /// Returns whether the voter `replica` has answered lately.
    pub(crate) fn is_near(&self, now: Time, replica: Identity) -> bool {
        self.peers.get(&replica).is_some_and(|peer| now.since(peer.heard) < REACH)
    }

    /// Returns whether the voter `replica` has been silent for so long that another may replace
    /// it.
    pub(crate) fn is_lost(&self, now: Time, replica: Identity) -> bool {
        self.peers.get(&replica).is_some_and(|peer| now.since(peer.heard) >= LOST)
    }

    /// Returns whether `replica` has answered as lately as a learner has to.
    pub(crate) fn is_present(&self, now: Time, replica: Identity) -> bool {
        self.peers.get(&replica).is_some_and(|peer| now.since(peer.heard) < LEARNER_REACH)
    }

    /// Returns whether a quorum has answered lately (check-quorum; Ongaro's thesis, 6.2).
    pub(crate) fn has_quorum(&self, now: Time, me: Identity, members: &Members) -> bool {
        let near = |replica: &&Identity| **replica == me || self.is_near(now, **replica);
        members.voters.keys().filter(near).count() >= members.quorum()
    }

    /// Returns the highest index that a quorum holds; `own` is the leader's own.
    pub(crate) fn agreed(&self, me: Identity, members: &Members, own: u64) -> u64 {
        let index = |replica: Identity| {
            if replica == me { own } else { self.peers.get(&replica).map_or(0, |p| p.matched) }
        };
        nth_highest(members, index)
    }

    /// Returns the latest time of sending that a quorum has answered.
    pub(crate) fn confirmed(&self, now: Time, me: Identity, members: &Members) -> Time {
        let sent = |replica: Identity| {
            if replica == me {
                now
            } else {
                self.peers.get(&replica).map_or(Time::ZERO, |peer| peer.sent)
            }
        };
        nth_highest(members, sent)
    }
}

/// Returns the highest value that a quorum of voters reaches.
fn nth_highest<T: Ord + Copy + Default>(members: &Members, value: impl Fn(Identity) -> T) -> T {
    let mut values: Vec<T> = members.voters.keys().map(|&replica| value(replica)).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(members.quorum() - 1).copied().unwrap_or_default()
}
