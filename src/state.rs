//! Replicated state that every VM computes from the configuration log.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    backend::Standing,
    error::{Error, Result},
    flow::{Placement, Step},
    name::{Name, check_name},
    routing_config::RoutingConfig,
    tree::{Branch, Rights, Tree},
};

mod place;

/// Weight of a backend server that receives its full share of work.
pub(crate) const FULL_WEIGHT: u32 = 100;

/// Announcement of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Announce {
    /// Name of the backend server.
    pub server: Name,
    /// The service that it serves.
    pub service: Name,
    /// The availability zone that it runs in.
    pub zone: Name,
    /// Address for encapsulated packets.
    pub packets: SocketAddr,
    /// Address for requests, health checks and load reports.
    pub requests: SocketAddr,
    /// Boot number, increasing with every start of the server. A higher number restarts its
    /// warm-up.
    pub boot: u64,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Whether the server is draining and accepts no new work.
    pub draining: bool,
}

/// A command in the configuration log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Command {
    /// An operator replaces a team's branch.
    Apply {
        /// The team.
        team: Name,
        /// Revision of the branch that the change is based on.
        base: u64,
        /// The new branch.
        branch: Branch,
    },
    /// An operator takes an availability zone out of service or returns it.
    Zone {
        /// The availability zone.
        zone: Name,
        /// Whether the zone is taken out of service.
        out: bool,
    },
    /// An operator starts or ends draining a backend server.
    Drain {
        /// Name of the backend server.
        server: Name,
        /// Whether the server accepts no new work.
        draining: bool,
    },
    /// An operator replaces the access rights.
    Rights {
        /// Revision of the rights that the change is based on.
        base: u64,
        /// The new rights.
        rights: Rights,
    },
    /// An operator replaces the whole configuration. Ignored unless its number is higher than the
    /// current one.
    Whole(Arc<RoutingConfig>),
    /// Adds or updates a backend server without a home VM. It receives its full share immediately.
    Server(Announce),
    /// A home VM reports a backend server.
    Report {
        /// The server's announcement.
        announce: Announce,
        /// The server's standing as determined by its home VM.
        standing: Standing,
    },
    /// A home VM reports that a backend server is gone.
    Gone {
        /// Name of the backend server.
        server: Name,
    },
    /// The control leader or an owner advances the move of a service's buckets by one step.
    Step {
        /// Name of the service.
        service: Name,
        /// The step.
        step: Step,
    },
}

/// A quarantined address: another service may use it only after its release.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantinedAddr {
    /// Name of the service that used the address.
    pub service: Name,
    /// Index of the log entry that quarantined the address.
    pub generation: u64,
}

impl Command {
    /// Returns the approximate size of a whole configuration in bytes, or 0 for other commands.
    pub(crate) fn approx_size(&self) -> usize {
        /// Approximate size of a route with one share, in bytes.
        const ROUTE_LEN: usize = 96;
        match self {
            Command::Whole(whole) => whole.source.len() + whole.routes.len() * ROUTE_LEN,
            _ => 0,
        }
    }

    /// Returns the order that undoes this one, if it is an order without a number or revision: of
    /// two such orders, the later one wins.
    pub(crate) fn opposite(&self) -> Option<Command> {
        match self {
            Command::Zone { zone, out } => Some(Command::Zone { zone: zone.clone(), out: !out }),
            Command::Drain { server, draining } => {
                Some(Command::Drain { server: server.clone(), draining: !draining })
            }
            _ => None,
        }
    }

    /// Describes what an operator changes with the command, or `None` if it is a report from a VM
    /// of the system.
    pub fn subject(&self) -> Option<Name> {
        match self {
            Command::Apply { team, .. } => Some(format!("branch {team}").into()),
            Command::Zone { zone, out } => {
                Some(format!("zone {} {zone}", if *out { "out" } else { "in" }).into())
            }
            Command::Drain { server, draining: true } => Some(format!("drain {server}").into()),
            Command::Drain { server, .. } => Some(format!("drain --end {server}").into()),
            Command::Rights { .. } => Some("rights".into()),
            Command::Whole(whole) => Some(format!("whole {}", whole.number).into()),
            _ => None,
        }
    }
}

/// Outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The command was applied.
    Accepted {
        /// Revision of the branch or of the rights after the change, or 0 for other commands.
        revision: u64,
    },
    /// The command was refused and changed nothing.
    Refused {
        /// Reason and remedy.
        message: Name,
    },
}

/// State after applying a prefix of the configuration log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct State {
    /// Number of commands applied.
    pub index: u64,
    /// The settings tree.
    pub tree: Tree,
    /// Availability zones taken out of service.
    pub zones_out: BTreeMap<Name, u64>,
    /// Availability zones that are returning to service, with the current step of their ramp.
    pub returning: BTreeMap<Name, u8>,
    /// Backend servers drained by operators.
    pub drains: BTreeSet<Name>,
    /// Backend servers by name.
    pub servers: BTreeMap<Name, Announce>,
    /// Standings reported by the backend servers' home VMs.
    pub standings: BTreeMap<Name, Standing>,
    /// Flow placement by service.
    pub placements: BTreeMap<Name, Placement>,
    /// The whole configuration, if operators use numbered configurations.
    pub whole: Option<Arc<RoutingConfig>>,
    /// Quarantined addresses of services and backend servers.
    pub quarantine: BTreeMap<SocketAddr, QuarantinedAddr>,
}

impl State {
    /// Creates the state before the first command.
    pub fn new() -> State {
        State::default()
    }

    /// Applies the next command of the log.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        self.index += 1;
        let mut scope = self.affected_services(command);
        let result = self.execute(command);
        scope.merge(self.affected_services(command));
        self.update_placements(&scope);
        match result {
            Ok(revision) => Outcome::Accepted { revision },
            Err(err) => Outcome::Refused { message: err.to_string().into() },
        }
    }

    fn execute(&mut self, command: &Command) -> Result<u64> {
        match command {
            Command::Apply { team, base, branch } => {
                let before = self.service_addrs();
                let revision = self.tree.replace_branch(team, *base, branch.clone())?;
                self.quarantine_service_addrs(before);
                return Ok(revision);
            }
            Command::Rights { base, rights } => {
                return self.tree.replace_rights(*base, rights.clone());
            }
            Command::Drain { server, draining: true } => {
                check_name(server)?;
                self.drains.insert(server.clone());
            }
            Command::Drain { server, draining: false } => {
                self.drains.remove(server);
            }
            Command::Zone { zone, out: true } => {
                check_name(zone)?;
                self.zone_out(zone);
            }
            Command::Zone { zone, out: false } => {
                self.zone_in(zone);
            }
            Command::Whole(whole) => {
                whole.check()?;
                if self.whole.as_ref().is_none_or(|held| held.number < whole.number) {
                    self.whole = Some(whole.clone());
                }
            }
            Command::Server(announce) => {
                self.standings.remove(&announce.server);
                self.servers.insert(announce.server.clone(), announce.clone());
            }
            Command::Report { announce, standing } => {
                let mut standing = standing.clone();
                standing.weight = standing.weight.min(FULL_WEIGHT);
                self.servers.insert(announce.server.clone(), announce.clone());
                self.standings.insert(announce.server.clone(), standing);
                self.advance_zone_step(&announce.zone);
            }
            Command::Gone { server } => {
                self.servers.remove(server);
                self.standings.remove(server);
            }
            Command::Step { service, step } => return self.apply_step(service, step),
        }
        Ok(0)
    }

    fn service_addrs(&self) -> BTreeMap<SocketAddr, Name> {
        self.tree.services().map(|(_, name, spec)| (spec.socket_addr(), name.clone())).collect()
    }

    /// Quarantines the service addresses of `before` that now have no service or another one.
    fn quarantine_service_addrs(&mut self, before: BTreeMap<SocketAddr, Name>) {
        let after = self.service_addrs();
        for (addr, service) in before {
            if after.get(&addr) != Some(&service) {
                self.quarantine.insert(addr, QuarantinedAddr { service, generation: self.index });
            }
        }
    }

    fn apply_step(&mut self, service: &Name, step: &Step) -> Result<u64> {
        if let Step::Release { generation } = step {
            self.quarantine.retain(|_, quarantined| {
                quarantined.service != *service || quarantined.generation > *generation
            });
            return Ok(0);
        }
        let Some(placement) = self.placements.get_mut(service) else {
            return Err(Error::config(format!("there is no service {service}; name one that is")));
        };
        placement.step(step, self.index);
        Ok(0)
    }
}
