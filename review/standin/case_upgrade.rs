//! Machines are replaced one after the other by the present build, with their disks.
//!
//! The deployment runs the build of an earlier commit. Each core machine and then each edge machine is
//! stopped in order and started with the present build. Afterwards the operator reads the
//! configuration back.

use std::time::Duration;

use crate::{
    Verdict,
    client::{End, Habit},
    cluster::CONTACT,
    http,
    record::{note, now},
    trouble,
    world::{self, HUB, HUB_ROUTE, World, wait},
};

/// The earlier build, as `review/build.sh` makes it.
const EARLIER: &str = "target/review/old";
/// The configuration that is acknowledged before the upgrade.
const VERSION: u64 = 7;
/// Time between two machines, longer than `catchUpS`.
const GAP: f64 = 5.0;
/// How long the operator reads back, longer than `contactMs`.
const READ_BACK: Duration = Duration::from_secs(12);

pub fn play() -> Verdict {
    // Without the disruption, the same restarts are played with the present build only.
    let earlier = trouble().then_some(EARLIER);
    let mut world = World::start_build(earlier);
    let _servers = world.servers(HUB, 0xa0, 0);
    world.cluster.wait_ready();
    let habit = Habit { requests: 1, pause: Duration::ZERO, gap: Duration::from_millis(200) };
    world.clients(2, HUB_ROUTE, habit);
    wait(3.0);
    world.cluster.configure(&world::config(VERSION));
    wait(1.0);
    world.assert_served();
    let mut ends = 0;
    for place in 0..world.cluster.cores.len() {
        world.cluster.cores[place].upgrade(None);
        ends += watch(&mut world, GAP);
    }
    for place in 0..world.cluster.edges.len() {
        world.cluster.edges[place].upgrade(None);
        ends += watch(&mut world, GAP);
    }
    note("all machines run the present build");
    // Undisturbed for `contactMs`.
    ends += watch(&mut world, CONTACT.as_secs_f64() + 1.0);
    let read_from = now();
    let mut held = false;
    let mut refused = 0;
    while now() < read_from + READ_BACK && !held {
        for daemon in world.cluster.daemons(0) {
            let answer = http::request(daemon, "GET", "/api/config/read", "");
            held |= answer.as_ref().is_some_and(|(status, body)| {
                *status == 200 && body.contains(&format!("\"version\":{VERSION},"))
            });
            refused += usize::from(answer.as_ref().is_none_or(|(status, _)| *status != 200));
            if refused <= 6 || held {
                note(&format!("operator reads the configuration at {daemon}: {answer:?}"));
            }
        }
        ends += watch(&mut world, 0.5);
    }
    let flows = world.ended();
    let after = flows.iter().filter(|flow| flow.sent > read_from);
    let (served, not): (Vec<_>, Vec<_>) = after.partition(|flow| flow.end == End::Closed);
    note(&format!(
        "programs ended by themselves {ends} times; {refused} reads without the configuration; \
         since {:.3}, {} flows were served and {} were not",
        read_from.as_secs_f64(),
        served.len(),
        not.len()
    ));
    for machine in world.cluster.cores.iter().chain(&world.cluster.edges) {
        for line in machine.log_lines("level=ERROR").iter().chain(&machine.errors()).take(3) {
            note(&format!("{}: {line}", machine.name));
        }
    }
    if held { Verdict::Held } else { Verdict::Broken }
}

/// Waits, and starts programs that have ended by themselves again, as the platform does. Returns how
/// often one had.
fn watch(world: &mut World, seconds: f64) -> usize {
    let until = now() + Duration::from_secs_f64(seconds);
    let mut ends = 0;
    while now() < until {
        wait(1.0);
        let machines = world.cluster.cores.iter_mut().chain(&mut world.cluster.edges);
        ends += machines.map(|machine| usize::from(machine.restart_ended(None))).sum::<usize>();
    }
    ends
}
