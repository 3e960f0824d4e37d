//! One replica of the configuration log, as a pure state machine.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014): terms, log matching, commit of entries of the leader's own term only. From
//! Ongaro's thesis ("Consensus: Bridging Theory and Practice", 2014) come changes of one member
//! at a time (4.1), learners that catch up first (4.2.1), votes withheld while a leader is heard
//! (4.2.3), check-quorum (6.2), leader leases for reads (6.4.1) and the pre-vote (9.6).
//!
//! Nothing that a replica promises leaves it before it is synced: messages wait for the hard
//! state, and the leader counts an index only up to what each disk, its own included, has synced.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};

use crate::time::Time;

mod change;
mod durable;
mod elect;
mod follow;
mod lead;
mod log;
mod message;

use durable::Durable;
use lead::Lead;
use log::Log;

pub use message::{
    Entry, Hard, Identity, Mark, Members, Payload, ReplicaMessage, Seat, Snapshot, Write,
};

/// Shortest time without a leader after which a replica asks for votes.
pub(crate) const ELECTION: Duration = Duration::from_millis(1_500);
/// Longest time that a replica waits beyond [`ELECTION`].
const ELECTION_SPREAD: Duration = Duration::from_millis(1_000);
/// Part of [`ELECTION_SPREAD`] within which a replica asks for votes once its leader has resigned:
/// some round trips, so that two seldom ask at once.
const RESIGN_HASTE: u32 = 5;
/// Time between heartbeats of a leader to voters.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time between heartbeats of a leader to learners, which promise nothing.
const LEARNER_HEARTBEAT: Duration = Duration::from_millis(2_000);
/// Time after a confirmed heartbeat during which a leader may answer reads: [`ELECTION`] less
/// what clocks may differ by.
const READ_LEASE: Duration = Duration::from_millis(1_200);
/// Time after which an unanswered snapshot is sent again.
const INSTALL_RETRY: Duration = Duration::from_millis(2_000);
/// Entries of one message at most.
const BATCH: usize = 256;

/// What a replica is doing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks for votes.
    Candidate {
        /// Whether it only asks whether it would win.
        pre: bool,
        /// Who granted its vote.
        granted: BTreeSet<Identity>,
    },
    /// Leads.
    Leader(Lead),
}

/// What a data folder holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recovered {
    /// The replica.
    pub me: Identity,
    /// Term and vote.
    pub hard: Hard,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// What a replica asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaAction {
    /// Sends a message to another replica.
    Send {
        /// The receiver.
        to: Identity,
        /// The message.
        message: ReplicaMessage,
    },
    /// Writes and syncs, then reports [`Replica::synced`].
    Write(Write),
}

type Actions = Vec<ReplicaAction>;

/// One replica.
///
/// ```
/// use galenatrail::{Identity, Members, Recovered, Replica, ReplicaAction, Seat, Time};
///
/// let me = Identity::new(7);
/// let seat = Seat { name: "control-1".into(), addr: "127.0.1.1:8500".parse().unwrap() };
/// let mut replica = Replica::new(Time::ZERO, Recovered { me, ..Recovered::default() });
/// let mut out = Vec::new();
/// replica.form(Members::new([(me, seat)]), &mut out);
/// replica.tick(Time::ZERO, &mut out);
/// while !out.is_empty() {
///     let ReplicaAction::Write(write) = out.remove(0) else { continue };
///     replica.synced(Time::ZERO, write.id, &mut out);
/// }
/// assert_eq!(replica.leader(), Some(me));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    me: Identity,
    hard: Hard,
    log: Log,
    snapshot: Snapshot,
    members: Members,
    changed: u64,
    commit: u64,
    role: Role,
    leader: Option<Identity>,
    heard: Time,
    deadline: Time,
    elections: u64,
    matched: u64,
    sent: Time,
    durable: Durable,
    halted: bool,
    /// Voters that are wanted, or 0 where only named ones vote.
    voters: usize,
    /// Last term whose leader has resigned.
    ended: u64,
}

impl Replica {
    /// Returns a replica that goes on from what its disk holds.
    ///
    /// It withholds its vote at first as if it had heard a leader, because it may have done so
    /// before it was restarted.
    pub fn new(now: Time, recovered: Recovered) -> Replica {
        let Recovered { me, hard, snapshot, entries } = recovered;
        let log = Log::new(snapshot.mark, entries);
        let mut replica = Replica {
            me,
            hard,
            durable: Durable::new(log.last().index),
            members: snapshot.members.clone(),
            changed: 0,
            commit: snapshot.mark.index,
            log,
            snapshot,
            role: Role::Follower,
            leader: None,
            heard: now,
            deadline: now,
            elections: 0,
            matched: 0,
            sent: Time::ZERO,
            halted: false,
            voters: 0,
            ended: 0,
        };
        replica.find_members();
        replica.rest(now);
        replica.hurry(now);
        replica
    }

    /// Returns the replica where `count` voters are wanted, whoever they are.
    #[must_use]
    pub fn with_voters(mut self, count: usize) -> Replica {
        self.voters = count;
        self
    }

    /// Returns how many voters are wanted, or 0 where only named ones vote.
    pub fn voters(&self) -> usize {
        self.voters
    }

    /// Returns the replica's identity.
    pub fn me(&self) -> Identity {
        self.me
    }

    /// Returns the latest term that the replica has seen.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the leader, where one is known.
    pub fn leader(&self) -> Option<Identity> {
        self.leader
    }

    /// Returns whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the replicas of the log.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the last committed index.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the last entry's place.
    pub fn last(&self) -> Mark {
        self.log.last()
    }

    /// Returns the last index that this replica has synced.
    pub fn durable(&self) -> u64 {
        self.durable.synced()
    }

    /// Returns the last snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the entry at `index`, unless a snapshot covers it.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Returns whether the disk has failed, so that the replica promises nothing.
    pub fn is_halted(&self) -> bool {
        self.halted
    }

    /// Returns the last synced index of each other replica, as the leader knows it.
    pub fn peers(&self) -> Vec<(Identity, u64, Time)> {
        let Role::Leader(lead) = &self.role else { return Vec::new() };
        lead.peers.iter().map(|(&replica, peer)| (replica, peer.matched, peer.heard)).collect()
    }

    /// Returns since when this replica leads with a quorum that confirmed it within the lease, so
    /// that no other can lead; `None` where a read could be out of date.
    pub fn lease(&self, now: Time) -> Option<Time> {
        let Role::Leader(lead) = &self.role else { return None };
        let confirmed = lead.confirmed(now, self.me, &self.members);
        let fresh = now.since(confirmed) < READ_LEASE;
        (fresh && self.commit >= lead.start && !self.halted).then_some(lead.since)
    }

    /// Returns whether this replica leads under a lease, or has heard its leader lately.
    pub fn is_near(&self, now: Time) -> bool {
        let heard = self.leader.is_some() && now.since(self.heard) < ELECTION;
        if self.is_leader() { self.lease(now).is_some() } else { heard && !self.halted }
    }

    /// Returns the time after which no other replica had begun to lead, as a quorum has confirmed
    /// to this leader; `None` where it does not lead or lacks entries of before its term.
    pub fn confirmed(&self, now: Time) -> Option<Time> {
        let Role::Leader(lead) = &self.role else { return None };
        let known = self.commit >= lead.start && !self.halted;
        known.then(|| lead.confirmed(now, self.me, &self.members))
    }

    /// Asks every replica, as the leader, to confirm that it still leads.
    pub fn confirm(&mut self, now: Time, out: &mut Actions) {
        self.broadcast(now, out);
    }

    /// Makes the first entry of a new log, with its voters.
    ///
    /// Does nothing where there is a log already.
    pub fn form(&mut self, members: Members, out: &mut Actions) {
        if self.last() != Mark::default() {
            return;
        }
        let term = self.hard.term.max(1);
        self.set_hard(Hard { term, ..self.hard }, out);
        let entry = Entry { term, payload: Payload::Members(members) };
        self.extend(1, vec![entry], out);
        self.hurry(Time::ZERO);
    }

    /// Takes over that time has passed.
    pub fn tick(&mut self, now: Time, out: &mut Actions) {
        if self.halted {
            return;
        }
        match self.role {
            Role::Leader(_) => self.tick_leader(now, out),
            _ if now >= self.deadline => self.campaign(now, out),
            _ => {}
        }
    }

    /// Takes over that every write up to `id` is synced.
    pub fn synced(&mut self, now: Time, id: u64, out: &mut Actions) {
        if self.halted {
            return;
        }
        let before = self.durable.synced();
        self.durable.finish(id);
        let released = self.durable.release();
        out.extend(released.into_iter().map(|(to, message)| ReplicaAction::Send { to, message }));
        match self.role {
            Role::Leader(_) => self.advance(now, out),
            Role::Candidate { pre: false, .. } if self.durable.is_settled() => {
                self.granted(now, self.me, out);
            }
            _ if self.durable.synced() > before => self.acknowledge(out),
            _ => {}
        }
    }

    /// Takes over that a write failed: nothing is promised until the disk is recovered and a new
    /// replica made from it.
    pub fn fail(&mut self) {
        self.halted = true;
        self.role = Role::Follower;
        self.leader = None;
    }

    /// Handles a message of another replica.
    pub fn receive(
        &mut self,
        now: Time,
        from: Identity,
        message: ReplicaMessage,
        out: &mut Actions,
    ) {
        if self.halted || from == self.me {
            return;
        }
        match message {
            ReplicaMessage::Ask { term, last, pre } => self.asked(now, from, term, last, pre, out),
            ReplicaMessage::Vote { term, granted, pre } => {
                self.voted(now, from, term, granted, pre, out);
            }
            // The leader's resignation has overtaken it.
            ReplicaMessage::Append { .. } | ReplicaMessage::Install { .. }
                if message.term() <= self.ended => {}
            ReplicaMessage::Append { .. } | ReplicaMessage::Install { .. }
                if message.term() < self.hard.term =>
            {
                let sent = Time::ZERO;
                self.send(from, ReplicaMessage::Acked { term: self.hard.term, index: 0, sent }, out)
            }
            ReplicaMessage::Append { term, prev, entries, commit, sent } => {
                self.heed(now, from, term, sent, out);
                self.append(from, prev, entries, commit, out);
            }
            ReplicaMessage::Install { term, snapshot, sent } => {
                self.heed(now, from, term, sent, out);
                self.install(snapshot, out);
            }
            ReplicaMessage::Resign { term } => self.resigned(now, from, term),
            ReplicaMessage::Acked { term, .. } | ReplicaMessage::Mismatch { term, .. }
                if term > self.hard.term =>
            {
                self.follow(now, term, None, out);
            }
            ReplicaMessage::Acked { term, index, sent } => {
                self.acked(now, from, term, index, sent, out);
            }
            ReplicaMessage::Mismatch { term, hint, sent } => {
                self.mismatch(now, from, term, hint, sent, out);
            }
        }
    }

    /// Appends an entry and returns its index, or `None` where this replica does not lead.
    pub fn propose(&mut self, now: Time, payload: Payload, out: &mut Actions) -> Option<u64> {
        if !self.is_leader() {
            return None;
        }
        let index = self.last().index + 1;
        let entry = Entry { term: self.hard.term, payload };
        self.extend(index, vec![entry], out);
        self.follow_members(now);
        self.broadcast(now, out);
        Some(index)
    }

    /// Takes over a snapshot of the state machine after `index` and drops the entries before it
    /// but the last `keep`, which replicas that are a little behind still need.
    pub fn compact(&mut self, index: u64, data: Vec<u8>, keep: u64, out: &mut Actions) {
        let Some(mark) = self.log.mark(index) else { return };
        if index > self.commit || index <= self.snapshot.mark.index || self.halted {
            return;
        }
        let members = self.members_at(index);
        self.snapshot = Snapshot { mark, members, data: data.into() };
        self.log.compact(index.saturating_sub(keep).max(self.log.base().index));
        let id = self.durable.start(false, None);
        let snapshot = Some(self.snapshot.clone());
        out.push(ReplicaAction::Write(Write { id, snapshot, ..Write::default() }));
    }

    /// Becomes a follower of `leader`, in a newer term or the same.
    fn follow(&mut self, now: Time, term: u64, leader: Option<Identity>, out: &mut Actions) {
        if term > self.hard.term {
            self.set_hard(Hard { term, vote: None }, out);
            self.matched = 0;
        }
        if self.leader != leader {
            self.matched = 0;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.rest(now);
        self.hurry(now);
    }

    /// Sets the time of the next election, different for each replica and each try.
    fn rest(&mut self, now: Time) {
        self.deadline = now + ELECTION + self.spread();
    }

    fn spread(&self) -> Duration {
        let seed = [self.me.number().to_le_bytes(), self.elections.to_le_bytes()].concat();
        let spread = crate::member::hash(&seed) % ELECTION_SPREAD.as_micros() as u64;
        Duration::from_micros(spread)
    }

    /// Sets the next election to `now` where this replica is the only voter, which has nobody to
    /// wait for.
    fn hurry(&mut self, now: Time) {
        if self.members.voters.len() == 1 && self.members.voters.contains_key(&self.me) {
            self.deadline = now;
        }
    }

    fn set_hard(&mut self, hard: Hard, out: &mut Actions) {
        self.hard = hard;
        let id = self.durable.start(true, None);
        out.push(ReplicaAction::Write(Write { id, hard: Some(hard), ..Write::default() }));
    }

    /// Replaces the log from `first` on by `entries`.
    fn extend(&mut self, first: u64, entries: Vec<Entry>, out: &mut Actions) {
        if first <= self.last().index {
            self.log.truncate(first);
            self.durable.clip(first);
        }
        for entry in &entries {
            self.log.push(entry.clone());
        }
        self.find_members();
        let id = self.durable.start(false, Some(self.last().index));
        out.push(ReplicaAction::Write(Write { id, first, entries, ..Write::default() }));
    }

    fn send(&mut self, to: Identity, message: ReplicaMessage, out: &mut Actions) {
        if self.durable.is_settled() {
            out.push(ReplicaAction::Send { to, message });
        } else {
            self.durable.hold(to, message);
        }
    }

    /// Takes over the newest members of the log, committed or not (Ongaro's thesis, 4.1).
    fn find_members(&mut self) {
        let found = self.log.backwards().find_map(|(index, entry)| match &entry.payload {
            Payload::Members(members) => Some((index, members.clone())),
            _ => None,
        });
        let base = (self.snapshot.mark.index, self.snapshot.members.clone());
        (self.changed, self.members) = found.unwrap_or(base);
    }

    fn members_at(&self, index: u64) -> Members {
        let mut before = self.log.backwards().skip_while(|(at, _)| *at > index);
        let found = before.find_map(|(_, entry)| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        found.unwrap_or_else(|| self.snapshot.members.clone())
    }
}
