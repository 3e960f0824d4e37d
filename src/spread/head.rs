//! State that the head of an availability zone keeps for leases and for reports to the control VMs.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    name::Name,
    spread::{Applied, Entries, LeaseGrant, Progress},
    time::Time,
};

/// Interval between reports to a control VM.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Minimum interval between reports.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a report without an answer is abandoned.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum age of an acknowledgement in a report, counted from its arrival.
const MAX_ACK_AGE: Duration = Duration::from_millis(1_200);

/// Age after which a grant is renewed.
const GRANT_RENEWAL_AGE: Duration = Duration::from_millis(900);

/// Time for which a VM that is behind the head still gets its lease renewed.
const MAX_LAG: Duration = Duration::from_millis(1_500);

/// Time without an answer from the control VMs after which other heads are asked for entries.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of VMs whose acknowledgements are kept.
const MAX_VMS: usize = 4_096;

/// The latest acknowledgement of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Ack {
    pub(crate) applied: Applied,
    /// Time of sending, by the VM's clock.
    pub(crate) sent_at: Time,
}

struct VmLease {
    ack: Ack,
    received_at: Time,
    /// Time since which the VM has been behind the head.
    behind_since: Option<Time>,
    /// The acknowledgement that the last grant answers, and the duration of the lease.
    last_grant: Option<(Ack, Duration)>,
}

struct PendingReport {
    report: u64,
    sent_at: Time,
    acks: BTreeMap<Name, Ack>,
}

/// Leases and reports of the head.
pub(crate) struct HeadState {
    vms: BTreeMap<Name, VmLease>,
    pending: Option<PendingReport>,
    report_number: u64,
    last_report: Option<Time>,
    last_answer: Option<Time>,
    urgent: bool,
}

impl HeadState {
    pub(crate) fn new() -> HeadState {
        HeadState {
            vms: BTreeMap::new(),
            pending: None,
            report_number: 0,
            last_report: None,
            last_answer: None,
            urgent: false,
        }
    }

    /// Records an acknowledgement; one with a lower incarnation or an earlier sending time is
    /// ignored.
    pub(crate) fn record_ack(&mut self, now: Time, vm: &Name, ack: Ack) {
        let key = |ack: &Ack| (ack.applied.incarnation, ack.sent_at);
        if !self.vms.contains_key(vm) && self.vms.len() >= MAX_VMS {
            return;
        }
        match self.vms.get_mut(vm) {
            Some(vm_lease) if key(&vm_lease.ack) >= key(&ack) => {}
            Some(vm_lease) => {
                self.urgent |= vm_lease.ack.applied != ack.applied;
                vm_lease.ack = ack;
                vm_lease.received_at = now;
            }
            None => {
                self.urgent = true;
                let vm_lease =
                    VmLease { ack, received_at: now, behind_since: None, last_grant: None };
                self.vms.insert(vm.clone(), vm_lease);
            }
        }
    }

    /// Returns the next report if one is due; `after` is the last index of this VM.
    pub(crate) fn next_report(&mut self, now: Time, after: u64) -> Option<(u64, Progress)> {
        self.pending.take_if(|pending| now.since(pending.sent_at) >= REPORT_TIMEOUT);
        let period = if self.urgent { MIN_REPORT_INTERVAL } else { REPORT_PERIOD };
        let due = self.last_report.is_none_or(|reported| now.since(reported) >= period);
        if self.pending.is_some() || !due {
            return None;
        }
        self.urgent = false;
        self.last_report = Some(now);
        self.report_number += 1;
        self.vms.retain(|_, vm_lease| now.since(vm_lease.received_at) < MAX_ACK_AGE);
        for vm_lease in self.vms.values_mut() {
            let is_behind = vm_lease.ack.applied.index < after;
            vm_lease.behind_since =
                if is_behind { vm_lease.behind_since.or(Some(now)) } else { None };
        }
        let reported = self.vms.iter().filter(|(_, vm_lease)| vm_lease.needs_grant(now));
        let acks: BTreeMap<_, _> =
            reported.map(|(vm, vm_lease)| (vm.clone(), vm_lease.ack)).collect();
        let applied = acks.iter().map(|(vm, ack)| (vm.clone(), ack.applied)).collect();
        self.pending = Some(PendingReport { report: self.report_number, sent_at: now, acks });
        Some((self.report_number, Progress { after, applied }))
    }

    /// Handles the answer to `report` and returns the VMs with a new grant. An answer to an
    /// abandoned report grants nothing.
    pub(crate) fn record_answer(&mut self, now: Time, report: u64, entries: &Entries) -> Vec<Name> {
        let Some(pending) = self.pending.take_if(|pending| pending.report == report) else {
            return Vec::new();
        };
        self.last_answer = Some(now);
        self.urgent |= !entries.commands.is_empty() || entries.snapshot.is_some();
        if entries.lease.is_zero() {
            return Vec::new();
        }
        let mut granted = Vec::new();
        let holders =
            pending.acks.into_iter().filter(|(_, ack)| ack.applied.index >= entries.least);
        for (vm, ack) in holders {
            let Some(vm_lease) = self.vms.get_mut(&vm) else { continue };
            vm_lease.last_grant = Some((ack, entries.lease));
            granted.push(vm);
        }
        granted
    }

    /// Returns the last grant to `vm`.
    pub(crate) fn grant(&self, vm: &str) -> Option<LeaseGrant> {
        let (ack, duration) = self.vms.get(vm)?.last_grant?;
        Some(LeaseGrant { incarnation: ack.applied.incarnation, acked_at: ack.sent_at, duration })
    }

    /// Returns whether the control VMs have not answered for [`CONTROL_TIMEOUT`]; `since` is the
    /// time at which this VM became head.
    pub(crate) fn is_cut_off(&self, now: Time, since: Time) -> bool {
        let last = self.last_answer.map_or(since, |answered| answered.max(since));
        now.since(last) >= CONTROL_TIMEOUT
    }
}

impl VmLease {
    /// Returns whether the lease is due for renewal. A VM that stays behind gets no renewal, so
    /// that its lease expires and it does not delay changes.
    fn needs_grant(&self, now: Time) -> bool {
        if self.behind_since.is_some_and(|behind| now.since(behind) >= MAX_LAG) {
            return false;
        }
        self.last_grant.is_none_or(|(granted, _)| {
            granted.applied != self.ack.applied
                || self.ack.sent_at.since(granted.sent_at) >= GRANT_RENEWAL_AGE
        })
    }
}
