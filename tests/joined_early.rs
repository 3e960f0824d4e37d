//! Guards against flows that break because a VM joined too early: it asks for records before their
//! owner has the joining VM in its view. The owner cannot yet determine which shards the VM will
//! own, so an answer at that time would be incomplete.

use std::time::Duration;

#[path = "support/flow_world.rs"]
mod flow_world;

use flow_world::World;

const ZONES: [&str; 4] = ["vestland-a", "vestland-b", "vestland-c", "vestland-d"];
const SERVICE: &str = "kalibrering";

fn zone(host: u8) -> &'static str {
    ZONES[usize::from(host) % ZONES.len()]
}

fn run(world: &mut World, millis: u64) {
    world.run(Duration::from_millis(millis), 40);
    world.check();
}

/// The sequence of events in which the random test found the failure.
#[test]
fn flows_outlive_the_owner_that_a_joiner_has_asked_too_early() {
    let mut world = World::new(12_614_785, ZONES);
    world.service("jordprove", 0, SERVICE, "127.0.9.1:80", "tcp");
    for host in 1..=8 {
        world.announce(SERVICE, host, zone(host), false);
    }
    world.run_until_rest(SERVICE, Duration::from_secs(120), 0);
    world.open(SERVICE, 200);
    world.announce(SERVICE, 8, zone(8), false);
    run(&mut world, 2_676);
    world.mesh.duplication = 36;
    run(&mut world, 3_930);
    world.announce(SERVICE, 20, zone(20), false);
    run(&mut world, 3_626);
    world.open(SERVICE, 149);
    run(&mut world, 3_911);
    world.kill_busiest();
    run(&mut world, 235);
    run(&mut world, 2_806);
    run(&mut world, 3_824);
    world.open(SERVICE, 144);
    run(&mut world, 2_102);
    world.join("joiner-1", ZONES[1]);
    run(&mut world, 2_288);
    world.announce(SERVICE, 2, zone(2), false);
    run(&mut world, 227);
    world.join("joiner-2", ZONES[2]);
    run(&mut world, 3_479);
    world.kill_busiest();
    run(&mut world, 2_087);
}
