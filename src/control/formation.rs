//! Discovery of an existing cluster and bootstrap of a new one.
//!
//! A cluster is bootstrapped only once every configured voter has answered and none of them has a
//! log. The voter with the lowest name does so at once. If it lost its disk meanwhile, it may not
//! know of a log that it has formed, and only asks to join; another voter then asks all of them for
//! their vote first ([`Replica::found`](super::Replica::found)), the one with the lower name
//! earlier.

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
/// Time that each voter gives the one with the next lower name to form the log: several probes.
const PRECEDENCE_TIME: Duration = Duration::from_millis(1_500);

/// A way to form the log.
pub(crate) enum Formation {
    /// At once: it is the first one's right unless it gave its vote away.
    Direct(Members),
    /// With the vote of each voter, as the first one may have formed a log.
    ByVote(Members),
}

/// Bootstrap state of a replica without a log.
#[derive(Debug, Clone)]
pub(crate) struct Bootstrap {
    /// The voters that form the log together, fixed at the start.
    voters: BTreeMap<Name, SocketAddr>,
    /// Control VMs to probe, which may change.
    seeds: BTreeSet<SocketAddr>,
    candidates: BTreeMap<Name, (Time, ReplicaId, ControlEndpoint)>,
    /// Control VMs whose latest reply says that they have a log.
    holders: BTreeSet<Name>,
    /// Time since when all voters have answered and nobody has a log.
    ready_since: Option<Time>,
    join_only: bool,
    next_probe: Time,
}

impl Bootstrap {
    pub(crate) fn new(voters: BTreeMap<Name, SocketAddr>) -> Bootstrap {
        Bootstrap {
            seeds: voters.values().copied().collect(),
            voters,
            candidates: BTreeMap::new(),
            holders: BTreeSet::new(),
            ready_since: None,
            join_only: false,
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
        self.join_only = true;
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
        if log_exists {
            self.holders.insert(endpoint.name.clone());
        } else {
            self.holders.remove(&endpoint.name);
        }
        if self.voters.contains_key(&endpoint.name) {
            let (name, id) = (endpoint.name.clone(), from);
            let before = self.candidates.insert(name, (now, from, endpoint));
            if before.is_some_and(|(_, replica, _)| replica != id) {
                // A disk was lost: all others take note of the new one first.
                self.ready_since = None;
            }
        }
    }

    /// Returns how this replica should form the log now, if it should. `term` is the latest term
    /// that it has seen.
    pub(crate) fn next_formation(
        &mut self,
        now: Time,
        me: ReplicaId,
        endpoint: &ControlEndpoint,
        term: u64,
    ) -> Option<Formation> {
        if self.join_only {
            return None;
        }
        let Some(members) = self.initial_members(now, me, endpoint) else {
            self.ready_since = None;
            return None;
        };
        let rank = self.voters.keys().position(|name| *name == endpoint.name).unwrap_or(0);
        // A replica that has voted has promised not to act on its own.
        if rank == 0 && term == 0 {
            return Some(Formation::Direct(members));
        }
        let since = *self.ready_since.get_or_insert(now);
        if now.since(since) < PRECEDENCE_TIME * rank as u32 {
            return None;
        }
        Some(Formation::ByVote(members))
    }

    /// Records that the voters are asked now, so that one with a lower name asks before this one does
    /// again.
    pub(crate) fn record_attempt(&mut self, now: Time) {
        self.ready_since = Some(now);
    }

    /// Returns the voters that form the log if all of them have answered lately and none has one.
    fn initial_members(
        &self,
        now: Time,
        me: ReplicaId,
        endpoint: &ControlEndpoint,
    ) -> Option<Members> {
        let is_voter = self.voters.is_empty() || self.voters.contains_key(&endpoint.name);
        if !is_voter || !self.holders.is_empty() {
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
