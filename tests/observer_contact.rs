//! Whether control VMs know that they are in contact with a leader that has a quorum.

use std::time::Duration;

use galenatrail::standin::Replicas;

const LIMIT: Duration = Duration::from_secs(30);
/// Interval at which the state is looked at.
const STEP: Duration = Duration::from_millis(50);

fn new_cluster(seed: u64) -> Replicas {
    let mut replicas = Replicas::new(seed, 3);
    replicas.set_voter_count(3);
    assert!(replicas.run_until(LIMIT, Replicas::all_voters_synced), "no log was formed");
    replicas.add_observer("spare-1", 9);
    replicas.run(Duration::from_secs(4));
    replicas
}

fn is_in_contact(replicas: &Replicas) -> bool {
    replicas.node("spare-1").unwrap().is_up_to_date(replicas.now())
}

/// Guards against an observer that takes the pause between two heartbeats for the loss of its leader.
#[test]
fn an_observer_stays_in_contact_between_two_heartbeats() {
    for seed in 1..6 {
        let mut replicas = new_cluster(seed);
        for step in 0..400 {
            replicas.run(STEP);
            assert!(is_in_contact(&replicas), "seed {seed}, step {step}");
            let leader = replicas.node("spare-1").unwrap().leader();
            assert!(leader.is_some(), "seed {seed}, step {step}");
        }
    }
}

/// Guards against an observer that counts as in contact for long after it was cut off.
#[test]
fn an_observer_that_is_cut_off_knows_it_in_time() {
    for seed in 20..26 {
        let mut replicas = new_cluster(seed);
        replicas.isolated.insert("spare-1".into());
        replicas.run(Duration::from_millis(2_600));
        assert!(!is_in_contact(&replicas), "seed {seed}");
    }
}

/// Guards against control VMs on the smaller side of a cut that count as in contact, as the leader is on
/// their side, for longer than that leader has a quorum.
#[test]
fn nobody_stays_in_contact_with_a_leader_that_has_lost_its_quorum() {
    for seed in 30..40 {
        let mut replicas = new_cluster(seed);
        replicas.cut_off.insert(replicas.leader().unwrap());
        replicas.cut_off.insert("spare-1".into());
        replicas.run(Duration::from_millis(1_700));
        for vm in &replicas.cut_off {
            let node = replicas.node(vm).unwrap();
            assert!(!node.is_up_to_date(replicas.now()), "seed {seed}: {vm}");
        }
        assert!(replicas.run_until(LIMIT, |replicas| replicas.leader().is_some()), "seed {seed}");
        assert_eq!(replicas.violations, Vec::<String>::new());
    }
}
