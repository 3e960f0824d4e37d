//! Messages and files that VMs of different builds exchange, as bytes that the build 6159854 wrote.
//!
//! While VMs are upgraded one after the other, both builds read what the other one writes. Postcard
//! has no field names: a field that is added or moved is read as another one.

use std::{collections::BTreeMap, fmt::Debug, fs, net::SocketAddr, sync::Arc, time::Duration};

use galenatrail::{
    ControlLocation, FeedCache, FeedMessage, ForwardingPlan, Gossip, LoadReporter, LoadTable,
    ReportedLoad, ServerRecord, ServerState, Time,
};
use serde::{Serialize, de::DeserializeOwned};

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{announcement, at, plan};

fn stored(name: &str) -> Vec<u8> {
    let path = format!("{}/tests/stored_forms/{name}.hex", env!("CARGO_MANIFEST_DIR"));
    let text = fs::read_to_string(&path).unwrap_or_else(|err| panic!("{path}: {err}"));
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

/// Checks that this build reads what the former one wrote, and writes what that one reads.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, message: T) {
    let bytes = stored(name);
    let (read, rest) = postcard::take_from_bytes::<T>(&bytes).unwrap();
    assert_eq!(read, message, "{name}");
    assert!(rest.is_empty(), "{name}: {} bytes are left", rest.len());
    assert_eq!(postcard::to_stdvec(&message).unwrap(), bytes, "{name}");
}

fn location(host: u8, zone: &str) -> ControlLocation {
    ControlLocation { addr: SocketAddr::from(([10, 1, 0, host], 7_720)), zone: zone.into() }
}

fn records() -> Vec<ServerRecord> {
    let mut ready = announcement(0x0011_2233_4455, "a");
    ready.warmup_left = Duration::from_millis(1_500);
    let mut draining = announcement(2, "b");
    (draining.draining, draining.sequence, draining.slots) = (true, 300, 7);
    let gone = ServerRecord { state: ServerState::Gone, ..ServerRecord::new(announcement(3, "a")) };
    let silent = ServerRecord { silent: true, ..ServerRecord::new(announcement(4, "b")) };
    vec![ServerRecord::new(ready), ServerRecord::new(draining), gone, silent]
}

fn full_plan() -> Arc<ForwardingPlan> {
    plan(70_000, &["a", "b"])
}

fn feed_messages() -> BTreeMap<&'static str, FeedMessage> {
    let control_vms = vec![location(4, "a"), location(5, "")];
    let heartbeat = FeedMessage::Heartbeat {
        index: 70_000,
        confirmed: true,
        registry_age: Duration::from_millis(2_345),
        control_vms: control_vms.clone(),
    };
    let messages = [
        ("feed_heartbeat", heartbeat),
        ("feed_plan", FeedMessage::Plan(full_plan())),
        ("feed_servers", FeedMessage::Servers { all: true, records: records() }),
        ("feed_control_vms", FeedMessage::ControlVms(control_vms)),
        ("feed_zone_sent", FeedMessage::ZoneSent),
        ("feed_changes_only", FeedMessage::ChangesOnly),
        ("feed_load", FeedMessage::Load(vec![1, 2, 3])),
    ];
    messages.into()
}

fn gossip() -> Gossip {
    Gossip {
        from: location(4, "a"),
        request_all: true,
        registry_age: Some(Duration::from_secs(9)),
        records: records(),
        refreshed: vec![(2, 300), (0x0011_2233_4455, 1)],
    }
}

fn cache() -> FeedCache {
    let entry_vms = vec![SocketAddr::from(([10, 1, 0, 9], 7_721))];
    FeedCache { plan: Some(full_plan()), records: records(), entry_vms }
}

fn report() -> Vec<u8> {
    let loads = [(1, 3, 2), (2, 1, 2), (0x3344_5566, 16, 7)];
    let load = |(cookie, requests, slots)| ReportedLoad { cookie, requests, slots };
    let mut reporter = LoadReporter::new();
    reporter.update(at(1_000), loads.map(load).into_iter());
    reporter.take(at(1_100)).unwrap()
}

/// Guards against feeds that an entry VM of the other build reads wrongly, or not at all.
#[test]
fn feed_messages_keep_their_form() {
    for (name, message) in feed_messages() {
        check(name, message);
    }
}

/// Guards against control VMs of two builds that do not understand each other's gossip.
#[test]
fn gossip_keeps_its_form() {
    check("gossip", gossip());
}

/// Guards against a control VM that starts without what the other build has left on its disk.
#[test]
fn the_cache_of_the_feed_keeps_its_form() {
    check("feed_cache", cache());
}

/// Guards against load reports of one build that the other one drops or misreads.
#[test]
fn load_reports_keep_their_form() {
    assert_eq!(report(), stored("load_report"));
    let mut table = LoadTable::new();
    assert!(table.record_report(Time::ZERO, &"vm".into(), &"a".into(), &stored("load_report")));
}
