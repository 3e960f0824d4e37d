//! Acknowledgements of the entry VMs, collected by a control VM.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    name::Name,
    spread::{Applied, LEASE_DURATION, Progress},
    time::Time,
};

/// The progress of each entry VM that holds a lease, as reported to this control VM.
///
/// A control VM that has just started, or has just become leader, does not know the leases granted
/// by others. Its floor is 0 until those have expired.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Acks {
    vms: BTreeMap<Name, Ack>,
    start: Time,
    /// Highest index that decisions rely on: every VM with a valid lease must have applied it.
    least: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Ack {
    applied: Applied,
    until: Time,
}

impl Acks {
    /// Creates an empty set for a process that started at [`Time::ZERO`].
    pub fn new() -> Acks {
        Acks::default()
    }

    /// Creates an empty set for a control VM that became leader at `now` after applying `index`, on
    /// which decisions of earlier leaders may rely.
    pub fn with_start(now: Time, index: u64) -> Acks {
        Acks { vms: BTreeMap::new(), start: now, least: index }
    }

    /// Returns the minimum index that a VM must have applied to get a lease.
    pub fn least(&self) -> u64 {
        self.least
    }

    /// Records that decisions rely on the floor at `now`, where `last` is the last index of the
    /// log.
    ///
    /// VMs below that floor get no lease from then on. A control VM that has just become leader
    /// does not know which floor earlier leaders relied on and uses `last` instead.
    pub fn pin_floor(&mut self, now: Time, last: u64) {
        let started = now < self.start + LEASE_DURATION;
        let floor = self.floor(now).filter(|_| !started).unwrap_or(last);
        self.least = self.least.max(floor);
    }

    /// Applies a report received at `now` and starts or extends the leases of the VMs in it.
    ///
    /// A delayed report neither restores an earlier incarnation of a VM nor lowers the index of the
    /// current one. VMs below [`Acks::least`] get no lease and are ignored.
    pub fn record_report(&mut self, now: Time, progress: &Progress) {
        let holders = progress.applied.iter().filter(|(_, applied)| applied.index >= self.least);
        for (vm, &applied) in holders {
            let until = now + LEASE_DURATION;
            match self.vms.get_mut(vm) {
                Some(ack) if applied.incarnation < ack.applied.incarnation => {}
                Some(ack) if applied.incarnation == ack.applied.incarnation => {
                    ack.applied.index = ack.applied.index.max(applied.index);
                    ack.until = ack.until.max(until);
                }
                _ => _ = self.vms.insert(vm.clone(), Ack { applied, until }),
            }
        }
        self.vms.retain(|_, ack| ack.until >= now);
    }

    /// Returns the lowest index applied by a VM with a valid lease, or `None` if no VM holds a
    /// lease.
    pub fn floor(&self, now: Time) -> Option<u64> {
        if now < self.start + LEASE_DURATION {
            return Some(0);
        }
        let running = self.vms.values().filter(|ack| ack.until >= now);
        running.map(|ack| ack.applied.index).min()
    }
}
