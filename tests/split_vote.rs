//! Elections after the loss of a leader.

use std::time::Duration;

use galenatrail::standin::Replicas;

/// Guards against split votes that leave no time to replace a voter before the next loss.
#[test]
fn an_election_is_over_soon_after_a_split_vote() {
    // The longest election timeout, and three attempts.
    const LIMIT: Duration = Duration::from_millis(3_700);
    for seed in 0..400 {
        let mut replicas = Replicas::new(seed, 3);
        assert!(replicas.run_until(Duration::from_secs(30), Replicas::all_voters_synced));
        let leader = replicas.leader().unwrap();
        replicas.crash(&leader, 0);
        let is_elected = |replicas: &Replicas| replicas.leader().is_some();
        assert!(replicas.run_until(LIMIT, is_elected), "seed {seed}: no leader");
        assert_eq!(replicas.violations, Vec::<String>::new(), "seed {seed}");
    }
}
