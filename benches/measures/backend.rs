//! Backend servers and availability zones: over-admission, service while a zone leaves and
//! returns, balance, and what the homes cost.

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
/// Requests a second that the site gets: a good quarter of what its servers bear.
const CALLS: u32 = 200;
/// Flows a second that open, each with one packet.
const FLOWS: u32 = 200;
/// Time in which an availability zone has to be free of packets.
const OUT_LIMIT: Duration = Duration::from_secs(3);
/// Time without work before a burst.
const IDLE: Duration = Duration::from_secs(12);
const STEP: Duration = Duration::from_millis(5);

/// Prints the measures.
pub(crate) fn measure(table: &mut Table) {
    over_admission(table);
    zone_return(table);
    imbalance(table);
    timer_ramp(table);
    homeless(table);
}

/// Over-admission while servers start cold, start again and lose their homes.
fn over_admission(table: &mut Table) {
    let mut site = site("cert-desk");
    drive(&mut site, seconds(20), CALLS, 0);
    for server in 1..=4 {
        site.restart(&format!("cert-desk-{server}"));
        drive(&mut site, seconds(2), CALLS, 0);
    }
    site.restart("cert-desk-5");
    drive(&mut site, IDLE, 0, 0);
    drive(&mut site, seconds(5), CALLS, 0);
    for vm in ["sofia-a-1", "varna-2"] {
        site.kill(vm);
        drive(&mut site, seconds(8), CALLS, 0);
    }
    let over: u64 = site.backends.values().map(|b| b.stats.over_slots + b.stats.over_cold).sum();
    table.check("backend.over_admission", over as f64);
}

/// One of four availability zones leaves for 10 s and returns.
fn zone_return(table: &mut Table) {
    let mut site = site("cert-desk");
    add(&mut site, "workshop-hub");
    drive(&mut site, seconds(30), CALLS, FLOWS);
    let (calls, bytes) = (site.requests, home_bytes(&site));
    let (began, commands) = (site.mesh.now(), site.applied_commands);
    site.mesh.apply(Command::Zone { zone: "varna".into(), out: true });
    drive(&mut site, OUT_LIMIT, CALLS, FLOWS);
    let before = got(&site, "varna");
    drive(&mut site, seconds(7), CALLS, FLOWS);
    table.check("zone.packets_after_out", (got(&site, "varna") - before) as f64);
    site.mesh.apply(Command::Zone { zone: "varna".into(), out: false });
    drive(&mut site, seconds(20), CALLS, FLOWS);
    let span = site.mesh.now().since(began).as_secs_f64();
    let rate = (home_bytes(&site) - bytes) as f64 / span / VMS as f64;
    table.check("zone.control_bytes", rate);
    table.note("zone.reports", (site.applied_commands - commands) as f64);
    drive(&mut site, seconds(7), 0, 0);
    let begun = site.requests.started - calls.started;
    let given_up = site.requests.timed_out - calls.timed_out;
    table.check("zone.served_share", (begun - given_up) as f64 / begun as f64);
    table.note("zone.refused_first", (site.requests.refused - calls.refused) as f64 / begun as f64);
}

/// Balance over equal servers at rest, and what the ramp of four of them, and of all, costs.
fn imbalance(table: &mut Table) {
    let mut site = site("cert-desk");
    drive(&mut site, seconds(25), CALLS, 0);
    let rate = home_bytes(&site) as f64 / 25.0 / VMS as f64;
    table.check("backend.control_bytes.all_cold", rate);
    table.note(
        "backend.reports_per_ramp",
        f64::from(site.applied_commands as u32) / f64::from(SERVERS),
    );
    let before: Vec<u64> = site.backends.values().map(|b| b.stats.completed).collect();
    drive(&mut site, seconds(30), CALLS, 0);
    let runs = site.backends.values().map(|b| b.stats.completed);
    let runs: Vec<u64> = runs.zip(before).map(|(after, before)| after - before).collect();
    let mean = runs.iter().sum::<u64>() as f64 / runs.len() as f64;
    let max = runs.iter().copied().max().unwrap_or(0);
    table.check("backend.imbalance", max as f64 / mean);
    let before = home_bytes(&site);
    for server in 1..=4 {
        site.restart(&format!("cert-desk-{server}"));
    }
    drive(&mut site, seconds(15), CALLS, 0);
    let rate = (home_bytes(&site) - before) as f64 / 15.0 / VMS as f64;
    table.check("backend.control_bytes", rate);
}

/// Baseline: the share grows with time alone, 10 s to the full share, while no work comes.
fn timer_ramp(table: &Table) {
    const RAMP: f64 = 10.0;
    const FULL_RATE: f64 = 25.0;
    let mut backend = Backend::new(announce(1));
    backend.make_cold();
    let (mut now, mut owed) = (Time::ZERO, 0.0);
    while now < Time::ZERO + seconds(20) {
        let share = (now.since(Time::ZERO).as_secs_f64() / RAMP).min(1.0);
        let rate = if now < Time::ZERO + IDLE { 0.0 } else { FULL_RATE };
        owed += rate * share * STEP.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            send(&mut backend, now, "vm");
        }
        now = now + STEP;
        backend.take_responses(now);
    }
    let over = backend.stats.over_slots + backend.stats.over_cold;
    table.note("backend.over_admission.timer_ramp", over as f64);
}

/// Baseline: every VM probes every server and counts only its own requests.
fn homeless(table: &Table) {
    let mut backends: Vec<Backend> = (1..=SERVERS).map(|n| Backend::new(announce(n))).collect();
    let mut held = vec![[0u32; VMS]; backends.len()];
    let (mut now, mut owed, mut turn) = (Time::ZERO, 0.0, 0usize);
    while now < Time::ZERO + seconds(30) {
        owed += f64::from(CALLS) * STEP.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            turn += 1;
            let vm = turn % VMS;
            // Each VM takes its servers in turn, as far as its own count lets it.
            let start = turn / VMS;
            let free = (0..backends.len()).map(|n| (start + n) % held.len());
            let Some(server) = free.into_iter().find(|&n| held[n][vm] < SLOTS) else { continue };
            if send(&mut backends[server], now, &vm.to_string()) {
                held[server][vm] += 1;
            }
        }
        now = now + STEP;
        for (server, backend) in backends.iter_mut().enumerate() {
            for (vm, _) in backend.take_responses(now) {
                held[server][vm.parse::<usize>().expect("a number")] -= 1;
            }
        }
    }
    let over: u64 = backends.iter().map(|backend| backend.stats.over_slots).sum();
    table.note("backend.over_admission.homeless", over as f64);
    // Health and load once a second each.
    table.note("backend.probes.homeless", (VMS * backends.len() * 2) as f64);
    table.note("backend.probes", (backends.len() * 2) as f64);
}

fn send(backend: &mut Backend, now: Time, vm: &str) -> bool {
    let mut request = coap_lite::Packet::new();
    request.header.code = coap_lite::MessageClass::Request(coap_lite::RequestType::Get);
    debug_assert!(coap::is_request(&request));
    backend.handle_message(now, &Name::from(vm), &request).is_none()
}

fn site(service: &str) -> Site {
    let mut site = Site::new(SEED, &ZONES, VMS_PER_ZONE);
    add(&mut site, service);
    site
}

/// Adds 14 servers: 4 in two of the zones, 3 in the others.
fn add(site: &mut Site, service: &str) {
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

/// Runs `site` with requests and flows that arrive evenly at its VMs.
fn drive(site: &mut Site, span: Duration, calls: u32, flows: u32) {
    let vms: Vec<Name> = site.mesh.nodes.keys().cloned().collect();
    let end = site.mesh.now() + span;
    let (mut owed, mut opened) = (0.0, 0.0);
    while site.mesh.now() < end {
        owed += f64::from(calls) * STEP.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            let turn = site.requests.started as usize;
            site.start_request(&vms[turn % vms.len()]);
        }
        opened += f64::from(flows) * STEP.as_secs_f64();
        while opened >= 1.0 {
            opened -= 1.0;
            let flow = (site.mesh.now().as_micros() / 1_000) as u32 % 60_000;
            site.send_packet(&vms[flow as usize / 5 % vms.len()], flow, true);
        }
        site.step();
    }
}

/// Returns how many requests and packets the servers of `zone` have got.
fn got(site: &Site, zone: &str) -> u64 {
    let here = site.backends.values().filter(|backend| *backend.announce.zone == *zone);
    here.map(|backend| {
        let packets = site.flow_packets.get(&backend.announce.server).copied().unwrap_or(0);
        packets + backend.stats.completed + backend.stats.refused + u64::from(backend.running())
    })
    .sum()
}

fn home_bytes(site: &Site) -> u64 {
    site.mesh.service_bytes.get("backends").copied().unwrap_or(0)
}

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}
