//! Membership scenarios: each directive is an event, and the expected block shows the views of the
//! VMs.

use std::{collections::BTreeMap, time::Duration};

use datadriven::{TestCase, walk};
use galenatrail::{Counter, EntryAction, EntryEvent, Name, standin::Mesh};

#[path = "support/vm.rs"]
mod vm;

struct World {
    mesh: Mesh,
    starts: u64,
    versions: BTreeMap<Name, (u64, u64)>,
}

impl World {
    fn new() -> World {
        World { mesh: Mesh::new(7), starts: 0, versions: BTreeMap::new() }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let out = match case.directive.as_str() {
            "start" => self.start(case),
            "run" => {
                let millis: u64 = case.take_arg("ms").unwrap();
                self.mesh.run(Duration::from_millis(millis));
                String::new()
            }
            "kill" => {
                self.mesh.kill(&case.take_arg::<String>("vm").unwrap());
                String::new()
            }
            "leave" => {
                self.mesh.handle_event(&case.take_arg::<String>("vm").unwrap(), EntryEvent::Leave);
                String::new()
            }
            "cut" => {
                let zones: Vec<String> = case.take_args("zones").unwrap();
                self.mesh.cut(&zones[0], &zones[1]);
                String::new()
            }
            "block" => {
                for to in case.take_args::<String>("to").unwrap() {
                    let from = case.args["from"][0].as_str().into();
                    self.mesh.blocked_links.insert((from, to.as_str().into()));
                }
                case.args.clear();
                String::new()
            }
            "heal" => {
                self.mesh.heal();
                self.mesh.blocked_links.clear();
                String::new()
            }
            "loss" => {
                self.mesh.loss = case.take_arg("per-mille").unwrap();
                String::new()
            }
            "views" => self.views(),
            "left" => {
                let left = self.mesh.take_outputs();
                left.iter()
                    .filter(|left| left.action == EntryAction::Left)
                    .map(|left| format!("{} {:?}\n", left.vm, left.action))
                    .collect()
            }
            "count" => self.count(&case.take_arg::<String>("counter").unwrap()),
            other => panic!("no directive {other}"),
        };
        case.expect_empty().unwrap();
        self.check();
        out
    }

    /// Starts VMs; the addresses of their seeds are derived from the names.
    fn start(&mut self, case: &mut TestCase) -> String {
        self.starts += 1;
        let names: Vec<String> = case.take_args("vm").unwrap();
        let seeds = case.try_take_args::<String>("seeds").unwrap().unwrap_or_default();
        let seeds: Vec<_> = seeds.iter().map(|seed| vm::addr(seed)).collect();
        for name in names {
            let member = vm::member(&name, self.starts);
            self.versions.remove(&member.name);
            self.mesh.join(member, seeds.clone());
        }
        String::new()
    }

    /// Prints each distinct view with the VMs that have it; a VM that is not ready is marked with
    /// `?`.
    fn views(&self) -> String {
        let mut views: BTreeMap<String, Vec<Name>> = BTreeMap::new();
        for (name, node) in &self.mesh.nodes {
            let members = node.view().members.values();
            let shown = members.map(|m| format!("{}{}", m.name, if m.ready { "" } else { "?" }));
            let text = shown.collect::<Vec<_>>().join(" ");
            views.entry(text).or_default().push(name.clone());
        }
        views.iter().map(|(view, vms)| format!("{}: {view}\n", vms.join(","))).collect()
    }

    fn count(&self, name: &str) -> String {
        let counter = Counter::ALL.iter().find(|counter| counter.name() == name).unwrap();
        let sum: u64 = self.mesh.nodes.values().map(|node| node.counters().get(*counter)).sum();
        format!("{sum}\n")
    }

    /// Checks that each VM is in its own view, that versions do not decrease, and that the previous
    /// view is the one directly before.
    fn check(&mut self) {
        for (name, node) in &self.mesh.nodes {
            let view = node.view();
            assert!(view.members.contains_key(name), "{name} is not in its own view");
            let before = self.versions.insert(name.clone(), (view.version, node.me().incarnation));
            let (version, _) = before.unwrap_or_default();
            assert!(view.version >= version, "the view version of {name} decreased");
            if node.previous_view().version != view.version {
                assert_eq!(node.previous_view().version + 1, view.version, "{name} skipped a view");
                assert_ne!(node.previous_view().members, view.members);
            }
        }
    }
}

#[test]
fn member_scenarios() {
    walk("tests/scenarios/member", |file| {
        let mut world = World::new();
        file.run(|case| world.run(case));
    });
}
