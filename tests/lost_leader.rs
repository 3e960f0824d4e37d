//! Losses of control VMs one after the other, the leader's among them. A log of `2 f + 1` voters
//! bears `f` at a time; a VM counts as lost until 4 s after it, or its successor, has started.

use std::{ops::Range, time::Duration};

use galenatrail::{Command, Name, Outcome, Submission, SubmitResult, standin::Replicas};

const LIMIT: Duration = Duration::from_secs(30);
/// Time for which a VM counts as lost after its start, and a margin.
const CATCH_UP: Duration = Duration::from_millis(4_050);
/// Time from the end of a VM to the start of its successor.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
/// Time for which a VM that loses its disk is down.
const DOWN: Duration = Duration::from_millis(50);
/// Longest pause of a VM that costs it nothing.
const PAUSE: Duration = Duration::from_secs(8);
const SEEDS: Range<u64> = 0..60;

/// Returns a log with `voters` voters and one observer.
fn new_cluster(seed: u64, voters: u8) -> Replicas {
    let mut replicas = Replicas::new(seed, 3);
    replicas.set_voter_count(voters.into());
    for host in 1..=voters - 2 {
        replicas.add_observer(&format!("spare-{host}"), host);
    }
    let is_filled = |replicas: &Replicas| voter_names(replicas).len() == usize::from(voters);
    assert!(replicas.run_until(LIMIT, is_filled), "seed {seed}: no log was formed");
    replicas.run(CATCH_UP);
    replicas
}

/// Returns the voters as the leader knows them.
fn voter_names(replicas: &Replicas) -> Vec<Name> {
    let Some(leader) = replicas.leader() else { return Vec::new() };
    let members = replicas.node(&leader).unwrap().replica().members();
    let mut names: Vec<_> = members.voters.values().map(|seat| seat.name.clone()).collect();
    names.sort();
    names
}

/// Returns the running VMs that vote and do not lead.
fn followers(replicas: &Replicas) -> Vec<Name> {
    let leader = replicas.leader();
    let running = |name: &Name| replicas.node(name).is_some() && leader.as_ref() != Some(name);
    voter_names(replicas).into_iter().filter(running).collect()
}

fn lose_disk(replicas: &mut Replicas, vms: &[Name]) {
    let seeds = running(replicas, vms);
    vms.iter().for_each(|vm| replicas.wipe(vm));
    replicas.run(DOWN);
    replicas.set_seeds(seeds.iter().take(3));
    vms.iter().for_each(|vm| replicas.start(vm));
}

/// Returns the VMs that run, without `lost`.
fn running(replicas: &Replicas, lost: &[Name]) -> Vec<Name> {
    let mut names = replicas.vm_names();
    names.retain(|name| replicas.node(name).is_some() && !lost.contains(name));
    names
}

/// Lets `vm` end for good and starts its successor.
fn replace(replicas: &mut Replicas, vm: &Name, host: u8) {
    replicas.crash(vm, 0);
    let seeds = running(replicas, &[]);
    replicas.run(SUCCESSOR_DELAY);
    replicas.set_seeds(seeds.iter().take(3));
    replicas.add_observer(&format!("successor-{host}"), host);
}

fn assert_accepts(replicas: &mut Replicas, seed: u64) {
    assert!(replicas.run_until(LIMIT, |replicas| replicas.leader().is_some()), "seed {seed}");
    let command = Command::Zone { zone: "plovdiv".into(), out: true };
    let leader = replicas.leader().unwrap();
    let ticket = replicas.submit(&leader, Submission::new(command));
    let is_accepted = |replicas: &Replicas| {
        let result = replicas.submit_results.get(&ticket);
        matches!(result, Some(SubmitResult::Ordered(Outcome::Accepted { .. })))
    };
    assert!(replicas.run_until(LIMIT, is_accepted), "seed {seed}: no order is accepted");
    assert_eq!(replicas.violations, Vec::<String>::new(), "seed {seed}");
}

/// Guards against a leader that loses its disk and counts as a voter when the next disk is lost.
#[test]
fn disks_are_lost_one_after_the_other_and_the_leader_first() {
    for seed in SEEDS {
        let mut replicas = new_cluster(seed, 3);
        let leader = replicas.leader().unwrap();
        lose_disk(&mut replicas, std::slice::from_ref(&leader));
        replicas.run(CATCH_UP);
        let next = followers(&replicas).into_iter().find(|vm| *vm != leader).unwrap();
        lose_disk(&mut replicas, &[next]);
        assert_accepts(&mut replicas, seed);
    }
}

/// Guards against a log that bears the loss of its leader once, but not each time.
#[test]
fn each_leader_in_turn_loses_its_disk() {
    for seed in SEEDS {
        let mut replicas = new_cluster(seed, 3);
        for _ in 0..6 {
            assert!(
                replicas.run_until(LIMIT, |replicas| replicas.leader().is_some()),
                "seed {seed}: no leader"
            );
            let leader = replicas.leader().unwrap();
            lose_disk(&mut replicas, &[leader]);
            replicas.run(CATCH_UP);
        }
        assert_accepts(&mut replicas, seed);
    }
}

/// Guards against a leader that ends for good and counts as a voter when the next disk is lost.
#[test]
fn a_leader_that_ends_for_good_is_replaced_before_the_next_loss() {
    for seed in SEEDS {
        let mut replicas = new_cluster(seed, 3);
        let leader = replicas.leader().unwrap();
        replace(&mut replicas, &leader, 30);
        replicas.run(CATCH_UP);
        let next = followers(&replicas).first().cloned().expect("a follower");
        lose_disk(&mut replicas, &[next]);
        assert_accepts(&mut replicas, seed);
    }
}

/// Guards against a voter whose time as a lost one starts again with each leader.
#[test]
fn a_voter_that_ends_for_good_is_replaced_though_the_leader_changes() {
    for seed in SEEDS {
        let mut replicas = new_cluster(seed, 5);
        let gone = followers(&replicas)[seed as usize % 4].clone();
        replace(&mut replicas, &gone, 30);
        replicas.run(Duration::from_secs(1));
        replicas.isolated.extend(replicas.leader());
        replicas.run(Duration::from_secs(2));
        replicas.isolated.clear();
        replicas.run(CATCH_UP);
        let others = followers(&replicas);
        let next: Vec<_> = others.into_iter().filter(|vm| *vm != gone).take(2).collect();
        lose_disk(&mut replicas, &next);
        assert_accepts(&mut replicas, seed);
    }
}

/// Guards against a log of five voters that bears two losses at a time only once.
#[test]
fn two_disks_at_a_time_are_lost_one_pair_after_the_other() {
    for seed in SEEDS {
        let mut replicas = new_cluster(seed, 5);
        for round in 0..3 {
            assert!(
                replicas.run_until(LIMIT, |replicas| replicas.leader().is_some()),
                "seed {seed}: no leader in round {round}"
            );
            let other = followers(&replicas)[seed as usize % 4].clone();
            let leader = replicas.leader().unwrap();
            lose_disk(&mut replicas, &[leader, other]);
            replicas.run(CATCH_UP);
        }
        assert_accepts(&mut replicas, seed);
    }
}

/// Guards against a voter, the leader in particular, that a pause costs its place.
#[test]
fn a_pause_removes_no_voter() {
    for seed in SEEDS {
        let mut replicas = new_cluster(seed, 3);
        let before = voter_names(&replicas);
        let leader = replicas.leader().unwrap();
        let paused = if seed % 2 == 0 { leader } else { followers(&replicas)[0].clone() };
        replicas.run(Duration::from_millis(seed % 10 * 50));
        replicas.isolated.insert(paused);
        replicas.run(if seed % 4 < 2 { PAUSE } else { PAUSE / 2 });
        replicas.isolated.clear();
        replicas.run(Duration::from_secs(12));
        assert_eq!(voter_names(&replicas), before, "seed {seed}");
        assert_eq!(replicas.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a restart with its disk that costs the leader its place.
#[test]
fn a_restart_removes_no_voter() {
    for seed in SEEDS {
        let mut replicas = new_cluster(seed, 3);
        let before = voter_names(&replicas);
        let leader = replicas.leader().unwrap();
        replicas.crash(&leader, 0);
        replicas.run(Duration::from_millis(seed % 10 * 300));
        replicas.start(&leader);
        replicas.run(Duration::from_secs(8));
        assert_eq!(voter_names(&replicas), before, "seed {seed}");
    }
}

/// Guards against a voter that runs and takes no entries, for as long as a VM may be paused.
#[test]
fn a_voter_whose_disk_fails_is_replaced_within_seconds() {
    for seed in SEEDS {
        let mut replicas = new_cluster(seed, 3);
        let leader = replicas.leader().unwrap();
        let failed = followers(&replicas)[seed as usize % 2].clone();
        replicas.disk(&failed).set_sync_failure(true);
        let command = Command::Zone { zone: "varna".into(), out: true };
        replicas.submit(&leader, Submission::new(command));
        let is_replaced = |replicas: &Replicas| {
            let names = voter_names(replicas);
            names.len() == 3 && !names.contains(&failed)
        };
        assert!(replicas.run_until(Duration::from_secs(5), is_replaced), "seed {seed}");
    }
}
