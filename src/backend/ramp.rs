//! Slow start of a cold backend server: completed work at one step allows the next.

use std::time::Duration;

use crate::{
    backend::{probe::Load, standing::RAMP_WEIGHTS},
    state::FULL_WEIGHT,
    time::Time,
};

/// Step of a server that takes its full share.
pub(crate) const LAST_STEP: usize = RAMP_WEIGHTS.len() - 1;

/// Number of answered requests that complete a step.
const REQUESTS_PER_STEP: u32 = 5;
/// Longest pause between two requests to a server that warms up.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Pause after the first rejected request; it doubles with each further one.
const BASE_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Minimum duration of a step when load reports decide.
const MIN_STEP_TIME: Duration = Duration::from_secs(2);
/// The same for a server that received no new connections during the step.
const IDLE_STEP_TIME: Duration = Duration::from_secs(20);
/// Load, in percent, up to which a server may step up.
const STEP_UP_LOAD: u32 = 80;
/// Load, in percent, from which a server has to step down.
const STEP_DOWN_LOAD: u32 = 95;

/// Progress of a backend server in its slow start.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ramp {
    step: usize,
    step_since: Time,
    successes: u32,
    rejections: u32,
    closed_until: Time,
    sequence: Option<u64>,
    base_connections: Option<u32>,
}

impl Ramp {
    /// Creates a ramp that starts at the last step whose weight does not exceed `weight`.
    pub(crate) fn new(now: Time, weight: u32) -> Ramp {
        let step = RAMP_WEIGHTS.iter().rposition(|&step| step <= weight).unwrap_or(0);
        Ramp { step, step_since: now, ..Ramp::default() }
    }

    pub(crate) fn step(&self) -> usize {
        self.step
    }

    /// Returns the share of new work, in percent, that the server takes at its step.
    pub(crate) fn weight(&self) -> u32 {
        RAMP_WEIGHTS[self.step]
    }

    /// Returns how many of `slots` may be used concurrently.
    pub(crate) fn limit(&self, slots: u32) -> u32 {
        (slots * self.weight() / FULL_WEIGHT).clamp(1.min(slots), slots)
    }

    /// Returns when the next request may be admitted.
    pub(crate) fn closed_until(&self) -> Time {
        self.closed_until
    }

    /// Records an answered request; the step does not exceed `max_step`.
    pub(crate) fn record_success(&mut self, now: Time, latency: Duration, max_step: usize) {
        self.successes = self.successes.saturating_add(1);
        if self.successes >= REQUESTS_PER_STEP {
            self.rejections = 0;
            self.step_up(now, max_step);
        }
        self.pace(now, latency);
    }

    /// Records a request that the server itself rejected.
    pub(crate) fn record_shed(&mut self, now: Time, retry: Duration) {
        let backoff = BASE_BACKOFF * (1 << self.rejections.min(7));
        self.rejections = self.rejections.saturating_add(1);
        self.closed_until = self.closed_until.max(now + backoff.max(retry).min(MAX_BACKOFF));
        self.step_down(now);
    }

    /// Returns to the first step.
    pub(crate) fn reset(&mut self, now: Time) {
        self.step = 0;
        self.step_down(now);
    }

    /// Records a load report of a server whose requests are not visible to the entry VMs.
    ///
    /// Repeated and outdated reports are ignored. A step lasts for [`MIN_STEP_TIME`], or
    /// [`IDLE_STEP_TIME`] without new connections, up to the time of the measurement.
    pub(crate) fn record_load(&mut self, now: Time, load: &Load, max_step: usize) {
        if self.sequence.is_some_and(|last| load.seq <= last) {
            return;
        }
        self.sequence = Some(load.seq);
        if load.load >= STEP_DOWN_LOAD {
            self.step_down(now);
            return;
        }
        let base = *self.base_connections.get_or_insert(load.connections);
        let held = now.since(self.step_since + Duration::from_millis(load.age_ms));
        let busy = load.connections > base;
        if load.load <= STEP_UP_LOAD && held >= if busy { MIN_STEP_TIME } else { IDLE_STEP_TIME } {
            self.step_up(now, max_step);
        }
    }

    /// Clears the sequence number of load reports, which a restarted server counts anew.
    pub(crate) fn clear_sequence(&mut self) {
        self.sequence = None;
    }

    fn step_up(&mut self, now: Time, max_step: usize) {
        if self.step < max_step.min(LAST_STEP) {
            self.step += 1;
            self.restart_step(now);
        }
    }

    fn step_down(&mut self, now: Time) {
        self.step = self.step.saturating_sub(1);
        self.restart_step(now);
    }

    fn restart_step(&mut self, now: Time) {
        self.step_since = now;
        self.successes = 0;
        self.base_connections = None;
    }

    /// Delays the next request so that the server is busy only for its share of the time.
    fn pace(&mut self, now: Time, latency: Duration) {
        let weight = self.weight();
        let pause = (latency * (FULL_WEIGHT - weight) / weight).min(MAX_PAUSE);
        self.closed_until = self.closed_until.max(now + pause);
    }
}
