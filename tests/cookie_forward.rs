//! Forwarding by cookie: which server each packet reaches, on any entry VM.

use std::{collections::BTreeMap, time::Duration};

use galenatrail::{
    Announcement, DropReason, FeedMessage, FlowVerdict, Forwarder, ResetReason, ServerRecord,
    ServerState, Time, server_cookie,
};

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{PERIOD, announced, at, following, forwarder, learn, opening, plan, sent, source};

#[test]
fn any_vm_sends_a_flow_on_by_its_cookie() {
    let servers = [announced(1, "a"), announced(2, "a"), announced(3, "b")];
    let (mut first, mut second) = (forwarder(&servers), forwarder(&servers));
    for port in 1..200 {
        let head = opening(1, port);
        let (id, cookie) = sent(first.decide(at(10), &head, false));
        let later = following(head, cookie);
        assert_eq!(sent(second.decide(at(20), &later, false)), (id, cookie));
        assert_eq!(sent(first.decide(at(30), &later, false)), (id, cookie));
    }
}

#[test]
fn flows_stay_in_their_availability_zone_and_spread_over_its_servers() {
    let servers = [announced(1, "a"), announced(2, "a"), announced(3, "b")];
    let mut forwarder = forwarder(&servers);
    let mut flows = BTreeMap::new();
    for port in 1..=100 {
        let head = opening(port as u8, port);
        let (id, cookie) = sent(forwarder.decide(at(10), &head, false));
        forwarder.decide(at(11), &following(head, cookie), false);
        *flows.entry(id).or_insert(0) += 1;
    }
    assert_eq!(flows, [(1, 50), (2, 50)].into());
}

#[test]
fn draining_silent_and_cold_servers_keep_their_flows_and_take_no_new_ones() {
    let mut forwarder = forwarder(&[announced(1, "a")]);
    let head = opening(1, 1);
    let (_, cookie) = sent(forwarder.decide(at(10), &head, false));
    let mut draining = announced(1, "a");
    draining.draining = true;
    draining.sequence = 2;
    let mut cold = announced(2, "a");
    cold.warmup_left = Duration::from_secs(2);
    learn(&mut forwarder, at(20), vec![draining, cold, announced(3, "b")]);
    assert_eq!(sent(forwarder.decide(at(30), &following(head, cookie), false)).0, 1);
    assert_eq!(sent(forwarder.decide(at(40), &opening(1, 2), false)).0, 3);
    let mut silent = ServerRecord::new(announced(3, "b"));
    silent.silent = true;
    let message = FeedMessage::Servers { all: false, records: vec![silent] };
    forwarder.handle_feed(at(50), source(), message);
    let refused = FlowVerdict::Reset(ResetReason::NoServer);
    assert_eq!(forwarder.decide(at(60), &opening(1, 3), false), refused);
    assert_eq!(sent(forwarder.decide(at(2_100), &opening(1, 4), false)).0, 2);
}

/// Tells that nothing is heard of servers any more.
fn silence(forwarder: &mut Forwarder, now: Time, servers: &[Announcement]) {
    let mut records: Vec<_> = servers.iter().cloned().map(ServerRecord::new).collect();
    records.iter_mut().for_each(|record| record.silent = true);
    forwarder.handle_feed(now, source(), FeedMessage::Servers { all: false, records });
}

#[test]
fn servers_that_are_all_silent_at_once_are_asked_rather_than_none() {
    let mut draining = announced(3, "a");
    draining.draining = true;
    let servers = [announced(1, "a"), announced(2, "b"), draining];
    let mut forwarder = forwarder(&servers);
    silence(&mut forwarder, at(10), &servers);
    for port in 1..100 {
        let head = opening(port as u8, port);
        let (id, cookie) = sent(forwarder.decide(at(20), &head, false));
        assert_eq!(id, 1);
        forwarder.decide(at(21), &following(head, cookie), false);
    }
    forwarder.handle_feed(at(30), source(), FeedMessage::Plan(plan(2, &["a"])));
    assert_eq!(sent(forwarder.decide(at(40), &opening(1, 200), false)).0, 2);
    learn(&mut forwarder, at(50), vec![Announcement { incarnation: 2_000, ..announced(4, "b") }]);
    assert_eq!(sent(forwarder.decide(at(60), &opening(1, 201), false)).0, 4);
}

#[test]
fn silent_servers_that_do_not_answer_are_not_asked_for_long() {
    let servers = [announced(1, "a"), announced(2, "b")];
    let mut forwarder = forwarder(&servers);
    silence(&mut forwarder, at(10), &servers);
    let verdicts = (0..100).map(|step| {
        let now = at(20 + u64::from(step) * 20);
        forwarder.decide(now, &opening(step as u8, 1_000 + step), false)
    });
    let refused = FlowVerdict::Reset(ResetReason::NoServer);
    let asked = verdicts.filter(|verdict| *verdict != refused).count();
    assert!((1..=20).contains(&asked), "{asked} openings had to wait for an answer");
}

#[test]
fn late_news_of_a_server_changes_nothing() {
    let mut forwarder = forwarder(&[]);
    let mut draining = announced(1, "a");
    draining.draining = true;
    draining.sequence = 5;
    learn(&mut forwarder, at(10), vec![draining]);
    learn(&mut forwarder, at(20), vec![announced(1, "a")]);
    let refused = FlowVerdict::Reset(ResetReason::NoServer);
    assert_eq!(forwarder.decide(at(30), &opening(1, 1), false), refused);
    let mut reborn = announced(1, "a");
    reborn.incarnation = 2_000;
    learn(&mut forwarder, at(40), vec![reborn]);
    assert_eq!(sent(forwarder.decide(at(50), &opening(1, 2), false)).0, 1);
}

#[test]
fn a_flow_of_a_server_that_has_left_is_reset() {
    let mut forwarder = forwarder(&[announced(1, "a")]);
    let head = opening(1, 1);
    let (_, cookie) = sent(forwarder.decide(at(10), &head, false));
    let mut record = ServerRecord::new(announced(1, "a"));
    record.state = ServerState::Gone;
    let message = FeedMessage::Servers { all: false, records: vec![record] };
    forwarder.handle_feed(at(20), source(), message);
    let reset = FlowVerdict::Reset(ResetReason::ServerGone);
    assert_eq!(forwarder.decide(at(30), &following(head, cookie), false), reset);
}

#[test]
fn an_unknown_cookie_reaches_no_server() {
    let mut forwarder = forwarder(&[announced(1, "a")]);
    let unknown = forwarder.decide(at(10), &following(opening(1, 1), server_cookie(9)), false);
    assert_eq!(unknown, FlowVerdict::Drop(DropReason::Unknown));
    let none = forwarder.decide(at(10), &following(opening(1, 1), 0), false);
    assert_eq!(none, FlowVerdict::Drop(DropReason::NoCookie));
}

#[test]
fn a_cookie_that_a_second_answer_brought_does_not_move_an_open_flow() {
    let mut forwarder = forwarder(&[announced(1, "a"), announced(2, "a")]);
    let head = opening(1, 1);
    let (id, cookie) = sent(forwarder.decide(at(10), &head, false));
    forwarder.decide(at(20), &following(head, cookie), false);
    let other = server_cookie(3 - id);
    assert_eq!(sent(forwarder.decide(at(30), &following(head, other), false)), (id, cookie));
}

#[test]
fn a_repeated_opening_goes_to_the_same_server() {
    let mut forwarder = forwarder(&[announced(1, "a"), announced(2, "a")]);
    for port in 1..100 {
        let head = opening(port as u8, port);
        let (id, _) = sent(forwarder.decide(at(10), &head, false));
        let mut again = head;
        again.retransmits = 1;
        assert_eq!(sent(forwarder.decide(at(15), &again, false)).0, id);
    }
}

#[test]
fn an_opening_that_stays_unanswered_is_repeated_elsewhere() {
    let mut forwarder = forwarder(&[announced(1, "a"), announced(2, "b")]);
    let head = opening(1, 1);
    assert_eq!(sent(forwarder.decide(at(10), &head, false)).0, 1);
    let mut again = head;
    again.retransmits = 1;
    assert_eq!(sent(forwarder.decide(at(210), &again, false)).0, 2);
    // An answer of the first that comes late after all is not taken for one of the second.
    assert_eq!(sent(forwarder.decide(at(220), &following(head, server_cookie(1)), false)).0, 1);
    assert_eq!(sent(forwarder.decide(at(230), &following(head, server_cookie(2)), false)).0, 1);
}

#[test]
fn the_only_server_is_asked_again() {
    let mut forwarder = forwarder(&[announced(1, "a")]);
    let mut head = opening(1, 1);
    for (retransmits, millis) in [(0, 10), (1, 210), (2, 610)] {
        head.retransmits = retransmits;
        assert_eq!(sent(forwarder.decide(at(millis), &head, false)).0, 1);
    }
}

#[test]
fn a_server_that_refuses_openings_is_left_alone_before_it_falls_silent() {
    let mut forwarder = forwarder(&[announced(1, "a"), announced(2, "b")]);
    // The server has crashed: each caller is reset by its machine and comes again at once.
    let mut reached = BTreeMap::new();
    for step in 0..100 {
        let head = opening(step as u8, 1_000 + step);
        let now = at(10 + u64::from(step) * 20);
        let (id, cookie) = sent(forwarder.decide(now, &head, false));
        if id == 2 {
            forwarder.decide(now, &following(head, cookie), false);
        }
        *reached.entry(id).or_insert(0) += 1;
    }
    assert!(reached[&1] <= 10, "{reached:?}");
}

#[test]
fn a_caller_that_comes_again_at_once_is_sent_elsewhere() {
    let mut forwarder = forwarder(&[announced(1, "a"), announced(2, "b")]);
    assert_eq!(sent(forwarder.decide(at(10), &opening(1, 1), false)).0, 1);
    assert_eq!(sent(forwarder.decide(at(20), &opening(1, 2), false)).0, 2);
}

#[test]
fn an_availability_zone_that_is_out_gets_no_flows_and_counts_as_cold_when_it_is_back() {
    let mut forwarder = forwarder(&[announced(1, "a"), announced(2, "b")]);
    forwarder.handle_feed(at(10), source(), FeedMessage::Plan(plan(2, &["a"])));
    assert_eq!(sent(forwarder.decide(at(20), &opening(1, 1), false)).0, 2);
    forwarder.handle_feed(at(30), source(), FeedMessage::Plan(plan(3, &[])));
    let warm = 30 + (PERIOD + Duration::from_secs(2)).as_millis() as u64;
    assert_eq!(sent(forwarder.decide(at(warm - 1), &opening(2, 1), false)).0, 2);
    assert_eq!(sent(forwarder.decide(at(warm), &opening(3, 1), false)).0, 1);
}

#[test]
fn an_older_plan_changes_nothing() {
    let mut forwarder = forwarder(&[announced(1, "a")]);
    forwarder.handle_feed(at(10), source(), FeedMessage::Plan(plan(3, &["a"])));
    forwarder.handle_feed(at(20), source(), FeedMessage::Plan(plan(2, &[])));
    assert_eq!(forwarder.plan().index, 3);
}

#[test]
fn openings_that_waited_while_the_vm_stood_still_are_dropped() {
    let mut forwarder = forwarder(&[announced(1, "a")]);
    let stale = forwarder.decide(at(10), &opening(1, 1), true);
    assert_eq!(stale, FlowVerdict::Drop(DropReason::Stale));
}

#[test]
fn a_vm_that_has_just_started_leaves_callers_to_repeat_themselves() {
    let mut forwarder = Forwarder::new(Time::ZERO, "a".into(), PERIOD);
    let early = FlowVerdict::Drop(DropReason::Early);
    assert_eq!(forwarder.decide(at(10), &opening(1, 1), false), early);
    forwarder.handle_feed(at(20), source(), FeedMessage::Plan(plan(1, &[])));
    assert_eq!(forwarder.decide(at(30), &opening(1, 1), false), early);
    let refused = FlowVerdict::Reset(ResetReason::NoServer);
    assert_eq!(forwarder.decide(at(6_000), &opening(1, 1), false), refused);
}

#[test]
fn two_servers_with_one_cookie_are_told_apart() {
    // The low 32 bits are the tag where an id fits them; a longer id is hashed to one.
    let long = (1_u64 << 40..).find(|id| server_cookie(*id) < u32::MAX).unwrap();
    let short = u64::from(server_cookie(long));
    let mut twin = announced(short, "a");
    twin.addr.set_port(9_090);
    twin.incarnation = 2_000;
    let mut forwarder = forwarder(&[twin, announced(long, "a")]);
    for port in 1..50 {
        let (id, _) = sent(forwarder.decide(at(10), &opening(port as u8, port), false));
        assert_eq!(id, long, "the server that started first has the cookie");
    }
}
