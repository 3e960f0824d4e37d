//! Announcements of other writers, which name no server to use: they change nothing for the servers
//! that live.

use std::{collections::BTreeSet, time::Duration};

use galenatrail::{
    Announcement, FeedMessage, FlowVerdict, LeaveOutcome, Name, ServerRecord, ServerRegistry,
    ServerState, Time, UpdateOutcome,
};

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{PERIOD, announcement, at, control_addr, forwarder, opening, plan};

fn services(names: &[&str]) -> BTreeSet<Name> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Returns a registry of a VM whose configuration names the service hub.
fn registry() -> ServerRegistry {
    ServerRegistry::new(Time::ZERO, PERIOD).with_services(services(&["hub"]))
}

/// Returns an announcement, for a service that is not named, with the address of server 1.
fn unnamed(id: u64) -> Announcement {
    let addr = announcement(1, "a").addr;
    Announcement { service: "other".into(), addr, incarnation: 9_000, ..announcement(id, "a") }
}

/// Guards against flows that are reset because a heartbeat for a service without a configuration
/// gives the address of their server.
#[test]
fn an_unnamed_service_does_not_end_the_server_at_its_address() {
    let (mut first, mut second) = (registry(), registry());
    for registry in [&mut first, &mut second] {
        registry.announce(at(10), announcement(1, "a"));
    }
    assert_eq!(first.announce(at(20), unnamed(2)), UpdateOutcome::Unnamed);
    assert_eq!(second.merge(at(30), ServerRecord::new(unnamed(2))), UpdateOutcome::Unnamed);
    for registry in [&mut first, &mut second] {
        assert_eq!(registry.take_superseded(), []);
        assert_eq!(registry.tick(at(40)), []);
        assert_eq!(registry.get(1).unwrap().state, ServerState::Ready);
        assert_eq!(registry.records().count(), 1, "entry VMs do not learn of it");
    }
    first.take_pending();
    let next = Announcement { sequence: 2, ..announcement(1, "a") };
    assert_eq!(first.announce(at(1_200), next), UpdateOutcome::Unchanged, "it lives");
}

/// Guards against a server that is lost because a heartbeat for a service without a configuration
/// has its id.
#[test]
fn an_unnamed_service_does_not_replace_the_server_with_its_id() {
    let mut registry = registry();
    let draining = Announcement { draining: true, sequence: 3, ..announcement(1, "a") };
    registry.announce(at(10), draining);
    assert_eq!(registry.announce(at(20), unnamed(1)), UpdateOutcome::Unnamed);
    let held = registry.get(1).unwrap();
    assert_eq!((&*held.announcement.service, held.state), ("hub", ServerState::Draining));
    let next = Announcement { draining: true, sequence: 4, ..announcement(1, "a") };
    assert_eq!(registry.announce(at(1_200), next), UpdateOutcome::Unchanged);
}

/// Guards against servers that are not used although a later configuration names their service.
#[test]
fn servers_are_registered_once_their_service_is_named() {
    let mut registry = registry();
    registry.announce(at(10), announcement(1, "a"));
    registry.announce(at(1_000), unnamed(2));
    let draining = Announcement { draining: true, sequence: 2, ..unnamed(3) };
    registry.announce(at(1_000), Announcement { addr: announcement(3, "a").addr, ..draining });
    registry.take_pending();
    let named = registry.set_services(at(2_000), services(&["hub", "other"]));
    let states: Vec<_> =
        named.iter().map(|record| (record.announcement.id, record.state)).collect();
    assert_eq!(states, [(2, ServerState::Ready), (3, ServerState::Draining)]);
    // From now on, its address is that of a server to use.
    assert_eq!(registry.take_superseded().len(), 1);
    assert_eq!(registry.get(1).unwrap().state, ServerState::Gone);
    assert_eq!(registry.take_pending().0.len(), 2, "other control VMs are told");
    assert_eq!(registry.set_services(at(2_000), services(&["hub", "other"])), []);
}

/// Guards against a VM that ends or forgets servers while it does not know the configuration.
#[test]
fn without_a_configuration_all_servers_wait_for_one() {
    let mut registry = ServerRegistry::new(Time::ZERO, PERIOD).with_services(BTreeSet::new());
    assert_eq!(registry.announce(at(10), announcement(1, "a")), UpdateOutcome::Unnamed);
    assert_eq!(registry.announce(at(20), unnamed(2)), UpdateOutcome::Unnamed);
    let gone = ServerRecord { state: ServerState::Gone, ..ServerRecord::new(announcement(4, "a")) };
    assert_eq!(registry.merge(at(20), gone), UpdateOutcome::Unnamed);
    let named = registry.set_services(at(2_000), services(&["hub"]));
    let states: Vec<_> =
        named.iter().map(|record| (record.announcement.id, record.state)).collect();
    assert_eq!(states, [(1, ServerState::Ready), (4, ServerState::Gone)]);
    assert_eq!(registry.take_superseded(), []);
    let pending = registry.take_pending().0;
    let ids: Vec<_> = pending.iter().map(|record| record.announcement.id).collect();
    assert_eq!(ids, [2, 1], "only its own announcements are passed on");
}

/// Guards against saved servers, or those of a service that is no longer named, that are lost.
#[test]
fn registered_servers_stay_registered() {
    let cached = vec![ServerRecord::new(announcement(1, "a"))];
    let mut registry =
        ServerRegistry::new(Time::ZERO, PERIOD).with_services(BTreeSet::new()).with_cached(cached);
    let next = Announcement { sequence: 2, draining: true, ..announcement(1, "a") };
    assert_eq!(registry.announce(at(10), next), UpdateOutcome::Changed);
    registry.set_services(at(2_000), services(&["desk"]));
    let next = Announcement { sequence: 3, draining: true, ..announcement(1, "a") };
    assert_eq!(registry.announce(at(30), next), UpdateOutcome::Unchanged);
    assert_eq!(registry.get(1).unwrap().state, ServerState::Draining);
}

/// Guards against a server that leaves before its service is named, and is used afterwards.
#[test]
fn an_unnamed_server_that_leaves_is_gone_once_it_is_named() {
    let mut registry = registry();
    registry.announce(at(10), Announcement { draining: true, ..unnamed(2) });
    let LeaveOutcome::Ended(left) = registry.leave(at(20), 2) else {
        panic!("other VMs may know its service");
    };
    assert_eq!(left.state, ServerState::Gone);
    assert_eq!(
        registry.announce(at(30), Announcement { sequence: 2, draining: true, ..unnamed(2) }),
        UpdateOutcome::Outdated
    );
    registry.set_services(at(2_000), services(&["hub", "other"]));
    assert_eq!(registry.get(2).unwrap().state, ServerState::Gone);
}

/// Guards against announcements of invented servers that fill the memory or stay for ever.
#[test]
fn unnamed_servers_are_bounded_and_forgotten() {
    let mut registry = registry();
    registry.announce(at(0), unnamed(2));
    registry.tick(at(119_000));
    assert_eq!(registry.unnamed(), 1);
    registry.tick(at(120_000));
    assert_eq!(registry.unnamed(), 0);
    for id in 0..80_000 {
        registry.announce(at(120_000) + Duration::from_millis(1), unnamed(id + 2));
    }
    assert!(registry.unnamed() <= 70_000, "{}", registry.unnamed());
}

/// Guards against a server that is not registered because announcements of invented servers have used
/// up the room.
#[test]
fn invented_servers_do_not_keep_a_named_one_out() {
    let mut registry = registry();
    for id in 0..80_000 {
        let zone = format!("zone-{id}").as_str().into();
        registry.announce(at(10), Announcement { zone, ..unnamed(id + 2) });
    }
    assert_eq!(registry.announce(at(20), announcement(1, "a")), UpdateOutcome::Changed);
    let gossip = registry.take_pending().0;
    assert!(gossip.len() < usize::from(u16::MAX), "{} names for one batch", gossip.len());
}

/// Guards against an announcement with an invented number of slots that ends the entry VMs which
/// read it, or stops them from selecting other servers.
#[test]
fn an_excessive_number_of_slots_is_refused_and_does_no_harm() {
    for slots in [0, 16_385, u32::MAX] {
        assert!(Announcement { slots, ..announcement(1, "a") }.check().is_err(), "{slots} slots");
    }
    assert!(Announcement { slots: 16_384, ..announcement(1, "a") }.check().is_ok());
    // A control VM of an earlier build may still send it.
    let servers = [1, 2, 3].map(|id| {
        let slots = if id < 3 { u32::MAX } else { 2 };
        Announcement { slots, ..announcement(id, "a") }
    });
    let mut forwarder = forwarder(&servers);
    let mut used = BTreeSet::new();
    for port in 1..100 {
        let now = at(10 * u64::from(port));
        match forwarder.decide(now, &opening(1, port), false) {
            FlowVerdict::Forward { id, .. } => used.insert(id),
            other => panic!("not forwarded: {other:?}"),
        };
        forwarder.tick(now);
    }
    forwarder.handle_feed(at(1_000), control_addr(), FeedMessage::Plan(plan(2, &["b"])));
    assert!(used.contains(&3), "{used:?}");
}

/// Guards against a server that a VM without a configuration forgets, as after the loss of its disk,
/// because a heartbeat for a service without a configuration has its id.
#[test]
fn an_unnamed_service_does_not_hide_the_server_with_its_id() {
    for order in [[announcement(1, "a"), unnamed(1)], [unnamed(1), announcement(1, "a")]] {
        let mut registry = ServerRegistry::new(Time::ZERO, PERIOD).with_services(BTreeSet::new());
        for announcement in order.clone() {
            assert_eq!(registry.announce(at(10), announcement), UpdateOutcome::Unnamed);
        }
        registry.set_services(at(2_000), services(&["hub"]));
        let held = registry.get(1).map(|record| &*record.announcement.service);
        assert_eq!(held, Some("hub"), "{order:?}");
    }
}

/// Guards against servers that only one VM knows when the configuration that names them comes: the
/// others would have nothing to save or to serve until they hear of them.
#[test]
fn unnamed_servers_are_known_to_all_vms_before_they_are_named() {
    let new = || ServerRegistry::new(Time::ZERO, PERIOD).with_services(BTreeSet::new());
    let (mut first, mut second) = (new(), new());
    let warmup_left = Duration::from_millis(1_500);
    first.announce(at(0), Announcement { warmup_left, ..announcement(1, "a") });
    let (records, refreshed) = first.take_pending();
    assert_eq!((records.len(), refreshed.len()), (1, 0));
    first.announce(at(1_200), Announcement { sequence: 2, ..announcement(1, "a") });
    assert_eq!(first.take_pending(), (Vec::new(), Vec::new()), "it has not changed");
    assert_eq!(second.merge(at(1_000), records[0].clone()), UpdateOutcome::Unnamed);
    assert_eq!(second.take_pending(), (Vec::new(), Vec::new()), "gossip is not forwarded");
    assert_eq!(second.all_records().count(), 1);
    let named = second.set_services(at(2_000), services(&["hub"]));
    assert_eq!(named.len(), 1);
    assert_eq!(named[0].announcement.warmup_left, Duration::from_millis(500));
    second.tick(at(2_400));
    assert_eq!(second.tick(at(5_500)), [], "not silent: the first VM hears it");
}
