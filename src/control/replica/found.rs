//! The first entry of a new log.

use std::collections::BTreeSet;

use super::{
    Actions, Replica, Role,
    message::{Entry, HardState, LogId, Members, Payload, ReplicaId, ReplicaMessage},
};
use crate::time::Time;

/// Term of a log that is formed without a vote.
const FIRST_TERM: u64 = 1;
/// Earliest term of a log that is formed by vote, so that no two logs have the same first entry.
const FOUNDING_TERM: u64 = 2;

impl Replica {
    /// Bootstraps a new log with `members` as its first entry.
    ///
    /// Does nothing if a log or snapshot exists.
    pub fn bootstrap(&mut self, members: Members, out: &mut Actions) {
        if self.last() != LogId::default() {
            return;
        }
        let term = self.hard_state.term.max(FIRST_TERM);
        self.set_hard_state(HardState { term, ..self.hard_state }, out);
        let entry = Entry { term, payload: Payload::Members(members) };
        self.replace_suffix(1, vec![entry], out);
        self.skip_timeout_if_alone(Time::ZERO);
    }

    /// Asks each voter of `members` to let this replica form the log with them.
    ///
    /// A quorum would not do, as a voter that lost its disk does not know what it has stored or
    /// promised. One that grants its vote has no log, and accepts none of an earlier term later. So
    /// a log that was formed before is on no disk but its founder's, and stays there.
    ///
    /// Returns whether it did so: there must be no log and no leader, and some time must have passed
    /// since the last attempt and since it granted its vote.
    pub(crate) fn found(&mut self, now: Time, members: Members, out: &mut Actions) -> bool {
        let is_led = self.leader.is_some() || self.last() != LogId::default();
        if is_led || self.halted || self.is_stopping() || now < self.election_deadline {
            return false;
        }
        let (me, term) = (self.id, (self.hard_state.term + 1).max(FOUNDING_TERM));
        let voters: Vec<_> = members.voters.keys().copied().collect();
        self.election_count += 1;
        self.reset_election_deadline(now);
        self.role = Role::Founder { members, granted: BTreeSet::new() };
        self.set_hard_state(HardState { term, vote: Some(me) }, out);
        for to in voters.into_iter().filter(|to| *to != me) {
            let last_entry = LogId::default();
            self.send(to, ReplicaMessage::RequestVote { term, last_entry, pre_vote: false }, out);
        }
        true
    }

    /// Records that a voter lets this replica form the log. Once all of them do, it forms the log and
    /// leads.
    pub(super) fn record_consent(&mut self, now: Time, from: ReplicaId, out: &mut Actions) {
        let Role::Founder { members, granted } = &mut self.role else { return };
        granted.insert(from);
        if !members.voters.keys().all(|voter| granted.contains(voter)) {
            return;
        }
        let members = members.clone();
        let entry = Entry { term: self.hard_state.term, payload: Payload::Members(members) };
        self.replace_suffix(1, vec![entry], out);
        self.change_reason = Some((self.members_index, "all seeds agreed to form the log".into()));
        self.become_leader(now, out);
    }
}
