//! Replaces the targets of a placement table and starts the moves away from targets that leave.

use std::collections::BTreeSet;

use crate::{
    flow::{
        BUCKETS, fill,
        placement::{Bucket, MovePhase, Placement, Target, redirect},
    },
    member,
    name::Name,
};

impl Placement {
    /// Replaces the targets at log index `index`. A target of weight 0 keeps its buckets until they
    /// have been moved; the buckets of a target that is missing are reassigned at once.
    pub fn retarget(&mut self, targets: Vec<Target>, index: u64) {
        self.retarget_leaving(targets, Vec::new(), index);
    }

    /// Replaces the targets like [`Placement::retarget`]. Targets in `leaving` get no bucket; one
    /// that has buckets keeps them until every VM knows of their move, and then loses its flows.
    pub(crate) fn retarget_leaving(
        &mut self,
        mut targets: Vec<Target>,
        mut leaving: Vec<Target>,
        index: u64,
    ) {
        leaving.retain(|target| self.targets.iter().any(|held| held.name == target.name));
        if targets.is_empty() {
            // No other target could take the buckets over.
            leaving.clear();
        }
        leaving.iter_mut().for_each(|target| target.weight = 0);
        let names: BTreeSet<_> = leaving.iter().map(|target| target.name.clone()).collect();
        targets.append(&mut leaving);
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        if targets == self.targets && names == self.leaving {
            return;
        }
        let slots = self.replace_targets(targets);
        self.leaving = names;
        let held: Vec<_> = self.buckets.iter().map(|b| self.held_slot(b, &slots)).collect();
        self.desired = fill::assign_buckets(&held, &self.targets);
        if self.desired.is_empty() {
            self.desired = self.keep_held(&held);
        }
        self.reassign(&slots, index);
        self.drop_unused_leaving();
    }

    /// Replaces the targets and returns the new slot of each old one that remains.
    fn replace_targets(&mut self, targets: Vec<Target>) -> Vec<Option<u16>> {
        let slot_of = |name: &Name| targets.binary_search_by(|target| target.name.cmp(name)).ok();
        let old = self.targets.iter();
        let slots = old.map(|target| slot_of(&target.name).map(|slot| slot as u16)).collect();
        self.ids = targets.iter().map(|target| server_id(&target.name)).collect();
        self.targets = targets;
        slots
    }

    /// Returns the new slot whose target keeps `bucket` unless it is over quota.
    fn held_slot(&self, bucket: &Bucket, slots: &[Option<u16>]) -> Option<u16> {
        let stays = |slot: u16| slots[usize::from(slot)].filter(|&slot| !self.is_leaving(slot));
        let back = || stays(bucket.current).filter(|_| bucket.phase == MovePhase::Prepare);
        stays(bucket.next).or_else(back)
    }

    /// Returns the desired table when no target has a weight: held buckets stay, the others are
    /// spread round-robin over the targets that do not leave.
    fn keep_held(&self, held: &[Option<u16>]) -> Vec<u16> {
        let slots = 0..self.targets.len() as u16;
        let stay: Vec<_> = slots.filter(|&slot| !self.is_leaving(slot)).collect();
        if stay.is_empty() || held.len() < BUCKETS {
            return Vec::new();
        }
        let slot =
            |(bucket, slot): (usize, &Option<u16>)| slot.unwrap_or(stay[bucket % stay.len()]);
        held.iter().enumerate().map(slot).collect()
    }

    /// Remaps the slots of all buckets to the new targets, reassigns the buckets of removed targets
    /// and starts to move those of leaving targets.
    fn reassign(&mut self, slots: &[Option<u16>], index: u64) {
        if self.desired.is_empty() || self.buckets.is_empty() {
            let rest = |&slot: &u16| Bucket {
                current: slot,
                next: slot,
                phase: MovePhase::Rest,
                generation: index,
            };
            self.buckets = self.desired.iter().map(rest).collect();
            self.generation = index;
            return;
        }
        for position in 0..self.buckets.len() {
            let (bucket, desired) = (self.buckets[position], self.desired[position]);
            let (current, next) =
                (slots[usize::from(bucket.current)], slots[usize::from(bucket.next)]);
            let is_lost = current.is_none() || next.is_none();
            let next = next.unwrap_or(desired);
            let current = match bucket.phase {
                MovePhase::Settle => next,
                _ => current.unwrap_or(next),
            };
            let remapped = Bucket { current, next, ..bucket };
            let evacuated = self.evacuate(remapped, desired, index);
            self.lost += u64::from(is_lost);
            if is_lost || evacuated != remapped {
                self.generation = index;
            }
            let generation = if is_lost { index } else { evacuated.generation };
            self.buckets[position] = Bucket { generation, ..evacuated };
        }
    }

    /// Redirects `bucket` if one of its targets leaves.
    fn evacuate(&self, bucket: Bucket, desired: u16, generation: u64) -> Bucket {
        let Bucket { current, next, phase, .. } = bucket;
        let (from_leaving, to_leaving) = (self.is_leaving(current), self.is_leaving(next));
        match phase {
            _ if !from_leaving && !to_leaving => bucket,
            // Flows that have opened at a new target are recorded, and VMs already send the packets
            // through the owner.
            MovePhase::Commit => {
                let next = if to_leaving { desired } else { next };
                let current = if from_leaving { next } else { current };
                Bucket { current, next, phase, generation }
            }
            // No flow has opened at the other target yet.
            MovePhase::Prepare if !from_leaving => {
                Bucket { next: current, phase: MovePhase::Rest, generation, ..bucket }
            }
            // The generation is new, so that the commit step does not wait for other buckets.
            MovePhase::Prepare if !to_leaving => Bucket { generation, ..bucket },
            _ => redirect(bucket, desired, generation),
        }
    }

    /// Removes the leaving targets that no bucket uses any more.
    pub(super) fn drop_unused_leaving(&mut self) {
        let mut used = vec![false; self.targets.len()];
        for bucket in &self.buckets {
            used[usize::from(bucket.current)] = true;
            used[usize::from(bucket.next)] = true;
        }
        let is_used = |target: &Target| {
            let slot = self.targets.binary_search_by(|other| other.name.cmp(&target.name));
            !self.leaving.contains(&target.name) || slot.is_ok_and(|slot| used[slot])
        };
        let kept: Vec<_> = self.targets.iter().filter(|target| is_used(target)).cloned().collect();
        if kept.len() == self.targets.len() {
            return;
        }
        self.leaving.retain(|name| kept.iter().any(|target| target.name == *name));
        let slots = self.replace_targets(kept);
        let remap = |slot: u16| slots[usize::from(slot)].unwrap_or_default();
        for bucket in &mut self.buckets {
            bucket.current = remap(bucket.current);
            bucket.next = remap(bucket.next);
        }
        self.desired.iter_mut().for_each(|slot| *slot = remap(*slot));
    }
}

/// Returns the identifier that stands for the backend server `name` in flow records.
fn server_id(name: &str) -> u32 {
    member::hash(name.as_bytes()) as u32
}
