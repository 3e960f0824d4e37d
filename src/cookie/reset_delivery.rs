//! Whether the resets of refused openings reach their callers in time.

use std::time::Duration;

use crate::time::Time;

/// Time over which openings are counted.
const WINDOW: Duration = Duration::from_millis(100);
/// Copies of refused openings, as a share of first openings, from which on resets are late; fewer may
/// be due to lost packets.
const LATE_SHARE: f64 = 0.1;
/// Number of such copies below which a window shows nothing.
const MIN_COPIES: u32 = 4;
/// Time for which openings are left unanswered after that: a backlog of half a second drains in it at
/// the rate of the copies alone.
const PAUSE: Duration = Duration::from_millis(300);

/// Delivery of resets, inferred from callers' copies of openings that this VM has refused.
///
/// Answers the load of callers that are refused by a VM with a backlog in front of its link: callers
/// repeat an opening after 200 and 600 ms, so that a copy of a refused opening arrives only if the reset
/// took longer. Such a reset saves no copies, and brings the next try of the caller earlier.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ResetDelivery {
    window_start: Time,
    openings: u32,
    copies: u32,
    late_until: Time,
}

impl ResetDelivery {
    /// Counts a first opening.
    pub(crate) fn record_opening(&mut self, now: Time) {
        self.tick(now);
        self.openings += 1;
    }

    /// Counts a copy of an opening that this VM has refused.
    pub(crate) fn record_copy(&mut self, now: Time) {
        self.tick(now);
        self.copies += 1;
    }

    /// Returns whether resets do not reach callers before these repeat their openings.
    pub(crate) fn is_late(&self, now: Time) -> bool {
        now < self.late_until
    }

    fn tick(&mut self, now: Time) {
        if now.since(self.window_start) < WINDOW {
            return;
        }
        let least = (f64::from(self.openings) * LATE_SHARE).max(MIN_COPIES.into());
        if f64::from(self.copies) >= least {
            self.late_until = now + PAUSE;
        }
        (self.window_start, self.openings, self.copies) = (now, 0, 0);
    }
}
