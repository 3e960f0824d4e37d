//! The ramp of a cold backend server: each step is earned by work of the step before.

use std::time::Duration;

use crate::{
    backend::{probe::Load, standing::STEPS},
    state::FULL_WEIGHT,
    time::Time,
};

/// Step of a server that takes its full share.
pub(crate) const LAST: usize = STEPS.len() - 1;

/// Answered requests that earn the next step.
const PROOFS: u32 = 5;
/// Longest pause between two requests to a server that warms up.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Pause after the first refusal; it doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Time for which a step must have held before load reports earn the next.
const HOLD: Duration = Duration::from_secs(2);
/// The same for a server that received no new connection meanwhile.
const IDLE_HOLD: Duration = Duration::from_secs(20);
/// Load, in percent, up to which a server may grow.
const LOAD_CALM: u32 = 80;
/// Load, in percent, from which a server has to shrink.
const LOAD_HIGH: u32 = 95;

/// How far a backend server has come.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ramp {
    step: usize,
    since: Time,
    proofs: u32,
    refusals: u32,
    closed: Time,
    sequence: Option<u64>,
    connections: Option<u32>,
}

impl Ramp {
    /// Returns a ramp whose last earned weight was `weight`.
    pub(crate) fn new(now: Time, weight: u32) -> Ramp {
        let step = STEPS.iter().rposition(|&step| step <= weight).unwrap_or(0);
        Ramp { step, since: now, ..Ramp::default() }
    }

    /// Returns the current step.
    pub(crate) fn step(&self) -> usize {
        self.step
    }

    /// Returns the share of new work that the server has shown to bear.
    pub(crate) fn weight(&self) -> u32 {
        STEPS[self.step]
    }

    /// Returns how many of `slots` may be used at the same time.
    pub(crate) fn limit(&self, slots: u32) -> u32 {
        (slots * self.weight() / FULL_WEIGHT).clamp(1.min(slots), slots)
    }

    /// Returns when the next request may be admitted.
    pub(crate) fn closed(&self) -> Time {
        self.closed
    }

    /// Takes an answered request; steps beyond `cap` are not earned yet.
    pub(crate) fn served(&mut self, now: Time, latency: Duration, cap: usize) {
        self.proofs = self.proofs.saturating_add(1);
        if self.proofs >= PROOFS {
            self.refusals = 0;
            self.grow(now, cap);
        }
        self.pause(now, latency);
    }

    /// Takes a refusal of the server itself.
    pub(crate) fn shed(&mut self, now: Time, retry: Duration) {
        let backoff = BACKOFF * (1 << self.refusals.min(7));
        self.refusals = self.refusals.saturating_add(1);
        self.closed = self.closed.max(now + backoff.max(retry).min(MAX_BACKOFF));
        self.shrink(now);
    }

    /// Returns to the first step.
    pub(crate) fn fall(&mut self, now: Time) {
        self.step = 0;
        self.shrink(now);
    }

    /// Takes a load report of a server whose work cannot be seen by the entry VMs.
    ///
    /// Repeated and late reports change nothing. A step lasts for [`HOLD`], or [`IDLE_HOLD`] without
    /// new connections, up to the time of measurement.
    pub(crate) fn load(&mut self, now: Time, load: &Load, cap: usize) {
        if self.sequence.is_some_and(|last| load.seq <= last) {
            return;
        }
        self.sequence = Some(load.seq);
        if load.load >= LOAD_HIGH {
            self.shrink(now);
            return;
        }
        let base = *self.connections.get_or_insert(load.connections);
        let held = now.since(self.since + Duration::from_millis(load.age_ms));
        let busy = load.connections > base;
        if load.load <= LOAD_CALM && held >= if busy { HOLD } else { IDLE_HOLD } {
            self.grow(now, cap);
        }
    }

    /// Forgets the numbers of earlier load reports, for a server that started again.
    pub(crate) fn forget(&mut self) {
        self.sequence = None;
    }

    fn grow(&mut self, now: Time, cap: usize) {
        if self.step < cap.min(LAST) {
            self.step += 1;
            self.restart(now);
        }
    }

    fn shrink(&mut self, now: Time) {
        self.step = self.step.saturating_sub(1);
        self.restart(now);
    }

    fn restart(&mut self, now: Time) {
        self.since = now;
        self.proofs = 0;
        self.connections = None;
    }

    /// Spaces requests so that the server works for its share of the time only.
    fn pause(&mut self, now: Time, latency: Duration) {
        let weight = self.weight();
        let pause = (latency * (FULL_WEIGHT - weight) / weight).min(MAX_PAUSE);
        self.closed = self.closed.max(now + pause);
    }
}
