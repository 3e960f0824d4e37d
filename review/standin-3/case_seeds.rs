//! Two machines of the core are replaced as planned. The third one loses its disk just then, so that its
//! settings still name them as seeds; the file changes soon after. Once it has caught up by the pages,
//! another machine of the core loses its disk.

use std::{
    net::SocketAddr,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    case_removed::judge,
    cluster::{CATCH_UP, CONTACT, Class, Cluster, SIGHUP, SIGTERM, ZONES},
    operator::{Fate, Operator, config},
    record::Record,
};

/// `graceS`.
const GRACE: Duration = Duration::from_secs(6);
const DOWN: Duration = Duration::from_secs(1);
/// `seedLagS`.
const SEED_LAG: Duration = Duration::from_secs(3);
const MARGIN: Duration = Duration::from_millis(500);

pub fn run(record: Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(record.clone());
    let mut core = Vec::new();
    for (zone, host) in ZONES.iter().zip(10..).take(3) {
        core.push(cluster.add(Class::Core, zone, host));
        cluster.add(Class::Edge, zone, host + 10);
    }
    let first_seeds = controls(&cluster, &core);
    for machine in &mut cluster.machines {
        machine.write_settings(&first_seeds, true);
        machine.start();
    }
    cluster.say("3 core and 3 edge machines started");
    let mut operator = Operator::new(first_seeds.clone(), record.clone());
    for number in [3, 7, 12] {
        if operator.order("/api/config/replace", &config(number), Duration::from_secs(10))
            != Fate::Acknowledged
        {
            return Outcome::NotRun("the first configurations were not acknowledged".into());
        }
    }
    sleep(CONTACT + Duration::from_secs(1));
    // The new machines come first.
    let mut successors = Vec::new();
    for (place, host) in [(0, 30), (1, 31)] {
        let zone = cluster.machines[core[place]].zone;
        let successor = cluster.add(Class::Core, zone, host);
        cluster.machines[successor].write_settings(&first_seeds, false);
        cluster.machines[successor].start();
        successors.push(successor);
    }
    sleep(CATCH_UP + CONTACT + MARGIN);
    for (place, successor) in successors.into_iter().enumerate() {
        let old = std::mem::replace(&mut core[place], successor);
        cluster.machines[old].signal(SIGTERM);
        let until = Instant::now() + GRACE;
        while cluster.machines[old].ended().is_none() && Instant::now() < until {
            sleep(Duration::from_millis(20));
        }
        cluster.machines[old].kill();
        let names = (&cluster.machines[old].name, &cluster.machines[successor].name);
        cluster.say(format!("{} has ended after SIGTERM; {} is in its place", names.0, names.1));
    }
    operator.daemons = controls(&cluster, &core);
    // The list from which the file is written lags: it names the machines of 3 s before.
    if trouble {
        lose_disk(&mut cluster, core[2], &first_seeds);
    } else {
        sleep(DOWN);
    }
    sleep(SEED_LAG - DOWN);
    let seeds = controls(&cluster, &core);
    cluster.machines[core[2]].write_settings(&seeds, false);
    cluster.machines[core[2]].signal(SIGHUP);
    cluster.say("its settings file names the present machines now; SIGHUP is sent");
    sleep(CATCH_UP + CONTACT);
    if trouble {
        lose_disk(&mut cluster, core[0], &seeds);
    }
    judge(&mut cluster, &mut operator)
}

fn controls(cluster: &Cluster, core: &[usize]) -> Vec<SocketAddr> {
    core.iter().map(|at| cluster.machines[*at].control()).collect()
}

fn lose_disk(cluster: &mut Cluster, at: usize, seeds: &[SocketAddr]) {
    let machine = &mut cluster.machines[at];
    machine.kill();
    machine.delete_data();
    let name = machine.name.clone();
    cluster.say(format!("{name} loses its disk"));
    sleep(DOWN);
    cluster.machines[at].write_settings(seeds, false);
    cluster.machines[at].start();
    cluster.say(format!("{name} is back with an empty disk, its settings name {seeds:?}"));
}
