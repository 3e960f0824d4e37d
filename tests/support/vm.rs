//! Entry VMs named `zone-number` for tests.

#![allow(dead_code, reason = "each user needs a part of it")]

use std::{collections::BTreeMap, net::SocketAddr};

use galenatrail::{Member, Name, standin::Mesh};

/// Checks that no VM has gone back to a lower index within its incarnation, as recorded in `seen`,
/// and that the lease of each VM below the floor has lapsed.
pub(crate) fn check_progress(mesh: &Mesh, seen: &mut BTreeMap<Name, (u64, u64)>) {
    let now = mesh.now();
    let floor = mesh.acks.floor(now);
    for (name, node) in &mesh.nodes {
        let index = node.state().index;
        let incarnation = node.me().incarnation;
        let (last, before) = seen.insert(name.clone(), (incarnation, index)).unwrap_or_default();
        assert!(
            last != incarnation || index >= before,
            "{name} went back from index {before} to {index}"
        );
        let behind = floor.is_some_and(|floor| index < floor);
        assert!(
            !behind || node.is_lease_lapsed(now),
            "{name} has a valid lease at index {index} below the floor {floor:?}"
        );
    }
}

/// Returns an address derived from a name such as `a-1`.
pub(crate) fn addr(name: &str) -> SocketAddr {
    let (zone, number) = name.split_once('-').unwrap();
    let zone = zone.bytes().last().unwrap();
    SocketAddr::new([127, 1, zone, number.parse().unwrap()].into(), 7946)
}

/// Returns a VM that is not ready.
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
