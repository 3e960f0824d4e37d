//! When an entry VM looks for another control VM, because neither of its feeds comes from one that
//! reaches a quorum.

use std::time::Duration;

use crate::{member::hash, name::Name, time::Time};

/// Time without a confirmed feed before the first round of a search. Shorter than most elections,
/// which leave no control VM confirmed.
const START_DELAY: Duration = Duration::from_millis(300);
/// Range over which the first rounds of the VMs are spread.
const START_SPREAD: Duration = Duration::from_millis(400);
/// Interval between the first two rounds; it doubles with each further round.
const FIRST_INTERVAL: Duration = Duration::from_millis(500);
/// Longest interval between two rounds, without the random addition of a half of it.
const MAX_INTERVAL: Duration = Duration::from_secs(8);

/// Decides when an entry VM searches for a control VM that a quorum confirms.
///
/// A control VM on the smaller side of a cut goes on sending heartbeats, which do not say that a
/// quorum has confirmed its state. An entry VM whose feeds both come from such control VMs holds an
/// old plan for as long as the cut lasts, although it may reach others. It searches in rounds, and
/// the second feed leaves its control VM only once another one has shown that it is confirmed. If
/// none is, as after a split into halves, the feeds stay, and the rounds become rare.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedSearch {
    name: Name,
    /// Whether the last heartbeat of each feed was confirmed, if one has come since it connected.
    confirmed: [Option<bool>; 2],
    /// Rounds since a feed was confirmed.
    rounds: u32,
    /// When the next round is due, if a search is needed.
    due: Option<Time>,
}

impl FeedSearch {
    /// Creates the state of the entry VM `name`, which has no feed yet.
    pub fn new(name: Name) -> FeedSearch {
        FeedSearch { name, confirmed: [None; 2], rounds: 0, due: None }
    }

    /// Records a heartbeat of the feed `slot` (0 or 1).
    pub fn record_heartbeat(&mut self, now: Time, slot: usize, confirmed: bool) {
        self.confirmed[slot] = Some(confirmed);
        self.update(now);
    }

    /// Records that the feed `slot` has left or lost its control VM.
    pub fn record_lost(&mut self, now: Time, slot: usize) {
        self.confirmed[slot] = None;
        self.update(now);
    }

    /// Records that a round has ended.
    pub fn record_round(&mut self, now: Time) {
        if self.due.is_some() {
            self.rounds = self.rounds.saturating_add(1);
            self.due = Some(now + self.delay());
        }
    }

    /// Returns when the next round is due, or `None` while no search is needed.
    pub fn due(&self) -> Option<Time> {
        self.due
    }

    /// Returns the number of rounds since a feed was confirmed.
    pub fn rounds(&self) -> u32 {
        self.rounds
    }

    fn update(&mut self, now: Time) {
        if self.confirmed.contains(&Some(true)) {
            (self.rounds, self.due) = (0, None);
        } else if self.confirmed[1].is_none() {
            // The second feed has no control VM to leave, or one that has yet to send the records.
            self.due = None;
        } else if self.due.is_none() {
            self.due = Some(now + self.delay());
        }
    }

    /// Returns the time until the next round.
    fn delay(&self) -> Duration {
        let Some(earlier) = self.rounds.checked_sub(1) else {
            return START_DELAY + self.jitter(START_SPREAD);
        };
        let interval = (FIRST_INTERVAL * 2_u32.pow(earlier.min(8))).min(MAX_INTERVAL);
        interval + self.jitter(interval / 2)
    }

    /// Returns a delay below `range` that differs between VMs and rounds.
    fn jitter(&self, range: Duration) -> Duration {
        let key = format!("{} {}", self.name, self.rounds);
        let micros = range.as_micros().max(1) as u64;
        Duration::from_micros(hash(key.as_bytes()) % micros)
    }
}
