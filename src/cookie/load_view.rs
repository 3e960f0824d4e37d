//! What an entry VM knows of the load that other VMs bring.

use std::{collections::BTreeMap, time::Duration};

use super::{
    load_summary::{Counts, LoadSummary, SUMMARY_RETENTION, before, pair_number, server_number},
    record::server_cookie,
};
use crate::{name::Name, time::Time};

/// Time without a tick from which on the VM was suspended; ticks come every 250 ms.
const SUSPENSION_GAP: Duration = Duration::from_millis(1_500);
/// Time after a suspension in which summaries may have been sent before it.
const LATE_PERIOD: Duration = Duration::from_millis(500);

/// Difference up to which a summary may seem older than the current one: two in a row may sum up the
/// same reports, and the times of reports are known to the delay of the network.
const AGE_TOLERANCE: Duration = Duration::from_millis(300);

/// The newest load summary of an entry VM.
///
/// ```
/// use galenatrail::{LoadView, Time};
///
/// let mut view = LoadView::new();
/// assert!(!view.update(Time::ZERO, b"unreadable"));
/// assert_eq!(view.others(Time::ZERO, 1), 0.0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct LoadView {
    servers: Counts,
    /// Mean time of the reports that `servers` sums up; `None` before the first summary.
    servers_at: Option<Time>,
    zones: BTreeMap<u32, (u32, u32)>,
    zones_at: Time,
    last_tick: Option<Time>,
    late_until: Time,
    received: u64,
    dropped: u64,
}

impl LoadView {
    /// Creates the view of a VM that has received no summary.
    pub fn new() -> LoadView {
        LoadView::default()
    }

    /// Replaces the view by a summary that a control VM has sent; returns whether it was used.
    ///
    /// A summary that is unreadable, too old or older than the current one changes nothing.
    pub fn update(&mut self, now: Time, summary: &[u8]) -> bool {
        self.note_suspension(now);
        let decoded = LoadSummary::decode(summary).filter(|summary| self.is_newer(now, summary));
        let Some(LoadSummary { age, servers, zones }) = decoded else {
            self.dropped += 1;
            return false;
        };
        self.received += 1;
        self.servers = servers;
        self.servers_at = Some(before(now, age));
        if let Some(zones) = zones {
            self.zones = zones;
            self.zones_at = now;
        }
        true
    }

    fn is_newer(&self, now: Time, summary: &LoadSummary) -> bool {
        let known = self.servers_at;
        now >= self.late_until
            && summary.age < SUMMARY_RETENTION
            && known.is_none_or(|known| before(now, summary.age) + AGE_TOLERANCE >= known)
    }

    /// Records that the VM runs; called at least once a second.
    pub fn tick(&mut self, now: Time) {
        self.note_suspension(now);
        self.last_tick = Some(now);
    }

    fn note_suspension(&mut self, now: Time) {
        if self.last_tick.is_some_and(|last| now.since(last) >= SUSPENSION_GAP) {
            self.late_until = now + LATE_PERIOD;
            self.last_tick = Some(now);
        }
    }

    /// Returns how many requests other VMs have in progress at the server `id`; the older the
    /// summary, the less they weigh.
    pub fn others(&self, now: Time, id: u64) -> f32 {
        let Some(at) = self.servers_at else { return 0.0 };
        let age = now.since(at).as_secs_f32() / SUMMARY_RETENTION.as_secs_f32();
        let count = self.servers.get(&server_number(server_cookie(id)));
        count.map_or(0.0, |count| *count as f32 * (1.0 - age).max(0.0))
    }

    /// Returns how many requests other VMs had in progress at the server that holds `cookie`, and when.
    pub(crate) fn reported(&self, cookie: u32) -> Option<(u32, Time)> {
        let count = self.servers.get(&server_number(cookie)).copied().unwrap_or_default();
        self.servers_at.map(|at| (count, at))
    }

    /// Returns the requests in progress and the slots of the servers of `service` in `zone`; `None`
    /// if nothing recent is known of them, for example as no zone is loaded, or as the zone is
    /// unreachable for the control VMs.
    ///
    /// There may be more requests than slots, as servers queue.
    pub fn zone_room(&self, now: Time, service: &Name, zone: &Name) -> Option<(u32, u32)> {
        if now.since(self.zones_at) >= SUMMARY_RETENTION {
            return None;
        }
        self.zones.get(&pair_number(service, zone)).copied()
    }

    /// Returns the age of the newest summary.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.servers_at.map(|at| now.since(at))
    }

    /// Returns the number of summaries that were used so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns the number of summaries that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
