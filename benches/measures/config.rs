//! Durability, messages and restart cost of the replicated configuration log.

use std::{collections::BTreeMap, time::Duration};

use galenatrail::{Command, Outcome, Request, Submission, SubmitResult, standin::Replicas};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::table::Table;

const CHANGES: u64 = 1_000;
/// Changes per thousand during which one VM is killed.
const KILLS_PER_THOUSAND: u32 = 200;
const MAX_ATTEMPTS: usize = 50;
/// Interval between two attempts, the same as in the operators' client.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(60);
/// Overhead of a message: its MAC, and half of the HTTP headers and JSON of a call, which carries
/// one message in each direction.
const MESSAGE_OVERHEAD_BYTES: f64 = 32.0 + 175.0;
const CHANGES_PER_DAY: f64 = 4_600.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Measures the replicated log.
pub(crate) fn measure(table: &mut Table) {
    random_kills(table);
    messages(table);
    restart(table);
}

/// Returns a formed cluster with `voters` voters and `observers` observers.
fn start_cluster(seed: u64, voters: u8, observers: u8) -> Replicas {
    let mut replicas = Replicas::new(seed, voters);
    assert!(
        replicas.run_until(TIMEOUT, Replicas::all_voters_synced),
        "the voters did not form a cluster in time"
    );
    for host in 1..=observers {
        replicas.add_observer(&format!("observer-{host}"), host);
    }
    let joined = |replicas: &Replicas| {
        let leader = replicas.leader().and_then(|leader| replicas.node(&leader));
        leader.is_some_and(|node| node.replica().members().learners.len() == usize::from(observers))
    };
    assert!(replicas.run_until(TIMEOUT, joined), "the observers did not join in time");
    replicas.run(Duration::from_secs(10));
    replicas
}

fn change(id: u64) -> Submission {
    let command = Command::Zone { zone: format!("zone-{id}").into(), out: true };
    Submission { request: Some(Request { id, made: 0 }), token: None, command }
}

/// Counts changes that are lost or applied twice while VMs are killed at random. Operators repeat
/// each unanswered change at a randomly chosen VM.
fn random_kills(table: &mut Table) {
    let mut replicas = start_cluster(1, 3, 0);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    (replicas.loss_permille, replicas.duplicate_permille) = (50, 20);
    let (mut kills, mut resends) = (0, 0);
    for id in 0..CHANGES {
        let names = replicas.vm_names();
        let mut pending_kill = None;
        if rng.random_range(0..1_000) < KILLS_PER_THOUSAND {
            let vm = names[rng.random_range(0..names.len())].clone();
            pending_kill = Some((vm, rng.random_range(0..30)));
        }
        for attempt in 0..MAX_ATTEMPTS {
            let vm = &names[rng.random_range(0..names.len())];
            let ticket = replicas.submit(vm, change(id));
            replicas.run(Duration::from_millis(rng.random_range(1..40)));
            if let Some((vm, torn)) = pending_kill.take() {
                replicas.crash(&vm, torn);
                replicas.run(Duration::from_millis(rng.random_range(0..3_000)));
                replicas.start(&vm);
                kills += 1;
            }
            let answered = |replicas: &Replicas| replicas.submit_results.contains_key(&ticket);
            replicas.run_until(Duration::from_millis(1_200), answered);
            if matches!(replicas.submit_results.get(&ticket), Some(SubmitResult::Ordered(_))) {
                break;
            }
            resends += 1;
            assert!(
                attempt + 1 < MAX_ATTEMPTS,
                "change {id} was not answered in {MAX_ATTEMPTS} attempts"
            );
            replicas.run(RETRY_INTERVAL);
        }
    }
    (replicas.loss_permille, replicas.duplicate_permille) = (0, 0);
    assert!(
        replicas.run_until(TIMEOUT, Replicas::all_voters_synced),
        "the voters did not recover in time"
    );
    assert_eq!(replicas.violations, Vec::<String>::new());
    let accepted =
        |fate: &&SubmitResult| matches!(fate, SubmitResult::Ordered(Outcome::Accepted { .. }));
    assert!(replicas.submit_results.values().filter(accepted).count() as u64 >= CHANGES);
    let leader = replicas.leader().expect("there is a leader");
    let machine = replicas.node(&leader).expect("the leader is running");
    let machine = machine.read(replicas.now()).expect("the leader can serve consistent reads");
    let present = machine.state().zones_out.len() as u64;
    let mut counts = BTreeMap::new();
    for past in machine.history() {
        *counts.entry(&past.subject).or_insert(0u64) += 1;
    }
    let twice: u64 = counts.values().map(|count| count - 1).sum();
    table.check("config.lost", (CHANGES - present) as f64);
    table.check("config.twice", twice as f64);
    table.note("config.kills", f64::from(kills));
    table.note("config.resends", f64::from(resends));
}

/// Measures messages per change and the traffic of the leader for several numbers of control VMs.
fn messages(table: &mut Table) {
    const SPAN: Duration = Duration::from_secs(100);
    const CHANGES: u32 = 100;
    let mut points = Vec::new();
    for (voters, observers) in [(1, 0), (3, 0), (5, 0), (5, 12)] {
        let mut replicas = start_cluster(2, voters, observers);
        let leader = replicas.leader().expect("there is a leader");
        let vms = f64::from(voters + observers);
        let count = |replicas: &mut Replicas, changes: u32| {
            let before = replicas.sent;
            for id in 0..changes {
                replicas.submit(&leader, change(id.into()));
                replicas.run(SPAN / changes);
            }
            if changes == 0 {
                replicas.run(SPAN);
            }
            (replicas.sent.0 - before.0, replicas.sent.1 - before.1)
        };
        let rest = count(&mut replicas, 0);
        let busy = count(&mut replicas, CHANGES);
        let bytes =
            |(messages, bytes): (u64, u64)| messages as f64 * MESSAGE_OVERHEAD_BYTES + bytes as f64;
        let per_change = (busy.0 - rest.0) as f64 / f64::from(CHANGES);
        let change_bytes = (bytes(busy) - bytes(rest)) / f64::from(CHANGES);
        // The leader is an endpoint of every message, so this is its own traffic.
        let bytes_s =
            bytes(rest) / SPAN.as_secs_f64() + change_bytes * CHANGES_PER_DAY / SECONDS_PER_DAY;
        table.note(&format!("config.messages.{vms}"), per_change);
        match voters + observers {
            3 => table.check("config.leader_bytes.3", bytes_s),
            17 => table.check("config.leader_bytes.17", bytes_s),
            _ => table.note(&format!("config.leader_bytes.{vms}"), bytes_s),
        }
        points.push((vms, per_change));
    }
    table.check("config.messages.slope", slope(&points));
}

/// Counts the entries that a restart replays, for several lengths of the log.
fn restart(table: &mut Table) {
    let mut points = Vec::new();
    for len in [100, 1_000, 10_000] {
        let mut replicas = start_cluster(3, 1, 0);
        for id in 0..len {
            let command = Command::Zone { zone: "varna".into(), out: id % 2 == 0 };
            replicas.submit("control-1", Submission::new(command));
            replicas.run(Duration::from_millis(3));
        }
        replicas.run(Duration::from_secs(1));
        let state = replicas.node("control-1").expect("control-1 is running").state().clone();
        assert_eq!(state.index, len);
        replicas.crash("control-1", 0);
        let replayed = replicas.recover("control-1").entries.len();
        replicas.start("control-1");
        assert!(replicas.run_until(TIMEOUT, |replicas| replicas.leader().is_some()));
        assert_eq!(*replicas.node("control-1").expect("control-1 is running").state(), state);
        table.note(&format!("config.restart.{len}"), replayed as f64);
        table.note(&format!("config.restart.{len}.no_snapshot"), replicas.committed_index() as f64);
        points.push((len as f64, replayed as f64));
    }
    table.check("config.restart.slope", slope(&points));
}

/// Returns the slope of the least-squares line through `points`.
fn slope(points: &[(f64, f64)]) -> f64 {
    let len = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / len;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / len;
    let numerator: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let denominator: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    numerator / denominator
}
