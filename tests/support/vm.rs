//! Entry VMs named `zone-number` for tests.

#![allow(dead_code, reason = "each user needs a part of it")]

use std::{collections::BTreeMap, net::SocketAddr};

use galenatrail::{Member, Name, standin::Mesh};

/// Checks that no VM has gone back since the start and index in `seen`, and that each VM below the
/// floor of the leases is careful.
pub(crate) fn check_progress(mesh: &Mesh, seen: &mut BTreeMap<Name, (u64, u64)>) {
    let now = mesh.now();
    let floor = mesh.acks.floor(now);
    for (name, node) in &mesh.nodes {
        let index = node.state().index;
        let start = node.me().incarnation;
        let (last, before) = seen.insert(name.clone(), (start, index)).unwrap_or_default();
        assert!(last != start || index >= before, "{name} went back from {before} to {index}");
        let behind = floor.is_some_and(|floor| index < floor);
        assert!(!behind || node.is_lease_lapsed(now), "{name} relies on {index}, floor {floor:?}");
    }
}

/// Returns an address made from a name such as `a-1`.
pub(crate) fn addr(name: &str) -> SocketAddr {
    let (zone, number) = name.split_once('-').unwrap();
    let zone = zone.bytes().last().unwrap();
    SocketAddr::new([127, 1, zone, number.parse().unwrap()].into(), 7946)
}

/// Returns a VM that is not ready yet.
pub(crate) fn member(name: &str, incarnation: u64) -> Member {
    Member {
        name: name.into(),
        zone: name.split_once('-').unwrap().0.into(),
        packets: addr(name),
        peers: addr(name),
        incarnation,
        ready: false,
    }
}
