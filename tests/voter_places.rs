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
