//! Submissions: who may ask, who waits for an answer, and what a follower hands to the leader.

use super::{
    ControlAction, ControlMessage, ControlNode, FORWARD_LIMIT,
    machine::Change,
    message::{Fate, Submission},
    replica::{Identity, Payload, ReplicaAction},
};
use crate::{
    counter::Counter,
    flow::MoveScheduler,
    spread::Acks,
    state::{Command, Outcome},
    time::Time,
};

/// Submissions and reports that may wait at one time.
pub(super) const WAITING_LIMIT: usize = 4_096;

/// Who waits for an entry of the log.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    /// Term in which the entry was proposed.
    term: u64,
    /// The follower that handed it over, or `None` for a caller of this VM.
    follower: Option<Identity>,
    ticket: u64,
}

impl ControlNode {
    pub(super) fn submit(
        &mut self,
        now: Time,
        ticket: u64,
        submission: Submission,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        if self.replica.is_leader() {
            self.order(now, None, ticket, submission, actions, out);
            return;
        }
        let full = self.forwards.len() >= WAITING_LIMIT;
        match self.replica.leader().filter(|_| !full && !self.replica.is_halted()) {
            Some(leader) => {
                self.forwards.insert(ticket, now + FORWARD_LIMIT);
                self.send(leader, ControlMessage::Forward { ticket, submission }, out);
            }
            None => self.reply(None, ticket, Fate::Unavailable, out),
        }
    }

    pub(super) fn forwarded(
        &mut self,
        now: Time,
        from: Identity,
        ticket: u64,
        submission: Submission,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        if self.replica.is_leader() {
            self.order(now, Some(from), ticket, submission, actions, out);
        } else {
            self.reply(Some(from), ticket, Fate::Unavailable, out);
        }
    }

    /// Proposes a submission as the leader; its fate is told once it is known.
    fn order(
        &mut self,
        now: Time,
        follower: Option<Identity>,
        ticket: u64,
        submission: Submission,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        let Submission { request, token, command } = submission;
        // Rights are those in force, which only a leader with a lease is sure to know.
        if self.replica.lease(now).is_none() || self.waiting.len() >= WAITING_LIMIT {
            return self.reply(follower, ticket, Fate::Unavailable, out);
        }
        let author = match self.state().tree.rights.permit(token.as_deref(), &command) {
            Ok(author) => author,
            Err(err) => {
                let message = err.to_string().into();
                let fate = Fate::Ordered(Outcome::Refused { message });
                return self.reply(follower, ticket, fate, out);
            }
        };
        let change = Change { request, author, command };
        match self.replica.propose(now, Payload::Change(change), actions) {
            Some(index) => {
                let term = self.replica.term();
                self.waiting.insert(index, Waiter { term, follower, ticket });
            }
            None => self.reply(follower, ticket, Fate::Unavailable, out),
        }
    }

    /// Orders a command of the leader itself, for which nobody waits.
    pub(super) fn order_own(
        &mut self,
        now: Time,
        command: Command,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let change = Change { request: None, author: None, command };
        self.replica.propose(now, Payload::Change(change), actions);
    }

    /// Answers who waits for the entry at `index`.
    pub(super) fn answer(
        &mut self,
        index: u64,
        term: u64,
        outcome: Option<Outcome>,
        out: &mut Vec<ControlAction>,
    ) {
        let Some(waiter) = self.waiting.remove(&index) else { return };
        let fate = match outcome {
            Some(outcome) if waiter.term == term => Fate::Ordered(outcome),
            _ => Fate::Unknown,
        };
        self.reply(waiter.follower, waiter.ticket, fate, out);
    }

    pub(super) fn answer_forward(&mut self, ticket: u64, fate: Fate, out: &mut Vec<ControlAction>) {
        if self.forwards.remove(&ticket).is_some() {
            self.reply(None, ticket, fate, out);
        }
    }

    /// Notices the start and the end of leading; at its end nobody knows the fate of what waits.
    pub(super) fn watch_leading(&mut self, now: Time, out: &mut Vec<ControlAction>) {
        let leading = self.replica.is_leader().then(|| self.replica.term());
        if leading == self.leading {
            return;
        }
        for waiter in std::mem::take(&mut self.waiting).into_values() {
            self.reply(waiter.follower, waiter.ticket, Fate::Unknown, out);
        }
        self.leading = leading;
        if leading.is_some() {
            self.counters.add(Counter::ElectionsWon, 1);
            self.acks = Acks::with_start(now, self.state().index);
            self.mover = MoveScheduler::new();
        }
    }

    /// Gives up what was handed to a leader that does not answer.
    pub(super) fn expire(&mut self, now: Time, out: &mut Vec<ControlAction>) {
        let over = |_: &u64, until: &mut Time| *until <= now;
        let forwards: Vec<_> = self.forwards.extract_if(.., over).collect();
        for (ticket, _) in forwards {
            self.reply(None, ticket, Fate::Unknown, out);
        }
        self.expire_reports(now, out);
    }

    fn reply(
        &mut self,
        follower: Option<Identity>,
        ticket: u64,
        fate: Fate,
        out: &mut Vec<ControlAction>,
    ) {
        if let Some(follower) = follower {
            return self.send(follower, ControlMessage::Forwarded { ticket, fate }, out);
        }
        self.counters.add(
            match &fate {
                Fate::Ordered(Outcome::Accepted { .. }) => Counter::ChangesAccepted,
                Fate::Ordered(Outcome::Refused { .. }) => Counter::ChangesRefused,
                Fate::Unavailable => Counter::ChangesUnavailable,
                Fate::Unknown => Counter::ChangesUnknown,
            },
            1,
        );
        out.push(ControlAction::Fate { ticket, fate });
    }
}
