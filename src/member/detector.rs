//! Failure detector for the VMs of one availability zone.
//!
//! Each VM sends heartbeats to the [`WATCHERS`] VMs that follow it in the ring of names. A VM that
//! misses them suspects the sender, probes it directly and through others, and reports it dead if
//! no answer arrives. Suspicion and indirect probes follow Das, Gupta and Motivala, "SWIM", 2002.

use std::{collections::BTreeMap, time::Duration};

use crate::{name::Name, time::Time};

/// Number of VMs that monitor each VM.
pub(crate) const WATCHERS: usize = 3;

/// Interval between heartbeats to a watcher.
pub(crate) const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);

/// Silence after which a VM is suspected.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which a suspected VM is probed before it is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(750);

/// Interval between probes of a suspected VM.
const PROBE_PERIOD: Duration = Duration::from_millis(200);

/// Action required for a monitored VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum DetectorAction {
    /// The VM has fallen silent and is now suspected.
    Suspect(Name),
    /// Probe the VM, directly and through others.
    Probe(Name),
    /// Declare the VM dead, as no probe was answered.
    Dead(Name),
}

struct WatchState {
    last_heard: Time,
    suspected_since: Option<Time>,
    probe_at: Time,
}

/// Monitors the VMs that precede this one in the ring.
pub(crate) struct Detector {
    watched: BTreeMap<Name, WatchState>,
}

impl Detector {
    pub(crate) fn new() -> Detector {
        Detector { watched: BTreeMap::new() }
    }

    /// Monitors exactly `names`. The silence of a newly added VM counts from `now`.
    pub(crate) fn watch(&mut self, now: Time, names: &[Name]) {
        self.watched.retain(|name, _| names.contains(name));
        for name in names {
            let fresh = || WatchState { last_heard: now, suspected_since: None, probe_at: now };
            self.watched.entry(name.clone()).or_insert_with(fresh);
        }
    }

    /// Records that a VM is alive and clears its suspicion.
    pub(crate) fn mark_alive(&mut self, now: Time, name: &str) {
        if let Some(watch) = self.watched.get_mut(name) {
            watch.last_heard = now;
            watch.suspected_since = None;
        }
    }

    /// Returns the actions that are due.
    pub(crate) fn tick(&mut self, now: Time) -> Vec<DetectorAction> {
        let mut actions = Vec::new();
        for (name, watch) in &mut self.watched {
            if now.since(watch.last_heard) < SILENCE_TIMEOUT {
                continue;
            }
            let suspected = match watch.suspected_since {
                Some(suspected) => suspected,
                None => {
                    actions.push(DetectorAction::Suspect(name.clone()));
                    watch.probe_at = now;
                    *watch.suspected_since.insert(now)
                }
            };
            if now.since(suspected) >= SUSPICION_TIMEOUT {
                actions.push(DetectorAction::Dead(name.clone()));
            } else if now >= watch.probe_at {
                watch.probe_at = now + PROBE_PERIOD;
                actions.push(DetectorAction::Probe(name.clone()));
            }
        }
        actions
    }
}

/// Returns the `count` names that follow `me` in the ring of `names`, which must be sorted.
pub(crate) fn successors(names: &[Name], me: &str, count: usize) -> Vec<Name> {
    let start = names.partition_point(|name| &**name <= me);
    let ring = names[start..].iter().chain(&names[..start]);
    ring.filter(|name| &***name != me).take(count).cloned().collect()
}

/// Returns the `count` names that precede `me` in the ring of `names`, which must be sorted.
pub(crate) fn predecessors(names: &[Name], me: &str, count: usize) -> Vec<Name> {
    let start = names.partition_point(|name| &**name < me);
    let ring = names[start..].iter().chain(&names[..start]);
    ring.rev().filter(|name| &***name != me).take(count).cloned().collect()
}
