//! Loss, replacement, partition and addition of control VMs.

use std::{collections::BTreeMap, time::Duration};

use galenatrail::{
    Applied, Command, LEASE_DURATION, Name, Outcome, Progress, Submission, SubmitResult,
    standin::Replicas,
};

const LIMIT: Duration = Duration::from_secs(20);
const HOUR: Duration = Duration::from_secs(3_600);

fn new_cluster(seed: u64, voters: u8) -> Replicas {
    let mut replicas = Replicas::new(seed, voters);
    assert!(replicas.run_until(LIMIT, Replicas::all_voters_synced), "no log was formed");
    replicas
}

fn accept(replicas: &mut Replicas, vm: &str, zone: &str) {
    let command = Command::Zone { zone: zone.into(), out: true };
    let ticket = replicas.submit(vm, Submission::new(command));
    replicas.run(Duration::from_secs(1));
    let result = replicas.submit_results.get(&ticket);
    assert!(
        matches!(result, Some(SubmitResult::Ordered(Outcome::Accepted { .. }))),
        "{vm}: {result:?}"
    );
}

fn followers(replicas: &Replicas) -> Vec<Name> {
    let leader = replicas.leader().unwrap();
    replicas.vm_names().into_iter().filter(|name| *name != leader).collect()
}

#[track_caller]
fn assert_zones_out(replicas: &Replicas, zones: &[&str]) {
    let leader = replicas.leader().expect("there is a leader");
    let state = replicas.node(&leader).unwrap().state();
    for zone in zones {
        assert!(state.zones_out.contains_key(*zone), "{zone} was lost");
    }
    assert_eq!(replicas.violations, Vec::<String>::new());
}

/// The loss of a second VM right after the repair of the first loses no accepted change.
#[test]
fn second_loss() {
    for seed in 0..20 {
        let mut replicas = new_cluster(seed, 3);
        let leader = replicas.leader().unwrap();
        let first = followers(&replicas)[0].clone();
        let second = followers(&replicas)[1].clone();
        // Only the leader and `first` have the last change.
        replicas.isolated.insert(second.clone());
        accept(&mut replicas, &leader, "sofia-a");
        replicas.wipe(&first);
        replicas.isolated.clear();
        replicas.start(&first);
        assert!(
            replicas.run_until(LIMIT, Replicas::all_voters_synced),
            "seed {seed}: not repaired"
        );
        replicas.wipe(&leader);
        assert!(replicas.run_until(LIMIT, |replicas| replicas.leader().is_some()), "seed {seed}");
        assert_zones_out(&replicas, &["sofia-a"]);
        replicas.start(&leader);
        assert!(
            replicas.run_until(LIMIT, Replicas::all_voters_synced),
            "seed {seed}: not repaired"
        );
        assert_zones_out(&replicas, &["sofia-a"]);
    }
}

/// A wiped voter neither votes nor counts towards a quorum before it has caught up, and never
/// bootstraps a second log.
#[test]
fn wiped_voter() {
    let mut replicas = new_cluster(4, 3);
    let leader = replicas.leader().unwrap();
    accept(&mut replicas, &leader, "sofia-a");
    let first = followers(&replicas)[0].clone();
    let second = followers(&replicas)[1].clone();
    replicas.isolated.insert(first.clone());
    replicas.isolated.insert(second.clone());
    for vm in [&leader, &second] {
        replicas.wipe(vm);
        replicas.start(vm);
    }
    // Two of three disks are lost. Only the third still has the log, and no new one is
    // bootstrapped.
    replicas.isolated.remove(&second);
    replicas.run(Duration::from_secs(30));
    assert_eq!(replicas.leader(), None);
    assert!(replicas.node(&leader).unwrap().replica().last().index == 0);
    assert!(replicas.node(&first).unwrap().state().zones_out.contains_key("sofia-a"));
    assert_eq!(replicas.violations, Vec::<String>::new());
}

/// A VM that returns after being partitioned for an hour neither increases the term nor deposes the
/// leader.
#[test]
fn hour_apart() {
    let mut replicas = new_cluster(5, 3);
    let leader = replicas.leader().unwrap();
    let apart = followers(&replicas)[0].clone();
    let term = replicas.node(&leader).unwrap().replica().term();
    replicas.isolated.insert(apart.clone());
    replicas.run(HOUR / 2);
    accept(&mut replicas, &leader, "sofia-a");
    replicas.run(HOUR / 2);
    assert!(!replicas.node(&apart).unwrap().state().zones_out.contains_key("sofia-a"));
    replicas.isolated.clear();
    replicas.run(Duration::from_secs(5));
    assert_eq!(replicas.leader(), Some(leader.clone()));
    assert_eq!(replicas.node(&leader).unwrap().replica().term(), term);
    assert!(replicas.node(&apart).unwrap().state().zones_out.contains_key("sofia-a"));
    assert_zones_out(&replicas, &["sofia-a"]);
}

/// A partitioned leader stops serving reads and acknowledging changes; the other VMs elect a new
/// leader.
#[test]
fn cut_leader() {
    let mut replicas = new_cluster(6, 3);
    let old = replicas.leader().unwrap();
    replicas.isolated.insert(old.clone());
    let command = Command::Zone { zone: "varna".into(), out: true };
    let ticket = replicas.submit(&old, Submission::new(command.clone()));
    replicas.run(Duration::from_secs(6));
    let (now, node) = (replicas.now(), replicas.node(&old).unwrap());
    assert!(node.read(now).is_err());
    assert!(!matches!(replicas.submit_results.get(&ticket), Some(SubmitResult::Ordered(_)) | None));
    let late = replicas.submit(&old, Submission::new(command));
    assert_eq!(replicas.submit_results.get(&late), Some(&SubmitResult::Unavailable));
    let new = replicas.leader().expect("the others have a leader");
    assert_ne!(new, old);
    accept(&mut replicas, &new, "sofia-a");
    replicas.isolated.clear();
    replicas.run(Duration::from_secs(3));
    let state = replicas.node(&old).unwrap().state();
    assert!(state.zones_out.contains_key("sofia-a") && !state.zones_out.contains_key("varna"));
    assert_zones_out(&replicas, &["sofia-a"]);
}

/// Observers receive the log and forward submissions, but never vote.
#[test]
fn observers() {
    let mut replicas = new_cluster(7, 3);
    replicas.add_observer("watch-1", 1);
    replicas.add_observer("watch-2", 2);
    let joined = |replicas: &Replicas| {
        let leader = replicas.leader().and_then(|leader| replicas.node(&leader));
        leader.is_some_and(|leader| leader.replica().members().learners.len() == 2)
    };
    assert!(replicas.run_until(LIMIT, joined));
    replicas.run(Duration::from_secs(1));
    accept(&mut replicas, "watch-1", "sofia-a");
    replicas.run(Duration::from_secs(1));
    assert!(replicas.node("watch-2").unwrap().state().zones_out.contains_key("sofia-a"));
    let leader = replicas.leader().unwrap();
    replicas.crash(&leader, 0);
    let second = replicas.run_until(LIMIT, |replicas| replicas.leader().is_some());
    assert!(second, "two voters of three elect a leader");
    let leader = replicas.leader().unwrap();
    replicas.crash(&leader, 0);
    replicas.run(Duration::from_secs(10));
    assert_eq!(replicas.leader(), None, "observers make no quorum");
}

/// A follower grants the lease of a progress report only with the leader's confirmation.
#[test]
fn reported_lease() {
    let mut replicas = new_cluster(8, 3);
    let follower = followers(&replicas)[0].clone();
    let applied = BTreeMap::from([("entry-1".into(), Applied { incarnation: 1, index: 0 })]);
    let progress = Progress { after: 0, applied };
    let ticket = replicas.report_progress(&follower, progress.clone());
    replicas.run(Duration::from_millis(100));
    assert_eq!(replicas.report_answers[&ticket].lease, LEASE_DURATION);
    replicas.isolated.insert(follower.clone());
    let ticket = replicas.report_progress(&follower, progress);
    replicas.run(Duration::from_secs(2));
    assert_eq!(replicas.report_answers[&ticket].lease, Duration::ZERO);
}

/// A VM that is behind the compacted log receives a snapshot.
#[test]
fn snapshot_catch_up() {
    let mut replicas = new_cluster(9, 3);
    let leader = replicas.leader().unwrap();
    let apart = followers(&replicas)[0].clone();
    replicas.crash(&apart, 0);
    for id in 0..1_700 {
        let command = Command::Zone { zone: format!("zone-{id}").into(), out: true };
        replicas.submit(&leader, Submission::new(command));
        replicas.run(Duration::from_millis(20));
    }
    let base = replicas.node(&leader).unwrap().replica().snapshot().last_entry.index;
    assert!(base >= 1_000, "{base}");
    replicas.start(&apart);
    assert!(replicas.run_until(LIMIT, Replicas::all_voters_synced));
    replicas.run(Duration::from_secs(1));
    assert!(replicas.recover(&apart).snapshot.last_entry.index >= base, "it got a snapshot");
    let state = replicas.node(&apart).unwrap().state().clone();
    assert_eq!(state, *replicas.node(&leader).unwrap().state());
    assert_eq!(state.zones_out.len(), 1_700);
    // Restart from the snapshot.
    replicas.crash(&apart, 0);
    replicas.start(&apart);
    assert!(replicas.run_until(LIMIT, Replicas::all_voters_synced));
    replicas.run(Duration::from_secs(1));
    assert_eq!(*replicas.node(&apart).unwrap().state(), state);
    assert_eq!(replicas.violations, Vec::<String>::new());
}
