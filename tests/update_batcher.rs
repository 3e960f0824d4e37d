//! Updates of backend servers for entry VMs: what is sent at once and what is batched.

use galenatrail::{ServerRecord, ServerState, UpdateBatcher};

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{announcement, at};

fn record(id: u64) -> ServerRecord {
    ServerRecord::new(announcement(id, "a"))
}

#[test]
fn changes_are_sent_in_one_batch() {
    let mut batcher = UpdateBatcher::new();
    for id in 1..=50 {
        assert_eq!(batcher.push(at(id), vec![record(id)]), None);
    }
    assert_eq!(batcher.take_due(at(100)), None);
    let batch = batcher.take_due(at(101)).unwrap();
    assert_eq!(batch.len(), 50);
    assert_eq!(batcher.take_due(at(500)), None, "each change is sent once");
}

#[test]
fn a_batch_holds_the_newest_record_of_a_server() {
    let mut batcher = UpdateBatcher::new();
    let mut later = record(1);
    later.announcement.sequence = 2;
    batcher.push(at(0), vec![record(1)]);
    batcher.push(at(10), vec![later.clone()]);
    assert_eq!(batcher.take_due(at(100)), Some(vec![later]));
}

#[test]
fn a_server_that_accepts_no_new_flows_flushes_the_batch() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut batcher = UpdateBatcher::new();
        let mut ending = record(2);
        ending.state = state;
        assert_eq!(batcher.push(at(0), vec![record(1)]), None);
        assert_eq!(batcher.push(at(1), vec![ending.clone()]), Some(vec![record(1), ending]));
        assert_eq!(batcher.take_due(at(200)), None);
    }
}

#[test]
fn an_empty_batch_is_not_sent() {
    let mut batcher = UpdateBatcher::new();
    assert_eq!(batcher.push(at(0), Vec::new()), None);
    assert_eq!(batcher.take_due(at(1_000)), None);
}
