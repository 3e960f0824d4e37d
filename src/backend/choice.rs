//! Selection of the home that receives an admission request: this VM for the share of its requests
//! that its own servers can take, and otherwise the better of two weighted random choices.
//!
//! Requests arrive evenly at all entry VMs. A VM whose servers have less than an even share of the
//! service's weight sends the remaining to VMs whose servers have more, in proportion to their
//! excess, so that every server receives its share and most admission requests stay on the VM. For
//! the two choices see Mitzenmacher, "The power of two choices in randomized load balancing"
//! (2001).

use std::{collections::BTreeMap, hash::Hasher, time::Duration};

use siphasher::sip::SipHasher13;

use crate::{
    backend::{AdmissionRequest, home::BUSY_RETRY, message::FreeSlots, roster::home_of},
    entry::Shared,
    name::Name,
    time::Time,
};

/// Age up to which a report of free slots is used.
const HINT_AGE: Duration = Duration::from_secs(2);
/// Maximum time for which a home that refused a request is skipped for the same service.
const MAX_SKIP: Duration = Duration::from_millis(500);

/// A backend server that a request may be sent to.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) server: Name,
    /// The entry VM that is its home.
    pub(crate) home: Name,
    weight: u64,
    /// Weight for requests of other VMs: the part of `weight` that is not used by requests arriving
    /// at the home.
    spare_weight: u64,
    slots: u32,
}

/// The backend servers of one service.
#[derive(Debug, Default)]
struct Pool {
    candidates: Vec<Candidate>,
    /// Share of this VM's requests that its own servers take, as a fraction of [`ONE`].
    local_share: u64,
    /// Number of first choices of a request, of selections at this VM and of selections at other
    /// VMs.
    picks: [u64; 3],
}

/// The number one in fixed-point fractions.
const ONE: u64 = 1 << 20;

struct Hint {
    slots: u32,
    at: Time,
}

/// Selects backend servers from the configuration, the view and reports of free slots.
#[derive(Default)]
pub(crate) struct ServerSelector {
    version: (u64, u64),
    services: BTreeMap<Name, Pool>,
    hints: BTreeMap<Name, Hint>,
    skipped: BTreeMap<(Name, Name), Time>,
    serial: u64,
}

impl ServerSelector {
    /// Stores reports of free slots.
    pub(crate) fn update_hints(&mut self, now: Time, shared: &Shared, reports: Vec<FreeSlots>) {
        for report in reports {
            if shared.state.servers.contains_key(&report.server) {
                self.hints.insert(report.server, Hint { slots: report.slots, at: now });
            }
        }
    }

    /// Records that `home` refused a request of `service`. A home that is closed until a known
    /// time, and not just busy, is skipped until then, because under overload a refusal costs as
    /// much as a grant.
    pub(crate) fn record_refusal(
        &mut self,
        now: Time,
        home: &Name,
        service: &Name,
        retry: Duration,
    ) {
        if retry > BUSY_RETRY {
            let until = now + retry.min(MAX_SKIP);
            self.skipped.insert((home.clone(), service.clone()), until);
        }
    }

    /// Returns the time until the first skipped home may be asked again for `service`.
    pub(crate) fn retry_after(&self, now: Time, service: &Name) -> Option<Duration> {
        let skipped = self.skipped.iter().filter(|((_, name), _)| name == service);
        let ends = skipped.map(|(_, &until)| until).filter(|&until| until > now);
        ends.min().map(|until| until.since(now))
    }

    /// Records that a slot of `server` was granted.
    pub(crate) fn record_grant(&mut self, server: &Name) {
        if let Some(hint) = self.hints.get_mut(server) {
            hint.slots = hint.slots.saturating_sub(1);
        }
    }

    /// Records that a slot of `server` was released.
    pub(crate) fn record_release(&mut self, server: &Name) {
        if let Some(hint) = self.hints.get_mut(server) {
            hint.slots += 1;
        }
    }

    /// Selects a server whose home is not in `homes`, or returns `None` if there is none.
    pub(crate) fn pick(
        &mut self,
        now: Time,
        shared: &Shared,
        request: &AdmissionRequest,
        homes: &[Name],
    ) -> Option<Candidate> {
        self.refresh(shared);
        let pool = self.services.get_mut(&request.service)?;
        let me = &shared.me.name;
        let is_local =
            homes.is_empty() && next_weyl(me, &mut pool.picks[0], ONE) < pool.local_share;
        let first_draw = next_weyl(me, &mut pool.picks[if is_local { 1 } else { 2 }], u64::MAX);
        let is_skipped = |home: &Name| {
            let key = (home.clone(), request.service.clone());
            home != me && self.skipped.get(&key).is_some_and(|&until| now < until)
        };
        let is_open = |candidate: &&Candidate| {
            !request.tried.contains(&candidate.server)
                && !homes.contains(&candidate.home)
                && !is_skipped(&candidate.home)
        };
        let open: Vec<&Candidate> = pool.candidates.iter().filter(is_open).collect();
        let weigh = |candidate: &Candidate| match candidate.home == *me {
            true if is_local => candidate.weight,
            false if !is_local => candidate.spare_weight,
            _ => 0,
        };
        let weight = |candidate: &Candidate| candidate.weight;
        let first = pick_weighted(&open, first_draw, weigh)
            .or_else(|| pick_weighted(&open, first_draw, weight))?;
        self.serial += 1;
        let second = pick_weighted(&open, hash_draw(me, self.serial), weigh).unwrap_or(first);
        let free = |candidate: &Candidate| match self.hints.get(&candidate.server) {
            Some(hint) if now.since(hint.at) <= HINT_AGE => u64::from(hint.slots),
            _ => u64::from(candidate.slots),
        };
        // Compares free slots relative to the weights, as the servers' weights differ.
        let is_better = free(second) * first.weight > free(first) * second.weight;
        Some(if is_better { second } else { first }.clone())
    }

    fn refresh(&mut self, shared: &Shared) {
        let version = (shared.state.index, shared.view.version);
        if version == self.version {
            return;
        }
        self.version = version;
        self.services.clear();
        self.skipped.clear();
        self.hints.retain(|server, _| shared.state.servers.contains_key(server));
        for announce in shared.state.servers.values() {
            let Some(weight) = shared.state.share(announce) else { continue };
            let Some(home) = home_of(shared, announce) else { continue };
            let candidate = Candidate {
                server: announce.server.clone(),
                home: home.clone(),
                weight: weight.into(),
                spare_weight: 0,
                slots: announce.slots,
            };
            self.services.entry(announce.service.clone()).or_default().candidates.push(candidate);
        }
        for pool in self.services.values_mut() {
            pool.compute_spare_weight(shared);
        }
    }
}

impl Pool {
    /// Computes the capacity of each home that exceeds the requests arriving there.
    fn compute_spare_weight(&mut self, shared: &Shared) {
        let vms = shared.view.members.len().max(1) as u64;
        let total: u64 = self.candidates.iter().map(|candidate| candidate.weight).sum();
        let mut homes: BTreeMap<Name, u64> = BTreeMap::new();
        for candidate in &self.candidates {
            *homes.entry(candidate.home.clone()).or_default() += candidate.weight;
        }
        for candidate in &mut self.candidates {
            let home_weight = homes[&candidate.home];
            let excess = (home_weight * vms).saturating_sub(total);
            candidate.spare_weight = candidate.weight * ONE * excess / (home_weight * vms).max(1);
        }
        let home_weight = homes.get(&shared.me.name).copied().unwrap_or(0);
        self.local_share = (home_weight * vms * ONE / total.max(1)).min(ONE);
    }
}

/// Selects a candidate with a probability proportional to its weight.
fn pick_weighted<'a>(
    all: &[&'a Candidate],
    draw: u64,
    weight: impl Fn(&Candidate) -> u64,
) -> Option<&'a Candidate> {
    let total: u64 = all.iter().map(|candidate| weight(candidate)).sum();
    if total == 0 {
        return None;
    }
    let mut remaining = scale(draw, total);
    all.iter().copied().find(|candidate| {
        let weight = weight(candidate);
        let hit = remaining < weight;
        remaining = remaining.saturating_sub(weight);
        hit
    })
}

/// Returns the next number below `limit` of a low-discrepancy sequence (a Weyl sequence with the
/// golden ratio), which splits requests closer to the weights than random numbers would.
fn next_weyl(vm: &Name, picks: &mut u64, limit: u64) -> u64 {
    const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
    *picks += 1;
    scale(picks.wrapping_mul(GOLDEN).wrapping_add(hash_draw(vm, 0)), limit)
}

fn hash_draw(vm: &Name, serial: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(serial, 0);
    hasher.write(vm.as_bytes());
    hasher.finish()
}

/// Maps the range of `u64` to the numbers below `limit`.
fn scale(number: u64, limit: u64) -> u64 {
    ((u128::from(number) * u128::from(limit)) >> u64::BITS) as u64
}
