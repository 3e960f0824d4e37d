//! One replica of the configuration log, as a state machine without I/O.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014); a leader commits only entries of its own term directly. From Ongaro's thesis
//! ("Consensus: Bridging Theory and Practice", 2014) it takes single-server membership changes
//! (4.1), learners that catch up before they become voters (4.2.1), vote requests ignored while a
//! leader is in contact (4.2.3), check-quorum (6.2), leader leases for reads (6.4.1) and pre-vote
//! (9.6).
//!
//! Messages are held back until the hard state that they depend on is synced. The leader counts an
//! entry towards the quorum only once it is synced on the replica's disk, its own included.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{name::Name, time::Time};

mod change;
mod durable;
mod elect;
mod follow;
mod found;
mod lead;
mod log;
mod message;
mod receive;
mod sightings;
mod view;

use durable::WriteTracker;
use lead::LeaderState;
use log::Log;
use sightings::Sightings;

pub use message::{
    ControlEndpoint, Entry, HardState, LogId, Members, Payload, ReplicaId, ReplicaMessage,
    Snapshot, Write,
};

/// Minimum election timeout.
pub(crate) const ELECTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum random addition to [`ELECTION_TIMEOUT`].
const ELECTION_JITTER: Duration = Duration::from_millis(1_000);
/// Divisor of the election jitter after the leader stepped down. The remaining range covers a few
/// round trips, so that two replicas seldom start an election at the same time.
const STEP_DOWN_JITTER_DIVISOR: u32 = 5;
/// Shortest range of the jitter after a split vote: some ticks of the daemon.
const MIN_RETRY_JITTER: Duration = Duration::from_millis(400);
/// Range of the jitter after a split vote as a multiple of the time that the vote took, so that a
/// second split is unlikely whatever the disks and the network take.
const RETRY_JITTER_FACTOR: u32 = 8;
/// Interval of heartbeats to voters.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of heartbeats to learners, which do not count towards the quorum.
const LEARNER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time without a message of the leader after which a learner counts it as lost: an interval of
/// heartbeats, and a margin for the way.
const LEARNER_CONTACT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Leader lease after a confirmed heartbeat: [`ELECTION_TIMEOUT`] less a margin for clock drift.
const READ_LEASE: Duration = Duration::from_millis(1_200);
/// Interval after which an unacknowledged snapshot is sent again.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval at which a voter that is about to end tells the leader so.
const STOP_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of entries in one message.
const MAX_APPEND_ENTRIES: usize = 256;

/// Raft role of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Role {
    /// Follows a leader, or waits for an election.
    Follower,
    /// Requests votes.
    Candidate {
        /// Whether this is a pre-vote.
        pre_vote: bool,
        /// Voters that granted their vote.
        granted: BTreeSet<ReplicaId>,
        /// Time of the first request.
        asked_at: Time,
    },
    /// Asks each voter of a log that is yet to be formed for its vote.
    Founder {
        /// The voters.
        members: Members,
        /// Voters that granted their vote.
        granted: BTreeSet<ReplicaId>,
    },
    /// Replicates its log to the other replicas.
    Leader(LeaderState),
}

/// Contents of a data folder after recovery.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recovered {
    /// Id of the replica.
    pub id: ReplicaId,
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// An output of a replica, to be executed by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaAction {
    /// Sends a message to another replica.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: ReplicaMessage,
    },
    /// Writes and syncs, then reports [`Replica::handle_synced`].
    Write(Write),
}

type Actions = Vec<ReplicaAction>;

/// A replica of the log.
///
/// ```
/// use galenatrail::{
///     ControlEndpoint, Members, Recovered, Replica, ReplicaAction, ReplicaId, Time,
/// };
///
/// let id = ReplicaId::new(7);
/// let addr = "127.0.1.1:8500".parse().unwrap();
/// let endpoint = ControlEndpoint { name: "control-1".into(), addr };
/// let mut replica = Replica::new(Time::ZERO, Recovered { id, ..Recovered::default() });
/// let mut out = Vec::new();
/// replica.bootstrap(Members::new([(id, endpoint)]), &mut out);
/// replica.handle_tick(Time::ZERO, &mut out);
/// while !out.is_empty() {
///     let ReplicaAction::Write(write) = out.remove(0) else { continue };
///     replica.handle_synced(Time::ZERO, write.id, &mut out);
/// }
/// assert_eq!(replica.leader(), Some(id));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    id: ReplicaId,
    hard_state: HardState,
    log: Log,
    snapshot: Snapshot,
    members: Members,
    /// Index of the entry that `members` comes from.
    members_index: u64,
    commit_index: u64,
    role: Role,
    leader: Option<ReplicaId>,
    /// Time at which a message of the leader last arrived.
    leader_heard: Time,
    sightings: Sightings,
    election_deadline: Time,
    election_count: u64,
    /// Last index known to match the leader's log.
    match_index: u64,
    /// Send time of the latest message of the leader.
    leader_sent: Time,
    writes: WriteTracker,
    halted: bool,
    /// Desired number of voters, or 0 if only configured control VMs become voters.
    voter_count: usize,
    /// Latest term whose leader stepped down.
    ended_term: u64,
    /// When the leader is told again that this replica is about to end, if it is.
    stop_due: Option<Time>,
    /// The latest membership that this replica proposed, by index, and why.
    change_reason: Option<(u64, Name)>,
}

impl Replica {
    /// Creates a replica from its recovered disk state.
    ///
    /// At first it ignores vote requests as if it had just heard a leader, because it may have done
    /// so before the restart.
    pub fn new(now: Time, recovered: Recovered) -> Replica {
        let Recovered { id, hard_state, snapshot, entries } = recovered;
        let log = Log::new(snapshot.last_entry, entries);
        let mut replica = Replica {
            id,
            hard_state,
            writes: WriteTracker::new(log.last().index),
            members: snapshot.members.clone(),
            members_index: 0,
            commit_index: snapshot.last_entry.index,
            log,
            snapshot,
            role: Role::Follower,
            leader: None,
            leader_heard: now,
            sightings: Sightings::default(),
            election_deadline: now,
            election_count: 0,
            match_index: 0,
            leader_sent: Time::ZERO,
            halted: false,
            voter_count: 0,
            ended_term: 0,
            stop_due: None,
            change_reason: None,
        };
        replica.update_members();
        replica.reset_election_deadline(now);
        replica.skip_timeout_if_alone(now);
        replica
    }

    /// Sets the desired number of voters, which may be any control VMs.
    #[must_use]
    pub fn with_voter_count(mut self, count: usize) -> Replica {
        self.set_voter_count(count);
        self
    }

    /// Changes the desired number of voters.
    pub fn set_voter_count(&mut self, count: usize) {
        self.voter_count = count;
    }

    /// Takes over what `earlier`, of the same process, has seen of other replicas.
    #[must_use]
    pub fn with_sightings(mut self, earlier: &Replica) -> Replica {
        self.sightings = earlier.sightings.clone();
        self
    }

    /// Records that the control VM at `addr` runs. To be called regularly for each control VM that
    /// sends regularly.
    pub fn record_heard(&mut self, now: Time, addr: SocketAddr) {
        self.sightings.record_vm(now, addr);
        let Role::Leader(leader) = &mut self.role else { return };
        for (replica, _) in self.members.iter().filter(|(_, endpoint)| endpoint.addr == addr) {
            leader.record_vm(now, replica);
        }
    }

    /// Returns the addresses of the control VMs that were heard lately.
    pub(crate) fn heard_lately(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        self.sightings.recent_vms(now)
    }

    /// Sends a message to every replica, as the leader, to confirm its leadership.
    pub fn confirm_leadership(&mut self, now: Time, out: &mut Actions) {
        self.broadcast(now, out);
    }

    /// Handles the passing of time: heartbeats as the leader, election timeouts otherwise.
    pub fn handle_tick(&mut self, now: Time, out: &mut Actions) {
        if self.halted {
            return;
        }
        self.sightings.record_members(now, &self.members);
        match self.role {
            Role::Leader(_) => self.tick_leader(now, out),
            _ if self.is_stopping() => self.tick_stopping(now, out),
            _ if now >= self.election_deadline => self.start_pre_vote(now, out),
            _ => {}
        }
    }

    /// Handles that all writes up to and including `id` are synced.
    pub fn handle_synced(&mut self, now: Time, id: u64, out: &mut Actions) {
        if self.halted {
            return;
        }
        let before = self.writes.synced_index();
        self.writes.complete(id);
        let released = self.writes.take_released();
        out.extend(released.into_iter().map(|(to, message)| ReplicaAction::Send { to, message }));
        match self.role {
            Role::Leader(_) => self.advance_commit(now, out),
            Role::Candidate { pre_vote: false, .. } if self.writes.is_hard_synced() => {
                self.record_vote(now, self.id, out);
            }
            Role::Founder { .. } if self.writes.is_hard_synced() => {
                self.record_consent(now, self.id, out);
            }
            _ if self.writes.synced_index() > before => self.send_acknowledgement(out),
            _ => {}
        }
    }

    /// Halts the replica after a failed write. It stays halted until the disk is recovered and a
    /// new replica is created from it.
    pub fn halt(&mut self) {
        self.halted = true;
        self.role = Role::Follower;
        self.leader = None;
    }

    /// Appends an entry and returns its index, or `None` if this replica is not the leader.
    pub fn propose(&mut self, now: Time, payload: Payload, out: &mut Actions) -> Option<u64> {
        if !self.is_leader() {
            return None;
        }
        let index = self.last().index + 1;
        let entry = Entry { term: self.hard_state.term, payload };
        self.replace_suffix(index, vec![entry], out);
        self.update_peers(now);
        self.broadcast(now, out);
        Some(index)
    }

    /// Records a snapshot of the state machine at `index` and compacts the log. The last `keep`
    /// entries before `index` stay for slightly lagging replicas.
    pub fn compact(&mut self, index: u64, data: Vec<u8>, keep: u64, out: &mut Actions) {
        let Some(last_entry) = self.log.id_at(index) else { return };
        if index > self.commit_index || index <= self.snapshot.last_entry.index || self.halted {
            return;
        }
        let members = self.members_at(index);
        self.snapshot = Snapshot { last_entry, members, data: data.into() };
        self.log.compact(index.saturating_sub(keep).max(self.log.base().index));
        let id = self.writes.begin_write(false, None);
        let snapshot = Some(self.snapshot.clone());
        out.push(ReplicaAction::Write(Write { id, snapshot, ..Write::default() }));
    }

    /// Becomes a follower of `leader` in `term`, which is the current term or a later one.
    fn become_follower(
        &mut self,
        now: Time,
        term: u64,
        leader: Option<ReplicaId>,
        out: &mut Actions,
    ) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None }, out);
            self.match_index = 0;
        }
        if self.leader != leader {
            self.match_index = 0;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_deadline(now);
        self.skip_timeout_if_alone(now);
    }

    /// Restarts the election timeout with a different jitter for each replica and attempt.
    fn reset_election_deadline(&mut self, now: Time) {
        self.election_deadline = now + self.contact_timeout() + self.election_jitter();
    }

    /// Returns the time without a message after which this replica counts its leader as lost.
    fn contact_timeout(&self) -> Duration {
        let is_learner = self.members.learners.contains_key(&self.id);
        if is_learner { LEARNER_CONTACT_TIMEOUT } else { ELECTION_TIMEOUT }
    }

    fn election_jitter(&self) -> Duration {
        let seed = [self.id.number().to_le_bytes(), self.election_count.to_le_bytes()].concat();
        let jitter = crate::member::hash(&seed) % ELECTION_JITTER.as_micros() as u64;
        Duration::from_micros(jitter)
    }

    /// Lets the election timeout expire immediately if this replica is the only voter.
    fn skip_timeout_if_alone(&mut self, now: Time) {
        if self.members.voters.len() == 1 && self.members.voters.contains_key(&self.id) {
            self.election_deadline = now;
        }
    }

    fn set_hard_state(&mut self, hard_state: HardState, out: &mut Actions) {
        self.hard_state = hard_state;
        let id = self.writes.begin_write(true, None);
        out.push(ReplicaAction::Write(Write {
            id,
            hard_state: Some(hard_state),
            ..Write::default()
        }));
    }

    /// Replaces the log from `first` on with `entries`.
    fn replace_suffix(&mut self, first: u64, entries: Vec<Entry>, out: &mut Actions) {
        if first <= self.last().index {
            self.log.truncate(first);
            self.writes.truncate(first);
        }
        for entry in &entries {
            self.log.push(entry.clone());
        }
        self.update_members();
        let id = self.writes.begin_write(false, Some(self.last().index));
        out.push(ReplicaAction::Write(Write { id, first, entries, ..Write::default() }));
    }

    fn send(&mut self, to: ReplicaId, message: ReplicaMessage, out: &mut Actions) {
        if self.writes.is_hard_synced() {
            out.push(ReplicaAction::Send { to, message });
        } else {
            self.writes.hold(to, message);
        }
    }
}
