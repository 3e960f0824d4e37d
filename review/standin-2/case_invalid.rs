//! An operator sends a configuration in which a route names a service that is not there.

use std::time::Duration;

use crate::{
    Verdict,
    cluster::{CONTROL_PORT, Operator, Record, Site, Vm, ZONES, config, http},
};

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let site = Site::new("invalid");
    let seeds = [11, 12, 13];
    let start =
        |host: u8| Vm::start(&site, "control", host, ZONES[usize::from(host - 11)], &seeds, true);
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
    if trouble && status == 200 {
        record.line("the operator corrects it and sends it again under the same number");
        let corrected = config(2);
        let answer = http(site.addr(12, CONTROL_PORT), "POST", "/api/config/replace", &corrected);
        record.line(&format!("12 answers {:?}", answer.map(|(status, _)| status)));
        let held = operator.call(&site, record, read, Duration::from_secs(10));
        let is_corrected = held.is_some_and(|(_, held)| held == corrected);
        record.line(&format!("the corrected one is read back: {is_corrected}"));
    }
    let in_force = status == 200 || held.contains("\"version\":2");
    match (trouble, in_force) {
        (true, true) => Verdict::Broken,
        (true, false) | (false, true) => Verdict::Held,
        // A valid configuration was refused, which this case is not about.
        (false, false) => Verdict::NotRun,
    }
}
