//! Serves commands or state snapshots to entry VMs and grants their leases.

use std::collections::VecDeque;

use super::{
    ControlAction, ControlMessage, ControlNode, FORWARD_TIMEOUT, replica::ReplicaId,
    submit::MAX_PENDING,
};
use crate::{
    spread::{Entries, LEASE_DURATION, Progress},
    state::{Command, State},
    time::Time,
};

/// Maximum number of commands in one answer.
const MAX_FETCH_COMMANDS: usize = 256;
/// Maximum number of commands kept in memory. A VM that is further behind receives a snapshot.
const MAX_RECENT_COMMANDS: usize = 4_096;
/// Maximum size of the commands kept in memory. Holds a few of the largest configurations.
const MAX_RECENT_BYTES: usize = 1 << 20;

/// The most recent commands applied to the configuration.
#[derive(Debug, Clone)]
pub(super) struct RecentCommands {
    first_index: u64,
    commands: VecDeque<Command>,
    /// Total of [`Command::approx_size`] over `commands`.
    bytes: usize,
}

impl RecentCommands {
    /// Creates an empty buffer whose first command will have index `first`.
    pub(super) fn new(first: u64) -> RecentCommands {
        RecentCommands { first_index: first, commands: VecDeque::new(), bytes: 0 }
    }

    pub(super) fn push(&mut self, command: Command) {
        self.bytes += command.approx_size();
        self.commands.push_back(command);
        while self.commands.len() > MAX_RECENT_COMMANDS || self.bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.commands.pop_front() else { return };
            self.bytes -= oldest.approx_size();
            self.first_index += 1;
        }
    }

    /// Returns the commands after index `after`, or a snapshot if they are no longer kept.
    fn entries(&self, after: u64, state: &State) -> Entries {
        let next = after.saturating_add(1);
        if next < self.first_index {
            let snapshot = Some(Box::new(state.clone()));
            return Entries { snapshot, ..Entries::new(state.index + 1, Vec::new()) };
        }
        let start = (next - self.first_index).min(self.commands.len() as u64);
        let commands = self.commands.iter().skip(start as usize).take(MAX_FETCH_COMMANDS);
        Entries::new(self.first_index + start, commands.cloned().collect())
    }
}

/// A progress report forwarded to the leader.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingReport {
    after: u64,
    deadline: Time,
}

impl ControlNode {
    /// Answers a progress report. Only a leader with a valid lease may grant leases to entry VMs,
    /// so a follower forwards the report and then answers with its own commands.
    pub(super) fn handle_progress(
        &mut self,
        now: Time,
        ticket: u64,
        progress: Progress,
        out: &mut Vec<ControlAction>,
    ) {
        let after = progress.after;
        if self.replica.lease_start(now).is_some() {
            self.acks.record_report(now, &progress);
            return self.answer_report(ticket, after, Some(self.acks.least()), out);
        }
        let full = self.reports.len() >= MAX_PENDING;
        let leader = self.replica.leader().filter(|leader| *leader != self.replica.id());
        match leader.filter(|_| !full) {
            Some(leader) => {
                self.reports
                    .insert(ticket, PendingReport { after, deadline: now + FORWARD_TIMEOUT });
                self.send(leader, ControlMessage::Report { ticket, progress }, out);
            }
            None => self.answer_report(ticket, after, None, out),
        }
    }

    /// Handles a report forwarded by a follower. Ignored unless this VM is a leader with a valid
    /// lease.
    pub(super) fn handle_report(
        &mut self,
        now: Time,
        from: ReplicaId,
        ticket: u64,
        progress: &Progress,
        out: &mut Vec<ControlAction>,
    ) {
        if self.replica.lease_start(now).is_some() {
            self.acks.record_report(now, progress);
            let min_index = self.acks.least();
            self.send(from, ControlMessage::ReportAccepted { ticket, min_index }, out);
        }
    }

    pub(super) fn handle_report_accepted(
        &mut self,
        ticket: u64,
        min_index: u64,
        out: &mut Vec<ControlAction>,
    ) {
        if let Some(report) = self.reports.remove(&ticket) {
            self.answer_report(ticket, report.after, Some(min_index), out);
        }
    }

    pub(super) fn expire_reports(&mut self, now: Time, out: &mut Vec<ControlAction>) {
        let is_expired = |_: &u64, report: &mut PendingReport| report.deadline <= now;
        let reports: Vec<_> = self.reports.extract_if(.., is_expired).collect();
        for (ticket, report) in reports {
            self.answer_report(ticket, report.after, None, out);
        }
    }

    /// Answers a report. `min_index` is the index that an entry VM must have applied for its lease;
    /// without it no lease is granted.
    fn answer_report(
        &self,
        ticket: u64,
        after: u64,
        min_index: Option<u64>,
        out: &mut Vec<ControlAction>,
    ) {
        let mut entries = self.recent.entries(after, self.state());
        if let Some(min_index) = min_index {
            entries.lease = LEASE_DURATION;
            entries.least = min_index;
        }
        out.push(ControlAction::Entries { ticket, entries });
    }
}
