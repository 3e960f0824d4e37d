//! Changes of backend servers that entry VMs have yet to be told of.

use std::{collections::BTreeMap, time::Duration};

use super::record::{ServerRecord, ServerState};
use crate::time::Time;

/// Time for which changes are gathered into one message: a small part of the seconds in which a
/// change has to be in force, and long against the time between two changes in a large system.
const GATHER: Duration = Duration::from_millis(100);

/// Changed servers, gathered so that one message tells of many.
///
/// An entry VM answers each message, and there are many entry VMs: a record of 60 bytes that goes
/// alone costs three times its length.
#[derive(Debug, Clone, Default)]
pub struct News {
    records: BTreeMap<u64, ServerRecord>,
    /// When the oldest of them became known.
    since: Option<Time>,
}

impl News {
    /// Returns no news.
    pub fn new() -> News {
        News::default()
    }

    /// Adds changed servers; returns what has to be told at once: everything where one of them
    /// takes no new flows any more.
    pub fn add(&mut self, now: Time, records: Vec<ServerRecord>) -> Option<Vec<ServerRecord>> {
        let urgent = records.iter().any(|record| record.state != ServerState::Ready);
        if !records.is_empty() {
            self.since.get_or_insert(now);
        }
        self.records.extend(records.into_iter().map(|record| (record.announced.id, record)));
        if urgent { self.take() } else { None }
    }

    /// Returns what was gathered for long enough.
    pub fn due(&mut self, now: Time) -> Option<Vec<ServerRecord>> {
        let due = self.since.is_some_and(|since| now.since(since) >= GATHER);
        if due { self.take() } else { None }
    }

    fn take(&mut self) -> Option<Vec<ServerRecord>> {
        self.since = None;
        let records = std::mem::take(&mut self.records);
        (!records.is_empty()).then(|| records.into_values().collect())
    }
}
