//! The entry VMs that a control VM knows, and those that it tells that it is up.
//!
//! An entry VM without a disk knows only the control VMs in its settings when it starts. After an
//! outage, or in an availability zone that is cut off, all of these may be out of reach. The other
//! control VMs remember it, and tell it that they are up until it has a feed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::time::Time;

/// Intervals at which an entry VM is told, by how long it has been without a feed: VMs that regain
/// power together start within a few hundred milliseconds of each other, a VM that restarts takes
/// some seconds.
const INTERVALS: [(Duration, Duration); 2] = [
    (Duration::from_millis(500), Duration::from_millis(100)),
    (Duration::from_secs(10), Duration::from_millis(250)),
];
/// Interval at which an entry VM is told after that.
const LONG_INTERVAL: Duration = Duration::from_secs(2);
/// How long an entry VM without a feed is remembered.
const RETENTION: Duration = Duration::from_secs(600);
/// Limit on remembered entry VMs, three times the design size of the system.
const MAX_VMS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
enum Feed {
    /// From this control VM or from another one.
    Present,
    /// From none, since a time; the VM is next told at `due`.
    Lost { since: Time, due: Time },
}

#[derive(Debug, Clone, Copy)]
struct EntryVm {
    last_seen: Time,
    feed: Feed,
}

/// The entry VMs that a control VM knows, by the address at which they receive its messages.
#[derive(Debug, Clone)]
pub struct EntryVms {
    vms: BTreeMap<SocketAddr, EntryVm>,
    /// Entry VMs that have subscribed and that other control VMs do not know of yet.
    news: BTreeSet<SocketAddr>,
}

impl EntryVms {
    /// Creates the entry VMs of a control VM that starts at `now`; `cached` had a feed before.
    pub fn new(now: Time, cached: Vec<SocketAddr>) -> EntryVms {
        let vm = EntryVm { last_seen: now, feed: Feed::Lost { since: now, due: now } };
        let vms = cached.into_iter().map(|addr| (addr, vm)).collect();
        EntryVms { vms, news: BTreeSet::new() }
    }

    /// Records that an entry VM has subscribed to this control VM.
    pub fn record_subscribed(&mut self, now: Time, addr: SocketAddr) {
        self.news.insert(addr);
        self.record_served(now, [addr]);
    }

    /// Records entry VMs that have a feed from this control VM or from another one.
    pub fn record_served(&mut self, now: Time, addrs: impl IntoIterator<Item = SocketAddr>) {
        for addr in addrs {
            if self.vms.len() < MAX_VMS || self.vms.contains_key(&addr) {
                self.vms.insert(addr, EntryVm { last_seen: now, feed: Feed::Present });
            }
        }
    }

    /// Records that the feed of an entry VM from this control VM has ended.
    pub fn record_lost(&mut self, now: Time, addr: SocketAddr) {
        if let Some(vm) = self.vms.get_mut(&addr) {
            *vm = EntryVm { last_seen: now, feed: Feed::Lost { since: now, due: now } };
        }
    }

    /// Records that another control VM was up while this one was not: the entry VMs known from
    /// before have their feeds from it.
    pub fn record_other_up(&mut self) {
        self.vms.values_mut().for_each(|vm| vm.feed = Feed::Present);
    }

    /// Takes the entry VMs that have subscribed since the last call.
    pub fn take_news(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.news).into_iter().collect()
    }

    /// Removes entry VMs without a feed for 10 minutes and returns the others.
    pub fn retained(&mut self, now: Time) -> Vec<SocketAddr> {
        self.vms.retain(|_, vm| now.since(vm.last_seen) < RETENTION);
        self.vms.keys().copied().collect()
    }

    /// Returns the entry VMs to which this control VM now has to send that it is up.
    pub fn take_due(&mut self, now: Time) -> Vec<SocketAddr> {
        let mut told = Vec::new();
        for (addr, vm) in &mut self.vms {
            if let Feed::Lost { since, due } = &mut vm.feed
                && now >= *due
            {
                *due = now + interval(now.since(*since));
                told.push(*addr);
            }
        }
        told
    }
}

fn interval(lost: Duration) -> Duration {
    let step = INTERVALS.iter().find(|(limit, _)| lost < *limit);
    step.map_or(LONG_INTERVAL, |(_, interval)| *interval)
}
