//! Distribution of the new flows of one service over availability zones.
//!
//! Flows stay in the own zone while it has room. An entry VM sees only its own flows and does not
//! know how many other VMs share a zone's slots, so it can't compute its part of them. It infers
//! that a zone is short from what its own requests meet there: refusals, and answers that take much
//! longer than they usually do. Requests in progress of twice the slots of a zone also show it.

use std::{collections::BTreeMap, time::Duration};

use crate::{name::Name, time::Time};

/// Time between two adjustments: a flow that a full server queues is answered in 120 ms, so most
/// results of a window are those of the shares in force.
const WINDOW: Duration = Duration::from_millis(200);
/// Results from which a mean is taken: with exponential service times it varies by 0.18 of itself,
/// which keeps it below [`ROOM_RATIO`].
const WINDOW_RESULTS: u32 = 32;
/// The same for another zone. Few flows go there at first, and a wrong evaluation only delays them.
const FAR_WINDOW_RESULTS: u32 = 6;
/// Weight of a window in the average that determines the usual time to an answer.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Mean time to an answer, relative to the usual one, above which a zone is short: requests then
/// wait for as long as they run.
const SHORT_RATIO: f64 = 2.0;
/// Ratio below which a zone has room again. Between the two, shares are kept.
const ROOM_RATIO: f64 = 1.5;
/// Ratio to which a single time is limited, so that a few lost packets don't look like a queue. A
/// full queue takes four times the service time.
const MAX_RATIO: f64 = 5.0;
/// Usual time to an answer in another zone relative to that in the own zone, at most: the path is
/// longer by a fraction of the service time.
const FAR_RATIO: f64 = 1.5;
/// Part of the results that may be refusals.
const REFUSED: f64 = 0.02;
/// How long the own zone must have room before flows return.
const HOLD: Duration = Duration::from_millis(500);
/// How long a zone that was short receives no higher share: the first time, and at most. The time
/// doubles while the zone is found short again.
const REOPEN: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(16));
/// Limit on the increase of the share sent away within a window.
const MAX_STEP: f64 = 0.2;
/// Share that a zone starts with at most, as many VMs discover a zone with room at the same time. It
/// at most doubles each time that results show that the zone still has room.
const FIRST_SHARE: f64 = 0.1;
/// Factor by which a share falls in each window in which it is not needed.
const RETURN_FACTOR: f64 = 0.9;
/// Decrement of a share that falls, so that it reaches zero.
const DECREMENT: f64 = 0.005;
/// Time in which the usual time to an answer would rise by its own value if all answers were slower.
const USUAL_RISE: Duration = Duration::from_secs(300);

/// What one window has shown of a zone.
#[derive(Debug, Clone, Copy, Default)]
struct Results {
    answered: u32,
    refused: u32,
    /// Sum of the times to an answer, in seconds.
    seconds: f64,
}

#[derive(Debug, Clone, Default)]
struct Zone {
    /// Slots of its available servers.
    slots: u32,
    /// Requests known to be in progress there.
    in_progress: u32,
    results: Results,
    window_start: Time,
    /// Moving average of the time to an answer, in seconds.
    average: Option<f64>,
    /// Lowest average; rises slowly.
    usual: Option<f64>,
    /// Part of its load that was too much in the last window.
    excess: f64,
    /// When it last had no room.
    last_busy: Option<Time>,
    /// Share of new flows, not used for the own zone.
    share: f64,
    /// Whether results were evaluated since the share was raised.
    evaluated: bool,
    /// How long it receives no higher share if it is short.
    reopen: Duration,
}

/// The shares of new flows that the availability zones of one service receive.
#[derive(Debug, Clone)]
pub struct ZoneShare {
    own: Name,
    zones: BTreeMap<Name, Zone>,
    last_tick: Option<Time>,
}

impl ZoneShare {
    /// Creates the shares of a VM in the zone `own`, which receives everything at first.
    pub fn new(own: Name) -> ZoneShare {
        ZoneShare { own, zones: BTreeMap::new(), last_tick: None }
    }

    /// Returns whether the shares are due for an adjustment, before which the rooms have to be set.
    ///
    /// Without servers in the own zone, rooms are set for each flow, so that flows return at once.
    pub fn is_due(&self, now: Time) -> bool {
        let has_servers = self.zones.get(&self.own).is_some_and(|zone| zone.slots > 0);
        !has_servers || self.last_tick.is_none_or(|last| now.since(last) >= WINDOW)
    }

    /// Records an answer of a server in `zone` and the time that it took.
    pub fn answered(&mut self, zone: &Name, time: Duration) {
        let Some(zone) = self.zones.get_mut(zone) else { return };
        let limit = zone.usual.map_or(f64::MAX, |usual| usual * MAX_RATIO);
        zone.results.answered += 1;
        zone.results.seconds += time.as_secs_f64().min(limit);
    }

    /// Records that a server in `zone` has refused a request.
    pub fn refused(&mut self, zone: &Name) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.results.refused += 1;
        }
    }

    /// Sets the slots of available servers and the number of requests that are known to be in
    /// progress there, each for a zone or a part of it; a zone that is missing has none.
    pub fn set_rooms(&mut self, rooms: impl Iterator<Item = (Name, u32, u32)>) {
        for zone in self.zones.values_mut() {
            (zone.slots, zone.in_progress) = (0, 0);
        }
        for (name, slots, in_progress) in rooms {
            let zone = self.zones.entry(name).or_default();
            zone.slots += slots;
            zone.in_progress += in_progress;
        }
    }

    /// Adjusts the shares, at most once in a window.
    pub fn tick(&mut self, now: Time) {
        if self.last_tick.is_some_and(|last| now.since(last) < WINDOW) {
            return;
        }
        self.last_tick = Some(now);
        let near = self.zones.get(&self.own).and_then(|zone| zone.usual);
        let mut own_excess = 0.0;
        for (name, zone) in &mut self.zones {
            let is_own = *name == self.own;
            let most = near.filter(|_| !is_own).map_or(f64::MAX, |near| near * FAR_RATIO);
            let enough = if is_own { WINDOW_RESULTS } else { FAR_WINDOW_RESULTS };
            let closed = zone.close_window(now, enough, most);
            if is_own {
                own_excess = if closed { zone.excess } else { 0.0 };
            } else if zone.slots == 0 {
                (zone.share, zone.excess) = (0.0, 0.0);
            } else if zone.excess > 0.0 {
                zone.lower(1.0 - zone.excess.clamp(0.1, 0.4));
            }
        }
        if own_excess > 0.0 {
            self.raise(now, own_excess);
        } else if !self.was_busy(now, &self.own, HOLD) {
            self.lower();
        }
    }

    fn was_busy(&self, now: Time, zone: &Name, within: Duration) -> bool {
        let busy = self.zones.get(zone).and_then(|zone| zone.last_busy);
        busy.is_some_and(|busy| now.since(busy) < within)
    }

    /// Sends a larger share to other zones with room, in proportion to their free slots.
    fn raise(&mut self, now: Time, excess: f64) {
        let own = &self.own;
        let has_room = |name: &Name, zone: &Zone| {
            let tried = zone.share == 0.0 || zone.evaluated;
            name != own && tried && zone.is_open(now) && zone.free_slots() > 0.0
        };
        let rooms = self.zones.iter().filter(|(name, zone)| has_room(name, zone));
        let total: f64 = rooms.map(|(_, zone)| zone.free_slots()).sum();
        let step = excess.min(MAX_STEP) * (1.0 - self.sent_away());
        for (_, zone) in self.zones.iter_mut().filter(|(name, zone)| has_room(name, zone)) {
            let step = step * zone.free_slots() / total;
            zone.share += step.min(zone.share.max(FIRST_SHARE));
            zone.evaluated = false;
        }
    }

    fn lower(&mut self) {
        for zone in self.zones.values_mut() {
            zone.lower(RETURN_FACTOR);
        }
    }

    /// Returns the share of new flows that is sent to other zones because the own one is short.
    pub fn sent_away(&self) -> f64 {
        self.zones.values().map(|zone| zone.share).sum()
    }

    /// Returns the zone of a new flow, where `point` is evenly distributed; `None` if no zone has an
    /// available server.
    ///
    /// Without available servers in the own zone, flows are distributed by free slots.
    pub fn select(&self, point: u32) -> Option<&Name> {
        let mut point = f64::from(point) / f64::from(u32::MAX);
        let own = self.zones.get_key_value(&self.own).filter(|(_, zone)| zone.slots > 0);
        if own.is_none() {
            point *= self.zones.values().map(Zone::weight).sum::<f64>();
        }
        let mut last = None;
        for (name, zone) in self.zones.iter().filter(|(_, zone)| zone.slots > 0) {
            let share = if own.is_some() { zone.share } else { zone.weight() };
            if point < share {
                return Some(name);
            }
            point -= share;
            last = Some(name);
        }
        own.map(|(name, _)| name).or(last)
    }
}

impl Zone {
    fn free_slots(&self) -> f64 {
        f64::from(self.slots.saturating_sub(self.in_progress))
    }

    /// Returns the weight of the zone for flows that the own zone can't take at all.
    fn weight(&self) -> f64 {
        if self.slots == 0 { 0.0 } else { self.free_slots().max(1.0) }
    }

    fn lower(&mut self, factor: f64) {
        self.share = (self.share * factor - DECREMENT).max(0.0);
    }

    /// Returns whether a higher share may go there.
    fn is_open(&self, now: Time) -> bool {
        let Some(busy) = self.last_busy else { return true };
        now.since(busy) >= self.reopen.max(HOLD)
    }

    /// Evaluates the results if there are `enough`, and returns whether it did. The usual time
    /// to an answer counts as `most` seconds at most.
    fn close_window(&mut self, now: Time, enough: u32, most: f64) -> bool {
        let Results { answered, refused, seconds } = self.results;
        let count = answered + refused;
        // As many requests wait as run, or more.
        let beyond = self.in_progress.saturating_sub(2 * self.slots);
        let beyond = f64::from(beyond) / f64::from(self.in_progress.max(1));
        if beyond == 0.0 && count < enough {
            return false;
        }
        let mean = (answered > 0).then(|| seconds / f64::from(answered));
        if let Some(mean) = mean {
            let age = now.since(self.window_start);
            let average = self.average.map_or(mean, |avg| avg + (mean - avg) * AVERAGE_WEIGHT);
            let rise = 1.0 + age.div_duration_f64(USUAL_RISE);
            self.usual = Some(self.usual.map_or(average, |usual| (usual * rise).min(average)));
            self.average = Some(average);
        }
        let usual = self.usual.map_or(most, |usual| usual.min(most));
        let ratio = mean.map_or(0.0, |mean| mean / usual);
        let refused = f64::from(refused) / f64::from(count.max(1));
        let waiting = 1.0 - SHORT_RATIO / ratio.max(SHORT_RATIO);
        let refused = if refused > REFUSED { refused } else { 0.0 };
        self.excess = (waiting + refused).max(beyond).min(1.0);
        self.evaluated = true;
        self.reopen = match self.excess > 0.0 {
            true => (self.reopen * 2).clamp(REOPEN.0, REOPEN.1),
            false => Duration::ZERO,
        };
        if self.excess > 0.0 || ratio > ROOM_RATIO {
            self.last_busy = Some(now);
        }
        self.results = Results::default();
        self.window_start = now;
        true
    }
}
