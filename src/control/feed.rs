//! What entry VMs fetch: commands in order, or the whole state, and the lease of their reports.

use std::collections::VecDeque;

use super::{
    ControlAction, ControlMessage, ControlNode, FORWARD_LIMIT, replica::Identity,
    submit::WAITING_LIMIT,
};
use crate::{
    spread::{Entries, LEASE_DURATION, Progress},
    state::{Command, State},
    time::Time,
};

/// Commands that one answer to a report carries at most.
const FETCH_LIMIT: usize = 256;
/// Commands that are kept; a VM that lacks more gets the whole state.
const FEED_LEN: usize = 4_096;
/// Bytes of large commands that are kept: some of the largest configurations.
const FEED_BYTES: usize = 1 << 20;

/// The last commands that reached the configuration.
#[derive(Debug, Clone)]
pub(super) struct Feed {
    first: u64,
    commands: VecDeque<Command>,
    /// Bytes of the large ones among them.
    bytes: usize,
}

impl Feed {
    /// Returns a feed whose first command will be that of index `first`.
    pub(super) fn new(first: u64) -> Feed {
        Feed { first, commands: VecDeque::new(), bytes: 0 }
    }

    pub(super) fn push(&mut self, command: Command) {
        self.bytes += command.len();
        self.commands.push_back(command);
        while self.commands.len() > FEED_LEN || self.bytes > FEED_BYTES {
            let Some(oldest) = self.commands.pop_front() else { return };
            self.bytes -= oldest.len();
            self.first += 1;
        }
    }

    /// Returns what a VM lacks that has applied `after` commands.
    fn entries(&self, after: u64, state: &State) -> Entries {
        let next = after.saturating_add(1);
        if next < self.first {
            let snapshot = Some(Box::new(state.clone()));
            return Entries { snapshot, ..Entries::new(state.index + 1, Vec::new()) };
        }
        let start = (next - self.first).min(self.commands.len() as u64);
        let commands = self.commands.iter().skip(start as usize).take(FETCH_LIMIT);
        Entries::new(self.first + start, commands.cloned().collect())
    }
}

/// A report that a follower has handed to the leader.
#[derive(Debug, Clone, Copy)]
pub(super) struct Report {
    after: u64,
    until: Time,
}

impl ControlNode {
    /// Answers a report. Only a leader that is sure to lead grants a lease, so a follower asks it
    /// first, but hands out entries by itself.
    pub(super) fn progress(
        &mut self,
        now: Time,
        ticket: u64,
        progress: Progress,
        out: &mut Vec<ControlAction>,
    ) {
        let after = progress.after;
        if self.replica.lease(now).is_some() {
            self.acks.record_report(now, &progress);
            return self.answer_report(ticket, after, Some(self.acks.least()), out);
        }
        let full = self.reports.len() >= WAITING_LIMIT;
        let leader = self.replica.leader().filter(|leader| *leader != self.replica.me());
        match leader.filter(|_| !full) {
            Some(leader) => {
                self.reports.insert(ticket, Report { after, until: now + FORWARD_LIMIT });
                self.send(leader, ControlMessage::Report { ticket, progress }, out);
            }
            None => self.answer_report(ticket, after, None, out),
        }
    }

    /// Takes a report that a follower hands over, as the leader.
    pub(super) fn report(
        &mut self,
        now: Time,
        from: Identity,
        ticket: u64,
        progress: &Progress,
        out: &mut Vec<ControlAction>,
    ) {
        if self.replica.lease(now).is_some() {
            self.acks.record_report(now, progress);
            let least = self.acks.least();
            self.send(from, ControlMessage::Noted { ticket, least }, out);
        }
    }

    pub(super) fn noted(&mut self, ticket: u64, least: u64, out: &mut Vec<ControlAction>) {
        if let Some(report) = self.reports.remove(&ticket) {
            self.answer_report(ticket, report.after, Some(least), out);
        }
    }

    pub(super) fn expire_reports(&mut self, now: Time, out: &mut Vec<ControlAction>) {
        let over = |_: &u64, report: &mut Report| report.until <= now;
        let reports: Vec<_> = self.reports.extract_if(.., over).collect();
        for (ticket, report) in reports {
            self.answer_report(ticket, report.after, None, out);
        }
    }

    /// Answers a report; VMs that have applied `least` get their lease, without it none does.
    fn answer_report(
        &self,
        ticket: u64,
        after: u64,
        least: Option<u64>,
        out: &mut Vec<ControlAction>,
    ) {
        let mut entries = self.feed.entries(after, self.state());
        if let Some(least) = least {
            entries.lease = LEASE_DURATION;
            entries.least = least;
        }
        out.push(ControlAction::Entries { ticket, entries });
    }
}
