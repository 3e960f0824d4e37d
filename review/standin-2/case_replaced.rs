//! A control VM is replaced as planned, and another one loses its disk.

use std::{thread::sleep, time::Duration};

use crate::{
    Verdict,
    cluster::{Operator, Record, Site, Vm, ZONES},
};

/// `catchUpS`, and a little more.
const CATCH_UP: Duration = Duration::from_millis(5_000);
/// Time between the end of the replaced VM and the loss of a disk.
const GAP: Duration = Duration::from_millis(1_000);
/// For how long the VM that loses its disk is down, as at most in the site file.
const DOWN: Duration = Duration::from_millis(3_000);

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let site = Site::new("replaced");
    let seeds = [11, 12, 13];
    let start = |host: u8, first| {
        Vm::start(&site, "control", host, ZONES[usize::from(host - 11) % 4], &seeds, first)
    };
    let mut vms: Vec<Vm> = (11..15).map(|host| start(host, true)).collect();
    let mut operator = Operator { hosts: vec![11, 12, 13, 14] };
    if operator.replace(&site, record, 1, Duration::from_secs(30)).is_none() {
        return Verdict::NotRun;
    }
    // All four have been up for longer than `catchUpS`.
    sleep(CATCH_UP);
    record.line("an empty control VM, 15, is added; it is to take the place of 11");
    vms.push(start(15, false));
    sleep(CATCH_UP);
    operator.hosts = vec![12, 13, 14, 15];
    record.line("SIGTERM to 11, for good");
    vms[0].terminate();
    record.line("11 has ended");
    sleep(GAP);
    let acked = operator.replace(&site, record, 2, Duration::from_secs(5));
    if acked != Some(12) {
        return Verdict::NotRun;
    }
    if trouble {
        record.line("12, which has acknowledged it, loses its disk");
        vms[1].lose_disk(DOWN);
        record.line("12 is back with an empty disk");
    }
    // More than twice `recoveryS`.
    sleep(Duration::from_secs(30));
    let changed = operator.replace(&site, record, 3, Duration::from_secs(20));
    let read = ("GET", "/api/config/read", "");
    let held = operator.call(&site, record, read, Duration::from_secs(15));
    match (changed, held) {
        (Some(_), Some((_, body))) if body.contains("\"version\":3") => Verdict::Held,
        (None, Some((_, body))) if body.contains("\"version\":2") => {
            record.line("version 2 is there, but no change is accepted any more");
            Verdict::Broken
        }
        (_, held) => {
            record.line(&format!("read back: {:?}", held.map(|(_, body)| body)));
            Verdict::Broken
        }
    }
}
