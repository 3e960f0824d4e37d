//! The epoch fence: whether a VM may run a request of which it has no record.
//!
//! Each change of the view starts an epoch with a pair of owners for each key. A request may
//! run in the present epoch only when the pair of no earlier epoch has run it or ever will.
//! `docs/design/requests.md` has the argument.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    member::{Member, View},
    name::Name,
    request::record::LIFETIME,
    spread::LEASE_DURATION,
    time::Time,
};

/// Time after which a VM that left the view has either ended or noticed that its lease lapsed.
const TAKEOVER: Duration = Duration::from_secs(LEASE_DURATION.as_secs() + 1);

/// Time for which owners without a lease go on while another VM is missing.
const CAREFUL_RUN: Duration = Duration::from_secs(180);

/// Time after which no earlier pair can have run a request that still may be resent.
const FORGET: Duration =
    Duration::from_secs(TAKEOVER.as_secs() + CAREFUL_RUN.as_secs() + LIFETIME.as_secs());

/// Time for which a VM that left the view counts as missing unless it is seen again.
const MISSING: Duration = Duration::from_secs(24 * 60 * 60);

/// Time in which a VM learns the epochs before its start.
const LEARN: Duration = Duration::from_secs(1);

/// Most earlier epochs that a VM remembers.
const MAX_EPOCHS: usize = 128;

/// Members of views in one message of epochs.
const PART_MEMBERS: usize = 64;

/// A view that was in force until it was replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// Time since its end, in milliseconds.
    pub age_ms: u64,
    /// The view.
    pub view: View,
}

/// Name and incarnation of a VM: one process.
pub(crate) type Process = (Name, u64);

/// Whether an unrecorded request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Check {
    /// No earlier owner has run it, and none will once the present second owner holds the record.
    Clear,
    /// Not yet known.
    Wait,
    /// These processes have to release it first.
    Ask(Vec<Process>),
    /// An earlier owner may have run it, and nobody is left who knows.
    Doubt,
}

/// What a VM knows of earlier epochs.
pub(crate) struct Fence {
    view: View,
    /// Earlier views with the time at which each was last in force, in order of that time.
    past: VecDeque<(Time, View)>,
    complete: bool,
    started: Option<Time>,
    /// Until when a forgotten epoch leaves doubt.
    blurred: Time,
    /// Processes that left the view, with the time.
    gone: BTreeMap<Process, Time>,
    /// Highest incarnation that ended for sure, by name.
    ended: BTreeMap<Name, u64>,
    /// Processes of the view whose epochs this VM has not been told.
    unheard: BTreeSet<Process>,
    /// Parts of the epochs of those that have told some, and the serial of these.
    heard: BTreeMap<Process, (u64, BTreeSet<u16>)>,
    /// Grows with each change of the epochs.
    serial: u64,
    careful: Option<Time>,
    /// Whether this VM has held a lease.
    leased: bool,
}

impl Fence {
    pub(crate) fn new() -> Fence {
        Fence {
            view: View::default(),
            past: VecDeque::new(),
            complete: false,
            started: None,
            blurred: Time::ZERO,
            gone: BTreeMap::new(),
            ended: BTreeMap::new(),
            unheard: BTreeSet::new(),
            heard: BTreeMap::new(),
            serial: 0,
            careful: None,
            leased: false,
        }
    }

    /// The view of the present epoch.
    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// Whether every epoch that matters is known.
    pub(crate) fn is_complete(&self, now: Time) -> bool {
        self.complete && now >= self.blurred
    }

    /// The processes that have to tell their epochs.
    pub(crate) fn unheard(&self) -> &BTreeSet<Process> {
        &self.unheard
    }

    /// Takes over the view and the lease; returns whether an epoch ended.
    pub(crate) fn update(&mut self, now: Time, me: &Member, view: View, careful: bool) -> bool {
        self.started.get_or_insert(now);
        self.renew(now, careful);
        self.forget(now);
        if self.view.members == view.members {
            return false;
        }
        let last = std::mem::replace(&mut self.view, view);
        let known: BTreeSet<Process> = last.members.values().map(process).collect();
        let new = self.view.members.values().map(process).filter(|new| !known.contains(new));
        self.unheard.extend(new.filter(|new| *new != process(me)));
        let live = &self.view.members;
        let is_live =
            |(name, n): &Process| live.get(name).is_some_and(|member| member.incarnation == *n);
        self.unheard.retain(is_live);
        self.heard.retain(|process, _| is_live(process));
        self.serial += 1;
        if !last.members.is_empty() {
            self.push(now, last);
        }
        true
    }

    /// Notes that a process ended for sure.
    pub(crate) fn end(&mut self, process: Process) {
        let last = self.ended.entry(process.0).or_default();
        *last = (*last).max(process.1);
    }

    /// Changes with the epochs.
    pub(crate) fn serial(&self) -> u64 {
        self.serial
    }

    /// Returns the epochs for another VM in parts, the present one included.
    pub(crate) fn epochs(&self, now: Time) -> Vec<Vec<Epoch>> {
        let age = |ended: Time| now.since(ended).as_millis() as u64;
        let past = self.past.iter().map(|(ended, view)| (age(*ended), view));
        let epochs = past
            .chain([(0, &self.view)])
            .map(|(age_ms, view)| Epoch { age_ms, view: view.clone() })
            .collect::<Vec<_>>();
        let size = PART_MEMBERS / self.view.members.len().max(1);
        epochs.chunks(size.max(1)).map(<[Epoch]>::to_vec).collect()
    }

    /// Takes over epochs of another VM, which may have been on the other side of a partition.
    pub(crate) fn learn(&mut self, now: Time, epochs: Vec<Epoch>) {
        for epoch in epochs {
            let age = Duration::from_millis(epoch.age_ms);
            if age < FORGET {
                let ended = now.as_micros().saturating_sub(age.as_micros() as u64);
                self.push(Time::from_micros(ended), epoch.view);
            }
        }
    }

    /// Notes that one part of the epochs of `from` was learned; returns whether it was the last.
    pub(crate) fn hear(
        &mut self,
        from: &Process,
        complete: bool,
        serial: u64,
        part: u16,
        parts: u16,
    ) -> bool {
        if !self.unheard.contains(from) {
            return false;
        }
        let heard = self.heard.entry(from.clone()).or_default();
        if heard.0 != serial {
            *heard = (serial, BTreeSet::new());
        }
        heard.1.insert(part);
        if heard.1.len() < usize::from(parts) {
            return false;
        }
        self.heard.remove(from);
        self.unheard.remove(from);
        self.complete |= complete;
        true
    }

    /// Concludes that no request ran before, where every other VM of the view is as new; a VM
    /// that is alone needs a lease for it.
    pub(crate) fn found(&mut self, now: Time) {
        let old = self.started.is_some_and(|started| now.since(started) >= LEARN);
        let heard = self.unheard.is_empty();
        let placed = self.view.members.len() > 1 || self.careful.is_none();
        self.complete |= old && heard && placed;
    }

    /// Decides on an unrecorded request of `key` whose owner is `me`; `released` have promised
    /// not to run it.
    pub(crate) fn check(
        &self,
        now: Time,
        key: u64,
        me: &Member,
        released: &BTreeSet<Process>,
    ) -> Check {
        if !self.complete || !self.unheard.is_empty() {
            return Check::Wait;
        }
        if now < self.blurred || self.is_worn(now) {
            return Check::Doubt;
        }
        if is_forming(&self.view, key) {
            return Check::Wait;
        }
        let second = self.view.owners(key).1.map(process);
        let here = [Some(process(me)), second];
        let mut check = Check::Clear;
        for (_, view) in self.past.iter().filter(|(_, view)| !is_forming(view, key)) {
            let pair = view.owners(key);
            let pair = [pair.0.map(process), pair.1.map(process)];
            if pair[0].is_none() || pair == here {
                continue;
            }
            match (self.pair(now, &here, pair.into_iter().flatten(), released), &mut check) {
                (Check::Doubt, _) => return Check::Doubt,
                (Check::Wait, check) => *check = Check::Wait,
                (Check::Ask(more), Check::Ask(ask)) => ask.extend(more),
                (Check::Ask(ask), check @ Check::Clear) => *check = Check::Ask(ask),
                _ => {}
            }
        }
        check
    }

    /// Decides on the pair of one earlier epoch: one of it has to know, and both have to have
    /// released the request or ended.
    fn pair(
        &self,
        now: Time,
        here: &[Option<Process>; 2],
        pair: impl Iterator<Item = Process>,
        released: &BTreeSet<Process>,
    ) -> Check {
        let mut holders = 0;
        let mut wait = false;
        let mut ask = Vec::new();
        for process in pair {
            if here.iter().flatten().any(|here| *here == process) {
                holders += 1;
            } else if self.is_live(&process) {
                holders += 1;
                if !released.contains(&process) {
                    ask.push(process);
                }
            } else if !self.has_ended(&process) {
                if self.careful.is_some() {
                    return Check::Doubt;
                }
                let gone = self.gone.get(&process).copied().unwrap_or(now);
                wait |= now.since(gone) < TAKEOVER;
            }
        }
        match (holders, wait, ask.is_empty()) {
            (0, _, _) => Check::Doubt,
            (_, true, _) => Check::Wait,
            (_, _, false) => Check::Ask(ask),
            _ => Check::Clear,
        }
    }

    /// Whether `process` is in the present view.
    pub(crate) fn is_live(&self, process: &Process) -> bool {
        let member = self.view.members.get(&process.0);
        member.is_some_and(|member| member.incarnation == process.1)
    }

    fn has_ended(&self, process: &Process) -> bool {
        let newer = self.view.members.get(&process.0);
        newer.is_some_and(|member| member.incarnation > process.1)
            || self.ended.get(&process.0).is_some_and(|&last| last >= process.1)
    }

    /// Whether the lease has lapsed for so long, with another VM missing, that the other side
    /// may have taken over.
    fn is_worn(&self, now: Time) -> bool {
        let Some(since) = self.careful else { return false };
        now.since(since) >= CAREFUL_RUN && self.is_missing()
    }

    /// Whether a process left the view and may still run.
    fn is_missing(&self) -> bool {
        self.gone.keys().any(|process| !self.is_live(process) && !self.has_ended(process))
    }

    /// Takes over whether the lease has lapsed. After it was renewed the other side of a
    /// partition may have lost it, and what that side ran may be resent here.
    fn renew(&mut self, now: Time, careful: bool) {
        match (self.careful, careful) {
            (None, true) => self.careful = Some(now),
            (Some(since), false) => {
                if self.leased && now.since(since) >= TAKEOVER && self.is_missing() {
                    self.blurred = self.blurred.max(now + FORGET);
                }
                self.careful = None;
            }
            _ => {}
        }
        self.leased |= !careful;
    }

    /// Adds an epoch that was in force until `ended`.
    fn push(&mut self, ended: Time, mut view: View) {
        view.version = 0;
        for member in view.members.values() {
            let process = process(member);
            if !self.is_live(&process) {
                let gone = self.gone.entry(process).or_insert(ended);
                *gone = ended.max(*gone);
            }
        }
        self.gone.retain(|(name, n), _| {
            self.view.members.get(name).is_none_or(|member| member.incarnation != *n)
        });
        if let Some(index) = self.past.iter().position(|(_, known)| *known == view) {
            if self.past[index].0 >= ended {
                return;
            }
            self.past.remove(index);
        }
        self.serial += 1;
        let index = self.past.partition_point(|(at, _)| *at <= ended);
        self.past.insert(index, (ended, view));
        if self.past.len() > MAX_EPOCHS
            && let Some((at, _)) = self.past.pop_front()
        {
            self.blurred = self.blurred.max(at + FORGET);
        }
    }

    fn forget(&mut self, now: Time) {
        while self.past.front().is_some_and(|(ended, _)| now.since(*ended) >= FORGET) {
            self.past.pop_front();
        }
        self.gone.retain(|_, at| now.since(*at) < MISSING);
    }
}

/// Whether other VMs of `view` are about to become owners beside the first one. Nothing unrecorded
/// runs then: the first VM of a cold start would be the only one to know.
fn is_forming(view: &View, key: u64) -> bool {
    view.members.len() > 1 && view.owners(key).1.is_none()
}

/// Returns name and incarnation of `member`.
pub(crate) fn process(member: &Member) -> Process {
    (member.name.clone(), member.incarnation)
}
