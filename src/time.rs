//! Time stamps of the state machines.
//!
//! State machines never read a clock; the daemons pass the current [`Time`] with each event.

use std::{ops::Add, time::Duration};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since an origin chosen by the process.
///
/// ```
/// use std::time::Duration;
///
/// use galenatrail::Time;
///
/// let start = Time::from_millis(2);
/// let later = start + Duration::from_millis(3);
/// assert_eq!(later.since(start), Duration::from_millis(3));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Time(u64);

impl Time {
    /// The origin of time.
    pub const ZERO: Time = Time(0);

    /// Returns the point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Returns the point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        Time(self.0.saturating_add(rhs.as_micros() as u64))
    }
}
