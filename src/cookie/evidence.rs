//! What the packets of callers tell of backend servers that do not answer.
//!
//! Answers do not pass this VM, but a caller that was answered sends its next packet at once.

use std::{
    collections::{BTreeMap, VecDeque},
    net::Ipv4Addr,
    time::Duration,
};

use super::notes::Ends;
use crate::time::Time;

/// Flows in a row that were not answered before a server counts as suspect: one may be a lost
/// packet.
const STRIKES: u32 = 2;
/// Time for which a server stays suspect; announcements tell of its end by then.
const SUSPECT: Duration = Duration::from_secs(3);
/// Time in which the next packet of an answered opening comes: several round trips between
/// availability zones and to callers.
const ANSWER: Duration = Duration::from_millis(100);
/// Openings that are followed at most.
const PENDING: usize = 512;

#[derive(Debug, Clone, Copy, Default)]
struct Strikes {
    count: u32,
    last: Time,
}

/// An opening that was sent on and not yet followed by another packet of its flow.
#[derive(Debug, Clone, Copy)]
struct Pending {
    at: Time,
    ends: Ends,
    id: u64,
}

/// Unanswered openings by backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    pending: VecDeque<Pending>,
    strikes: BTreeMap<u64, Strikes>,
}

impl Evidence {
    /// Notes that the opening of a flow was sent to server `id`.
    pub(crate) fn asked(&mut self, now: Time, ends: Ends, id: u64) {
        if self.pending.len() < PENDING {
            self.pending.push_back(Pending { at: now, ends, id });
        }
    }

    /// Notes that a flow was seen open at server `id`.
    pub(crate) fn answered(&mut self, ends: &Ends, id: u64) {
        self.pending.retain(|pending| pending.ends != *ends);
        self.strikes.remove(&id);
    }

    /// Returns whether server `id` has not answered lately.
    pub(crate) fn is_suspect(&self, now: Time, id: u64) -> bool {
        let recent = |strikes: &Strikes| now.since(strikes.last) < SUSPECT;
        self.strikes.get(&id).is_some_and(|s| s.count >= STRIKES && recent(s))
    }

    /// Returns whether another flow of `caller` still waits for server `id`: the caller may have
    /// been reset there and come again.
    pub(crate) fn waits(&self, caller: Ipv4Addr, id: u64) -> bool {
        self.pending.iter().any(|pending| pending.id == id && *pending.ends.0.ip() == caller)
    }

    /// Counts what was not answered in time, and forgets what is too old to count.
    pub(crate) fn tick(&mut self, now: Time) {
        while let Some(first) = self.pending.front()
            && now.since(first.at) >= ANSWER
        {
            let strikes = self.strikes.entry(first.id).or_default();
            strikes.count += 1;
            strikes.last = now;
            self.pending.pop_front();
        }
        self.strikes.retain(|_, strikes| now.since(strikes.last) < SUSPECT);
    }
}
