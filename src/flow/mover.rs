//! Decides on the control leader which steps of bucket moves are due.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    flow::{MovePhase, Placement, Step},
    name::Name,
    packet::Protocol,
    spread::Acks,
    state::{Command, State},
    time::Time,
};

/// Delay between the last acknowledgement of a prepare step and its commit step. It covers the
/// first retransmission of a TCP SYN (RFC 6298, section 2), so that the owner sees it before the
/// commit.
const SYN_GUARD: Duration = Duration::from_secs(1);

/// Time after which a step that had no effect is submitted again.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time for which an address stays unassigned after a service has released it.
const QUARANTINE: Duration = Duration::from_secs(30);

/// Decides which steps of bucket moves are due. The control leader creates a new one in each term.
///
/// ```
/// use galenatrail::{Acks, MoveScheduler, State, Time};
///
/// let mut scheduler = MoveScheduler::new();
/// let mut out = Vec::new();
/// scheduler.tick(Time::ZERO, &State::new(), &Acks::new(), &mut out);
/// assert!(out.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct MoveScheduler {
    prepares_acked: BTreeMap<(Name, u64), Time>,
    releases_acked: BTreeMap<(Name, u64), Time>,
    submitted: BTreeMap<Name, Vec<(Step, Time)>>,
}

impl MoveScheduler {
    /// Returns a scheduler that has not submitted any step.
    pub fn new() -> MoveScheduler {
        MoveScheduler::default()
    }

    /// Appends the commands that are due to `out`. `state` is the state of the synced log and
    /// `acks` holds the acknowledgements received by this leader.
    pub fn tick(&mut self, now: Time, state: &State, acks: &Acks, out: &mut Vec<Command>) {
        // Without a valid lease, a VM sends every packet through the owner of its bucket.
        let floor = acks.floor(now).unwrap_or(u64::MAX);
        self.prune(state);
        for (service, placement) in &state.placements {
            let mut due = self.due_commits(now, floor, state, service, placement);
            due.extend(due_prepare(placement));
            due.extend(due_finish(floor, placement));
            self.submit(now, service, due, out);
        }
        let given: BTreeSet<_> = state.quarantine.values().map(|given| &given.service).collect();
        for service in given {
            let due = self.due_release(now, floor, state, service);
            self.submit(now, service, due, out);
        }
    }

    fn submit(
        &mut self,
        now: Time,
        service: &Name,
        due: impl IntoIterator<Item = Step>,
        out: &mut Vec<Command>,
    ) {
        for step in due {
            if self.mark_submitted(now, service, &step) {
                out.push(Command::Step { service: service.clone(), step });
            }
        }
    }

    fn due_commits(
        &mut self,
        now: Time,
        floor: u64,
        state: &State,
        service: &Name,
        placement: &Placement,
    ) -> Vec<Step> {
        let guard = min_prepare_time(state, service);
        let mut due = Vec::new();
        for (generation, is_evacuated) in preparing_generations(placement) {
            if generation > floor {
                continue;
            }
            let since = *self.prepares_acked.entry((service.clone(), generation)).or_insert(now);
            // Evacuated buckets keep no flow at the old target, so no flow has to be seen first.
            if is_evacuated || now.since(since) >= guard {
                due.push(Step::Commit { generation });
            }
        }
        due
    }

    fn due_release(
        &mut self,
        now: Time,
        floor: u64,
        state: &State,
        service: &Name,
    ) -> Option<Step> {
        let given = state.quarantine.values().filter(|given| given.service == *service);
        let mut due = None;
        for generation in given.map(|given| given.generation).filter(|&index| index <= floor) {
            let since = *self.releases_acked.entry((service.clone(), generation)).or_insert(now);
            if now.since(since) >= QUARANTINE {
                due = due.max(Some(generation));
            }
        }
        due.map(|generation| Step::Release { generation })
    }

    /// Records that `step` is submitted at `now`; returns false if it was already submitted within
    /// [`RETRY_INTERVAL`].
    fn mark_submitted(&mut self, now: Time, service: &Name, step: &Step) -> bool {
        let submitted = self.submitted.entry(service.clone()).or_default();
        submitted.retain(|(_, at)| now.since(*at) < RETRY_INTERVAL);
        if submitted.iter().any(|(other, _)| other == step) {
            return false;
        }
        submitted.push((step.clone(), now));
        true
    }

    fn prune(&mut self, state: &State) {
        let placement = |service: &Name| state.placements.get(service);
        self.prepares_acked.retain(|(service, generation), _| {
            let is_preparing = |placement: &Placement| {
                let mut buckets = placement.buckets().iter();
                buckets.any(|b| b.phase == MovePhase::Prepare && b.generation == *generation)
            };
            placement(service).is_some_and(is_preparing)
        });
        self.releases_acked.retain(|(service, generation), _| {
            let mut given = state.quarantine.values();
            given.any(|given| given.service == *service && given.generation == *generation)
        });
        self.submitted.retain(|_, steps| !steps.is_empty());
    }
}

/// Returns the generations with prepared buckets, and for each whether all of them are evacuated.
fn preparing_generations(placement: &Placement) -> BTreeMap<u64, bool> {
    let mut generations = BTreeMap::new();
    for bucket in placement.buckets().iter().filter(|b| b.phase == MovePhase::Prepare) {
        *generations.entry(bucket.generation).or_insert(true) &= placement.is_evacuated(bucket);
    }
    generations
}

/// Returns the minimum duration of the prepare phase. UDP packets do not mark the start of a flow,
/// so every existing UDP flow has to be seen once, which takes up to the idle time.
fn min_prepare_time(state: &State, service: &Name) -> Duration {
    let spec = state.tree.services().find(|(_, name, _)| *name == service);
    match spec {
        Some((_, _, spec)) if spec.protocol == Protocol::Udp => {
            Duration::from_secs(spec.idle_s.into())
        }
        _ => SYN_GUARD,
    }
}

fn due_prepare(placement: &Placement) -> Option<Step> {
    let is_preparing = placement.buckets().iter().any(|b| b.phase == MovePhase::Prepare);
    let is_due = placement.is_urgent() || (!is_preparing && placement.can_prepare());
    is_due.then_some(Step::Prepare { generation: placement.generation })
}

fn due_finish(floor: u64, placement: &Placement) -> Option<Step> {
    let settled = placement.buckets().iter().filter(|b| b.phase == MovePhase::Settle);
    let due = settled.map(|b| b.generation).filter(|&generation| generation <= floor);
    due.max().map(|generation| Step::Finish { generation })
}
