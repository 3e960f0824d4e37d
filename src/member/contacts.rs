//! Reachability of other availability zones, tracked by the head of each zone.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{name::Name, time::Time};

/// Interval between summaries to an availability zone.
const SUMMARY_PERIOD: Duration = Duration::from_secs(1);

/// Interval between summaries to a silent availability zone that does not count as lost yet.
const RETRY_PERIOD: Duration = Duration::from_millis(250);

/// Silence after which other VMs of an availability zone are tried in turn.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Silence after which an availability zone counts as lost.
const LOSS_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which an availability zone that does not hear this one counts as lost.
const ONE_WAY_TIMEOUT: Duration = Duration::from_secs(2);

/// A summary to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DueSummary {
    /// The receiving availability zone.
    pub(crate) zone: Name,
    /// Whether the zone is silent, so that its VMs are tried in turn.
    pub(crate) silent: bool,
    /// Number of the attempt, which selects the VM to try.
    pub(crate) attempt: usize,
}

struct ZoneContact {
    last_heard: Option<Time>,
    tracked_since: Time,
    unheard_since: Option<Time>,
    next_summary: Time,
    attempts: usize,
}

/// Contact state of each other availability zone.
pub(crate) struct ZoneContacts {
    zones: BTreeMap<Name, ZoneContact>,
}

impl ZoneContacts {
    pub(crate) fn new() -> ZoneContacts {
        ZoneContacts { zones: BTreeMap::new() }
    }

    /// Tracks exactly `zones`; keeps the state of zones that are tracked already.
    pub(crate) fn track(&mut self, now: Time, zones: &BTreeSet<Name>) {
        self.zones.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            let fresh = || ZoneContact {
                last_heard: None,
                tracked_since: now,
                unheard_since: None,
                next_summary: now,
                attempts: 0,
            };
            self.zones.entry(zone.clone()).or_insert_with(fresh);
        }
    }

    /// Resets all timers; called when this VM becomes head.
    pub(crate) fn reset(&mut self, now: Time) {
        for contact in self.zones.values_mut() {
            *contact = ZoneContact {
                last_heard: None,
                tracked_since: now,
                unheard_since: None,
                next_summary: now,
                attempts: 0,
            };
        }
    }

    /// Records a message from `zone`; `hears` tells whether that zone receives messages from this
    /// one.
    pub(crate) fn record_message(&mut self, now: Time, zone: &str, hears: bool) {
        let Some(contact) = self.zones.get_mut(zone) else { return };
        contact.last_heard = Some(now);
        contact.unheard_since = if hears { None } else { contact.unheard_since.or(Some(now)) };
    }

    /// Returns whether a message from `zone` arrived within [`SILENCE_TIMEOUT`].
    pub(crate) fn hears(&self, now: Time, zone: &str) -> bool {
        let last_heard = self.zones.get(zone).and_then(|contact| contact.last_heard);
        last_heard.is_some_and(|last_heard| now.since(last_heard) < SILENCE_TIMEOUT)
    }

    /// Returns the unreachable availability zones. A zone in `previous` becomes reachable again
    /// only when both zones hear each other.
    pub(crate) fn unreachable(&self, now: Time, previous: &BTreeSet<Name>) -> BTreeSet<Name> {
        let is_unreachable = |(zone, contact): &(&Name, &ZoneContact)| match contact.last_heard {
            Some(last_heard) if previous.contains(*zone) => {
                now.since(last_heard) >= SILENCE_TIMEOUT || contact.unheard_since.is_some()
            }
            None if previous.contains(*zone) => true,
            last_heard => {
                let silent = now.since(last_heard.unwrap_or(contact.tracked_since)) >= LOSS_TIMEOUT;
                silent
                    || contact
                        .unheard_since
                        .is_some_and(|since| now.since(since) >= ONE_WAY_TIMEOUT)
            }
        };
        self.zones.iter().filter(is_unreachable).map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the summaries that are due.
    pub(crate) fn due_summaries(
        &mut self,
        now: Time,
        unreachable: &BTreeSet<Name>,
    ) -> Vec<DueSummary> {
        let mut due = Vec::new();
        for (zone, contact) in &mut self.zones {
            let silent =
                now.since(contact.last_heard.unwrap_or(contact.tracked_since)) >= SILENCE_TIMEOUT;
            let retry = silent && !unreachable.contains(zone);
            if now < contact.next_summary && !(retry && now + RETRY_PERIOD < contact.next_summary) {
                continue;
            }
            contact.next_summary = now + if retry { RETRY_PERIOD } else { SUMMARY_PERIOD };
            contact.attempts += 1;
            due.push(DueSummary { zone: zone.clone(), silent, attempt: contact.attempts });
        }
        due
    }
}
