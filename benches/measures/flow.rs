//! Flow placement through planned change and loss, at the sizes of both deployments.
//!
//! Each run has 4 availability zones, 8 entry VMs and 14 + 4 backend servers. Runs that count
//! broken flows hold [`HELD`] flows and open [`RATE`] a second; runs that count control bytes open
//! [`FULL_RATE`] a second.

use std::time::Duration;

use galenatrail::{FlowMessage, PeerMessage, RECORD_LEN, RecordGroup};

use crate::{baselines, flow_world::World, table::Table};

/// Flows held when a change begins.
const HELD: usize = 4_000;

/// Flows opened in a second to each service.
const RATE: usize = 200;

/// Flows opened in a second to both services together where control bytes are counted.
const FULL_RATE: usize = 2_000;

/// Time over which control bytes are counted.
const SPAN: Duration = Duration::from_secs(20);

const SETTLE: Duration = Duration::from_secs(5);

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

const ALONE: [Change; 5] =
    [Change::Drain(3), Change::Add, Change::Ramp, Change::Leave, Change::Join];

const PAIRS: [[Change; 2]; 6] = [
    [Change::Drain(3), Change::Drain(4)],
    [Change::Drain(3), Change::Add],
    [Change::Drain(3), Change::Ramp],
    [Change::Drain(3), Change::Leave],
    [Change::Ramp, Change::Join],
    [Change::Leave, Change::Join],
];

/// What several runs broke.
#[derive(Default)]
struct Sum {
    broken: u64,
    young: u64,
    misrouted: u64,
    opened: usize,
}

impl Sum {
    fn add(&mut self, world: &World) {
        self.broken += world.tally.broken - world.tally.broken_young;
        self.young += world.tally.broken_young;
        self.misrouted += world.tally.misrouted;
        self.opened += world.flows.len();
    }
}

/// Measures flow placement and the three baselines.
pub(crate) fn measure(table: &mut Table) {
    let (mut alone, mut pairs, mut losses) = (Sum::default(), Sum::default(), Sum::default());
    let mut imbalance = 0.0_f64;
    for deployment in &DEPLOYMENTS {
        for change in ALONE {
            alone.add(&changed(deployment, &[change]));
        }
        for pair in PAIRS {
            pairs.add(&changed(deployment, &pair));
        }
        losses.add(&lost(deployment));
        imbalance = imbalance.max(start(deployment).imbalance(deployment.services[0]));
    }
    table.note("flow.flows", (alone.opened + pairs.opened + losses.opened) as f64);
    table.check("flow.broken.alone", alone.broken as f64);
    table.check("flow.broken.pairs", pairs.broken as f64);
    table.check("flow.broken.loss", losses.broken as f64);
    table.note("flow.broken.loss.young", losses.young as f64);
    let misrouted = alone.misrouted + pairs.misrouted + losses.misrouted;
    table.check("flow.misrouted", misrouted as f64);
    table.check("flow.imbalance", imbalance);
    table.check("flow.record.bytes", record_bytes().max(RECORD_LEN as f64));
    for (name, change) in [("drain", Change::Drain(3)), ("ramp", Change::Ramp)] {
        let (bytes, tracked) = most(change);
        table.check(&format!("flow.control.{name}"), bytes);
        table.note(&format!("flow.tracked.{name}"), tracked);
    }
    baselines::note(table);
}

fn start(deployment: &Deployment) -> World {
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
        "the tables are filled"
    );
    world
}

/// Starts `change`; a ramp takes as long as it needs.
fn begin(world: &mut World, change: Change, rate: usize) {
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

fn changed(deployment: &Deployment, changes: &[Change]) -> World {
    let mut world = start(deployment);
    world.open(deployment.services[0], HELD);
    world.run(Duration::from_secs(2), RATE);
    for &change in changes {
        begin(&mut world, change, RATE);
        world.run(Duration::from_millis(2_500), RATE);
    }
    world.run(SETTLE, RATE);
    world.end(100);
    world.run(Duration::from_secs(12), RATE);
    world
}

/// Loses the owner of the most records in the middle of a drain.
fn lost(deployment: &Deployment) -> World {
    let mut world = start(deployment);
    world.open(deployment.services[0], HELD);
    begin(&mut world, Change::Drain(3), RATE);
    world.run(SETTLE, RATE * 4);
    let vm = world.busiest();
    world.kill(&vm);
    world.run(SETTLE, RATE);
    world
}

/// Returns the bytes of control messages in a second of the VM that sends the most through
/// `change`, and the share of flows that were recorded.
fn most(change: Change) -> (f64, f64) {
    let (mut most, mut tracked) = (0.0_f64, 0.0_f64);
    for deployment in &DEPLOYMENTS {
        let mut world = start(deployment);
        world.period = Duration::from_secs(8);
        world.mesh.control.clear();
        let from = world.mesh.now();
        let rate = FULL_RATE / deployment.services.len();
        begin(&mut world, change, rate);
        while world.mesh.now().since(from) < SPAN {
            world.run(Duration::from_secs(1), rate);
        }
        world.check();
        let seconds = world.mesh.now().since(from).as_secs_f64();
        let bytes = world.mesh.control.values().max().copied().unwrap_or_default();
        most = most.max(bytes as f64 / seconds);
        tracked = tracked.max(world.recorded_flows() as f64 / world.flows.len() as f64);
    }
    (most, tracked)
}

/// Returns the bytes that one more IPv6 flow adds to a batch of records.
fn record_bytes() -> f64 {
    let batch = |count: u16| {
        let flow = |port| (format!("[2001:db8::{port:x}]:40000").parse().expect("an address"), 0);
        let flows = (0..count).map(flow).collect();
        let group = RecordGroup {
            service: "workshop-hub".into(),
            servers: vec![1],
            flows,
            ended: Vec::new(),
        };
        let message = FlowMessage::Records { serial: 1, remaining: 0, groups: vec![group] };
        PeerMessage::Flow(message).encode().expect("a message").len()
    };
    (batch(101) - batch(1)) as f64 / 100.0
}
