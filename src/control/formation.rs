//! How a replica that belongs to no log finds one, or makes the first with the other voters.
//!
//! A log is made only when every voter of the settings is there and belongs to none, by the voter
//! whose name comes first. A voter that was wiped therefore never makes a second log beside the
//! one that the others keep: it asks to be taken in.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    control::replica::{Identity, Members, Seat},
    name::Name,
    time::Time,
};

/// Time between two probes.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Time for which an answer to a probe holds.
const FRESH: Duration = Duration::from_millis(2_000);

/// What a replica outside of a log has learned.
#[derive(Debug, Clone)]
pub(crate) struct Formation {
    /// Control VMs that are to have a voter.
    voters: BTreeMap<Name, SocketAddr>,
    free: BTreeMap<Name, (Time, Identity, Seat)>,
    formed: bool,
    due: Time,
}

impl Formation {
    pub(crate) fn new(voters: BTreeMap<Name, SocketAddr>) -> Formation {
        Formation { voters, free: BTreeMap::new(), formed: false, due: Time::ZERO }
    }

    /// Returns the formation of a replica that makes no log itself.
    pub(crate) fn with_joining(mut self) -> Formation {
        self.formed = true;
        self
    }

    /// Returns the names of the control VMs that are to have a voter.
    pub(crate) fn names(&self) -> BTreeSet<Name> {
        self.voters.keys().cloned().collect()
    }

    /// Returns where to probe now: the voters of the settings and `members`, those of the log.
    pub(crate) fn probes(
        &mut self,
        now: Time,
        me: &Seat,
        members: BTreeSet<SocketAddr>,
    ) -> Vec<SocketAddr> {
        if now < self.due {
            return Vec::new();
        }
        self.due = now + PROBE_PERIOD;
        let mut targets = members;
        targets.extend(self.voters.values());
        targets.remove(&me.addr);
        targets.into_iter().collect()
    }

    /// Takes over an answer to a probe.
    pub(crate) fn present(&mut self, now: Time, from: Identity, seat: Seat, formed: bool) {
        self.formed |= formed;
        if self.voters.contains_key(&seat.name) {
            self.free.insert(seat.name.clone(), (now, from, seat));
        }
    }

    /// Returns the members of the log that `me` is to make now, if any.
    pub(crate) fn members(&self, now: Time, me: Identity, seat: &Seat) -> Option<Members> {
        let first = self.voters.keys().next().is_none_or(|name| *name == seat.name);
        if self.formed || !first {
            return None;
        }
        let mut members = Members::new([(me, seat.clone())]);
        for name in self.voters.keys().filter(|name| **name != seat.name) {
            let (at, other, seat) = self.free.get(name)?;
            if now.since(*at) > FRESH {
                return None;
            }
            members.voters.insert(*other, seat.clone());
        }
        Some(members)
    }
}
