//! The membership view, and rendezvous hashing over its ready VMs.

use std::{collections::BTreeMap, hash::Hasher};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::{member::Member, name::Name};

/// The entry VMs that one VM considers alive.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct View {
    /// Version of the view; grows by one with each change on this VM.
    pub version: u64,
    /// Live VMs by name.
    pub members: BTreeMap<Name, Member>,
}

impl View {
    /// Creates a view of `members`.
    pub fn new(members: impl IntoIterator<Item = Member>) -> View {
        let members = members.into_iter().map(|member| (member.name.clone(), member)).collect();
        View { version: 1, members }
    }

    /// Returns the ready VMs in the order of preference for owning `key`.
    ///
    /// Uses rendezvous hashing (Thaler and Ravishankar, 1998): the loss of a VM moves only the keys
    /// that it owned.
    pub fn ranking(&self, key: u64) -> Vec<&Member> {
        let mut order: Vec<_> = self.members.values().filter(|member| member.ready).collect();
        order.sort_by_cached_key(|member| score(key, &member.name));
        order
    }

    /// Returns the first and the second owner of `key`. The second owner is in another availability
    /// zone if there is one with a ready VM.
    pub fn owners(&self, key: u64) -> (Option<&Member>, Option<&Member>) {
        let order = self.ranking(key);
        let Some(first) = order.first().copied() else { return (None, None) };
        let other_zone = order.iter().find(|member| member.zone != first.zone);
        (Some(first), other_zone.or(order.get(1)).copied())
    }

    /// Returns the head of an availability zone, which represents it towards other zones: the first
    /// ready VM by name, or the first VM if none is ready.
    pub fn head(&self, zone: &str) -> Option<&Member> {
        let mut members = self.members.values().filter(|member| &*member.zone == zone);
        let first = members.clone().next();
        members.find(|member| member.ready).or(first)
    }

    /// Returns the home of a backend server, the VM that probes it and admits its requests. It is
    /// in the availability zone of the server if that has a ready VM.
    pub fn home(&self, server: &str, zone: &str) -> Option<&Member> {
        let order = self.ranking(hash(server.as_bytes()));
        order.iter().find(|member| &*member.zone == zone).or(order.first()).copied()
    }
}

/// Returns a hash of `bytes` that is the same on all VMs.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    hasher.finish()
}

fn score(key: u64, name: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(key, 0);
    hasher.write(name.as_bytes());
    hasher.finish()
}
