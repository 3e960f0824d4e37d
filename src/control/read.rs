//! Linearizable reads.
//!
//! After a read arrives, the leader confirms its leadership with a quorum (read index; Ongaro's
//! thesis, 6.4). A leader lease is not used, because its clock may stop while the VM is suspended.

use super::{
    ControlAction, ControlMessage, ControlNode, FORWARD_TIMEOUT,
    replica::{ReplicaAction, ReplicaId},
    submit::MAX_PENDING,
};
use crate::time::Time;

/// A pending read.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRead {
    ticket: u64,
    /// The follower that sent the read, or `None` for a local caller.
    follower: Option<ReplicaId>,
    /// Time at which the read arrived.
    started_at: Time,
    /// Read index received from the leader. The read completes once it is applied.
    index: Option<u64>,
}

impl ControlNode {
    /// Starts a read for a local caller, or for `follower`.
    pub(super) fn start_read(
        &mut self,
        now: Time,
        ticket: u64,
        follower: Option<ReplicaId>,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        let leads = self.replica.is_leader();
        let leader = self.replica.leader();
        let full = self.reads.len() >= MAX_PENDING;
        let unavailable = !leads && (leader.is_none() || follower.is_some());
        if full || unavailable || self.replica.is_halted() {
            return self.finish_read(follower, ticket, None, out);
        }
        self.reads.push(PendingRead { ticket, follower, started_at: now, index: None });
        match leader.filter(|_| !leads) {
            Some(leader) => self.send(leader, ControlMessage::ReadIndexRequest { ticket }, out),
            None => self.replica.confirm_leadership(now, actions),
        }
    }

    /// Records the leader's reply to a local read.
    pub(super) fn record_read_index(
        &mut self,
        ticket: u64,
        index: Option<u64>,
        out: &mut Vec<ControlAction>,
    ) {
        let is_local = |read: &PendingRead| read.ticket == ticket && read.follower.is_none();
        let Some(pos) = self.reads.iter().position(is_local) else { return };
        match index {
            Some(index) => self.reads[pos].index = Some(index),
            None => {
                self.reads.remove(pos);
                self.finish_read(None, ticket, None, out);
            }
        }
    }

    /// Completes confirmed reads and fails those that have timed out.
    pub(super) fn complete_reads(&mut self, now: Time, out: &mut Vec<ControlAction>) {
        let confirmed = self.replica.leadership_confirmed(now);
        let mut reads = std::mem::take(&mut self.reads);
        reads.retain(|read| {
            let index = match (read.index, confirmed) {
                (Some(index), _) => Some(index),
                (None, Some(confirmed)) if confirmed >= read.started_at => Some(self.applied),
                _ => None,
            };
            if index.is_some_and(|index| self.applied >= index) {
                self.finish_read(read.follower, read.ticket, index, out);
                return false;
            }
            let timed_out = now.since(read.started_at) >= FORWARD_TIMEOUT;
            if timed_out {
                self.finish_read(read.follower, read.ticket, None, out);
            }
            !timed_out
        });
        self.reads = reads;
    }

    fn finish_read(
        &mut self,
        follower: Option<ReplicaId>,
        ticket: u64,
        index: Option<u64>,
        out: &mut Vec<ControlAction>,
    ) {
        match follower {
            Some(follower) => {
                self.send(follower, ControlMessage::ReadIndexReply { ticket, index }, out)
            }
            None => out.push(ControlAction::ReadResult { ticket, fresh: index.is_some() }),
        }
    }
}
