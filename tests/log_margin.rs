//! How many more losses the log bears, as its leader sees it.

use std::time::Duration;

use galenatrail::standin::Replicas;

/// Time within which a leader notices that a voter is gone, or back.
const NOTICE_TIME: Duration = Duration::from_millis(2_500);

fn margin(replicas: &Replicas) -> Option<usize> {
    let leader = replicas.leader()?;
    replicas.node(&leader)?.status(replicas.now()).margin
}

fn follower(replicas: &Replicas) -> galenatrail::Name {
    let leader = replicas.leader().expect("there is a leader");
    let mut names = replicas.vm_names().into_iter();
    names.find(|name| *name != leader).expect("there is a follower")
}

fn formed(voters: u8) -> Replicas {
    let mut replicas = Replicas::new(u64::from(voters), voters);
    replicas.set_voter_count(voters.into());
    assert!(replicas.run_until(Duration::from_secs(10), Replicas::all_voters_synced));
    replicas.run(NOTICE_TIME);
    replicas
}

#[test]
fn it_is_the_tolerance_while_all_voters_answer() {
    for (voters, expected) in [(1, 0), (3, 1), (5, 2)] {
        assert_eq!(margin(&formed(voters)), Some(expected), "{voters} voters");
    }
}

/// Guards against a margin that counts voters which nobody has heard.
#[test]
fn it_falls_with_a_silent_voter_and_rises_when_it_is_back() {
    let mut replicas = formed(3);
    let silent = follower(&replicas);
    replicas.isolated.insert(silent.clone());
    replicas.run(NOTICE_TIME);
    assert_eq!(margin(&replicas), Some(0));
    replicas.isolated.remove(&silent);
    replicas.run(NOTICE_TIME);
    assert_eq!(margin(&replicas), Some(1));
}

/// Guards against a disk that is lost and still counts, as its control VM runs.
#[test]
fn a_lost_disk_counts_again_once_it_is_replaced() {
    let mut replicas = formed(3);
    let lost = follower(&replicas);
    replicas.wipe(&lost);
    replicas.run(NOTICE_TIME);
    assert_eq!(margin(&replicas), Some(0));
    replicas.start(&lost);
    assert!(replicas.run_until(Duration::from_secs(5), |replicas| margin(replicas) == Some(1)));
    assert!(replicas.all_voters_synced());
}

#[test]
fn followers_do_not_know_it() {
    let replicas = formed(3);
    let node = replicas.node(&follower(&replicas)).unwrap();
    assert_eq!(node.status(replicas.now()).margin, None);
}
