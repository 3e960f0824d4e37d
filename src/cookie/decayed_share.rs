//! The share of recent events that have a property.

use std::time::Duration;

use crate::time::Time;

/// A share of events whose weight decays exponentially with their age.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayedShare {
    events: f32,
    hits: f32,
    updated: Time,
    time_constant: Duration,
}

impl DecayedShare {
    /// Creates a share of no events.
    pub(crate) const fn new(time_constant: Duration) -> DecayedShare {
        DecayedShare { events: 0.0, hits: 0.0, updated: Time::ZERO, time_constant }
    }

    /// Counts an event, which has the property if `hit` is set.
    pub(crate) fn record(&mut self, now: Time, hit: bool) {
        (self.events, self.hits) = self.at(now);
        self.updated = self.updated.max(now);
        self.events += 1.0;
        self.hits += f32::from(u8::from(hit));
    }

    /// Counts an event like [`DecayedShare::record`], but lets earlier ones weigh at most `limit`.
    pub(crate) fn record_limited(&mut self, now: Time, hit: bool, limit: f32) {
        self.record(now, hit);
        let scale = (limit / self.events).min(1.0);
        (self.events, self.hits) = (self.events * scale, self.hits * scale);
    }

    /// Returns the decayed numbers of all events and of those with the property.
    pub(crate) fn at(&self, now: Time) -> (f32, f32) {
        let age = now.since(self.updated).as_secs_f32() / self.time_constant.as_secs_f32();
        let weight = (-age).exp();
        (self.events * weight, self.hits * weight)
    }
}
