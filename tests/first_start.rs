//! Control VMs that lose their disks while they start for the first time.

use std::time::Duration;

use galenatrail::{Command, Submission, SubmitResult, standin::Replicas};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// Longest time until the log takes commands: the replies of all voters expire, the highest one
/// waits for two others, and three votes are in vain.
const FORM_LIMIT: Duration = Duration::from_secs(15);
const VOTERS: [&str; 3] = ["control-1", "control-2", "control-3"];

fn first_start(seed: u64) -> Replicas {
    let mut replicas = Replicas::new(seed, 3);
    replicas.set_voter_count(3);
    replicas.add_observer("control-4", 4);
    replicas
}

/// Takes the disk of `vm` and brings it back after `down`.
fn lose(replicas: &mut Replicas, vm: &str, down: Duration) {
    replicas.lose_disk(vm);
    replicas.run(down);
    replicas.start(vm);
}

fn check_service(replicas: &mut Replicas, case: &str) {
    let formed = replicas.run_until(FORM_LIMIT, |replicas| replicas.leader().is_some());
    assert!(formed, "{case}: no log after {FORM_LIMIT:?}");
    let is_served = (0..10).any(|_| {
        let ticket = replicas.submit("control-4", zone_out("sofia"));
        replicas.run(Duration::from_secs(1));
        matches!(replicas.submit_results.get(&ticket), Some(SubmitResult::Ordered(_)))
    });
    assert!(is_served, "{case}: the log takes no command");
    let is_whole = replicas.run_until(FORM_LIMIT, Replicas::all_voters_synced);
    assert!(is_whole, "{case}: voters are missing");
    assert!(replicas.violations.is_empty(), "{case}: {:?}", replicas.violations);
}

fn zone_out(zone: &str) -> Submission {
    Submission::new(Command::Zone { zone: zone.into(), out: true })
}

/// Guards against a first start that hangs for ever as the voter that would form the log has lost
/// its disk.
#[test]
fn one_disk() {
    for (number, vm) in VOTERS.into_iter().enumerate() {
        for at in (0..4_000).step_by(50) {
            let mut replicas = first_start(at * 3 + number as u64);
            replicas.run(Duration::from_millis(at));
            lose(&mut replicas, vm, Duration::from_millis(1_000));
            check_service(&mut replicas, &format!("{vm} at {at} ms"));
        }
    }
}

/// Guards against the same with two voters, and against two logs, as both may have formed one.
#[test]
fn one_after_another() {
    for later in (0..7_000).step_by(50) {
        let mut replicas = first_start(later);
        replicas.run(Duration::from_millis(500));
        lose(&mut replicas, "control-1", Duration::from_millis(1_000));
        replicas.run(Duration::from_millis(later));
        if replicas.committed_index() == 0 {
            lose(&mut replicas, "control-2", Duration::from_millis(1_000));
        }
        check_service(&mut replicas, &format!("control-2 after {later} ms"));
    }
}

/// Guards against two logs and lost acknowledgements, whatever is lost on the network meanwhile.
#[test]
fn random_losses() {
    for seed in 0..SEEDS {
        play(seed);
    }
}

#[test]
#[ignore = "takes minutes; run by hand with more seeds"]
fn many_random_losses() {
    for seed in SEEDS..SEEDS + 4_000 {
        play(seed);
    }
}

const SEEDS: u64 = 60;

fn play(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut replicas = first_start(seed);
    replicas.loss_permille = *[0, 20, 200].choose(&mut rng).unwrap();
    replicas.duplicate_permille = rng.random_range(0..100);
    replicas.delay = Duration::from_millis(*[1, 5, 80].choose(&mut rng).unwrap());
    replicas.write_latency = Duration::from_millis(*[2, 20, 300].choose(&mut rng).unwrap());
    let mut submitted = Vec::new();
    let mut was_lost = false;
    for round in 0..40 {
        replicas.run(Duration::from_millis(rng.random_range(20..600)));
        let vm = *VOTERS.choose(&mut rng).unwrap();
        match rng.random_range(0..6) {
            0 if !was_lost => {
                was_lost = true;
                lose(&mut replicas, vm, Duration::from_millis(rng.random_range(50..2_000)));
            }
            1 => {
                replicas.crash(vm, rng.random_range(0..100));
                replicas.run(Duration::from_millis(rng.random_range(50..2_000)));
                replicas.start(vm);
            }
            2 => _ = replicas.isolated.insert(vm.into()),
            3 => replicas.isolated.clear(),
            _ => {
                let zone = format!("zone-{round}");
                submitted.push((replicas.submit(vm, zone_out(&zone)), zone));
            }
        }
    }
    replicas.isolated.clear();
    replicas.loss_permille = 0;
    check_service(&mut replicas, &format!("seed {seed}"));
    let leader = replicas.leader().unwrap();
    let zones = &replicas.node(&leader).unwrap().state().zones_out;
    for (ticket, zone) in submitted {
        if let Some(SubmitResult::Ordered(_)) = replicas.submit_results.get(&ticket) {
            assert!(zones.contains_key(&*zone), "seed {seed}: {zone} is lost");
        }
    }
}
