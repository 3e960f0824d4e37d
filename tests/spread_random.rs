//! Random sequences of changes, message loss, partitions, crashes and restarts with six entry VMs
//! in three availability zones. Leases must be safe throughout, and all VMs must agree after a
//! quiet period.

use std::{collections::BTreeMap, time::Duration};

use galenatrail::{Command, Name, State, standin::Mesh};
use proptest::{
    collection::vec,
    prelude::{Strategy, any},
    prop_oneof,
    test_runner::{Config, RngSeed, TestRunner},
};

#[path = "support/vm.rs"]
mod vm;

const VMS: [&str; 6] = ["a-1", "a-2", "b-1", "b-2", "c-1", "c-2"];
const ZONES: [&str; 3] = ["a", "b", "c"];
const STEP: Duration = Duration::from_millis(50);

/// Number of steps after which the views, the leases and all entries must have reached every VM.
const QUIET_STEPS: usize = 600;

#[derive(Debug, Clone)]
enum Op {
    Apply(usize),
    Run(usize),
    Kill(usize),
    Start { vm: usize, disk: bool },
    Cut(usize, usize),
    CutControl(usize),
    Block(usize, usize),
    Hold(usize),
    Loss(u32),
    Heal,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        3 => (1usize..40).prop_map(Op::Apply),
        8 => (1usize..100).prop_map(Op::Run),
        2 => (0..VMS.len()).prop_map(Op::Kill),
        4 => (0..VMS.len(), any::<bool>()).prop_map(|(vm, disk)| Op::Start { vm, disk }),
        1 => (0..ZONES.len(), 0..ZONES.len()).prop_map(|(a, b)| Op::Cut(a, b)),
        1 => (0..ZONES.len()).prop_map(Op::CutControl),
        1 => (0..VMS.len(), 0..VMS.len()).prop_map(|(a, b)| Op::Block(a, b)),
        1 => (0..VMS.len()).prop_map(Op::Hold),
        1 => (0u32..200).prop_map(Op::Loss),
        2 => (0u32..1).prop_map(|_| Op::Heal),
    ]
}

struct World {
    mesh: Mesh,
    starts: u64,
    states: Vec<State>,
    saved: BTreeMap<&'static str, State>,
    seen: BTreeMap<Name, (u64, u64)>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            mesh: Mesh::new(seed),
            starts: 0,
            states: vec![State::new()],
            saved: BTreeMap::new(),
            seen: BTreeMap::new(),
        };
        world.mesh.duplication = 20;
        for vm in 0..VMS.len() {
            world.start(vm, false);
        }
        world
    }

    fn start(&mut self, vm: usize, disk: bool) {
        let name = VMS[vm];
        if self.mesh.nodes.contains_key(name) {
            return;
        }
        self.starts += 1;
        let saved = self.saved.get(name).filter(|_| disk).cloned();
        // A VM cannot discover others if all its seeds are gone before it has heard from any.
        let seeds = VMS.iter().map(|vm| vm::addr(vm)).collect();
        self.mesh.join_leased(vm::member(name, self.starts), seeds, saved.unwrap_or_default());
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.mesh.run(STEP);
            self.check();
        }
    }

    fn act(&mut self, op: &Op) {
        match *op {
            Op::Apply(count) => {
                for _ in 0..count {
                    let number = self.states.len();
                    let zone = format!("z-{}", number % 7).into();
                    self.mesh.apply(Command::Zone { zone, out: number % 4 < 2 });
                    self.states.push(self.mesh.state.clone());
                }
            }
            Op::Run(steps) => self.run(steps),
            Op::Kill(vm) => {
                if let Some(node) = self.mesh.nodes.get(VMS[vm]) {
                    self.saved.insert(VMS[vm], node.state().clone());
                    self.mesh.kill(VMS[vm]);
                }
            }
            Op::Start { vm, disk } => self.start(vm, disk),
            Op::Cut(a, b) => {
                if a != b {
                    self.mesh.cut(ZONES[a], ZONES[b]);
                }
            }
            Op::CutControl(zone) => _ = self.mesh.control_cuts.insert(ZONES[zone].into()),
            Op::Block(a, b) => _ = self.mesh.blocked_links.insert((VMS[a].into(), VMS[b].into())),
            Op::Hold(vm) => _ = self.mesh.held.insert(VMS[vm].into()),
            Op::Loss(loss) => self.mesh.loss = loss,
            Op::Heal => self.heal(),
        }
        self.check();
    }

    fn heal(&mut self) {
        self.mesh.heal();
        self.mesh.blocked_links.clear();
        self.mesh.control_cuts.clear();
        self.mesh.held.clear();
        self.mesh.loss = 0;
    }

    fn check(&mut self) {
        vm::check_progress(&self.mesh, &mut self.seen);
        for (name, node) in &self.mesh.nodes {
            let index = node.state().index;
            assert_eq!(*node.state(), self.states[index as usize], "{name} at {index}");
            assert!(node.view().members.contains_key(name), "{name} is not in its own view");
        }
    }

    fn check_converged(&mut self) {
        self.heal();
        self.run(QUIET_STEPS);
        let now = self.mesh.now();
        let running: Vec<_> = self.mesh.nodes.keys().cloned().collect();
        let last = self.states.len() as u64 - 1;
        for (name, node) in &self.mesh.nodes {
            assert_eq!(node.state().index, last, "{name} has not applied all entries");
            assert!(!node.is_lease_lapsed(now), "{name} has no lease");
            let view: Vec<_> = node.view().members.keys().cloned().collect();
            assert_eq!(view, running, "the view of {name}");
            assert!(node.view().members.values().all(|member| member.ready), "{name}");
        }
        if !running.is_empty() {
            assert_eq!(self.mesh.acks.floor(now), Some(last));
        }
    }
}

#[test]
fn spread_random() {
    let config = Config {
        cases: 48,
        rng_seed: RngSeed::Fixed(20_261),
        failure_persistence: None,
        ..Config::default()
    };
    let ops = (any::<u64>(), vec(op(), 1..60));
    TestRunner::new(config)
        .run(&ops, |(seed, ops)| {
            let mut world = World::new(seed);
            for op in &ops {
                world.act(op);
            }
            world.check_converged();
            Ok(())
        })
        .unwrap();
}
