//! News of backend servers for entry VMs: what is told at once and what is gathered.

use galenatrail::{ServerRecord, ServerState, UpdateBatcher};

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{announced, at};

fn record(id: u64) -> ServerRecord {
    ServerRecord::new(announced(id, "a"))
}

#[test]
fn many_changes_go_in_one_message() {
    let mut news = UpdateBatcher::new();
    for id in 1..=50 {
        assert_eq!(news.push(at(id), vec![record(id)]), None);
    }
    assert_eq!(news.take_due(at(100)), None);
    let told = news.take_due(at(101)).unwrap();
    assert_eq!(told.len(), 50);
    assert_eq!(news.take_due(at(500)), None, "they are told once");
}

#[test]
fn the_newest_record_of_a_server_is_told() {
    let mut news = UpdateBatcher::new();
    let mut later = record(1);
    later.announcement.sequence = 2;
    news.push(at(0), vec![record(1)]);
    news.push(at(10), vec![later.clone()]);
    assert_eq!(news.take_due(at(100)), Some(vec![later]));
}

#[test]
fn a_server_that_takes_no_new_flows_is_told_at_once_with_what_waits() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut news = UpdateBatcher::new();
        let mut ended = record(2);
        ended.state = state;
        assert_eq!(news.push(at(0), vec![record(1)]), None);
        assert_eq!(news.push(at(1), vec![ended.clone()]), Some(vec![record(1), ended]));
        assert_eq!(news.take_due(at(200)), None);
    }
}

#[test]
fn nothing_is_told_where_nothing_changed() {
    let mut news = UpdateBatcher::new();
    assert_eq!(news.push(at(0), Vec::new()), None);
    assert_eq!(news.take_due(at(1_000)), None);
}
