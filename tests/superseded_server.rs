//! Flows of a server whose address another server has taken over.

use galenatrail::{
    Announcement, FeedMessage, FlowReset, FlowVerdict, Forwarder, PacketInfo, ResetReason,
    ServerRecord, ServerRegistry, ServerState, Time,
};

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{
    PERIOD, announce, announcement, at, control_addr, expect_forward, following, forwarder, opening,
};

/// Returns a server that started later than `earlier` at its address.
fn successor(id: u64, earlier: &Announcement) -> Announcement {
    Announcement { id, service: "desk".into(), incarnation: 9_000, ..earlier.clone() }
}

/// Opens a flow and returns a packet of it that acknowledges `acknowledged` bytes.
fn open_flow(forwarder: &mut Forwarder, now: Time, port: u16, acknowledged: u32) -> PacketInfo {
    let first = opening(1, port);
    let (_, cookie) = expect_forward(forwarder.decide(now, &first, false));
    let packet = PacketInfo { acknowledged, ..following(first, cookie) };
    expect_forward(forwarder.decide(now, &packet, false));
    packet
}

#[test]
fn an_idle_flow_is_reset_once_its_server_is_superseded() {
    let server = announcement(1, "a");
    let mut forwarder = forwarder(std::slice::from_ref(&server));
    let packet = open_flow(&mut forwarder, at(10), 1, 77);
    assert_eq!(forwarder.take_resets(), []);
    announce(&mut forwarder, at(3_000), vec![successor(2, &server)]);
    let reset = FlowReset { caller: packet.caller, route: packet.route, sequence: 77 };
    assert_eq!(forwarder.take_resets(), [reset]);
    assert_eq!(forwarder.take_resets(), [], "each flow is reset once");
}

#[test]
fn the_end_may_become_known_before_the_successor() {
    let server = announcement(1, "a");
    let mut forwarder = forwarder(std::slice::from_ref(&server));
    open_flow(&mut forwarder, at(10), 1, 77);
    let mut ended = ServerRecord::new(Announcement { sequence: 2, ..server.clone() });
    ended.state = ServerState::Gone;
    let message = FeedMessage::Servers { all: false, records: vec![ended] };
    forwarder.handle_feed(at(20), control_addr(), message);
    assert_eq!(forwarder.take_resets(), [], "a server that has left may still be at work");
    announce(&mut forwarder, at(30), vec![successor(2, &server)]);
    assert_eq!(forwarder.take_resets().len(), 1);
}

#[test]
fn flows_of_other_servers_and_ended_flows_are_left_alone() {
    let servers = [announcement(1, "a"), announcement(2, "b")];
    let mut forwarder = forwarder(&servers[1..]);
    let other = open_flow(&mut forwarder, at(10), 1, 5);
    announce(&mut forwarder, at(20), servers.to_vec());
    let ended = open_flow(&mut forwarder, at(30), 2, 6);
    forwarder.decide(at(40), &PacketInfo { closes: true, ..ended }, false);
    expect_forward(forwarder.decide(at(40), &opening(1, 3), false));
    announce(&mut forwarder, at(50), vec![successor(3, &servers[0])]);
    assert_eq!(forwarder.take_resets(), [], "one flow is closed and one not yet open");
    assert_eq!(expect_forward(forwarder.decide(at(60), &other, false)).0, 2);
}

#[test]
fn silent_draining_and_restarted_servers_keep_their_flows() {
    let server = announcement(1, "a");
    for record in [
        ServerRecord { silent: true, ..ServerRecord::new(server.clone()) },
        ServerRecord::new(Announcement { draining: true, sequence: 2, ..server.clone() }),
        ServerRecord::new(Announcement { incarnation: 9_000, ..server.clone() }),
        ServerRecord::new(Announcement { incarnation: 500, ..successor(2, &server) }),
    ] {
        let mut forwarder = forwarder(std::slice::from_ref(&server));
        open_flow(&mut forwarder, at(10), 1, 77);
        let message = FeedMessage::Servers { all: false, records: vec![record.clone()] };
        forwarder.handle_feed(at(20), control_addr(), message);
        assert_eq!(forwarder.take_resets(), [], "{record:?}");
    }
}

#[test]
fn a_late_packet_of_a_flow_is_reset_by_any_vm() {
    let server = announcement(1, "a");
    let mut first = forwarder(std::slice::from_ref(&server));
    let mut second = forwarder(std::slice::from_ref(&server));
    let packet = open_flow(&mut first, at(10), 1, 77);
    let mut registry = ServerRegistry::new(Time::ZERO, PERIOD);
    registry.announce(at(10), server.clone());
    registry.announce(at(3_000), successor(2, &server));
    let records = registry.records().cloned().collect();
    second.handle_feed(at(3_010), control_addr(), FeedMessage::Servers { all: false, records });
    let verdict = second.decide(at(3_020), &packet, false);
    assert_eq!(verdict, FlowVerdict::Reset(ResetReason::ServerGone));
}

#[test]
fn the_registry_ends_a_server_with_the_announcement_of_its_successor() {
    let server = announcement(1, "a");
    let mut registry = ServerRegistry::new(Time::ZERO, PERIOD);
    registry.announce(at(10), server.clone());
    assert_eq!(registry.take_superseded(), []);
    registry.announce(at(3_000), successor(2, &server));
    let ended = registry.take_superseded();
    assert_eq!(ended.len(), 1);
    assert_eq!((ended[0].announcement.id, ended[0].state), (1, ServerState::Gone));
    assert_eq!(registry.take_superseded(), []);
    assert_eq!(registry.get(2).unwrap().state, ServerState::Ready);
}

/// Guards against a server that is taken for gone since its address of an earlier start is used again.
#[test]
fn a_server_that_moved_outlives_the_next_one_at_its_former_address() {
    let former = announcement(1, "a");
    let moved =
        Announcement { incarnation: 2_000, addr: announcement(7, "a").addr, ..former.clone() };
    let mut registry = ServerRegistry::new(Time::ZERO, PERIOD);
    let mut forwarder = forwarder(std::slice::from_ref(&former));
    registry.announce(at(0), former.clone());
    registry.announce(at(10), moved.clone());
    announce(&mut forwarder, at(10), vec![moved]);
    let packet = open_flow(&mut forwarder, at(20), 1, 77);
    registry.announce(at(3_000), successor(2, &former));
    announce(&mut forwarder, at(3_000), vec![successor(2, &former)]);
    assert_eq!(registry.take_superseded(), []);
    assert_eq!(registry.tick(at(3_010)), []);
    assert_eq!(registry.get(1).unwrap().state, ServerState::Ready);
    assert_eq!(forwarder.take_resets(), []);
    assert_eq!(expect_forward(forwarder.decide(at(3_020), &packet, false)).0, 1);
}

/// Guards against servers that exchange their addresses when they start again, in any order in which
/// their announcements arrive.
#[test]
fn servers_may_exchange_their_addresses() {
    let (first, second) = (announcement(1, "a"), announcement(2, "a"));
    let again = [
        Announcement { incarnation: 3_000, addr: second.addr, ..first.clone() },
        Announcement { incarnation: 4_000, addr: first.addr, ..second.clone() },
    ];
    for order in [[0, 1], [1, 0]] {
        let mut registry = ServerRegistry::new(Time::ZERO, PERIOD);
        let mut forwarder = forwarder(&[first.clone(), second.clone()]);
        registry.announce(at(0), first.clone());
        registry.announce(at(0), second.clone());
        for place in order {
            registry.announce(at(100), again[place].clone());
            announce(&mut forwarder, at(100), vec![again[place].clone()]);
        }
        registry.tick(at(200));
        assert!(registry.records().all(|record| record.state == ServerState::Ready), "{order:?}");
        let mut used: Vec<_> = (1..30)
            .map(|port| expect_forward(forwarder.decide(at(200), &opening(1, port), false)).0)
            .collect();
        used.sort_unstable();
        used.dedup();
        assert_eq!(used, [1, 2], "{order:?}");
    }
}
