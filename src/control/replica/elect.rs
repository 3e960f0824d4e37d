//! Elections: pre-vote, votes, and what a new leader does first.

use std::collections::BTreeSet;

use super::{
    Actions, ELECTION, RESIGN_HASTE, Replica, Role,
    lead::Lead,
    message::{Entry, Hard, Identity, Mark, Payload, ReplicaMessage},
};
use crate::time::Time;

impl Replica {
    /// Asks whether it would win an election, without a new term (Ongaro's thesis, 9.6).
    pub(super) fn campaign(&mut self, now: Time, out: &mut Actions) {
        self.leader = None;
        self.role = Role::Follower;
        self.elections += 1;
        self.rest(now);
        if !self.members.voters.contains_key(&self.me) {
            return;
        }
        self.role = Role::Candidate { pre: true, granted: BTreeSet::new() };
        self.ask(self.hard.term.saturating_add(1), true, out);
        self.granted(now, self.me, out);
    }

    fn elect(&mut self, now: Time, out: &mut Actions) {
        let term = self.hard.term.saturating_add(1);
        self.rest(now);
        self.matched = 0;
        self.role = Role::Candidate { pre: false, granted: BTreeSet::new() };
        self.set_hard(Hard { term, vote: Some(self.me) }, out);
        // The own vote counts once it is synced.
        self.ask(term, false, out);
    }

    fn ask(&mut self, term: u64, pre: bool, out: &mut Actions) {
        let last = self.last();
        let me = self.me;
        let voters: Vec<_> = self.members.voters.keys().copied().collect();
        for to in voters.into_iter().filter(|to| *to != me) {
            self.send(to, ReplicaMessage::Ask { term, last, pre }, out);
        }
    }

    /// Answers a candidate; one that asks while a leader is heard gets no answer, so that a
    /// replica that was cut off disturbs nobody (Ongaro's thesis, 4.2.3).
    pub(super) fn asked(
        &mut self,
        now: Time,
        from: Identity,
        term: u64,
        last: Mark,
        pre: bool,
        out: &mut Actions,
    ) {
        if self.is_leader() || now.since(self.heard) < ELECTION {
            return;
        }
        if !pre && term > self.hard.term {
            self.follow(now, term, None, out);
        }
        let free = match self.hard.vote {
            _ if pre => term > self.hard.term,
            Some(vote) => vote == from && term == self.hard.term,
            None => term == self.hard.term,
        };
        let granted = free && last >= self.last();
        if granted && !pre && self.hard.vote.is_none() {
            self.set_hard(Hard { term, vote: Some(from) }, out);
            self.rest(now);
        }
        let term = if granted { term } else { self.hard.term };
        self.send(from, ReplicaMessage::Vote { term, granted, pre }, out);
    }

    pub(super) fn voted(
        &mut self,
        now: Time,
        from: Identity,
        term: u64,
        granted: bool,
        pre: bool,
        out: &mut Actions,
    ) {
        let asked = self.hard.term.saturating_add(u64::from(pre));
        if !granted && term > self.hard.term {
            self.follow(now, term, None, out);
        }
        let waiting = matches!(self.role, Role::Candidate { pre: asking, .. } if asking == pre);
        if granted && waiting && term == asked {
            self.granted(now, from, out);
        }
    }

    /// Counts a vote, and moves on where a quorum has granted its vote.
    pub(super) fn granted(&mut self, now: Time, from: Identity, out: &mut Actions) {
        let Role::Candidate { pre, granted } = &mut self.role else { return };
        granted.insert(from);
        let votes = granted.iter().filter(|voter| self.members.voters.contains_key(voter)).count();
        if votes < self.members.quorum() {
            return;
        }
        if *pre { self.elect(now, out) } else { self.lead(now, out) }
    }

    /// Stops leading on purpose, so that the others elect a leader at once.
    pub fn resign(&mut self, now: Time, out: &mut Actions) {
        if !self.is_leader() {
            return;
        }
        let (me, term) = (self.me, self.hard.term);
        let voters: Vec<_> = self.members.voters.keys().copied().collect();
        for to in voters.into_iter().filter(|to| *to != me) {
            self.send(to, ReplicaMessage::Resign { term }, out);
        }
        self.follow(now, term, None, out);
    }

    /// Takes over that the leader has resigned: nothing is promised to it any more, and the
    /// followers ask for votes one after the other.
    pub(super) fn resigned(&mut self, now: Time, from: Identity, term: u64) {
        if term != self.hard.term || self.leader != Some(from) {
            return;
        }
        self.ended = term;
        self.leader = None;
        self.heard = Time::ZERO;
        let spread = self.spread() / RESIGN_HASTE;
        self.deadline = now + spread;
    }

    fn lead(&mut self, now: Time, out: &mut Actions) {
        let start = self.last().index + 1;
        self.role = Role::Leader(Lead::new(now, start));
        self.leader = Some(self.me);
        let entry = Entry { term: self.hard.term, payload: Payload::Noop };
        self.extend(start, vec![entry], out);
        self.follow_members(now);
        self.broadcast(now, out);
    }
}
