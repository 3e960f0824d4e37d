//! Tracks pending disk writes and the messages that wait for them.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::message::{ReplicaId, ReplicaMessage};

/// Tracks writes until they are synced.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WriteTracker {
    last_write: u64,
    synced_write: u64,
    hard_write: u64,
    synced_index: u64,
    pending: VecDeque<(u64, u64)>,
    held: Vec<(ReplicaId, ReplicaMessage)>,
}

impl WriteTracker {
    /// Creates a tracker for a log that is synced up to `synced`.
    pub(crate) fn new(synced: u64) -> WriteTracker {
        WriteTracker { synced_index: synced, ..WriteTracker::default() }
    }

    /// Returns the last synced log index.
    pub(crate) fn synced_index(&self) -> u64 {
        self.synced_index
    }

    /// Returns whether the latest hard state is synced.
    pub(crate) fn is_hard_synced(&self) -> bool {
        self.synced_write >= self.hard_write
    }

    /// Returns the id of the next write. `last_index` is the last log index after it, if it writes
    /// entries.
    pub(crate) fn begin_write(&mut self, hard: bool, last_index: Option<u64>) -> u64 {
        self.last_write += 1;
        if hard {
            self.hard_write = self.last_write;
        }
        if let Some(last_index) = last_index {
            self.pending.push_back((self.last_write, last_index));
        }
        self.last_write
    }

    /// Marks the log from `index` on as not synced, because it is being replaced.
    pub(crate) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(1);
        self.synced_index = self.synced_index.min(keep);
        for (_, last_index) in &mut self.pending {
            *last_index = keep.min(*last_index);
        }
    }

    /// Records that all writes up to and including `id` are synced.
    pub(crate) fn complete(&mut self, id: u64) {
        self.synced_write = self.synced_write.max(id.min(self.last_write));
        while let Some(&(id, last_index)) = self.pending.front() {
            if id > self.synced_write {
                break;
            }
            self.synced_index = self.synced_index.max(last_index);
            self.pending.pop_front();
        }
    }

    /// Holds a message until the hard state is synced.
    pub(crate) fn hold(&mut self, to: ReplicaId, message: ReplicaMessage) {
        self.held.push((to, message));
    }

    /// Takes the held messages if the hard state is synced.
    pub(crate) fn take_released(&mut self) -> Vec<(ReplicaId, ReplicaMessage)> {
        if self.is_hard_synced() { std::mem::take(&mut self.held) } else { Vec::new() }
    }
}
