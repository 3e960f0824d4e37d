//! Clusters with a desired number of voters: observers replace lost voters.

use std::time::Duration;

use galenatrail::{Command, Outcome, Submission, SubmitResult, standin::Replicas};

const LIMIT: Duration = Duration::from_secs(30);

fn voters(replicas: &Replicas) -> Vec<String> {
    let Some(leader) = replicas.leader() else { return Vec::new() };
    let members = replicas.node(&leader).unwrap().replica().members();
    let mut names: Vec<_> = members.voters.values().map(|seat| seat.name.to_string()).collect();
    names.sort();
    names
}

/// Returns a cluster of three voters and an observer.
fn new_cluster(seed: u64) -> Replicas {
    let mut replicas = Replicas::new(seed, 3);
    replicas.set_voter_count(3);
    assert!(replicas.run_until(LIMIT, Replicas::all_voters_synced), "no log was formed");
    replicas.add_observer("spare-1", 9);
    replicas.run(Duration::from_secs(4));
    assert_eq!(voters(&replicas), ["control-1", "control-2", "control-3"]);
    replicas
}

#[test]
fn an_observer_takes_the_place_of_a_voter_that_is_gone_for_good() {
    for seed in 1..10 {
        let mut replicas = new_cluster(seed);
        let gone = format!("control-{}", seed % 3 + 1);
        replicas.crash(&gone, 0);
        let replaced = |replicas: &Replicas| {
            let names = voters(replicas);
            names.len() == 3 && !names.contains(&gone)
        };
        assert!(replicas.run_until(LIMIT, replaced), "seed {seed}: {:?}", voters(&replicas));
        assert_eq!(replicas.violations, Vec::<String>::new());
    }
}

#[test]
fn a_short_absence_costs_no_voter_its_place() {
    let mut replicas = new_cluster(20);
    replicas.crash("control-2", 0);
    replicas.run(Duration::from_secs(2));
    replicas.start("control-2");
    replicas.run(Duration::from_secs(6));
    assert_eq!(voters(&replicas), ["control-1", "control-2", "control-3"]);
}

#[test]
fn a_voter_that_was_replaced_while_it_was_cut_off_comes_back_as_an_observer() {
    for seed in 30..36 {
        let mut replicas = new_cluster(seed);
        let leader = replicas.leader().unwrap();
        let cut = replicas.vm_names().into_iter().find(|name| *name != leader).unwrap();
        replicas.isolated.insert(cut.clone());
        replicas.run(Duration::from_secs(12));
        assert!(!voters(&replicas).contains(&cut.to_string()), "seed {seed}");
        replicas.isolated.clear();
        replicas.run(Duration::from_secs(12));
        let leader = replicas.leader().unwrap();
        let members = replicas.node(&leader).unwrap().replica().members();
        assert!(members.iter().any(|(_, seat)| seat.name == cut), "seed {seed}: {members:?}");
        assert_eq!(replicas.violations, Vec::<String>::new());
    }
}

#[test]
fn a_wiped_voter_makes_no_log_of_its_own() {
    let mut replicas = new_cluster(40);
    let before = replicas.node("control-1").unwrap().replica().id();
    replicas.wipe("control-1");
    replicas.start("control-1");
    assert!(replicas.run_until(LIMIT, Replicas::all_voters_synced));
    assert_ne!(replicas.node("control-1").unwrap().replica().id(), before);
    assert_eq!(replicas.violations, Vec::<String>::new());
}

#[test]
fn five_places_filled_from_three_seeds_bear_the_loss_of_two_disks_and_all_power() {
    for seed in 50..56 {
        let mut replicas = Replicas::new(seed, 3);
        replicas.set_voter_count(5);
        replicas.add_observer("spare-1", 9);
        replicas.add_observer("spare-2", 10);
        replicas.add_observer("spare-3", 11);
        let filled = |replicas: &Replicas| voters(replicas).len() == 5;
        assert!(replicas.run_until(LIMIT, filled), "seed {seed}: {:?}", voters(&replicas));
        let command = Command::Zone { zone: "plovdiv".into(), out: true };
        let ticket = replicas.submit("control-1", Submission::new(command));
        let done = |replicas: &Replicas| replicas.submit_results.contains_key(&ticket);
        assert!(replicas.run_until(LIMIT, done));
        assert!(matches!(
            replicas.submit_results[&ticket],
            SubmitResult::Ordered(Outcome::Accepted { .. })
        ));
        let lost = voters(&replicas).split_off(3);
        for vm in replicas.vm_names() {
            replicas.crash(&vm, 0);
        }
        lost.iter().for_each(|vm| replicas.wipe(vm));
        for vm in replicas.vm_names() {
            replicas.start(&vm);
        }
        let held = |replicas: &Replicas| {
            let leader = replicas.leader();
            let node = leader.and_then(|leader| replicas.node(&leader));
            node.is_some_and(|node| node.state().zones_out.contains_key("plovdiv"))
        };
        assert!(replicas.run_until(LIMIT, held), "seed {seed}");
    }
}

#[test]
fn a_leader_that_stops_on_purpose_is_followed_by_another_at_once() {
    for seed in 60..70 {
        let mut replicas = new_cluster(seed);
        let leader = replicas.leader().unwrap();
        replicas.notify_stop(&leader);
        let next = |replicas: &Replicas| replicas.leader().is_some_and(|next| next != leader);
        // An election that waits for the election timeout takes at least 1.5 s.
        let limit = Duration::from_millis(800);
        assert!(replicas.run_until(limit, next), "seed {seed}");
        assert_eq!(replicas.violations, Vec::<String>::new());
    }
}

/// Time for which a VM that stops waits for its replacement.
const STOP_TIME: Duration = Duration::from_secs(2);

/// Stops a VM as planned; it ends as soon as its place is taken.
fn stop(replicas: &mut Replicas, vm: &str) {
    replicas.notify_stop(vm);
    let end = replicas.now() + STOP_TIME;
    while replicas.node(vm).unwrap().awaits_replacement() {
        assert!(replicas.now() < end, "{vm}: {:?}", voters(replicas));
        // Shorter than a tick, so that the moment is not missed.
        replicas.run(Duration::from_millis(3));
    }
    assert!(!voters(replicas).iter().any(|voter| voter == vm), "{vm} ends as a voter");
    replicas.crash(vm, 0);
}

fn accept(replicas: &mut Replicas, vm: &str, zone: &str) {
    let command = Command::Zone { zone: zone.into(), out: true };
    let ticket = replicas.submit(vm, Submission::new(command));
    replicas.run(Duration::from_secs(1));
    let result = replicas.submit_results.get(&ticket);
    let accepted = matches!(result, Some(SubmitResult::Ordered(Outcome::Accepted { .. })));
    assert!(accepted, "{vm}: {result:?}");
}

/// Guards against a stopped control VM that counts as a voter while another one loses its disk.
#[test]
fn a_planned_stop_and_a_lost_disk_leave_a_quorum() {
    for seed in 70..106 {
        let mut replicas = new_cluster(seed);
        if seed % 2 == 0 {
            replicas.add_observer("spare-2", 10);
            replicas.run(Duration::from_secs(4));
        }
        let stopped = format!("control-{}", seed % 3 + 1);
        stop(&mut replicas, &stopped);
        replicas.run(Duration::from_millis(100 * (seed % 5)));
        assert_eq!(voters(&replicas).len(), 3, "seed {seed}");
        assert!(!voters(&replicas).contains(&stopped), "seed {seed}");
        let lost = voters(&replicas)[seed as usize % 3].clone();
        accept(&mut replicas, &lost, "plovdiv");
        replicas.wipe(&lost);
        replicas.run(Duration::from_secs(3));
        replicas.start(&lost);
        assert!(replicas.run_until(LIMIT, Replicas::all_voters_synced), "seed {seed}");
        let leader = replicas.leader().unwrap();
        assert!(replicas.node(&leader).unwrap().state().zones_out.contains_key("plovdiv"));
        accept(&mut replicas, &leader, "varna");
        assert_eq!(replicas.violations, Vec::<String>::new());
    }
}

/// Guards against a rolling restart that leaves fewer voters, or a voter that does not run.
#[test]
fn a_rolling_restart_leaves_as_many_voters() {
    for seed in 110..116 {
        let mut replicas = new_cluster(seed);
        for vm in replicas.vm_names() {
            stop(&mut replicas, &vm);
            assert_eq!(voters(&replicas).len(), 3, "seed {seed}, {vm} is down");
            assert!(!voters(&replicas).contains(&vm.to_string()), "seed {seed}, {vm} is down");
            replicas.run(Duration::from_secs(1));
            replicas.start(&vm);
            replicas.run(Duration::from_secs(4));
        }
        assert!(replicas.run_until(LIMIT, Replicas::all_voters_synced), "seed {seed}");
        let leader = replicas.leader().unwrap();
        let members = replicas.node(&leader).unwrap().replica().members();
        assert_eq!((members.voters.len(), members.learners.len()), (3, 1), "seed {seed}");
        assert_eq!(replicas.violations, Vec::<String>::new());
    }
}

/// Guards against a restart that costs a voter its place though nobody can take it.
#[test]
fn without_an_observer_that_runs_a_voter_that_stops_keeps_its_place() {
    for seed in 120..126 {
        let mut replicas = new_cluster(seed);
        let before = voters(&replicas);
        replicas.crash("spare-1", 0);
        let stopped = &before[seed as usize % 3];
        replicas.notify_stop(stopped);
        replicas.run(STOP_TIME);
        assert_eq!(voters(&replicas), before, "seed {seed}");
        replicas.crash(stopped, 0);
        replicas.run(Duration::from_secs(1));
        replicas.start(stopped);
        replicas.run(Duration::from_secs(8));
        assert_eq!(voters(&replicas), before, "seed {seed}");
        assert_eq!(replicas.violations, Vec::<String>::new());
    }
}

/// Guards against a place that goes to an observer that is itself about to end.
#[test]
fn an_observer_that_stops_takes_no_place() {
    for seed in 130..136 {
        let mut replicas = new_cluster(seed);
        let before = voters(&replicas);
        replicas.notify_stop("spare-1");
        replicas.run(Duration::from_millis(150));
        replicas.notify_stop(&before[seed as usize % 3]);
        replicas.run(Duration::from_millis(500));
        assert_eq!(voters(&replicas), before, "seed {seed}");
    }
}

/// Guards against control VMs that stop together and take each other's places for good.
#[test]
fn control_vms_that_stop_together_are_all_members_again() {
    for seed in 140..146 {
        let mut replicas = new_cluster(seed);
        for vm in replicas.vm_names() {
            replicas.notify_stop(&vm);
            replicas.run(Duration::from_millis(30 * (seed - 140)));
        }
        replicas.run(STOP_TIME);
        for vm in replicas.vm_names() {
            replicas.crash(&vm, 0);
        }
        for vm in replicas.vm_names() {
            replicas.start(&vm);
        }
        assert!(replicas.run_until(LIMIT, Replicas::all_voters_synced), "seed {seed}");
        let leader = replicas.leader().unwrap();
        accept(&mut replicas, &leader, "plovdiv");
        assert_eq!(replicas.violations, Vec::<String>::new());
    }
}

/// Guards against a membership that keeps each control VM that was ever replaced.
#[test]
fn a_replaced_control_vm_leaves_the_membership_and_may_come_back() {
    let mut replicas = new_cluster(150);
    stop(&mut replicas, "control-2");
    let is_learner = |replicas: &Replicas| {
        let leader = replicas.leader().unwrap();
        let members = replicas.node(&leader).unwrap().replica().members();
        members.learners.values().any(|seat| &*seat.name == "control-2")
    };
    assert!(is_learner(&replicas));
    replicas.run(Duration::from_secs(90));
    assert!(!is_learner(&replicas));
    replicas.start("control-2");
    assert!(replicas.run_until(Duration::from_secs(2), is_learner));
    assert_eq!(replicas.violations, Vec::<String>::new());
}

/// Guards against a log that gives up voters because fewer are wanted than have formed it.
#[test]
fn an_odd_number_of_voters_stays() {
    for seed in 160..164 {
        let mut replicas = Replicas::new(seed, 3);
        replicas.set_voter_count(1);
        assert!(replicas.run_until(LIMIT, Replicas::all_voters_synced), "no log was formed");
        replicas.add_observer("spare-1", 9);
        replicas.run(Duration::from_secs(4));
        let before = voters(&replicas);
        assert_eq!(before.len(), 3, "seed {seed}");
        replicas.notify_stop(&before[0]);
        replicas.run(STOP_TIME);
        replicas.crash(&before[0], 0);
        replicas.run(Duration::from_secs(1));
        replicas.start(&before[0]);
        replicas.run(Duration::from_secs(8));
        assert_eq!(voters(&replicas), before, "seed {seed}");
    }
}
