//! Counts of the current phase of a run.

use std::{
    fmt,
    sync::{Mutex, PoisonError},
};

/// Events of the callers in one phase.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PhaseCounts {
    /// Flows whose opening was answered.
    pub(crate) opened: u64,
    /// Flows that were reset, moved to another server or no longer answered.
    pub(crate) broken: u64,
    /// Flows that ended because the availability zone of their server was taken out.
    pub(crate) given_up: u64,
    /// Requests that were answered by a server.
    pub(crate) answered: u64,
    /// Requests that were refused and did not run.
    pub(crate) refused: u64,
    /// Requests whose outcome is unknown.
    pub(crate) unknown: u64,
    /// Requests without an answer.
    pub(crate) lost: u64,
}

impl fmt::Display for PhaseCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "flows_opened={} broken={} given_up={} requests_answered={} refused={} unknown={} lost={}",
            self.opened,
            self.broken,
            self.given_up,
            self.answered,
            self.refused,
            self.unknown,
            self.lost
        )
    }
}

/// The counts of the current phase, shared by all callers.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    counts: Mutex<PhaseCounts>,
}

impl Progress {
    /// Applies `update` to the counts of the current phase.
    pub(crate) fn update(&self, update: impl FnOnce(&mut PhaseCounts)) {
        update(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Ends the phase: returns its counts and starts the next one.
    pub(crate) fn end_phase(&self) -> PhaseCounts {
        std::mem::take(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
