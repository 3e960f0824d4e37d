//! An operator's order that waited at a frozen core machine is carried out after newer ones.
//!
//! The operator takes back the evacuation of a zone while the zone's core machine is frozen. That
//! machine gives no response within a second, so that the operator sends the same order to the next
//! one, which acknowledges it. The operator evacuates the zone again, and this is acknowledged, too.
//! Then the machine wakes up. This is played up to eight times, each with another order that waits.

use std::time::Duration;

use crate::{
    Verdict,
    client::Habit,
    cluster::{ACK_TIMEOUT, CONTACT, EVACUATE, SIGCONT, SIGSTOP, ZONES},
    http::order,
    record::{note, now},
    trouble,
    world::{DESK, HUB, HUB_ROUTE, World, wait, wait_until},
};

/// How long the machine is frozen; up to 7.2 s in the site file.
const FREEZE: Duration = Duration::from_millis(5_000);
const ROUNDS: usize = 8;
/// How long openings are counted in each round.
const COUNTED: Duration = Duration::from_millis(1_500);

pub fn play() -> Verdict {
    let mut world = World::start();
    let _hubs = world.servers(HUB, 0xa0, 0);
    let _desks = world.servers(DESK, 0xd0, 10);
    world.cluster.wait_ready();
    let habit = Habit { requests: 1, pause: Duration::ZERO, gap: Duration::from_millis(100) };
    world.clients(2, HUB_ROUTE, habit);
    wait(3.0);
    world.assert_served();
    let frozen = world.cluster.follower();
    note(&format!("{} is the machine that freezes", world.cluster.cores[frozen].name));
    let others = world.cluster.daemons(frozen + 1);
    let start = format!("/api/evacuations/{}/start", ZONES[frozen]);
    assert!(order(&others, &start, "", ACK_TIMEOUT), "the evacuation was not acknowledged");
    wait(2.0);
    for round in 1..=ROUNDS {
        note(&format!("round {round}"));
        if is_broken(&world, frozen) {
            return Verdict::Broken;
        }
    }
    Verdict::Held
}

/// Plays a round; returns whether the zone of core machine `frozen` gets requests although it is
/// evacuated.
fn is_broken(world: &World, frozen: usize) -> bool {
    let core = &world.cluster.cores[frozen];
    let (first, others) = (world.cluster.daemons(frozen), world.cluster.daemons(frozen + 1));
    let start = format!("/api/evacuations/{}/start", ZONES[frozen]);
    let finish = format!("/api/evacuations/{}/finish", ZONES[frozen]);
    let frozen_at = now();
    if trouble() {
        core.signal(SIGSTOP);
    }
    wait(1.5);
    // The operator picks the frozen machine first, and then the next one.
    assert!(order(&first, &finish, "", ACK_TIMEOUT), "the end was not acknowledged");
    wait(1.0);
    assert!(order(&others, &start, "", ACK_TIMEOUT), "the evacuation was not acknowledged");
    let acknowledged = now();
    wait_until(frozen_at + FREEZE);
    let mut judged = acknowledged + EVACUATE;
    if trouble() {
        core.signal(SIGCONT);
        // All machines are in touch from then on.
        judged = judged.max(now() + CONTACT);
    }
    wait_until(judged + COUNTED);
    let seen = world.seen();
    let late = seen.openings.iter().filter(|opening| {
        // Copies of openings that were sent before count for them.
        opening.zone == ZONES[frozen] && opening.at > judged
    });
    let late: Vec<_> = late.collect();
    note(&format!(
        "evacuation of {} acknowledged at {:.3} and not taken back since; judged from {:.3}: {} \
         openings at its servers",
        ZONES[frozen],
        acknowledged.as_secs_f64(),
        judged.as_secs_f64(),
        late.len(),
    ));
    late.iter().take(10).for_each(|opening| note(&format!("{opening:x?}")));
    late.len() > 1
}
