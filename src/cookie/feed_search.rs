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
/// quorum has confirmed its state. An entry VM whose feeds all come from such control VMs holds an
/// old plan for as long as the cut lasts, although it may reach others. It searches in rounds, and
/// leaves a feed only once another control VM has shown that it is confirmed. If no control VM
/// is, as after a split into halves, the feeds stay, and the rounds become rare.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedSearch {
    name: Name,
    /// Whether the last heartbeat of each feed was confirmed; `false` without a control VM.
    confirmed: [bool; 2],
    /// Rounds since a feed was confirmed.
    rounds: u32,
    /// When the next round is due, if no feed is confirmed.
    due: Option<Time>,
}

impl FeedSearch {
    /// Creates the state of the entry VM `name`, which starts at `now` without a feed.
    pub fn new(now: Time, name: Name) -> FeedSearch {
        let mut search = FeedSearch { name, confirmed: [false; 2], rounds: 0, due: None };
        search.update(now);
        search
    }

    /// Records a heartbeat of the feed `slot` (0 or 1).
    pub fn record_heartbeat(&mut self, now: Time, slot: usize, confirmed: bool) {
        self.confirmed[slot] = confirmed;
        self.update(now);
    }

    /// Records that the feed `slot` has lost its control VM.
    pub fn record_lost(&mut self, now: Time, slot: usize) {
        self.record_heartbeat(now, slot, false);
    }

    /// Records that a round has ended.
    pub fn record_round(&mut self, now: Time) {
        if self.due.is_none() {
            return;
        }
        let interval = (FIRST_INTERVAL * 2_u32.pow(self.rounds.min(8))).min(MAX_INTERVAL);
        self.rounds = self.rounds.saturating_add(1);
        self.due = Some(now + interval + self.jitter(interval / 2));
    }

    /// Returns when the next round is due, or `None` while a feed is confirmed.
    pub fn due(&self) -> Option<Time> {
        self.due
    }

    /// Returns the number of rounds since a feed was confirmed.
    pub fn rounds(&self) -> u32 {
        self.rounds
    }

    fn update(&mut self, now: Time) {
        if self.confirmed.contains(&true) {
            (self.rounds, self.due) = (0, None);
        } else if self.due.is_none() {
            self.due = Some(now + START_DELAY + self.jitter(START_SPREAD));
        }
    }

    /// Returns a delay below `range` that differs between VMs and rounds.
    fn jitter(&self, range: Duration) -> Duration {
        let key = format!("{} {}", self.name, self.rounds);
        let micros = range.as_micros().max(1) as u64;
        Duration::from_micros(hash(key.as_bytes()) % micros)
    }
}
