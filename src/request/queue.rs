//! The bounded queue of one service for requests that wait for a backend server.

use std::{collections::VecDeque, time::Duration};

use crate::{request::record::RequestId, time::Time};

/// Maximum number of requests of one service that wait on one VM.
const MAX_WAITING: usize = 32;

/// Maximum number of concurrent admission requests of one service on one VM.
const MAX_PENDING: usize = 16;

/// Maximum number of waiting requests whose records are replicated in advance, so that a granted
/// slot does not have to wait for the replica.
const MAX_REPLICATED: usize = 8;

/// Maximum time in the queue.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Whether a waiting request can be sent as soon as it gets a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// The record has not been sent to the second owner.
    NotReplicated,
    /// The second owner has not acknowledged the record yet.
    Replicating,
    /// The request can be sent.
    Ready,
}

struct QueuedRequest {
    since: Time,
    id: RequestId,
    readiness: Readiness,
}

/// QueuedRequest requests. The newest is served first, because under overload old ones have the
/// least time left.
pub(crate) struct Queue {
    requests: VecDeque<QueuedRequest>,
    /// Whether the last admission request was refused, so that another one would be refused too.
    pub(crate) blocked: bool,
    /// Number of pending admission requests.
    pub(crate) pending: usize,
    /// Retry delay for the callers of refused requests, in seconds.
    pub(crate) retry_s: u32,
}

impl Queue {
    pub(crate) fn new() -> Queue {
        Queue { requests: VecDeque::new(), blocked: false, pending: 0, retry_s: 1 }
    }

    /// Returns whether an admission request may be sent.
    pub(crate) fn may_request(&self) -> bool {
        !self.blocked && self.pending < MAX_PENDING
    }

    /// Returns whether the record of another waiting request may be replicated in advance.
    pub(crate) fn may_replicate(&self) -> bool {
        self.requests.iter().filter(|request| request.readiness != Readiness::NotReplicated).count()
            < MAX_REPLICATED
    }

    /// Adds a request; returns the oldest one if the queue overflows.
    pub(crate) fn push(
        &mut self,
        since: Time,
        id: RequestId,
        readiness: Readiness,
    ) -> Option<RequestId> {
        let index = self.requests.partition_point(|request| request.since <= since);
        self.requests.insert(index, QueuedRequest { since, id, readiness });
        if self.requests.len() <= MAX_WAITING {
            return None;
        }
        self.requests.pop_front().map(|request| request.id)
    }

    /// Removes the newest request that is ready, or else the newest.
    pub(crate) fn pop(&mut self) -> Option<RequestId> {
        let ready = self.requests.iter().rposition(|request| request.readiness == Readiness::Ready);
        let index = ready.or(self.requests.len().checked_sub(1))?;
        self.requests.remove(index).map(|request| request.id)
    }

    /// Removes a request that has waited too long.
    pub(crate) fn pop_stale(&mut self, now: Time) -> Option<RequestId> {
        let oldest = self.requests.front()?;
        if now.since(oldest.since) < MAX_WAIT {
            return None;
        }
        self.requests.pop_front().map(|request| request.id)
    }

    /// Sets the readiness of a request.
    pub(crate) fn set_readiness(&mut self, id: &RequestId, readiness: Readiness) {
        if let Some(request) = self.requests.iter_mut().find(|request| request.id == *id) {
            request.readiness = readiness;
        }
    }

    /// Returns the requests whose replica has not been acknowledged.
    pub(crate) fn replicating(&self) -> Vec<RequestId> {
        let replicating =
            self.requests.iter().filter(|request| request.readiness == Readiness::Replicating);
        replicating.map(|request| request.id.clone()).collect()
    }

    /// Removes a request that has ended.
    pub(crate) fn remove(&mut self, id: &RequestId) {
        self.requests.retain(|request| request.id != *id);
    }
}
