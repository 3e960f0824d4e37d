//! Passive health checks: detects backend servers that do not answer opening packets.
//!
//! Replies bypass the entry VM, but a caller that receives one sends its next packet at once. An
//! opening that no further packet of its flow follows in time therefore counts as unanswered.

use std::{
    collections::{BTreeMap, VecDeque},
    net::Ipv4Addr,
    time::Duration,
};

use super::flow_table::Endpoints;
use crate::time::Time;

/// Consecutive unanswered openings that make a server suspect; a single one may be a lost packet.
const FAILURE_THRESHOLD: u32 = 2;
/// How long a server stays suspect; its failure is known from its announcements by then.
const SUSPECT_DURATION: Duration = Duration::from_secs(3);
/// Time within which a packet follows an answered opening: several round trips between
/// availability zones and to the caller.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Limit on openings tracked at the same time.
const MAX_PENDING: usize = 512;

#[derive(Debug, Clone, Copy, Default)]
struct Failures {
    count: u32,
    last: Time,
}

/// A forwarded opening that no further packet of its flow has followed.
#[derive(Debug, Clone, Copy)]
struct PendingOpening {
    sent: Time,
    endpoints: Endpoints,
    id: u64,
}

/// Unanswered openings by backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct PassiveHealth {
    pending: VecDeque<PendingOpening>,
    failures: BTreeMap<u64, Failures>,
    /// Servers that have become suspect since they were last taken.
    suspects: Vec<u64>,
}

impl PassiveHealth {
    /// Records that the opening of a flow was sent to server `id`.
    pub(crate) fn opening_sent(&mut self, now: Time, endpoints: Endpoints, id: u64) {
        if self.pending.len() < MAX_PENDING {
            self.pending.push_back(PendingOpening { sent: now, endpoints, id });
        }
    }

    /// Records that a flow is established at server `id`, which clears the server's failures.
    pub(crate) fn opening_answered(&mut self, endpoints: &Endpoints, id: u64) {
        self.pending.retain(|pending| pending.endpoints != *endpoints);
        self.failures.remove(&id);
    }

    /// Returns whether recent openings sent to server `id` went unanswered.
    pub(crate) fn is_suspect(&self, now: Time, id: u64) -> bool {
        let recent = |failures: &Failures| now.since(failures.last) < SUSPECT_DURATION;
        self.failures.get(&id).is_some_and(|f| f.count >= FAILURE_THRESHOLD && recent(f))
    }

    /// Takes the servers that have become suspect since the last call.
    pub(crate) fn take_suspects(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.suspects)
    }

    /// Returns whether another opening of `caller` is pending at server `id`: the server may have
    /// reset the caller, which now retries from another port.
    pub(crate) fn has_pending(&self, caller: Ipv4Addr, id: u64) -> bool {
        let mut pending = self.pending.iter();
        pending.any(|pending| pending.id == id && *pending.endpoints.0.ip() == caller)
    }

    /// Counts openings that have timed out and forgets expired failures.
    pub(crate) fn tick(&mut self, now: Time) {
        while let Some(first) = self.pending.front()
            && now.since(first.sent) >= ANSWER_TIMEOUT
        {
            let failures = self.failures.entry(first.id).or_default();
            failures.count += 1;
            failures.last = now;
            if failures.count == FAILURE_THRESHOLD {
                self.suspects.push(first.id);
            }
            self.pending.pop_front();
        }
        self.failures.retain(|_, failures| now.since(failures.last) < SUSPECT_DURATION);
    }
}
