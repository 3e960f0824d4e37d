//! Script runner for the scenarios of backend servers and availability zones: each directive is an
//! event or a query, followed by the expected output.

#[path = "watch.rs"]
mod watch;

use std::{collections::BTreeMap, fmt::Write, time::Duration};

use datadriven::TestCase;
use galenatrail::{Counter, Name};
use watch::Watch;

/// State of a running scenario.
struct Script {
    watch: Watch,
    runs: BTreeMap<Name, u64>,
}

impl Script {
    fn new(seed: u64, zones: &[&str], vms: u8) -> Script {
        Script { watch: Watch::new(seed, zones, vms), runs: BTreeMap::new() }
    }

    /// Runs one directive and returns its output.
    fn run_directive(&mut self, case: &mut TestCase) -> String {
        let text = |case: &mut TestCase, key: &str| {
            case.take_arg::<String>(key).unwrap_or_else(|err| panic!("{key}: {err}"))
        };
        match &*case.directive.clone() {
            "add" => {
                let (service, zone) = (text(case, "service"), text(case, "zone"));
                let count = case.take_arg("count").unwrap();
                self.watch.site.add_servers(&service, &zone, count);
            }
            "run" => {
                let span = Duration::from_millis(case.take_arg("ms").unwrap());
                let calls = case.try_take_arg("calls").unwrap().unwrap_or(0);
                let flows = case.try_take_arg("flows").unwrap().unwrap_or(0);
                let min = case.try_take_arg("served").unwrap().unwrap_or(0.0);
                let share = self.watch.run(span, calls, flows);
                assert!(
                    share >= min,
                    "served share {share} of the requests is below {min}: {:?}",
                    self.watch.site.requests
                );
            }
            "chill" => {
                self.watch.chilled = true;
                let server = text(case, "server");
                self.watch.site.backend(&server).make_cold();
            }
            "restart" => self.watch.site.restart(&text(case, "server")),
            "stop" => self.watch.site.backend(&text(case, "server")).up = false,
            "shed" => {
                let on = case.take_arg("on").unwrap();
                self.watch.site.backend(&text(case, "server")).refuse_all = on;
            }
            "health" => {
                let (server, fine) = (text(case, "server"), case.take_arg("fine").unwrap());
                let backends = self.watch.site.backends.values_mut();
                let is_selected = |name: &str| name == server || server == "all";
                backends.filter(|b| is_selected(&b.announce.server)).for_each(|b| b.healthy = fine);
            }
            "drain" => {
                let server = text(case, "server");
                self.watch.drain(&server);
            }
            "kill" => self.watch.site.kill(&text(case, "vm")),
            "start" => {
                let (vm, zone) = (text(case, "vm"), text(case, "zone"));
                self.watch.site.start(&vm, &zone, case.take_arg("incarnation").unwrap());
            }
            "cut" => self.watch.site.cut_off(&text(case, "zone")),
            "heal" => self.watch.heal(),
            "hold" => _ = self.watch.site.mesh.held.insert(text(case, "vm").into()),
            "blind" => self.watch.hide_vm(&text(case, "vm"), &text(case, "to")),
            "views" => self.watch.site.share_views(),
            "loss" => self.watch.site.mesh.loss = case.take_arg("permille").unwrap(),
            "repeats" => self.watch.site.mesh.duplication = case.take_arg("permille").unwrap(),
            "zone-out" => self.watch.set_zone_out(&text(case, "zone"), true),
            "zone-in" => self.watch.set_zone_out(&text(case, "zone"), false),
            "over" => {
                let most = case.take_arg("most").unwrap();
                let overruns: u64 =
                    self.watch.site.backends.values().map(|b| b.stats.over_cold).sum();
                assert!(
                    overruns <= most,
                    "{overruns} requests exceeded the limits of cold servers, expected at most {most}"
                );
            }
            "unheard" => _ = self.watch.uninformed.insert(text(case, "zone").into()),
            "local" => {
                let (zone, least) = (text(case, "zone"), case.take_arg("least").unwrap());
                let here = self.watch.site.backends.values().filter(|b| *b.announce.zone == *zone);
                let runs: u64 = here.map(|b| b.stats.completed).sum();
                let done = runs - self.runs.insert(zone.into(), runs).unwrap_or(0);
                assert!(done >= least, "{done} requests ran, expected at least {least}");
            }
            "servers" => return self.servers(),
            "homes" => return self.homes(),
            "counters" => return self.counters(&case.take_args("of").unwrap()),
            other => panic!("unknown directive {other:?}"),
        }
        self.watch.check();
        String::new()
    }

    fn counter(&self, counter: Counter) -> u64 {
        self.watch.site.mesh.nodes.values().map(|node| node.counters().get(counter)).sum()
    }

    fn servers(&self) -> String {
        let mut text = String::new();
        for (name, backend) in &self.watch.site.backends {
            let state = &self.watch.site.mesh.state;
            let standing = state.standings.get(name);
            let seen = standing.map_or("unknown".to_owned(), |standing| {
                format!("{:?} {}", standing.phase, standing.weight)
            });
            let share = state.servers.get(name).and_then(|announce| state.share(announce));
            let share = share.map_or("none".to_owned(), |share| share.to_string());
            writeln!(text, "{name} {seen} share {share} peak {}", backend.stats.peak_running)
                .unwrap();
        }
        text
    }

    fn homes(&self) -> String {
        let standings = self.watch.site.mesh.state.standings.iter();
        standings.map(|(name, standing)| format!("{name} {}\n", standing.home)).collect()
    }

    fn counters(&self, names: &[String]) -> String {
        let named = |name: &str| Counter::ALL.iter().find(|counter| counter.name() == name);
        let line = |name: &str| {
            let counter = named(name).unwrap_or_else(|| panic!("unknown counter {name:?}"));
            format!("{name} {}\n", self.counter(*counter))
        };
        names.iter().map(|name| line(name)).collect()
    }
}

/// Runs every scenario in a directory.
pub(crate) fn run_scenarios(dir: &str, zones: &[&str], vms: u8) {
    datadriven::walk(dir, |file| {
        println!("{}", file.filename);
        let mut script = Script::new(1, zones, vms);
        file.run(|case| script.run_directive(case));
    });
}
