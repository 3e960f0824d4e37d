//! A server that started again under its id at another address is taken for gone once its former
//! address goes to another server.
//!
//! All of this is planned work: the server drains, leaves and ends, it starts again under the same id
//! on another machine, and later its former address is assigned to a new server of another service.

use std::time::Duration;

use crate::{
    Verdict,
    client::{End, Habit},
    cluster::{ADDR_REUSE, DRAIN},
    record::{note, now},
    trouble,
    world::{DESK, HUB, HUB_ROUTE, World, wait, wait_until},
};

pub fn play() -> Verdict {
    let mut world = World::start();
    let servers = world.servers(HUB, 0xa0, 0);
    let _desks = world.servers(DESK, 0xd0, 10);
    world.cluster.wait_ready();
    let habit =
        Habit { requests: 8, pause: Duration::from_millis(700), gap: Duration::from_millis(200) };
    world.clients(6, HUB_ROUTE, habit);
    wait(7.0);
    world.assert_served();
    let first = &servers[0];
    first.drain();
    wait(DRAIN.as_secs_f64() + 3.0);
    assert!(first.leave(), "the server's end was not acknowledged");
    first.exit();
    let ended = now();
    wait(1.0);
    // The server starts again under its id, on another machine.
    let again = world.server(world.profile(first.id(), HUB, 0, 20), 0);
    wait_until(ended + ADDR_REUSE + Duration::from_secs(8));
    let before = openings(&world, again.id(), again.born());
    note(&format!("the server that started again has taken {before} openings"));
    assert!(before > 0, "the server that started again is not used");
    // Its former address goes to a new server of another service; without the disruption, another
    // address does.
    let place = if trouble() { 0 } else { 21 };
    let _new = world.server(world.profile(0xdf, DESK, 1, place), 1);
    wait(12.0);
    let broken = world.broken_flows(&again, Duration::ZERO);
    note(&format!("{} flows open at a server that lives were reset by the system", broken.len()));
    for flow in broken.iter().take(10) {
        note(&format!("{flow:?}"));
    }
    let after = openings(&world, again.id(), again.born()) - before;
    note(&format!("the server that started again took {after} openings after that"));
    let reset = world.ended().iter().filter(|flow| flow.end == End::ResetBySystem).count();
    note(&format!("{reset} open flows were reset by the system in all"));
    if broken.is_empty() { Verdict::Held } else { Verdict::Broken }
}

fn openings(world: &World, id: u64, born: u64) -> usize {
    let seen = world.seen();
    seen.openings.iter().filter(|opening| (opening.id, opening.born) == (id, born)).count()
}
