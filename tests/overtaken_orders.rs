//! Orders that reach the leader after a later order has undone them.

use std::time::Duration;

use galenatrail::{Command, Outcome, Request, Submission, SubmitResult, standin::Replicas};

const SECOND: Duration = Duration::from_secs(1);

fn new_cluster(seed: u64) -> Replicas {
    let mut replicas = Replicas::new(seed, 3);
    assert!(replicas.run_until(SECOND * 10, Replicas::all_voters_synced));
    replicas
}

fn order(id: u64, made: u64, command: Command) -> Submission {
    Submission { request: Some(Request { id, made }), token: None, command }
}

fn zone(out: bool) -> Command {
    Command::Zone { zone: "plovdiv".into(), out }
}

fn drain(draining: bool) -> Command {
    Command::Drain { server: "hub-1".into(), draining }
}

fn submit(replicas: &mut Replicas, vm: &str, submission: Submission) -> SubmitResult {
    let ticket = replicas.submit(vm, submission);
    replicas.run(SECOND);
    replicas.submit_results[&ticket].clone()
}

/// Returns the number of commands that `vm` has applied.
fn index(replicas: &Replicas, vm: &str) -> u64 {
    replicas.node(vm).unwrap().state().index
}

fn is_accepted(result: &SubmitResult) -> bool {
    matches!(result, SubmitResult::Ordered(Outcome::Accepted { .. }))
}

#[track_caller]
fn expect_overtaken(result: SubmitResult) {
    match result {
        SubmitResult::Ordered(Outcome::Refused { message }) => {
            assert!(message.contains("a later order"), "{message}");
        }
        other => panic!("not refused: {other:?}"),
    }
}

/// Guards against an order that waited somewhere and then undoes one acknowledged since.
#[test]
fn an_overtaken_order_is_refused_by_each_vm() {
    for (on, off) in [(zone(true), zone(false)), (drain(true), drain(false))] {
        let mut replicas = new_cluster(1);
        assert!(is_accepted(&submit(&mut replicas, "control-1", order(1, 0, on.clone()))));
        let made = index(&replicas, "control-1");
        // The first copy of the end waits; the second one and a new start are acknowledged.
        assert!(is_accepted(&submit(&mut replicas, "control-2", order(2, made, off.clone()))));
        let last = order(3, index(&replicas, "control-1"), on.clone());
        assert!(is_accepted(&submit(&mut replicas, "control-2", last)));
        let before = replicas.node("control-1").unwrap().state().clone();
        for (id, vm) in (4..).zip(["control-1", "control-2", "control-3"]) {
            expect_overtaken(submit(&mut replicas, vm, order(id, made, off.clone())));
        }
        let after = replicas.node("control-1").unwrap().state();
        assert_eq!((&before.zones_out, &before.drains), (&after.zones_out, &after.drains));
    }
}

/// Guards against an order that is proposed while the one that overtakes it is not yet committed.
#[test]
fn an_order_is_overtaken_before_the_later_one_is_applied() {
    let mut replicas = new_cluster(2);
    let leader = replicas.leader().unwrap();
    assert!(is_accepted(&submit(&mut replicas, &leader, order(1, 0, zone(false)))));
    let made = index(&replicas, &leader);
    let later = replicas.submit(&leader, order(2, made, zone(true)));
    let late = replicas.submit(&leader, order(3, made, zone(false)));
    replicas.run(SECOND);
    assert!(is_accepted(&replicas.submit_results[&later]));
    expect_overtaken(replicas.submit_results[&late].clone());
    assert!(replicas.node(&leader).unwrap().state().zones_out.contains_key("plovdiv"));
}

/// Guards against a resend that is refused although its first copy was accepted.
#[test]
fn a_resend_gets_the_recorded_outcome_after_a_later_order() {
    let mut replicas = new_cluster(3);
    let first = order(1, 0, zone(true));
    assert!(is_accepted(&submit(&mut replicas, "control-1", first.clone())));
    let made = index(&replicas, "control-1");
    assert!(is_accepted(&submit(&mut replicas, "control-2", order(2, made, zone(false)))));
    assert!(is_accepted(&submit(&mut replicas, "control-3", first)));
    let state = replicas.node("control-1").unwrap().state();
    assert!(state.zones_out.is_empty(), "the resend changed nothing");
}

/// Guards against refusing orders that do not contradict a later one.
#[test]
fn orders_for_other_zones_and_equal_orders_overtake_nothing() {
    let mut replicas = new_cluster(4);
    let other = Command::Zone { zone: "varna".into(), out: true };
    assert!(is_accepted(&submit(&mut replicas, "control-1", order(1, 0, other))));
    assert!(is_accepted(&submit(&mut replicas, "control-2", order(2, 0, zone(false)))));
    assert!(is_accepted(&submit(&mut replicas, "control-3", order(3, 0, zone(false)))));
    assert!(is_accepted(&submit(&mut replicas, "control-3", order(4, 0, drain(true)))));
}

/// Guards against a new leader that does not know the orders acknowledged by the former one.
#[test]
fn a_new_leader_refuses_an_overtaken_order() {
    let mut replicas = new_cluster(5);
    let leader = replicas.leader().unwrap();
    let made = index(&replicas, &leader);
    assert!(is_accepted(&submit(&mut replicas, &leader, order(1, made, zone(true)))));
    replicas.crash(&leader, 0);
    replicas.run(SECOND * 5);
    let next = replicas.leader().unwrap();
    assert_ne!(next, leader);
    expect_overtaken(submit(&mut replicas, &next, order(2, made, zone(false))));
}
