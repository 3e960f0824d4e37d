//! Tests which sealed peer datagrams are accepted and rejected, and the rotation of root keys.

use std::{cell::RefCell, time::Duration};

use galenatrail::{Keys, MemberMessage, PeerMessage, Refusal, Seal};
use proptest::{
    collection::vec,
    prelude::any,
    test_runner::{Config, RngSeed, TestRunner},
};

#[path = "support/vm.rs"]
mod vm;

const OLD: &str = "8a1f0c5d2b7e4936a1c0ffee00112233445566778899aabbccddeeff01234567";
const NEW: &str = "11112222333344445555666677778888999900001111222233334444aaaabbbb";
const INTERVAL: Duration = Duration::from_secs(300);
const START: Duration = Duration::from_secs(1_800_000_000);

fn keys(lines: &[&str]) -> Keys {
    Keys::parse(&lines.join("\n")).unwrap()
}

fn seal(name: &str, incarnation: u64, lines: &[&str]) -> Seal {
    Seal::new(&vm::member(name, incarnation), keys(lines))
}

fn message() -> PeerMessage {
    PeerMessage::Member(MemberMessage::Probe { origin: "a-1".into() })
}

#[test]
fn whole_message() {
    let (mut a, mut b) = (seal("a-1", 1, &[OLD]), seal("a-2", 1, &[OLD]));
    let bytes = a.seal(START, vm::addr("a-2"), &message()).unwrap();
    assert_eq!(b.open(START, &bytes), Ok(("a-1".into(), message())));
}

#[test]
fn wrong_key() {
    let (mut a, mut b) = (seal("a-1", 1, &[NEW]), seal("a-2", 1, &[OLD]));
    let bytes = a.seal(START, vm::addr("a-2"), &message()).unwrap();
    assert_eq!(b.open(START, &bytes), Err(Refusal::Forged));
}

#[test]
fn other_receiver() {
    let (mut a, mut c) = (seal("a-1", 1, &[OLD]), seal("a-3", 1, &[OLD]));
    let bytes = a.seal(START, vm::addr("a-2"), &message()).unwrap();
    assert_eq!(c.open(START, &bytes), Err(Refusal::Forged));
}

#[test]
fn own_datagram() {
    let mut a = seal("a-1", 1, &[OLD]);
    let bytes = a.seal(START, vm::addr("a-2"), &message()).unwrap();
    assert_eq!(a.open(START, &bytes), Err(Refusal::Reflected));
}

#[test]
fn every_bit() {
    let (mut a, mut b) = (seal("a-1", 1, &[OLD]), seal("a-2", 1, &[OLD]));
    let bytes = a.seal(START, vm::addr("a-2"), &message()).unwrap();
    for bit in 0..bytes.len() * 8 {
        let mut changed = bytes.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(b.open(START, &changed).is_err(), "accepted with bit {bit} flipped");
    }
    for len in 0..bytes.len() {
        assert!(b.open(START, &bytes[..len]).is_err(), "accepted after truncation to {len} bytes");
    }
    assert!(
        b.open(START, &bytes).is_ok(),
        "a rejected datagram must not mark its sequence number as received"
    );
}

#[test]
fn replay() {
    let (mut a, mut b) = (seal("a-1", 1, &[OLD]), seal("a-2", 1, &[OLD]));
    let sent: Vec<_> =
        (0..300).map(|_| a.seal(START, vm::addr("a-2"), &message()).unwrap()).collect();
    assert!(b.open(START, &sent[200]).is_ok());
    assert!(b.open(START, &sent[73]).is_ok(), "127 before the highest number is inside the window");
    assert_eq!(b.open(START, &sent[72]), Err(Refusal::Replayed), "128 before it is outside");
    assert_eq!(b.open(START, &sent[73]), Err(Refusal::Replayed));
    assert_eq!(b.open(START, &sent[200]), Err(Refusal::Replayed));
    assert!(b.open(START, &sent[299]).is_ok());
    assert!(b.open(START, &sent[201]).is_ok());
    assert_eq!(b.open(START, &sent[201]), Err(Refusal::Replayed));
}

#[test]
fn earlier_start() {
    let mut b = seal("a-2", 1, &[OLD]);
    let old = seal("a-1", 1, &[OLD]).seal(START, vm::addr("a-2"), &message()).unwrap();
    let new = seal("a-1", 2, &[OLD]).seal(START, vm::addr("a-2"), &message()).unwrap();
    assert!(b.open(START, &new).is_ok());
    assert_eq!(b.open(START, &old), Err(Refusal::Replayed));
}

#[test]
fn interval_change() {
    let (mut a, mut b) = (seal("a-1", 1, &[OLD]), seal("a-2", 1, &[OLD]));
    for second in 0..2_000 {
        let wall = START + Duration::from_secs(second);
        let bytes = a.seal(wall, vm::addr("a-2"), &message()).unwrap();
        let behind = wall - INTERVAL + Duration::from_secs(1);
        let ahead = wall + INTERVAL - Duration::from_secs(1);
        let clock = [wall, behind, ahead][second as usize % 3];
        assert!(b.open(clock, &bytes).is_ok(), "second {second}");
    }
    let bytes = a.seal(START, vm::addr("a-2"), &message()).unwrap();
    assert_eq!(b.open(START + 2 * INTERVAL, &bytes), Err(Refusal::Expired));
}

#[test]
fn hour_apart() {
    let (mut a, mut b) = (seal("a-1", 1, &[OLD]), seal("a-2", 1, &[OLD]));
    let before = a.seal(START, vm::addr("a-2"), &message()).unwrap();
    assert!(b.open(START, &before).is_ok());
    let later = START + Duration::from_secs(3_600);
    let after = a.seal(later, vm::addr("a-2"), &message()).unwrap();
    assert!(b.open(later, &after).is_ok(), "no key exchange is needed after a separation");
    assert_eq!(b.open(later, &before), Err(Refusal::Expired));
}

#[test]
fn restarted_receiver() {
    let mut a = seal("a-1", 1, &[OLD]);
    let bytes = a.seal(START, vm::addr("a-2"), &message()).unwrap();
    let mut b = seal("a-2", 2, &[OLD]);
    let later = START + 2 * INTERVAL;
    assert_eq!(
        b.open(later, &bytes),
        Err(Refusal::Expired),
        "the replay window is lost, but the key has expired as well"
    );
}

#[test]
fn root_rotation() {
    let phases: [&[&str]; 4] = [&[OLD], &[OLD, NEW], &[NEW, OLD], &[NEW]];
    for step in phases.windows(2) {
        for (from, to) in [(step[0], step[1]), (step[1], step[0])] {
            let (mut a, mut b) = (seal("a-1", 1, from), seal("a-2", 1, to));
            let bytes = a.seal(START, vm::addr("a-2"), &message()).unwrap();
            assert!(b.open(START, &bytes).is_ok(), "{from:?} to {to:?}");
        }
    }
}

#[test]
fn key_file() {
    assert!(Keys::parse("").unwrap_err().to_string().contains("64 hexadecimal digits"));
    assert!(Keys::parse(&OLD[1..]).is_err());
    assert!(Keys::parse(&OLD.replace('8', "é")).is_err());
    assert!(Keys::parse(&[OLD; 5].join("\n")).is_err());
    let debug = format!("{:?}", keys(&[OLD]));
    assert!(!debug.contains("8a1f"), "keys must not appear in debug output");
}

#[test]
fn random_bytes() {
    let config =
        Config { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() };
    let b = RefCell::new(seal("a-2", 1, &[OLD]));
    let garbage = vec(any::<u8>(), 0..300);
    TestRunner::new(config)
        .run(&garbage, |bytes| {
            assert!(b.borrow_mut().open(START, &bytes).is_err());
            Ok(())
        })
        .unwrap();
}
