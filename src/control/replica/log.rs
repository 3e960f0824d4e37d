//! In-memory part of the log.

use serde::{Deserialize, Serialize};

use super::message::{Entry, LogId};

/// Consecutive entries after `base`, the last compacted entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Log {
    base: LogId,
    entries: Vec<Entry>,
}

impl Log {
    /// Creates a log of `entries` after `base`.
    pub(crate) fn new(base: LogId, entries: Vec<Entry>) -> Log {
        Log { base, entries }
    }

    /// Returns the id of the last entry.
    pub(crate) fn last(&self) -> LogId {
        let index = self.base.index + self.entries.len() as u64;
        LogId { index, term: self.entries.last().map_or(self.base.term, |entry| entry.term) }
    }

    /// Returns the id of the last compacted entry.
    pub(crate) fn base(&self) -> LogId {
        self.base
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let pos = index.checked_sub(self.base.index + 1)?;
        self.entries.get(pos as usize)
    }

    /// Returns the id of the entry at `index`, which may be the base.
    pub(crate) fn id_at(&self, index: u64) -> Option<LogId> {
        if index == self.base.index {
            return Some(self.base);
        }
        self.get(index).map(|entry| LogId { index, term: entry.term })
    }

    /// Returns up to `limit` entries after `index`.
    pub(crate) fn entries_after(&self, index: u64, limit: usize) -> &[Entry] {
        let start = index.saturating_sub(self.base.index).min(self.entries.len() as u64) as usize;
        let end = self.entries.len().min(start + limit);
        &self.entries[start..end]
    }

    /// Iterates over the entries with their indexes, last to first.
    pub(crate) fn iter_rev(&self) -> impl Iterator<Item = (u64, &Entry)> {
        let first = self.base.index + 1;
        self.entries.iter().enumerate().rev().map(move |(pos, entry)| (first + pos as u64, entry))
    }

    pub(crate) fn push(&mut self, entry: Entry) -> u64 {
        self.entries.push(entry);
        self.last().index
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1);
        self.entries.truncate(keep as usize);
    }

    /// Compacts the entries up to and including `index`.
    pub(crate) fn compact(&mut self, index: u64) {
        let Some(id) = self.id_at(index) else { return };
        self.entries.drain(..(index - self.base.index) as usize);
        self.base = id;
    }
}
