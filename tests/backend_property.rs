//! Random sequences of failures and changes of backend servers, entry VMs and availability zones.

#[path = "support/watch.rs"]
mod watch;

use std::time::Duration;

use proptest::{
    prelude::{Just, Strategy, prop_oneof},
    sample::select,
    test_runner::{Config, TestRunner},
};
use watch::Watch;

const ZONES: [&str; 3] = ["sofia-a", "plovdiv", "varna"];
const VMS: [&str; 6] = ["sofia-a-1", "sofia-a-2", "plovdiv-1", "plovdiv-2", "varna-1", "varna-2"];
const CASES: u32 = 10;
const EVENTS: usize = 12;

#[derive(Debug, Clone)]
enum Event {
    Run(u64),
    Kill(&'static str),
    Start(&'static str),
    HideVm(&'static str, &'static str),
    ShareViews,
    Hold(&'static str),
    Cut(&'static str),
    Heal,
    Zone(&'static str, bool),
    Restart(u8),
    Drain(u8),
    Shed(u8, bool),
    Health(u8, bool),
    Loss(u32, u32),
}

fn event() -> impl Strategy<Value = Event> {
    let server = 0..6u8;
    prop_oneof![
        4 => (100..4_000u64).prop_map(Event::Run),
        1 => select(&VMS[..]).prop_map(Event::Kill),
        2 => select(&VMS[..]).prop_map(Event::Start),
        1 => (select(&VMS[..]), select(&VMS[..])).prop_map(|(vm, to)| Event::HideVm(vm, to)),
        1 => Just(Event::ShareViews),
        1 => select(&VMS[..]).prop_map(Event::Hold),
        1 => select(&ZONES[..]).prop_map(Event::Cut),
        2 => Just(Event::Heal),
        2 => (select(&ZONES[..]), proptest::bool::ANY).prop_map(|(zone, out)| Event::Zone(zone, out)),
        2 => server.clone().prop_map(Event::Restart),
        1 => server.clone().prop_map(Event::Drain),
        1 => (server.clone(), proptest::bool::ANY).prop_map(|(server, on)| Event::Shed(server, on)),
        1 => (server, proptest::bool::ANY).prop_map(|(server, on)| Event::Health(server, on)),
        1 => (0..100u32, 0..100u32).prop_map(|(loss, repeats)| Event::Loss(loss, repeats)),
    ]
}

fn apply(watch: &mut Watch, event: &Event, starts: &mut u64) {
    let site = &mut watch.site;
    let is_up = |site: &galenatrail::standin::Site, vm: &str| site.mesh.nodes.contains_key(vm);
    let name = |server: u8| format!("cert-desk-{}", server + 1);
    match *event {
        Event::Run(ms) => _ = watch.run(Duration::from_millis(ms), 60, 0),
        // The last VM is not killed, as requests need a VM to go to.
        Event::Kill(vm) if is_up(site, vm) && site.mesh.nodes.len() > 1 => site.kill(vm),
        Event::Start(vm) if !is_up(site, vm) => {
            *starts += 1;
            let (zone, _) = vm.rsplit_once('-').expect("a VM is named after its zone");
            site.start(vm, zone, *starts);
        }
        Event::HideVm(vm, to) if vm != to && is_up(site, vm) => watch.hide_vm(vm, to),
        Event::ShareViews => site.share_views(),
        Event::Hold(vm) => _ = site.mesh.held.insert(vm.into()),
        Event::Cut(zone) => site.cut_off(zone),
        Event::Heal => watch.heal(),
        Event::Zone(zone, out) => watch.set_zone_out(zone, out),
        Event::Restart(server) => site.restart(&name(server)),
        Event::Drain(server) => watch.drain(&name(server)),
        Event::Shed(server, on) => site.backend(&name(server)).refuse_all = on,
        Event::Health(server, fine) => site.backend(&name(server)).healthy = fine,
        Event::Loss(loss, repeats) => {
            (site.mesh.loss, site.mesh.duplication) = (loss, repeats);
        }
        Event::Kill(_) | Event::Start(_) | Event::HideVm(..) => {}
    }
    watch.check();
}

/// In any order of events, slots are never exceeded, cold servers receive no more than their limit,
/// and servers that are draining or out receive no new work.
#[test]
fn any_order() {
    let config = Config {
        cases: CASES,
        max_shrink_iters: 40,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = proptest::collection::vec(event(), 1..EVENTS);
    let result = runner.run(&events, |events| {
        let mut watch = Watch::new(7, &ZONES, 2);
        for zone in ZONES {
            watch.site.add_servers("cert-desk", zone, 2);
        }
        watch.run(Duration::from_secs(15), 60, 0);
        let mut starts = 1;
        for event in &events {
            apply(&mut watch, event, &mut starts);
        }
        watch.run(Duration::from_secs(3), 60, 0);
        Ok(())
    });
    result.unwrap_or_else(|err| panic!("{err}"));
}
