//! Another writer sends a heartbeat with bytes that can't be read, with the address of a server that
//! lives.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    Verdict,
    cluster::{CONTROL_PORT, Operator, READY_PORT, Record, Site, Vm, ZONES, http, http_bytes},
    flow::{Caller, Reply, Server},
};

const SERVER_ID: u64 = 0x7f3a_91c2;
const WRITER_ID: u64 = 0x00d0_0d1e;
/// `heartbeatMs`.
const PERIOD: Duration = Duration::from_millis(1_200);

fn millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// A heartbeat; `note` stands in a field that the pages don't name.
fn heartbeat(address: &str, born: u128, sequence: u64, note: &[u8]) -> Vec<u8> {
    let zone = ZONES[0];
    let mut body = format!(
        "{{\"service\":\"hub\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"maxConcurrency\":2,\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":{sequence},\
         \"born\":{born}"
    )
    .into_bytes();
    if !note.is_empty() {
        body.extend(b",\"note\":\"");
        body.extend(note);
        body.extend(b"\"");
    }
    body.extend(b"}");
    body
}

pub fn run(record: &mut Record, trouble: bool) -> Verdict {
    let site = Site::new("bytes");
    let seeds = [11, 12, 13];
    let _vms: Vec<Vm> = (11..15)
        .map(|host| Vm::start(&site, "control", host, ZONES[usize::from(host - 11)], &seeds, true))
        .collect();
    let _entry = Vm::start(&site, "entry", 20, ZONES[0], &seeds, true);
    let operator = Operator { hosts: vec![11, 12, 13, 14] };
    if operator.replace(&site, record, 1, Duration::from_secs(30)).is_none() {
        return Verdict::NotRun;
    }
    let server = Server::start(&site, 30, SERVER_ID, millis());
    let stop = Arc::new(AtomicBool::new(false));
    let beats = thread::spawn({
        let (stop, address, born) = (stop.clone(), server.addr.to_string(), server.born);
        let controls: Vec<_> = (11..15).map(|host| site.addr(host, CONTROL_PORT)).collect();
        let path = format!("/api/instances/i-{SERVER_ID:x}/heartbeat");
        move || {
            let (mut sequence, mut refused) = (0, 0);
            while !stop.load(Ordering::Relaxed) {
                sequence += 1;
                let body = heartbeat(&address, born, sequence, b"");
                let target = controls[sequence as usize % controls.len()];
                let answer = http_bytes(target, "POST", &path, &body);
                refused += u32::from(answer.is_none_or(|(status, _)| status != 200));
                sleep(PERIOD);
            }
            (sequence, refused)
        }
    });
    let verdict = play(&site, record, trouble, &server);
    stop.store(true, Ordering::Relaxed);
    if let Ok((sent, refused)) = beats.join() {
        record.line(&format!("the server's heartbeats: {sent} sent, {refused} not acknowledged"));
    }
    record.line(&format!(
        "the server ran {} requests, sent {} resets",
        server.runs(),
        server.resets()
    ));
    verdict
}

fn play(site: &Site, record: &mut Record, trouble: bool, server: &Server) -> Verdict {
    let ready = || http(site.addr(20, READY_PORT), "GET", "/api/ready", "");
    let since = Instant::now();
    while ready().is_none_or(|(status, _)| status != 200) {
        if since.elapsed() > Duration::from_secs(20) {
            return Verdict::NotRun;
        }
        sleep(Duration::from_millis(100));
    }
    // All VMs are in touch (`contactMs`).
    sleep(Duration::from_millis(5_000));
    let mut caller = Caller::new(site, 35, 20);
    if !caller.open(record) || caller.request(record, "request 1") != Reply::Answered {
        return Verdict::NotRun;
    }
    if trouble {
        let path = format!("/api/instances/i-{WRITER_ID:x}/heartbeat");
        let body = heartbeat(&server.addr.to_string(), millis(), 1, b"\xff\xfe\xc0");
        record.line(&format!("another writer sends {path} {}", body.escape_ascii()));
        let answer = http_bytes(site.addr(12, CONTROL_PORT), "POST", &path, &body);
        record.line(&format!("12 answers {:?}", answer.map(|(status, _)| status)));
    }
    let mut reset = caller.await_reset(record, Duration::from_secs(2));
    for number in 2..6 {
        if reset.is_some() {
            break;
        }
        let reply = caller.request(record, &format!("request {number}"));
        reset = (reply != Reply::Answered).then_some(reply);
        sleep(Duration::from_millis(500));
    }
    // Whether the server gets flows from then on.
    let mut second = Caller::new(site, 36, 20);
    let opened = second.open(record);
    record.line(&format!("a new flow opens at the server: {opened}"));
    match reset {
        Some(Reply::SystemReset) => Verdict::Broken,
        Some(_) => Verdict::NotRun,
        None => Verdict::Held,
    }
}
