//! Packets at one entry node: which are forwarded, and which are dropped and counted for what
//! reason.

use std::net::SocketAddr;

use etherparse::{IpFragOffset, IpNumber, Ipv4Header, Ipv6Header, PacketBuilder};
use galenatrail::{
    Announce, Branch, Command, Counter, Entries, EntryAction, EntryEvent, EntryNode, Member, Time,
    packet,
    standin::{tcp_packet, udp_packet},
};
use proptest::{
    collection::vec,
    prelude::any,
    test_runner::{Config, TestRunner},
};

const V4_SERVICE: &str = "127.0.9.1:80";
const V6_SERVICE: &str = "[fd00::9]:80";

fn addr(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn node() -> EntryNode {
    let mut node = EntryNode::new(Member {
        name: "sofia-a-1".into(),
        zone: "sofia-a".into(),
        packets: addr("127.0.1.1:6081"),
        peers: addr("127.0.1.1:7946"),
        incarnation: 1,
        ready: true,
    });
    let branch: Branch = toml::from_str(
        "[services.hub]\naddress = \"127.0.9.1\"\nport = 80\nprotocol = \"tcp\"\n\
         [services.hub-6]\naddress = \"fd00::9\"\nport = 80\nprotocol = \"tcp\"\n\
         [services.empty]\naddress = \"127.0.9.2\"\nport = 80\nprotocol = \"udp\"\n",
    )
    .unwrap();
    let mut commands = vec![Command::Apply { team: "filtrex".into(), base: 0, branch }];
    for (service, hosts) in [("hub", 1..=4u8), ("hub-6", 5..=8)] {
        commands.extend(hosts.map(|host| {
            Command::Server(Announce {
                server: format!("server-{host}").into(),
                service: service.into(),
                zone: "sofia-a".into(),
                packets: SocketAddr::new([127, 0, 2, host].into(), 6081),
                requests: SocketAddr::new([127, 0, 2, host].into(), 5683),
                boot: 1,
                slots: 2,
                connections: 2_000,
                draining: false,
            })
        }));
    }
    let entries = EntryEvent::Entries(Entries::new(1, commands));
    node.handle(Time::ZERO, entries, &mut Vec::new());
    node
}

/// Passes `bytes` to `node`; returns the forwarding address and the incremented counters.
fn route(node: &mut EntryNode, bytes: &[u8]) -> (Option<SocketAddr>, Vec<Counter>) {
    let before = node.counters().clone();
    let mut out = Vec::new();
    node.handle_packet(Time::ZERO, bytes, &mut out);
    let incremented = node.counters().iter().filter(|&(counter, n)| n > before.get(counter));
    let incremented = incremented.map(|(counter, _)| counter).collect();
    let to = out.first().map(|action| match action {
        EntryAction::Forward { to } => *to,
        action => panic!("{action:?}"),
    });
    (to, incremented)
}

fn encapsulate(inner: &[u8]) -> Vec<u8> {
    packet::encapsulate(inner)
}

fn v6_packet(caller: SocketAddr, service: SocketAddr) -> Vec<u8> {
    let (SocketAddr::V6(caller), SocketAddr::V6(service)) = (caller, service) else {
        panic!("ipv6 addresses");
    };
    let step = PacketBuilder::ipv6(caller.ip().octets(), service.ip().octets(), 64);
    let step = step.tcp(caller.port(), service.port(), 1, 65_535);
    let mut buf = Vec::new();
    step.write(&mut buf, b"job").unwrap();
    buf
}

#[test]
fn both_families() {
    let mut node = node();
    let v4 = tcp_packet(addr("127.0.3.1:40000"), addr(V4_SERVICE), false, b"job");
    let (to, incremented) = route(&mut node, &encapsulate(&v4));
    assert!(matches!(to, Some(SocketAddr::V4(to)) if (1..=4).contains(&to.ip().octets()[3])));
    assert_eq!(incremented, [Counter::PacketsForwarded]);
    let v6 = v6_packet(addr("[fd00::1]:40000"), addr(V6_SERVICE));
    let (to, incremented) = route(&mut node, &encapsulate(&v6));
    assert!(matches!(to, Some(SocketAddr::V4(to)) if (5..=8).contains(&to.ip().octets()[3])));
    assert_eq!(incremented, [Counter::PacketsForwarded]);
}

#[test]
fn no_default_service() {
    let mut node = node();
    let caller = addr("127.0.3.1:40000");
    for service in ["127.0.9.1:81", "127.0.9.3:80", "127.0.9.2:81"] {
        let packet = tcp_packet(caller, addr(service), true, b"");
        assert_eq!(route(&mut node, &encapsulate(&packet)), (None, vec![Counter::PacketsUnknown]));
    }
    let other_protocol = udp_packet(caller, addr(V4_SERVICE), b"job");
    let dropped = route(&mut node, &encapsulate(&other_protocol));
    assert_eq!(dropped, (None, vec![Counter::PacketsUnknown]));
    let unserved = udp_packet(caller, addr("127.0.9.2:80"), b"job");
    assert_eq!(route(&mut node, &encapsulate(&unserved)), (None, vec![Counter::PacketsUnserved]));
}

#[test]
fn cut_packets() {
    let mut node = node();
    let valid = encapsulate(&tcp_packet(addr("127.0.3.1:40000"), addr(V4_SERVICE), true, b"job"));
    for len in 0..valid.len() {
        let dropped = route(&mut node, &valid[..len]);
        assert_eq!(dropped, (None, vec![Counter::PacketsMalformed]), "{len} bytes");
    }
}

#[test]
fn bad_headers() {
    let mut node = node();
    let valid = encapsulate(&tcp_packet(addr("127.0.3.1:40000"), addr(V4_SERVICE), true, b"job"));
    let version = 0x40;
    let critical = 0x40;
    let faults = [(0, version), (1, critical), (2, 0x12), (8, 0xf0), (17, 0x55)];
    for (pos, flip) in faults {
        let mut bytes = valid.clone();
        bytes[pos] ^= flip;
        let dropped = route(&mut node, &bytes);
        assert_eq!(dropped, (None, vec![Counter::PacketsMalformed]), "byte {pos}");
    }
}

#[test]
fn fragments() {
    let mut node = node();
    let mut ip = Ipv4Header::new(16, 64, IpNumber::TCP, [127, 0, 3, 1], [127, 0, 9, 1]).unwrap();
    ip.more_fragments = true;
    ip.fragment_offset = IpFragOffset::ZERO;
    let mut bytes = Vec::new();
    ip.write(&mut bytes).unwrap();
    bytes.extend([0; 16]);
    assert_eq!(route(&mut node, &encapsulate(&bytes)), (None, vec![Counter::PacketsFragmented]));
}

#[test]
fn too_big() {
    let mut node = node();
    let (caller, service) = (addr("127.0.3.1:40000"), addr(V4_SERVICE));
    let flow = route(&mut node, &encapsulate(&tcp_packet(caller, service, false, b"job"))).0;
    // The quoted answer from the service to the caller, truncated after its ports.
    let answer = tcp_packet(service, caller, false, b"filter list");
    let report = |service: [u8; 4]| {
        let step = PacketBuilder::ipv4([127, 0, 7, 7], service, 64).icmpv4_raw(3, 4, [0; 4]);
        let mut bytes = Vec::new();
        step.write(&mut bytes, &answer[..28]).unwrap();
        bytes
    };
    let (to, _) = route(&mut node, &encapsulate(&report([127, 0, 9, 1])));
    assert!(to.is_some());
    assert_eq!(to, flow);
    let forged = route(&mut node, &encapsulate(&report([127, 0, 9, 2])));
    assert_eq!(forged, (None, vec![Counter::PacketsMalformed]));
}

#[test]
fn too_big_v6() {
    let mut node = node();
    let (caller, service) = (addr("[fd00::1]:40000"), addr(V6_SERVICE));
    let flow = route(&mut node, &encapsulate(&v6_packet(caller, service))).0;
    let answer = v6_packet(service, caller);
    let mut icmp = vec![2, 0, 0, 0, 0, 0, 5, 0];
    icmp.extend(&answer[..44]);
    let ip = Ipv6Header {
        payload_length: icmp.len() as u16,
        next_header: IpNumber::IPV6_ICMP,
        hop_limit: 64,
        source: "fd00::7".parse::<std::net::Ipv6Addr>().unwrap().octets(),
        destination: "fd00::9".parse::<std::net::Ipv6Addr>().unwrap().octets(),
        ..Ipv6Header::default()
    };
    let mut bytes = Vec::new();
    ip.write(&mut bytes).unwrap();
    bytes.extend(icmp);
    let (to, _) = route(&mut node, &encapsulate(&bytes));
    assert!(to.is_some());
    assert_eq!(to, flow);
}

#[test]
fn any_bytes() {
    let config = Config { cases: 4_096, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let mut node = node();
    let valid = encapsulate(&tcp_packet(addr("127.0.3.1:40000"), addr(V4_SERVICE), true, b"job"));
    let node = std::cell::RefCell::new(&mut node);
    runner
        .run(&(vec(any::<u8>(), 0..96), 0..valid.len()), |(noise, keep)| {
            // Noise after a valid prefix reaches more of the parser than noise alone.
            let mut bytes = valid[..keep].to_vec();
            bytes.extend(&noise);
            let (to, incremented) = route(&mut node.borrow_mut(), &bytes);
            assert_eq!(incremented.len(), 1, "each packet increments one counter");
            if let Some(to) = to {
                assert!(matches!(
                    to.ip().to_string().as_str(),
                    "127.0.2.1" | "127.0.2.2" | "127.0.2.3" | "127.0.2.4"
                ));
            }
            Ok(())
        })
        .unwrap();
}
