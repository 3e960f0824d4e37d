//! The registry of backend servers: which news counts, and when a server is silent or gone.

use std::time::Duration;

use galenatrail::{ServerRecord, ServerRegistry, ServerState, Time, UpdateOutcome};
use proptest::prelude::*;

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{PERIOD, announced, at};

fn registry() -> ServerRegistry {
    ServerRegistry::new(Time::ZERO, PERIOD)
}

#[test]
fn only_later_announcements_count() {
    let mut registry = registry();
    let mut third = announced(1, "a");
    third.sequence = 3;
    third.draining = true;
    assert_eq!(registry.announce(at(10), third), UpdateOutcome::Changed);
    assert_eq!(registry.announce(at(20), announced(1, "a")), UpdateOutcome::Outdated);
    assert_eq!(registry.get(1).unwrap().state, ServerState::Draining);
    let mut reborn = announced(1, "a");
    reborn.incarnation += 1;
    assert_eq!(registry.announce(at(30), reborn), UpdateOutcome::Changed);
    assert_eq!(registry.get(1).unwrap().state, ServerState::Ready);
}

#[test]
fn a_late_announcement_does_not_bring_back_a_server_that_has_left() {
    let mut registry = registry();
    registry.announce(at(10), announced(1, "a"));
    registry.leave(at(20), 1);
    let mut late = announced(1, "a");
    late.sequence = 9;
    assert_eq!(registry.announce(at(30), late), UpdateOutcome::Outdated);
    assert_eq!(registry.get(1).unwrap().state, ServerState::Gone);
}

#[test]
fn a_server_whose_address_went_to_a_later_one_is_gone() {
    let mut registry = registry();
    registry.announce(at(10), announced(1, "a"));
    let mut next = announced(2, "a");
    next.addr = announced(1, "a").addr;
    next.incarnation += 1;
    registry.announce(at(20), next);
    registry.tick(at(30));
    assert_eq!(registry.get(1).unwrap().state, ServerState::Gone);
    // An announcement that was held up by a cut arrives after that.
    let mut late = announced(1, "a");
    late.sequence = 2;
    registry.announce(at(40), late);
    assert_eq!(registry.get(1).unwrap().state, ServerState::Gone);
    assert_eq!(registry.get(2).unwrap().state, ServerState::Ready);
}

#[test]
fn a_server_falls_silent_after_three_periods_and_comes_back() {
    let mut registry = registry();
    registry.announce(at(0), announced(1, "a"));
    let limit = (PERIOD * 3).as_millis() as u64;
    assert!(registry.tick(at(limit - 1)).is_empty());
    let silent = registry.tick(at(limit));
    assert!(silent.iter().all(|record| record.silent) && silent.len() == 1);
    let mut next = announced(1, "a");
    next.sequence = 2;
    assert_eq!(registry.announce(at(limit + 10), next), UpdateOutcome::Changed);
    assert!(!registry.get(1).unwrap().silent);
}

#[test]
fn a_registry_that_has_just_begun_to_hear_calls_nobody_silent() {
    let kept = vec![ServerRecord::new(announced(1, "a"))];
    let mut registry = ServerRegistry::new(at(60_000), PERIOD).with_cached(kept);
    assert!(registry.tick(at(60_000 + 3_599)).is_empty());
    assert_eq!(registry.tick(at(60_000 + 3_600)).len(), 1);
}

#[test]
fn a_control_vm_that_stood_still_calls_nobody_silent_at_once() {
    let mut registry = registry();
    registry.announce(at(0), announced(1, "a"));
    for step in 0..4 {
        assert!(registry.tick(at(step * 400)).is_empty());
    }
    // The announcements of meanwhile went to other control VMs.
    assert!(registry.tick(at(10_000)).is_empty());
    let judged = (1..10).find(|step| !registry.tick(at(10_000 + step * 400)).is_empty());
    assert_eq!(judged, Some(6), "it was heard 1.2 s before the VM stood still");
}

#[test]
fn other_control_vms_are_told_once_of_what_was_heard_here() {
    let (mut first, mut second) = (registry(), registry());
    first.announce(at(10), announced(1, "a"));
    let (told, alive) = first.take_pending();
    assert_eq!((told.len(), alive.len()), (1, 0));
    assert_eq!(first.take_pending(), (Vec::new(), Vec::new()));
    for record in told {
        assert_eq!(second.merge(at(20), record), UpdateOutcome::Changed);
    }
    assert_eq!(second.take_pending(), (Vec::new(), Vec::new()), "news goes one step only");
}

#[test]
fn announcements_without_a_change_are_told_by_their_number_alone() {
    let (mut first, mut second) = (registry(), registry());
    for registry in [&mut first, &mut second] {
        registry.announce(at(0), announced(1, "a"));
        registry.take_pending();
    }
    let mut next = announced(1, "a");
    next.sequence = 2;
    assert_eq!(first.announce(at(1_200), next), UpdateOutcome::Unchanged);
    let (told, alive) = first.take_pending();
    assert_eq!((told.len(), &alive[..]), (0, &[(1, 2)][..]));
    assert_eq!(second.refresh(at(1_200), 1, 2), UpdateOutcome::Unchanged);
    assert_eq!(second.refresh(at(1_300), 1, 2), UpdateOutcome::Outdated);
    assert!(second.tick(at(4_700)).is_empty(), "it was heard at 1,200 ms");
    assert_eq!(second.tick(at(4_800)).len(), 1);
    assert_eq!(second.refresh(at(4_900), 1, 5), UpdateOutcome::Changed, "it is back");
    second.leave(at(5_000), 1);
    assert_eq!(second.refresh(at(5_100), 1, 9), UpdateOutcome::Outdated);
    assert_eq!(second.refresh(at(5_100), 7, 1), UpdateOutcome::Outdated, "nobody knows it");
}

#[test]
fn a_change_that_was_not_told_yet_is_not_forgotten() {
    let mut registry = registry();
    registry.announce(at(0), announced(1, "a"));
    let mut next = announced(1, "a");
    next.sequence = 2;
    registry.announce(at(100), next);
    assert_eq!(registry.take_pending().0.len(), 1);
}

#[test]
fn an_age_that_another_control_vm_tells_counts() {
    let mut registry = ServerRegistry::new(at(10_000), PERIOD);
    registry.inherit_age(at(10_100), Duration::from_secs(5));
    assert_eq!(registry.age(at(10_100)), Duration::from_secs(5));
    registry.inherit_age(at(10_100), Duration::from_secs(1));
    assert_eq!(registry.age(at(10_100)), Duration::from_secs(5));
}

proptest! {
    /// Two control VMs that hear the same news in any order know the same in the end.
    #[test]
    fn the_order_of_news_does_not_matter(
        news in proptest::collection::vec((1_u64..4, 1_u64..4, 1_u64..6), 1..40),
        seed in any::<u64>(),
    ) {
        let records: Vec<_> = news.iter().map(|&(id, born, sequence)| {
            // What a server says under one number is always the same.
            let mut announced = announced(id, "a");
            announced.incarnation = born;
            announced.sequence = sequence;
            announced.draining = (born ^ sequence).is_multiple_of(3);
            ServerRecord::new(announced)
        }).collect();
        let mut shuffled = records.clone();
        let len = shuffled.len() as u64;
        for place in 0..shuffled.len() {
            shuffled.swap(place, ((seed >> (place % 32)) % len) as usize);
        }
        let (mut first, mut second) = (registry(), registry());
        for record in records {
            first.merge(at(10), record);
        }
        for record in shuffled {
            second.merge(at(10), record);
        }
        first.tick(at(20));
        second.tick(at(20));
        let all = |registry: &ServerRegistry| registry.records().cloned().collect::<Vec<_>>();
        prop_assert_eq!(all(&first), all(&second));
    }
}
