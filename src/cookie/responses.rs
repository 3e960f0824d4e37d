//! Tells refusals from answers by the length and the time of responses, which an entry VM sees only by
//! their acknowledgements.

use std::time::Duration;

use super::exchange::SHORT_RESPONSE;
use crate::time::Time;

/// Weight of a response time above the usual one of the service.
const HIGHER_WEIGHT: f32 = 0.125;
/// Weight of a response time below the usual one of the service; low, so that refusals not yet
/// recognized do not pass for the usual answers.
const LOWER_WEIGHT: f32 = 1.0 / 32.0;
/// Weight of the time of a refusal: not zero, so that a usual time that is far too long heals.
const REFUSAL_WEIGHT: f32 = 1.0 / 256.0;
/// Part of the usual response time below which an answer is prompt. Service times mostly vary by less.
const PROMPT_PART: f32 = 1.0 / 3.0;
/// Part of the usual response time below which an answer is early. A caller may acknowledge a response
/// of one packet up to 40 ms late, so that refusals of a full server take up to half of the time of
/// its answers.
const EARLY_PART: f32 = 0.6;
/// Multiple of the median response time from which on an answer is slow.
const SLOW_MULTIPLE: f32 = 4.0;
/// Part by which the median response time moves towards each response time.
const MEDIAN_STEP: f32 = 0.02;
/// Bytes of response lengths that are counted together.
const LENGTH_STEP: u32 = 8;
const LENGTHS: usize = (SHORT_RESPONSE / LENGTH_STEP) as usize + 1;
/// Responses of a length that have to be known before they can count as refusals.
const MIN_RESPONSES: u16 = 8;
/// Responses of a length from which on their counts are halved.
const MAX_RESPONSES: u16 = 64;
/// Share of prompt ones among the responses of a length from which on these are refusals. Refusals that
/// are acknowledged at once are always prompt; other short responses are at times.
const PROMPT_SHARE: f32 = 0.9;
/// Share of early ones among the responses of a length from which on these are refusals. Some servers
/// refuse a request after it has waited.
const REFUSAL_SHARE: f32 = 0.5;
/// Ratio of the usual response time to its lowest value up to which servers are not busy.
const IDLE_RATIO: f32 = 1.5;
/// Share of a length among the responses of servers that are not busy from which on it is no refusal;
/// 2% are refused then, as VMs select servers independently.
const ANSWER_SHARE: f32 = 0.05;
/// Responses after which the usual response time counts as an average.
const MIN_AVERAGED: u16 = 32;
/// Responses of servers that are not busy that have to be known before a length counts as an answer.
const MIN_IDLE_RESPONSES: u16 = 64;
/// Time over which servers must not have been busy for their responses to count as those of idle ones.
const IDLE_WINDOW: Duration = Duration::from_secs(1);
/// Responses of servers that are not busy from which on their counts are halved.
const MAX_IDLE_RESPONSES: u16 = 1_024;
/// Part by which the lowest usual response time rises with each response, so that a service that has
/// become slower for good is not taken for a busy one.
const LOWEST_RISE: f32 = 1e-5;
/// What a response is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Response {
    /// An answer.
    Answer,
    /// An answer that took several times as long as others.
    SlowAnswer,
    /// A refusal.
    Refusal,
}

/// A number of responses of idle servers.
#[derive(Debug, Clone, Copy, Default)]
struct IdleCount {
    /// Responses in the current window.
    recent: u16,
    /// Responses in earlier windows in which the servers were not busy.
    idle: u16,
}

impl IdleCount {
    fn record(&mut self) {
        self.recent = self.recent.saturating_add(1);
    }

    /// Ends the window, in which the servers were `idle` or not.
    fn close_window(&mut self, idle: bool, halve: bool) {
        let recent = std::mem::take(&mut self.recent);
        self.idle = self.idle.saturating_add(if idle { recent } else { 0 });
        self.idle /= if halve { 2 } else { 1 };
    }
}

/// Responses of one length.
#[derive(Debug, Clone, Copy, Default)]
struct Responses {
    count: u16,
    prompt: u16,
    early: u16,
    idle: IdleCount,
}

impl Responses {
    /// Records a response that takes the part `part` of the usual time.
    fn record(&mut self, part: f32) {
        if self.count >= MAX_RESPONSES {
            self.count /= 2;
            self.prompt /= 2;
            self.early /= 2;
        }
        self.count += 1;
        self.prompt += u16::from(part < PROMPT_PART);
        self.early += u16::from(part < EARLY_PART);
        self.idle.record();
    }

    /// Returns whether these are refusals: mostly prompt, or mostly early and seldom among the `idle`
    /// responses of servers that are not busy.
    fn are_refusals(&self, idle: u16) -> bool {
        let count = f32::from(self.count);
        let is_prompt = f32::from(self.prompt) >= count * PROMPT_SHARE;
        let is_early = f32::from(self.early) >= count * REFUSAL_SHARE;
        let is_answer = idle >= MIN_IDLE_RESPONSES
            && f32::from(self.idle.idle) >= f32::from(idle) * ANSWER_SHARE;
        self.count >= MIN_RESPONSES && (is_prompt || is_early && !is_answer)
    }
}

/// What the responses of a service have in common.
///
/// Answers the load of servers that are full: a refusal is a short response that the server sends
/// instead of an answer, and all that an entry VM sees of it is when its caller acknowledges how many
/// bytes.
#[derive(Debug, Clone)]
pub(super) struct ServiceResponses {
    /// Usual response time, in microseconds.
    usual: f32,
    /// Estimate of the median response time, in microseconds, on which a few slow servers have no
    /// influence.
    median: f32,
    /// Lowest usual response time, in microseconds.
    lowest: f32,
    /// Responses in the usual response time, up to [`MIN_AVERAGED`].
    averaged: u16,
    /// Short responses by length.
    short: [Responses; LENGTHS],
    /// Responses of all lengths.
    idle: IdleCount,
    window_start: Time,
    /// Whether the servers have not been busy in the current window.
    window_idle: bool,
}

impl ServiceResponses {
    /// Creates the responses of a service whose first one takes the time `after`.
    pub(super) fn new(now: Time, after: Duration) -> ServiceResponses {
        let usual = after.as_micros() as f32;
        ServiceResponses {
            usual,
            median: usual.max(1.0),
            lowest: usual,
            averaged: 0,
            short: [Responses::default(); LENGTHS],
            idle: IdleCount::default(),
            window_start: now,
            window_idle: true,
        }
    }

    /// Classifies a response of `length` bytes that took the time `after`.
    pub(super) fn classify(&mut self, now: Time, after: Duration, length: u32) -> Response {
        let micros = after.as_micros() as f32;
        let part = micros / self.usual.max(1.0);
        self.window_idle &= self.is_idle();
        if now.since(self.window_start) >= IDLE_WINDOW {
            self.close_window(now);
        }
        self.idle.record();
        let short = self.short.get_mut((length / LENGTH_STEP) as usize);
        let refused = short.is_some_and(|responses| {
            responses.record(part);
            responses.are_refusals(self.idle.idle)
        });
        let weight = match refused {
            true => REFUSAL_WEIGHT,
            false if micros < self.usual => LOWER_WEIGHT,
            false => HIGHER_WEIGHT,
        };
        self.usual += (micros - self.usual) * weight;
        if refused {
            return Response::Refusal;
        }
        let slow = micros > self.median * SLOW_MULTIPLE;
        let step = if micros > self.median { MEDIAN_STEP } else { -MEDIAN_STEP };
        self.median *= 1.0 + step;
        if slow { Response::SlowAnswer } else { Response::Answer }
    }

    /// Updates the lowest usual response time; returns whether the servers are not busy.
    fn is_idle(&mut self) -> bool {
        if self.averaged < MIN_AVERAGED {
            self.averaged += 1;
            self.lowest = self.usual;
            return false;
        }
        self.lowest = (self.lowest * (1.0 + LOWEST_RISE)).min(self.usual);
        self.usual < self.lowest * IDLE_RATIO
    }

    /// Counts the responses of the current window if the servers have not been busy in it.
    ///
    /// At the onset of an overload, servers refuse requests before their answers show that they are
    /// busy; these refusals are in a window that ends busy.
    fn close_window(&mut self, now: Time) {
        let halve = self.idle.idle >= MAX_IDLE_RESPONSES;
        for responses in &mut self.short {
            responses.idle.close_window(self.window_idle, halve);
        }
        self.idle.close_window(self.window_idle, halve);
        (self.window_start, self.window_idle) = (now, true);
    }
}
