//! The targets of each service's placement, made from the backend servers.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    flow::{Step, Target},
    name::Name,
    state::{Announce, Command, Given, State},
};

/// Services whose targets a command may change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Scope {
    /// Every service.
    Every,
    /// These services.
    Only(BTreeSet<Name>),
}

impl Scope {
    fn one(service: Option<Name>) -> Scope {
        Scope::Only(service.into_iter().collect())
    }

    /// Takes in the services of `other` too.
    pub(super) fn extend(&mut self, other: Scope) {
        match (&mut *self, other) {
            (Scope::Only(services), Scope::Only(more)) => services.extend(more),
            _ => *self = Scope::Every,
        }
    }

    fn has(&self, service: &Name) -> bool {
        match self {
            Scope::Every => true,
            Scope::Only(services) => services.contains(service),
        }
    }
}

impl State {
    /// Returns the services that `command` concerns as the state is now; before and after the
    /// command together these are all whose targets it may change.
    pub(super) fn scope(&self, command: &Command) -> Scope {
        let service =
            |server: &Name| Scope::one(self.servers.get(server).map(|s| s.service.clone()));
        match command {
            Command::Server(announce) | Command::Report { announce, .. } => {
                // A report may end a step of the ramp that its whole availability zone shares.
                if self.returning.contains_key(&announce.zone) {
                    return Scope::Every;
                }
                service(&announce.server)
            }
            Command::Gone { server } | Command::Drain { server, .. } => service(server),
            Command::Step { step: Step::Release { .. }, .. } => Scope::Every,
            Command::Step { .. } | Command::Whole(_) => Scope::one(None),
            Command::Apply { .. } | Command::Zone { .. } | Command::Rights { .. } => Scope::Every,
        }
    }

    /// Hands the targets of the services in `scope` to their placements.
    pub(super) fn place(&mut self, scope: &Scope) {
        let services = self.tree.services().map(|(_, name, _)| name);
        let services: BTreeSet<Name> = services.filter(|name| scope.has(name)).cloned().collect();
        self.give_up(scope, &services);
        self.placements.retain(|name, _| !scope.has(name) || services.contains(name));
        let mut targets = self.eligible(&services);
        for service in services {
            let targets = targets.remove(&service).unwrap_or_default();
            let index = self.index;
            self.placements.entry(service).or_default().retarget(targets, index);
        }
    }

    /// Puts the addresses of backend servers that left their service into quarantine.
    fn give_up(&mut self, scope: &Scope, services: &BTreeSet<Name>) {
        for (service, placement) in self.placements.iter().filter(|(name, _)| scope.has(name)) {
            for target in placement.targets() {
                let stays = services.contains(service)
                    && self.servers.get(&target.name).is_some_and(|server| {
                        server.service == *service && server.packets == target.packets
                    });
                if !stays {
                    let given = Given { service: service.clone(), generation: self.index };
                    self.quarantine.insert(target.packets, given);
                }
            }
        }
    }

    /// Returns the targets of each service, and with weight 0 those that keep their old flows.
    fn eligible(&self, services: &BTreeSet<Name>) -> BTreeMap<Name, Vec<Target>> {
        let mut targets: BTreeMap<Name, Vec<Target>> = BTreeMap::new();
        for server in self.servers.values().filter(|server| services.contains(&server.service)) {
            let is_out = self.zones_out.contains_key(&server.zone);
            if is_out || !self.may_have(&server.service, server.packets) {
                continue;
            }
            targets.entry(server.service.clone()).or_default().push(self.target(server));
        }
        targets
    }

    fn target(&self, server: &Announce) -> Target {
        let weight = self.share(server).unwrap_or(0);
        Target { name: server.server.clone(), packets: server.packets, weight }
    }

    /// Returns whether `service` may have this address: it is not in quarantine after another.
    pub(crate) fn may_have(&self, service: &str, addr: std::net::SocketAddr) -> bool {
        self.quarantine.get(&addr).is_none_or(|given| *given.service == *service)
    }
}
