//! Flow placement during planned changes and the failure of an entry VM, at the sizes of two
//! deployments.
//!
//! Each run has 4 availability zones, 8 entry VMs and two services with 14 and 4 backend servers.
//! Runs that count broken flows start with [`INITIAL_FLOWS`] flows and open at least
//! [`FLOWS_PER_SECOND`] flows per second to each service. Runs that count control bytes open
//! [`TOTAL_FLOWS_PER_SECOND`] flows per second in total.

use std::time::Duration;

use galenatrail::{FlowMessage, PeerMessage, RECORD_LEN, RecordGroup};

use crate::{baselines, flow_world::World, table::Table};

/// Flows opened before the first change.
const INITIAL_FLOWS: usize = 4_000;

/// Flows opened per second to each service.
const FLOWS_PER_SECOND: usize = 200;

/// Flows opened per second to both services together while control bytes are counted.
const TOTAL_FLOWS_PER_SECOND: usize = 2_000;

/// Minimum time over which control bytes are counted.
const CONTROL_BYTES_SPAN: Duration = Duration::from_secs(20);

const SETTLE_TIME: Duration = Duration::from_secs(5);

struct Deployment {
    zones: [&'static str; 4],
    services: [&'static str; 2],
    seed: u64,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        zones: ["sofia-a", "sofia-b", "plovdiv", "varna"],
        services: ["workshop-hub", "cert-desk"],
        seed: 1,
    },
    Deployment {
        zones: ["vestland-a", "vestland-b", "vestland-c", "vestland-d"],
        services: ["kalibrering", "sertifikat"],
        seed: 2,
    },
];

/// A planned change.
#[derive(Debug, Clone, Copy)]
enum Change {
    Drain(u8),
    Add,
    Ramp,
    Leave,
    Join,
}

const SINGLE_CHANGES: [Change; 5] =
    [Change::Drain(3), Change::Add, Change::Ramp, Change::Leave, Change::Join];

const CHANGE_PAIRS: [[Change; 2]; 6] = [
    [Change::Drain(3), Change::Drain(4)],
    [Change::Drain(3), Change::Add],
    [Change::Drain(3), Change::Ramp],
    [Change::Drain(3), Change::Leave],
    [Change::Ramp, Change::Join],
    [Change::Leave, Change::Join],
];

/// Sums of flow outcomes over several runs.
#[derive(Default)]
struct Totals {
    broken: u64,
    broken_young: u64,
    misrouted: u64,
    opened: usize,
}

impl Totals {
    fn add(&mut self, world: &World) {
        self.broken += world.tally.broken - world.tally.broken_young;
        self.broken_young += world.tally.broken_young;
        self.misrouted += world.tally.misrouted;
        self.opened += world.flows.len();
    }
}

/// Measures flow placement and prints the three baselines.
pub(crate) fn measure(table: &mut Table) {
    let (mut single, mut pairs, mut losses) =
        (Totals::default(), Totals::default(), Totals::default());
    let mut imbalance = 0.0_f64;
    for deployment in &DEPLOYMENTS {
        for change in SINGLE_CHANGES {
            single.add(&run_changes(deployment, &[change]));
        }
        for pair in CHANGE_PAIRS {
            pairs.add(&run_changes(deployment, &pair));
        }
        losses.add(&run_vm_failure(deployment));
        imbalance = imbalance.max(start_deployment(deployment).imbalance(deployment.services[0]));
    }
    table.note("flow.flows", (single.opened + pairs.opened + losses.opened) as f64);
    table.check("flow.broken.alone", single.broken as f64);
    table.check("flow.broken.pairs", pairs.broken as f64);
    table.check("flow.broken.loss", losses.broken as f64);
    table.note("flow.broken.loss.young", losses.broken_young as f64);
    let misrouted = single.misrouted + pairs.misrouted + losses.misrouted;
    table.check("flow.misrouted", misrouted as f64);
    table.check("flow.imbalance", imbalance);
    table.check("flow.record.bytes", record_bytes().max(RECORD_LEN as f64));
    for (name, change) in [("drain", Change::Drain(3)), ("ramp", Change::Ramp)] {
        let (bytes, tracked) = highest_control_rate(change);
        table.check(&format!("flow.control.{name}"), bytes);
        table.note(&format!("flow.tracked.{name}"), tracked);
    }
    baselines::report(table);
}

fn start_deployment(deployment: &Deployment) -> World {
    let mut world = World::new(deployment.seed, deployment.zones);
    let [large, small] = deployment.services;
    world.service("first", 0, large, "127.0.9.1:80", "tcp");
    world.service("second", 0, small, "127.0.9.2:80", "tcp");
    let zone = |host: u8| deployment.zones[usize::from(host) % deployment.zones.len()];
    for host in 1..=14 {
        world.announce(large, host, zone(host), false);
    }
    for host in 101..=104 {
        world.announce(small, host, zone(host), false);
    }
    let limit = Duration::from_secs(120);
    assert!(
        world.run_until_rest(large, limit, 0) && world.run_until_rest(small, limit, 0),
        "the placement tables were not filled in time"
    );
    world
}

/// Starts `change`. For a ramp, also runs until the server has its full weight.
fn begin_change(world: &mut World, change: Change, rate: usize) {
    let zone = world.mesh.nodes.values().next().expect("an entry VM").me().zone.clone();
    let service = world.first_service();
    match change {
        Change::Drain(host) => world.announce(&service, host, &zone, true),
        Change::Add => world.announce(&service, 15, &zone, false),
        Change::Ramp => {
            world.announce(&service, 16, &zone, true);
            for weight in [5, 10, 25, 50, 100] {
                world.set_weight(16, weight);
                world.run(Duration::from_secs(3), rate);
            }
        }
        Change::Leave => world.leave(&world.busiest()),
        Change::Join => world.join("joiner-1", &zone),
    }
}

fn run_changes(deployment: &Deployment, changes: &[Change]) -> World {
    let mut world = start_deployment(deployment);
    world.open(deployment.services[0], INITIAL_FLOWS);
    world.run(Duration::from_secs(2), FLOWS_PER_SECOND);
    for &change in changes {
        begin_change(&mut world, change, FLOWS_PER_SECOND);
        world.run(Duration::from_millis(2_500), FLOWS_PER_SECOND);
    }
    world.run(SETTLE_TIME, FLOWS_PER_SECOND);
    world.end(100);
    world.run(Duration::from_secs(12), FLOWS_PER_SECOND);
    world
}

/// Stops the entry VM with the most flow records while a backend server drains.
fn run_vm_failure(deployment: &Deployment) -> World {
    let mut world = start_deployment(deployment);
    world.open(deployment.services[0], INITIAL_FLOWS);
    begin_change(&mut world, Change::Drain(3), FLOWS_PER_SECOND);
    world.run(SETTLE_TIME, FLOWS_PER_SECOND * 4);
    let vm = world.busiest();
    world.kill(&vm);
    world.run(SETTLE_TIME, FLOWS_PER_SECOND);
    world
}

/// Returns, for `change`, the control bytes per second of the VM that sends the most, and the share
/// of flows that are recorded. Both are the maximum over the deployments.
fn highest_control_rate(change: Change) -> (f64, f64) {
    let (mut most, mut tracked) = (0.0_f64, 0.0_f64);
    for deployment in &DEPLOYMENTS {
        let mut world = start_deployment(deployment);
        world.period = Duration::from_secs(8);
        world.mesh.control_bytes.clear();
        let begin_time = world.mesh.now();
        let rate = TOTAL_FLOWS_PER_SECOND / deployment.services.len();
        begin_change(&mut world, change, rate);
        while world.mesh.now().since(begin_time) < CONTROL_BYTES_SPAN {
            world.run(Duration::from_secs(1), rate);
        }
        world.check();
        let seconds = world.mesh.now().since(begin_time).as_secs_f64();
        let bytes = world.mesh.control_bytes.values().max().copied().unwrap_or_default();
        most = most.max(bytes as f64 / seconds);
        tracked = tracked.max(world.recorded_flows() as f64 / world.flows.len() as f64);
    }
    (most, tracked)
}

/// Returns the number of bytes by which one more IPv6 flow enlarges a batch of records.
fn record_bytes() -> f64 {
    let batch = |count: u16| {
        let flow =
            |port| (format!("[2001:db8::{port:x}]:40000").parse().expect("valid address"), 0);
        let flows = (0..count).map(flow).collect();
        let group = RecordGroup {
            service: "workshop-hub".into(),
            servers: vec![1],
            flows,
            ended: Vec::new(),
        };
        let message = FlowMessage::Records { serial: 1, remaining: 0, groups: vec![group] };
        PeerMessage::Flow(message).encode().expect("the message is encoded").len()
    };
    (batch(101) - batch(1)) as f64 / 100.0
}
