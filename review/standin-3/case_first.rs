//! A process that serves control is killed while the whole system starts for the first time, and
//! started again after a short delay.

use std::{thread::sleep, time::Duration};

use crate::{
    Outcome,
    cluster::{ACK_TIMEOUT, CONTACT, Class, Cluster, ZONES},
    operator::{Fate, Operator, config, version},
    record::Record,
};

pub fn run(record: Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(record.clone());
    for (zone, host) in ZONES.iter().zip(10..) {
        cluster.add(Class::Core, zone, host);
        cluster.add(Class::Edge, zone, host + 10);
    }
    let core: Vec<usize> =
        (0..cluster.machines.len()).filter(|at| cluster.machines[*at].class == Class::Core).collect();
    let controls: Vec<_> = core.iter().map(|at| cluster.machines[*at].control()).collect();
    let seeds = controls[..3].to_vec();
    for machine in &mut cluster.machines {
        machine.write_settings(&seeds, true);
        machine.start();
    }
    cluster.say("4 core and 4 edge machines started for the first time");
    if trouble {
        sleep(Duration::from_millis(200));
        let machine = &mut cluster.machines[core[0]];
        machine.kill();
        let name = machine.name.clone();
        cluster.say(format!("{name} is killed"));
        sleep(Duration::from_millis(500));
        let bootstrap = std::env::var("BOOT").is_ok();
        cluster.machines[core[0]].write_settings(&seeds, bootstrap);
        cluster.machines[core[0]].start();
        cluster.say(format!("{name} is back, its disk as it was"));
    }
    let mut operator = Operator::new(controls, record.clone());
    let order = operator.order("/api/config/replace", &config(3), Duration::from_secs(60));
    let read = operator.read(CONTACT);
    _ = ACK_TIMEOUT;
    match read.as_deref().map(version) {
        Some(Some(3)) if order == Fate::Acknowledged => Outcome::Held,
        other => Outcome::Broken(format!("the first configuration: {order:?}, read {other:?}")),
    }
}
