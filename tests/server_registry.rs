//! The registry of backend servers: which records are newer, and when a server is silent or gone.

use std::time::Duration;

use galenatrail::{
    Announcement, LeaveOutcome, ServerRecord, ServerRegistry, ServerState, Time, UpdateOutcome,
};
use proptest::prelude::*;

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{PERIOD, announcement, at};

fn registry() -> ServerRegistry {
    ServerRegistry::new(Time::ZERO, PERIOD)
}

#[test]
fn outdated_announcements_are_ignored() {
    let mut registry = registry();
    let mut third = announcement(1, "a");
    third.sequence = 3;
    third.draining = true;
    assert_eq!(registry.announce(at(10), third), UpdateOutcome::Changed);
    assert_eq!(registry.announce(at(20), announcement(1, "a")), UpdateOutcome::Outdated);
    assert_eq!(registry.get(1).unwrap().state, ServerState::Draining);
    let mut restarted = announcement(1, "a");
    restarted.incarnation += 1;
    assert_eq!(registry.announce(at(30), restarted), UpdateOutcome::Changed);
    assert_eq!(registry.get(1).unwrap().state, ServerState::Ready);
}

#[test]
fn a_delayed_announcement_does_not_bring_back_a_server_that_has_left() {
    let mut registry = registry();
    registry.announce(at(10), Announcement { draining: true, ..announcement(1, "a") });
    let left = registry.leave(at(20), 1);
    assert!(matches!(left, LeaveOutcome::Ended(_)), "{left:?}");
    let mut late = announcement(1, "a");
    late.sequence = 9;
    assert_eq!(registry.announce(at(30), late), UpdateOutcome::Outdated);
    assert_eq!(registry.get(1).unwrap().state, ServerState::Gone);
}

#[test]
fn a_server_whose_address_is_reused_is_gone() {
    let mut registry = registry();
    registry.announce(at(10), announcement(1, "a"));
    let mut next = announcement(2, "a");
    next.addr = announcement(1, "a").addr;
    next.incarnation += 1;
    registry.announce(at(20), next);
    registry.tick(at(30));
    assert_eq!(registry.get(1).unwrap().state, ServerState::Gone);
    // A delayed announcement of the replaced server arrives.
    let mut late = announcement(1, "a");
    late.sequence = 2;
    registry.announce(at(40), late);
    assert_eq!(registry.get(1).unwrap().state, ServerState::Gone);
    assert_eq!(registry.get(2).unwrap().state, ServerState::Ready);
}

#[test]
fn a_server_is_silent_after_three_periods_without_an_announcement() {
    let mut registry = registry();
    registry.announce(at(0), announcement(1, "a"));
    let limit = (PERIOD * 3).as_millis() as u64;
    assert!(registry.tick(at(limit - 1)).is_empty());
    let silent = registry.tick(at(limit));
    assert!(silent.iter().all(|record| record.silent) && silent.len() == 1);
    let mut next = announcement(1, "a");
    next.sequence = 2;
    assert_eq!(registry.announce(at(limit + 10), next), UpdateOutcome::Changed);
    assert!(!registry.get(1).unwrap().silent);
}

#[test]
fn a_new_registry_marks_no_server_silent() {
    let cached = vec![ServerRecord::new(announcement(1, "a"))];
    let mut registry = ServerRegistry::new(at(60_000), PERIOD).with_cached(cached);
    assert!(registry.tick(at(60_000 + 3_599)).is_empty());
    assert_eq!(registry.tick(at(60_000 + 3_600)).len(), 1);
}

#[test]
fn a_suspension_of_the_control_vm_does_not_count_as_silence() {
    let mut registry = registry();
    registry.announce(at(0), announcement(1, "a"));
    for step in 0..4 {
        assert!(registry.tick(at(step * 400)).is_empty());
    }
    // During the suspension, the server announced itself to other control VMs.
    assert!(registry.tick(at(10_000)).is_empty());
    let silent_at = (1..10).find(|step| !registry.tick(at(10_000 + step * 400)).is_empty());
    assert_eq!(silent_at, Some(6), "silent for 1.2 s before the suspension");
}

#[test]
fn own_announcements_are_gossiped_once() {
    let (mut first, mut second) = (registry(), registry());
    first.announce(at(10), announcement(1, "a"));
    let (records, refreshed) = first.take_pending();
    assert_eq!((records.len(), refreshed.len()), (1, 0));
    assert_eq!(first.take_pending(), (Vec::new(), Vec::new()));
    for record in records {
        assert_eq!(second.merge(at(20), record), UpdateOutcome::Changed);
    }
    assert_eq!(second.take_pending(), (Vec::new(), Vec::new()), "gossip is not forwarded");
}

#[test]
fn unchanged_announcements_are_gossiped_by_sequence_number() {
    let (mut first, mut second) = (registry(), registry());
    for registry in [&mut first, &mut second] {
        registry.announce(at(0), announcement(1, "a"));
        registry.take_pending();
    }
    let mut next = announcement(1, "a");
    next.sequence = 2;
    assert_eq!(first.announce(at(1_200), next), UpdateOutcome::Unchanged);
    let (records, refreshed) = first.take_pending();
    assert_eq!((records.len(), &refreshed[..]), (0, &[(1, 2)][..]));
    assert_eq!(second.refresh(at(1_200), 1, 2), UpdateOutcome::Unchanged);
    assert_eq!(second.refresh(at(1_300), 1, 2), UpdateOutcome::Outdated);
    assert!(second.tick(at(4_700)).is_empty(), "last heard at 1,200 ms");
    assert_eq!(second.tick(at(4_800)).len(), 1);
    assert_eq!(second.refresh(at(4_900), 1, 5), UpdateOutcome::Changed, "it is back");
    let draining = Announcement { draining: true, sequence: 6, ..announcement(1, "a") };
    second.announce(at(5_000), draining);
    second.leave(at(5_000), 1);
    assert_eq!(second.refresh(at(5_100), 1, 9), UpdateOutcome::Outdated);
    assert_eq!(second.refresh(at(5_100), 7, 1), UpdateOutcome::Outdated, "unknown server");
}

#[test]
fn a_pending_change_survives_an_unchanged_announcement() {
    let mut registry = registry();
    registry.announce(at(0), announcement(1, "a"));
    let mut next = announcement(1, "a");
    next.sequence = 2;
    registry.announce(at(100), next);
    assert_eq!(registry.take_pending().0.len(), 1);
}

#[test]
fn a_higher_registry_age_of_another_control_vm_is_inherited() {
    let mut registry = ServerRegistry::new(at(10_000), PERIOD);
    registry.inherit_age(at(10_100), Duration::from_secs(5));
    assert_eq!(registry.age(at(10_100)), Duration::from_secs(5));
    registry.inherit_age(at(10_100), Duration::from_secs(1));
    assert_eq!(registry.age(at(10_100)), Duration::from_secs(5));
}

proptest! {
    /// Two registries that receive the same records in different orders end in the same state.
    #[test]
    fn the_order_of_records_does_not_matter(
        versions in proptest::collection::vec((1_u64..4, 1_u64..4, 1_u64..6), 1..40),
        seed in any::<u64>(),
    ) {
        let records: Vec<_> = versions.iter().map(|&(id, incarnation, sequence)| {
            // A server announces the same state whenever it uses the same sequence number.
            let mut announcement = announcement(id, "a");
            announcement.incarnation = incarnation;
            announcement.sequence = sequence;
            announcement.draining = (incarnation ^ sequence).is_multiple_of(3);
            ServerRecord::new(announcement)
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

/// Returns a registry that received the first announcement of a cold server in full, at 0 s, and of
/// the later ones, until 6 s, only that they came.
fn registry_of_a_warmed_server() -> ServerRegistry {
    let mut registry = ServerRegistry::new(Time::ZERO, PERIOD);
    let cold = Announcement { warmup_left: Duration::from_millis(1_996), ..announcement(1, "a") };
    assert_eq!(registry.announce(at(0), cold), UpdateOutcome::Changed);
    for sequence in 2..=6 {
        registry.refresh(at(sequence * 1_000), 1, sequence);
        registry.tick(at(sequence * 1_000));
    }
    registry
}

#[test]
fn a_server_that_has_warmed_up_is_not_sent_as_cold() {
    let registry = registry_of_a_warmed_server();
    assert_eq!(registry.get(1).unwrap().announcement.warmup_left, Duration::ZERO);
}

#[test]
fn a_server_that_turns_cold_again_is_a_change_although_its_first_start_is_remembered() {
    let mut registry = registry_of_a_warmed_server();
    let cold = Announcement {
        warmup_left: Duration::from_millis(1_990),
        sequence: 7,
        ..announcement(1, "a")
    };
    assert_eq!(registry.announce(at(7_000), cold.clone()), UpdateOutcome::Changed);
    // The next announcement says the same, with some jitter.
    let later = Announcement { warmup_left: Duration::from_millis(820), sequence: 8, ..cold };
    assert_eq!(registry.announce(at(8_200), later), UpdateOutcome::Unchanged);
    registry.tick(at(8_400));
    let left = registry.get(1).unwrap().announcement.warmup_left;
    assert_eq!(left, Duration::from_millis(590));
}

#[test]
fn servers_of_a_saved_registry_are_cold_for_what_was_left() {
    let mut record = ServerRecord::new(announcement(1, "a"));
    record.announcement.warmup_left = Duration::from_millis(700);
    let mut registry = ServerRegistry::new(Time::ZERO, PERIOD).with_cached(vec![record]);
    registry.tick(at(500));
    let left = registry.get(1).unwrap().announcement.warmup_left;
    assert_eq!(left, Duration::from_millis(200));
}

/// Guards against announcements that count as late, draining ones too, since a control VM that was
/// suspended passes on those of an earlier start.
#[test]
fn a_refresh_of_an_earlier_start_does_not_make_later_announcements_late() {
    let mut registry = registry();
    registry.announce(at(0), Announcement { sequence: 39, ..announcement(1, "a") });
    let restarted = Announcement { incarnation: 2_000, ..announcement(1, "a") };
    registry.announce(at(2_000), restarted.clone());
    registry.refresh(at(4_000), 1, 40);
    let next = Announcement { sequence: 2, ..restarted.clone() };
    assert_eq!(registry.announce(at(4_100), next), UpdateOutcome::Unchanged);
    registry.refresh(at(4_200), 1, 41);
    let draining = Announcement { sequence: 3, draining: true, ..restarted };
    assert_eq!(registry.announce(at(5_200), draining), UpdateOutcome::Changed);
    assert_eq!(registry.get(1).unwrap().state, ServerState::Draining);
}

/// Guards against announcements that count as late at a VM that lost its disk and has not known the
/// earlier start, whose announcement a VM that was suspended passes on.
#[test]
fn a_refresh_of_an_unknown_earlier_start_does_not_make_later_announcements_late() {
    for cached in [Vec::new(), vec![ServerRecord::new(announcement(1, "a"))]] {
        let mut registry = registry().with_cached(cached);
        registry.merge(at(0), ServerRecord::new(announcement(1, "a")));
        registry.refresh(at(400), 1, 40);
        let draining = Announcement { sequence: 2, draining: true, ..announcement(1, "a") };
        assert_eq!(registry.announce(at(1_200), draining), UpdateOutcome::Changed);
        assert_eq!(registry.get(1).unwrap().state, ServerState::Draining);
    }
}

/// Guards against a server that a VM never gets to know, as its record was lost and other control VMs
/// only say that they hear it.
#[test]
fn a_refresh_of_an_unknown_server_shows_that_its_record_is_lacking() {
    let mut registry = registry().with_services(["hub".into()].into());
    registry.announce(at(0), announcement(1, "a"));
    registry.announce(at(0), Announcement { service: "other".into(), ..announcement(2, "a") });
    for id in [1, 2] {
        registry.refresh(at(400), id, 2);
        assert!(!registry.take_lacks_record(), "server {id} is known");
    }
    registry.refresh(at(400), 3, 2);
    assert!(registry.take_lacks_record());
    assert!(!registry.take_lacks_record(), "it is asked for once");
}

/// Guards against a server that started again and counts as silent where it is heard through other
/// control VMs only.
#[test]
fn a_server_that_started_again_is_heard_through_other_control_vms() {
    let mut registry = registry();
    registry.announce(at(0), Announcement { sequence: 39, ..announcement(1, "a") });
    registry.announce(at(2_000), Announcement { incarnation: 2_000, ..announcement(1, "a") });
    registry.refresh(at(2_400), 1, 40);
    for sequence in 2..30 {
        let now = at(2_000 + 1_200 * sequence);
        registry.refresh(now, 1, sequence);
        for step in 0..3 {
            let changed = registry.tick(now + Duration::from_millis(400 * step));
            assert_eq!(changed, [], "announcement {sequence}");
        }
    }
}
