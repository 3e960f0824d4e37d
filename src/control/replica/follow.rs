//! Replication on a follower.

use super::{
    Actions, Replica, ReplicaAction,
    log::Log,
    message::{Entry, LogId, ReplicaId, ReplicaMessage, Snapshot, Write},
};
use crate::time::Time;

impl Replica {
    /// Becomes a follower of the sender of a leader's message.
    pub(super) fn follow_sender(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        sent: Time,
        out: &mut Actions,
    ) {
        if self.leader != Some(from) || term > self.hard_state.term {
            self.leader_sent = Time::ZERO;
        }
        self.become_follower(now, term, Some(from), out);
        self.leader_heard = now;
        self.sightings.record_leader(now, from);
        self.leader_sent = self.leader_sent.max(sent);
    }

    pub(super) fn handle_append(
        &mut self,
        from: ReplicaId,
        prev: LogId,
        entries: Vec<Entry>,
        commit: u64,
        out: &mut Actions,
    ) {
        let base = self.log.base().index;
        if prev.index >= base && self.log.id_at(prev.index) != Some(prev) {
            let hint = self.last().index.min(prev.index.saturating_sub(1)).max(self.commit_index);
            let message = ReplicaMessage::AppendRejected {
                term: self.hard_state.term,
                hint,
                sent: self.leader_sent,
            };
            self.send(from, message, out);
            return;
        }
        let end = prev.index + entries.len() as u64;
        let known = (prev.index + 1..).zip(&entries).take_while(|(index, entry)| {
            *index <= base
                || self.log.get(*index).is_some_and(|existing| existing.term == entry.term)
        });
        let known = known.count();
        let first = prev.index + 1 + known as u64;
        if known < entries.len() {
            if first <= self.commit_index {
                // A leader never overwrites committed entries, so the message is forged.
                return;
            }
            self.replace_suffix(first, entries[known..].to_vec(), out);
        }
        self.match_index = self.match_index.max(end);
        self.commit_index = self.commit_index.max(commit.min(end));
        if known == entries.len() {
            self.send_acknowledgement(out);
        }
    }

    pub(super) fn handle_snapshot(&mut self, snapshot: Snapshot, out: &mut Actions) {
        let last_entry = snapshot.last_entry;
        if last_entry.index == u64::MAX {
            // No log is that long, so the message is forged.
            return;
        }
        self.match_index = self.match_index.max(last_entry.index);
        if last_entry.index > self.commit_index
            && self.log.id_at(last_entry.index) != Some(last_entry)
        {
            self.writes.truncate(self.commit_index + 1);
            self.commit_index = last_entry.index;
            self.log = Log::new(last_entry, Vec::new());
            self.snapshot = snapshot.clone();
            self.update_members();
            let id = self.writes.begin_write(false, Some(last_entry.index));
            let first = last_entry.index + 1;
            let snapshot = Some(snapshot);
            let write = Write { id, snapshot, reset: true, first, ..Write::default() };
            out.push(ReplicaAction::Write(write));
            return;
        }
        self.commit_index = self.commit_index.max(last_entry.index);
        self.send_acknowledgement(out);
    }

    /// Acknowledges the synced part of the leader's log.
    pub(super) fn send_acknowledgement(&mut self, out: &mut Actions) {
        let Some(leader) = self.leader else { return };
        let index = self.match_index.min(self.writes.synced_index());
        let message = ReplicaMessage::AppendAccepted {
            term: self.hard_state.term,
            index,
            sent: self.leader_sent,
        };
        self.send(leader, message, out);
    }
}
