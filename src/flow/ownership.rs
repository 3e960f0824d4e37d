//! Ownership of shards, under the current view and under earlier views that other VMs may still
//! use.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
    time::Duration,
};

use siphasher::sip::SipHasher13;

use crate::{flow::record::Shard, member::View, name::Name, time::Time};

/// Time after a view change during which other VMs may still use the earlier view.
const VIEW_OVERLAP: Duration = Duration::from_secs(3);

/// Maximum number of earlier views kept.
const MAX_EARLIER_VIEWS: usize = 8;

/// The first owner of a shard and the second owner, which keeps a replica of its records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Owners {
    pub(crate) first: Option<Name>,
    pub(crate) second: Option<Name>,
}

impl Owners {
    /// Returns whether `vm` is one of the owners.
    pub(crate) fn contains(&self, vm: &Name) -> bool {
        self.first.as_ref() == Some(vm) || self.second.as_ref() == Some(vm)
    }

    /// Iterates over the owners, first owner first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Name> {
        self.first.iter().chain(&self.second)
    }
}

/// Shard ownership as seen by one VM.
#[derive(Debug)]
pub(crate) struct Ownership {
    me: Name,
    view: View,
    earlier_views: Vec<(Time, View)>,
    cache: BTreeMap<Shard, Owners>,
}

impl Ownership {
    /// Creates the ownership under `view`.
    pub(crate) fn new(me: Name, view: View) -> Ownership {
        Ownership { me, view, earlier_views: Vec::new(), cache: BTreeMap::new() }
    }

    /// Replaces the view and returns the earlier one, or `None` if the version is unchanged.
    pub(crate) fn update_view(&mut self, now: Time, view: &View) -> Option<View> {
        if view.version == self.view.version {
            return None;
        }
        let mut previous = std::mem::replace(&mut self.view, view.clone());
        self.cache.clear();
        if previous.members.len() == 1 && previous.members.contains_key(&self.me) {
            // This VM was alone in its view, so no other VM regards it as a former owner.
            previous = view.clone();
            previous.members.remove(&self.me);
        }
        if self.earlier_views.len() == MAX_EARLIER_VIEWS {
            self.earlier_views.remove(0);
        }
        self.earlier_views.push((now, previous.clone()));
        Some(previous)
    }

    /// Drops earlier views that no VM uses any more. While `is_receiving` is true, records are
    /// still being sent to this VM and all earlier views are kept.
    pub(crate) fn expire_views(&mut self, now: Time, is_receiving: bool) {
        let view = &self.view;
        let is_leaving = |previous: &View| {
            previous.members.values().any(|member| {
                member.ready && view.members.get(&member.name).is_some_and(|now| !now.ready)
            })
        };
        self.earlier_views.retain(|(at, previous)| {
            is_receiving || now.since(*at) < VIEW_OVERLAP || is_leaving(previous)
        });
    }

    /// Returns whether other VMs may still use an earlier view.
    pub(crate) fn has_earlier_views(&self) -> bool {
        !self.earlier_views.is_empty()
    }

    pub(crate) fn me(&self) -> &Name {
        &self.me
    }

    /// Returns the current view.
    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// Returns whether this VM is ready, so that it can own shards.
    pub(crate) fn is_ready(&self) -> bool {
        self.view.members.get(&self.me).is_some_and(|me| me.ready)
    }

    /// Returns the owners of `shard` under the current view.
    pub(crate) fn owners(&mut self, shard: &Shard) -> Owners {
        if let Some(owners) = self.cache.get(shard) {
            return owners.clone();
        }
        let owners = owners_in(&self.view, shard);
        self.cache.insert(shard.clone(), owners.clone());
        owners
    }

    /// Returns the VMs in the order in which they take over decisions for `shard`: the owners, then
    /// the other ready VMs. A VM whose configuration lease has lapsed defers to the next one.
    pub(crate) fn decision_order(&mut self, shard: &Shard) -> Vec<Name> {
        let owners = self.owners(shard);
        let order = self.view.ranking(hash_key(shard));
        let others = order.iter().map(|member| &member.name).filter(|vm| !owners.contains(vm));
        owners.iter().chain(others).cloned().collect()
    }

    /// Returns the VMs that follow this one in the decision order of `shard`.
    pub(crate) fn successors(&mut self, shard: &Shard) -> Vec<Name> {
        let mut order = self.decision_order(shard);
        match order.iter().position(|vm| *vm == self.me) {
            Some(position) => order.split_off(position + 1),
            None => Vec::new(),
        }
    }

    /// Returns whether this VM is the first owner of `shard`.
    pub(crate) fn is_first_owner(&mut self, shard: &Shard) -> bool {
        let first = self.owners(shard).first;
        first.as_ref() == Some(&self.me)
    }

    /// Returns whether `vm` will be an owner of `shard` once it is ready.
    pub(crate) fn would_own(&self, vm: &Name, shard: &Shard) -> bool {
        let mut view = self.view.clone();
        if let Some(member) = view.members.get_mut(vm) {
            member.ready = true;
        }
        owners_in(&view, shard).contains(vm)
    }

    /// Returns the live VMs that owned `shard` under an earlier view and may hold records that this
    /// VM, the owner now, lacks.
    pub(crate) fn former_owners(&self, shard: &Shard) -> BTreeSet<Name> {
        let mut names = BTreeSet::new();
        for (_, view) in &self.earlier_views {
            let owners = owners_in(view, shard);
            if owners.first.as_ref() == Some(&self.me) {
                continue;
            }
            let live = owners
                .iter()
                .filter(|&name| *name != self.me && self.view.members.contains_key(name));
            names.extend(live.cloned());
        }
        names
    }
}

/// Returns the owners of `shard` under `view`.
pub(crate) fn owners_in(view: &View, shard: &Shard) -> Owners {
    let (first, second) = view.owners(hash_key(shard));
    Owners {
        first: first.map(|member| member.name.clone()),
        second: second.map(|member| member.name.clone()),
    }
}

/// Returns the rendezvous hashing key of `shard`.
fn hash_key(shard: &Shard) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(shard.service.as_bytes());
    hasher.write_u16(shard.bucket);
    hasher.finish()
}
