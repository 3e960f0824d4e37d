//! Health evidence of a backend server from requests and probes.
//!
//! Request outcomes outweigh health probes, which may be outdated or wrong.

use std::time::Duration;

use crate::time::Time;

/// Ratio of recent to baseline latency above which a server counts as cold again.
const LATENCY_FACTOR: u64 = 3;
/// Latency increase that is ignored regardless of the ratio.
const LATENCY_SLACK: Duration = Duration::from_millis(5);
/// Number of answers before the baseline latency is used.
const BASELINE_SAMPLES: u32 = 16;
/// Number of consecutive timed-out requests after which a server is suspect.
const TIMEOUT_LIMIT: u32 = 3;
/// Number of consecutive failed health probes after which a server is suspect.
const FAILED_PROBE_LIMIT: u32 = 3;
/// Age up to which an answered request outweighs failed health probes.
const SUCCESS_AGE: Duration = Duration::from_secs(2);

/// Evidence of one backend server since its last boot.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    baseline: u64,
    recent: u64,
    samples: u32,
    timeouts: u32,
    failed_probes: u32,
    last_success: Option<Time>,
}

impl Evidence {
    /// Records the latency of an answer and returns whether it has jumped above the baseline.
    pub(crate) fn record_latency(&mut self, now: Time, latency: Duration) -> bool {
        let latency = latency.as_micros() as u64;
        self.last_success = Some(now);
        self.timeouts = 0;
        if self.samples == 0 {
            (self.baseline, self.recent) = (latency, latency);
        }
        self.samples = self.samples.saturating_add(1);
        self.recent = moving_average(self.recent, latency, 4);
        let limit = self.baseline * LATENCY_FACTOR + LATENCY_SLACK.as_micros() as u64;
        if self.samples > BASELINE_SAMPLES && self.recent > limit {
            return true;
        }
        // The baseline falls faster than it rises, so that the high latencies of a server that
        // warms up don't become its baseline.
        let parts = if latency < self.baseline { 8 } else { 64 };
        self.baseline = moving_average(self.baseline, latency, parts);
        false
    }

    /// Records a timed-out request and returns whether the server is suspect; one time-out is
    /// enough if the server is not `proven`, that is, has not passed the first ramp step.
    pub(crate) fn record_timeout(&mut self, proven: bool) -> bool {
        self.timeouts += 1;
        self.timeouts >= TIMEOUT_LIMIT || !proven
    }

    /// Records the result of a health probe and returns whether the server is suspect.
    pub(crate) fn record_probe(&mut self, now: Time, healthy: bool) -> bool {
        self.failed_probes = if healthy { 0 } else { self.failed_probes.saturating_add(1) };
        self.failed_probes >= FAILED_PROBE_LIMIT && !self.has_served(now, SUCCESS_AGE)
    }

    /// Returns whether the last health probe succeeded.
    pub(crate) fn is_healthy(&self) -> bool {
        self.failed_probes == 0
    }

    /// Returns whether a request was answered within the last `age`.
    pub(crate) fn has_served(&self, now: Time, age: Duration) -> bool {
        self.last_success.is_some_and(|at| now.since(at) < age)
    }
}

/// Moves the average `old` towards `new` by a fraction of 1 / `parts`.
fn moving_average(old: u64, new: u64, parts: u64) -> u64 {
    (old * (parts - 1) + new) / parts
}
