//! Leader election and pre-vote.

use std::collections::BTreeSet;

use super::{
    Actions, ELECTION_JITTER, ELECTION_TIMEOUT, MIN_RETRY_JITTER, RETRY_JITTER_FACTOR, Replica,
    Role, STEP_DOWN_JITTER_DIVISOR, STOP_INTERVAL,
    lead::LeaderState,
    message::{Entry, HardState, LogId, Payload, ReplicaId, ReplicaMessage},
};
use crate::time::Time;

impl Replica {
    /// Starts a pre-vote, which does not increment the term (Ongaro's thesis, 9.6).
    pub(super) fn start_pre_vote(&mut self, now: Time, out: &mut Actions) {
        self.leader = None;
        self.role = Role::Follower;
        self.election_count += 1;
        self.reset_election_deadline(now);
        if !self.members.voters.contains_key(&self.id) {
            return;
        }
        self.role = new_candidate(now, true);
        self.request_votes(self.hard_state.term.saturating_add(1), true, out);
        self.record_vote(now, self.id, out);
    }

    fn start_election(&mut self, now: Time, out: &mut Actions) {
        let term = self.hard_state.term.saturating_add(1);
        self.reset_election_deadline(now);
        self.match_index = 0;
        self.role = new_candidate(now, false);
        self.set_hard_state(HardState { term, vote: Some(self.id) }, out);
        // The candidate's own vote counts once it is synced.
        self.request_votes(term, false, out);
    }

    fn request_votes(&mut self, term: u64, pre_vote: bool, out: &mut Actions) {
        let last_entry = self.last();
        let me = self.id;
        let voters: Vec<_> = self.members.voters.keys().copied().collect();
        for to in voters.into_iter().filter(|to| *to != me) {
            self.send(to, ReplicaMessage::RequestVote { term, last_entry, pre_vote }, out);
        }
    }

    /// Handles a vote request. Requests are ignored while a leader is in contact, so that a replica
    /// that was partitioned away does not disrupt the cluster (Ongaro's thesis, 4.2.3).
    pub(super) fn handle_vote_request(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        last_entry: LogId,
        pre_vote: bool,
        out: &mut Actions,
    ) {
        if self.is_leader() || now.since(self.leader_heard) < ELECTION_TIMEOUT {
            return;
        }
        if !pre_vote && term > self.hard_state.term {
            self.become_follower(now, term, None, out);
        }
        let free = match self.hard_state.vote {
            _ if pre_vote => term > self.hard_state.term,
            Some(vote) => vote == from && term == self.hard_state.term,
            None => term == self.hard_state.term,
        };
        let granted = free && last_entry >= self.last();
        if granted && !pre_vote && self.hard_state.vote.is_none() {
            self.set_hard_state(HardState { term, vote: Some(from) }, out);
            self.reset_election_deadline(now);
        }
        let term = if granted { term } else { self.hard_state.term };
        self.send(from, ReplicaMessage::VoteReply { term, granted, pre_vote }, out);
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        granted: bool,
        pre_vote: bool,
        out: &mut Actions,
    ) {
        let expected_term = self.hard_state.term.saturating_add(u64::from(pre_vote));
        if !granted && term > self.hard_state.term {
            self.become_follower(now, term, None, out);
        }
        match self.role {
            Role::Candidate { pre_vote: current, .. }
                if granted && current == pre_vote && term == expected_term =>
            {
                self.record_vote(now, from, out);
            }
            Role::Founder { .. } if granted && !pre_vote && term == expected_term => {
                self.record_consent(now, from, out);
            }
            _ => {}
        }
        // The voter has the term of the election, so that it voted for another candidate.
        if !granted && !pre_vote && term == self.hard_state.term {
            self.record_split(now);
        }
    }

    /// Records a vote. With a quorum, a pre-vote becomes an election and an election is won.
    pub(super) fn record_vote(&mut self, now: Time, from: ReplicaId, out: &mut Actions) {
        let Role::Candidate { pre_vote, granted, .. } = &mut self.role else { return };
        granted.insert(from);
        let votes = granted.iter().filter(|voter| self.members.voters.contains_key(voter)).count();
        if votes < self.members.quorum() {
            return;
        }
        if *pre_vote { self.start_election(now, out) } else { self.become_leader(now, out) }
    }

    /// Shortens the election timeout as there is another candidate: if neither wins within the time
    /// that a vote takes, there is nothing left to wait for.
    fn record_split(&mut self, now: Time) {
        let Role::Candidate { pre_vote: false, asked_at, .. } = self.role else { return };
        let took = now.since(asked_at);
        let range = (took * RETRY_JITTER_FACTOR).clamp(MIN_RETRY_JITTER, ELECTION_JITTER);
        let share = range.as_micros() as f64 / ELECTION_JITTER.as_micros() as f64;
        let retry = now + took + self.election_jitter().mul_f64(share);
        self.election_deadline = self.election_deadline.min(retry);
    }

    /// Prepares for the end of the process: gives up leadership and asks the leader to let another
    /// replica take its place as a voter. It starts no election from now on.
    ///
    /// If the process ends while [`Replica::is_voter`] holds, the log bears one loss less until it is
    /// back or replaced.
    pub fn stop(&mut self, now: Time, out: &mut Actions) {
        self.stop_due = Some(now);
        self.step_down(now, out);
    }

    /// Returns whether the process is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stop_due.is_some()
    }

    /// Tells the leader that this replica is about to end. A learner does so, too, as it must not be
    /// made a voter now.
    pub(super) fn tick_stopping(&mut self, now: Time, out: &mut Actions) {
        let is_due = self.stop_due.is_some_and(|due| now >= due);
        let Some(leader) = self.leader.filter(|_| is_due) else { return };
        self.stop_due = Some(now + STOP_INTERVAL);
        self.send(leader, ReplicaMessage::StepDown { term: self.hard_state.term }, out);
    }

    /// Gives up leadership and tells the other members, so that those that it reaches do not count as
    /// in contact with a leader, and voters elect a new one without waiting for the election timeout.
    pub(super) fn step_down(&mut self, now: Time, out: &mut Actions) {
        if !self.is_leader() {
            return;
        }
        let (me, term) = (self.id, self.hard_state.term);
        let members: Vec<_> = self.members.iter().map(|(member, _)| member).collect();
        for to in members.into_iter().filter(|to| *to != me) {
            self.send(to, ReplicaMessage::StepDown { term }, out);
        }
        self.become_follower(now, term, None, out);
    }

    /// Handles the leader's step-down: forgets the leader and starts a short election timeout with
    /// jitter.
    pub(super) fn handle_step_down(&mut self, now: Time, from: ReplicaId, term: u64) {
        if term != self.hard_state.term || self.leader != Some(from) {
            return;
        }
        self.ended_term = term;
        self.leader = None;
        self.leader_heard = Time::ZERO;
        self.sightings.forget_leader();
        let jitter = self.election_jitter() / STEP_DOWN_JITTER_DIVISOR;
        self.election_deadline = now + jitter;
    }

    pub(super) fn become_leader(&mut self, now: Time, out: &mut Actions) {
        let start = self.last().index + 1;
        self.role = Role::Leader(LeaderState::new(now, start));
        self.leader = Some(self.id);
        let entry = Entry { term: self.hard_state.term, payload: Payload::Noop };
        self.replace_suffix(start, vec![entry], out);
        self.update_peers(now);
        self.sightings.forget_leader();
        self.broadcast(now, out);
    }
}

fn new_candidate(now: Time, pre_vote: bool) -> Role {
    Role::Candidate { pre_vote, granted: BTreeSet::new(), asked_at: now }
}
