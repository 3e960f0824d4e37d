//! Detects on the owner of a bucket that all its flows have reached the new target, and expires
//! flow records.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    counter::Counter,
    entry::{EntryAction, EntryContext},
    flow::{MovePhase, Step, record::Shard, service::Flows},
    name::Name,
    state::Command,
    time::Time,
};

/// Interval between two checks of the moving buckets.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Margin added to the idle time for packets still in flight.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Time after which a step that had no effect is submitted again.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Maximum number of buckets in one step.
const MAX_STEP_BUCKETS: usize = 256;

#[derive(Debug)]
struct IdleTimer {
    generation: u64,
    /// Time of the last packet that was not sent to the bucket's new target.
    last_use: Time,
    submitted: Option<Time>,
}

/// Idle timers of the moving buckets that this VM owns.
#[derive(Debug, Default)]
pub(crate) struct Settler {
    timers: BTreeMap<Shard, IdleTimer>,
    next_check: Time,
}

impl Settler {
    /// Returns whether a check is due, and schedules the next one.
    pub(crate) fn is_due(&mut self, now: Time) -> bool {
        let is_due = now >= self.next_check;
        if is_due {
            self.next_check = now + CHECK_INTERVAL;
        }
        is_due
    }

    /// Restarts the idle timer of a shard after a packet that was not sent to its new target.
    pub(crate) fn restart(&mut self, now: Time, shard: &Shard) {
        if let Some(timer) = self.timers.get_mut(shard) {
            timer.last_use = now;
        }
    }

    /// Drops the idle timer of a shard whose owners changed.
    pub(crate) fn reset(&mut self, shard: &Shard) {
        self.timers.remove(shard);
    }

    /// Returns whether a settle step is due: the bucket has been idle for `idle` and no step was
    /// submitted within [`RETRY_INTERVAL`]. Marks a due step as submitted.
    fn should_settle(&mut self, now: Time, shard: &Shard, generation: u64, idle: Duration) -> bool {
        let timer = self.timers.entry(shard.clone()).or_insert(IdleTimer {
            generation,
            last_use: now,
            submitted: None,
        });
        if timer.generation != generation {
            *timer = IdleTimer { generation, last_use: now, submitted: None };
        }
        let is_new = timer.submitted.is_none_or(|at| now.since(at) >= RETRY_INTERVAL);
        let is_idle = is_new && now.since(timer.last_use) >= idle + IDLE_MARGIN;
        if is_idle {
            timer.submitted = Some(now);
        }
        is_idle
    }
}

impl Flows {
    /// Submits settle steps for the buckets whose flows are all at the new target.
    pub(super) fn submit_settled(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        if cx.shared.lease_lapsed {
            self.settler.timers.clear();
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
            if !self.ownership.is_first_owner(&shard) || self.ownership.has_earlier_views() {
                continue;
            }
            let Some(spec) = self.services.get(&cx.shared.state, &shard.service) else { continue };
            if self.settler.should_settle(now, &shard, generation, spec.idle) {
                due.entry((shard.service, generation)).or_default().push(shard.bucket);
            }
        }
        for ((service, generation), buckets) in due {
            for buckets in buckets.chunks(MAX_STEP_BUCKETS) {
                let step = Step::Settle { generation, buckets: buckets.to_vec() };
                let service = service.clone();
                cx.act(EntryAction::Submit(Command::Step { service, step }));
            }
        }
    }

    /// Removes records that are no longer needed: those of idle flows, of shards at rest, and of
    /// shards owned by other VMs.
    pub(super) fn expire_records(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let shared = &*cx.shared;
        let is_at_rest = |shard: &Shard| {
            let placement = shared.state.placements.get(&shard.service);
            let bucket = placement.and_then(|p| p.bucket(shard.bucket.into()));
            !shared.lease_lapsed && bucket.is_none_or(|bucket| bucket.phase == MovePhase::Rest)
        };
        let all_sent = self.outbox.is_empty() && !self.ownership.has_earlier_views();
        let (ownership, me) = (&mut self.ownership, &shared.me.name);
        let is_ready = ownership.is_ready();
        self.records.retain_shards(|shard| {
            let is_owned = !all_sent || !is_ready || ownership.owners(shard).contains(me);
            is_owned && !is_at_rest(shard)
        });
        let shards: Vec<_> = self.records.shards().cloned().collect();
        for shard in shards
            .into_iter()
            .filter(|shard| self.ownership.is_first_owner(shard))
            .collect::<Vec<_>>()
        {
            let Some(spec) = self.services.get(&cx.shared.state, &shard.service) else { continue };
            for key in self.records.idle_flows(&shard, now, spec.idle) {
                self.records.remove(&key);
                cx.count(Counter::FlowsExpired);
                self.replicate_removal(key);
            }
        }
    }
}
