//! Membership life cycle of this VM: joining, ready, leaving.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    entry::{FLOWS, REQUESTS},
    member::{MemberRecord, MemberStatus},
    time::Time,
};

/// Services that have to receive records from former owners before this VM can own anything.
const RECORD_SERVICES: [&str; 2] = [FLOWS, REQUESTS];

/// Time after joining after which this VM becomes ready even if a service has not reported.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a VM with seeds waits for others before it becomes ready alone. A restarted VM rejoins
/// within 1.3 to 3.3 s, so it does not own anything alone before that.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(8);

/// Minimum time between giving up ownership and leaving, unless no other VM is known.
const MIN_HANDOVER: Duration = Duration::from_secs(2);

/// Maximum time between giving up ownership and leaving.
const MAX_HANDOVER: Duration = Duration::from_secs(30);

/// Result of a life cycle step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OwnChange {
    /// Nothing has changed.
    None,
    /// The record was renewed.
    Renewed,
    /// The record was renewed after a time-out, before every service had reported.
    TimedOut,
    /// The VM has left.
    Left,
}

/// The membership record and life cycle state of this VM.
pub(crate) struct OwnMember {
    pub(crate) record: MemberRecord,
    ready_services: BTreeSet<&'static str>,
    started_at: Option<Time>,
    joined_at: Option<Time>,
    leaving_since: Option<Time>,
}

impl OwnMember {
    pub(crate) fn new(record: MemberRecord) -> OwnMember {
        OwnMember {
            record,
            ready_services: BTreeSet::new(),
            started_at: None,
            joined_at: None,
            leaving_since: None,
        }
    }

    /// Records that `service` has received the records of the former owners.
    pub(crate) fn mark_ready(&mut self, service: &'static str) {
        self.ready_services.insert(service);
    }

    /// Starts a planned leave: this VM gives up all ownership. Returns false if it is leaving
    /// already.
    pub(crate) fn start_leave(&mut self, now: Time) -> bool {
        if self.leaving_since.is_some() {
            return false;
        }
        self.leaving_since = Some(now);
        self.record.member.ready = false;
        self.record.renewal += 1;
        true
    }

    /// Renews the record if `claim`, a report by another VM, supersedes it; returns whether it was
    /// renewed.
    pub(crate) fn refute(&mut self, claim: &MemberRecord) -> bool {
        if self.record.status == MemberStatus::Left || !claim.supersedes(&self.record) {
            return false;
        }
        if claim.member.incarnation > self.record.member.incarnation {
            self.record.member.incarnation = claim.member.incarnation + 1;
        }
        self.record.renewal = claim.renewal.saturating_add(1);
        true
    }

    /// Returns whether this VM may leave; `transferred` tells whether other VMs have all its
    /// records.
    fn may_leave(&self, now: Time, since: Time, transferred: bool) -> bool {
        let waited = now.since(since);
        waited >= MIN_HANDOVER && (transferred || waited >= MAX_HANDOVER)
    }

    /// Advances the life cycle. `others` tells whether another VM is known, `owners` whether any VM
    /// is ready, and `transferred` whether other VMs have all records of this one.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        seeds: bool,
        others: bool,
        owners: bool,
        transferred: bool,
    ) -> OwnChange {
        let start = *self.started_at.get_or_insert(now);
        if others && self.joined_at.is_none() {
            self.joined_at = Some(now);
        }
        if let Some(since) = self.leaving_since {
            return self.tick_leaving(now, since, others, transferred);
        }
        if self.record.member.ready {
            return OwnChange::None;
        }
        let first = !owners && (!seeds || now.since(start) >= BOOTSTRAP_TIMEOUT);
        let all_ready =
            others && RECORD_SERVICES.iter().all(|service| self.ready_services.contains(service));
        let timed_out = self.joined_at.is_some_and(|joined| now.since(joined) >= JOIN_TIMEOUT);
        let change = match first || all_ready {
            true => OwnChange::Renewed,
            false if timed_out => OwnChange::TimedOut,
            false => return OwnChange::None,
        };
        self.record.member.ready = true;
        self.record.renewal += 1;
        change
    }

    fn tick_leaving(
        &mut self,
        now: Time,
        since: Time,
        others: bool,
        transferred: bool,
    ) -> OwnChange {
        let may_leave = !others || self.may_leave(now, since, transferred);
        if self.record.status == MemberStatus::Left || !may_leave {
            return OwnChange::None;
        }
        self.record.status = MemberStatus::Left;
        OwnChange::Left
    }
}
