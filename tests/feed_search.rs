//! When an entry VM looks for a control VM with a quorum, and which ones it asks.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use galenatrail::{ControlLocation, FeedSearch, FeedTargets, Name, Time};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn vm(number: u32) -> Name {
    format!("entry-{number}").into()
}

fn addr(host: u8) -> SocketAddr {
    format!("10.1.0.{host}:7720").parse().unwrap()
}

/// Returns the state of a VM whose feeds both come from control VMs with a quorum.
fn settled(name: Name) -> FeedSearch {
    let mut search = FeedSearch::new(name);
    search.record_heartbeat(at(100), 0, true);
    search.record_heartbeat(at(100), 1, true);
    search
}

/// Plays a search that finds nothing; returns the times of its rounds.
fn fruitless_rounds(search: &mut FeedSearch, until: Time) -> Vec<Time> {
    let mut rounds = Vec::new();
    while let Some(due) = search.due().filter(|due| *due < until) {
        rounds.push(due);
        search.record_round(due);
    }
    rounds
}

/// Guards against an entry VM that stays on two control VMs that are cut off.
#[test]
fn a_search_starts_once_neither_feed_is_confirmed() {
    let mut search = settled(vm(1));
    assert_eq!(search.due(), None);
    search.record_heartbeat(at(5_000), 1, false);
    assert_eq!(search.due(), None, "the first feed is confirmed");
    search.record_heartbeat(at(9_000), 0, false);
    let due = search.due().expect("neither feed is confirmed");
    assert!(at(9_300) <= due && due < at(9_700), "{due:?}");
    search.record_heartbeat(at(9_200), 0, false);
    assert_eq!(search.due(), Some(due), "later heartbeats do not put it off");
    search.record_heartbeat(at(9_250), 1, true);
    assert_eq!(search.due(), None);
}

/// Guards against a lost feed that still counts as confirmed.
#[test]
fn a_feed_without_a_control_vm_is_not_confirmed() {
    let mut search = settled(vm(1));
    search.record_heartbeat(at(5_000), 1, false);
    search.record_lost(at(6_000), 0);
    assert!(search.due().is_some());
}

/// Guards against a feed that is left while it still sends the records, on a slow link.
#[test]
fn a_feed_that_has_yet_to_send_a_heartbeat_is_not_left() {
    let mut search = FeedSearch::new(vm(1));
    search.record_heartbeat(at(50), 0, false);
    assert_eq!(search.due(), None, "the second feed has no control VM");
    search.record_heartbeat(at(4_000), 1, false);
    let due = search.due().expect("neither feed is confirmed");
    search.record_round(due);
    search.record_lost(due, 1);
    assert_eq!(search.due(), None, "the second feed has moved");
    search.record_heartbeat(at(9_000), 1, false);
    let next = search.due().expect("the new one is not confirmed either");
    assert!(next >= at(9_500), "a second move comes later than the first: {next:?}");
}

/// Guards against a VM that starts during a cut and never learns of a control VM with a quorum.
#[test]
fn a_vm_that_starts_between_unconfirmed_control_vms_searches() {
    let mut search = FeedSearch::new(vm(1));
    search.record_heartbeat(at(50), 0, false);
    search.record_heartbeat(at(60), 1, false);
    assert!(search.due().is_some_and(|due| due < at(700)));
}

/// Guards against VMs that keep asking, all at the same moment, while no control VM has a quorum.
#[test]
fn rounds_without_a_quorum_are_rare_and_spread() {
    let mut firsts = BTreeSet::new();
    for number in 0..300 {
        let mut search = settled(vm(number));
        search.record_heartbeat(at(1_000), 0, false);
        search.record_heartbeat(at(1_000), 1, false);
        let rounds = fruitless_rounds(&mut search, at(61_000));
        assert!((6..=11).contains(&rounds.len()), "{number}: {rounds:?}");
        let late: Vec<_> = rounds.iter().skip(5).collect();
        assert!(
            late.windows(2).all(|pair| pair[1].since(*pair[0]) >= Duration::from_secs(8)),
            "{number}: {rounds:?}"
        );
        // Counts the VMs whose first round falls into the same 10 ms.
        firsts.insert((rounds[0].as_micros() / 10_000, number));
    }
    let crowd = |bucket: u64| firsts.iter().filter(|(other, _)| *other == bucket).count();
    let busiest = firsts.iter().map(|(bucket, _)| crowd(*bucket)).max();
    assert!(busiest <= Some(20), "{busiest:?} of 300 VMs in 10 ms");
}

/// Guards against a search that starts where the last one ended, minutes ago.
#[test]
fn a_confirmed_heartbeat_ends_a_search() {
    let mut search = settled(vm(1));
    search.record_heartbeat(at(1_000), 0, false);
    search.record_heartbeat(at(1_000), 1, false);
    fruitless_rounds(&mut search, at(61_000));
    search.record_heartbeat(at(61_000), 0, true);
    assert_eq!((search.due(), search.rounds()), (None, 0));
    search.record_round(at(61_000));
    assert_eq!(search.due(), None, "a round that ended late starts no new one");
    search.record_heartbeat(at(70_000), 0, false);
    assert!(search.due().is_some_and(|due| due < at(70_700)));
}

/// Guards against a search that leaves out the control VMs that have the quorum.
#[test]
fn a_search_asks_every_control_vm_that_no_feed_uses() {
    for count in [2, 3, 6, 17, 40] {
        let mut targets = FeedTargets::new(vm(count.into()), "a".into());
        let known = (1..count).map(|host| ControlLocation { addr: addr(host), zone: "b".into() });
        targets.set_known(Time::ZERO, &known.collect::<Vec<_>>());
        assert!(targets.claim(0, addr(1)) && targets.claim(1, addr(2)));
        // The last one is known from the settings only.
        let seeds = [addr(1), addr(count)];
        let mut asked = BTreeSet::new();
        for round in 0..u32::from(count).div_ceil(4) {
            let candidates = targets.search_candidates(round, &seeds);
            assert!(candidates.len() <= 4, "{candidates:?}");
            asked.extend(candidates);
        }
        let unused: BTreeSet<_> = (3..=count).map(addr).collect();
        assert_eq!(asked, unused, "of {count}");
    }
}
