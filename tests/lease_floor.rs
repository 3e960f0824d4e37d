//! The floor of the acknowledged log index that control VMs keep.

use std::{collections::BTreeMap, time::Duration};

use galenatrail::{Acks, Applied, LEASE_DURATION, Progress, Time};

fn report(vms: &[(&str, u64, u64)]) -> Progress {
    let applied = vms.iter().map(|&(vm, incarnation, index)| {
        let name: galenatrail::Name = vm.into();
        (name, Applied { incarnation, index })
    });
    Progress { after: 0, applied: BTreeMap::from_iter(applied) }
}

fn at(millis: u64) -> Time {
    Time::ZERO + LEASE_DURATION + Duration::from_millis(millis)
}

#[test]
fn lowest_index() {
    let mut acks = Acks::new();
    acks.record_report(at(0), &report(&[("a", 1, 7), ("b", 1, 5)]));
    assert_eq!(acks.floor(at(1)), Some(5));
    acks.record_report(at(2), &report(&[("b", 1, 9)]));
    assert_eq!(acks.floor(at(3)), Some(7));
}

#[test]
fn lapsed_vm() {
    let mut acks = Acks::new();
    acks.record_report(at(0), &report(&[("a", 1, 7)]));
    acks.record_report(at(500), &report(&[("b", 1, 9)]));
    assert_eq!(acks.floor(at(0) + LEASE_DURATION), Some(7));
    assert_eq!(acks.floor(at(1) + LEASE_DURATION), Some(9));
    assert_eq!(acks.floor(at(501) + LEASE_DURATION), None);
}

#[test]
fn late_report() {
    let mut acks = Acks::new();
    acks.record_report(at(0), &report(&[("a", 2, 4)]));
    acks.record_report(at(1), &report(&[("a", 1, 9)]));
    assert_eq!(acks.floor(at(2)), Some(4), "a report of an earlier incarnation is ignored");
    acks.record_report(at(3), &report(&[("a", 2, 3)]));
    assert_eq!(acks.floor(at(4)), Some(4), "the index does not decrease within one incarnation");
}

#[test]
fn new_start() {
    let mut acks = Acks::new();
    acks.record_report(at(0), &report(&[("a", 1, 9)]));
    acks.record_report(at(1), &report(&[("a", 2, 2)]));
    assert_eq!(acks.floor(at(2)), Some(2));
}

#[test]
fn control_start() {
    let mut acks = Acks::with_start(at(0), 0);
    acks.record_report(at(1), &report(&[("a", 1, 9)]));
    assert_eq!(
        acks.floor(at(2)),
        Some(0),
        "leases granted by the previous control VM may still be valid"
    );
    assert_eq!(acks.floor(at(0) + LEASE_DURATION), Some(9));
}

#[test]
fn behind_decision() {
    let mut acks = Acks::with_start(Time::ZERO, 0);
    acks.record_report(at(0), &report(&[("a", 1, 9)]));
    acks.pin_floor(at(1), 12);
    assert_eq!(acks.least(), 9);
    acks.record_report(at(2), &report(&[("joiner", 1, 4)]));
    assert_eq!(acks.floor(at(3)), Some(9), "the floor does not drop below the decided index");
    acks.pin_floor(at(1) + LEASE_DURATION, 12);
    assert_eq!(acks.least(), 12, "without valid leases every entry may be decided");
}

#[test]
fn unknown_decisions() {
    let mut acks = Acks::with_start(at(0), 5);
    acks.pin_floor(at(1), 7);
    assert_eq!(acks.least(), 7, "the previous leader may have decided every entry");
}
