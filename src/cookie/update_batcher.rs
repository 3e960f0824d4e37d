//! Batches changes of backend servers before they are sent to entry VMs.

use std::{collections::BTreeMap, time::Duration};

use super::record::{ServerRecord, ServerState};
use crate::time::Time;

/// Time for which changes are collected into one message: short against the seconds within which
/// a change has to take effect, long against the time between two changes in a large system.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Changed records, collected so that one message carries many.
///
/// Each of the many entry VMs acknowledges every message: a record of 60 bytes sent on its own
/// costs three times its length.
#[derive(Debug, Clone, Default)]
pub struct UpdateBatcher {
    records: BTreeMap<u64, ServerRecord>,
    /// When the oldest change was added.
    since: Option<Time>,
}

impl UpdateBatcher {
    /// Creates an empty batch.
    pub fn new() -> UpdateBatcher {
        UpdateBatcher::default()
    }

    /// Adds changed servers. Returns the whole batch, to be sent at once, if one of them accepts
    /// no new flows any more.
    pub fn push(&mut self, now: Time, records: Vec<ServerRecord>) -> Option<Vec<ServerRecord>> {
        let urgent = records.iter().any(|record| record.state != ServerState::Ready);
        if !records.is_empty() {
            self.since.get_or_insert(now);
        }
        self.records.extend(records.into_iter().map(|record| (record.announcement.id, record)));
        if urgent { self.take() } else { None }
    }

    /// Returns the batch if its oldest change has waited for the batch delay.
    pub fn take_due(&mut self, now: Time) -> Option<Vec<ServerRecord>> {
        let due = self.since.is_some_and(|since| now.since(since) >= BATCH_DELAY);
        if due { self.take() } else { None }
    }

    fn take(&mut self) -> Option<Vec<ServerRecord>> {
        self.since = None;
        let records = std::mem::take(&mut self.records);
        (!records.is_empty()).then(|| records.into_values().collect())
    }
}
