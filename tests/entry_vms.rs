//! The entry VMs that a control VM tells that it is up.

use std::net::SocketAddr;

use galenatrail::{EntryVms, Time};

fn addr(host: u8) -> SocketAddr {
    format!("10.1.0.{host}:7720").parse().unwrap()
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Returns the times, in steps of 50 ms from `start` on, at which `vms` sends something.
fn rounds(vms: &mut EntryVms, start: u64, steps: u64) -> Vec<u64> {
    let times = (0..steps).map(|step| start + step * 50);
    times.filter(|now| !vms.take_due(at(*now)).is_empty()).collect()
}

#[test]
fn entry_vms_known_before_the_start_are_told() {
    let mut vms = EntryVms::new(Time::ZERO, vec![addr(1), addr(2)]);
    assert_eq!(vms.take_due(at(0)), [addr(1), addr(2)]);
    assert_eq!(rounds(&mut vms, 50, 24), [100, 200, 300, 400, 500, 750, 1_000]);
    assert_eq!(rounds(&mut vms, 10_000, 100).len(), 3, "less and less often");
}

#[test]
fn an_entry_vm_that_loses_its_feed_is_told_until_it_has_one() {
    let mut vms = EntryVms::new(Time::ZERO, Vec::new());
    vms.record_subscribed(at(0), addr(1));
    vms.record_subscribed(at(0), addr(2));
    assert!(rounds(&mut vms, 0, 100).is_empty());
    vms.record_lost(at(5_000), addr(1));
    assert_eq!(vms.take_due(at(5_000)), [addr(1)]);
    assert_eq!(vms.take_due(at(5_050)), []);
    assert_eq!(vms.take_due(at(5_100)), [addr(1)]);
    vms.record_served(at(5_150), [addr(1)]);
    assert!(rounds(&mut vms, 5_200, 100).is_empty(), "another control VM has it");
}

#[test]
fn rounds_missed_while_the_vm_was_busy_are_not_made_up_for() {
    let mut vms = EntryVms::new(Time::ZERO, vec![addr(1)]);
    assert_eq!(vms.take_due(at(350)), [addr(1)]);
    assert_eq!(vms.take_due(at(390)), []);
    assert_eq!(vms.take_due(at(450)), [addr(1)]);
}

#[test]
fn entry_vms_with_a_feed_are_told_no_more() {
    let mut vms = EntryVms::new(Time::ZERO, vec![addr(1), addr(2), addr(3)]);
    assert_eq!(vms.take_due(at(0)).len(), 3);
    vms.record_subscribed(at(50), addr(1));
    vms.record_served(at(60), [addr(3), addr(4)]);
    assert_eq!(vms.take_due(at(100)), [addr(2)]);
    assert_eq!(vms.retained(at(100)), [addr(1), addr(2), addr(3), addr(4)]);
}

#[test]
fn the_restart_of_one_control_vm_disturbs_no_entry_vm() {
    let mut vms = EntryVms::new(Time::ZERO, vec![addr(1)]);
    vms.record_other_up();
    assert!(rounds(&mut vms, 0, 100).is_empty());
    vms.record_lost(at(6_000), addr(1));
    assert_eq!(vms.take_due(at(6_000)), [addr(1)]);
}

#[test]
fn entry_vms_that_stay_away_are_forgotten() {
    let mut vms = EntryVms::new(Time::ZERO, vec![addr(1), addr(2)]);
    vms.record_served(at(300_000), [addr(2)]);
    assert_eq!(vms.retained(at(599_999)), [addr(1), addr(2)]);
    assert_eq!(vms.retained(at(600_000)), [addr(2)]);
    vms.record_lost(at(600_000), addr(1));
    assert_eq!(vms.take_due(at(600_000)), []);
}

#[test]
fn a_subscription_is_passed_on_once() {
    let mut vms = EntryVms::new(Time::ZERO, vec![addr(1)]);
    vms.record_served(at(10), [addr(2)]);
    assert_eq!(vms.take_news(), []);
    vms.record_subscribed(at(20), addr(1));
    assert_eq!(vms.take_news(), [addr(1)]);
    assert_eq!(vms.take_news(), []);
}
