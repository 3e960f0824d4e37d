//! An entry VM that has just started drops packets until its configuration is complete.

use galenatrail::{
    Branch, Command, Counter, Entries, EntryEvent, EntryNode, Member, State, Time, packet,
    standin::tcp_packet,
};

fn member() -> Member {
    Member {
        name: "plovdiv-1".into(),
        zone: "plovdiv".into(),
        packets: "127.0.1.1:6081".parse().unwrap(),
        peers: "127.0.1.1:7946".parse().unwrap(),
        incarnation: 2,
        ready: false,
    }
}

#[test]
fn packets_are_dropped_while_the_log_is_incomplete() {
    let mut node = EntryNode::with_leases(member(), Vec::new(), State::new());
    let branch: Branch =
        toml::from_str("[services.hub]\naddress = \"127.0.9.1\"\nport = 80\nprotocol = \"tcp\"")
            .unwrap();
    // With only the first server of the log known, every bucket would belong to that server.
    let server = galenatrail::Announce {
        server: "hub-8".into(),
        service: "hub".into(),
        zone: "plovdiv".into(),
        packets: "127.0.2.8:6081".parse().unwrap(),
        requests: "127.0.2.8:5683".parse().unwrap(),
        boot: 1,
        slots: 2,
        connections: 2_000,
        draining: false,
    };
    let commands =
        vec![Command::Apply { team: "filtrex".into(), base: 0, branch }, Command::Server(server)];
    let mut out = Vec::new();
    node.handle(Time::ZERO, EntryEvent::Entries(Entries::new(1, commands)), &mut out);
    out.clear();
    let caller = "127.0.3.1:40000".parse().unwrap();
    let service = "127.0.9.1:80".parse().unwrap();
    let bytes = packet::encapsulate(&tcp_packet(caller, service, false, b"job"));
    node.handle_packet(Time::from_millis(1), &bytes, &mut out);
    assert_eq!(out, []);
    assert_eq!(node.counters().get(Counter::PacketsEarly), 1);
}
