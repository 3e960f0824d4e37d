//! Which control VMs an entry VM connects its two feeds to.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use super::feed::ControlLocation;
use crate::{member::hash, name::Name, time::Time};

/// Number of feeds of an entry VM.
const FEEDS: usize = 2;
/// Time for which a control VM whose feed has failed is tried after all others, and for which feed
/// 0 does not leave another one for it: a VM that accepts connections may still be suspended.
const AVOID_DURATION: Duration = Duration::from_secs(5);
/// Time for which a control VM that has told that it is up is tried before all others.
const HINT_DURATION: Duration = Duration::from_secs(2);
/// Most control VMs asked in one round of a search: two rounds ask more than the smaller side of the
/// largest system has.
const SEARCH_LEN: usize = 4;
/// Limit on such control VMs at the same time, some more than the largest system has.
const MAX_HINTS: usize = 32;

/// The known control VMs and those in use by the feeds.
///
/// Answers the load of a restart of all VMs: every entry VM looks for its feeds at the same moment,
/// so each orders the control VMs by its own name, which spreads them.
#[derive(Debug, Clone)]
pub struct FeedTargets {
    /// Name of the entry VM.
    name: Name,
    /// Availability zone of the entry VM.
    zone: Name,
    /// Availability zones of the control VMs, by address.
    zones: BTreeMap<SocketAddr, Name>,
    in_use: [Option<SocketAddr>; FEEDS],
    /// Until when a control VM is avoided.
    avoided: BTreeMap<SocketAddr, Time>,
    /// Until when a control VM that has told that it is up is tried first.
    hinted: BTreeMap<SocketAddr, Time>,
}

impl FeedTargets {
    /// Creates the targets of the entry VM `name` in `zone`, which knows no control VM yet.
    pub fn new(name: Name, zone: Name) -> FeedTargets {
        FeedTargets {
            name,
            zone,
            zones: BTreeMap::new(),
            in_use: [None; FEEDS],
            avoided: BTreeMap::new(),
            hinted: BTreeMap::new(),
        }
    }

    /// Returns the control VMs that feed `slot` may use, in the order in which to try them.
    ///
    /// Feed 0 prefers control VMs in its own availability zone. Control VMs that have just told
    /// that they are up come first, those whose feed has failed recently last.
    pub fn candidates(&self, now: Time, slot: usize, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let other = self.in_use[1 - slot];
        let known = self.zones.keys().chain(self.hinted.keys()).copied();
        let mut targets: Vec<_> = known.chain(seeds.iter().copied()).collect();
        targets.retain(|target| Some(*target) != other);
        let rank = |target: &SocketAddr| {
            let key = format!("{} {slot} {target}", self.name);
            let remote = slot == 0 && !self.is_local(target);
            let hinted = self.hinted.get(target).is_some_and(|until| now < *until);
            (self.is_avoided(now, target), !hinted, remote, hash(key.as_bytes()), *target)
        };
        targets.sort_by_cached_key(rank);
        targets.dedup();
        targets
    }

    /// Returns the control VMs to ask in round `round` of a search for a confirmed one: some of those
    /// that no feed uses, others in each round until all had their turn.
    pub fn search_candidates(&self, round: u32, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let known = self.zones.keys().chain(self.hinted.keys()).chain(seeds).copied();
        let mut targets: Vec<_> =
            known.filter(|target| !self.in_use.contains(&Some(*target))).collect();
        let rank =
            |target: &SocketAddr| (hash(format!("{} {target}", self.name).as_bytes()), *target);
        targets.sort_by_cached_key(rank);
        targets.dedup();
        let start = (round as usize * SEARCH_LEN).checked_rem(targets.len()).unwrap_or_default();
        targets.rotate_left(start);
        targets.truncate(SEARCH_LEN);
        targets
    }

    /// Assigns a control VM to feed `slot`; returns whether it was free.
    pub fn claim(&mut self, slot: usize, target: SocketAddr) -> bool {
        let free = self.in_use[1 - slot] != Some(target);
        if free {
            self.in_use[slot] = Some(target);
        }
        free
    }

    /// Records that the feed `slot` has failed.
    pub fn record_failure(&mut self, now: Time, slot: usize) {
        if let Some(target) = self.in_use[slot].take() {
            self.avoid(now, target);
        }
    }

    /// Tries `target` after all other control VMs for a while.
    pub fn avoid(&mut self, now: Time, target: SocketAddr) {
        self.avoided.insert(target, now + AVOID_DURATION);
    }

    /// Adds a control VM that has told that it is up; returns whether it had not done so lately.
    pub fn add_hint(&mut self, now: Time, location: ControlLocation) -> bool {
        self.hinted.retain(|_, until| *until > now);
        if self.hinted.len() >= MAX_HINTS {
            return false;
        }
        let ControlLocation { addr, zone } = location;
        self.avoided.remove(&addr);
        self.zones.insert(addr, zone);
        self.hinted.insert(addr, now + HINT_DURATION).is_none()
    }

    /// Replaces the known control VMs.
    pub fn set_known(&mut self, now: Time, control_vms: &[ControlLocation]) {
        self.zones = control_vms.iter().map(|vm| (vm.addr, vm.zone.clone())).collect();
        self.avoided.retain(|_, until| *until > now);
    }

    /// Returns the control VM in the own availability zone for which feed `slot` should leave its
    /// present one.
    pub fn better(&self, now: Time, slot: usize) -> Option<SocketAddr> {
        let current = self.in_use[slot]?;
        if slot != 0 || self.is_local(&current) {
            return None;
        }
        let usable = |target: &SocketAddr| {
            self.is_local(target)
                && !self.is_avoided(now, target)
                && self.in_use[1 - slot] != Some(*target)
        };
        self.zones.keys().copied().find(usable)
    }

    /// Returns whether the VM reports its load over feed `slot`: the one from its own availability
    /// zone, so that the VMs of a zone report to the same control VM, or else the first.
    ///
    /// Either feed may be that one: the first cannot leave for a control VM that the second uses.
    pub fn carries_reports(&self, slot: usize) -> bool {
        let local = |slot: usize| self.in_use[slot].is_some_and(|target| self.is_local(&target));
        match slot {
            0 => local(0) || !local(1),
            _ => local(slot) && !local(0),
        }
    }

    fn is_local(&self, target: &SocketAddr) -> bool {
        self.zones.get(target).is_some_and(|zone| *zone == self.zone)
    }

    fn is_avoided(&self, now: Time, target: &SocketAddr) -> bool {
        self.avoided.get(target).is_some_and(|until| now < *until)
    }
}
