//! A simulated site and the invariants that are checked on it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use galenatrail::{Command, Member, Name, Time, standin::Site};

/// Time after which a server that accepts no new work must receive none.
const GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Length of a simulation step; the invariants are checked after each.
const STEP: Duration = Duration::from_millis(5);

/// A simulated site and the state needed to check its invariants.
pub(crate) struct Watch {
    pub(crate) site: Site,
    pub(crate) chilled: bool,
    pub(crate) uninformed: BTreeSet<Name>,
    vm_index: usize,
    last_flow: u32,
    pending_calls: f64,
    inactive_since: BTreeMap<Name, Time>,
    work_seen: BTreeMap<Name, u64>,
}

impl Watch {
    pub(crate) fn new(seed: u64, zones: &[&str], vms: u8) -> Watch {
        Watch {
            site: Site::new(seed, zones, vms),
            vm_index: 0,
            last_flow: 0,
            pending_calls: 0.0,
            inactive_since: BTreeMap::new(),
            work_seen: BTreeMap::new(),
            chilled: false,
            uninformed: BTreeSet::new(),
        }
    }

    /// Runs with `calls` new requests and `flows` new flows per second across all entry VMs, and
    /// returns the served share of the requests that ended.
    pub(crate) fn run(&mut self, span: Duration, calls: u32, flows: u32) -> f64 {
        let before = self.site.requests;
        let end = self.site.mesh.now() + span;
        while self.site.mesh.now() < end {
            self.pending_calls += f64::from(calls) * STEP.as_secs_f64();
            while self.pending_calls >= 1.0 {
                self.pending_calls -= 1.0;
                let vm = self.next_vm();
                self.site.start_request(&vm);
            }
            if self.site.mesh.now().as_micros().is_multiple_of(100_000) {
                for _ in 0..flows / 10 {
                    let vm = self.next_vm();
                    self.last_flow = (self.last_flow + 1) % 60_000;
                    self.site.send_packet(&vm, self.last_flow, true);
                }
            }
            self.site.step();
            self.check();
        }
        let after = self.site.requests;
        let served = (after.served - before.served) as f64;
        let given_up = (after.timed_out - before.timed_out) as f64;
        served / (served + given_up).max(1.0)
    }

    /// Checks the invariants.
    pub(crate) fn check(&mut self) {
        let now = self.site.mesh.now();
        for (name, backend) in &self.site.backends {
            let work = backend.stats;
            assert_eq!(work.over_slots, 0, "{name} received more requests than it has slots");
            assert!(
                backend.running() <= backend.announce.slots,
                "{name} runs more requests than it has slots"
            );
            assert!(
                self.chilled || work.over_cold == 0,
                "{name} received more requests than its limit while cold: {work:?} at {now:?}"
            );
            let zone = &backend.announce.zone;
            let out = self.site.mesh.state.zones_out.contains_key(zone)
                && !self.uninformed.contains(zone);
            let received = work.completed
                + work.refused
                + u64::from(backend.running())
                + self.site.flow_packets.get(name).copied().unwrap_or(0);
            let before = self.work_seen.insert(name.clone(), received).unwrap_or(0);
            let since = self.inactive_since.get(name).copied();
            if out || backend.announce.draining {
                let since = since.unwrap_or(now);
                self.inactive_since.insert(name.clone(), since);
                let late = now.since(since) > GRACE_PERIOD;
                assert!(
                    !late || received <= before,
                    "{name} received new work after {GRACE_PERIOD:?}"
                );
            } else {
                self.inactive_since.remove(name);
            }
        }
    }

    pub(crate) fn drain(&mut self, server: &str) {
        self.site.backend(server).announce.draining = true;
        self.inactive_since.insert(server.into(), self.site.mesh.now());
    }

    pub(crate) fn heal(&mut self) {
        self.site.heal();
        self.uninformed.clear();
        // VMs of the zone learn only now that servers drain or are out, so the grace period starts
        // anew.
        self.inactive_since.clear();
    }

    pub(crate) fn set_zone_out(&mut self, zone: &str, out: bool) {
        self.site.mesh.apply(Command::Zone { zone: zone.into(), out });
    }

    /// Hides `to` from `vm`, while all other VMs see both.
    pub(crate) fn hide_vm(&mut self, vm: &str, to: &str) {
        let nodes = self.site.mesh.nodes.values();
        let members: Vec<Member> =
            nodes.map(|node| node.me().clone()).filter(|member| &*member.name != to).collect();
        self.site.set_view(vm, &members);
    }

    fn next_vm(&mut self) -> Name {
        self.vm_index += 1;
        let all: Vec<&Name> = self.site.mesh.nodes.keys().collect();
        all[self.vm_index % all.len()].clone()
    }
}
