//! The slots of one backend server, each held under a lease.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{name::Name, time::Time};

/// Time for which a grant holds its slot unless it is renewed.
pub(crate) const GRANT_LEASE: Duration = Duration::from_secs(4);

/// Time for which a new home admits nothing unless its predecessor hands over. After it, every
/// grant of the predecessor has either been renewed at the new home or has expired.
pub(crate) const TAKEOVER_DELAY: Duration = Duration::from_secs(5);

/// Time for which the server's own count of running requests is used after a grant expired or the
/// home changed.
const UNCERTAIN_PERIOD: Duration = Duration::from_secs(10);

/// Age from which a grant missing from its holder's list counts as released, as the release message
/// must have been lost.
const UNLISTED_GRACE: Duration = Duration::from_secs(1);

/// The exchange that holds a slot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// The entry VM that runs the exchange.
    pub vm: Name,
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Identifies the exchange on that VM.
    pub ticket: u64,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    granted: Time,
    expires: Time,
}

/// The granted slots of one backend server.
#[derive(Debug, Clone, Default)]
pub(crate) struct Slots {
    grants: BTreeMap<Holder, Lease>,
    orphans: BTreeSet<Holder>,
    reported_running: u32,
    uncertain_until: Time,
}

impl Slots {
    /// Returns the number of slots in use.
    ///
    /// A request whose grant expired may still run at the server, so the larger of both counts is
    /// used for a limited time; limited, because the server's own count may be wrong.
    pub(crate) fn used(&self, now: Time) -> u32 {
        let granted = self.grants.len() as u32;
        if now < self.uncertain_until { granted.max(self.reported_running) } else { granted }
    }

    /// Returns whether `holder` holds a slot.
    pub(crate) fn holds(&self, holder: &Holder) -> bool {
        self.grants.contains_key(holder)
    }

    /// Grants a slot to `holder`, or extends its lease. Does nothing for an exchange that was ended
    /// by a restart of the server.
    pub(crate) fn hold(&mut self, now: Time, holder: Holder) {
        if self.orphans.contains(&holder) {
            return;
        }
        let expires = now + GRANT_LEASE;
        self.grants.entry(holder).or_insert(Lease { granted: now, expires }).expires = expires;
    }

    /// Releases the slot of `holder` and returns whether it held one.
    pub(crate) fn release(&mut self, holder: &Holder) -> bool {
        self.orphans.remove(holder);
        self.grants.remove(holder).is_some()
    }

    /// Applies the complete list of the tickets that `vm` holds in its current `incarnation`.
    pub(crate) fn renew(
        &mut self,
        now: Time,
        vm: &Name,
        incarnation: u64,
        tickets: &BTreeSet<u64>,
    ) {
        let is_held = |holder: &Holder| tickets.contains(&holder.ticket);
        let is_from_vm = |holder: &Holder| holder.vm == *vm && holder.incarnation == incarnation;
        self.orphans.retain(|holder| !is_from_vm(holder) || is_held(holder));
        self.grants.retain(|holder, lease| {
            !is_from_vm(holder) || is_held(holder) || now.since(lease.granted) < UNLISTED_GRACE
        });
        for &ticket in tickets {
            self.hold(now, Holder { vm: vm.clone(), incarnation, ticket });
        }
    }

    /// Records that the server has restarted, which ended all running requests: no current lease is
    /// extended any more. The slots stay in use until the leases expire, as a request sent before
    /// the restart may still be in transit.
    pub(crate) fn orphan_all(&mut self) {
        self.orphans = self.grants.keys().cloned().collect();
    }

    /// Releases every slot whose lease has expired and returns their number.
    pub(crate) fn expire(&mut self, now: Time) -> usize {
        let expired = self.grants.extract_if(.., |_, lease| lease.expires < now).count();
        if expired > 0 {
            self.mark_uncertain(now);
        }
        expired
    }

    /// Includes the server's own count of running requests for a limited time.
    pub(crate) fn mark_uncertain(&mut self, now: Time) {
        self.uncertain_until = now + UNCERTAIN_PERIOD;
    }

    /// Sets the server's own count of running requests.
    pub(crate) fn set_running(&mut self, running: u32) {
        self.reported_running = running;
    }

    /// Returns the holders of the granted slots.
    pub(crate) fn holders(&self) -> impl Iterator<Item = &Holder> {
        self.grants.keys()
    }
}
