//! Numbered whole configurations in the replicated log, and reads of them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use galenatrail::{
    Command, Fate, Outcome, Progress, Route, RoutingConfig, Share, Submission, Warmup,
    standin::Replicas,
};

const LIMIT: Duration = Duration::from_secs(20);
/// A submission and a read are settled by then.
const SETTLED: Duration = Duration::from_millis(1_000);

fn formed(seed: u64, voters: u8) -> Replicas {
    let mut replicas = Replicas::new(seed, voters);
    assert!(replicas.run_until(LIMIT, Replicas::is_whole), "no log was formed");
    replicas
}

fn whole(number: u64, port: u16) -> RoutingConfig {
    let route = Route {
        addr: [198, 18, 0, 1].into(),
        port,
        timeout: Duration::from_secs(1),
        shares: vec![Share { service: "hub".into(), weight: 1 }],
    };
    RoutingConfig {
        number,
        idle: Duration::from_secs(15),
        routes: vec![route],
        services: [("hub".into(), Warmup { time: Duration::ZERO, rate: 0 })].into(),
        source: Arc::from(format!("{number} {port}").into_bytes()),
    }
}

fn submit(replicas: &mut Replicas, vm: &str, whole: RoutingConfig) -> Fate {
    let command = Command::Whole(Arc::new(whole));
    let ticket = replicas.submit(vm, Submission::new(command));
    replicas.run(SETTLED);
    replicas.fates.get(&ticket).cloned().unwrap_or(Fate::Unknown)
}

fn is_accepted(fate: &Fate) -> bool {
    matches!(fate, Fate::Ordered(Outcome::Accepted { .. }))
}

/// Reads at `vm`: the number in force, or `None` where the VM is not sure.
fn read(replicas: &mut Replicas, vm: &str) -> Option<u64> {
    let ticket = replicas.read(vm);
    replicas.run(SETTLED);
    let fresh = replicas.reads.get(&ticket).copied().expect("a read is answered within a second");
    let state = replicas.node(vm).unwrap().machine().state();
    fresh.then(|| state.whole.as_ref().map_or(0, |whole| whole.number))
}

fn follower(replicas: &Replicas) -> String {
    let leader = replicas.leader().unwrap();
    let other = replicas.names().into_iter().find(|name| *name != leader);
    other.unwrap().to_string()
}

#[test]
fn the_highest_number_is_in_force_and_lower_ones_are_acknowledged() {
    let mut replicas = formed(1, 3);
    for (number, port) in [(5, 80), (9, 81), (7, 82), (9, 83), (5, 80)] {
        assert!(is_accepted(&submit(&mut replicas, "control-2", whole(number, port))));
    }
    for vm in replicas.names() {
        assert_eq!(read(&mut replicas, &vm), Some(9), "{vm}");
        let state = replicas.node(&vm).unwrap().machine().state();
        let held = state.whole.as_ref().unwrap();
        assert_eq!(&*held.source, b"9 81", "the content is the one that came first");
    }
}

#[test]
fn a_contradiction_is_refused_in_order_too() {
    let mut replicas = formed(2, 3);
    let mut bad = whole(1, 80);
    bad.services.clear();
    let fate = submit(&mut replicas, "control-1", bad);
    assert!(matches!(fate, Fate::Ordered(Outcome::Refused { .. })), "{fate:?}");
    assert_eq!(read(&mut replicas, "control-1"), Some(0));
}

#[test]
fn faults_of_a_configuration_are_named() {
    let good = whole(1, 80);
    assert!(good.check().is_ok());
    let mut twice = good.clone();
    twice.routes.push(good.routes[0].clone());
    let mut hasty = good.clone();
    hasty.routes[0].timeout = Duration::ZERO;
    let mut weightless = good.clone();
    weightless.routes[0].shares[0].weight = 0;
    let mut unknown = good;
    unknown.routes[0].shares[0].service = "desk".into();
    for (bad, part) in
        [(twice, "two routes"), (hasty, "timeout"), (weightless, "weight"), (unknown, "desk")]
    {
        let text = bad.check().unwrap_err().to_string();
        assert!(text.contains(part), "{text}");
    }
}

#[test]
fn a_leader_that_was_cut_off_answers_no_read_with_an_older_number() {
    let mut replicas = formed(3, 3);
    assert!(is_accepted(&submit(&mut replicas, "control-1", whole(1, 80))));
    let old = replicas.leader().unwrap();
    replicas.cuts.insert(old.clone());
    // Well inside the old leader's lease.
    replicas.run(Duration::from_millis(100));
    assert_eq!(read(&mut replicas, &old), None);
    replicas.run(Duration::from_secs(5));
    let others: Vec<_> = replicas.names().into_iter().filter(|vm| *vm != old).collect();
    assert!(is_accepted(&submit(&mut replicas, &others[0], whole(2, 81))));
    assert_eq!(read(&mut replicas, &old), None);
    assert_eq!(read(&mut replicas, &others[1]), Some(2));
    replicas.cuts.clear();
    replicas.run(Duration::from_secs(5));
    assert_eq!(read(&mut replicas, &old), Some(2));
}

#[test]
fn a_read_at_a_follower_sees_what_was_acknowledged_before_it() {
    for seed in 10..20 {
        let mut replicas = formed(seed, 5);
        let vm = follower(&replicas);
        for number in 1..10 {
            let leader = replicas.leader().unwrap();
            let command = Command::Whole(Arc::new(whole(number, 80)));
            let ticket = replicas.submit(&leader, Submission::new(command));
            let done = replicas.run_until(LIMIT, |replicas| replicas.fates.contains_key(&ticket));
            assert!(done && is_accepted(&replicas.fates[&ticket]));
            assert!(read(&mut replicas, &vm) >= Some(number), "seed {seed}");
        }
    }
}

#[test]
fn configurations_outlive_the_loss_of_all_power() {
    let mut replicas = formed(4, 3);
    assert!(is_accepted(&submit(&mut replicas, "control-3", whole(3, 80))));
    for vm in replicas.names() {
        replicas.crash(&vm, 0);
    }
    for vm in replicas.names() {
        replicas.start(&vm);
    }
    assert!(replicas.run_until(LIMIT, |replicas| replicas.leader().is_some()));
    replicas.run(SETTLED);
    assert_eq!(read(&mut replicas, "control-1"), Some(3));
}

#[test]
fn large_configurations_do_not_pile_up_in_the_log() {
    let mut replicas = formed(5, 3);
    for number in 1..=60 {
        let mut large = whole(number, 80);
        large.source = vec![b'x'; 100_000].into();
        assert!(is_accepted(&submit(&mut replicas, "control-1", large)));
    }
    for vm in replicas.names() {
        let replica = replicas.node(&vm).unwrap().replica();
        let kept = replica.last().index - replica.snapshot().mark.index;
        assert!(kept < 30, "{vm} keeps {kept} entries after its snapshot");
    }
    assert_eq!(read(&mut replicas, "control-2"), Some(60));
}

#[test]
fn a_vm_that_lacks_many_large_configurations_is_given_the_state() {
    let mut replicas = formed(6, 1);
    for number in 1..=30 {
        let mut large = whole(number, 80);
        large.source = vec![b'x'; 100_000].into();
        assert!(is_accepted(&submit(&mut replicas, "control-1", large)));
    }
    let ticket = replicas.report("control-1", Progress { after: 0, applied: BTreeMap::new() });
    replicas.run(SETTLED);
    let entries = &replicas.entries[&ticket];
    assert!(entries.snapshot.is_some(), "{} commands are kept", entries.commands.len());
    let progress = Progress { after: 28, applied: BTreeMap::new() };
    let ticket = replicas.report("control-1", progress);
    replicas.run(SETTLED);
    assert_eq!(replicas.entries[&ticket].commands.len(), 2);
}
