//! Forwarding by flow cookies: which backend server each packet reaches, on any entry VM.

use std::{collections::BTreeMap, time::Duration};

use galenatrail::{
    Announcement, DropReason, FeedMessage, FlowVerdict, Forwarder, PacketInfo, ResetReason,
    ServerRecord, ServerState, Time, server_cookie,
};

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{
    PERIOD, announce, announcement, at, control_addr, expect_forward, following, forwarder,
    opening, plan,
};

#[test]
fn any_entry_vm_forwards_a_flow_by_its_cookie() {
    let servers = [announcement(1, "a"), announcement(2, "a"), announcement(3, "b")];
    let (mut first, mut second) = (forwarder(&servers), forwarder(&servers));
    for port in 1..200 {
        let packet = opening(1, port);
        let (id, cookie) = expect_forward(first.decide(at(10), &packet, false));
        let later = following(packet, cookie);
        assert_eq!(expect_forward(second.decide(at(20), &later, false)), (id, cookie));
        assert_eq!(expect_forward(first.decide(at(30), &later, false)), (id, cookie));
    }
}

#[test]
fn flows_stay_in_their_availability_zone_and_spread_over_its_servers() {
    let servers = [announcement(1, "a"), announcement(2, "a"), announcement(3, "b")];
    let mut forwarder = forwarder(&servers);
    let mut flows = BTreeMap::new();
    for port in 1..=100 {
        let packet = opening(port as u8, port);
        let (id, cookie) = expect_forward(forwarder.decide(at(10), &packet, false));
        forwarder.decide(at(11), &following(packet, cookie), false);
        *flows.entry(id).or_insert(0) += 1;
    }
    assert_eq!(flows, [(1, 50), (2, 50)].into());
}

#[test]
fn draining_silent_and_cold_servers_keep_their_flows_and_take_no_new_ones() {
    let mut forwarder = forwarder(&[announcement(1, "a")]);
    let packet = opening(1, 1);
    let (_, cookie) = expect_forward(forwarder.decide(at(10), &packet, false));
    let mut draining = announcement(1, "a");
    draining.draining = true;
    draining.sequence = 2;
    let mut cold = announcement(2, "a");
    cold.warmup_left = Duration::from_secs(2);
    announce(&mut forwarder, at(20), vec![draining, cold, announcement(3, "b")]);
    assert_eq!(expect_forward(forwarder.decide(at(30), &following(packet, cookie), false)).0, 1);
    assert_eq!(expect_forward(forwarder.decide(at(40), &opening(1, 2), false)).0, 3);
    let mut silent = ServerRecord::new(announcement(3, "b"));
    silent.silent = true;
    let message = FeedMessage::Servers { all: false, records: vec![silent] };
    forwarder.handle_feed(at(50), control_addr(), message);
    let reset = FlowVerdict::Reset(ResetReason::NoServer);
    assert_eq!(forwarder.decide(at(60), &opening(1, 3), false), reset);
    assert_eq!(expect_forward(forwarder.decide(at(2_100), &opening(1, 4), false)).0, 2);
}

/// Reports `servers` as silent.
fn mark_silent(forwarder: &mut Forwarder, now: Time, servers: &[Announcement]) {
    let mut records: Vec<_> = servers.iter().cloned().map(ServerRecord::new).collect();
    records.iter_mut().for_each(|record| record.silent = true);
    forwarder.handle_feed(now, control_addr(), FeedMessage::Servers { all: false, records });
}

#[test]
fn silent_servers_receive_flows_if_no_other_is_left() {
    let mut draining = announcement(3, "a");
    draining.draining = true;
    let servers = [announcement(1, "a"), announcement(2, "b"), draining];
    let mut forwarder = forwarder(&servers);
    mark_silent(&mut forwarder, at(10), &servers);
    for port in 1..100 {
        let packet = opening(port as u8, port);
        let (id, cookie) = expect_forward(forwarder.decide(at(20), &packet, false));
        assert_eq!(id, 1);
        forwarder.decide(at(21), &following(packet, cookie), false);
    }
    forwarder.handle_feed(at(30), control_addr(), FeedMessage::Plan(plan(2, &["a"])));
    assert_eq!(expect_forward(forwarder.decide(at(40), &opening(1, 200), false)).0, 2);
    announce(
        &mut forwarder,
        at(50),
        vec![Announcement { incarnation: 2_000, ..announcement(4, "b") }],
    );
    assert_eq!(expect_forward(forwarder.decide(at(60), &opening(1, 201), false)).0, 4);
}

#[test]
fn unresponsive_silent_servers_stop_receiving_flows() {
    let servers = [announcement(1, "a"), announcement(2, "b")];
    let mut forwarder = forwarder(&servers);
    mark_silent(&mut forwarder, at(10), &servers);
    let verdicts = (0..100).map(|step| {
        let now = at(20 + u64::from(step) * 20);
        forwarder.decide(now, &opening(step as u8, 1_000 + step), false)
    });
    let reset = FlowVerdict::Reset(ResetReason::NoServer);
    let forwarded = verdicts.filter(|verdict| *verdict != reset).count();
    assert!((1..=20).contains(&forwarded), "{forwarded} openings were forwarded");
}

#[test]
fn outdated_records_are_ignored() {
    let mut forwarder = forwarder(&[]);
    let mut draining = announcement(1, "a");
    draining.draining = true;
    draining.sequence = 5;
    announce(&mut forwarder, at(10), vec![draining]);
    announce(&mut forwarder, at(20), vec![announcement(1, "a")]);
    let reset = FlowVerdict::Reset(ResetReason::NoServer);
    assert_eq!(forwarder.decide(at(30), &opening(1, 1), false), reset);
    let mut restarted = announcement(1, "a");
    restarted.incarnation = 2_000;
    announce(&mut forwarder, at(40), vec![restarted]);
    assert_eq!(expect_forward(forwarder.decide(at(50), &opening(1, 2), false)).0, 1);
}

#[test]
fn a_flow_of_a_server_that_has_left_is_reset() {
    let mut forwarder = forwarder(&[announcement(1, "a")]);
    let packet = opening(1, 1);
    let (_, cookie) = expect_forward(forwarder.decide(at(10), &packet, false));
    let mut record = ServerRecord::new(announcement(1, "a"));
    record.state = ServerState::Gone;
    let message = FeedMessage::Servers { all: false, records: vec![record] };
    forwarder.handle_feed(at(20), control_addr(), message);
    let reset = FlowVerdict::Reset(ResetReason::ServerGone);
    assert_eq!(forwarder.decide(at(30), &following(packet, cookie), false), reset);
}

#[test]
fn packets_without_a_known_cookie_are_dropped() {
    let mut forwarder = forwarder(&[announcement(1, "a")]);
    let unknown = forwarder.decide(at(10), &following(opening(1, 1), server_cookie(9)), false);
    assert_eq!(unknown, FlowVerdict::Drop(DropReason::Unknown));
    let none = forwarder.decide(at(10), &following(opening(1, 1), 0), false);
    assert_eq!(none, FlowVerdict::Drop(DropReason::NoCookie));
}

#[test]
fn a_second_cookie_does_not_move_an_established_flow() {
    let mut forwarder = forwarder(&[announcement(1, "a"), announcement(2, "a")]);
    let packet = opening(1, 1);
    let (id, cookie) = expect_forward(forwarder.decide(at(10), &packet, false));
    forwarder.decide(at(20), &following(packet, cookie), false);
    let other = server_cookie(3 - id);
    assert_eq!(
        expect_forward(forwarder.decide(at(30), &following(packet, other), false)),
        (id, cookie)
    );
}

#[test]
fn a_repeated_opening_goes_to_the_same_server() {
    let mut forwarder = forwarder(&[announcement(1, "a"), announcement(2, "a")]);
    for port in 1..100 {
        let packet = opening(port as u8, port);
        let (id, _) = expect_forward(forwarder.decide(at(10), &packet, false));
        let mut again = packet;
        again.retransmits = 1;
        assert_eq!(expect_forward(forwarder.decide(at(15), &again, false)).0, id);
    }
}

#[test]
fn an_unanswered_opening_is_retried_at_another_server() {
    let mut forwarder = forwarder(&[announcement(1, "a"), announcement(2, "b")]);
    let packet = opening(1, 1);
    assert_eq!(expect_forward(forwarder.decide(at(10), &packet, false)).0, 1);
    let mut again = packet;
    again.retransmits = 1;
    assert_eq!(expect_forward(forwarder.decide(at(210), &again, false)).0, 2);
    // A late answer of the first server establishes the flow there; the second one's is ignored.
    assert_eq!(
        expect_forward(forwarder.decide(at(220), &following(packet, server_cookie(1)), false)).0,
        1
    );
    assert_eq!(
        expect_forward(forwarder.decide(at(230), &following(packet, server_cookie(2)), false)).0,
        1
    );
}

#[test]
fn an_unanswered_opening_is_retried_at_the_only_server() {
    let mut forwarder = forwarder(&[announcement(1, "a")]);
    let mut packet = opening(1, 1);
    for (retransmits, millis) in [(0, 10), (1, 210), (2, 610)] {
        packet.retransmits = retransmits;
        assert_eq!(expect_forward(forwarder.decide(at(millis), &packet, false)).0, 1);
    }
}

#[test]
fn a_crashed_server_is_avoided_before_it_becomes_silent() {
    let mut forwarder = forwarder(&[announcement(1, "a"), announcement(2, "b")]);
    // Server 1 has crashed: its machine resets each caller, which retries at once.
    let mut reached = BTreeMap::new();
    for step in 0..100 {
        let packet = opening(step as u8, 1_000 + step);
        let now = at(10 + u64::from(step) * 20);
        let (id, cookie) = expect_forward(forwarder.decide(now, &packet, false));
        if id == 2 {
            forwarder.decide(now, &following(packet, cookie), false);
        }
        *reached.entry(id).or_insert(0) += 1;
    }
    assert!(reached[&1] <= 10, "{reached:?}");
}

#[test]
fn a_caller_that_retries_at_once_reaches_another_server() {
    let mut forwarder = forwarder(&[announcement(1, "a"), announcement(2, "b")]);
    assert_eq!(expect_forward(forwarder.decide(at(10), &opening(1, 1), false)).0, 1);
    assert_eq!(expect_forward(forwarder.decide(at(20), &opening(1, 2), false)).0, 2);
}

#[test]
fn an_availability_zone_taken_out_gets_no_flows_and_is_cold_on_return() {
    let mut forwarder = forwarder(&[announcement(1, "a"), announcement(2, "b")]);
    forwarder.handle_feed(at(10), control_addr(), FeedMessage::Plan(plan(2, &["a"])));
    assert_eq!(expect_forward(forwarder.decide(at(20), &opening(1, 1), false)).0, 2);
    forwarder.handle_feed(at(30), control_addr(), FeedMessage::Plan(plan(3, &[])));
    let warm = 30 + (PERIOD + Duration::from_secs(2)).as_millis() as u64;
    assert_eq!(expect_forward(forwarder.decide(at(warm - 1), &opening(2, 1), false)).0, 2);
    assert_eq!(expect_forward(forwarder.decide(at(warm), &opening(3, 1), false)).0, 1);
}

#[test]
fn an_older_plan_is_ignored() {
    let mut forwarder = forwarder(&[announcement(1, "a")]);
    forwarder.handle_feed(at(10), control_addr(), FeedMessage::Plan(plan(3, &["a"])));
    forwarder.handle_feed(at(20), control_addr(), FeedMessage::Plan(plan(2, &[])));
    assert_eq!(forwarder.plan().index, 3);
}

#[test]
fn openings_that_waited_during_a_suspension_are_dropped() {
    let mut forwarder = forwarder(&[announcement(1, "a")]);
    let stale = forwarder.decide(at(10), &opening(1, 1), true);
    assert_eq!(stale, FlowVerdict::Drop(DropReason::Stale));
}

#[test]
fn openings_are_dropped_while_a_started_vm_knows_no_servers() {
    let mut forwarder = Forwarder::new(Time::ZERO, "a".into(), PERIOD);
    let early = FlowVerdict::Drop(DropReason::Early);
    assert_eq!(forwarder.decide(at(10), &opening(1, 1), false), early);
    forwarder.handle_feed(at(20), control_addr(), FeedMessage::Plan(plan(1, &[])));
    assert_eq!(forwarder.decide(at(30), &opening(1, 1), false), early);
    let reset = FlowVerdict::Reset(ResetReason::NoServer);
    assert_eq!(forwarder.decide(at(6_000), &opening(1, 1), false), reset);
}

#[test]
fn a_shared_cookie_belongs_to_the_server_that_started_first() {
    // An id that fits 32 bits is its own cookie; a longer one is hashed to 32 bits.
    let long = (1_u64 << 40..).find(|id| server_cookie(*id) < u32::MAX).unwrap();
    let short = u64::from(server_cookie(long));
    let mut twin = announcement(short, "a");
    twin.addr.set_port(9_090);
    twin.incarnation = 2_000;
    let mut forwarder = forwarder(&[twin, announcement(long, "a")]);
    for port in 1..50 {
        let (id, _) = expect_forward(forwarder.decide(at(10), &opening(port as u8, port), false));
        assert_eq!(id, long, "the cookie belongs to the server that started first");
    }
}

/// Returns the opening of a flow that starts at the sequence number `sequence`.
fn opening_at(port: u16, sequence: u32) -> PacketInfo {
    PacketInfo { sequence, ..opening(1, port) }
}

#[test]
fn a_late_packet_of_an_earlier_flow_does_not_take_over_its_port() {
    let mut forwarder = forwarder(&[announcement(1, "a"), announcement(2, "a")]);
    let earlier = opening_at(1, 7_000);
    let (old, old_cookie) = expect_forward(forwarder.decide(at(10), &earlier, false));
    let late = following(earlier, old_cookie);
    expect_forward(forwarder.decide(at(20), &late, false));
    // The next opening takes the other server, which has no flow.
    let next = opening_at(1, 3_000_000_000);
    let (new, new_cookie) = expect_forward(forwarder.decide(at(30), &next, false));
    assert_ne!(old, new, "the test needs two servers");
    assert_eq!(expect_forward(forwarder.decide(at(40), &late, false)).0, old);
    for now in [50, 60] {
        let packet = following(next, new_cookie);
        assert_eq!(expect_forward(forwarder.decide(at(now), &packet, false)).0, new);
    }
}

#[test]
fn a_vm_that_missed_the_end_of_a_flow_does_not_keep_the_next_one_at_its_server() {
    let servers = [announcement(1, "a"), announcement(2, "a")];
    let mut forwarder = forwarder(&servers);
    let earlier = opening_at(1, 7_000);
    let (old, old_cookie) = expect_forward(forwarder.decide(at(10), &earlier, false));
    expect_forward(forwarder.decide(at(20), &following(earlier, old_cookie), false));
    // The flow ends, and the next one of the port opens, at another VM.
    let new = 3 - old;
    let packet = following(opening_at(1, 3_000_000_000), server_cookie(new));
    assert_eq!(expect_forward(forwarder.decide(at(40), &packet, false)).0, new);
    assert_eq!(expect_forward(forwarder.decide(at(50), &packet, false)).0, new);
}

#[test]
fn a_repeated_opening_does_not_follow_an_earlier_flow_of_its_port() {
    let mut forwarder = forwarder(&[announcement(1, "a"), announcement(2, "b")]);
    let earlier = opening_at(1, 7_000);
    let (_, cookie) = expect_forward(forwarder.decide(at(10), &earlier, false));
    expect_forward(forwarder.decide(at(20), &following(earlier, cookie), false));
    forwarder.handle_feed(at(30), control_addr(), FeedMessage::Plan(plan(2, &["a"])));
    let repeated = PacketInfo { retransmits: 1, ..opening_at(1, 3_000_000_000) };
    assert_eq!(expect_forward(forwarder.decide(at(40), &repeated, false)).0, 2);
}

#[test]
fn sequence_numbers_may_wrap_around_within_a_flow() {
    let servers = [announcement(1, "a"), announcement(2, "a")];
    let mut forwarder = forwarder(&servers);
    let packet = opening_at(1, u32::MAX - 100);
    let (id, cookie) = expect_forward(forwarder.decide(at(10), &packet, false));
    expect_forward(forwarder.decide(at(20), &following(packet, cookie), false));
    let wrapped = PacketInfo { sequence: 900, ..following(packet, server_cookie(3 - id)) };
    assert_eq!(expect_forward(forwarder.decide(at(30), &wrapped, false)).0, id);
}
