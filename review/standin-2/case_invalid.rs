//! An operator sends a configuration in which a route names a service that is not there.

use std::time::Duration;

use crate::{
    Verdict,
    cluster::{CONTROL_PORT, Operator, Record, Site, Vm, ZONES, config, http},
};

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let site = Site::new("invalid");
    let seeds = [11, 12, 13];
    let start = |host: u8| {
        Vm::start(&site, "control", host, ZONES[usize::from(host - 11)], &seeds, true)
    };
    let _vms: Vec<Vm> = (11..15).map(start).collect();
    let operator = Operator { hosts: vec![11, 12, 13, 14] };
    if operator.replace(&site, record, 1, Duration::from_secs(30)).is_none() {
        return Verdict::NotRun;
    }
    let service = if trouble { "absent" } else { "hub" };
    let split = format!(
        "\"service\":\"{service}\",\"trafficSplit\":[{{\"service\":\"hub\",\"weight\":100}}]"
    );
    let body = config(2).replace("\"service\":\"hub\"", &split);
    record.line(&format!("configuration 2 is sent: {body}"));
    let answer = http(site.addr(11, CONTROL_PORT), "POST", "/api/config/replace", &body);
    let Some((status, text)) = answer else { return Verdict::NotRun };
    record.line(&format!("11 answers {status} {text}"));
    let read = ("GET", "/api/config/read", "");
    let Some((_, held)) = operator.call(&site, record, read, Duration::from_secs(10)) else {
        return Verdict::NotRun;
    };
    record.line(&format!("read back: {held}"));
    let in_force = status == 200 || held.contains("\"version\":2");
    match in_force == trouble {
        true if trouble => Verdict::Broken,
        true => Verdict::NotRun,
        false => Verdict::Held,
    }
}
