//! Submissions: authorization, proposal, and forwarding to the leader.

use super::{
    ControlAction, ControlMessage, ControlNode, FORWARD_TIMEOUT,
    machine::Change,
    message::{Submission, SubmitResult},
    replica::{Payload, ReplicaAction, ReplicaId},
};
use crate::{
    counter::Counter,
    flow::MoveScheduler,
    spread::Acks,
    state::{Command, Outcome},
    time::Time,
};

/// Maximum number of pending submissions, reads or reports.
pub(super) const MAX_PENDING: usize = 4_096;

/// A submission whose log entry is not applied yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingSubmission {
    /// Term in which the entry was proposed.
    term: u64,
    /// The follower that forwarded the submission, or `None` for a local caller.
    follower: Option<ReplicaId>,
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
            self.propose_submission(now, None, ticket, submission, actions, out);
            return;
        }
        let full = self.forwards.len() >= MAX_PENDING;
        match self.replica.leader().filter(|_| !full && !self.replica.is_halted()) {
            Some(leader) => {
                self.forwards.insert(ticket, now + FORWARD_TIMEOUT);
                self.send(leader, ControlMessage::Forward { ticket, submission }, out);
            }
            None => self.reply(None, ticket, SubmitResult::Unavailable, out),
        }
    }

    pub(super) fn handle_forward(
        &mut self,
        now: Time,
        from: ReplicaId,
        ticket: u64,
        submission: Submission,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        if self.replica.is_leader() {
            self.propose_submission(now, Some(from), ticket, submission, actions, out);
        } else {
            self.reply(Some(from), ticket, SubmitResult::Unavailable, out);
        }
    }

    /// Authorizes and proposes a submission as the leader.
    fn propose_submission(
        &mut self,
        now: Time,
        follower: Option<ReplicaId>,
        ticket: u64,
        submission: Submission,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        let Submission { request, token, command } = submission;
        // Authorization needs the latest rights, which only a leader with a valid lease has.
        if self.replica.lease_start(now).is_none() || self.submissions.len() >= MAX_PENDING {
            return self.reply(follower, ticket, SubmitResult::Unavailable, out);
        }
        let author = match self.state().tree.rights.authorize(token.as_deref(), &command) {
            Ok(author) => author,
            Err(err) => {
                let message = err.to_string().into();
                let result = SubmitResult::Ordered(Outcome::Refused { message });
                return self.reply(follower, ticket, result, out);
            }
        };
        let change = Change { request, author, command };
        if self.is_overtaken(&change) {
            self.counters.add(Counter::ChangesOvertaken, 1);
            return self.reply(follower, ticket, SubmitResult::Ordered(overtaken()), out);
        }
        match self.replica.propose(now, Payload::Change(change), actions) {
            Some(index) => {
                let term = self.replica.term();
                self.submissions.insert(index, PendingSubmission { term, follower, ticket });
            }
            None => self.reply(follower, ticket, SubmitResult::Unavailable, out),
        }
    }

    /// Returns whether the opposite of an order was proposed after the order was made.
    ///
    /// An order may reach the leader late, as its VM was suspended or a link was cut. By then its
    /// operator may have sent it again, and an opposite one after it.
    fn is_overtaken(&self, change: &Change) -> bool {
        let Some(request) = change.request else { return false };
        let Some(opposite) = change.command.opposite() else { return false };
        if self.machine.has_outcome(request) {
            return false;
        }
        let subject = opposite.subject();
        let is_applied = self.machine.history_after(request.made).is_none_or(|history| {
            history.iter().any(|entry| Some(&entry.subject) == subject.as_ref())
        });
        let unapplied = self.applied + 1..=self.replica.last().index;
        is_applied
            || unapplied.filter_map(|index| self.replica.entry(index)).any(|entry| {
                matches!(&entry.payload, Payload::Change(change) if change.command == opposite)
            })
    }

    /// Proposes a command of the leader itself; no caller waits for the result.
    pub(super) fn propose_own(
        &mut self,
        now: Time,
        command: Command,
        actions: &mut Vec<ReplicaAction>,
    ) {
        let change = Change { request: None, author: None, command };
        self.replica.propose(now, Payload::Change(change), actions);
    }

    /// Completes the submission that waits for the entry at `index`.
    pub(super) fn complete_submission(
        &mut self,
        index: u64,
        term: u64,
        outcome: Option<Outcome>,
        out: &mut Vec<ControlAction>,
    ) {
        let Some(pending) = self.submissions.remove(&index) else { return };
        let result = match outcome {
            Some(outcome) if pending.term == term => SubmitResult::Ordered(outcome),
            _ => SubmitResult::Unknown,
        };
        self.reply(pending.follower, pending.ticket, result, out);
    }

    pub(super) fn complete_forward(
        &mut self,
        ticket: u64,
        result: SubmitResult,
        out: &mut Vec<ControlAction>,
    ) {
        if self.forwards.remove(&ticket).is_some() {
            self.reply(None, ticket, result, out);
        }
    }

    /// Detects the start and the end of this VM's leadership. When it ends, pending submissions
    /// have an unknown result.
    pub(super) fn detect_leader_change(&mut self, now: Time, out: &mut Vec<ControlAction>) {
        let leading = self.replica.is_leader().then(|| self.replica.term());
        if leading == self.leader_term {
            return;
        }
        for pending in std::mem::take(&mut self.submissions).into_values() {
            self.reply(pending.follower, pending.ticket, SubmitResult::Unknown, out);
        }
        self.leader_term = leading;
        if leading.is_some() {
            self.counters.add(Counter::ElectionsWon, 1);
            self.acks = Acks::with_start(now, self.state().index);
            self.mover = MoveScheduler::new();
        }
    }

    /// Expires submissions and reports that the leader did not answer in time.
    pub(super) fn expire(&mut self, now: Time, out: &mut Vec<ControlAction>) {
        let is_expired = |_: &u64, until: &mut Time| *until <= now;
        let forwards: Vec<_> = self.forwards.extract_if(.., is_expired).collect();
        for (ticket, _) in forwards {
            self.reply(None, ticket, SubmitResult::Unknown, out);
        }
        self.expire_reports(now, out);
    }

    fn reply(
        &mut self,
        follower: Option<ReplicaId>,
        ticket: u64,
        result: SubmitResult,
        out: &mut Vec<ControlAction>,
    ) {
        if let Some(follower) = follower {
            return self.send(follower, ControlMessage::ForwardReply { ticket, result }, out);
        }
        self.counters.add(
            match &result {
                SubmitResult::Ordered(Outcome::Accepted { .. }) => Counter::ChangesAccepted,
                SubmitResult::Ordered(Outcome::Refused { .. }) => Counter::ChangesRefused,
                SubmitResult::Unavailable => Counter::ChangesUnavailable,
                SubmitResult::Unknown => Counter::ChangesUnknown,
            },
            1,
        );
        out.push(ControlAction::SubmitResult { ticket, result });
    }
}

#[cold]
fn overtaken() -> Outcome {
    let message = "a later order has undone this one; read the state and send it again under a new \
                   id if it still holds";
    Outcome::Refused { message: message.into() }
}
