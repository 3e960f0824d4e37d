//! Scenarios under `tests/scenarios/request` of requests through entry VMs that fail.
//!
//! `owner-N`, `second-N` and `other-N` name the owner, the second owner and another VM of request N
//! at the time of their first use.

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use coap_lite::RequestType;
use datadriven::TestCase;
use galenatrail::{
    Counters, EntryEvent, View,
    standin::{Reply, Workload},
};

struct World {
    load: Workload,
    roles: BTreeMap<String, String>,
}

impl World {
    fn new(case: &TestCase) -> World {
        let seed = number(case, "seed").unwrap_or(1);
        let vms = number(case, "vms").unwrap_or(4) as u8;
        let servers = number(case, "servers").unwrap_or(4) as u8;
        let load = if case.args.contains_key("leases") {
            Workload::with_leases(seed, vms, servers, 2)
        } else {
            Workload::new(seed, vms, servers, 2)
        };
        World { load, roles: BTreeMap::new() }
    }

    /// Resolves the argument `vm`.
    fn vm(&mut self, case: &TestCase) -> String {
        let text = &case.args["vm"][0];
        self.role(text)
    }

    fn role(&mut self, text: &str) -> String {
        if text.starts_with("entry-") {
            return text.to_owned();
        }
        if let Some(vm) = self.roles.get(text) {
            return vm.clone();
        }
        let (_, request) = text.split_once('-').expect("a role and a request");
        let request_number: u32 = request.parse().expect("the number of a request");
        let names: Vec<_> = self.load.mesh.nodes.keys().cloned().collect();
        let (owner, second) = self.load.owners(&names[0], request_number).expect("two owners");
        let other = names.iter().find(|name| **name != owner && **name != second);
        for (role, vm) in [("owner", &owner), ("second", &second), ("other", other.unwrap())] {
            self.roles.insert(format!("{role}-{request}"), vm.to_string());
        }
        self.roles[text].clone()
    }

    /// Sends the named VMs a view that contains only them.
    fn split(&mut self, case: &TestCase) {
        let names: Vec<_> = case.args["vms"].iter().map(|vm| self.role(vm)).collect();
        let nodes = &self.load.mesh.nodes;
        let members: Vec<_> = names.iter().map(|name| nodes[&**name].me().clone()).collect();
        for name in names {
            let mut view = View::new(members.iter().cloned());
            view.version = self.load.mesh.nodes[&*name].view().version + 1;
            self.load.mesh.handle_event(&name, EntryEvent::View(view));
        }
    }

    fn outcome(&self, request: u32) -> String {
        let replies = self.load.replies.get(&request);
        let replies: Vec<_> = replies.into_iter().flatten().map(text).collect();
        let runs = self.load.executions.get(&request).copied().unwrap_or(0);
        format!("runs={runs} replies=[{}]\n", replies.join(", "))
    }

    fn counters(&self, case: &TestCase) -> String {
        let mut out = String::new();
        for name in &case.args["names"] {
            let nodes = self.load.mesh.nodes.values();
            let total: u64 = nodes.map(|node| counter(node.counters(), name)).sum();
            writeln!(out, "{name} {total}").unwrap();
        }
        out
    }

    fn step(&mut self, case: &TestCase) -> String {
        let request = number(case, "request").unwrap_or(0) as u32;
        match case.directive.as_str() {
            "ask" => {
                let vm = self.vm(case);
                self.load.send_request(&vm, request, method(case));
            }
            "block" => {
                let vm = self.vm(case);
                let block = number(case, "block").unwrap() as u32;
                let bundle = number(case, "bundle").unwrap() as u32;
                self.load.request_block(&vm, request, bundle, block);
            }
            "resend" => {
                let vm = self.vm(case);
                self.load.resend(&vm, request);
            }
            "cancel" => {
                let vm = self.vm(case);
                self.load.cancel_request(&vm, request);
            }
            "run" => self.load.run(Duration::from_millis(number(case, "ms").unwrap())),
            "kill" => {
                let vm = self.vm(case);
                self.load.mesh.kill(&vm);
            }
            "share-view" => self.load.mesh.share_view(),
            "split" => self.split(case),
            "start" => {
                let vm = self.vm(case);
                let host = vm.trim_start_matches("entry-").parse().unwrap();
                self.load.start_vm(host, number(case, "incarnation").unwrap());
            }
            "block-link" => {
                let (a, b) = (self.role(&case.args["from"][0]), self.role(&case.args["to"][0]));
                self.load.mesh.blocked_links.insert((a.into(), b.into()));
            }
            "cut" => {
                // Partitions one availability zone from the others and from the control VMs.
                let vm = self.vm(case);
                let zone = self.load.mesh.nodes[&*vm].me().zone.clone();
                for other in ["sofia-a", "sofia-b", "plovdiv", "varna"] {
                    if *other != *zone {
                        self.load.mesh.cut(&zone, other);
                    }
                }
                self.load.mesh.control_cuts.insert(zone);
            }
            "heal" => {
                self.load.mesh.heal();
                self.load.mesh.control_cuts.clear();
            }
            "views" => {
                let nodes = self.load.mesh.nodes.iter();
                let line = |(name, node): (_, &galenatrail::EntryNode)| {
                    format!("{name}: {}\n", node.view().members.len())
                };
                return nodes.map(line).collect();
            }
            "drain" => {
                let vm = self.vm(case);
                let limit_ms = number(case, "limit-ms").unwrap();
                self.load.mesh.handle_event(&vm, EntryEvent::Drain { limit_ms });
            }
            "end-server" => {
                let text = text(self.load.replies[&request].first().expect("an answer"));
                let server = text.split(' ').next().unwrap().trim_start_matches("answered:");
                self.load.remove_server(server);
            }
            "set" => {
                if let Some(ms) = number(case, "service-ms") {
                    self.load.service_time = Duration::from_millis(ms);
                }
                self.load.mesh.loss = number(case, "loss").unwrap_or(0) as u32;
                self.load.mesh.duplication = number(case, "repeats").unwrap_or(0) as u32;
            }
            "servers" => {
                let names = |key: &str| {
                    let names = case.args.get(key).into_iter().flatten();
                    names.map(|name| name.as_str().into()).collect()
                };
                self.load.shedding = names("shed");
                self.load.silent = names("silent");
                self.load.forge_answers = case.args.contains_key("crossed");
            }
            "outcome" => return self.outcome(request),
            "cancelled" => return format!("{}\n", self.load.cancelled),
            "counters" => return self.counters(case),
            "drained" => {
                let left = self.load.drained.iter();
                return left.map(|(vm, cut)| format!("{vm} cut={cut}\n")).collect();
            }
            other => panic!("unknown directive {other}"),
        }
        String::new()
    }
}

fn number(case: &TestCase, name: &str) -> Option<u64> {
    case.args.get(name).map(|values| values[0].parse().expect("a number"))
}

fn method(case: &TestCase) -> RequestType {
    match case.args.get("method").map_or("post", |values| &values[0]) {
        "get" => RequestType::Get,
        "post" => RequestType::Post,
        "patch" => RequestType::Patch,
        other => panic!("unknown method {other}"),
    }
}

fn text(reply: &Reply) -> String {
    match reply {
        Reply::Answered(payload) => format!("answered:{payload}"),
        Reply::NotRun => "not-run".to_owned(),
        Reply::Unknown => "unknown".to_owned(),
        Reply::Failed(payload) => format!("failed:{payload}"),
    }
}

fn counter(counters: &Counters, name: &str) -> u64 {
    let (_, count) = counters.iter().find(|(counter, _)| counter.name() == name).expect(name);
    count
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios/request", |file| {
        let mut world = None;
        file.run(|case| {
            if case.directive == "new" {
                world = Some(World::new(case));
                return String::new();
            }
            let world = world.as_mut().expect("a scenario starts with new");
            let mut out = world.step(case);
            for violation in world.load.violations() {
                writeln!(out, "violation: {violation}").unwrap();
            }
            out
        });
    });
}
