//! Random starts, ends and moves of servers, late and repeated messages, other writers, and control VMs
//! that freeze or restart: each control VM is right about each server, within a bound.
//!
//! `REGISTRY_CASES` sets the number of cases and `REGISTRY_SEED` their seed, for longer runs.

use std::env;

use proptest::{
    collection::vec,
    prelude::{Just, ProptestConfig, Strategy, any, prop_oneof},
    test_runner::{RngAlgorithm, RngSeed, TestCaseError, TestRunner},
};

#[path = "support/registry_world.rs"]
mod registry_world;

use registry_world::World;

const VMS: usize = 3;
const ADDRESSES: u8 = 8;
const CASES: u32 = 400;
const SEED: u64 = 6;

#[derive(Debug, Clone)]
enum Change {
    Start(u8),
    StartUnnamed(u8),
    StartAgain(usize, u8),
    Drain(usize),
    Crash(usize),
    Interfere(usize, usize, u8),
    Name,
    Freeze(usize, u64),
    Restart(usize),
    Wipe(usize),
}

fn change() -> impl Strategy<Value = Change> {
    let place = || 0..ADDRESSES;
    prop_oneof![
        3 => place().prop_map(Change::Start),
        1 => place().prop_map(Change::StartUnnamed),
        4 => (any::<usize>(), place()).prop_map(|(server, place)| Change::StartAgain(server, place)),
        4 => any::<usize>().prop_map(Change::Drain),
        3 => any::<usize>().prop_map(Change::Crash),
        2 => (any::<usize>(), any::<usize>(), place())
            .prop_map(|(vm, server, place)| Change::Interfere(vm, server, place)),
        1 => Just(Change::Name),
        3 => (any::<usize>(), 300..8_000_u64).prop_map(|(vm, millis)| Change::Freeze(vm, millis)),
        1 => any::<usize>().prop_map(Change::Restart),
        1 => any::<usize>().prop_map(Change::Wipe),
    ]
}

fn apply(world: &mut World, change: &Change) {
    match *change {
        Change::Start(place) => world.start("hub", place),
        Change::StartUnnamed(place) => world.start("desk", place),
        Change::StartAgain(server, place) => world.start_again(server, place),
        Change::Drain(server) => world.drain(server),
        Change::Crash(server) => world.crash(server),
        Change::Interfere(vm, server, place) => world.interfere(vm, server, place),
        Change::Name => world.name("desk"),
        Change::Freeze(vm, millis) => world.freeze(vm, millis),
        Change::Restart(vm) => world.restart(vm, false),
        Change::Wipe(vm) => world.restart(vm, true),
    }
}

fn parameter(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |value| value.parse().expect("an integer"))
}

/// Guards against a server that lives and is taken for gone, one that has ended and is used, and one
/// whose draining was acknowledged and gets new flows.
#[test]
fn each_vm_is_right_about_each_server() {
    let config = ProptestConfig {
        cases: parameter("REGISTRY_CASES", u64::from(CASES)) as u32,
        rng_seed: RngSeed::Fixed(parameter("REGISTRY_SEED", SEED)),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        max_shrink_iters: 3_000,
        ..ProptestConfig::default()
    };
    let changes = vec((change(), 0..6_000_u64), 4..30);
    let result = TestRunner::new(config).run(&(any::<u64>(), changes), |(seed, changes)| {
        let mut world = World::new(seed, VMS);
        world.run(4_000).map_err(TestCaseError::fail)?;
        for (change, millis) in &changes {
            apply(&mut world, change);
            world.run(*millis).map_err(TestCaseError::fail)?;
        }
        world.run(20_000).map_err(TestCaseError::fail)
    });
    if let Err(err) = result {
        panic!("{err:?}");
    }
}
