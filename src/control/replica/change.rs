//! Replication by the leader, and single-server membership changes.

use std::collections::BTreeSet;

use super::{
    Actions, HEARTBEAT_INTERVAL, LEARNER_HEARTBEAT_INTERVAL, MAX_APPEND_ENTRIES, Replica, Role,
    SNAPSHOT_RETRY_INTERVAL,
    lead::LeaderState,
    message::{ControlEndpoint, LogId, Members, Payload, ReplicaId, ReplicaMessage},
};
use crate::{name::Name, time::Time};

/// A membership, and why it is due.
type Change = (Members, Name);

impl Replica {
    pub(super) fn tick_leader(&mut self, now: Time, out: &mut Actions) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.record_tick(now);
        if !leader.has_quorum(now, self.id, &self.members) {
            self.step_down(now, out);
            return;
        }
        let mut due = Vec::new();
        if now >= leader.next_heartbeat {
            leader.next_heartbeat = now + HEARTBEAT_INTERVAL;
            due.extend(self.members.voters.keys().copied());
        }
        if now >= leader.learner_heartbeat {
            leader.learner_heartbeat = now + LEARNER_HEARTBEAT_INTERVAL;
            due.extend(self.members.learners.keys().copied());
        }
        for peer in due {
            self.replicate(now, peer, out);
        }
    }

    /// Updates the peers to the current membership, if this replica is the leader.
    pub(super) fn update_peers(&mut self, now: Time) {
        let last = self.log.last().index;
        let sightings = &self.sightings;
        if let Role::Leader(leader) = &mut self.role {
            let members = &self.members;
            let seen_at = |replica| {
                let addr = members.endpoint(replica).map(|endpoint| endpoint.addr);
                sightings.seen_at(replica, addr).unwrap_or(now)
            };
            leader.set_members(now, self.id, members, last, seen_at);
        }
    }

    /// Records, as the leader, that `from` is about to end. The replies to the heartbeat show which
    /// replicas could take its place.
    pub(super) fn handle_stopping(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        out: &mut Actions,
    ) {
        let Some(leader) = self.leader_state(term) else { return };
        if leader.record_stopping(now, from) {
            self.broadcast(now, out);
        }
    }

    /// Sends missing entries or a heartbeat to every replica.
    pub(super) fn broadcast(&mut self, now: Time, out: &mut Actions) {
        let Role::Leader(leader) = &self.role else { return };
        let peers: Vec<_> = leader.peers.keys().copied().collect();
        for peer in peers {
            self.replicate(now, peer, out);
        }
    }

    fn replicate(&mut self, now: Time, to: ReplicaId, out: &mut Actions) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peers.get_mut(&to) else { return };
        let term = self.hard_state.term;
        let Some(prev) = self.log.id_at(peer.next_index - 1) else {
            let message =
                if peer.snapshot_sent.is_none_or(|at| now.since(at) >= SNAPSHOT_RETRY_INTERVAL) {
                    peer.snapshot_sent = Some(now);
                    let snapshot = self.snapshot.clone();
                    ReplicaMessage::InstallSnapshot { term, snapshot, sent: now }
                } else {
                    let (prev, entries) = (LogId::default(), Vec::new());
                    ReplicaMessage::AppendEntries { term, prev, entries, commit: 0, sent: now }
                };
            self.send(to, message, out);
            return;
        };
        let entries = self.log.entries_after(prev.index, MAX_APPEND_ENTRIES).to_vec();
        peer.next_index += entries.len() as u64;
        let commit = self.commit_index;
        self.send(
            to,
            ReplicaMessage::AppendEntries { term, prev, entries, commit, sent: now },
            out,
        );
    }

    pub(super) fn handle_append_accepted(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        index: u64,
        sent: Time,
        out: &mut Actions,
    ) {
        let (base, last) = (self.log.base().index, self.last().index);
        let members = &self.members;
        let leader = match &mut self.role {
            Role::Leader(leader) if term == self.hard_state.term => leader,
            _ => return,
        };
        if let Some(endpoint) = members.endpoint(from) {
            leader.record_speaker(now, from, &endpoint.name, members);
        }
        let Some(peer) = leader.peers.get_mut(&from) else { return };
        peer.record_reply(now, sent);
        peer.match_index = peer.match_index.max(index.min(last));
        if peer.next_index <= peer.match_index {
            peer.next_index = peer.match_index + 1;
        }
        if peer.next_index > base {
            peer.snapshot_sent = None;
            if peer.next_index <= last {
                self.replicate(now, from, out);
            }
        }
        self.advance_commit(now, out);
    }

    pub(super) fn handle_append_rejected(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        hint: u64,
        sent: Time,
        out: &mut Actions,
    ) {
        let Some(leader) = self.leader_state(term) else { return };
        let Some(peer) = leader.peers.get_mut(&from) else { return };
        peer.record_reply(now, sent);
        let next = (hint.saturating_add(1)).max(peer.match_index + 1);
        if next < peer.next_index {
            peer.next_index = next;
            self.replicate(now, from, out);
        }
    }

    fn leader_state(&mut self, term: u64) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader) if term == self.hard_state.term => Some(leader),
            _ => None,
        }
    }

    /// Advances the commit index to what a quorum has synced, if that entry is of the current term.
    pub(super) fn advance_commit(&mut self, now: Time, out: &mut Actions) {
        let Role::Leader(leader) = &self.role else { return };
        let quorum_index = leader.quorum_index(self.id, &self.members, self.writes.synced_index());
        let is_current_term =
            self.log.get(quorum_index).is_some_and(|entry| entry.term == self.hard_state.term);
        if quorum_index <= self.commit_index || !is_current_term {
            return;
        }
        self.commit_index = quorum_index;
        // Otherwise followers would learn the new commit index only from the next heartbeat.
        self.broadcast(now, out);
        let removed = !self.members.voters.contains_key(&self.id);
        if removed && self.commit_index >= self.members_index {
            self.become_follower(now, self.hard_state.term, None, out);
        }
    }

    /// Records a replica's request to join, if this replica is the leader.
    pub fn join(
        &mut self,
        now: Time,
        replica: ReplicaId,
        endpoint: ControlEndpoint,
        out: &mut Actions,
    ) {
        let Role::Leader(leader) = &mut self.role else { return };
        for other in leader.add_joining(now, replica, endpoint, &self.members) {
            self.replicate(now, other, out);
        }
    }

    /// Proposes the next due membership change, if this replica is the leader and no change is
    /// pending.
    ///
    /// A replica joins as a learner. It is promoted to voter once it has synced all committed
    /// entries, if its control VM is in `wanted`, replaces an unreachable voter of the same name,
    /// or fills a missing place (see [`Replica::with_voter_count`]). A replaced voter is removed
    /// afterwards. One that has announced its end is replaced while it still runs, and stays a
    /// learner.
    pub fn propose_membership(&mut self, now: Time, wanted: &BTreeSet<Name>, out: &mut Actions) {
        let Role::Leader(leader) = &self.role else { return };
        // An entry of the current term must be committed first. Otherwise two leaders could apply
        // conflicting changes to the same membership (Ongaro, raft-dev list, 2015).
        if self.members_index > self.commit_index || self.commit_index < leader.term_start {
            return;
        }
        let next = self
            .next_removal(now, leader)
            .or_else(|| self.next_demotion(now, leader))
            .or_else(|| self.next_promotion(now, leader, wanted))
            .or_else(|| self.next_learner(now, leader))
            .or_else(|| self.next_departure(now, leader));
        if let Some((members, reason)) = next {
            self.propose(now, Payload::Members(members), out);
            self.change_reason = Some((self.members_index, reason));
        }
    }

    /// Returns why this replica, as the leader, has proposed the current membership. `None` if it has
    /// not.
    pub fn change_reason(&self) -> Option<&str> {
        let (_, reason) =
            self.change_reason.as_ref().filter(|(index, _)| *index == self.members_index)?;
        self.is_leader().then_some(reason)
    }

    fn next_learner(&self, now: Time, leader: &LeaderState) -> Option<Change> {
        // Two running VMs with the same name are a configuration error; the first one stays a
        // member.
        let (voters, learners) = (&self.members.voters, &self.members.learners);
        let taken = |endpoint: &ControlEndpoint| {
            let mut voters = voters.iter().filter(|(_, other)| other.name == endpoint.name);
            let mut learners = learners.iter().filter(|(_, other)| other.name == endpoint.name);
            voters.any(|(&other, _)| other == self.id || !leader.is_silent(now, other))
                || learners.any(|(&other, _)| leader.is_learner_reachable(now, other))
        };
        let (replica, endpoint) = leader.joining(now).find(|(_, endpoint)| !taken(endpoint))?;
        let mut members = self.members.clone();
        members.learners.retain(|_, other| other.name != endpoint.name);
        members.learners.insert(replica, endpoint.clone());
        Some((members, format!("{} asked to join", endpoint.name).into()))
    }

    /// Returns the membership without a learner that has been silent for long. It joins again once
    /// it is back.
    fn next_departure(&self, now: Time, leader: &LeaderState) -> Option<Change> {
        let mut learners = self.members.learners.keys();
        let gone = *learners.find(|learner| leader.is_gone(now, **learner))?;
        let mut members = self.members.clone();
        let endpoint = members.learners.remove(&gone)?;
        Some((members, format!("{} has been away for long", endpoint.name).into()))
    }

    fn next_promotion(
        &self,
        now: Time,
        leader: &LeaderState,
        wanted: &BTreeSet<Name>,
    ) -> Option<Change> {
        let is_due = |replica: ReplicaId, endpoint: &ControlEndpoint| {
            let same = self.members.voters.iter().find(|(_, voter)| voter.name == endpoint.name);
            let free = match same {
                Some((&voter, _)) => voter != self.id && leader.is_silent(now, voter),
                None if self.voter_count > 0 => self.lacks_voter(now, leader),
                None => wanted.contains(&endpoint.name),
            };
            let caught_up = leader
                .peers
                .get(&replica)
                .is_some_and(|peer| peer.match_index >= self.commit_index);
            free && caught_up && leader.is_fit(now, replica, &self.members)
        };
        let (&replica, _) =
            self.members.learners.iter().find(|(replica, endpoint)| is_due(**replica, endpoint))?;
        let mut members = self.members.clone();
        let endpoint = members.learners.remove(&replica)?;
        let reason = format!("{} is up to date and a place is free", endpoint.name);
        members.voters.insert(replica, endpoint);
        Some((members, reason.into()))
    }

    /// Returns whether fewer than the desired number of voters remain, not counting those that are
    /// lost or about to end.
    fn lacks_voter(&self, now: Time, leader: &LeaderState) -> bool {
        let remains = |voter: &&ReplicaId| {
            **voter == self.id
                || !(self.is_lost(now, leader, **voter) || leader.is_stopping(**voter))
        };
        self.members.voters.keys().filter(remains).count() < self.voter_count
    }

    /// Returns a lost voter if there are more voters than desired.
    fn lost_voter(&self, now: Time, leader: &LeaderState) -> Option<ReplicaId> {
        let lost = |voter: &&ReplicaId| **voter != self.id && self.is_lost(now, leader, **voter);
        self.members.voters.keys().find(lost).copied().filter(|_| self.has_excess())
    }

    fn is_lost(&self, now: Time, leader: &LeaderState, voter: ReplicaId) -> bool {
        leader.is_lost(now, voter, &self.members, &self.sightings.joined())
    }

    fn has_excess(&self) -> bool {
        self.voter_count > 0 && self.members.voters.len() > self.voter_count
    }

    /// Returns the membership with one voter less, which becomes a learner, if there are more voters
    /// than desired: one that is about to end, or the one that is furthest behind if all of them are
    /// reachable. An excess voter that is not reachable comes back, or is lost and removed.
    fn next_demotion(&self, now: Time, leader: &LeaderState) -> Option<Change> {
        // An odd number bears more losses than one less.
        let is_even = self.members.voters.len().is_multiple_of(2);
        if !self.has_excess() || !is_even {
            return None;
        }
        let others = || self.members.voters.keys().copied().filter(|voter| *voter != self.id);
        let stopping = others().find(|voter| leader.is_stopping(*voter));
        let settled = || others().all(|voter| leader.is_present(now, voter));
        let behind = || others().min_by_key(|voter| leader.match_index(*voter));
        let voter = stopping.or_else(|| behind().filter(|_| settled()))?;
        let mut members = self.members.clone();
        let endpoint = members.voters.remove(&voter)?;
        let why = if leader.is_stopping(voter) { "is about to end" } else { "is furthest behind" };
        let reason = format!("{} {why}", endpoint.name);
        members.learners.insert(voter, endpoint);
        Some((members, reason.into()))
    }

    /// Returns the membership without a voter that has been replaced.
    fn next_removal(&self, now: Time, leader: &LeaderState) -> Option<Change> {
        let replaced = |replica: ReplicaId, endpoint: &ControlEndpoint| {
            let mut others = self.members.voters.iter().filter(|(other, _)| **other != replica);
            replica != self.id
                && leader.is_silent(now, replica)
                && others.any(|(other, voter)| {
                    voter.name == endpoint.name
                        && (*other == self.id || leader.is_present(now, *other))
                })
        };
        let same =
            self.members.voters.iter().find(|(replica, endpoint)| replaced(**replica, endpoint));
        let replica = same.map(|(&replica, _)| replica).or_else(|| self.lost_voter(now, leader))?;
        let mut members = self.members.clone();
        let endpoint = members.voters.remove(&replica)?;
        let silent =
            leader.peers.get(&replica).map_or(0, |peer| now.since(peer.seen_at).as_millis());
        let why =
            if leader.is_superseded(now, replica) { "has lost its disk" } else { "is silent" };
        let reason = format!("{} {why}, last seen {silent} ms ago", endpoint.name);
        Some((members, reason.into()))
    }

    /// Adopts the latest membership in the log, committed or not (Ongaro's thesis, 4.1).
    pub(super) fn update_members(&mut self) {
        let found = self.log.iter_rev().find_map(|(index, entry)| match &entry.payload {
            Payload::Members(members) => Some((index, members.clone())),
            _ => None,
        });
        let base = (self.snapshot.last_entry.index, self.snapshot.members.clone());
        (self.members_index, self.members) = found.unwrap_or(base);
    }

    pub(super) fn members_at(&self, index: u64) -> Members {
        let mut before = self.log.iter_rev().skip_while(|(at, _)| *at > index);
        let found = before.find_map(|(_, entry)| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        found.unwrap_or_else(|| self.snapshot.members.clone())
    }
}
