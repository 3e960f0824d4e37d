//! A process that serves control is killed while the whole system starts for the first time, and
//! started again after a short delay.

use std::{thread::sleep, time::Duration};

use crate::{
    Outcome,
    cluster::{CONTACT, Class, Cluster, ZONES},
    operator::{Fate, Operator, config, version},
    record::Record,
};

/// Time from the start of the first machine to that of the others; all start within 0.3 s.
const START_SPREAD: Duration = Duration::from_millis(200);
/// Time from the start of the last machine to the kill.
const KILL_AFTER: Duration = Duration::from_millis(100);
/// Delay after which a process that was killed is started again.
const DOWN: Duration = Duration::from_millis(500);
/// Time for which the operator sends the first configuration: six times `ackTimeoutMs`.
const ORDER_TIME: Duration = Duration::from_secs(30);

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
    for (place, machine) in cluster.machines.iter_mut().enumerate() {
        machine.write_settings(&seeds, true);
        machine.start();
        if place == 0 {
            sleep(START_SPREAD);
        }
    }
    cluster.say("4 core and 4 edge machines started for the first time, within 0.3 s");
    if trouble {
        sleep(KILL_AFTER);
        let first = core[0];
        cluster.machines[first].kill();
        let name = cluster.machines[first].name.clone();
        cluster.say(format!("{name} is killed"));
        sleep(DOWN);
        // The whole system does not start any more, and the disk is not empty.
        cluster.machines[first].write_settings(&seeds, false);
        cluster.machines[first].start();
        cluster.say(format!("{name} is started again, its disk as it was"));
    }
    let mut operator = Operator::new(controls, record.clone());
    let order = operator.order("/api/config/replace", &config(3), ORDER_TIME);
    let read = operator.read(CONTACT);
    let ready = cluster.machines.iter().filter(|machine| machine.is_ready()).count();
    cluster.say(format!("edge machines that are ready: {ready}"));
    match read.as_deref().map(version) {
        Some(Some(3)) if order == Fate::Acknowledged => Outcome::Held,
        read => Outcome::Broken(format!("the first configuration: {order:?}, read back: {read:?}")),
    }
}
