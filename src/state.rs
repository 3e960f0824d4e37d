//! The replicated state: what every VM computes from the same configuration log.

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

/// Weight of a backend server that takes its full share.
pub(crate) const FULL_WEIGHT: u32 = 100;

/// A backend server as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Announce {
    /// Name of the backend server.
    pub server: Name,
    /// Service that it serves.
    pub service: Name,
    /// Availability zone that it runs in.
    pub zone: Name,
    /// Where encapsulated packets go.
    pub packets: SocketAddr,
    /// Where requests, health and load are answered.
    pub requests: SocketAddr,
    /// Number of its start; a higher one means that it is cold again.
    pub boot: u64,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it bears.
    pub connections: u32,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// One entry of the configuration log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Command {
    /// An operator replaces the branch of a team.
    Apply {
        /// The team.
        team: Name,
        /// Revision of the branch that the change was made from.
        base: u64,
        /// The new branch.
        branch: Branch,
    },
    /// An operator takes an availability zone out or back in.
    Zone {
        /// The availability zone.
        zone: Name,
        /// Whether it is out.
        out: bool,
    },
    /// An operator drains a backend server, or lets it take new work again.
    Drain {
        /// Name of the backend server.
        server: Name,
        /// Whether it takes no new work.
        draining: bool,
    },
    /// An operator replaces the rights.
    Rights {
        /// Revision of the rights that the change was made from.
        base: u64,
        /// The new rights.
        rights: Rights,
    },
    /// An operator replaces the whole configuration; one whose number is not higher than the
    /// number in force changes nothing.
    Whole(Arc<RoutingConfig>),
    /// A backend server that no home VM ramps: it takes its full share at once.
    Server(Announce),
    /// A home VM reports a backend server.
    Report {
        /// What the server announced.
        announce: Announce,
        /// What its home makes of it.
        standing: Standing,
    },
    /// A home VM reports that a backend server is gone.
    Gone {
        /// Name of the backend server.
        server: Name,
    },
    /// The control leader or an owner moves buckets of a service one step on.
    Step {
        /// Name of the service.
        service: Name,
        /// The step.
        step: Step,
    },
}

/// An address that a service gave up; no other service may have it before its release.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Given {
    /// Name of the service that had it.
    pub service: Name,
    /// Index of the log entry by which the service gave it up.
    pub generation: u64,
}

impl Command {
    /// Returns about how many bytes the command takes in memory, where that may be many.
    pub(crate) fn len(&self) -> usize {
        /// Bytes of a typed route with one share.
        const ROUTE_LEN: usize = 96;
        match self {
            Command::Whole(whole) => whole.source.len() + whole.routes.len() * ROUTE_LEN,
            _ => 0,
        }
    }

    /// Returns what an operator changes with the command, or `None` where a VM of the system
    /// reports something.
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

/// What a command did.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The command is in force.
    Accepted {
        /// Revision of the branch after the change, or 0 where no branch changed.
        revision: u64,
    },
    /// The command changed nothing.
    Refused {
        /// Why, and how to go on.
        message: Name,
    },
}

/// The state after a prefix of the configuration log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct State {
    /// Number of entries applied.
    pub index: u64,
    /// The settings tree.
    pub tree: Tree,
    /// Availability zones that are out.
    pub zones_out: BTreeMap<Name, u64>,
    /// Availability zones that return, with the step of the ramp that each has reached.
    pub returning: BTreeMap<Name, u8>,
    /// Backend servers that operators drain.
    pub drains: BTreeSet<Name>,
    /// Backend servers by name.
    pub servers: BTreeMap<Name, Announce>,
    /// What the homes of the backend servers reported.
    pub standings: BTreeMap<Name, Standing>,
    /// Flow placement by service.
    pub placements: BTreeMap<Name, Placement>,
    /// The whole configuration, where operators number them.
    pub whole: Option<Arc<RoutingConfig>>,
    /// Addresses of services and backend servers that wait before another service may have them.
    pub quarantine: BTreeMap<SocketAddr, Given>,
}

impl State {
    /// Returns the state before the first entry.
    pub fn new() -> State {
        State::default()
    }

    /// Applies the next entry of the log.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        self.index += 1;
        let mut scope = self.scope(command);
        let result = self.run(command);
        scope.extend(self.scope(command));
        self.place(&scope);
        match result {
            Ok(revision) => Outcome::Accepted { revision },
            Err(err) => Outcome::Refused { message: err.to_string().into() },
        }
    }

    fn run(&mut self, command: &Command) -> Result<u64> {
        match command {
            Command::Apply { team, base, branch } => {
                let before = self.addresses();
                let revision = self.tree.replace(team, *base, branch.clone())?;
                self.give_up_addresses(before);
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
            Command::Step { service, step } => return self.step(service, step),
        }
        Ok(0)
    }

    fn addresses(&self) -> BTreeMap<SocketAddr, Name> {
        self.tree.services().map(|(_, name, spec)| (spec.socket(), name.clone())).collect()
    }

    /// Puts the service addresses of `before` that have another service or none now into
    /// quarantine.
    fn give_up_addresses(&mut self, before: BTreeMap<SocketAddr, Name>) {
        let after = self.addresses();
        for (addr, service) in before {
            if after.get(&addr) != Some(&service) {
                self.quarantine.insert(addr, Given { service, generation: self.index });
            }
        }
    }

    fn step(&mut self, service: &Name, step: &Step) -> Result<u64> {
        if let Step::Release { generation } = step {
            self.quarantine
                .retain(|_, given| given.service != *service || given.generation > *generation);
            return Ok(0);
        }
        let Some(placement) = self.placements.get_mut(service) else {
            return Err(Error::config(format!("there is no service {service}; name one that is")));
        };
        placement.step(step, self.index);
        Ok(0)
    }
}
