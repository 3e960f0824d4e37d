//! The placement table, which maps buckets to backend servers, and the bucket moves between two
//! assignments.

use std::{collections::BTreeSet, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{flow::bucket, name::Name, packet::FlowKey};

mod retarget;

/// Maximum number of buckets of one service that move at the same time for balancing. Moves away
/// from a target that has no weight or is overloaded are not limited.
const MAX_MOVING: usize = 256;

/// Percentage of its desired buckets above which a backend server counts as overloaded.
const OVERLOAD_PERCENT: usize = 125;

/// A backend server in a placement table.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// Name of the backend server.
    pub name: Name,
    /// Address to which encapsulated packets are sent.
    pub packets: SocketAddr,
    /// Relative share of the buckets. A target of weight 0 keeps its existing flows and gets no new
    /// ones.
    pub weight: u32,
}

/// Phase of a bucket's move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MovePhase {
    /// The bucket does not move: every VM forwards its packets by the table.
    Rest,
    /// VMs start to send packets through the owner of the bucket; new flows still open at the old
    /// target.
    Prepare,
    /// New flows open at the new target and are recorded; flows without a record stay at the old
    /// target.
    Commit,
    /// All remaining flows are at the new target; VMs return to forwarding by the table.
    Settle,
}

/// A step of a bucket move. The generation is the index of the log entry that produced a table
/// version, so that a repeated or late step has no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Step {
    /// Starts to move buckets towards the desired table.
    Prepare {
        /// Generation of the table that the step is based on.
        generation: u64,
    },
    /// Opens new flows of the prepared buckets at their new targets. A bucket whose old target
    /// leaves is settled by this step, because it keeps no flow there.
    Commit {
        /// Generation of the prepare step.
        generation: u64,
    },
    /// Reports that the owner saw no flow outside the new target for the idle time.
    Settle {
        /// Generation of the buckets.
        generation: u64,
        /// Indexes of the buckets.
        buckets: Vec<u16>,
    },
    /// Completes the moves that are settled.
    Finish {
        /// Highest generation to complete.
        generation: u64,
    },
    /// Ends the quarantine of addresses that the service has released.
    Release {
        /// Highest generation of a released address.
        generation: u64,
    },
}

/// Assignment of one bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Bucket {
    /// Slot of the target for flows without a record.
    pub(crate) current: u16,
    /// Slot of the target that the bucket moves to; equal to `current` at rest.
    pub(crate) next: u16,
    pub(crate) phase: MovePhase,
    /// Index of the log entry that last changed the bucket.
    pub(crate) generation: u64,
}

impl Bucket {
    /// Returns the slot for a packet that does not open a flow and whose flow has no record.
    pub(crate) fn fallback_slot(&self) -> u16 {
        match self.phase {
            MovePhase::Settle => self.next,
            MovePhase::Rest | MovePhase::Prepare | MovePhase::Commit => self.current,
        }
    }

    /// Returns the slot at which new flows open.
    pub(crate) fn open_slot(&self) -> u16 {
        match self.phase {
            MovePhase::Rest | MovePhase::Prepare => self.current,
            MovePhase::Commit | MovePhase::Settle => self.next,
        }
    }
}

/// The placement table of one service.
///
/// New targets and weights change only the desired table; [`Step`]s then move the buckets. A target
/// that leaves keeps its place in the table until each bucket has moved away from it. Two changes
/// take effect at once: filling an empty table and reassigning the buckets of a removed target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Placement {
    /// Index of the log entry that last changed the table.
    pub generation: u64,
    /// Number of buckets reassigned at once because their backend server was removed.
    pub lost: u64,
    targets: Vec<Target>,
    /// Targets that leave and are still part of the table.
    leaving: BTreeSet<Name>,
    ids: Vec<u32>,
    desired: Vec<u16>,
    buckets: Vec<Bucket>,
}

impl Placement {
    /// Creates a placement without targets.
    pub fn new() -> Placement {
        Placement::default()
    }

    /// Applies a step at log index `index` and returns whether the table changed.
    pub(crate) fn step(&mut self, step: &Step, index: u64) -> bool {
        let changed = match step {
            Step::Prepare { generation } if *generation == self.generation => self.prepare(index),
            Step::Prepare { .. } | Step::Release { .. } => false,
            Step::Commit { generation } => self.commit(*generation, index),
            Step::Settle { generation, buckets } => self.settle(*generation, buckets, index),
            Step::Finish { generation } => self.finish(*generation, index),
        };
        if changed {
            self.generation = index;
        }
        changed
    }

    /// Returns the target for `key` without regard to flow records, or `None` if there is no
    /// target.
    pub fn target(&self, seed: u64, key: &FlowKey) -> Option<&Target> {
        let bucket = self.bucket(bucket(seed, key))?;
        self.target_in(bucket.fallback_slot())
    }

    /// Returns the number of buckets that are being moved.
    pub fn moving(&self) -> usize {
        self.buckets.iter().filter(|bucket| bucket.phase != MovePhase::Rest).count()
    }

    /// Returns the number of buckets whose move towards the desired table has not started.
    pub fn pending(&self) -> usize {
        self.buckets.iter().zip(&self.desired).filter(|(b, desired)| b.next != **desired).count()
    }

    /// Iterates over the targets with the number of buckets whose new flows open there.
    pub fn shares(&self) -> impl Iterator<Item = (&Target, usize)> {
        self.targets.iter().enumerate().map(|(slot, target)| {
            let opens = self.buckets.iter().filter(|b| usize::from(b.open_slot()) == slot);
            (target, opens.count())
        })
    }

    pub(crate) fn bucket(&self, index: usize) -> Option<&Bucket> {
        self.buckets.get(index)
    }

    pub(crate) fn buckets(&self) -> &[Bucket] {
        &self.buckets
    }

    pub(crate) fn targets(&self) -> &[Target] {
        &self.targets
    }

    pub(crate) fn target_in(&self, slot: u16) -> Option<&Target> {
        self.targets.get(usize::from(slot))
    }

    /// Returns the identifier of the target in `slot`.
    pub(crate) fn server_id_in(&self, slot: u16) -> Option<u32> {
        self.ids.get(usize::from(slot)).copied()
    }

    /// Returns the slot of the target with the identifier `id`.
    pub(crate) fn slot_of_server(&self, id: u32) -> Option<u16> {
        self.ids.iter().position(|&other| other == id).map(|slot| slot as u16)
    }

    /// Returns whether buckets have yet to start moving away from a target that has no weight or is
    /// overloaded.
    pub(crate) fn is_urgent(&self) -> bool {
        let overloaded = self.overloaded();
        self.unprepared().any(|index| overloaded[usize::from(self.buckets[index].next)])
    }

    /// Returns whether a prepare step would start the move of at least one bucket.
    pub(crate) fn can_prepare(&self) -> bool {
        self.is_urgent() || (self.moving() < MAX_MOVING && self.unprepared().next().is_some())
    }

    /// Returns whether the move of `bucket` is prepared and its old target leaves, so that its flows
    /// end with the commit step.
    pub(crate) fn is_evacuated(&self, bucket: &Bucket) -> bool {
        bucket.phase == MovePhase::Prepare && self.is_leaving(bucket.current)
    }

    fn is_leaving(&self, slot: u16) -> bool {
        self.target_in(slot).is_some_and(|target| self.leaving.contains(&target.name))
    }

    /// Iterates over the buckets that a prepare step may redirect. One that is evacuated is not
    /// redirected before its commit, which another generation would delay.
    fn unprepared(&self) -> impl Iterator<Item = usize> + '_ {
        let is_due = |index: &usize| {
            let bucket = &self.buckets[*index];
            bucket.next != self.desired[*index] && !self.is_evacuated(bucket)
        };
        (0..self.buckets.len()).filter(is_due)
    }

    /// Returns for each slot whether its target holds more buckets than the overload limit; a
    /// target without desired buckets is overloaded as soon as it holds one.
    fn overloaded(&self) -> Vec<bool> {
        let mut counts = vec![(0, 0); self.targets.len()];
        for (bucket, &desired) in self.buckets.iter().zip(&self.desired) {
            counts[usize::from(bucket.next)].0 += 1;
            counts[usize::from(desired)].1 += 1;
        }
        let is_over = |(have, desired): (usize, usize)| have * 100 > desired * OVERLOAD_PERCENT;
        counts.into_iter().map(is_over).collect()
    }

    fn prepare(&mut self, index: u64) -> bool {
        let room = MAX_MOVING.saturating_sub(self.moving());
        let overloaded = self.overloaded();
        let (urgent, others): (Vec<_>, Vec<_>) = self
            .unprepared()
            .partition(|&bucket| overloaded[usize::from(self.buckets[bucket].next)]);
        let chosen: Vec<_> = urgent.into_iter().chain(others.into_iter().take(room)).collect();
        for &bucket in &chosen {
            let desired = self.desired[bucket];
            self.buckets[bucket] = redirect(self.buckets[bucket], desired, index);
        }
        !chosen.is_empty()
    }

    fn commit(&mut self, generation: u64, index: u64) -> bool {
        let mut changed = false;
        for position in 0..self.buckets.len() {
            let bucket = self.buckets[position];
            if bucket.phase != MovePhase::Prepare || bucket.generation != generation {
                continue;
            }
            self.buckets[position] = match self.is_evacuated(&bucket) {
                true => Bucket {
                    current: bucket.next,
                    phase: MovePhase::Settle,
                    generation: index,
                    ..bucket
                },
                false => Bucket { phase: MovePhase::Commit, generation: index, ..bucket },
            };
            changed = true;
        }
        self.drop_unused_leaving();
        changed
    }

    fn settle(&mut self, generation: u64, buckets: &[u16], index: u64) -> bool {
        let mut changed = false;
        for &number in buckets {
            let Some(bucket) = self.buckets.get_mut(usize::from(number)) else { continue };
            if bucket.phase == MovePhase::Commit && bucket.generation == generation {
                bucket.phase = MovePhase::Settle;
                bucket.generation = index;
                changed = true;
            }
        }
        changed
    }

    fn finish(&mut self, generation: u64, index: u64) -> bool {
        self.advance(
            |b| b.phase == MovePhase::Settle && b.generation <= generation,
            |b| {
                b.current = b.next;
                b.phase = MovePhase::Rest;
                b.generation = index;
            },
        )
    }

    fn advance(&mut self, is_due: impl Fn(&Bucket) -> bool, run: impl Fn(&mut Bucket)) -> bool {
        let mut changed = false;
        for bucket in self.buckets.iter_mut().filter(|bucket| is_due(bucket)) {
            run(bucket);
            changed = true;
        }
        changed
    }
}

/// Returns `bucket` redirected to the slot `desired`.
fn redirect(bucket: Bucket, desired: u16, generation: u64) -> Bucket {
    let Bucket { current, next, phase, .. } = bucket;
    match phase {
        // No flow has opened at the other target yet.
        MovePhase::Prepare if desired == current => {
            Bucket { current, next: desired, phase: MovePhase::Rest, generation }
        }
        MovePhase::Rest | MovePhase::Prepare => {
            Bucket { current, next: desired, phase: MovePhase::Prepare, generation }
        }
        // VMs already send the bucket's packets through its owner, where a record takes precedence.
        MovePhase::Commit => Bucket { current, next: desired, phase, generation },
        MovePhase::Settle => {
            Bucket { current: next, next: desired, phase: MovePhase::Prepare, generation }
        }
    }
}
