//! Packets per core of the entry daemon beside a plain UDP relay, and the cost of one decision.
//!
//! Both run the same way: one thread, one socket in, one datagram out for each that came in. The
//! figure is packets by processor time of that thread, so an idle wait does not count.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket as StdSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use galenatrail::{
    Announcement, EntryAction, EntrySettings, ForwardSettings, PacketForm, PacketInfo,
    RegistrarSettings, Route, RoutingConfig, Settings, Share, Time, Warmup, packet, run_entry,
    server_cookie,
    standin::{loopback, tcp_packet},
    start_forwarder, start_registrar,
};
use tokio::{net::UdpSocket, sync::oneshot};

#[path = "measures/fixture.rs"]
mod fixture;

const PACKETS: u64 = 400_000;
const WINDOW: u64 = 64;
const DECISIONS: u32 = 2_000_000;
const ROUNDS: u32 = 3;
const STALL: Duration = Duration::from_millis(20);

fn main() {
    decision();
    let (mut relay, mut entry, mut cookie) = (0.0_f64, 0.0_f64, 0.0_f64);
    for _ in 0..ROUNDS {
        relay = relay.max(rate(loopback(40, 6081), run_relay));
        entry = entry.max(rate(loopback(41, 6081), run_daemon));
        cookie = cookie.max(rate(loopback(44, 6081), run_cookie));
    }
    println!("speed.relay_packets_per_core {relay:.0}");
    println!("speed.entry_packets_per_core {entry:.0}");
    println!("speed.entry_to_relay {:.3} target 0.7", entry / relay);
    println!("speed.cookie_packets_per_core {cookie:.0}");
    println!("speed.cookie_to_relay {:.3} target 0.7", cookie / relay);
}

fn decision() {
    let mut node = fixture::node(loopback(50, 6081));
    let bytes = bytes();
    let mut out = Vec::<EntryAction>::with_capacity(1);
    let start = Instant::now();
    for _ in 0..DECISIONS {
        node.packet(Time::ZERO, &bytes, &mut out);
        out.clear();
    }
    let each = start.elapsed() / DECISIONS;
    println!("speed.decision_ns {} target 1000", each.as_nanos());
}

fn bytes() -> Vec<u8> {
    let caller: SocketAddr = "127.0.3.1:40000".parse().expect("an address");
    let service = fixture::SERVICE.parse().expect("an address");
    packet::encapsulate(&tcp_packet(caller, service, false, &[0; 64]))
}

/// Sends packets to what `run` serves on `addr`, a window at a time, and returns the packets that
/// came out by processor second of the serving thread.
fn rate(addr: SocketAddr, run: fn(SocketAddr, oneshot::Receiver<()>)) -> f64 {
    let sink = StdSocket::bind(loopback(50, 6081)).expect("the sink's address is free");
    sink.set_read_timeout(Some(STALL)).expect("a timeout can be set");
    let (stop, stopped) = oneshot::channel();
    let busy = Arc::new(AtomicU64::new(0));
    let ready = Arc::new(AtomicBool::new(false));
    let serving = thread::spawn({
        let (busy, ready) = (busy.clone(), ready.clone());
        move || {
            ready.store(true, Ordering::Release);
            let start = processor_ns();
            run(addr, stopped);
            busy.store(processor_ns() - start, Ordering::Release);
        }
    });
    while !ready.load(Ordering::Acquire) {
        thread::yield_now();
    }
    let received = pump(addr, &sink);
    _ = stop.send(());
    serving.join().expect("the serving thread ends");
    received as f64 / (busy.load(Ordering::Acquire) as f64 / 1e9)
}

fn pump(addr: SocketAddr, sink: &StdSocket) -> u64 {
    let source = StdSocket::bind(loopback(3, 0)).expect("a port is free");
    let (bytes, mut buf) = (bytes(), [0; 2048]);
    let (mut sent, mut received) = (0, 0);
    while sent < PACKETS {
        for _ in 0..WINDOW {
            sent += u64::from(source.send_to(&bytes, addr).is_ok());
        }
        let mut left = WINDOW;
        while left > 0 && sink.recv(&mut buf).is_ok() {
            received += 1;
            left -= 1;
        }
    }
    received
}

/// Returns the processor time of this thread, in nanoseconds.
fn processor_ns() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split(' ').next().and_then(|field| field.parse().ok()).unwrap_or(0)
}

fn on_this_thread(task: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime starts").block_on(task);
}

fn run_relay(addr: SocketAddr, mut stop: oneshot::Receiver<()>) {
    on_this_thread(async {
        let socket = UdpSocket::bind(addr).await.expect("the relay's address is free");
        let mut buf = vec![0; 65_536];
        loop {
            tokio::select! {
                _ = &mut stop => return,
                ready = socket.readable() => ready.expect("the socket is open"),
            }
            while let Ok((len, _)) = socket.try_recv_from(&mut buf) {
                _ = socket.try_send_to(&buf[..len], loopback(50, 6081));
            }
        }
    });
}

fn run_daemon(addr: SocketAddr, stop: oneshot::Receiver<()>) {
    on_this_thread(async {
        let control = fixture::control(loopback(42, 8500), loopback(50, 6081)).await;
        let text = format!(
            "name = \"entry-1\"\nzone = \"sofia-a\"\npackets = \"{addr}\"\npeers = \"{}\"\n\
             requests = \"{}\"\nfabric = \"{}\"\ncontrol = [\"{}\"]\n",
            loopback(41, 7946),
            loopback(41, 5683),
            loopback(2, 6081),
            loopback(42, 8500)
        );
        let settings = Settings::<EntrySettings>::parse(&text).and_then(Settings::check);
        let served = run_entry(settings.expect("the settings are whole"), async {
            _ = stop.await;
        });
        served.await.expect("the daemon serves");
        drop(control);
    });
}

/// Number of the server of the cookie path.
const SERVER: u64 = 7;
/// Address of the route of the cookie path.
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// Time between two announcements; the run is shorter.
const PERIOD: Duration = Duration::from_secs(60);

/// Takes every packet for one of a flow that is open at [`SERVER`].
struct OpenFlow;

impl PacketForm for OpenFlow {
    fn read(&self, _: &[u8]) -> Option<PacketInfo> {
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_001);
        let (opens, closes, retransmits) = (false, false, 0);
        Some(PacketInfo {
            caller,
            route: ROUTE,
            opens,
            retransmits,
            closes,
            cookie: server_cookie(SERVER),
        })
    }

    fn forward(&self, packet: &[u8], id: u64, cookie: u32, out: &mut Vec<u8>) {
        out.extend(id.to_be_bytes());
        out.extend(cookie.to_be_bytes());
        out.extend(packet);
    }

    fn reset(&self, _: &[u8], _: &mut Vec<u8>) {}
}

fn run_cookie(addr: SocketAddr, stop: oneshot::Receiver<()>) {
    on_this_thread(async {
        let data = std::env::temp_dir().join(format!("galenatrail-speed-{}", std::process::id()));
        // There is none from an earlier round of another process, mostly.
        _ = fs::remove_dir_all(&data);
        let listen = loopback(45, 7720);
        let registrar = start_registrar(RegistrarSettings {
            name: listen.to_string().into(),
            zone: "a".into(),
            listen,
            data: data.clone(),
            seeds: vec![listen],
            first: true,
            voters: 1,
            period: PERIOD,
            metrics: None,
        });
        let registrar = registrar.await.expect("the control VM starts");
        let SocketAddr::V4(server) = loopback(50, 6081) else { return };
        let announced = Announcement {
            id: SERVER,
            service: "hub".into(),
            addr: server,
            zone: "a".into(),
            draining: false,
            warmup_left: Duration::ZERO,
            incarnation: 1,
            sequence: 1,
        };
        registrar.announce(announced).await.expect("the server is known");
        while registrar.replace(whole()).await.is_err() {
            tokio::time::sleep(STALL).await;
        }
        let settings = ForwardSettings {
            name: "entry-1".into(),
            zone: "a".into(),
            packets: addr,
            seeds: vec![listen],
            period: PERIOD,
            metrics: None,
        };
        let forwarder = start_forwarder(settings, OpenFlow).await.expect("the entry VM starts");
        _ = stop.await;
        drop((forwarder, registrar));
        _ = fs::remove_dir_all(&data);
    });
}

fn whole() -> RoutingConfig {
    let share = Share { service: "hub".into(), weight: 1 };
    let timeout = Duration::from_secs(1);
    let route = Route { addr: *ROUTE.ip(), port: ROUTE.port(), timeout, shares: vec![share] };
    let warmup = Warmup { time: Duration::ZERO, rate: 0 };
    let services = [("hub".into(), warmup)].into();
    RoutingConfig { number: 1, idle: PERIOD, routes: vec![route], services, source: Arc::default() }
}
