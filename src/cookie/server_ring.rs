//! The servers of one service and availability zone in the order in which a VM selects them.

use std::{collections::BTreeMap, time::Duration};

use super::record::server_cookie;
use crate::member::hash;

/// Limit on the turns of a server in a round, to bound the size of a ring. The comparison of loads
/// accounts for further slots.
const MAX_TURNS: u32 = 16;
/// Part by which a result changes the average time of a server; with exponential service times the
/// average then varies by 0.18 of itself.
const TIME_WEIGHT: f32 = 1.0 / 16.0;
/// Part by which a result changes the average of the zone.
const ZONE_TIME_WEIGHT: f32 = 1.0 / 64.0;
/// Speed relative to the zone from which on a server counts as equal; above the variation of averages.
const EQUAL_SPEED: f32 = 0.7;
/// Time that a refusal counts as, relative to the zone's average: what a full queue takes.
const REFUSAL_FACTOR: f32 = 4.0;
/// Part of its turns that a server leaves out for each request by which the load of one of its slots
/// exceeds the mean according to the load summary. At full load a slot receives seven requests in the
/// 0.25 s between two summaries, and all VMs react to the same one.
const SUMMARY_GAIN: f32 = 0.1;
/// Least part of its turns that a server keeps despite the load summary.
const MIN_SUMMARY_FACTOR: f32 = 0.5;
/// Least speed: a slow server keeps some turns, so that its recovery shows.
const MIN_SPEED: f32 = 0.25;

/// A turn of a server.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// Place in the order.
    key: u64,
    /// Whether it is the first turn of its server.
    first: bool,
    pub(super) id: u64,
    pub(super) cookie: u32,
    pub(super) slots: u32,
    /// Requests of other VMs in progress at the server, according to the last summary.
    other_requests: u32,
    /// Part of its turns that the server takes according to the last summary.
    summary_factor: f32,
    /// Part of its turns that the server takes.
    speed: f32,
    /// Part of a turn that it may take.
    credit: f32,
    /// Average time to an answer in seconds, 0 if unknown.
    time: f32,
}

impl Entry {
    fn new(key: u64, id: u64, slots: u32, first: bool) -> Entry {
        let cookie = server_cookie(id);
        let (other_requests, summary_factor, time, speed) = (0, 1.0, 0.0, 1.0);
        // VMs that learn the same of a server at the same time leave out its turn at different times.
        let credit = key as f32 / u64::MAX as f32;
        Entry { key, first, id, cookie, slots, other_requests, summary_factor, speed, credit, time }
    }

    fn order(&self) -> (u64, u64) {
        (self.key, self.id)
    }
}

/// Servers in turn. A server with more slots has more turns, evenly spaced.
#[derive(Debug, Clone, Default)]
pub(super) struct Ring {
    /// The turns by key.
    entries: Vec<Entry>,
    /// Index of the next turn.
    next: usize,
    slots: u32,
    other_requests: u32,
    /// Average of the servers' answers per second, 0 if unknown.
    rate: f32,
}

impl Ring {
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the slots of all servers.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the requests of other VMs at all servers.
    pub(super) fn other_requests(&self) -> u32 {
        self.other_requests
    }

    /// Keeps the servers for which `keep` is true and adds those with the numbers and slots `added`,
    /// in the order of `seed`.
    pub(super) fn update(
        &mut self,
        keep: impl Fn(&Entry) -> bool,
        added: impl Iterator<Item = (u64, u32)>,
        seed: u64,
    ) {
        let next = self.entries.get(self.next).map_or(seed, |entry| entry.key);
        self.entries.retain(keep);
        for (id, slots) in added {
            let turns = turns(seed, id, slots);
            self.entries.extend(turns.map(|(key, first)| Entry::new(key, id, slots, first)));
        }
        self.entries.sort_by_key(Entry::order);
        self.entries.dedup_by_key(|entry| entry.order());
        self.next = self.entries.partition_point(|entry| entry.key < next);
        self.slots = self.servers().map(|entry| entry.slots).sum();
        self.other_requests = self.servers().map(|entry| entry.other_requests).sum();
    }

    /// Iterates over the cookies of the servers.
    pub(super) fn cookies(&self) -> impl Iterator<Item = u32> {
        self.servers().map(|entry| entry.cookie)
    }

    /// Iterates over the first turn of each server.
    fn servers(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| entry.first)
    }

    /// Replaces the requests of other VMs by `requests`, which has them by cookie.
    pub(super) fn set_other_requests(&mut self, requests: &BTreeMap<u32, u32>) {
        for entry in &mut self.entries {
            entry.other_requests = requests.get(&entry.cookie).copied().unwrap_or(0);
        }
        self.other_requests = self.servers().map(|entry| entry.other_requests).sum();
        let mean = self.other_requests as f32 / self.slots.max(1) as f32;
        for entry in &mut self.entries {
            let excess = entry.other_requests as f32 / entry.slots as f32 - mean;
            let factor = 1.0 - SUMMARY_GAIN * excess;
            entry.summary_factor = factor.clamp(MIN_SUMMARY_FACTOR, 1.0);
        }
    }

    /// Records how long a server took to answer, or that it refused a request.
    pub(super) fn answered(&mut self, id: u64, slots: u32, seed: u64, time: Option<Duration>) {
        let time = match time {
            Some(time) => time.as_secs_f32().max(0.001),
            None if self.rate == 0.0 => return,
            None => REFUSAL_FACTOR / self.rate,
        };
        for (key, _) in turns(seed, id, slots) {
            let Ok(index) = self.entries.binary_search_by_key(&(key, id), Entry::order) else {
                return;
            };
            let entry = &mut self.entries[index];
            let average = if entry.time == 0.0 { time } else { entry.time };
            entry.time = average + (time - average) * TIME_WEIGHT;
            if entry.first {
                let rate = if self.rate == 0.0 { entry.time.recip() } else { self.rate };
                self.rate = rate + (entry.time.recip() - rate) * ZONE_TIME_WEIGHT;
            }
            let speed = 1.0 / (entry.time * self.rate);
            entry.speed = if speed < EQUAL_SPEED { speed.max(MIN_SPEED) } else { 1.0 };
        }
    }

    /// Selects the server of the next turn, or one of the `choices - 1` servers after it if its load
    /// relative to its slots is lower. Servers for which `allowed` is false are skipped. The load
    /// summary counts with the weight `summary`.
    pub(super) fn take(
        &mut self,
        choices: usize,
        summary: f32,
        allowed: impl Fn(&Entry) -> bool,
        load: impl Fn(&Entry) -> u64,
    ) -> Option<u64> {
        let first = self.find_turn(summary, &allowed)?;
        let len = self.entries.len();
        self.next = (first + 1) % len;
        let relative = |entry: &Entry| load(entry) as f32 / (entry.slots as f32 * entry.speed);
        let mut best = &self.entries[first];
        let mut least = relative(best);
        let mut others = (1..len).map(|step| &self.entries[(first + step) % len]);
        for _ in 1..choices {
            let best_id = best.id;
            if least == 0.0 {
                break;
            }
            let Some(entry) = others.find(|entry| entry.id != best_id && allowed(entry)) else {
                break;
            };
            let load = relative(entry);
            if load < least {
                (best, least) = (entry, load);
            }
        }
        Some(best.id)
    }

    /// Returns the index of the next turn that its server takes.
    fn find_turn(&mut self, summary: f32, allowed: impl Fn(&Entry) -> bool) -> Option<usize> {
        let len = self.entries.len();
        // The second round ignores the credit, in case that no allowed server has enough.
        for step in 0..2 * len {
            let index = (self.next + step) % len;
            let entry = &mut self.entries[index];
            if !allowed(entry) {
                continue;
            }
            entry.credit += entry.speed * (1.0 - summary * (1.0 - entry.summary_factor));
            if entry.credit >= 1.0 || step >= len {
                entry.credit = (entry.credit - 1.0).max(0.0);
                return Some(index);
            }
        }
        None
    }
}

/// Returns the keys of the turns of a server, and whether each is the first.
fn turns(seed: u64, id: u64, slots: u32) -> impl Iterator<Item = (u64, bool)> {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..].copy_from_slice(&id.to_le_bytes());
    let first = hash(&bytes);
    let turns = u64::from(slots.clamp(1, MAX_TURNS));
    (0..turns).map(move |turn| (first.wrapping_add(turn * (u64::MAX / turns)), turn == 0))
}
