//! Discovery of an existing cluster and bootstrap of a new one.
//!
//! A cluster is bootstrapped only once every configured voter has answered and none of them has a
//! log, and only by the voter with the lowest name. A voter whose disk was wiped therefore cannot
//! start a second log beside the existing one; it asks to join.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    control::replica::{ControlEndpoint, Members, ReplicaId},
    name::Name,
    time::Time,
};

/// Interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a probe reply is valid.
const PROBE_REPLY_TTL: Duration = Duration::from_millis(2_000);

/// Bootstrap state of a replica without a log.
#[derive(Debug, Clone)]
pub(crate) struct Bootstrap {
    /// The voters that form the log together, fixed at the start.
    voters: BTreeMap<Name, SocketAddr>,
    /// Control VMs to probe, which may change.
    seeds: BTreeSet<SocketAddr>,
    candidates: BTreeMap<Name, (Time, ReplicaId, ControlEndpoint)>,
    log_exists: bool,
    next_probe: Time,
}

impl Bootstrap {
    pub(crate) fn new(voters: BTreeMap<Name, SocketAddr>) -> Bootstrap {
        Bootstrap {
            seeds: voters.values().copied().collect(),
            voters,
            candidates: BTreeMap::new(),
            log_exists: false,
            next_probe: Time::ZERO,
        }
    }

    /// Replaces the control VMs to probe. Those that form the log stay: with others it could become
    /// a second one.
    pub(crate) fn set_seeds(&mut self, seeds: BTreeSet<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Forbids this replica to bootstrap a cluster.
    pub(crate) fn with_join_only(mut self) -> Bootstrap {
        self.log_exists = true;
        self
    }

    /// Returns the names of the configured voters.
    pub(crate) fn voter_names(&self) -> BTreeSet<Name> {
        self.voters.keys().cloned().collect()
    }

    /// Returns the addresses to probe now: the seeds, the configured voters and the addresses in
    /// `others`.
    pub(crate) fn probe_targets(
        &mut self,
        now: Time,
        me: &ControlEndpoint,
        others: BTreeSet<SocketAddr>,
    ) -> Vec<SocketAddr> {
        if now < self.next_probe {
            return Vec::new();
        }
        self.next_probe = now + PROBE_INTERVAL;
        let mut targets = others;
        targets.extend(&self.seeds);
        targets.extend(self.voters.values());
        targets.remove(&me.addr);
        targets.into_iter().collect()
    }

    /// Records a probe reply.
    pub(crate) fn record_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        endpoint: ControlEndpoint,
        log_exists: bool,
    ) {
        self.log_exists |= log_exists;
        if self.voters.contains_key(&endpoint.name) {
            self.candidates.insert(endpoint.name.clone(), (now, from, endpoint));
        }
    }

    /// Returns the initial members if this replica should bootstrap the cluster now.
    pub(crate) fn initial_members(
        &self,
        now: Time,
        me: ReplicaId,
        endpoint: &ControlEndpoint,
    ) -> Option<Members> {
        let first = self.voters.keys().next().is_none_or(|name| *name == endpoint.name);
        if self.log_exists || !first {
            return None;
        }
        let mut members = Members::new([(me, endpoint.clone())]);
        for name in self.voters.keys().filter(|name| **name != endpoint.name) {
            let (at, other, endpoint) = self.candidates.get(name)?;
            if now.since(*at) > PROBE_REPLY_TTL {
                return None;
            }
            members.voters.insert(*other, endpoint.clone());
        }
        Some(members)
    }
}
