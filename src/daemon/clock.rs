//! The clock of the daemons.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

use crate::time::Time;

/// Returns the time since boot, including time in which the VM was suspended.
pub(super) fn now() -> Time {
    let since = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default();
    Time::ZERO + since
}
