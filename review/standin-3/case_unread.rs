//! The operator sends configurations that cannot be read in full.

use std::{thread::sleep, time::Duration};

use crate::{
    Outcome,
    cluster::{ACK_TIMEOUT, CONTACT, Class, Cluster, ZONES},
    operator::{Fate, Operator, config, version},
    record::Record,
};

pub fn run(record: Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(record.clone());
    let mut core = Vec::new();
    for (zone, host) in ZONES.iter().zip(10..) {
        core.push(cluster.add(Class::Core, zone, host));
        cluster.add(Class::Edge, zone, host + 10);
    }
    let controls: Vec<_> = core.iter().map(|at| cluster.machines[*at].control()).collect();
    for machine in &mut cluster.machines {
        machine.write_settings(&controls[..3], true);
        machine.start();
    }
    let mut operator = Operator::new(controls, record.clone());
    if operator.order("/api/config/replace", &config(3), Duration::from_secs(15))
        != Fate::Acknowledged
    {
        return Outcome::NotRun("the first configuration was not acknowledged".into());
    }
    sleep(CONTACT);
    let mut wrong = Vec::new();
    if trouble {
        let number = config(20).replacen("\"type\":\"unsafe\"", "\"type\":7", 1);
        let missing = config(21).replacen("\"type\":\"unsafe\",", "", 1);
        let list =
            "[22,[[\"198.18.0.1\",\"/8080/\",2000,150,1,\"hub\",[]]],[[\"hub\",2.0,0.0]],[15000]]";
        let bodies = [
            ("the type of a route is a number", number.as_str()),
            ("a route has no type", missing.as_str()),
            ("a list of values without any field", list),
        ];
        for (what, body) in bodies {
            cluster.say(format!("the operator sends an invalid configuration: {what}: {body}"));
            let fate = operator.order("/api/config/replace", body, ACK_TIMEOUT);
            let read = operator.read(CONTACT);
            cluster.say(format!("read back: {read:?}"));
            if fate == Fate::Acknowledged {
                wrong.push(format!("acknowledged: {what}"));
            }
            if read.as_deref() == Some(body) {
                wrong.push(format!("in force: {what}"));
            }
        }
    } else if operator.order("/api/config/replace", &config(20), ACK_TIMEOUT) != Fate::Acknowledged
        || operator.read(CONTACT).as_deref().map(version) != Some(Some(20))
    {
        return Outcome::Broken("a valid configuration is not in force".into());
    }
    match wrong.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken(format!("CONFIG: {}", wrong.join("; "))),
    }
}
