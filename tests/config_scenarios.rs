//! Scenarios of the control VMs. Each directive is an event, and the expected block is what
//! operators and VMs observe. For `vm`, `leader` and `follower` resolve to a VM with that role, and
//! `same` to the VM of the last fault.

use std::time::Duration;

use datadriven::{TestCase, walk};
use galenatrail::{
    Branch, Command, Name, Outcome, Request, Submission, SubmitResult,
    standin::{MemoryDisk, Replicas},
};

struct World {
    replicas: Replicas,
    /// Accepted commands, whose effects must stay in the state.
    accepted: Vec<Command>,
    last_vm: Name,
}

impl World {
    fn new() -> World {
        World { replicas: Replicas::new(11, 3), accepted: Vec::new(), last_vm: "".into() }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let out = match &*case.directive.clone() {
            "run" => {
                let millis = case.take_arg("ms").unwrap();
                self.replicas.run(Duration::from_millis(millis));
                String::new()
            }
            "observer" => {
                self.replicas.add_observer(&case.take_arg::<String>("vm").unwrap(), 1);
                String::new()
            }
            "heal" => {
                self.replicas.isolated.clear();
                String::new()
            }
            "zone" => {
                let zone: String = case.take_arg("out").unwrap();
                self.submit(case, Command::Zone { zone: zone.into(), out: true })
            }
            "apply" => {
                let base = case.take_arg("base").unwrap();
                let team: String = case.take_arg("team").unwrap();
                let branch: Branch = toml::from_str(&case.input).unwrap();
                self.submit(case, Command::Apply { team: team.into(), base, branch })
            }
            "members" => self.members(),
            "reads" => self.reads(),
            "state" => self.state(case),
            directive => {
                let vm = self.vm(case);
                self.apply_fault(directive, &vm);
                self.last_vm = vm;
                String::new()
            }
        };
        assert_eq!(self.replicas.violations, Vec::<String>::new());
        self.check_accepted();
        out
    }

    fn apply_fault(&mut self, directive: &str, vm: &Name) {
        let disk: &MemoryDisk = self.replicas.disk(vm);
        match directive {
            "crash" => self.replicas.crash(vm, 7),
            "wipe" => self.replicas.wipe(vm),
            "start" => self.replicas.start(vm),
            "cut" => _ = self.replicas.isolated.insert(vm.clone()),
            "fill" => disk.set_full(true),
            "mend" => disk.set_full(false),
            other => panic!("unknown directive {other}"),
        }
    }

    /// Resolves the argument `vm` to a VM.
    fn vm(&self, case: &mut TestCase) -> Name {
        let vm: String = case.take_arg("vm").unwrap();
        let leader = self.replicas.leader();
        let voters =
            self.replicas.vm_names().into_iter().filter(|name| name.starts_with("control"));
        match &*vm {
            "leader" => leader.expect("there is a leader"),
            "follower" => voters.into_iter().find(|name| Some(name) != leader.as_ref()).unwrap(),
            "same" => self.last_vm.clone(),
            vm => vm.into(),
        }
    }

    fn submit(&mut self, case: &mut TestCase, command: Command) -> String {
        let vm = self.vm(case);
        let id = case.take_arg("id").unwrap();
        let request = Some(Request { id, made: 0 });
        let submission = Submission { request, token: None, command: command.clone() };
        let ticket = self.replicas.submit(&vm, submission);
        self.replicas.run(Duration::from_millis(1_500));
        match self.replicas.submit_results.get(&ticket) {
            Some(SubmitResult::Ordered(Outcome::Accepted { revision })) => {
                self.accepted.push(command);
                format!("accepted {revision}\n")
            }
            Some(SubmitResult::Ordered(Outcome::Refused { message })) => {
                format!("refused: {message}\n")
            }
            Some(SubmitResult::Unavailable) => "unavailable\n".into(),
            Some(SubmitResult::Unknown) => "unknown\n".into(),
            None => "no answer\n".into(),
        }
    }

    /// Checks that every VM that may serve reads has all accepted changes.
    fn check_accepted(&self) {
        for vm in self.replicas.vm_names() {
            let node = self.replicas.node(&vm);
            let machine = node.and_then(|node| node.read(self.replicas.now()).ok());
            let Some(state) = machine.map(|machine| machine.state()) else { continue };
            for command in &self.accepted {
                let held = match command {
                    Command::Zone { zone, .. } => state.zones_out.contains_key(zone),
                    Command::Apply { team, base, .. } => {
                        state.tree.teams.get(team).is_some_and(|held| held.revision > *base)
                    }
                    _ => true,
                };
                assert!(held, "{vm} has lost {command:?}");
            }
        }
    }

    fn members(&self) -> String {
        let Some(leader) = self.replicas.leader() else { return "no leader\n".into() };
        let members = self.replicas.node(&leader).unwrap().replica().members();
        let names = |endpoints: Vec<&galenatrail::ControlEndpoint>| {
            let mut names: Vec<_> = endpoints.iter().map(|endpoint| &*endpoint.name).collect();
            names.sort_unstable();
            names.join(" ")
        };
        let voters = names(members.voters.values().collect());
        let learners = names(members.learners.values().collect());
        format!("voters: {voters}\nlearners: {learners}\n")
    }

    /// Returns the number of VMs that may serve reads.
    fn reads(&self) -> String {
        let now = self.replicas.now();
        let nodes = self.replicas.vm_names();
        let answer = |vm: &&Name| self.replicas.node(vm).is_some_and(|node| node.read(now).is_ok());
        format!("{}\n", nodes.iter().filter(answer).count())
    }

    fn state(&self, case: &mut TestCase) -> String {
        let vm = self.vm(case);
        let Some(node) = self.replicas.node(&vm) else { return "down\n".into() };
        let state = node.state();
        let list = |names: Vec<String>| match &*names {
            [] => "none".to_owned(),
            names => names.join(" "),
        };
        let zones: Vec<_> = state.zones_out.keys().map(|zone| zone.to_string()).collect();
        let teams = state.tree.teams.iter();
        let teams: Vec<_> = teams.map(|(team, held)| format!("{team}@{}", held.revision)).collect();
        format!("zones out: {}\nbranches: {}\n", list(zones), list(teams))
    }
}

#[test]
fn scenarios() {
    walk("tests/scenarios/config", |file| {
        let mut world = World::new();
        file.run(|case| world.run(case));
    });
}
