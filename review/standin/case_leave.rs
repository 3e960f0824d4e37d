//! A server's leave that a cut has held up ends the server's next start.
//!
//! A server drains, and is then cut off from all machines of the system for some seconds. It reports
//! that it leaves, gets no acknowledgement and exits. Its machine starts it again under the same id,
//! still behind the cut. When the cut has healed, the server's heartbeats are acknowledged. A little
//! later the report of the earlier start arrives.

use std::time::Duration;

use crate::{
    Verdict,
    client::{End, Habit},
    cluster::{CONTACT, DRAIN},
    proxy::{self, Cut},
    record::{note, now},
    trouble,
    world::{HUB, HUB_ROUTE, World, wait, wait_until},
};

/// How long the server is cut off; node_cut lasts up to 10 s in the site file.
const CUT: Duration = Duration::from_millis(8_500);

pub fn play() -> Verdict {
    let mut world = World::start();
    let _servers = world.servers(HUB, 0xa0, 0);
    let cut = Cut::default();
    let daemons: Vec<_> = world
        .cluster
        .daemons(0)
        .into_iter()
        .map(|daemon| proxy::start(world.cluster.net.ip(90), daemon, &cut))
        .collect();
    let profile = world.profile(0xaf, HUB, 0, 20);
    let first = world.server(profile.clone(), 0);
    first.set_daemons(daemons.clone());
    world.cluster.wait_ready();
    let habit =
        Habit { requests: 8, pause: Duration::from_millis(700), gap: Duration::from_millis(200) };
    world.clients(12, HUB_ROUTE, habit);
    wait(7.0);
    world.assert_served();
    first.drain();
    wait(DRAIN.as_secs_f64() + 6.0);
    let cut_at = now();
    if trouble() {
        note("the server is cut off from all machines of the system");
        cut.start(CUT);
    }
    first.leave();
    first.exit();
    wait_until(cut_at + Duration::from_millis(4_500));
    let again = world.server(profile, 0);
    again.set_daemons(daemons);
    let healed = cut_at + CUT;
    wait_until(healed + Duration::from_secs(14));
    let calm = if trouble() { healed } else { Duration::ZERO };
    let broken = world.broken_flows(&again, calm);
    note(&format!(
        "{} flows open at a server that lives were reset by the system after {:.3}, {:.0} s after \
         the cut",
        broken.len(),
        (calm + CONTACT).as_secs_f64(),
        CONTACT.as_secs_f64()
    ));
    broken.iter().take(10).for_each(|flow| note(&format!("{flow:?}")));
    let reset = world.ended().iter().filter(|flow| flow.end == End::ResetBySystem).count();
    note(&format!("{reset} open flows were reset by the system in all"));
    let taken = |from: Duration| {
        let seen = world.seen();
        let at_server = |opening: &&crate::server::Opening| {
            (opening.id, opening.born) == (again.id(), again.born()) && opening.at > from
        };
        seen.openings.iter().filter(at_server).count()
    };
    let last = healed + Duration::from_secs(8);
    note(&format!(
        "the server that started again took {} openings, {} of them after {:.3}",
        taken(Duration::ZERO),
        taken(last),
        last.as_secs_f64()
    ));
    assert!(taken(Duration::ZERO) > 0, "the server that started again is not used");
    if broken.is_empty() { Verdict::Held } else { Verdict::Broken }
}
