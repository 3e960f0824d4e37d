//! Which control VMs the two feeds of an entry VM try, and in which order.

use std::{collections::BTreeMap, net::SocketAddr};

use galenatrail::{ControlLocation, FeedTargets, Time};

fn addr(host: u8) -> SocketAddr {
    format!("10.1.0.{host}:7720").parse().unwrap()
}

fn location(host: u8, zone: &str) -> ControlLocation {
    ControlLocation { addr: addr(host), zone: zone.into() }
}

/// Returns the targets of an entry VM in zone `a` that knows one control VM in each of three zones.
fn targets(name: &str) -> FeedTargets {
    let mut targets = FeedTargets::new(name.into(), "a".into());
    targets.set_known(Time::ZERO, &[location(1, "a"), location(2, "b"), location(3, "c")]);
    targets
}

#[test]
fn a_round_tries_every_control_vm_once() {
    let targets = targets("entry-1");
    let seeds = [addr(3), addr(4), addr(4)];
    for slot in [0, 1] {
        let mut candidates = targets.candidates(Time::ZERO, slot, &seeds);
        candidates.sort();
        assert_eq!(candidates, [addr(1), addr(2), addr(3), addr(4)]);
    }
}

#[test]
fn the_first_feed_prefers_its_availability_zone() {
    for vm in 0..50 {
        let targets = targets(&format!("entry-{vm}"));
        assert_eq!(targets.candidates(Time::ZERO, 0, &[])[0], addr(1));
    }
}

#[test]
fn entry_vms_spread_over_the_control_vms() {
    let mut firsts = BTreeMap::new();
    for vm in 0..300 {
        let targets = FeedTargets::new(format!("entry-{vm}").into(), "a".into());
        let candidates = targets.candidates(Time::ZERO, 0, &[addr(1), addr(2), addr(3)]);
        *firsts.entry(candidates[0]).or_insert(0) += 1;
    }
    assert_eq!(firsts.len(), 3);
    assert!(firsts.values().all(|count| (70..=130).contains(count)), "{firsts:?}");
}

#[test]
fn the_feeds_never_share_a_control_vm() {
    let mut targets = targets("entry-1");
    assert!(targets.claim(0, addr(1)));
    assert!(!targets.claim(1, addr(1)));
    assert!(!targets.candidates(Time::ZERO, 1, &[]).contains(&addr(1)));
    assert!(targets.claim(1, addr(2)));
    targets.record_failure(Time::ZERO, 0);
    assert!(targets.claim(1, addr(1)));
}

#[test]
fn a_control_vm_that_failed_is_tried_last_for_a_while() {
    let mut targets = targets("entry-1");
    targets.claim(0, addr(1));
    targets.record_failure(Time::ZERO, 0);
    assert_eq!(targets.candidates(Time::from_millis(4_900), 0, &[]).last(), Some(&addr(1)));
    assert_eq!(targets.candidates(Time::from_millis(5_000), 0, &[])[0], addr(1));
}

#[test]
fn the_first_feed_moves_to_its_availability_zone_once_a_control_vm_is_there() {
    let mut targets = FeedTargets::new("entry-1".into(), "a".into());
    targets.claim(0, addr(2));
    assert_eq!(targets.better(Time::ZERO, 0), None);
    targets.set_known(Time::ZERO, &[location(1, "a"), location(2, "b")]);
    assert_eq!(targets.better(Time::ZERO, 0), Some(addr(1)));
    targets.claim(1, addr(2));
    assert_eq!(targets.better(Time::ZERO, 1), None, "the second feed stays where it is");
    targets.claim(0, addr(1));
    assert_eq!(targets.better(Time::ZERO, 0), None);
}

#[test]
fn a_suspended_control_vm_does_not_draw_the_first_feed_back_and_forth() {
    let mut targets = targets("entry-1");
    targets.claim(0, addr(1));
    targets.record_failure(Time::ZERO, 0);
    targets.claim(0, addr(2));
    let mut moves = 0;
    for step in 0..50 {
        moves += u32::from(targets.better(Time::from_millis(step * 100), 0).is_some());
    }
    assert_eq!(moves, 0);
    assert_eq!(targets.better(Time::from_millis(5_000), 0), Some(addr(1)));
}

#[test]
fn a_control_vm_that_tells_of_its_start_is_tried_first() {
    let mut targets = FeedTargets::new("entry-1".into(), "a".into());
    targets.claim(0, addr(9));
    targets.record_failure(Time::ZERO, 0);
    let seeds = [addr(1), addr(2), addr(3)];
    assert!(targets.add_hint(Time::ZERO, location(9, "b")));
    assert!(!targets.add_hint(Time::from_millis(100), location(9, "b")), "told twice");
    for slot in [0, 1] {
        assert_eq!(targets.candidates(Time::from_millis(100), slot, &seeds)[0], addr(9));
    }
}

#[test]
fn only_so_many_hints_are_kept() {
    let mut targets = FeedTargets::new("entry-1".into(), "a".into());
    let added = (0..100).filter(|host| targets.add_hint(Time::ZERO, location(*host, "b"))).count();
    assert_eq!(added, 32);
    assert!(targets.add_hint(Time::from_millis(2_000), location(100, "b")));
}
