//! A heartbeat of another writer, which names no server to use, ends a server that lives.
//!
//! Another writer sends one heartbeat that has no `maxConcurrency`, and later one for a service that
//! no configuration names. Each gives the address of a server that lives.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::{
    Verdict,
    client::{End, Habit},
    http,
    record::note,
    trouble,
    world::{HUB, HUB_ROUTE, World, wait},
};

pub fn play() -> Verdict {
    let mut world = World::start();
    let servers = world.servers(HUB, 0xa0, 0);
    world.cluster.wait_ready();
    let habit =
        Habit { requests: 8, pause: Duration::from_millis(700), gap: Duration::from_millis(200) };
    world.clients(6, HUB_ROUTE, habit);
    wait(8.0);
    world.assert_served();
    let count = |place: usize| world.broken_flows(&servers[place], Duration::ZERO).len();
    if trouble() {
        send(&world, 0xe1, 0, HUB, "");
    }
    wait(8.0);
    let missing = count(0);
    if trouble() {
        send(&world, 0xe2, 1, "other", "\"maxConcurrency\":2,");
    }
    wait(8.0);
    let unnamed = count(1);
    note(&format!(
        "flows open at a server that lives that the system reset: {missing} after the heartbeat \
         without maxConcurrency, {unnamed} after the one for a service that is not named"
    ));
    for place in 0..2 {
        let flows = world.broken_flows(&servers[place], Duration::ZERO);
        flows.iter().take(5).for_each(|flow| note(&format!("{flow:?}")));
    }
    let reset = world.ended().iter().filter(|flow| flow.end == End::ResetBySystem).count();
    note(&format!("{reset} open flows were reset by the system in all"));
    if missing + unnamed == 0 { Verdict::Held } else { Verdict::Broken }
}

/// Sends a heartbeat of another writer with the address of server `place`.
fn send(world: &World, id: u64, place: u8, service: &str, concurrency: &str) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set").as_millis();
    let addr = world.profile(id, HUB, 0, place).addr;
    let body = format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"zone-a\",\
         \"version\":\"v1\",{concurrency}\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":1,\
         \"born\":{born}}}"
    );
    let daemon = world.cluster.daemons(0)[0];
    note(&format!("another writer sends to {daemon} for i-{id:x}: {body}"));
    let answer =
        http::request(daemon, "POST", &format!("/api/instances/i-{id:x}/heartbeat"), &body);
    note(&format!("answer: {answer:?}"));
}
