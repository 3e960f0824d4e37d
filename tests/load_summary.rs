//! Load summaries: what VMs know of each other's requests in progress, and what is left of it when
//! messages or VMs fail.

use std::net::SocketAddr;

use galenatrail::{ControlLocation, FeedTargets, LoadView, Name, ServerRecord, ServerState};

#[path = "support/cookie.rs"]
mod cookie;
#[path = "support/load.rs"]
mod load;

use cookie::{announcement, at};
use load::{Control, Vm, exchanged};

/// Guards against a VM that counts its own requests twice, and against other VMs' that are missing.
#[test]
fn a_vm_is_told_of_the_others() {
    let (first, second, _) = exchanged();
    let now = at(1_000);
    assert_eq!(first.view.others(now, 1), 2.0);
    assert_eq!(first.view.others(now, 2), 2.0);
    assert_eq!(second.view.others(now, 1), 3.0);
    assert_eq!(second.view.others(now, 2), 0.0);
    assert_eq!(first.view.zone_room(now, &"hub".into(), &"a".into()), Some((7, 8)));
    assert_eq!(first.view.zone_room(now, &"hub".into(), &"b".into()), Some((0, 8)));
    assert_eq!(first.view.zone_room(now, &"hub".into(), &"c".into()), None);
}

/// Guards against VMs of a zone that report to different control VMs, as the first feed cannot leave
/// for one that the second uses.
#[test]
fn load_is_reported_in_the_own_zone() {
    let addr = |host: u8| SocketAddr::from(([127, 0, 1, host], 7_720));
    let location = |host, zone: &str| ControlLocation { addr: addr(host), zone: zone.into() };
    let mut targets = FeedTargets::new("e1".into(), "a".into());
    assert!(targets.claim(0, addr(2)) && targets.claim(1, addr(1)));
    let reports = |targets: &FeedTargets| [0, 1].map(|slot| targets.carries_reports(slot));
    assert_eq!(reports(&targets), [true, false], "no zone is known");
    targets.set_known(at(0), &[location(1, "a"), location(2, "b"), location(3, "a")]);
    assert_eq!(reports(&targets), [false, true]);
    targets.record_failure(at(0), 1);
    assert_eq!(reports(&targets), [true, false], "there is no other feed");
    assert!(targets.claim(0, addr(3)) && targets.claim(1, addr(1)));
    assert_eq!(reports(&targets), [true, false], "both are in the zone");
}

/// Guards against sums of a part of a zone's VMs, where these report to several control VMs.
#[test]
fn control_vms_share_the_reports_of_a_zone() {
    let (mut first, mut second, mut control) = exchanged();
    let mut other = Control::new();
    let mut third = Vm::new("e3");
    third.tick(at(1_500), &[(1, 4), (6, 1)]);
    other.hear(at(1_500), &mut third);
    let peers = ["127.0.1.1:7720", "127.0.1.2:7720"].map(|addr| addr.parse().unwrap());
    let contribution = other.contribution(at(1_500)).unwrap();
    assert!(control.load.record_peer(at(1_500), peers[1], &contribution));
    let contribution = control.contribution(at(1_500)).unwrap();
    assert!(other.load.record_peer(at(1_500), peers[0], &contribution));
    first.tick(at(1_500), &[(1, 3)]);
    second.tick(at(1_500), &[(1, 2), (2, 2)]);
    control.hear(at(1_500), &mut first);
    control.hear(at(1_500), &mut second);
    control.tell(at(1_500), &mut [&mut first, &mut second]);
    other.tell(at(1_500), &mut [&mut third]);
    assert_eq!(first.view.others(at(1_500), 1), 6.0);
    assert_eq!(second.view.others(at(1_500), 6), 1.0);
    assert_eq!(third.view.others(at(1_500), 1), 5.0);
    assert_eq!(third.view.others(at(1_500), 6), 0.0);
    // A zone whose VMs report to one control VM only is not sent by server.
    let alone = control.load.contribution(at(1_500), control.servers.iter(), |_| false).unwrap();
    assert!(alone.len() < contribution.len(), "{} {}", alone.len(), contribution.len());
}

/// Guards against messages that cost bandwidth while nothing is short.
#[test]
fn without_load_nothing_is_sent() {
    let (mut first, mut control) = (Vm::new("e1"), Control::new());
    let mut bytes = 0;
    for millis in (0..60_000).step_by(50) {
        first.tick(at(millis), &[]);
        bytes += first.reporter.take(at(millis)).map_or(0, |report| report.len());
        let summaries = control.summaries(at(millis));
        bytes += summaries.iter().map(|(_, summary)| summary.len()).sum::<usize>();
        let contribution = control.contribution(at(millis));
        bytes += contribution.map_or(0, |contribution| contribution.len());
    }
    assert_eq!(bytes, 0);
}

/// Guards against summaries on an ordinary day: a zone with little load is reported, but its VMs are
/// told nothing.
#[test]
fn a_zone_with_little_load_gets_no_summaries() {
    let (mut first, mut control) = (Vm::new("e1"), Control::new());
    for millis in (0..10_000).step_by(50) {
        first.tick(at(millis), &[(1, 1)]);
        if millis % 1_000 == 0 {
            assert!(control.hear(at(millis), &mut first));
        }
        assert_eq!(control.tell(at(millis), &mut [&mut first]), 0);
    }
}

/// Guards against a VM that reports a load which has ended until it expires.
#[test]
fn the_end_of_a_load_is_reported_once() {
    let (mut first, mut second, mut control) = exchanged();
    first.tick(at(1_500), &[]);
    assert!(control.hear(at(1_500), &mut first));
    assert_eq!(first.reporter.take(at(1_600)), None);
    second.tick(at(1_500), &[(1, 2), (2, 2)]);
    assert!(control.hear(at(1_500), &mut second));
    assert_eq!(control.tell(at(1_500), &mut [&mut first, &mut second]), 2);
    assert_eq!(second.view.others(at(1_500), 1), 0.0);
}

/// Failure: a summary is late.
#[test]
fn a_late_summary_is_dropped() {
    let (mut first, mut second, mut control) = exchanged();
    first.tick(at(1_500), &[(1, 3)]);
    second.tick(at(1_500), &[(1, 1)]);
    control.hear(at(1_500), &mut first);
    control.hear(at(1_500), &mut second);
    let newer = control.summaries(at(1_500));
    let mut other = Control::new();
    second.tick(at(1_100), &[(1, 8)]);
    other.load.record_report(
        at(1_100),
        &second.name,
        &"a".into(),
        &second.reporter.take(at(1_100)).unwrap(),
    );
    // 900 ms old when it is sent.
    let older = other.summaries(at(2_000));
    assert!(first.view.update(at(1_500), &newer[0].1));
    assert!(!first.view.update(at(2_000), &older[0].1));
    assert_eq!(first.view.dropped(), 1);
    assert_eq!(first.view.others(at(1_500), 1), 1.0);
}

/// Failure: a report arrives when its counts are too old.
#[test]
fn a_late_report_is_dropped() {
    let mut control = Control::new();
    let (vm, zone) = ("e1".into(), "a".into());
    // The age in milliseconds as a variable-length integer, and one server with nine requests.
    let report = |age: u16| [age as u8 | 0x80, (age >> 7) as u8, 1, 5, 9];
    assert!(!control.load.record_report(at(3_000), &vm, &zone, &report(1_500)));
    assert_eq!((control.load.reporters(), control.load.dropped()), (0, 1));
    assert!(control.load.record_report(at(3_000), &vm, &zone, &report(1_499)));
    assert_eq!(control.load.reporters(), 1);
    // It is not renewed.
    assert!(control.contribution(at(3_001)).is_none());
    assert_eq!(control.load.reporters(), 0);
}

/// Failure: a VM without a summary receives one that is too old.
#[test]
fn an_old_first_summary_is_dropped() {
    let (_, _, mut control) = exchanged();
    let summary = control.summaries(at(1_500)).remove(0).1;
    // The age in milliseconds as a variable-length integer.
    let bytes = |age: u16| [age as u8 | 0x80, (age >> 7) as u8];
    assert_eq!(summary[..2], bytes(500));
    let aged = |age: u16| [&bytes(age), &summary[2..]].concat();
    let mut view = LoadView::new();
    assert!(!view.update(at(5_000), &aged(2_000)));
    assert_eq!(view.dropped(), 1);
    assert!(view.update(at(5_000), &aged(1_999)));
}

/// Failure: summaries and reports are lost.
#[test]
fn lost_messages_leave_local_information() {
    let (first, _, mut control) = exchanged();
    assert_eq!(first.view.others(at(1_500), 1), 1.5);
    assert_eq!(first.view.others(at(2_500), 1), 0.5);
    assert_eq!(first.view.others(at(3_000), 1), 0.0);
    assert_eq!(first.view.zone_room(at(2_999), &"hub".into(), &"a".into()), Some((7, 8)));
    assert_eq!(first.view.zone_room(at(3_000), &"hub".into(), &"a".into()), None);
    assert!(control.summaries(at(2_500)).is_empty(), "the reports have expired");
}

/// Returns messages that are no `message`, among them all that end too early.
fn damaged(message: &[u8]) -> Vec<Vec<u8>> {
    let mut damaged = vec![vec![], vec![0xff; 40], vec![0; 70_000]];
    damaged.extend((1..message.len()).map(|len| message[..len].to_vec()));
    damaged.push([message, &[0]].concat());
    damaged
}

/// Failure: a message is damaged.
#[test]
fn unreadable_messages_change_nothing() {
    let (mut first, mut second, mut control) = exchanged();
    second.tick(at(1_100), &[(1, 5)]);
    let report = second.reporter.take(at(1_100)).unwrap();
    let mut garbage = damaged(&report);
    // A number out of range, and one that comes twice.
    garbage.push(vec![0, 1, 0xff, 0xff, 0xff, 0xff, 0x0f, 1]);
    garbage.push(vec![0, 2, 5, 1, 0, 1]);
    for (count, bytes) in (1_u64..).zip(&garbage) {
        assert!(!control.load.record_report(at(1_100), &"e2".into(), &"a".into(), bytes));
        assert_eq!(control.load.dropped(), count);
    }
    let before = control.load.dropped();
    let contribution = control.contribution(at(1_100)).unwrap();
    let garbage = damaged(&contribution);
    let peer: SocketAddr = "127.0.1.2:7720".parse().unwrap();
    for (count, bytes) in (1_u64..).zip(&garbage) {
        assert!(!control.load.record_peer(at(1_100), peer, bytes));
        assert_eq!(control.load.dropped(), before + count);
    }
    let summary = control.summaries(at(1_500)).remove(0).1;
    for (count, bytes) in (1_u64..).zip(&damaged(&summary)) {
        assert!(!first.view.update(at(1_500), bytes));
        assert_eq!(first.view.dropped(), count);
    }
    assert_eq!(first.view.others(at(1_000), 1), 2.0);
    first.tick(at(2_000), &[(1, 3)]);
    control.hear(at(2_000), &mut first);
    assert_eq!(control.tell(at(2_000), &mut [&mut first, &mut second]), 2);
    assert_eq!(first.view.others(at(1_500), 1), 2.0, "the report before the damage counts");
}

/// Failure: an entry VM is suspended and goes on.
#[test]
fn a_vm_that_was_suspended_reports_no_old_counts() {
    let (mut first, mut second, mut control) = exchanged();
    // It goes on after 5 s and acknowledges a message before it counts again.
    assert_eq!(first.reporter.take(at(6_000)), None);
    (1..6).for_each(|second_of| second.tick(at(second_of * 1_000), &[]));
    second.tick(at(6_000), &[(1, 2), (2, 2)]);
    control.hear(at(6_000), &mut second);
    assert_eq!(control.tell(at(6_000), &mut [&mut second]), 1);
    assert_eq!(second.view.others(at(6_000), 1), 0.0);
    // A summary that waited for it is dropped, also if the loop has ticked in between.
    let waiting = control.summaries(at(6_500));
    for ticked in [false, true] {
        let mut view = first.view.clone();
        if ticked {
            view.tick(at(6_500));
        }
        assert!(!view.update(at(6_500), &waiting[0].1));
        assert_eq!(view.others(at(6_500), 1), 0.0);
        assert!(view.update(at(7_100), &waiting[0].1), "half a second later");
    }
}

/// Failure: an entry VM restarts.
#[test]
fn a_vm_that_restarts_has_no_requests() {
    let (_, mut second, mut control) = exchanged();
    control.load.forget(&"e1".into());
    let mut first = Vm::new("e1");
    second.tick(at(1_500), &[(1, 2), (2, 2)]);
    control.hear(at(1_500), &mut second);
    assert_eq!(control.tell(at(1_500), &mut [&mut first, &mut second]), 1);
    assert_eq!(second.view.others(at(1_500), 1), 0.0);
    // It is told of others with its first report.
    first.tick(at(2_000), &[(2, 1)]);
    control.hear(at(2_000), &mut first);
    assert_eq!(control.tell(at(2_000), &mut [&mut first, &mut second]), 2);
    assert_eq!(
        first.view.others(at(2_000), 2),
        2.0 * 0.875,
        "the reports are 250 ms old on average"
    );
}

/// Failure: the control VM restarts.
#[test]
fn a_control_vm_that_restarts_learns_the_load_from_reports() {
    let (mut first, mut second, _) = exchanged();
    let mut control = Control::new();
    assert_eq!(control.tell(at(1_500), &mut [&mut first, &mut second]), 0);
    first.tick(at(2_000), &[(1, 3)]);
    second.tick(at(2_000), &[(1, 4)]);
    control.hear(at(2_000), &mut first);
    control.hear(at(2_000), &mut second);
    assert_eq!(control.tell(at(2_000), &mut [&mut first, &mut second]), 2);
    assert_eq!(first.view.others(at(2_000), 1), 4.0);
    assert_eq!(first.view.others(at(2_000), 2), 0.0);
}

/// Failure: a cut between two zones, each with its control VM.
#[test]
fn the_halves_of_a_cut_sum_what_they_receive() {
    let (mut first, mut second, mut control) = exchanged();
    let mut other = Control::new();
    let peer: SocketAddr = "127.0.1.2:7720".parse().unwrap();
    let mut third = Vm::new("e3");
    third.tick(at(1_400), &[(5, 2), (1, 1)]);
    let report = third.reporter.take(at(1_400)).unwrap();
    other.load.record_report(at(1_400), &"e3".into(), &"b".into(), &report);
    let contribution = other.contribution(at(1_400)).unwrap();
    assert!(control.load.record_peer(at(1_400), peer, &contribution));
    let (hub, a, b): (Name, Name, Name) = ("hub".into(), "a".into(), "b".into());
    for (millis, in_a, in_b) in [(2_100, 8, Some((2, 8))), (3_200, 7, None)] {
        let now = at(millis);
        first.tick(now, &[(1, 3)]);
        second.tick(now, &[(1, 2), (2, 2)]);
        control.hear(now, &mut first);
        control.hear(now, &mut second);
        // The control VM of zone b was heard of before the cut at 1,500 ms only.
        let reachable =
            if in_b.is_some() { [a.clone(), b.clone()].into() } else { [a.clone()].into() };
        let due = control.load.take_due(now, control.servers.iter(), &reachable);
        assert!(first.view.update(now, &due[0].1));
        assert_eq!(first.view.zone_room(now, &hub, &a), Some((in_a, 8)));
        assert_eq!(first.view.zone_room(now, &hub, &b), in_b);
    }
}

/// Failure: all control VMs are gone.
#[test]
fn without_control_vms_a_summary_weighs_nothing_after_two_seconds() {
    let (mut first, _, _) = exchanged();
    let mut last = f32::MAX;
    for millis in (1_000..3_000).step_by(250) {
        first.tick(at(millis), &[(1, 3)]);
        let others = first.view.others(at(millis), 1);
        assert!(others < last, "{millis}");
        last = others;
    }
    assert_eq!(first.view.others(at(3_000), 1), 0.0);
    assert_eq!(first.view.zone_room(at(3_000), &"hub".into(), &"a".into()), None);
}

/// Failure: counts contradict each other, as a VM counts requests that have ended.
#[test]
fn counts_are_capped_at_what_a_server_can_have() {
    let (mut first, mut control) = (Vm::new("e1"), Control::new());
    for name in ["e2", "e3", "e4"] {
        let mut other = Vm::new(name);
        other.tick(at(0), &[(1, u32::MAX), (2, 7)]);
        assert!(control.hear(at(0), &mut other));
    }
    first.tick(at(0), &[(3, 1)]);
    assert!(control.hear(at(0), &mut first));
    assert_eq!(control.tell(at(0), &mut [&mut first]), 4);
    // Two slots, and eight requests for each.
    assert_eq!(first.view.others(at(0), 1), 16.0);
    assert_eq!(first.view.others(at(0), 2), 16.0);
    assert_eq!(first.view.zone_room(at(0), &"hub".into(), &"a".into()), Some((33, 8)));
}

/// Failure: a server leaves while VMs still count requests there.
#[test]
fn a_server_that_left_has_no_load() {
    let (mut first, mut second, mut control) = exchanged();
    control.servers[0].state = ServerState::Gone;
    control.servers.remove(2);
    first.tick(at(1_500), &[(1, 3), (3, 2)]);
    second.tick(at(1_500), &[(1, 2), (2, 2)]);
    control.hear(at(1_500), &mut first);
    control.hear(at(1_500), &mut second);
    assert_eq!(control.tell(at(1_500), &mut [&mut first, &mut second]), 2);
    assert_eq!(second.view.others(at(1_500), 1), 0.0);
    assert_eq!(second.view.others(at(1_500), 3), 0.0);
    assert_eq!(first.view.others(at(1_500), 2), 2.0);
}

/// Guards against messages that grow with the system: those of the servers with most load remain.
#[test]
fn messages_are_capped() {
    let mut control = Control::new();
    control.servers = (1..=1_000).map(|id| ServerRecord::new(announcement(id, "a"))).collect();
    let mut first = Vm::new("e1");
    for vm in 0..40_u64 {
        let mut other = Vm::new(&format!("f{vm}"));
        let requests: Vec<_> = (1..=1_000).map(|id| (id, 1 + u32::from(id % 40 == vm))).collect();
        other.tick(at(0), &requests);
        let report = other.reporter.take(at(0)).unwrap();
        assert!(report.len() <= 300, "{}", report.len());
        assert!(control.load.record_report(at(0), &other.name, &"a".into(), &report));
    }
    let summary = control.summaries(at(0)).remove(0).1;
    assert!(summary.len() <= 1_100, "{}", summary.len());
    assert!(first.view.update(at(0), &summary));
    let listed = (1..=1_000).filter(|id| first.view.others(at(0), *id) > 0.0).count();
    assert_eq!(listed, 256);
}
