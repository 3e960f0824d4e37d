//! Whether the first feed of an entry VM keeps it up to date, so that the second one may carry
//! changes only.

use std::time::Duration;

use crate::time::Time;

/// Time without a confirmed heartbeat after which the first feed is behind: three heartbeats.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a connection after which the first feed is behind; most reconnect within 100 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// State of the first feed, as the second one sees it.
///
/// Answers the bytes between availability zones: the record of each server once for each entry VM
/// from its own zone, not a second time from another one. A control VM on the smaller side of a cut
/// does not confirm its heartbeats; the second feed then requests all records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrimaryFeed {
    connected: bool,
    /// Whether it has sent all records since the VM started.
    complete: bool,
    /// When it last connected, was lost or had its state confirmed by a quorum.
    last_good: Time,
}

impl PrimaryFeed {
    /// Creates the state of a VM that starts at `now`.
    pub fn new(now: Time) -> PrimaryFeed {
        PrimaryFeed { connected: false, complete: false, last_good: now }
    }

    /// Records that the first feed has connected to a control VM.
    pub fn record_connected(&mut self, now: Time) {
        (self.connected, self.last_good) = (true, now);
    }

    /// Records that the first feed has lost its control VM.
    pub fn record_lost(&mut self, now: Time) {
        (self.connected, self.last_good) = (false, now);
    }

    /// Records a heartbeat of the first feed, which the control VM sends after all records.
    pub fn record_heartbeat(&mut self, now: Time, confirmed: bool) {
        self.complete = true;
        if confirmed {
            self.last_good = now;
        }
    }

    /// Returns whether the first feed has sent all records since the VM started.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns whether the second feed has to send all records, too.
    pub fn is_behind(&self, now: Time) -> bool {
        let limit = if self.connected { CONFIRM_TIMEOUT } else { CONNECT_TIMEOUT };
        !self.complete || now.since(self.last_good) >= limit
    }
}
