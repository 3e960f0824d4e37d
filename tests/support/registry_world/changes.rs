//! What happens to servers and control VMs.

use std::time::Duration;

use galenatrail::{Announcement, ServerRegistry};
use rand::RngExt;

use super::{ADDRESS_REUSE, Message, PERIOD, Server, World, address, at};

impl World {
    /// Starts a server of `service` under a new id, at the address `place` if that is free.
    pub(crate) fn start(&mut self, service: &str, place: u8) {
        self.next_id += 1;
        self.start_as(self.next_id, service, place);
    }

    /// Starts a server that has ended again, under its id, at the address `place` if that is free.
    pub(crate) fn start_again(&mut self, number: usize, place: u8) {
        let ended: Vec<_> = self.servers.iter().filter(|server| !server.lives()).collect();
        if ended.is_empty() {
            return;
        }
        let Announcement { id, service, .. } = ended[number % ended.len()].announcement.clone();
        if !self.servers.iter().any(|server| server.lives() && server.announcement.id == id) {
            self.start_as(id, &service, place);
        }
    }

    fn start_as(&mut self, id: u64, service: &str, place: u8) {
        let addr = address(place);
        let is_taken = |server: &Server| {
            let reusable = server.ended_at.map(|at| at + ADDRESS_REUSE);
            server.announcement.addr == addr && reusable.is_none_or(|at| at > self.now)
        };
        if self.servers.iter().any(is_taken) {
            return;
        }
        self.next_incarnation += self.rng.random_range(1..500);
        let announcement = Announcement {
            id,
            service: service.into(),
            addr,
            zone: "a".into(),
            draining: false,
            warmup_left: Duration::ZERO,
            incarnation: self.next_incarnation,
            sequence: 0,
            slots: 2,
        };
        self.servers.push(Server {
            announcement,
            started_at: self.now,
            ended_at: None,
            drains_since: None,
            acknowledged_at: None,
            leaves_until: None,
            next_call: self.now,
            heard_at: self.now,
        });
    }

    /// Makes a server that is ready drain, and leave later.
    pub(crate) fn drain(&mut self, number: usize) {
        let now = self.now;
        if let Some(server) = self.pick(number).filter(|server| server.drains_since.is_none()) {
            server.drains_since = Some(now);
            server.announcement.draining = true;
            server.next_call = now;
        }
    }

    /// Ends a server without a word.
    pub(crate) fn crash(&mut self, number: usize) {
        let now = self.now;
        if let Some(server) = self.pick(number) {
            server.ended_at = Some(now);
        }
    }

    fn pick(&mut self, number: usize) -> Option<&mut Server> {
        let count = self.servers.iter().filter(|server| server.lives()).count();
        let mut living = self.servers.iter_mut().filter(|server| server.lives());
        living.nth(number.checked_rem(count)?)
    }

    /// Sends what another writer may send: a server of a service that does not exist, with an id and
    /// an address of servers that live or have lived.
    pub(crate) fn interfere(&mut self, vm: usize, number: usize, place: u8) {
        let Some(server) = self.pick(number) else { return };
        let announcement = Announcement {
            service: "ghost".into(),
            addr: address(place),
            incarnation: 1_000_000,
            sequence: 1_000_000,
            ..server.announcement.clone()
        };
        self.deliver(vm % self.vms.len(), Message::Heartbeat(announcement));
    }

    /// Names another service, which reaches the VMs one after the other.
    pub(crate) fn name(&mut self, service: &str) {
        self.services.insert(service.into());
        self.named_at.entry(service.into()).or_insert(self.now);
        for vm in 0..self.vms.len() {
            let at = self.now + self.rng.random_range(5..800);
            self.push(at, vm, Message::Services(self.services.clone()));
        }
    }

    /// Suspends a VM; what it is sent meanwhile waits.
    pub(crate) fn freeze(&mut self, vm: usize, millis: u64) {
        let vm = vm % self.vms.len();
        self.vms[vm].frozen_until = self.vms[vm].frozen_until.max(self.now + millis);
        self.vms[vm].disturbed_at = self.now;
    }

    /// Kills a VM and starts it again, with what it has saved unless its disk is `wiped`.
    pub(crate) fn restart(&mut self, number: usize, wiped: bool) {
        let (place, now) = (number % self.vms.len(), self.now);
        let vm = &mut self.vms[place];
        let (saved, services) =
            if wiped { Default::default() } else { (vm.saved.clone(), vm.saved_services.clone()) };
        vm.registry = ServerRegistry::new(at(now), Duration::from_millis(PERIOD))
            .with_services(services)
            .with_cached(saved);
        vm.inbox.clear();
        (vm.frozen_until, vm.disturbed_at) = (0, now);
        self.queue.retain(|_, (to, message)| {
            *to != place || matches!(message, Message::Connected(_) | Message::Services(_))
        });
        let plan_at = now + self.rng.random_range(50..1_000);
        self.push(plan_at, place, Message::Services(self.services.clone()));
        self.connect(place);
    }
}
