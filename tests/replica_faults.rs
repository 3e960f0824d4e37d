//! The replicated log under message loss, duplication and reordering, crashes, torn writes,
//! restarts and replaced disks, with fixed seeds.

use std::{collections::BTreeMap, time::Duration};

use galenatrail::{Command, Name, Outcome, Request, Submission, SubmitResult, standin::Replicas};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 40;
const STEPS: u32 = 120;
const SETTLE: Duration = Duration::from_secs(30);

fn zone_out(id: u64, made: u64) -> Submission {
    let command = Command::Zone { zone: format!("zone-{id}").into(), out: true };
    Submission { request: Some(Request { id, made }), token: None, command }
}

/// Injects or ends a random fault. At most a minority of data folders is lost at any time.
fn inject_fault(replicas: &mut Replicas, rng: &mut ChaCha8Rng) {
    let names = replicas.vm_names();
    let vm = names[rng.random_range(0..names.len())].clone();
    match rng.random_range(0..10) {
        0..3 => replicas.crash(&vm, rng.random_range(0..40)),
        3 if replicas.all_voters_synced() => {
            replicas.wipe(&vm);
            replicas.start(&vm);
        }
        4 => _ = replicas.isolated.insert(vm),
        5 => replicas.isolated.clear(),
        6 => replicas.disk(&vm).set_full(true),
        7 => replicas.disk(&vm).set_sync_failure(true),
        _ => {
            for vm in names {
                replicas.disk(&vm).set_full(false);
                replicas.disk(&vm).set_sync_failure(false);
                replicas.start(&vm);
            }
        }
    }
}

fn heal(replicas: &mut Replicas) {
    (replicas.loss_permille, replicas.duplicate_permille) = (0, 0);
    replicas.isolated.clear();
    for vm in replicas.vm_names() {
        replicas.disk(&vm).set_full(false);
        replicas.disk(&vm).set_sync_failure(false);
        replicas.start(&vm);
    }
}

/// Submits each change several times to random VMs. Checks that accepted changes are not lost and
/// that no change is applied twice.
fn run(seed: u64, voters: u8) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut replicas = Replicas::new(seed, voters);
    assert!(
        replicas.run_until(SETTLE, Replicas::all_voters_synced),
        "seed {seed}: no log was formed"
    );
    (replicas.loss_permille, replicas.duplicate_permille) = (100, 50);
    let mut tickets = BTreeMap::new();
    for step in 0..STEPS {
        inject_fault(&mut replicas, &mut rng);
        let names = replicas.vm_names();
        let vm = names[rng.random_range(0..names.len())].clone();
        // Every third submission repeats the previous one, usually on another VM.
        let id = u64::from(step - u32::from(step % 3 == 2));
        tickets.insert(replicas.submit(&vm, zone_out(id, 0)), id);
        replicas.run(Duration::from_millis(rng.random_range(0..3_000)));
        assert_eq!(replicas.violations, Vec::<String>::new(), "seed {seed}, step {step}");
    }
    heal(&mut replicas);
    let whole = replicas.run_until(SETTLE, Replicas::all_voters_synced);
    assert!(whole, "seed {seed}: the voters did not come back");
    replicas.run(Duration::from_secs(2));
    assert_eq!(replicas.violations, Vec::<String>::new(), "seed {seed}");
    let leader = replicas.leader().unwrap();
    let node = replicas.node(&leader).unwrap();
    assert!(
        node.replica().commit_index() >= replicas.committed_index(),
        "seed {seed}: entries were lost"
    );
    let machine = node.read(replicas.now()).unwrap();
    let mut accepted = 0;
    for (ticket, id) in &tickets {
        if let Some(SubmitResult::Ordered(Outcome::Accepted { .. })) =
            replicas.submit_results.get(ticket)
        {
            let zone = Name::from(format!("zone-{id}"));
            assert!(machine.state().zones_out.contains_key(&zone), "seed {seed}: {zone} was lost");
            accepted += 1;
        }
    }
    assert!(accepted > 0, "seed {seed}: nothing was accepted, so nothing was tried");
    let mut times = BTreeMap::new();
    for past in machine.history() {
        *times.entry(past.subject.clone()).or_insert(0) += 1;
    }
    assert!(times.values().all(|times| *times == 1), "seed {seed}: applied twice: {times:?}");
    for vm in replicas.vm_names() {
        let other = replicas.node(&vm).unwrap();
        assert_eq!(other.state(), node.state(), "seed {seed}: {vm} differs");
    }
}

#[test]
fn three_voters() {
    (0..SEEDS).for_each(|seed| run(seed, 3));
}

#[test]
fn five_voters() {
    (0..SEEDS / 2).for_each(|seed| run(1_000 + seed, 5));
}

#[test]
fn single_voter() {
    let mut replicas = Replicas::new(1, 1);
    assert!(replicas.run_until(SETTLE, Replicas::all_voters_synced));
    let ticket = replicas.submit("control-1", zone_out(1, 0));
    replicas.run(Duration::from_millis(100));
    assert!(matches!(
        replicas.submit_results[&ticket],
        SubmitResult::Ordered(Outcome::Accepted { .. })
    ));
    replicas.crash("control-1", 0);
    replicas.start("control-1");
    replicas.run(Duration::from_millis(500));
    assert!(replicas.node("control-1").unwrap().state().zones_out.contains_key("zone-1"));
}

/// A disk that is slower than the tick interval delays an election but does not restart it.
#[test]
fn slow_disk() {
    let mut replicas = Replicas::new(1, 1);
    replicas.write_latency = Duration::from_millis(900);
    assert!(replicas.run_until(SETTLE, |replicas| replicas.leader().is_some()));
    assert_eq!(replicas.node("control-1").unwrap().replica().term(), 2);
}
