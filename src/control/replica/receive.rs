//! Messages from other replicas.

use super::{
    Actions, Replica,
    message::{ReplicaId, ReplicaMessage},
};
use crate::time::Time;

impl Replica {
    /// Handles a message from another replica.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: ReplicaId,
        message: ReplicaMessage,
        out: &mut Actions,
    ) {
        if self.halted || from == self.id {
            return;
        }
        match message {
            ReplicaMessage::RequestVote { term, last_entry, pre_vote } => {
                self.handle_vote_request(now, from, term, last_entry, pre_vote, out)
            }
            ReplicaMessage::VoteReply { term, granted, pre_vote } => {
                self.handle_vote_reply(now, from, term, granted, pre_vote, out);
            }
            // Ignores messages of a leader that has stepped down, which were delayed.
            ReplicaMessage::AppendEntries { .. } | ReplicaMessage::InstallSnapshot { .. }
                if message.term() <= self.ended_term => {}
            ReplicaMessage::AppendEntries { .. } | ReplicaMessage::InstallSnapshot { .. }
                if message.term() < self.hard_state.term =>
            {
                let sent = Time::ZERO;
                self.send(
                    from,
                    ReplicaMessage::AppendAccepted { term: self.hard_state.term, index: 0, sent },
                    out,
                )
            }
            ReplicaMessage::AppendEntries { term, prev, entries, commit, sent } => {
                self.follow_sender(now, from, term, sent, out);
                self.handle_append(from, prev, entries, commit, out);
            }
            ReplicaMessage::InstallSnapshot { term, snapshot, sent } => {
                self.follow_sender(now, from, term, sent, out);
                self.handle_snapshot(snapshot, out);
            }
            ReplicaMessage::StepDown { term } if self.is_leader() => {
                self.handle_stopping(now, from, term, out);
            }
            ReplicaMessage::StepDown { term } => self.handle_step_down(now, from, term),
            ReplicaMessage::AppendAccepted { term, .. }
            | ReplicaMessage::AppendRejected { term, .. }
                if term > self.hard_state.term =>
            {
                self.become_follower(now, term, None, out);
            }
            ReplicaMessage::AppendAccepted { term, index, sent } => {
                self.handle_append_accepted(now, from, term, index, sent, out);
            }
            ReplicaMessage::AppendRejected { term, hint, sent } => {
                self.handle_append_rejected(now, from, term, hint, sent, out);
            }
        }
    }
}
