//! Whether an entry VM that has started knows enough to take packets.

use std::time::Duration;

use crate::time::Time;

/// Time after which a VM that reaches no control VM with a quorum serves what it has: a try to
/// connect, which lasts 250 ms at most, and the next one.
const UNCONFIRMED: Duration = Duration::from_millis(300);
/// Age of the registry from which on it names nearly every server, in periods of announcements.
const COMPLETE: f64 = 1.5;

/// What a VM has heard since its start; once it is ready, it stays so.
#[derive(Debug, Clone)]
pub struct Readiness {
    started: Time,
    period: Duration,
    /// Whether some control VM has told everything that it knows.
    told: bool,
    /// Whether one has told it with a quorum behind it, and for long enough to know every server.
    confirmed: bool,
    ready: bool,
}

impl Readiness {
    /// Returns that of a VM that starts `now`, before servers that announce themselves once a
    /// `period`.
    pub fn new(now: Time, period: Duration) -> Readiness {
        Readiness { started: now, period, told: false, confirmed: false, ready: false }
    }

    /// Takes over a control VM's sign of life, which follows everything that it knows: whether a
    /// quorum has confirmed it lately, and for how long it has heard announcements.
    pub fn told(&mut self, fresh: bool, age: Duration) {
        self.told = true;
        self.confirmed |= fresh && age >= self.period.mul_f64(COMPLETE);
    }

    /// Returns whether the VM has just become ready; `known` tells that it has a plan and knows
    /// servers.
    pub fn judge(&mut self, now: Time, known: bool) -> bool {
        let waited = now >= self.due();
        let ready = known && self.told && (self.confirmed || waited);
        ready && !std::mem::replace(&mut self.ready, true)
    }

    /// Returns whether a control VM with a quorum has told every server.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns when to judge again though nothing was heard.
    pub fn due(&self) -> Time {
        self.started + UNCONFIRMED
    }
}
