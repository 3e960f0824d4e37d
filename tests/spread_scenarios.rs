//! Scenarios of configuration distribution: each directive is an event, and the expected block
//! shows the progress of the VMs.

use std::{collections::BTreeMap, time::Duration};

use datadriven::{TestCase, walk};
use galenatrail::{Announce, Command, Counter, Entries, EntryEvent, Name, State, standin::Mesh};

#[path = "support/vm.rs"]
mod vm;

struct World {
    mesh: Mesh,
    starts: u64,
    /// The state after each prefix of the log.
    states: Vec<State>,
    /// Last incarnation and index of each VM.
    seen: BTreeMap<Name, (u64, u64)>,
    saved: BTreeMap<Name, State>,
}

impl World {
    fn new() -> World {
        World {
            mesh: Mesh::new(11),
            starts: 0,
            states: vec![State::new()],
            seen: BTreeMap::new(),
            saved: BTreeMap::new(),
        }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let mut out = String::new();
        match case.directive.as_str() {
            "start" => self.start(case),
            "run" => {
                let millis: u64 = case.take_arg("ms").unwrap();
                for _ in 0..millis.div_ceil(50) {
                    self.mesh.run(Duration::from_millis(50));
                    self.check();
                }
            }
            "apply" => {
                for _ in 0..case.try_take_arg("count").unwrap().unwrap_or(1) {
                    self.apply();
                }
            }
            "servers" => {
                for number in 0..case.take_arg("count").unwrap() {
                    self.announce(number);
                }
            }
            "kill" => {
                let vm: String = case.take_arg("vm").unwrap();
                let state = self.mesh.nodes[vm.as_str()].state().clone();
                self.saved.insert(vm.as_str().into(), state);
                self.mesh.kill(&vm);
            }
            "hold" => _ = self.mesh.held.insert(case.take_arg::<String>("vm").unwrap().into()),
            "cut-control" => {
                let zones: Vec<String> = case.take_args("zones").unwrap();
                self.mesh.control_cuts = zones.into_iter().map(Name::from).collect();
            }
            "cut" => {
                let zones: Vec<String> = case.take_args("zones").unwrap();
                self.mesh.cut(&zones[0], &zones[1]);
            }
            "heal" => {
                self.mesh.heal();
                self.mesh.control_cuts.clear();
                self.mesh.held.clear();
            }
            "loss" => self.mesh.loss = case.take_arg("per-mille").unwrap(),
            "damage" => self.damage(&case.take_arg::<String>("vm").unwrap()),
            "stale" => self.stale(&case.take_arg::<String>("vm").unwrap()),
            "status" => out = self.status(),
            "floor" => out = format!("{:?}\n", self.mesh.acks.floor(self.mesh.now())),
            "count" => {
                let vm: Option<String> = case.try_take_arg("vm").unwrap();
                out = self.count(&case.take_arg::<String>("counter").unwrap(), vm.as_deref());
            }
            other => panic!("no directive {other}"),
        }
        case.expect_empty().unwrap();
        self.check();
        out
    }

    /// Starts VMs, with their saved configuration if `disk` is given.
    fn start(&mut self, case: &mut TestCase) {
        self.starts += 1;
        let names: Vec<String> = case.take_args("vm").unwrap();
        let seeds = case.try_take_args::<String>("seeds").unwrap().unwrap_or_default();
        let seeds: Vec<_> = seeds.iter().map(|seed| vm::addr(seed)).collect();
        let disk = case.take_flag("disk").unwrap();
        for name in names {
            let member = vm::member(&name, self.starts);
            let saved = self.saved.get(&member.name).filter(|_| disk).cloned();
            self.mesh.join_leased(member, seeds.clone(), saved.unwrap_or_default());
        }
    }

    fn apply(&mut self) {
        let number = self.states.len();
        let zone = format!("z-{}", number % 5).into();
        self.mesh.apply(Command::Zone { zone, out: number % 2 == 1 });
        self.states.push(self.mesh.state.clone());
    }

    /// Adds a backend server, so that a snapshot has many parts.
    fn announce(&mut self, number: u16) {
        let at = std::net::SocketAddr::from(([127, 0, 3, 1], 10_000 + number));
        self.mesh.apply(Command::Server(Announce {
            server: format!("hub-{number}").into(),
            service: "workshop-hub".into(),
            zone: "a".into(),
            packets: at,
            requests: at,
            boot: 1,
            slots: 2,
            connections: 2_000,
            draining: false,
        }));
        self.states.push(self.mesh.state.clone());
    }

    /// Restarts a VM with a state that differs from the log at the same index.
    fn damage(&mut self, vm: &str) {
        let mut state = self.mesh.nodes[vm].state().clone();
        state.zones_out.insert("damaged".into(), 1);
        let member = self.mesh.nodes[vm].me().clone();
        self.mesh.kill(vm);
        let seeds = self.mesh.nodes.values().map(|node| node.me().peers).collect();
        self.starts += 1;
        self.mesh.join_leased(
            galenatrail::Member { incarnation: self.starts, ..member },
            seeds,
            state,
        );
    }

    /// Gives a VM entries and a snapshot that are older than its state.
    fn stale(&mut self, vm: &str) {
        let snapshot = Some(Box::new(self.states[1].clone()));
        let command = Command::Zone { zone: "stale".into(), out: true };
        let entries = Entries { snapshot, ..Entries::new(1, vec![command]) };
        self.mesh.handle_event(vm, EntryEvent::Entries(entries));
    }

    fn status(&self) -> String {
        let now = self.mesh.now();
        let line = |(name, node): (&Name, &galenatrail::EntryNode)| {
            let careful = if node.is_lease_lapsed(now) { " careful" } else { "" };
            format!("{name}: {}{careful}\n", node.state().index)
        };
        self.mesh.nodes.iter().map(line).collect()
    }

    /// Returns the count of one VM, or the sum over all VMs.
    fn count(&self, name: &str, vm: Option<&str>) -> String {
        let counter = Counter::ALL.iter().find(|counter| counter.name() == name).unwrap();
        let nodes =
            self.mesh.nodes.iter().filter(|(name, _)| vm.is_none_or(|vm| name.as_ref() == vm));
        let sum: u64 = nodes.map(|(_, node)| node.counters().get(*counter)).sum();
        format!("{sum}\n")
    }

    /// Checks that no VM goes back, that each has the state of a prefix of the log, and that each
    /// VM below the floor has no valid lease.
    fn check(&mut self) {
        vm::check_progress(&self.mesh, &mut self.seen);
        for (name, node) in &self.mesh.nodes {
            let index = node.state().index;
            let damaged = node.state().zones_out.contains_key("damaged");
            assert!(damaged || *node.state() == self.states[index as usize], "{name} at {index}");
        }
    }
}

#[test]
fn spread_scenarios() {
    walk("tests/scenarios/spread", |file| {
        let mut world = World::new();
        file.run(|case| world.run(case));
    });
}
