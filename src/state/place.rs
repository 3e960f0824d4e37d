//! Computes the targets of each service's flow placement from its backend servers.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    flow::{Step, Target},
    name::Name,
    state::{Announce, Command, QuarantinedAddr, State},
};

/// Services whose targets a command may change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Scope {
    /// All services.
    All,
    /// These services.
    Only(BTreeSet<Name>),
}

/// The targets of one service.
#[derive(Debug, Default)]
struct ServiceTargets {
    eligible: Vec<Target>,
    /// Targets in availability zones that are out.
    leaving: Vec<Target>,
}

impl Scope {
    fn one(service: Option<Name>) -> Scope {
        Scope::Only(service.into_iter().collect())
    }

    /// Adds the services of `other`.
    pub(super) fn merge(&mut self, other: Scope) {
        match (&mut *self, other) {
            (Scope::Only(services), Scope::Only(more)) => services.extend(more),
            _ => *self = Scope::All,
        }
    }

    fn contains(&self, service: &Name) -> bool {
        match self {
            Scope::All => true,
            Scope::Only(services) => services.contains(service),
        }
    }
}

impl State {
    /// Returns the services affected by `command` in the current state. The services whose targets
    /// it may change are those affected before or after it is applied.
    pub(super) fn affected_services(&self, command: &Command) -> Scope {
        let service =
            |server: &Name| Scope::one(self.servers.get(server).map(|s| s.service.clone()));
        match command {
            Command::Server(announce) | Command::Report { announce, .. } => {
                // A report may complete a ramp step that is shared by all servers of the zone.
                if self.returning.contains_key(&announce.zone) {
                    return Scope::All;
                }
                service(&announce.server)
            }
            Command::Gone { server } | Command::Drain { server, .. } => service(server),
            Command::Step { step: Step::Release { .. }, .. } => Scope::All,
            Command::Step { .. } | Command::Whole(_) => Scope::one(None),
            Command::Apply { .. } | Command::Zone { .. } | Command::Rights { .. } => Scope::All,
        }
    }

    /// Updates the placement targets of the services in `scope`.
    pub(super) fn update_placements(&mut self, scope: &Scope) {
        let services = self.tree.services().map(|(_, name, _)| name);
        let services: BTreeSet<Name> =
            services.filter(|name| scope.contains(name)).cloned().collect();
        self.quarantine_server_addrs(scope, &services);
        self.placements.retain(|name, _| !scope.contains(name) || services.contains(name));
        let mut targets = self.eligible_targets(&services);
        let index = self.index;
        for service in services {
            let ServiceTargets { eligible, leaving } = targets.remove(&service).unwrap_or_default();
            let placement = self.placements.entry(service).or_default();
            placement.retarget_leaving(eligible, leaving, index);
        }
    }

    /// Quarantines the addresses of backend servers that left their service.
    fn quarantine_server_addrs(&mut self, scope: &Scope, services: &BTreeSet<Name>) {
        for (service, placement) in self.placements.iter().filter(|(name, _)| scope.contains(name))
        {
            for target in placement.targets() {
                let stays = services.contains(service)
                    && self.servers.get(&target.name).is_some_and(|server| {
                        server.service == *service && server.packets == target.packets
                    });
                if !stays {
                    let quarantined =
                        QuarantinedAddr { service: service.clone(), generation: self.index };
                    self.quarantine.insert(target.packets, quarantined);
                }
            }
        }
    }

    /// Returns the targets of each service. A target with weight 0 keeps its existing flows only;
    /// one in an availability zone that is out keeps none once its buckets have moved.
    fn eligible_targets(&self, services: &BTreeSet<Name>) -> BTreeMap<Name, ServiceTargets> {
        let mut targets: BTreeMap<Name, ServiceTargets> = BTreeMap::new();
        for server in self.servers.values().filter(|server| services.contains(&server.service)) {
            if !self.may_use_addr(&server.service, server.packets) {
                continue;
            }
            let targets = targets.entry(server.service.clone()).or_default();
            let is_out = self.zones_out.contains_key(&server.zone);
            let list = if is_out { &mut targets.leaving } else { &mut targets.eligible };
            list.push(self.target(server));
        }
        targets
    }

    fn target(&self, server: &Announce) -> Target {
        let weight = self.share(server).unwrap_or(0);
        Target { name: server.server.clone(), packets: server.packets, weight }
    }

    /// Returns whether `service` may use `addr`: it is not quarantined for another service.
    pub(crate) fn may_use_addr(&self, service: &str, addr: std::net::SocketAddr) -> bool {
        self.quarantine.get(&addr).is_none_or(|quarantined| *quarantined.service == *service)
    }
}
