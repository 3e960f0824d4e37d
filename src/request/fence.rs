//! The epoch fence: decides whether a VM may run a request of which it has no record.
//!
//! Each change of the view starts an epoch with a pair of owners for each key. A request may run in
//! the current epoch only if no owner of an earlier epoch has run it or ever will.
//! `docs/design/requests.md` has the proof.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    member::{Member, View},
    name::Name,
    request::record::RECORD_LIFETIME,
    spread::LEASE_DURATION,
    time::Time,
};

/// Time after which a VM that left the view has either ended or noticed that its lease has lapsed.
const TAKEOVER_DELAY: Duration = Duration::from_secs(LEASE_DURATION.as_secs() + 1);

/// Time for which owners without a lease continue while another VM is missing.
const MAX_LAPSED_RUN: Duration = Duration::from_secs(180);

/// Time after which no earlier owner can have run a request that may still be retransmitted.
const EPOCH_RETENTION: Duration = Duration::from_secs(
    TAKEOVER_DELAY.as_secs() + MAX_LAPSED_RUN.as_secs() + RECORD_LIFETIME.as_secs(),
);

/// Time for which a VM that left the view counts as missing unless it returns.
const MISSING_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Time in which a VM learns of the epochs before its start.
const LEARN_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of earlier epochs that a VM keeps.
const MAX_EPOCHS: usize = 128;

/// Number of view members in one message of epochs.
const MEMBERS_PER_PART: usize = 64;

/// A view that was in force until it was replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// Time since its end, in milliseconds.
    pub age_ms: u64,
    /// The view.
    pub view: View,
}

/// Name and incarnation of a VM, which identify one process.
pub(crate) type ProcessId = (Name, u64);

/// Whether a request without a record may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Decision {
    /// No earlier owner has run it, and none will once the current second owner holds the record.
    Allow,
    /// Not yet known.
    Wait,
    /// These processes have to release it first.
    AskRelease(Vec<ProcessId>),
    /// An earlier owner may have run it, and no remaining VM knows.
    Unknown,
}

/// The earlier epochs that a VM knows.
pub(crate) struct Fence {
    view: View,
    /// Earlier views with the time at which each was last in force, ordered by that time.
    past_views: VecDeque<(Time, View)>,
    complete: bool,
    started: Option<Time>,
    /// Until when a discarded epoch may still matter.
    uncertain_until: Time,
    /// Processes that left the view, with the time they left.
    departed: BTreeMap<ProcessId, Time>,
    /// Highest incarnation known to have ended, by name.
    ended: BTreeMap<Name, u64>,
    /// Processes of the view that have not sent their epochs.
    awaited: BTreeSet<ProcessId>,
    /// Serial and received parts of the epochs that arrived incompletely, by sender.
    received_parts: BTreeMap<ProcessId, (u64, BTreeSet<u16>)>,
    /// Incremented with each change of the epochs.
    serial: u64,
    lapsed_since: Option<Time>,
    /// Whether this VM has held a lease.
    had_lease: bool,
}

impl Fence {
    pub(crate) fn new() -> Fence {
        Fence {
            view: View::default(),
            past_views: VecDeque::new(),
            complete: false,
            started: None,
            uncertain_until: Time::ZERO,
            departed: BTreeMap::new(),
            ended: BTreeMap::new(),
            awaited: BTreeSet::new(),
            received_parts: BTreeMap::new(),
            serial: 0,
            lapsed_since: None,
            had_lease: false,
        }
    }

    /// Returns the view of the current epoch.
    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// Returns whether every relevant epoch is known.
    pub(crate) fn is_complete(&self, now: Time) -> bool {
        self.complete && now >= self.uncertain_until
    }

    /// Returns the processes that have yet to send their epochs.
    pub(crate) fn awaited(&self) -> &BTreeSet<ProcessId> {
        &self.awaited
    }

    /// Applies the view and the lease state; returns whether an epoch ended.
    pub(crate) fn update(
        &mut self,
        now: Time,
        me: &Member,
        view: View,
        lease_lapsed: bool,
    ) -> bool {
        self.started.get_or_insert(now);
        self.update_lease(now, lease_lapsed);
        self.discard_expired(now);
        if self.view.members == view.members {
            return false;
        }
        let last = std::mem::replace(&mut self.view, view);
        let known: BTreeSet<ProcessId> = last.members.values().map(process_id).collect();
        let new = self.view.members.values().map(process_id).filter(|new| !known.contains(new));
        self.awaited.extend(new.filter(|new| *new != process_id(me)));
        let live = &self.view.members;
        let is_live =
            |(name, n): &ProcessId| live.get(name).is_some_and(|member| member.incarnation == *n);
        self.awaited.retain(is_live);
        self.received_parts.retain(|process_id, _| is_live(process_id));
        self.serial += 1;
        if !last.members.is_empty() {
            self.add_epoch(now, last);
        }
        true
    }

    /// Records that a process is known to have ended.
    pub(crate) fn mark_ended(&mut self, process_id: ProcessId) {
        let last = self.ended.entry(process_id.0).or_default();
        *last = (*last).max(process_id.1);
    }

    /// Returns the version of the epochs.
    pub(crate) fn serial(&self) -> u64 {
        self.serial
    }

    /// Returns the epochs, including the current one, in parts for another VM.
    pub(crate) fn epochs(&self, now: Time) -> Vec<Vec<Epoch>> {
        let age = |ended: Time| now.since(ended).as_millis() as u64;
        let past = self.past_views.iter().map(|(ended, view)| (age(*ended), view));
        let epochs = past
            .chain([(0, &self.view)])
            .map(|(age_ms, view)| Epoch { age_ms, view: view.clone() })
            .collect::<Vec<_>>();
        let size = MEMBERS_PER_PART / self.view.members.len().max(1);
        epochs.chunks(size.max(1)).map(<[Epoch]>::to_vec).collect()
    }

    /// Adds the epochs of another VM, which may have been on the other side of a partition.
    pub(crate) fn add_epochs(&mut self, now: Time, epochs: Vec<Epoch>) {
        for epoch in epochs {
            let age = Duration::from_millis(epoch.age_ms);
            if age < EPOCH_RETENTION {
                let ended = now.as_micros().saturating_sub(age.as_micros() as u64);
                self.add_epoch(Time::from_micros(ended), epoch.view);
            }
        }
    }

    /// Records that one part of the epochs of `from` has arrived; returns whether it was the last.
    pub(crate) fn receive_part(
        &mut self,
        from: &ProcessId,
        complete: bool,
        serial: u64,
        part: u16,
        parts: u16,
    ) -> bool {
        if !self.awaited.contains(from) {
            return false;
        }
        let received = self.received_parts.entry(from.clone()).or_default();
        if received.0 != serial {
            *received = (serial, BTreeSet::new());
        }
        received.1.insert(part);
        if received.1.len() < usize::from(parts) {
            return false;
        }
        self.received_parts.remove(from);
        self.awaited.remove(from);
        self.complete |= complete;
        true
    }

    /// Concludes that no request ran before if no VM of the view knows more. A VM that is alone
    /// also needs a lease.
    pub(crate) fn conclude_start(&mut self, now: Time) {
        let has_waited = self.started.is_some_and(|started| now.since(started) >= LEARN_PERIOD);
        let all_received = self.awaited.is_empty();
        let may_conclude = self.view.members.len() > 1 || self.lapsed_since.is_none();
        self.complete |= has_waited && all_received && may_conclude;
    }

    /// Decides on a request without a record for `key`, whose owner is `me`; the processes in
    /// `released` have promised not to run it.
    pub(crate) fn check(
        &self,
        now: Time,
        key: u64,
        me: &Member,
        released: &BTreeSet<ProcessId>,
    ) -> Decision {
        if !self.complete || !self.awaited.is_empty() {
            return Decision::Wait;
        }
        if now < self.uncertain_until || self.may_be_superseded(now) {
            return Decision::Unknown;
        }
        if is_forming(&self.view, key) {
            return Decision::Wait;
        }
        let second = self.view.owners(key).1.map(process_id);
        let current = [Some(process_id(me)), second];
        let mut decision = Decision::Allow;
        for (_, view) in self.past_views.iter().filter(|(_, view)| !is_forming(view, key)) {
            let pair = view.owners(key);
            let pair = [pair.0.map(process_id), pair.1.map(process_id)];
            if pair[0].is_none() || pair == current {
                continue;
            }
            match (
                self.check_pair(now, &current, pair.into_iter().flatten(), released),
                &mut decision,
            ) {
                (Decision::Unknown, _) => return Decision::Unknown,
                (Decision::Wait, decision) => *decision = Decision::Wait,
                (Decision::AskRelease(more), Decision::AskRelease(pending)) => pending.extend(more),
                (Decision::AskRelease(pending), decision @ Decision::Allow) => {
                    *decision = Decision::AskRelease(pending)
                }
                _ => {}
            }
        }
        decision
    }

    /// Decides on the owners of one earlier epoch: at least one must be left that knows, and each
    /// must have released the request or ended.
    fn check_pair(
        &self,
        now: Time,
        current: &[Option<ProcessId>; 2],
        pair: impl Iterator<Item = ProcessId>,
        released: &BTreeSet<ProcessId>,
    ) -> Decision {
        let mut holders = 0;
        let mut wait = false;
        let mut pending = Vec::new();
        for process_id in pair {
            if current.iter().flatten().any(|current| *current == process_id) {
                holders += 1;
            } else if self.is_live(&process_id) {
                holders += 1;
                if !released.contains(&process_id) {
                    pending.push(process_id);
                }
            } else if !self.has_ended(&process_id) {
                if self.lapsed_since.is_some() {
                    return Decision::Unknown;
                }
                let departed_at = self.departed.get(&process_id).copied().unwrap_or(now);
                wait |= now.since(departed_at) < TAKEOVER_DELAY;
            }
        }
        match (holders, wait, pending.is_empty()) {
            (0, _, _) => Decision::Unknown,
            (_, true, _) => Decision::Wait,
            (_, _, false) => Decision::AskRelease(pending),
            _ => Decision::Allow,
        }
    }

    /// Returns whether `process_id` is in the current view.
    pub(crate) fn is_live(&self, process_id: &ProcessId) -> bool {
        let member = self.view.members.get(&process_id.0);
        member.is_some_and(|member| member.incarnation == process_id.1)
    }

    fn has_ended(&self, process_id: &ProcessId) -> bool {
        let newer = self.view.members.get(&process_id.0);
        newer.is_some_and(|member| member.incarnation > process_id.1)
            || self.ended.get(&process_id.0).is_some_and(|&last| last >= process_id.1)
    }

    /// Returns whether the lease has been lapsed for so long, with another VM missing, that the
    /// other side of a partition may have taken over.
    fn may_be_superseded(&self, now: Time) -> bool {
        let Some(since) = self.lapsed_since else { return false };
        now.since(since) >= MAX_LAPSED_RUN && self.is_missing()
    }

    /// Returns whether a process that left the view may still be running.
    fn is_missing(&self) -> bool {
        self.departed
            .keys()
            .any(|process_id| !self.is_live(process_id) && !self.has_ended(process_id))
    }

    /// Applies the lease state. When a lease is renewed, the other side of a partition may have
    /// lost its lease, and requests that it ran may be retransmitted current.
    fn update_lease(&mut self, now: Time, lease_lapsed: bool) {
        match (self.lapsed_since, lease_lapsed) {
            (None, true) => self.lapsed_since = Some(now),
            (Some(since), false) => {
                if self.had_lease && now.since(since) >= TAKEOVER_DELAY && self.is_missing() {
                    self.uncertain_until = self.uncertain_until.max(now + EPOCH_RETENTION);
                }
                self.lapsed_since = None;
            }
            _ => {}
        }
        self.had_lease |= !lease_lapsed;
    }

    /// Adds an epoch that was in force until `ended`.
    fn add_epoch(&mut self, ended: Time, mut view: View) {
        view.version = 0;
        for member in view.members.values() {
            let process_id = process_id(member);
            if !self.is_live(&process_id) {
                let departed_at = self.departed.entry(process_id).or_insert(ended);
                *departed_at = ended.max(*departed_at);
            }
        }
        self.departed.retain(|(name, n), _| {
            self.view.members.get(name).is_none_or(|member| member.incarnation != *n)
        });
        if let Some(index) = self.past_views.iter().position(|(_, known)| *known == view) {
            if self.past_views[index].0 >= ended {
                return;
            }
            self.past_views.remove(index);
        }
        self.serial += 1;
        let index = self.past_views.partition_point(|(at, _)| *at <= ended);
        self.past_views.insert(index, (ended, view));
        if self.past_views.len() > MAX_EPOCHS
            && let Some((at, _)) = self.past_views.pop_front()
        {
            self.uncertain_until = self.uncertain_until.max(at + EPOCH_RETENTION);
        }
    }

    fn discard_expired(&mut self, now: Time) {
        while self.past_views.front().is_some_and(|(ended, _)| now.since(*ended) >= EPOCH_RETENTION)
        {
            self.past_views.pop_front();
        }
        self.departed.retain(|_, at| now.since(*at) < MISSING_RETENTION);
    }
}

/// Returns whether other VMs of `view` have yet to become owners besides the first one. Requests
/// without a record have to wait then, as during a cold start the first VM would be the only one
/// with a record.
fn is_forming(view: &View, key: u64) -> bool {
    view.members.len() > 1 && view.owners(key).1.is_none()
}

/// Returns the name and incarnation of `member`.
pub(crate) fn process_id(member: &Member) -> ProcessId {
    (member.name.clone(), member.incarnation)
}
