//! The share of openings that the backend servers of a service in an availability zone have room for.
//!
//! No capacity is configured. The limit on admitted openings falls while servers refuse requests or
//! answer late, and rises otherwise. Every VM does this for the traffic that it sees. Zones are
//! limited one by one: what one of them has no room for goes to another that is not short.

use std::{collections::BTreeMap, time::Duration};

use super::server_load::RequestOutcome;
use crate::{name::Name, time::Time};

/// Shortest interval between two adjustments of a limit: a few response times.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval if most requests were refused: three tries of a caller take about as long.
const URGENT_INTERVAL: Duration = Duration::from_millis(30);
/// Number of answers from which on an adjustment is made after the shortest interval.
const MIN_ANSWERS: u32 = 20;
/// Interval after which an adjustment is made with fewer answers.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// Share of refused requests above which a service becomes short of capacity. Callers try three
/// times, so that one in a thousand fails; 2% also occur while servers idle, as VMs select servers
/// independently.
const SHORT_SHARE: f32 = 0.1;
/// Number of refused requests in an interval that may be chance.
const CHANCE_REFUSALS: f32 = 1.0;
/// Share of refused requests that the limit of a short service is adjusted to; without refusals,
/// servers would be idle at times.
const REFUSED_SHARE: f32 = 0.05;
/// Part of the route's target that the mean response time may take.
const TARGET_PART: f32 = 0.5;
/// Part by which the limit falls while answers are late.
const LATE_DECREASE: f32 = 0.1;
/// Part of the limit from which on a decrease starts if fewer openings were admitted: the limit is
/// not what was short then.
const MIN_USE: f32 = 0.7;
/// Increase of the limit per share of requests below [`REFUSED_SHARE`] that were refused: a fortieth
/// without refusals.
const INCREASE: f32 = 0.5;
/// Intervals without a refusal in a row after which the increase grows.
const SLOW_INTERVALS: u32 = 2;
/// Largest multiple of the increase.
const MAX_MULTIPLE: u32 = 8;
/// Smallest ratio of the limit to the offered openings: results show a wrong estimate.
const FLOOR: f32 = 0.02;
/// Time constant of rates; a second after an overload, what remains of its openings does not count.
const RATE_WINDOW: Duration = Duration::from_millis(300);
/// Share of the openings above which those of a higher priority are more than a few.
const HIGHER_SHARE: f32 = 0.1;
/// Time for which all openings must have been admitted before a service is no longer short.
const RECOVERY: Duration = Duration::from_secs(1);

/// A rate of events with exponentially decaying weights.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    count: f32,
    updated: Time,
}

impl Rate {
    fn record(&mut self, now: Time) {
        self.count = self.count_at(now) + 1.0;
        self.updated = now;
    }

    fn count_at(&self, now: Time) -> f32 {
        let age = now.since(self.updated).as_secs_f32() / RATE_WINDOW.as_secs_f32();
        self.count * (-age).exp()
    }

    /// Returns the events per second.
    fn per_second(&self, now: Time) -> f32 {
        self.count_at(now) / RATE_WINDOW.as_secs_f32()
    }
}

#[derive(Debug, Clone)]
struct Room {
    /// Openings by priority.
    offered: BTreeMap<u8, Rate>,
    admitted: Rate,
    /// Requests that were answered.
    served: Rate,
    /// Limit on admitted openings per second while the service is short.
    limit: Option<f32>,
    /// When an opening was last refused.
    last_refusal: Time,
    /// Start of the current interval.
    start: Time,
    /// Intervals without a refusal or late answers in a row.
    calm_intervals: u32,
    /// Answers of the current interval.
    answers: u32,
    /// Refused requests of the current interval.
    refused: u32,
    /// Sum of the response times of the current interval, in parts of their targets.
    time_sum: f32,
}

impl Room {
    fn new(now: Time) -> Room {
        Room {
            offered: BTreeMap::new(),
            admitted: Rate::default(),
            served: Rate::default(),
            limit: None,
            last_refusal: now,
            start: now,
            calm_intervals: 0,
            answers: 0,
            refused: 0,
            time_sum: 0.0,
        }
    }

    /// Returns the openings per second of all priorities.
    fn offered(&self, now: Time) -> f32 {
        self.offered.values().map(|rate| rate.per_second(now)).sum()
    }

    /// Returns the share of openings of `priority` that is admitted; higher priorities come first.
    fn share(&self, now: Time, priority: u8) -> f32 {
        let Some(limit) = self.limit else { return 1.0 };
        let higher = self.offered.range(..priority).map(|(_, rate)| rate.per_second(now));
        let rest = limit - higher.sum::<f32>();
        let own = self.offered.get(&priority).map_or(0.0, |rate| rate.per_second(now));
        let level = (limit / self.offered(now).max(1.0)).clamp(FLOOR, 1.0);
        (rest / own.max(1.0)).clamp(FLOOR * level, 1.0)
    }

    /// Adjusts the limit if an interval is over; returns whether the service has become short or is
    /// no longer.
    fn adjust(&mut self, now: Time) -> bool {
        let elapsed = now.since(self.start);
        let urgent = self.refused * 2 > self.answers;
        let interval = if urgent { URGENT_INTERVAL } else { MIN_INTERVAL };
        let due = elapsed >= interval && self.answers >= MIN_ANSWERS;
        if !due && elapsed < MAX_INTERVAL {
            return false;
        }
        let (answers, refused) = (self.answers as f32, self.refused as f32);
        let late = self.time_sum > (answers - refused) * TARGET_PART;
        let short = refused > (answers * SHORT_SHARE).max(CHANCE_REFUSALS) || late;
        let was_short = self.limit.is_some();
        if short || was_short {
            let limit = self.adjusted(now, refused / answers.max(1.0), late);
            let recovered = !short && now.since(self.last_refusal) >= RECOVERY;
            self.limit = (!recovered).then_some(limit);
        }
        let calm = self.refused == 0 && !late;
        self.calm_intervals = if calm { self.calm_intervals.saturating_add(1) } else { 0 };
        (self.start, self.answers, self.refused, self.time_sum) = (now, 0, 0, 0.0);
        was_short != self.limit.is_some()
    }

    /// Returns the next limit, after an interval in which the share `refused` of the requests was
    /// refused.
    fn adjusted(&self, now: Time, refused: f32, late: bool) -> f32 {
        let (offered, admitted) = (self.offered(now), self.admitted.per_second(now));
        let limit = self.limit.unwrap_or(admitted);
        let excess = refused - REFUSED_SHARE;
        let adjusted = if late {
            limit * (1.0 - LATE_DECREASE)
        } else if excess > 0.0 {
            // What the servers have served, they can serve.
            (limit.min(admitted.max(limit * MIN_USE)) * (1.0 - excess))
                .max(self.served.per_second(now))
        } else {
            // The offered openings count too, so that the shares of several VMs become equal.
            let multiple = self.calm_intervals.saturating_sub(SLOW_INTERVALS);
            let step = -excess * INCREASE * multiple.clamp(1, MAX_MULTIPLE) as f32;
            limit + (limit * offered).sqrt() * step
        };
        adjusted.max(offered * FLOOR)
    }
}

/// A service and an availability zone: the servers whose room is estimated together.
pub type ServiceZone<'a> = (&'a Name, &'a Name);

/// A service that has become short of capacity in an availability zone or is no longer.
#[derive(Debug, Clone, PartialEq)]
pub struct ShortChange {
    /// Name of the service.
    pub service: Name,
    /// Name of the availability zone.
    pub zone: Name,
    /// Whether it is short.
    pub short: bool,
}

/// The room of each service in each availability zone.
///
/// Answers the load of callers that ask for more than the servers can serve, for example a burst of
/// several times the capacity.
#[derive(Debug, Clone, Default)]
pub struct ServiceRoom {
    rooms: BTreeMap<(Name, Name), Room>,
    changes: Vec<ShortChange>,
}

impl ServiceRoom {
    /// Records how a request to a server of `place` ended that should have been answered within
    /// `target`.
    pub fn record(
        &mut self,
        now: Time,
        place: ServiceZone,
        target: Duration,
        outcome: &RequestOutcome,
    ) {
        let room = self.room(now, place);
        match outcome {
            RequestOutcome::Answered(after) => {
                room.served.record(now);
                room.time_sum += after.as_secs_f32() / target.as_secs_f32().max(f32::EPSILON);
            }
            RequestOutcome::Refused => room.refused += 1,
            _ => return,
        }
        room.answers += 1;
        self.adjust(now, place);
    }

    /// Returns whether the servers of `place` have room for a flow of `priority`; `draw` is a hash of
    /// the flow, so that copies of its opening get the same result.
    pub fn admits(&mut self, now: Time, place: ServiceZone, priority: u8, draw: u64) -> bool {
        self.room(now, place).offered.entry(priority).or_default().record(now);
        self.adjust(now, place);
        let room = self.room(now, place);
        // The bits of the hash select the route's service too; the product is independent of that.
        let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        let admitted = (draw as f32) < room.share(now, priority) * (1 << 24) as f32;
        match admitted {
            true => room.admitted.record(now),
            false => room.last_refusal = now,
        }
        admitted
    }

    /// Returns whether openings of `priority` for the servers of `place` yield to those of a higher
    /// one, which are more than a few.
    pub fn yields(&self, now: Time, (service, zone): ServiceZone, priority: u8) -> bool {
        let room = self.rooms.get(&(service.clone(), zone.clone()));
        room.is_some_and(|room| {
            let higher = room.offered.range(..priority).map(|(_, rate)| rate.per_second(now));
            higher.sum::<f32>() > room.offered(now) * HIGHER_SHARE
        })
    }

    /// Returns whether the servers of `place` are short of capacity.
    pub fn is_short(&self, (service, zone): ServiceZone) -> bool {
        let room = self.rooms.get(&(service.clone(), zone.clone()));
        room.is_some_and(|room| room.limit.is_some())
    }

    /// Returns the smallest share of openings that the servers of a service in a zone have room for.
    pub fn min_level(&self, now: Time) -> f32 {
        let level = |room: &Room| {
            room.limit.map_or(1.0, |limit| (limit / room.offered(now).max(1.0)).clamp(FLOOR, 1.0))
        };
        self.rooms.values().map(level).fold(1.0, f32::min)
    }

    /// Takes the services that have become short of capacity in a zone or are no longer.
    pub fn take_changes(&mut self) -> Vec<ShortChange> {
        std::mem::take(&mut self.changes)
    }

    fn adjust(&mut self, now: Time, (service, zone): ServiceZone) {
        let room = self.room(now, (service, zone));
        if room.adjust(now) {
            let short = room.limit.is_some();
            let (service, zone) = (service.clone(), zone.clone());
            self.changes.push(ShortChange { service, zone, short });
        }
    }

    fn room(&mut self, now: Time, (service, zone): ServiceZone) -> &mut Room {
        self.rooms.entry((service.clone(), zone.clone())).or_insert_with(|| Room::new(now))
    }
}
