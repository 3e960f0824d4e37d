//! Measures of membership, propagation of the configuration, and keys between entry VMs.

use std::{net::SocketAddr, time::Duration};

use galenatrail::{
    Applied, Command, Counter, Keys, Member, MemberMessage, Name, PeerMessage, Progress, Seal,
    standin::Mesh,
};

use crate::table::Table;

/// Lost messages per thousand.
const LOSS: u32 = 50;

const RESOLUTION: Duration = Duration::from_millis(50);
const SECOND: Duration = Duration::from_secs(1);

/// Maximum time to wait for a change to reach every VM. It exceeds the bounds of the measures, so
/// that a time-out violates them.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Number of entry VMs planned for the next two years.
const PLANNED_VMS: f64 = 1_300.0;

/// Configuration changes per day.
const CHANGES_PER_DAY: f64 = 4_600.0;

/// Measures propagation, control traffic, false removals and key agreement.
pub(crate) fn measure(table: &mut Table) {
    let mut large = propagation(table);
    control_bytes(table, &mut large);
    messages(table);
    false_removals(table);
    baselines(table);
    keys(table);
}

fn member(zone: usize, number: usize, start: u64) -> Member {
    let host = [127, 1, zone as u8, number as u8 + 1];
    let addr = SocketAddr::new(host.into(), 7946);
    Member {
        name: format!("zone{zone}-{}", number + 1).into(),
        zone: format!("zone{zone}").into(),
        packets: addr,
        peers: addr,
        incarnation: start,
        ready: false,
    }
}

/// Returns a running deployment whose VMs know each other and hold leases, with `loss` messages
/// lost per thousand.
fn deployment(zones: usize, size: usize, loss: u32) -> Mesh {
    let mut mesh = Mesh::new(3);
    let seeds: Vec<_> = (0..zones).map(|zone| member(zone, 0, 1).peers).collect();
    for zone in 0..zones {
        for number in 0..size {
            mesh.join_leased(member(zone, number, 1), seeds.clone(), Default::default());
        }
    }
    mesh.run(15 * SECOND);
    mesh.loss = loss;
    mesh.run(3 * SECOND);
    let known = mesh.nodes.values().map(|node| node.view().members.len()).min();
    assert_eq!(known, Some(zones * size), "some VMs do not know all other VMs");
    mesh
}

fn apply_change(mesh: &mut Mesh, number: usize) {
    let zone = format!("gone-{}", number % 9).into();
    mesh.apply(Command::Zone { zone, out: number.is_multiple_of(2) });
}

/// Returns the time until every running VM has the last entry, with a resolution of 50 ms, or
/// [`TIMEOUT`] if that takes longer.
fn time_until_in_force(mesh: &mut Mesh) -> Duration {
    let start = mesh.now();
    let last = mesh.state.index;
    while mesh.nodes.values().any(|node| node.state().index < last) {
        mesh.run(RESOLUTION);
        if mesh.now().since(start) > TIMEOUT {
            return TIMEOUT;
        }
    }
    mesh.now().since(start)
}

/// Returns the longest time, over `changes` changes, from the acceptance of a change until it is in
/// force on every VM. With `head_lost`, the head of a zone is stopped right after each change is
/// accepted.
fn longest_time_until_in_force(
    mesh: &mut Mesh,
    (zones, size): (usize, usize),
    changes: usize,
    head_lost: bool,
) -> f64 {
    let seeds: Vec<_> = (0..zones).map(|zone| member(zone, size - 1, 1).peers).collect();
    let mut longest = Duration::ZERO;
    for number in 0..changes {
        mesh.run(Duration::from_millis(50 * (number as u64 * 7 % 20)));
        apply_change(mesh, number);
        let zone = number % zones;
        if head_lost {
            mesh.kill(&member(zone, 0, 0).name);
        }
        longest = longest.max(time_until_in_force(mesh));
        if head_lost && number + 1 < changes {
            let start = number as u64 + 2;
            mesh.join_leased(member(zone, 0, start), seeds.clone(), Default::default());
            mesh.run(8 * SECOND);
        }
    }
    longest.as_secs_f64()
}

/// Measures the time until a change is in force under 5% loss. Returns the deployment of 27
/// availability zones for reuse, because it takes long to start.
fn propagation(table: &mut Table) -> Mesh {
    let shape = (4, 2);
    let mut small = deployment(4, 2, LOSS);
    table.check(
        "spread.seconds_to_force",
        longest_time_until_in_force(&mut small, shape, 60, false),
    );
    table.check(
        "spread.seconds_to_force_head_lost",
        longest_time_until_in_force(&mut small, shape, 30, true),
    );
    let shape = (27, 5);
    let mut large = deployment(27, 5, LOSS);
    table.check(
        "spread.seconds_to_force_27_zones",
        longest_time_until_in_force(&mut large, shape, 8, false),
    );
    let lost = longest_time_until_in_force(&mut large, shape, 2, true);
    table.check("spread.seconds_to_force_27_zones_head_lost", lost);
    large
}

/// Returns the number of bytes that a seal adds to a message.
fn seal_len() -> f64 {
    let me = member(0, 0, 1_790_000_000_000);
    let mut seal = Seal::new(&me, Keys::insecure());
    let message = PeerMessage::Member(MemberMessage::Probe { origin: me.name.clone() });
    let wall = Duration::from_secs(1_790_000_000);
    let mut len = 0;
    for _ in 0..20_000 {
        len = seal.seal(wall, me.peers, &message).expect("the message is encoded").len();
    }
    (len - message.encode().expect("the message is encoded").len()) as f64
}

/// Returns the control bytes per second as the mean over the VMs and for the VM that sends the
/// most. The mean counts peer datagrams with their seals, and reports with their answers; the
/// maximum counts only the datagrams.
fn control_rates(mesh: &mut Mesh, span: Duration, gap: Option<Duration>) -> (f64, f64) {
    let vms = mesh.nodes.len() as f64;
    let (sent, calls, by) = (mesh.sent, mesh.report_traffic, mesh.sender_bytes.clone());
    let start = mesh.now();
    let mut number = 0;
    while mesh.now().since(start) < span {
        mesh.run(gap.unwrap_or(span));
        if gap.is_some() {
            number += 1;
            apply_change(mesh, number);
        }
    }
    let seconds = mesh.now().since(start).as_secs_f64();
    let datagrams = (mesh.sent.0 - sent.0) as f64;
    let seals = datagrams * seal_len();
    let calls = (mesh.report_traffic.1 - calls.1) as f64;
    let all = (mesh.sent.1 - sent.1) as f64 + seals + calls;
    let most = mesh.sender_bytes.iter().map(|(vm, n)| n - by.get(vm).copied().unwrap_or(0)).max();
    let most = most.unwrap_or(0) as f64 * (1.0 + seals / (mesh.sent.1 - sent.1) as f64);
    (all / vms / seconds, most / seconds)
}

fn control_bytes(table: &mut Table, large: &mut Mesh) {
    let gap = Duration::from_secs_f64(86_400.0 / CHANGES_PER_DAY);
    let mut small = deployment(4, 2, 0);
    let (rest, _) = control_rates(&mut small, 60 * SECOND, None);
    table.check("peer.control_bytes_at_rest", rest.round());
    let (busy, _) = control_rates(&mut small, 120 * SECOND, Some(gap));
    table.check("peer.control_bytes", busy.round());
    large.loss = 0;
    large.run(3 * SECOND);
    let (mean, most) = control_rates(large, 10 * SECOND, Some(gap / 2));
    table.note("peer.control_bytes_27_zones", mean.round());
    table.note("peer.control_bytes_27_zones_head", most.round());
    let mut zone = deployment(2, 48, 0);
    let (mean, most) = control_rates(&mut zone, 20 * SECOND, Some(gap));
    table.note("peer.control_bytes_48_vms_a_zone", mean.round());
    table.note("peer.control_bytes_48_vms_a_zone_head", most.round());
}

/// Measures the messages per change and VM beyond those sent at rest, for several numbers of VMs.
fn messages(table: &mut Table) {
    for (zones, size) in [(4, 2), (4, 8), (16, 8)] {
        let mut mesh = deployment(zones, size, 0);
        let before = mesh.sent.0;
        mesh.run(4 * SECOND);
        let rest = mesh.sent.0 - before;
        let before = mesh.sent.0;
        for number in 0..4 {
            apply_change(&mut mesh, number);
            mesh.run(SECOND);
        }
        let changed = mesh.sent.0 - before;
        let vms = zones * size;
        let slope = (changed as f64 - rest as f64) / 4.0 / vms as f64;
        table.note(&format!("spread.messages_per_change_and_vm_{vms}"), slope);
        let at_rest = rest as f64 / 4.0 / vms as f64;
        table.note(&format!("member.messages_per_second_and_vm_{vms}"), at_rest);
    }
}

/// Counts VMs and availability zones that are removed although none failed, in an hour of 5% loss.
fn false_removals(table: &mut Table) {
    let mut mesh = deployment(4, 2, LOSS);
    mesh.run(3_600 * SECOND);
    let sum = |counter| -> u64 {
        mesh.nodes.values().map(|node| node.counters().get(counter)).sum::<u64>()
    };
    table.check("member.false_removals", sum(Counter::MembersRemoved) as f64);
    table.check("member.false_zone_losses", sum(Counter::ZoneReachChanges) as f64);
    table.note("member.suspicions_an_hour", sum(Counter::MembersSuspected) as f64);
    table.note("spread.lapsed_leases_an_hour", sum(Counter::LeasesLapsed) as f64);
}

/// Baselines: every VM reports to a control VM, and every VM sends heartbeats to every other VM.
fn baselines(table: &mut Table) {
    let name: Name = "zone12-34".into();
    let applied = Applied { incarnation: 1_790_000_000_000, index: 123_456 };
    let progress = Progress { after: 123_456, applied: [(name, applied)].into() };
    let report = serde_json::to_vec(&progress).expect("the report is encoded").len();
    table.note("spread.baseline_reports_a_second_at_control_vms", 2.0 * PLANNED_VMS);
    table.note("spread.baseline_report_bytes_a_vm", 2.0 * report as f64);
    let incarnation = applied.incarnation;
    let beat = MemberMessage::Heartbeat { incarnation, renewal: 1, digest: u64::MAX };
    let beat = PeerMessage::Member(beat).encode().expect("the message is encoded").len() as f64;
    let each = 4.0 * (beat + seal_len());
    table.note("member.baseline_all_to_all_bytes_8_vms", 7.0 * each);
    table.note("member.baseline_all_to_all_bytes_1300_vms", (PLANNED_VMS - 1.0) * each);
}

/// Compares keys that are derived for each interval with keys that are distributed over the log.
fn keys(table: &mut Table) {
    let wall = Duration::from_secs(1_790_000_000);
    let hour = Duration::from_secs(3_600);
    let refused = |from: Keys, to: Keys| {
        let (a, b) = (member(0, 0, 1), member(0, 1, 1));
        let (mut sender, mut receiver) = (Seal::new(&a, from), Seal::new(&b, to));
        let message = PeerMessage::Member(MemberMessage::Probe { origin: a.name.clone() });
        let open = |_: &u32| {
            let bytes =
                sender.seal(wall + hour, b.peers, &message).expect("the message is encoded");
            receiver.open(wall + hour, &bytes).is_err()
        };
        (0..100).filter(open).count() as f64
    };
    let key = |n: u8| Keys::parse(&format!("{n:02x}").repeat(32)).expect("valid key");
    table.check("keys.refused_after_an_hour_apart", refused(key(1), key(1)));
    // After an hour, one side has received twelve new keys; the other still has the first.
    table.note("keys.baseline_distributed_refused", refused(key(13), key(1)));
    let entry = 32.0 + seal_len();
    table.note("keys.baseline_distributed_bytes_a_vm", entry / 300.0);
}
