//! Models of three alternative methods of flow placement, at the sizes of the flow measures. In
//! each, a backend server drains, and an entry VM fails a few seconds later.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use crate::table::Table;

const FLOWS: u64 = 20_000;
const FLOWS_PER_SECOND: u64 = 2_000;
const SERVERS: u64 = 14;
const VMS: u64 = 8;
const DRAINED_SERVER: u64 = 3;
const FAILED_VM: u64 = 5;

/// Virtual nodes of each server on the consistent-hashing ring.
const VIRTUAL_NODES: u64 = 100;

/// Size in a batch of a flow record and of the entry that ends it.
const RECORD_BYTES: u64 = 18;

/// Interval between two batches of replicated records, in milliseconds.
const REPLICATION_INTERVAL_MS: u64 = 200;

/// Prints the broken flows, the control bytes per second and VM, and the imbalance of each method.
pub(crate) fn report(table: &Table) {
    let before = hash_ring(&(0..SERVERS).collect::<Vec<_>>());
    let after =
        hash_ring(&(0..SERVERS).filter(|&server| server != DRAINED_SERVER).collect::<Vec<_>>());
    let remapped = (0..FLOWS).filter(|&flow| server_of(&before, flow) != server_of(&after, flow));
    let remapped: Vec<_> = remapped.collect();

    // Consistent hashing (Karger et al., 1997): no per-flow state, so every remapped flow breaks.
    table.note("flow.base.hash.broken", remapped.len() as f64);
    table.note("flow.base.hash.control", 0.0);
    table.note("flow.base.hash.imbalance", imbalance(&before));

    // Full replication of flow records: only flows that are not yet in a batch break when their
    // VM fails.
    let unreplicated = FLOWS_PER_SECOND * REPLICATION_INTERVAL_MS / 1_000;
    let unreplicated =
        (FLOWS..FLOWS + unreplicated).filter(|&flow| home_vm(flow, VMS) == FAILED_VM);
    table.note("flow.base.track.broken", unreplicated.count() as f64);
    table.note("flow.base.track.control", (FLOWS_PER_SECOND * RECORD_BYTES / VMS) as f64);
    table.note("flow.base.track.imbalance", imbalance(&before));

    // One home VM per flow, without replication: remapped flows break when their home VM fails.
    let unreplicated = remapped.iter().filter(|&&flow| home_vm(flow, VMS) == FAILED_VM);
    table.note("flow.base.home.broken", unreplicated.count() as f64);
    table.note("flow.base.home.control", 0.0);
    table.note("flow.base.home.imbalance", imbalance(&before));
}

fn hash_ring(servers: &[u64]) -> BTreeMap<u64, u64> {
    let nodes =
        servers.iter().flat_map(|&server| (0..VIRTUAL_NODES).map(move |node| (server, node)));
    nodes.map(|(server, node)| (hash((server, node)), server)).collect()
}

fn server_of(ring: &BTreeMap<u64, u64>, flow: u64) -> u64 {
    let mut after = ring.range(hash(flow)..);
    *after.next().or_else(|| ring.first_key_value()).expect("the ring is not empty").1
}

fn home_vm(flow: u64, vms: u64) -> u64 {
    hash((flow, "home")) % vms
}

fn imbalance(ring: &BTreeMap<u64, u64>) -> f64 {
    let mut counts = BTreeMap::<u64, u64>::new();
    for flow in 0..FLOWS {
        *counts.entry(server_of(ring, flow)).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    most as f64 * SERVERS as f64 / FLOWS as f64
}

fn hash(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
