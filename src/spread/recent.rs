//! Buffer of the most recently applied log entries, for VMs that are behind.

use std::collections::VecDeque;

use crate::{spread::Entries, state::Command};

/// Maximum number of entries kept.
const MAX_ENTRIES: usize = 512;

/// Maximum encoded size of the entries kept, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// Maximum size of the entries in one datagram, in bytes. A VM that lacks a larger entry gets a
/// snapshot.
const MAX_BATCH_BYTES: usize = 8 * 1_024;

/// The entries up to and including the last applied index.
pub(crate) struct RecentEntries {
    last: u64,
    entries: VecDeque<(Command, usize)>,
    bytes: usize,
}

impl RecentEntries {
    /// Creates an empty buffer for a VM that has applied the entry `last`.
    pub(crate) fn new(last: u64) -> RecentEntries {
        RecentEntries { last, entries: VecDeque::new(), bytes: 0 }
    }

    /// Appends the next entry and removes the oldest entries above the limits.
    pub(crate) fn push(&mut self, command: &Command) {
        let len = postcard::to_stdvec(command).map_or(MAX_BYTES, |bytes| bytes.len());
        self.last += 1;
        self.bytes += len;
        self.entries.push_back((command.clone(), len));
        while self.entries.len() > MAX_ENTRIES || self.bytes > MAX_BYTES {
            let Some((_, len)) = self.entries.pop_front() else { return };
            self.bytes -= len;
        }
    }

    /// Returns the entries that follow `after` and fit into one datagram, or `None` if a snapshot
    /// is needed.
    pub(crate) fn entries_after(&self, after: u64) -> Option<Entries> {
        let back = usize::try_from(self.last.checked_sub(after)?).ok()?;
        let skip = self.entries.len().checked_sub(back)?;
        let mut bytes = 0;
        let fits = self.entries.iter().skip(skip).take_while(|(_, len)| {
            bytes += len;
            bytes <= MAX_BATCH_BYTES
        });
        let commands: Vec<_> = fits.map(|(command, _)| command.clone()).collect();
        (!commands.is_empty()).then(|| Entries::new(after + 1, commands))
    }
}
