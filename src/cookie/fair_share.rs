//! The max-min fair share of each caller in the openings that an entry VM admits.

use std::{collections::BTreeMap, net::Ipv4Addr, time::Duration};

use crate::time::Time;

/// Time constant with which counted openings decay. With 1 s, the largest of 24 callers got 1.34
/// times its share at 70 VMs, each of which sees few openings of a caller; with 2 s, 1.20 times.
const DECAY: Duration = Duration::from_secs(2);
/// Tolerance above the share, in square roots of the share, by which the counts of a steady caller
/// vary. Without it, 20% of the capacity stayed unused at 70 VMs.
const TOLERANCE: f64 = 0.5;
/// Count up to which a caller is never above its share: the three tries of one request. With few
/// openings of each caller, the share is below one, and tries after the first would be refused.
const MIN_SHARE: f64 = 3.0;
/// Interval at which the share is computed; the computation sorts the callers.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on callers by priority; an entry takes about 100 bytes.
const MAX_CALLERS: usize = 1_024;
/// Count below which a caller is removed: one opening, 14 s ago.
const MIN_COUNT: f64 = 0.001;

/// The decaying counts of a caller.
#[derive(Debug, Clone, Copy)]
struct Caller {
    arrived: f64,
    admitted: f64,
    /// When the counts were last brought up to date.
    updated: Time,
    /// Key of the caller in the order of use.
    used: u64,
}

impl Caller {
    /// Returns the part of the counts that is left at `now`.
    fn remainder(&self, now: Time) -> f64 {
        (-now.since(self.updated).as_secs_f64() / DECAY.as_secs_f64()).exp()
    }

    fn decay(&mut self, now: Time) {
        let remainder = self.remainder(now);
        self.arrived *= remainder;
        self.admitted *= remainder;
        self.updated = self.updated.max(now);
    }
}

/// The callers of one priority.
#[derive(Debug, Clone, Default)]
struct Callers {
    callers: BTreeMap<Ipv4Addr, Caller>,
    /// Callers in order of use, the least recently used first.
    by_use: BTreeMap<u64, Ipv4Addr>,
    last_use: u64,
    /// Max-min share, unless every caller gets what it asks for.
    share: Option<f64>,
    share_due: Time,
    /// Buffer of the computation, with room for every caller.
    demands: Vec<f64>,
}

impl Callers {
    /// Returns the counts of `addr` at `now`, as the most recently used caller.
    fn touch(&mut self, now: Time, addr: Ipv4Addr) -> &mut Caller {
        self.last_use += 1;
        let used = self.last_use;
        if let Some(caller) = self.callers.get(&addr) {
            self.by_use.remove(&caller.used);
        } else if self.callers.len() >= MAX_CALLERS
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.callers.remove(&oldest);
        }
        self.by_use.insert(used, addr);
        self.demands.reserve(self.callers.len() + 1);
        let new = Caller { arrived: 0.0, admitted: 0.0, updated: now, used };
        let caller = self.callers.entry(addr).or_insert(new);
        caller.decay(now);
        caller.used = used;
        caller
    }

    fn update_share(&mut self, now: Time) {
        if now < self.share_due {
            return;
        }
        self.share_due = now + SHARE_INTERVAL;
        for (_, caller) in self.callers.extract_if(.., |_, caller| {
            caller.decay(now);
            caller.arrived.max(caller.admitted) < MIN_COUNT
        }) {
            self.by_use.remove(&caller.used);
        }
        self.share = max_min_share(self.callers.values(), &mut self.demands);
        self.demands.clear();
    }
}

/// Returns the share at which the admitted openings would be distributed max-min fairly by what the
/// callers ask for; `None` if there is enough for all.
fn max_min_share<'a>(
    callers: impl Iterator<Item = &'a Caller>,
    demands: &mut Vec<f64>,
) -> Option<f64> {
    let mut left = 0.0;
    for caller in callers {
        left += caller.admitted;
        demands.push(caller.arrived.max(caller.admitted));
    }
    demands.sort_by(f64::total_cmp);
    let mut others = demands.len();
    for demand in demands.iter().copied() {
        let share = left / others as f64;
        if demand > share {
            return Some(share);
        }
        left -= demand;
        others -= 1;
    }
    None
}

/// The openings that each caller has asked for and got in about the last two seconds, by priority.
///
/// A caller above its share is refused only under shortage, which the user of this table determines.
/// Shortage should be held for some 500 ms: callers above their share otherwise take what becomes
/// free in between.
///
/// ```
/// use std::net::Ipv4Addr;
///
/// use galenatrail::{FairShare, Time};
///
/// let caller = Ipv4Addr::new(100, 64, 0, 1);
/// let mut fair_share = FairShare::new();
/// fair_share.observe(Time::ZERO, 0, caller);
/// assert!(!fair_share.exceeds(Time::ZERO, 0, caller));
/// fair_share.record(Time::ZERO, 0, caller);
/// ```
#[derive(Debug, Clone, Default)]
pub struct FairShare {
    priorities: BTreeMap<u8, Callers>,
}

impl FairShare {
    /// Creates a table without callers.
    pub fn new() -> FairShare {
        FairShare::default()
    }

    /// Counts an opening that arrives from `caller`, whether it is admitted or not.
    pub fn observe(&mut self, now: Time, priority: u8, caller: Ipv4Addr) {
        let callers = self.priorities.entry(priority).or_default();
        callers.update_share(now);
        callers.touch(now, caller).arrived += 1.0;
    }

    /// Counts an opening of `caller` that is admitted.
    pub fn record(&mut self, now: Time, priority: u8, caller: Ipv4Addr) {
        let callers = self.priorities.entry(priority).or_default();
        callers.touch(now, caller).admitted += 1.0;
    }

    /// Returns whether `caller` has got more than its max-min share of the openings admitted at
    /// this priority.
    pub fn exceeds(&self, now: Time, priority: u8, caller: Ipv4Addr) -> bool {
        let Some(callers) = self.priorities.get(&priority) else { return false };
        let (Some(share), Some(caller)) = (callers.share, callers.callers.get(&caller)) else {
            return false;
        };
        // There is nothing to share with a single caller.
        let limit = (share + TOLERANCE * share.sqrt()).max(MIN_SHARE);
        callers.callers.len() > 1 && caller.admitted * caller.remainder(now) > limit
    }

    /// Returns the number of callers counted at a priority.
    pub fn callers(&self, priority: u8) -> usize {
        self.priorities.get(&priority).map_or(0, |callers| callers.callers.len())
    }
}
