//! A machine of the core is removed for good and its successor added; once that one has caught up
//! by the pages, another machine of the core loses its disk.

use std::{thread::sleep, time::Duration};

use crate::{
    Outcome,
    cluster::{ACK_TIMEOUT, CATCH_UP, CONTACT, Class, Cluster, RECOVERY, ZONES},
    operator::{Fate, Operator, config, version},
    record::Record,
};

/// Time from the removal of the machine to the start of its successor.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
/// Time for which the machine that loses its disk is down.
const DOWN: Duration = Duration::from_secs(1);
const MARGIN: Duration = Duration::from_millis(50);

pub fn run(record: Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(record.clone());
    for (zone, host) in ZONES.iter().zip(10..) {
        cluster.add(Class::Core, zone, host);
        cluster.add(Class::Edge, zone, host + 10);
    }
    let core = |cluster: &Cluster| -> Vec<usize> {
        let machines = cluster.machines.iter().enumerate();
        machines.filter(|(_, machine)| machine.class == Class::Core).map(|(at, _)| at).collect()
    };
    let controls: Vec<_> =
        core(&cluster).iter().map(|at| cluster.machines[*at].control()).collect();
    let seeds = controls[..3].to_vec();
    for machine in &mut cluster.machines {
        machine.write_settings(&seeds, true);
        machine.start();
    }
    cluster.say("4 core and 4 edge machines started");
    let mut operator = Operator::new(controls, record.clone());
    for number in [3, 7, 12] {
        if operator.order("/api/config/replace", &config(number), Duration::from_secs(10))
            != Fate::Acknowledged
        {
            return Outcome::NotRun("the first configurations were not acknowledged".into());
        }
    }
    let out = operator.order("/api/evacuations/varna/start", "", Duration::from_secs(10));
    if out != Fate::Acknowledged {
        return Outcome::NotRun("the evacuation was not acknowledged".into());
    }
    sleep(CONTACT + Duration::from_secs(1));

    if trouble {
        let Some(first) = core(&cluster).into_iter().find(|at| is_leader(&cluster, *at)) else {
            return Outcome::NotRun("no machine seems to lead".into());
        };
        let (zone, name) = (cluster.machines[first].zone, cluster.machines[first].name.clone());
        cluster.machines[first].kill();
        cluster.say(format!("{name} is removed for good, without SIGTERM"));
        sleep(SUCCESSOR_DELAY);
        let successor = cluster.add(Class::Core, zone, 30);
        cluster.machines[successor].write_settings(&seeds, false);
        cluster.machines[successor].start();
        let name = cluster.machines[successor].name.clone();
        cluster.say(format!("{name} is added at a new address with an empty disk"));
        sleep(CATCH_UP + MARGIN);
        // The first two seeds that are left; either has been there since the start.
        let second = core(&cluster).into_iter().find(|at| *at != first).unwrap();
        let machine = &mut cluster.machines[second];
        machine.kill();
        machine.delete_data();
        let name = machine.name.clone();
        cluster.say(format!("{name} loses its disk"));
        sleep(DOWN);
        cluster.machines[second].write_settings(&seeds, false);
        cluster.machines[second].start();
        cluster.say(format!("{name} is back with an empty disk"));
        operator.daemons = core(&cluster)
            .into_iter()
            .filter(|at| *at != first)
            .map(|at| cluster.machines[at].control())
            .collect();
    }
    judge(&mut cluster, &mut operator)
}

/// Sends one more configuration and reads it back, `recoveryS` after all machines are back.
pub fn judge(cluster: &mut Cluster, operator: &mut Operator) -> Outcome {
    sleep(RECOVERY);
    cluster.say("recoveryS has passed since all machines are back");
    let order = operator.order("/api/config/replace", &config(20), ACK_TIMEOUT * 4);
    let read = operator.read(CONTACT * 4);
    let ended: Vec<_> = cluster.machines.iter_mut().filter_map(|machine| machine.ended()).collect();
    cluster.say(format!("processes that ended by themselves: {ended:?}"));
    match read.as_deref().map(version) {
        None => Outcome::Broken(format!(
            "CONFIG: the acknowledged configuration does not come back; a new one: {order:?}"
        )),
        Some(Some(number)) if number >= 12 && order == Fate::Acknowledged => Outcome::Held,
        Some(number) => Outcome::Broken(format!("CONFIG: read {number:?}; a new one: {order:?}")),
    }
}

fn is_leader(cluster: &Cluster, at: usize) -> bool {
    let log = cluster.machines[at].log();
    let last = log.lines().filter(|line| line.contains("event=log state=")).next_back();
    last.is_some_and(|line| line.contains("state=\"leader in"))
}
