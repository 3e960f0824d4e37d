//! When an entry VM that has started takes packets.

use std::time::Duration;

use galenatrail::{Readiness, Time};

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{PERIOD, at};

/// Age of a registry that has heard every server.
const OLD: Duration = Duration::from_secs(10);

fn started() -> Readiness {
    Readiness::new(Time::ZERO, PERIOD)
}

#[test]
fn a_quorum_makes_a_vm_ready_at_once() {
    let mut readiness = started();
    assert!(!readiness.judge(at(10), true), "nothing was told yet");
    readiness.told(true, OLD);
    assert!(readiness.judge(at(20), true));
    assert!(!readiness.judge(at(30), true), "it is ready once");
}

#[test]
fn without_a_quorum_a_vm_is_ready_before_the_next_sign_of_life() {
    let mut readiness = started();
    readiness.told(false, Duration::from_millis(20));
    assert!(!readiness.judge(at(20), true));
    let due = readiness.due();
    assert!(due < at(1_000), "control VMs give a sign of life once a second");
    assert!(readiness.judge(due, true));
}

#[test]
fn a_registry_that_has_just_begun_to_hear_confirms_nothing() {
    let mut readiness = started();
    readiness.told(true, PERIOD);
    assert!(!readiness.judge(at(20), true));
}

#[test]
fn a_vm_that_was_not_told_everything_is_not_ready() {
    let mut readiness = started();
    assert!(!readiness.judge(at(5_000), true));
    readiness.told(true, OLD);
    assert!(!readiness.judge(at(5_010), false), "no plan, or no server");
    assert!(readiness.judge(at(5_020), true));
}
