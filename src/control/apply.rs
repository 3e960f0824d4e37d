//! Committed entries: applies them, and takes and restores snapshots.

use super::{
    ControlAction, ControlNode, SNAPSHOT_INTERVAL_BYTES, SNAPSHOT_INTERVAL_ENTRIES,
    TRAILING_ENTRIES, TRAILING_ENTRIES_LARGE,
    feed::RecentCommands,
    replica::{Payload, ReplicaAction},
};
use crate::{
    counter::Counter,
    error::{Error, Result},
    time::Time,
};

impl ControlNode {
    /// Applies committed entries, answers pending submissions, and takes a snapshot when one is
    /// due.
    pub(super) fn apply_committed(
        &mut self,
        now: Time,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        self.detect_leader_change(now, out);
        while self.applied < self.replica.commit_index() {
            let index = self.applied + 1;
            let Some(entry) = self.replica.entry(index) else {
                if self.restore().is_err() {
                    // The snapshot's checksum was valid, so a decoding failure is a bug.
                    self.replica.halt();
                    return;
                }
                continue;
            };
            let term = entry.term;
            let outcome = match &entry.payload {
                Payload::Change(change) => {
                    let (outcome, was_applied) = self.machine.apply(change);
                    self.uncompacted_bytes += change.command.approx_size();
                    if was_applied {
                        self.recent.push(change.command.clone());
                    }
                    Some(outcome)
                }
                _ => None,
            };
            self.applied = index;
            self.complete_submission(index, term, outcome, out);
        }
        self.compact(actions);
    }

    fn compact(&mut self, actions: &mut Vec<ReplicaAction>) {
        let last = self.replica.snapshot().last_entry.index;
        let due = self.applied >= last + SNAPSHOT_INTERVAL_ENTRIES
            || self.uncompacted_bytes >= SNAPSHOT_INTERVAL_BYTES;
        if !due || self.replica.is_halted() {
            return;
        }
        let keep = if self.uncompacted_bytes >= SNAPSHOT_INTERVAL_BYTES {
            TRAILING_ENTRIES_LARGE
        } else {
            TRAILING_ENTRIES
        };
        self.uncompacted_bytes = 0;
        if let Ok(data) = postcard::to_stdvec(&self.machine) {
            self.counters.add(Counter::SnapshotsTaken, 1);
            self.replica.compact(self.applied, data, keep, actions);
        }
    }

    /// Restores the state machine from the replica's snapshot if the snapshot is newer.
    pub(super) fn restore(&mut self) -> Result<()> {
        let snapshot = self.replica.snapshot();
        if snapshot.last_entry.index <= self.applied {
            return Ok(());
        }
        if !snapshot.data.is_empty() {
            self.machine = postcard::from_bytes(&snapshot.data).map_err(|err| {
                let message = format!(
                    "cannot decode the snapshot ({err}); start the version that wrote it, or move the \
                     data folder away"
                );
                Error::storage(message)
            })?;
        }
        self.applied = snapshot.last_entry.index;
        self.recent = RecentCommands::new(self.machine.state().index + 1);
        Ok(())
    }
}
