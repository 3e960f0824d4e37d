//! Slopes behind `docs/CAPACITY.md`: what one more server, address or entry costs.
//!
//! Prints `name value unit`. Bytes are counted by the allocator and by the codec; times are
//! beside the time of one packet decision in the same run, so that machines can be compared.

use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use galenatrail::{
    Announce, Branch, Command, EntryNode, Mode, Protocol, ServiceSpec, State, Time, packet,
    standin::tcp_packet,
};

#[path = "measures/fixture.rs"]
#[allow(dead_code, reason = "the daemons are for the speed bench")]
mod fixture;

/// Addresses and backend servers of the size to design for.
const FULL: Size = Size { addresses: 960, servers: 7_000 };
/// Half the addresses, for the slope over addresses.
const FEW_ADDRESSES: Size = Size { addresses: 480, servers: 7_000 };
/// Half the backend servers, for the slope over servers.
const FEW_SERVERS: Size = Size { addresses: 960, servers: 3_500 };

const ROUNDS: u32 = 20;
const DECISIONS: u32 = 200_000;

#[derive(Debug, Clone, Copy)]
struct Size {
    addresses: u32,
    servers: u32,
}

struct Cost {
    memory: f64,
    snapshot: f64,
    apply: Duration,
    /// Time to write a snapshot, the greater part of a digest.
    write: Duration,
}

fn main() {
    let base = decision(&mut fixture::node("127.0.2.1:6081".parse().expect("an address")));
    println!("slopes.decision_ns {} ns", base.as_nanos());
    let full = cost(FULL);
    let per_address = |f: fn(&Cost) -> f64, few: &Cost| {
        (f(&full) - f(few)) / f64::from(FULL.addresses - FEW_ADDRESSES.addresses)
    };
    let per_server = |f: fn(&Cost) -> f64, few: &Cost| {
        (f(&full) - f(few)) / f64::from(FULL.servers - FEW_SERVERS.servers)
    };
    let few = cost(FEW_ADDRESSES);
    println!("slopes.memory_per_address {:.0} B", per_address(|cost| cost.memory, &few));
    println!("slopes.snapshot_per_address {:.0} B", per_address(|cost| cost.snapshot, &few));
    let few = cost(FEW_SERVERS);
    println!("slopes.memory_per_server {:.0} B", per_server(|cost| cost.memory, &few));
    println!("slopes.snapshot_per_server {:.0} B", per_server(|cost| cost.snapshot, &few));
    println!("slopes.memory_full {:.1} MB", full.memory / 1e6);
    println!("slopes.snapshot_full {:.1} MB", full.snapshot / 1e6);
    println!("slopes.snapshot_write {} us", full.write.as_micros());
    println!("slopes.apply_full {} us", full.apply.as_micros());
    println!(
        "slopes.apply_to_decision {:.0} decisions",
        full.apply.as_secs_f64() / base.as_secs_f64()
    );
    for (name, command) in [("apply", apply(0)), ("server", server(0, FULL))] {
        let len = postcard::to_stdvec(&command).expect("a command can be written").len();
        println!("slopes.entry_{name} {len} B");
    }
}

fn decision(node: &mut EntryNode) -> Duration {
    let caller: SocketAddr = "127.0.3.1:40000".parse().expect("an address");
    let service = fixture::SERVICE.parse().expect("an address");
    let bytes = packet::encapsulate(&tcp_packet(caller, service, false, &[0; 64]));
    let mut out = Vec::with_capacity(1);
    let start = Instant::now();
    for _ in 0..DECISIONS {
        node.handle_packet(Time::ZERO, &bytes, &mut out);
        black_box(&out);
        out.clear();
    }
    start.elapsed() / DECISIONS
}

/// Returns what the state of `size` costs: memory, snapshot and one more entry.
fn cost(size: Size) -> Cost {
    let mut state = State::new();
    let info = allocation_counter::measure(|| {
        for n in 0..size.addresses {
            state.apply(&apply(n));
        }
        for n in 0..size.servers {
            state.apply(&server(n, size));
        }
    });
    let start = Instant::now();
    let snapshot = postcard::to_stdvec(&state).expect("a state can be written").len() as f64;
    let write = start.elapsed();
    let start = Instant::now();
    for n in 0..ROUNDS {
        let mut announce = announce(n, size);
        announce.boot = 2;
        black_box(state.apply(&Command::Server(announce)));
    }
    let apply = start.elapsed() / ROUNDS;
    Cost { memory: info.bytes_current as f64, snapshot, apply, write }
}

fn apply(n: u32) -> Command {
    let spec = ServiceSpec {
        address: Ipv4Addr::from(0x7f10_0000 + n).into(),
        port: 80,
        protocol: Protocol::Tcp,
        mode: Mode::Flow,
        ..toml::from_str("address = \"127.0.0.1\"\nport = 80\nprotocol = \"tcp\"")
            .expect("a service")
    };
    let branch = Branch { services: [(service(n), spec)].into() };
    Command::Apply { team: format!("team-{n}").into(), base: 0, branch }
}

fn server(n: u32, size: Size) -> Command {
    Command::Server(announce(n, size))
}

fn announce(n: u32, size: Size) -> Announce {
    let host = Ipv4Addr::from(0x7f20_0000 + n);
    Announce {
        server: format!("server-{n}").into(),
        service: service(n % size.addresses),
        zone: format!("zone-{}", n % 27).into(),
        packets: SocketAddr::new(host.into(), 6081),
        requests: SocketAddr::new(host.into(), 5683),
        boot: 1,
        slots: 2,
        connections: 2_000,
        draining: false,
    }
}

fn service(n: u32) -> galenatrail::Name {
    format!("service-{n}").into()
}
