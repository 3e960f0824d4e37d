//! A control VM loses its disk while the system starts for the first time.

use std::{thread::sleep, time::Duration};

use crate::{
    Verdict,
    cluster::{Operator, Record, Site, Vm, ZONES},
};

/// Time between the start of all VMs and the loss of the disk.
const START: Duration = Duration::from_millis(500);
/// For how long the VM that loses its disk is down, as at least in the site files.
const DOWN: Duration = Duration::from_millis(1_000);

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let site = Site::new("first");
    let seeds = [11, 12, 13];
    record.line(
        "four control VMs start for the first time, with empty disks; 11, 12, 13 are the seeds",
    );
    let start =
        |host: u8| Vm::start(&site, "control", host, ZONES[usize::from(host - 11)], &seeds, true);
    let mut vms: Vec<Vm> = (11..15).map(start).collect();
    sleep(START);
    if trouble {
        record.line("11 loses its disk");
        vms[0].lose_disk(DOWN);
        record.line("11 is back with an empty disk");
    }
    let operator = Operator { hosts: vec![11, 12, 13, 14] };
    // Nothing else happens: all control VMs run and reach each other.
    match operator.replace(&site, record, 1, Duration::from_secs(80)) {
        Some(_) => Verdict::Held,
        None => Verdict::Broken,
    }
}
