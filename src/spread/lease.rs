//! The configuration lease of this VM.
//!
//! The holder counts the lease from the time it sent its acknowledgement, and the grantor from the
//! later time at which the acknowledgement arrived. The lease therefore expires on the holder
//! first, whatever the delay (Gray and Cheriton, "Leases", 1989).

use std::time::Duration;

use crate::{
    spread::{LEASE_DURATION, LeaseGrant},
    time::Time,
};

/// Percentage of a granted lease that a VM uses; the rest is a margin for clock drift.
const USABLE_PERCENT: u32 = 90;

/// The lease, until whose end this VM may rely on its configuration.
pub(crate) struct Lease {
    incarnation: u64,
    until: Time,
}

impl Lease {
    /// Creates an expired lease for the incarnation `incarnation` of this VM.
    pub(crate) fn new(incarnation: u64) -> Lease {
        Lease { incarnation, until: Time::ZERO }
    }

    /// Returns the end of the lease.
    pub(crate) fn until(&self) -> Time {
        self.until
    }

    /// Applies a grant; ignores one for another incarnation or with a time in the future.
    pub(crate) fn apply_grant(&mut self, now: Time, grant: &LeaseGrant) {
        if grant.incarnation != self.incarnation || grant.acked_at > now {
            return;
        }
        let length: Duration = grant.duration.min(LEASE_DURATION) * USABLE_PERCENT / 100;
        self.until = self.until.max(grant.acked_at + length);
    }
}
