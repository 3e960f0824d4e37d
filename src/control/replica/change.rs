//! A leader's side of replication, and changes of the members, one at a time.

use std::collections::BTreeSet;

use super::{
    Actions, BATCH, HEARTBEAT, INSTALL_RETRY, LEARNER_HEARTBEAT, Replica, Role,
    lead::Lead,
    message::{Identity, Mark, Members, Payload, ReplicaMessage, Seat},
};
use crate::{name::Name, time::Time};

impl Replica {
    pub(super) fn tick_leader(&mut self, now: Time, out: &mut Actions) {
        let Role::Leader(lead) = &mut self.role else { return };
        if !lead.has_quorum(now, self.me, &self.members) {
            self.follow(now, self.hard.term, None, out);
            return;
        }
        let mut due = Vec::new();
        if now >= lead.beat {
            lead.beat = now + HEARTBEAT;
            due.extend(self.members.voters.keys().copied());
        }
        if now >= lead.learner_beat {
            lead.learner_beat = now + LEARNER_HEARTBEAT;
            due.extend(self.members.learners.keys().copied());
        }
        for peer in due {
            self.replicate(now, peer, out);
        }
    }

    /// Follows the newest members as the leader.
    pub(super) fn follow_members(&mut self, now: Time) {
        let last = self.log.last().index;
        if let Role::Leader(lead) = &mut self.role {
            lead.follow(now, self.me, &self.members, last);
        }
    }

    /// Sends every replica what it lacks, or a heartbeat.
    pub(super) fn broadcast(&mut self, now: Time, out: &mut Actions) {
        let Role::Leader(lead) = &self.role else { return };
        let peers: Vec<_> = lead.peers.keys().copied().collect();
        for peer in peers {
            self.replicate(now, peer, out);
        }
    }

    fn replicate(&mut self, now: Time, to: Identity, out: &mut Actions) {
        let Role::Leader(lead) = &mut self.role else { return };
        let Some(peer) = lead.peers.get_mut(&to) else { return };
        let term = self.hard.term;
        let Some(prev) = self.log.mark(peer.next - 1) else {
            let message = if peer.install.is_none_or(|at| now.since(at) >= INSTALL_RETRY) {
                peer.install = Some(now);
                let snapshot = self.snapshot.clone();
                ReplicaMessage::Install { term, snapshot, sent: now }
            } else {
                let (prev, entries) = (Mark::default(), Vec::new());
                ReplicaMessage::Append { term, prev, entries, commit: 0, sent: now }
            };
            self.send(to, message, out);
            return;
        };
        let entries = self.log.after(prev.index, BATCH).to_vec();
        peer.next += entries.len() as u64;
        let commit = self.commit;
        self.send(to, ReplicaMessage::Append { term, prev, entries, commit, sent: now }, out);
    }

    pub(super) fn acked(
        &mut self,
        now: Time,
        from: Identity,
        term: u64,
        index: u64,
        sent: Time,
        out: &mut Actions,
    ) {
        let (base, last) = (self.log.base().index, self.last().index);
        let Some(lead) = self.lead_of(term) else { return };
        let Some(peer) = lead.peers.get_mut(&from) else { return };
        peer.heard = now;
        peer.sent = peer.sent.max(sent);
        peer.matched = peer.matched.max(index.min(last));
        if peer.next <= peer.matched {
            peer.next = peer.matched + 1;
        }
        if peer.next > base {
            peer.install = None;
            if peer.next <= last {
                self.replicate(now, from, out);
            }
        }
        self.advance(now, out);
    }

    pub(super) fn mismatch(
        &mut self,
        now: Time,
        from: Identity,
        term: u64,
        hint: u64,
        sent: Time,
        out: &mut Actions,
    ) {
        let Some(lead) = self.lead_of(term) else { return };
        let Some(peer) = lead.peers.get_mut(&from) else { return };
        peer.heard = now;
        peer.sent = peer.sent.max(sent);
        let next = (hint.saturating_add(1)).max(peer.matched + 1);
        if next < peer.next {
            peer.next = next;
            self.replicate(now, from, out);
        }
    }

    fn lead_of(&mut self, term: u64) -> Option<&mut Lead> {
        match &mut self.role {
            Role::Leader(lead) if term == self.hard.term => Some(lead),
            _ => None,
        }
    }

    /// Commits what a quorum has synced, where the newest of it is of the own term.
    pub(super) fn advance(&mut self, now: Time, out: &mut Actions) {
        let Role::Leader(lead) = &self.role else { return };
        let agreed = lead.agreed(self.me, &self.members, self.durable.synced());
        let own = self.log.get(agreed).is_some_and(|entry| entry.term == self.hard.term);
        if agreed <= self.commit || !own {
            return;
        }
        self.commit = agreed;
        // Without this, followers learn of it with the next heartbeat only.
        self.broadcast(now, out);
        let removed = !self.members.voters.contains_key(&self.me);
        if removed && self.commit >= self.changed {
            self.follow(now, self.hard.term, None, out);
        }
    }

    /// Remembers, as the leader, that a replica asked to be taken in.
    pub fn join(&mut self, replica: Identity, seat: Seat) {
        if let Role::Leader(lead) = &mut self.role {
            lead.join(replica, seat);
        }
    }

    /// Proposes, as the leader, the next change of the members that is due, one at a time.
    ///
    /// A replica starts as a learner. It becomes a voter when its control VM is one of `wanted`
    /// or has a voter already, once it holds everything that is committed, synced. The voter that
    /// it replaces leaves after that.
    pub fn change(&mut self, now: Time, wanted: &BTreeSet<Name>, out: &mut Actions) {
        let Role::Leader(lead) = &self.role else { return };
        // The first entry of the term has to be committed first, else two leaders could change
        // the same members (Ongaro, raft-dev list, 2015).
        if self.changed > self.commit || self.commit < lead.start {
            return;
        }
        let next = self.leaving(now, lead).or_else(|| self.promoted(now, lead, wanted));
        if let Some(members) = next.or_else(|| self.joined(now, lead)) {
            self.propose(now, Payload::Members(members), out);
        }
    }

    fn joined(&self, now: Time, lead: &Lead) -> Option<Members> {
        // Two running VMs of one name are a fault of their settings; the first one stays.
        let (voters, learners) = (&self.members.voters, &self.members.learners);
        let taken = |seat: &Seat| {
            let mut voters = voters.iter().filter(|(_, other)| other.name == seat.name);
            let mut learners = learners.iter().filter(|(_, other)| other.name == seat.name);
            voters.any(|(&other, _)| other == self.me || lead.is_near(now, other))
                || learners.any(|(&other, _)| lead.is_present(now, other))
        };
        let (&replica, seat) = lead.joining.iter().find(|(_, seat)| !taken(seat))?;
        let mut members = self.members.clone();
        members.learners.retain(|_, other| other.name != seat.name);
        members.learners.insert(replica, seat.clone());
        Some(members)
    }

    fn promoted(&self, now: Time, lead: &Lead, wanted: &BTreeSet<Name>) -> Option<Members> {
        let is_due = |replica: Identity, seat: &Seat| {
            let same = self.members.voters.iter().find(|(_, voter)| voter.name == seat.name);
            let free = match same {
                Some((&voter, _)) => voter != self.me && !lead.is_near(now, voter),
                None if self.voters > 0 => self.lacks_voter(now, lead),
                None => wanted.contains(&seat.name),
            };
            let held = lead.peers.get(&replica).is_some_and(|peer| peer.matched >= self.commit);
            free && held && lead.is_present(now, replica)
        };
        let (&replica, _) =
            self.members.learners.iter().find(|(replica, seat)| is_due(**replica, seat))?;
        let mut members = self.members.clone();
        let seat = members.learners.remove(&replica)?;
        members.voters.insert(replica, seat);
        Some(members)
    }

    /// Returns whether fewer voters than wanted are left, without those that are lost.
    fn lacks_voter(&self, now: Time, lead: &Lead) -> bool {
        let left = |voter: &&Identity| **voter == self.me || !lead.is_lost(now, **voter);
        self.members.voters.keys().filter(left).count() < self.voters
    }

    /// Returns a voter that is lost while the others are as many as wanted.
    fn lost(&self, now: Time, lead: &Lead) -> Option<Identity> {
        let over = self.voters > 0 && self.members.voters.len() > self.voters;
        let lost = |voter: &&Identity| **voter != self.me && lead.is_lost(now, **voter);
        self.members.voters.keys().find(lost).copied().filter(|_| over)
    }

    /// Returns the members without a voter that another voter has replaced.
    fn leaving(&self, now: Time, lead: &Lead) -> Option<Members> {
        let replaced = |replica: Identity, seat: &Seat| {
            let mut others = self.members.voters.iter().filter(|(other, _)| **other != replica);
            replica != self.me
                && !lead.is_near(now, replica)
                && others.any(|(other, voter)| {
                    voter.name == seat.name && (*other == self.me || lead.is_near(now, *other))
                })
        };
        let same = self.members.voters.iter().find(|(replica, seat)| replaced(**replica, seat));
        let replica = same.map(|(&replica, _)| replica).or_else(|| self.lost(now, lead))?;
        let mut members = self.members.clone();
        members.voters.remove(&replica);
        Some(members)
    }
}
