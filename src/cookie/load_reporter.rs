//! The reports of an entry VM about its requests in progress.

use super::load_summary::{Counts, LoadReport, REPORT_RETENTION, keep_largest, server_number};
use crate::time::Time;

/// Part of a server's slots, as a divisor, that this VM's requests take up at some server while it is
/// loaded. A VM without load reports nothing.
const LOADED_DIVISOR: u32 = 4;
/// Most servers in a report, some 260 bytes.
const MAX_SERVERS: usize = 64;

/// Requests in progress of one entry VM at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Cookie of the server.
    pub cookie: u32,
    /// Requests in progress.
    pub requests: u32,
    /// Slots of the server.
    pub slots: u32,
}

/// Makes the reports of an entry VM, each to be sent with an acknowledgement of a feed message.
#[derive(Debug, Clone, Default)]
pub struct LoadReporter {
    counts: Counts,
    /// When the counts were taken.
    counted: Time,
    /// Whether the last report said that requests are in progress.
    reported: bool,
    sent: u64,
}

impl LoadReporter {
    /// Creates a reporter of a VM without load.
    pub fn new() -> LoadReporter {
        LoadReporter::default()
    }

    /// Replaces the counts.
    pub fn update(&mut self, now: Time, loads: impl Iterator<Item = ReportedLoad>) {
        self.counted = now;
        self.counts.clear();
        let mut fills = Counts::new();
        let mut loaded = false;
        for ReportedLoad { cookie, requests, slots } in loads.filter(|load| load.requests > 0) {
            loaded |= requests.saturating_mul(LOADED_DIVISOR) >= slots;
            let number = server_number(cookie);
            *self.counts.entry(number).or_default() += requests;
            fills.insert(number, requests.saturating_mul(1_000) / slots.max(1));
        }
        if loaded {
            keep_largest(&mut self.counts, MAX_SERVERS, |number, _| fills.get(&number).copied());
        } else {
            self.counts.clear();
        }
    }

    /// Returns the report to send at `now`, if any: one while the VM is loaded, and an empty one
    /// after that.
    ///
    /// Counts that were taken before the VM was suspended are not sent.
    pub fn take(&mut self, now: Time) -> Option<Vec<u8>> {
        let age = now.since(self.counted);
        let loaded = !self.counts.is_empty();
        if age >= REPORT_RETENTION || (!loaded && !self.reported) {
            return None;
        }
        self.reported = loaded;
        self.sent += 1;
        Some(LoadReport { age, counts: self.counts.clone() }.encode())
    }

    /// Returns the number of reports so far.
    pub fn sent(&self) -> u64 {
        self.sent
    }
}
