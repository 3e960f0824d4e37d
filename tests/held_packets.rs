//! Packets that reach an entry VM before it knows a plan and the backend servers.

use std::{collections::BTreeSet, sync::Arc};

use galenatrail::{
    Announcement, FeedMessage, FlowVerdict, Forwarder, HeldPackets, PacketInfo, ResetReason,
    ServerRecord, Time, server_cookie,
};

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{
    PERIOD, announcement, at, control_addr, expect_forward, following, forwarder, opening, plan,
};

fn heartbeat() -> FeedMessage {
    FeedMessage::Heartbeat {
        index: 1,
        confirmed: false,
        registry_age: PERIOD,
        control_vms: Vec::new(),
    }
}

fn records(servers: &[Announcement]) -> FeedMessage {
    let records = servers.iter().cloned().map(ServerRecord::new).collect();
    FeedMessage::Servers { all: false, records }
}

fn repeated(opening: PacketInfo, retransmits: u32) -> PacketInfo {
    PacketInfo { retransmits, ..opening }
}

#[test]
fn openings_wait_until_every_server_is_known() {
    let mut forwarder = Forwarder::new(Time::ZERO, "a".into(), PERIOD);
    let source = control_addr();
    assert!(forwarder.awaits_feed(at(1), &opening(1, 1)));
    forwarder.handle_feed(at(2), source, FeedMessage::Plan(plan(1, &[])));
    forwarder.handle_feed(at(3), source, records(&[announcement(1, "a")]));
    assert!(forwarder.awaits_feed(at(4), &opening(1, 1)), "one server would get every flow");
    forwarder.handle_feed(at(5), source, records(&[announcement(2, "a"), announcement(3, "a")]));
    forwarder.handle_feed(at(6), source, heartbeat());
    let mut reached = BTreeSet::new();
    for port in 1..=30 {
        let packet = opening(port as u8, port);
        assert!(!forwarder.awaits_feed(at(7), &packet));
        reached.insert(expect_forward(forwarder.decide(at(7), &packet, false)).0);
    }
    assert_eq!(reached, [1, 2, 3].into());
}

#[test]
fn servers_of_the_own_availability_zone_suffice() {
    let mut forwarder = Forwarder::new(Time::ZERO, "a".into(), PERIOD);
    let source = control_addr();
    forwarder.handle_feed(at(1), source, FeedMessage::Plan(plan(1, &[])));
    forwarder.handle_feed(at(2), source, records(&[announcement(1, "a"), announcement(2, "a")]));
    assert!(forwarder.awaits_feed(at(3), &opening(1, 1)));
    forwarder.handle_feed(at(4), source, FeedMessage::ZoneSent);
    assert!(!forwarder.awaits_feed(at(5), &opening(1, 1)));
}

#[test]
fn openings_of_an_availability_zone_without_servers_wait_for_the_others() {
    for (out, servers) in [(&[][..], vec![]), (&["a"][..], vec![announcement(1, "a")])] {
        let mut forwarder = Forwarder::new(Time::ZERO, "a".into(), PERIOD);
        let source = control_addr();
        forwarder.handle_feed(at(1), source, FeedMessage::Plan(plan(1, out)));
        forwarder.handle_feed(at(2), source, records(&servers));
        forwarder.handle_feed(at(3), source, FeedMessage::ZoneSent);
        forwarder.handle_feed(at(4), source, records(&[announcement(2, "b")]));
        assert!(forwarder.awaits_feed(at(5), &opening(1, 1)));
        forwarder.handle_feed(at(6), source, heartbeat());
        assert!(!forwarder.awaits_feed(at(7), &opening(1, 1)));
    }
}

#[test]
fn packets_of_open_flows_wait_for_their_server_only() {
    let mut forwarder = Forwarder::new(Time::ZERO, "a".into(), PERIOD);
    let packet = following(opening(1, 1), server_cookie(1));
    assert!(forwarder.awaits_feed(at(1), &packet));
    forwarder.handle_feed(at(2), control_addr(), FeedMessage::Plan(plan(1, &[])));
    assert!(forwarder.awaits_feed(at(3), &packet));
    forwarder.handle_feed(at(4), control_addr(), records(&[announcement(1, "a")]));
    assert!(!forwarder.awaits_feed(at(5), &packet));
    assert_eq!(expect_forward(forwarder.decide(at(5), &packet, false)).0, 1);
}

/// Returns a forwarder whose only control VM does not know the route of the tests, as it has started
/// again itself, and is not confirmed.
fn with_older_plan() -> Forwarder {
    let mut forwarder = Forwarder::new(Time::ZERO, "a".into(), PERIOD);
    let mut older = (*plan(1, &[])).clone();
    Arc::make_mut(&mut older.config).routes.clear();
    forwarder.handle_feed(at(1), control_addr(), FeedMessage::Plan(Arc::new(older)));
    forwarder.handle_feed(at(2), control_addr(), records(&[announcement(1, "a")]));
    forwarder.handle_feed(at(3), control_addr(), heartbeat());
    forwarder
}

/// Guards against a reset of an open flow whose route is newer than the first plan that a VM gets.
#[test]
fn packets_of_an_unknown_route_wait_for_a_newer_plan() {
    for packet in [opening(1, 1), following(opening(1, 1), server_cookie(1))] {
        let mut forwarder = with_older_plan();
        assert!(forwarder.awaits_feed(at(4), &packet), "{packet:?}");
        forwarder.handle_feed(at(5), control_addr(), FeedMessage::Plan(plan(2, &[])));
        assert!(!forwarder.awaits_feed(at(6), &packet), "{packet:?}");
        assert_eq!(expect_forward(forwarder.decide(at(6), &packet, false)).0, 1);
    }
}

#[test]
fn packets_of_an_unknown_route_do_not_wait_for_a_confirmed_plan() {
    let mut forwarder = with_older_plan();
    let confirmed = match heartbeat() {
        FeedMessage::Heartbeat { index, registry_age, control_vms, .. } => {
            FeedMessage::Heartbeat { index, confirmed: true, registry_age, control_vms }
        }
        other => other,
    };
    forwarder.handle_feed(at(5), control_addr(), confirmed);
    for packet in [opening(1, 1), following(opening(1, 1), server_cookie(1))] {
        assert!(!forwarder.awaits_feed(at(6), &packet), "{packet:?}");
        let verdict = forwarder.decide(at(6), &packet, false);
        assert_eq!(verdict, FlowVerdict::Reset(ResetReason::NoRoute));
    }
}

#[test]
fn nothing_waits_long_after_the_start() {
    let forwarder = forwarder(&[]);
    assert!(forwarder.awaits_feed(at(4_999), &opening(1, 1)));
    assert!(!forwarder.awaits_feed(at(5_000), &opening(1, 1)));
    assert!(!forwarder.awaits_feed(at(5_000), &following(opening(1, 1), 7)));
}

#[test]
fn a_control_vm_that_knows_no_server_does_not_end_the_wait() {
    let mut forwarder = Forwarder::new(Time::ZERO, "a".into(), PERIOD);
    forwarder.handle_feed(at(1), control_addr(), FeedMessage::Plan(plan(1, &[])));
    forwarder.handle_feed(at(2), control_addr(), heartbeat());
    assert!(forwarder.awaits_feed(at(3), &opening(1, 1)));
}

#[test]
fn packets_wait_no_longer_than_until_their_caller_sends_again() {
    for (packet, patience) in [
        (opening(1, 1), 200),
        (repeated(opening(1, 1), 1), 400),
        (repeated(opening(1, 1), 2), 800),
        (following(opening(1, 1), 7), 1_600),
    ] {
        let mut held = HeldPackets::new();
        held.push(at(10), packet, b"packet");
        assert_eq!(held.next_expiry(), Some(at(10 + patience)));
        assert!(held.take(at(9 + patience), |_| false).is_empty());
        assert_eq!(held.take(at(10 + patience), |_| false).len(), 1);
        assert!(held.is_empty());
    }
}

#[test]
fn a_copy_of_a_packet_replaces_it() {
    let mut held = HeldPackets::new();
    let packet = PacketInfo { sequence: 1_000, ..following(opening(1, 1), 7) };
    held.push(at(0), packet, b"request");
    held.push(at(1), packet, b"");
    held.push(at(200), packet, b"request");
    assert_eq!(held.len(), 2, "an acknowledgement without data is no copy");
    assert_eq!(held.take(at(1_601), |_| false).len(), 1);
    assert_eq!(held.next_expiry(), Some(at(1_800)));
}

#[test]
fn a_repeated_opening_replaces_its_earlier_copy() {
    let mut held = HeldPackets::new();
    held.push(at(0), opening(1, 1), b"first");
    held.push(at(0), opening(1, 2), b"other flow");
    held.push(at(199), repeated(opening(1, 1), 1), b"again");
    let taken = held.take(at(199), |_| true);
    let bytes: Vec<_> = taken.iter().map(|packet| &*packet.bytes).collect();
    assert_eq!(bytes, [&b"other flow"[..], b"again"]);
}

#[test]
fn openings_leave_first_and_others_in_order() {
    let mut held = HeldPackets::new();
    let later = following(opening(1, 1), 7);
    held.push(at(0), later, b"1");
    held.push(at(1), PacketInfo { sequence: 1, ..later }, b"2");
    held.push(at(2), opening(1, 2), b"3");
    held.push(at(3), opening(1, 3), b"4");
    let taken = held.take(at(4), |_| true);
    let bytes: Vec<_> = taken.iter().map(|packet| &*packet.bytes).collect();
    assert_eq!(bytes, [b"3", b"4", b"1", b"2"]);
}

#[test]
fn a_full_queue_gives_up_its_oldest_packet() {
    let mut held = HeldPackets::new();
    for port in 0..256 {
        assert_eq!(held.push(at(port), opening(1, port as u16), b"packet"), None);
    }
    let oldest = held.push(at(256), opening(1, 256), b"packet").unwrap();
    assert_eq!(oldest.info, opening(1, 0));
    assert_eq!(held.len(), 256);
}
