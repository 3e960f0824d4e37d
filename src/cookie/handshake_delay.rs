//! The wait in front of an entry VM's link, inferred from handshakes.
//!
//! The time from an opening until the next packet of its flow is the delay of the path, and the wait
//! in front of the link in both directions. The path does not change; the wait does.

use std::time::Duration;

use crate::time::Time;

/// Shortest time over which the smallest delay counts as the current one: single answers may be
/// late, but not all.
const WINDOW: Duration = Duration::from_millis(100);
/// Time after which a window ends that has too few answers.
const MAX_WINDOW: Duration = Duration::from_millis(300);
/// Answers in a window below which nothing is inferred: an opening that is lost is repeated, and
/// answered 200 ms late.
const MIN_ANSWERS: u32 = 4;
/// Half of the time over which the smallest delay counts as that of the path alone.
const PATH_PERIOD: Duration = Duration::from_secs(5);
/// Wait from which on the link carries less than it should; the smallest delay of a window varies by
/// less while the link keeps up.
const MAX_EXCESS: Duration = Duration::from_millis(20);
/// Part of what arrived in a window with excess that the rate is set to.
const DECREASE: f64 = 0.95;
/// Smallest factor of the rate in one window: at the start of an overload, a window also covers the
/// time before it, in which less arrived than the link carries.
const MAX_DECREASE: f64 = 0.85;
/// Openings without any answer that show a wait: fewer may be those of a server that is down.
const MIN_UNANSWERED: u32 = 8;
/// Lower bound on the fraction of the rate that is used.
const MIN_FACTOR: f64 = 1.0 / 3.0;
/// Increase of the fraction in each window without excess.
///
/// A link that carries less than its rate is found again within a second, and one that was only late
/// once is used in full after that time.
const INCREASE: f64 = 0.02;

/// The fraction of its rate that the link seems to carry.
#[derive(Debug, Clone, Default)]
pub(crate) struct HandshakeDelay {
    window_start: Time,
    /// Smallest delay in this window, and the number of answers.
    current: Option<(Duration, u32)>,
    /// Bytes in this window, inward and outward.
    traffic: [u32; 2],
    period_start: Time,
    /// Smallest delays of this period and of the one before.
    path: [Option<Duration>; 2],
    /// First of the openings forwarded since the last answer, and their number.
    unanswered: Option<(Time, u32)>,
    excess: Duration,
    factor: f64,
    /// When the factor was last decreased.
    decreased: Time,
}

impl HandshakeDelay {
    pub(crate) fn new(now: Time) -> HandshakeDelay {
        HandshakeDelay {
            window_start: now,
            period_start: now,
            factor: 1.0,
            ..HandshakeDelay::default()
        }
    }

    /// Returns the fraction of the configured rate to use.
    pub(crate) fn factor(&self) -> f64 {
        self.factor
    }

    /// Returns the wait in the last window.
    pub(crate) fn excess(&self) -> Duration {
        self.excess
    }

    /// Records that an opening was forwarded.
    pub(crate) fn opening_sent(&mut self, now: Time) {
        let (first, count) = self.unanswered.unwrap_or((now, 0));
        self.unanswered = Some((first, count + 1));
    }

    /// Records the answer at `now` to an opening forwarded at `opened`.
    ///
    /// Openings forwarded before the last decrease waited behind packets that it could not prevent.
    pub(crate) fn record(&mut self, now: Time, opened: Time) {
        self.unanswered = None;
        if opened < self.decreased {
            return;
        }
        let delay = now.since(opened);
        let (least, answers) = self.current.unwrap_or((delay, 0));
        self.current = Some((least.min(delay), answers + 1));
        self.path[0] = Some(self.path[0].map_or(delay, |least| least.min(delay)));
    }

    /// Counts bytes on the link.
    pub(crate) fn count(&mut self, inward: u32, outward: u32) {
        self.traffic[0] = self.traffic[0].saturating_add(inward);
        self.traffic[1] = self.traffic[1].saturating_add(outward);
    }

    /// Evaluates a window that has ended, for a link whose usable rate is `rate` bytes per second;
    /// returns the measured wait if it is too long.
    pub(crate) fn tick(&mut self, now: Time, rate: f64) -> Option<Duration> {
        let elapsed = now.since(self.window_start);
        let answers = self.current.map_or(0, |(_, answers)| answers);
        if elapsed < WINDOW || (elapsed < MAX_WINDOW && answers < MIN_ANSWERS) {
            return None;
        }
        self.window_start = now;
        let measured = self.current.take().filter(|_| answers >= MIN_ANSWERS);
        let measured = measured.map(|(least, _)| least);
        // Beyond the time for which callers wait, no opening is answered any more.
        let unanswered = self.unanswered.filter(|(_, count)| *count >= MIN_UNANSWERED);
        let unanswered = unanswered.map(|(first, _)| now.since(first));
        // Below the least rate that the link is expected to carry, nothing waits in front of it, and
        // the path has become longer.
        let [inward, outward] = std::mem::take(&mut self.traffic);
        let least = rate * MIN_FACTOR * elapsed.as_secs_f64();
        let loaded = f64::from(inward.max(outward)) >= least;
        let path = self.path.into_iter().flatten().min().unwrap_or_default();
        let delay = measured.or(unanswered).filter(|_| loaded).unwrap_or_default();
        self.excess = delay.saturating_sub(path);
        self.factor = if self.excess > MAX_EXCESS {
            // What arrives from a queue is what the link carries.
            let carried = f64::from(inward) / elapsed.as_secs_f64() / rate;
            self.decreased = now;
            let least = (MAX_DECREASE * self.factor).max(MIN_FACTOR);
            (DECREASE * self.factor.min(carried)).max(least)
        } else {
            (self.factor + INCREASE * elapsed.div_duration_f64(WINDOW)).min(1.0)
        };
        if now.since(self.period_start) >= PATH_PERIOD {
            self.period_start = now;
            self.path = [None, self.path[0]];
        }
        (measured.is_some() && self.excess > MAX_EXCESS).then_some(self.excess)
    }
}
