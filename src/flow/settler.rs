//! The end of moves: an owner that saw no flow elsewhere for the idle time says so.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    counter::Counter,
    entry::{EntryAction, EntryContext},
    flow::{MovePhase, Step, record::Shard, service::Flows},
    name::Name,
    state::Command,
    time::Time,
};

/// Time between two looks at the moving buckets.
const PERIOD: Duration = Duration::from_secs(1);

/// Time by which a move lasts longer than the idle time, for packets on their way.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Time after which a step that had no effect is ordered again.
const RETRY: Duration = Duration::from_secs(3);

/// Buckets that one step names at most.
const STEP_LIMIT: usize = 256;

#[derive(Debug)]
struct Clock {
    generation: u64,
    /// When a packet last went elsewhere than where the bucket moves to.
    used: Time,
    ordered: Option<Time>,
}

/// One clock for each moving bucket that this VM owns.
#[derive(Debug, Default)]
pub(crate) struct Settler {
    clocks: BTreeMap<Shard, Clock>,
    next: Time,
}

impl Settler {
    /// Returns whether it is time to look at the moving buckets.
    pub(crate) fn is_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.next;
        if is_due {
            self.next = now + PERIOD;
        }
        is_due
    }

    /// Notes a packet that went elsewhere than where its bucket moves to.
    pub(crate) fn used(&mut self, now: Time, shard: &Shard) {
        if let Some(clock) = self.clocks.get_mut(shard) {
            clock.used = now;
        }
    }

    /// Forgets a shard whose owners changed.
    pub(crate) fn reset(&mut self, shard: &Shard) {
        self.clocks.remove(shard);
    }

    /// Returns whether the bucket has been idle for `idle` and is to be settled now.
    fn is_idle(&mut self, now: Time, shard: &Shard, generation: u64, idle: Duration) -> bool {
        let clock = self.clocks.entry(shard.clone()).or_insert(Clock {
            generation,
            used: now,
            ordered: None,
        });
        if clock.generation != generation {
            *clock = Clock { generation, used: now, ordered: None };
        }
        let is_new = clock.ordered.is_none_or(|at| now.since(at) >= RETRY);
        let is_idle = is_new && now.since(clock.used) >= idle + IDLE_MARGIN;
        if is_idle {
            clock.ordered = Some(now);
        }
        is_idle
    }
}

impl Flows {
    /// Orders the settle step of the buckets whose flows are all where they move to.
    pub(super) fn settle(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        if cx.shared.lease_lapsed {
            self.settler.clocks.clear();
            return;
        }
        let mut due: BTreeMap<(Name, u64), Vec<u16>> = BTreeMap::new();
        let mut moving = Vec::new();
        for (service, placement) in &cx.shared.state.placements {
            let committed = |(index, b): (usize, &super::placement::Bucket)| {
                let shard = Shard { service: service.clone(), bucket: index as u16 };
                (b.phase == MovePhase::Commit).then_some((shard, b.generation))
            };
            moving.extend(placement.buckets().iter().enumerate().filter_map(committed));
        }
        for (shard, generation) in moving {
            if !self.ownership.is_mine(&shard) || self.ownership.is_settling() {
                continue;
            }
            let Some(spec) = self.specs.get(&cx.shared.state, &shard.service) else { continue };
            if self.settler.is_idle(now, &shard, generation, spec.idle) {
                due.entry((shard.service, generation)).or_default().push(shard.bucket);
            }
        }
        for ((service, generation), buckets) in due {
            for buckets in buckets.chunks(STEP_LIMIT) {
                let step = Step::Settle { generation, buckets: buckets.to_vec() };
                let service = service.clone();
                cx.act(EntryAction::Submit(Command::Step { service, step }));
            }
        }
    }

    /// Forgets records that have ended: those of idle flows, of shards at rest, and of shards
    /// that other VMs own.
    pub(super) fn expire(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let shared = &*cx.shared;
        let rests = |shard: &Shard| {
            let placement = shared.state.placements.get(&shard.service);
            let bucket = placement.and_then(|p| p.bucket(shard.bucket.into()));
            !shared.lease_lapsed && bucket.is_none_or(|bucket| bucket.phase == MovePhase::Rest)
        };
        let is_handed = self.outbox.is_empty() && !self.ownership.is_settling();
        let (ownership, me) = (&mut self.ownership, &shared.me.name);
        let is_ready = ownership.is_ready();
        self.records.retain_shards(|shard| {
            let is_owned = !is_handed || !is_ready || ownership.owners(shard).contains(me);
            is_owned && !rests(shard)
        });
        let shards: Vec<_> = self.records.shards().cloned().collect();
        for shard in
            shards.into_iter().filter(|shard| self.ownership.is_mine(shard)).collect::<Vec<_>>()
        {
            let Some(spec) = self.specs.get(&cx.shared.state, &shard.service) else { continue };
            for key in self.records.idle(&shard, now, spec.idle) {
                self.records.remove(&key);
                cx.count(Counter::FlowsExpired);
                self.replicate_end(key);
            }
        }
    }
}
