//! What the packets of callers tell of backend servers that do not answer.

use std::{collections::BTreeMap, time::Duration};

use crate::time::Time;

/// Flows in a row that repeat their opening before a server counts as suspect: one may be a lost
/// packet.
const STRIKES: u32 = 2;
/// Time for which a server stays suspect; announcements tell of its end by then.
const SUSPECT: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy, Default)]
struct Strikes {
    count: u32,
    last: Time,
}

/// Unanswered openings by backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    strikes: BTreeMap<u64, Strikes>,
}

impl Evidence {
    /// Notes that a flow had to repeat its opening at server `id`.
    pub(crate) fn unanswered(&mut self, now: Time, id: u64) {
        let strikes = self.strikes.entry(id).or_default();
        strikes.count += 1;
        strikes.last = now;
    }

    /// Notes that a flow was opened by server `id`.
    pub(crate) fn answered(&mut self, id: u64) {
        self.strikes.remove(&id);
    }

    /// Returns whether server `id` has not answered lately.
    pub(crate) fn is_suspect(&self, now: Time, id: u64) -> bool {
        let recent = |strikes: &Strikes| now.since(strikes.last) < SUSPECT;
        self.strikes.get(&id).is_some_and(|s| s.count >= STRIKES && recent(s))
    }

    /// Forgets what is too old to count.
    pub(crate) fn tick(&mut self, now: Time) {
        self.strikes.retain(|_, strikes| now.since(strikes.last) < SUSPECT);
    }
}
