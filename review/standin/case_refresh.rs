//! A frozen core machine passes on a heartbeat of an earlier start as one of the present start.
//!
//! Two servers make up a service. Both have just sent a heartbeat to a core machine when this one
//! freezes. Meanwhile the servers crash and start again under their ids, with counts that start anew.
//! The machine wakes up. Later one of the servers reports that it drains, and this is acknowledged.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    client::Habit,
    cluster::{CONTACT, DRAIN, SIGCONT, SIGSTOP},
    record::{note, now},
    trouble,
    world::{HUB, HUB_ROUTE, World, wait, wait_until},
};

/// How long the machine is frozen; up to 7.2 s in the site file.
const FREEZE: Duration = Duration::from_millis(4_000);

pub fn play() -> Verdict {
    let mut world = World::start();
    let frozen = world.cluster.follower();
    let profiles = [world.profile(0xa0, HUB, 0, 0), world.profile(0xa1, HUB, 1, 1)];
    let first = profiles.clone().map(|profile| world.server(profile, frozen));
    world.cluster.wait_ready();
    let habit = Habit { requests: 1, pause: Duration::ZERO, gap: Duration::from_millis(150) };
    world.clients(2, HUB_ROUTE, habit);
    // The counts of the first start get well ahead of those of the second.
    wait(45.0);
    world.assert_served();
    thread::scope(|scope| {
        for server in &first {
            scope.spawn(|| assert!(server.beat(), "a heartbeat was not acknowledged"));
        }
    });
    let frozen_at = now();
    if trouble() {
        world.cluster.cores[frozen].signal(SIGSTOP);
    }
    first.iter().for_each(|server| server.exit());
    wait(0.5);
    let again = profiles.map(|profile| world.server(profile, frozen + 1));
    wait_until(frozen_at + FREEZE);
    if trouble() {
        world.cluster.cores[frozen].signal(SIGCONT);
    }
    let calm = now() + CONTACT;
    wait_until(calm + Duration::from_millis(500));
    again[0].drain();
    let drained = now();
    note(&format!("server {:x} has reported that it drains", again[0].id()));
    let judged = drained + DRAIN;
    wait_until(judged + Duration::from_secs(7));
    let taken = |place: usize| {
        let (id, born) = (again[place].id(), again[place].born());
        let seen = world.seen();
        let openings = seen.openings.iter();
        openings.filter(|o| (o.id, o.born) == (id, born) && o.at > judged).count()
    };
    note(&format!(
        "acknowledged at {:.3}, judged from {:.3}: {} openings at the server that drains, {} at the \
         other",
        drained.as_secs_f64(),
        judged.as_secs_f64(),
        taken(0),
        taken(1)
    ));
    assert!(taken(0) + taken(1) > 0, "clients are not served");
    if taken(0) > 1 { Verdict::Broken } else { Verdict::Held }
}
