//! Reads that no other control VM could answer with something newer.
//!
//! The leader confirms with a quorum, after the read came in, that it still leads (read index;
//! Ongaro's thesis, 6.4). A lease is not used: it is measured with a clock that may stand still
//! while the VM is suspended.

use super::{
    ControlAction, ControlMessage, ControlNode, FORWARD_LIMIT,
    replica::{Identity, ReplicaAction},
    submit::WAITING_LIMIT,
};
use crate::time::Time;

/// A read that waits.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRead {
    ticket: u64,
    /// The follower that asks, or `None` for a caller of this VM.
    follower: Option<Identity>,
    /// When it came in.
    at: Time,
    /// Index that this VM has to apply first, once the leader has named it.
    index: Option<u64>,
}

impl ControlNode {
    /// Starts a read for a caller of this VM, or for `follower`.
    pub(super) fn start_read(
        &mut self,
        now: Time,
        ticket: u64,
        follower: Option<Identity>,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        let leads = self.replica.is_leader();
        let leader = self.replica.leader();
        let full = self.reads.len() >= WAITING_LIMIT;
        let lost = !leads && (leader.is_none() || follower.is_some());
        if full || lost || self.replica.is_halted() {
            return self.end_read(follower, ticket, None, out);
        }
        self.reads.push(PendingRead { ticket, follower, at: now, index: None });
        match leader.filter(|_| !leads) {
            Some(leader) => self.send(leader, ControlMessage::ReadAsk { ticket }, out),
            None => self.replica.confirm(now, actions),
        }
    }

    /// Takes over the leader's answer to a read of this VM.
    pub(super) fn read_at(
        &mut self,
        ticket: u64,
        index: Option<u64>,
        out: &mut Vec<ControlAction>,
    ) {
        let own = |read: &PendingRead| read.ticket == ticket && read.follower.is_none();
        let Some(place) = self.reads.iter().position(own) else { return };
        match index {
            Some(index) => self.reads[place].index = Some(index),
            None => {
                self.reads.remove(place);
                self.end_read(None, ticket, None, out);
            }
        }
    }

    /// Answers the reads that are confirmed, and gives up those that are too old.
    pub(super) fn settle_reads(&mut self, now: Time, out: &mut Vec<ControlAction>) {
        let confirmed = self.replica.confirmed(now);
        let mut reads = std::mem::take(&mut self.reads);
        reads.retain(|read| {
            let index = match (read.index, confirmed) {
                (Some(index), _) => Some(index),
                (None, Some(confirmed)) if confirmed >= read.at => Some(self.applied),
                _ => None,
            };
            if index.is_some_and(|index| self.applied >= index) {
                self.end_read(read.follower, read.ticket, index, out);
                return false;
            }
            let over = now.since(read.at) >= FORWARD_LIMIT;
            if over {
                self.end_read(read.follower, read.ticket, None, out);
            }
            !over
        });
        self.reads = reads;
    }

    fn end_read(
        &mut self,
        follower: Option<Identity>,
        ticket: u64,
        index: Option<u64>,
        out: &mut Vec<ControlAction>,
    ) {
        match follower {
            Some(follower) => self.send(follower, ControlMessage::ReadAt { ticket, index }, out),
            None => out.push(ControlAction::Readable { ticket, fresh: index.is_some() }),
        }
    }
}
