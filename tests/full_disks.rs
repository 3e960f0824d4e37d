//! Disks of control VMs that are full for a few seconds each, one after the other.

use std::{collections::BTreeSet, time::Duration};

use galenatrail::{Command, Outcome, RoutingConfig, Submission, SubmitResult, standin::Replicas};

const SEEDS: u64 = 3;
const FULL_TIME: Duration = Duration::from_secs(3);
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time from which on a change has to be acknowledged again, that of an operator's resends.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// A change as large as one with a few dozen routes.
fn change(number: u64) -> Submission {
    let config = RoutingConfig { number, source: vec![0; 1_000].into(), ..Default::default() };
    Submission::new(Command::Whole(config.into()))
}

fn is_accepted(result: Option<&SubmitResult>) -> bool {
    matches!(result, Some(SubmitResult::Ordered(Outcome::Accepted { .. })))
}

/// Submits changes to all VMs in turn for `time`; returns the highest number that was accepted.
fn submit_changes(replicas: &mut Replicas, number: &mut u64, time: Duration) -> u64 {
    let names = replicas.vm_names();
    let mut tickets = Vec::new();
    for step in 0..(time.as_millis() / CHANGE_INTERVAL.as_millis()) as usize {
        *number += 1;
        let ticket = replicas.submit(&names[step % names.len()], change(*number));
        tickets.push((ticket, *number));
        replicas.run(CHANGE_INTERVAL);
    }
    let accepted =
        tickets.iter().filter(|(ticket, _)| is_accepted(replicas.submit_results.get(ticket)));
    accepted.map(|(_, number)| *number).max().unwrap_or(0)
}

/// Fills the disk of each VM once, in an order that depends on the seed.
fn run(seed: u64, voters: u8, observers: u8) {
    let mut replicas = Replicas::new(seed, voters);
    replicas.set_voter_count(voters.into());
    assert!(replicas.run_until(Duration::from_secs(30), Replicas::all_voters_synced));
    for host in 1..=observers {
        replicas.add_observer(&format!("observer-{host}"), host);
    }
    replicas.set_voter_count(voters.into());
    replicas.run(Duration::from_secs(2));
    let mut number = 0;
    let mut names = replicas.vm_names();
    let len = names.len();
    names.rotate_left(seed as usize % len);
    if let Some(leader) = replicas.leader().filter(|_| seed.is_multiple_of(2)) {
        names.retain(|name| **name != *leader);
        names.insert(0, leader);
    }
    for name in names {
        replicas.disk(&name).set_full(true);
        submit_changes(&mut replicas, &mut number, FULL_TIME);
        replicas.disk(&name).set_full(false);
        submit_changes(&mut replicas, &mut number, Duration::from_millis(500 * (seed % 4)));
    }
    replicas.run(ACK_TIMEOUT);
    for name in replicas.vm_names() {
        number += 1;
        let ticket = replicas.submit(&name, change(number));
        replicas.run(Duration::from_secs(1));
        let result = replicas.submit_results.get(&ticket);
        assert!(is_accepted(result), "seed {seed}: {name} answers {result:?}");
    }
    assert_eq!(replicas.violations, Vec::<String>::new(), "seed {seed}");
    let held: BTreeSet<_> = replicas
        .vm_names()
        .iter()
        .map(|name| replicas.node(name).unwrap().state().whole.as_ref().unwrap().number)
        .collect();
    assert_eq!(held, BTreeSet::from([number]), "seed {seed}");
}

/// Guards against control VMs that refuse or do not answer changes long after the last of their
/// disks has room again.
#[test]
fn changes_are_accepted_once_all_disks_have_room() {
    for seed in 1..=SEEDS {
        run(seed, 3, 0);
        run(seed, 3, 1);
        run(seed, 5, 1);
    }
}
