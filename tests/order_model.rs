//! Random orders of an operator on availability zones, with copies that wait, under message loss, crashes
//! and partitions: what was acknowledged holds until a later order is sent.
//!
//! `ORDER_SEEDS` sets the number of seeds, for longer runs.

use std::{collections::BTreeMap, env, time::Duration};

use galenatrail::{
    Command, Name, Outcome, Request, Submission, SubmitResult, Time, standin::Replicas,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 30;
const STEPS: u32 = 60;
const ZONES: [&str; 2] = ["plovdiv", "varna"];
/// Time for which the operator waits for an answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
const SETTLE: Duration = Duration::from_secs(30);
/// Attempts within which an order is acknowledged once every VM is up and connected.
const MAX_TRIES: u32 = 10;

/// A copy of an order that waits after the look at its operator's connection.
struct Copy {
    due: Time,
    vm: Name,
    submission: Submission,
}

struct World {
    replicas: Replicas,
    copies: Vec<Copy>,
    /// Whether each zone is out, for those whose last order was acknowledged.
    acknowledged: BTreeMap<&'static str, bool>,
    last_id: u64,
    rng: ChaCha8Rng,
    seed: u64,
}

impl World {
    fn new(seed: u64) -> World {
        let mut replicas = Replicas::new(seed, 3);
        assert!(replicas.run_until(SETTLE, Replicas::all_voters_synced), "seed {seed}");
        let rng = ChaCha8Rng::seed_from_u64(seed);
        World { replicas, copies: Vec::new(), acknowledged: BTreeMap::new(), last_id: 0, rng, seed }
    }

    fn any_vm(&mut self) -> Name {
        let names = self.replicas.vm_names();
        names[self.rng.random_range(0..names.len())].clone()
    }

    /// Runs for `span`, submits the copies that are due, and checks what was acknowledged.
    fn run(&mut self, span: Duration) {
        let end = self.replicas.now() + span;
        while self.replicas.now() < end {
            self.replicas.run(Duration::from_millis(100));
            let now = self.replicas.now();
            for copy in self.copies.extract_if(.., |copy| copy.due <= now) {
                self.replicas.submit(&copy.vm, copy.submission);
            }
            self.check();
        }
    }

    /// Checks the state of the leader, whose reads are confirmed.
    fn check(&self) {
        assert_eq!(self.replicas.violations, Vec::<String>::new(), "seed {}", self.seed);
        let Some(leader) = self.replicas.leader() else { return };
        let state = self.replicas.node(&leader).unwrap().state();
        for (zone, out) in &self.acknowledged {
            let (seed, now) = (self.seed, self.replicas.now());
            let is_out = state.zones_out.contains_key(*zone);
            assert_eq!(
                is_out, *out,
                "seed {seed}, {now:?}: {zone}, which was acknowledged as {out}"
            );
        }
    }

    /// Sends one copy of an order; returns whether it is acknowledged.
    fn send(&mut self, zone: &'static str, out: bool) -> bool {
        let vm = self.any_vm();
        let read = self.replicas.start_read(&vm);
        self.run(Duration::from_millis(200));
        if self.replicas.read_results.get(&read) != Some(&true) {
            return false;
        }
        let Some(node) = self.replicas.node(&vm) else { return false };
        let made = node.state().index;
        self.last_id += 1;
        let request = Some(Request { id: self.last_id, made });
        let command = Command::Zone { zone: zone.into(), out };
        let submission = Submission { request, token: None, command };
        if self.rng.random_range(0..3) == 0 {
            let wait = Duration::from_millis(self.rng.random_range(100..20_000));
            self.copies.push(Copy { due: self.replicas.now() + wait, vm, submission });
            self.run(REPLY_TIMEOUT);
            return false;
        }
        let ticket = self.replicas.submit(&vm, submission);
        self.run(REPLY_TIMEOUT);
        // A copy of an earlier order that was given up may come between the reading and this one, which
        // is then refused and has to be sent again.
        let result = self.replicas.submit_results.get(&ticket);
        matches!(result, Some(SubmitResult::Ordered(Outcome::Accepted { .. })))
    }

    /// Sends an order until it is acknowledged, `tries` times at most.
    fn order(&mut self, zone: &'static str, out: bool, tries: u32) -> bool {
        self.acknowledged.remove(zone);
        let is_acknowledged = (0..tries).any(|_| self.send(zone, out));
        if is_acknowledged {
            self.acknowledged.insert(zone, out);
        }
        is_acknowledged
    }

    fn disturb(&mut self) {
        let vm = self.any_vm();
        match self.rng.random_range(0..8) {
            0 | 1 => self.replicas.crash(&vm, 0),
            2 => _ = self.replicas.isolated.insert(vm),
            3 => self.replicas.loss_permille = 100,
            4 => self.replicas.duplicate_permille = 100,
            _ => self.heal(),
        }
    }

    fn heal(&mut self) {
        (self.replicas.loss_permille, self.replicas.duplicate_permille) = (0, 0);
        self.replicas.isolated.clear();
        for vm in self.replicas.vm_names() {
            self.replicas.start(&vm);
        }
    }
}

/// Guards against an order that waited and undoes one acknowledged since, and against orders that are
/// never acknowledged however often they are sent.
#[test]
fn what_was_acknowledged_holds_until_a_later_order() {
    let seeds = env::var("ORDER_SEEDS").map_or(SEEDS, |seeds| seeds.parse().expect("an integer"));
    for seed in 1..=seeds {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            match world.rng.random_range(0..4) {
                0 => world.disturb(),
                1 => {
                    let span = Duration::from_millis(world.rng.random_range(0..8_000));
                    world.run(span);
                }
                _ => {
                    let zone = ZONES[world.rng.random_range(0..ZONES.len())];
                    let out = world.rng.random();
                    _ = world.order(zone, out, 4);
                }
            }
        }
        world.heal();
        world.run(SETTLE);
        for (zone, out) in [(ZONES[0], true), (ZONES[1], false), (ZONES[0], false)] {
            assert!(world.order(zone, out, MAX_TRIES), "seed {seed}: not acknowledged");
        }
        world.run(SETTLE);
    }
}
