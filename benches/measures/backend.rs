//! Backend servers and availability zones: over-admission, availability while a zone is taken out
//! and returned to service, load balance, and control traffic of the home VMs.

use std::time::Duration;

use galenatrail::{
    Announce, Command, Name, Time, coap,
    standin::{Backend, Site},
};

use crate::table::Table;

const SEED: u64 = 11;
const ZONES: [&str; 4] = ["sofia-a", "sofia-b", "plovdiv", "varna"];
const VMS_PER_ZONE: u8 = 2;
const VMS: usize = 8;
const SERVERS: u8 = 14;
const SLOTS: u32 = 2;
/// Requests per second to the site: somewhat more than a quarter of the capacity of its servers.
const REQUESTS_PER_SECOND: u32 = 200;
/// Flows opened per second, each with one packet.
const FLOWS_PER_SECOND: u32 = 200;
/// Time after which an availability zone that was taken out must receive no more packets.
const EVACUATION_TIME: Duration = Duration::from_secs(3);
/// Idle time before a burst of requests.
const IDLE_TIME: Duration = Duration::from_secs(12);
const TIME_STEP: Duration = Duration::from_millis(5);

/// Measures over-admission, zone evacuation, load balance and control traffic.
pub(crate) fn measure(table: &mut Table) {
    over_admission(table);
    zone_return(table);
    balance(table);
    baseline_timer_ramp(table);
    baseline_without_homes(table);
}

/// Measures over-admission while servers start cold, restart and lose their home VMs.
fn over_admission(table: &mut Table) {
    let mut site = site("cert-desk");
    run_load(&mut site, seconds(20), REQUESTS_PER_SECOND, 0);
    for server in 1..=4 {
        site.restart(&format!("cert-desk-{server}"));
        run_load(&mut site, seconds(2), REQUESTS_PER_SECOND, 0);
    }
    site.restart("cert-desk-5");
    run_load(&mut site, IDLE_TIME, 0, 0);
    run_load(&mut site, seconds(5), REQUESTS_PER_SECOND, 0);
    for vm in ["sofia-a-1", "varna-2"] {
        site.kill(vm);
        run_load(&mut site, seconds(8), REQUESTS_PER_SECOND, 0);
    }
    let over: u64 = site.backends.values().map(|b| b.stats.over_slots + b.stats.over_cold).sum();
    table.check("backend.over_admission", over as f64);
}

/// Measures availability while one of four availability zones is taken out for 10 s.
fn zone_return(table: &mut Table) {
    let mut site = site("cert-desk");
    add_servers(&mut site, "workshop-hub");
    run_load(&mut site, seconds(30), REQUESTS_PER_SECOND, FLOWS_PER_SECOND);
    let (requests, bytes) = (site.requests, control_bytes(&site));
    let (start, applied_commands) = (site.mesh.now(), site.applied_commands);
    site.mesh.apply(Command::Zone { zone: "varna".into(), out: true });
    run_load(&mut site, EVACUATION_TIME, REQUESTS_PER_SECOND, FLOWS_PER_SECOND);
    let before = received(&site, "varna");
    run_load(&mut site, seconds(7), REQUESTS_PER_SECOND, FLOWS_PER_SECOND);
    table.check("zone.packets_after_out", (received(&site, "varna") - before) as f64);
    site.mesh.apply(Command::Zone { zone: "varna".into(), out: false });
    run_load(&mut site, seconds(20), REQUESTS_PER_SECOND, FLOWS_PER_SECOND);
    let span = site.mesh.now().since(start).as_secs_f64();
    let rate = (control_bytes(&site) - bytes) as f64 / span / VMS as f64;
    table.check("zone.control_bytes", rate);
    table.note("zone.reports", (site.applied_commands - applied_commands) as f64);
    run_load(&mut site, seconds(7), 0, 0);
    let total = site.requests.started - requests.started;
    let timed_out = site.requests.timed_out - requests.timed_out;
    table.check("zone.served_share", (total - timed_out) as f64 / total as f64);
    table.note(
        "zone.refused_first",
        (site.requests.refused - requests.refused) as f64 / total as f64,
    );
}

/// Measures the balance over equal warm servers, and the control traffic while all of them or four
/// of them ramp.
fn balance(table: &mut Table) {
    let mut site = site("cert-desk");
    run_load(&mut site, seconds(25), REQUESTS_PER_SECOND, 0);
    let rate = control_bytes(&site) as f64 / 25.0 / VMS as f64;
    table.check("backend.control_bytes.all_cold", rate);
    table.note(
        "backend.reports_per_ramp",
        f64::from(site.applied_commands as u32) / f64::from(SERVERS),
    );
    let before: Vec<u64> = site.backends.values().map(|b| b.stats.completed).collect();
    run_load(&mut site, seconds(30), REQUESTS_PER_SECOND, 0);
    let completed = site.backends.values().map(|b| b.stats.completed);
    let runs: Vec<u64> = completed.zip(before).map(|(after, before)| after - before).collect();
    let mean = runs.iter().sum::<u64>() as f64 / runs.len() as f64;
    let max = runs.iter().copied().max().unwrap_or(0);
    table.check("backend.imbalance", max as f64 / mean);
    let before = control_bytes(&site);
    for server in 1..=4 {
        site.restart(&format!("cert-desk-{server}"));
    }
    run_load(&mut site, seconds(15), REQUESTS_PER_SECOND, 0);
    let rate = (control_bytes(&site) - before) as f64 / 15.0 / VMS as f64;
    table.check("backend.control_bytes", rate);
}

/// Baseline: the share of a cold server grows with time alone, to the full share in 10 s, although
/// the server receives no requests.
fn baseline_timer_ramp(table: &Table) {
    const RAMP: f64 = 10.0;
    const FULL_RATE: f64 = 25.0;
    let mut backend = Backend::new(announce(1));
    backend.make_cold();
    let (mut now, mut due_requests) = (Time::ZERO, 0.0);
    while now < Time::ZERO + seconds(20) {
        let share = (now.since(Time::ZERO).as_secs_f64() / RAMP).min(1.0);
        let rate = if now < Time::ZERO + IDLE_TIME { 0.0 } else { FULL_RATE };
        due_requests += rate * share * TIME_STEP.as_secs_f64();
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            send(&mut backend, now, "vm");
        }
        now = now + TIME_STEP;
        backend.take_responses(now);
    }
    let over = backend.stats.over_slots + backend.stats.over_cold;
    table.note("backend.over_admission.timer_ramp", over as f64);
}

/// Baseline without home VMs: every VM probes every server and counts only its own requests.
fn baseline_without_homes(table: &Table) {
    let mut backends: Vec<Backend> = (1..=SERVERS).map(|n| Backend::new(announce(n))).collect();
    let mut held = vec![[0u32; VMS]; backends.len()];
    let (mut now, mut due_requests, mut turn) = (Time::ZERO, 0.0, 0usize);
    while now < Time::ZERO + seconds(30) {
        due_requests += f64::from(REQUESTS_PER_SECOND) * TIME_STEP.as_secs_f64();
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            turn += 1;
            let vm = turn % VMS;
            // Each VM selects servers round-robin and skips those whose slots it has filled itself.
            let start = turn / VMS;
            let free = (0..backends.len()).map(|n| (start + n) % held.len());
            let Some(server) = free.into_iter().find(|&n| held[n][vm] < SLOTS) else { continue };
            if send(&mut backends[server], now, &vm.to_string()) {
                held[server][vm] += 1;
            }
        }
        now = now + TIME_STEP;
        for (server, backend) in backends.iter_mut().enumerate() {
            for (vm, _) in backend.take_responses(now) {
                held[server][vm.parse::<usize>().expect("VM names are numbers")] -= 1;
            }
        }
    }
    let over: u64 = backends.iter().map(|backend| backend.stats.over_slots).sum();
    table.note("backend.over_admission.homeless", over as f64);
    // Each server is probed for health and for load once per second.
    table.note("backend.probes.homeless", (VMS * backends.len() * 2) as f64);
    table.note("backend.probes", (backends.len() * 2) as f64);
}

/// Sends a request to `backend`; returns whether it was accepted.
fn send(backend: &mut Backend, now: Time, vm: &str) -> bool {
    let mut request = coap_lite::Packet::new();
    request.header.code = coap_lite::MessageClass::Request(coap_lite::RequestType::Get);
    debug_assert!(coap::is_request(&request));
    backend.handle_message(now, &Name::from(vm), &request).is_none()
}

fn site(service: &str) -> Site {
    let mut site = Site::new(SEED, &ZONES, VMS_PER_ZONE);
    add_servers(&mut site, service);
    site
}

/// Adds 14 servers: 4 in each of the first two zones, 3 in each of the others.
fn add_servers(site: &mut Site, service: &str) {
    for (turn, zone) in ZONES.into_iter().enumerate() {
        site.add_servers(service, zone, if turn < 2 { 4 } else { 3 });
    }
}

fn announce(n: u8) -> Announce {
    Announce {
        server: format!("cert-desk-{n}").into(),
        service: "cert-desk".into(),
        zone: ZONES[0].into(),
        packets: ([127, 0, 2, n], 6081).into(),
        requests: ([127, 0, 2, n], 5683).into(),
        boot: 1,
        slots: SLOTS,
        connections: 2_000,
        draining: false,
    }
}

/// Runs `site` for `span`, with `calls` requests and `flows` new flows per second that are spread
/// evenly over its VMs.
fn run_load(site: &mut Site, span: Duration, calls: u32, flows: u32) {
    let vms: Vec<Name> = site.mesh.nodes.keys().cloned().collect();
    let end = site.mesh.now() + span;
    let (mut due_requests, mut due_flows) = (0.0, 0.0);
    while site.mesh.now() < end {
        due_requests += f64::from(calls) * TIME_STEP.as_secs_f64();
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            let turn = site.requests.started as usize;
            site.start_request(&vms[turn % vms.len()]);
        }
        due_flows += f64::from(flows) * TIME_STEP.as_secs_f64();
        while due_flows >= 1.0 {
            due_flows -= 1.0;
            let flow = (site.mesh.now().as_micros() / 1_000) as u32 % 60_000;
            site.send_packet(&vms[flow as usize / 5 % vms.len()], flow, true);
        }
        site.step();
    }
}

/// Returns the number of requests and packets that the servers of `zone` have received.
fn received(site: &Site, zone: &str) -> u64 {
    let in_zone = site.backends.values().filter(|backend| *backend.announce.zone == *zone);
    in_zone
        .map(|backend| {
            let packets = site.flow_packets.get(&backend.announce.server).copied().unwrap_or(0);
            packets + backend.stats.completed + backend.stats.refused + u64::from(backend.running())
        })
        .sum()
}

fn control_bytes(site: &Site) -> u64 {
    site.mesh.service_bytes.get("backends").copied().unwrap_or(0)
}

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}
