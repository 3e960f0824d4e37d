//! Settings tree edited by operators, with one branch per team.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    name::Name,
    packet::Protocol,
};

mod check;
mod rights;

pub use rights::{Access, Rights, check_secret};

/// How the traffic of a service is handled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Forwards packets by flow without parsing their payload.
    #[default]
    Flow,
    /// Forwards CoAP requests over UDP (RFC 7252).
    Request,
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Address used by callers.
    pub address: IpAddr,
    /// Port used by callers.
    pub port: u16,
    /// Transport protocol.
    pub protocol: Protocol,
    /// How the traffic is handled.
    #[serde(default)]
    pub mode: Mode,
    /// Idle timeout of a flow in seconds.
    #[serde(default = "default_idle_s")]
    pub idle_s: u32,
    /// Default deadline in milliseconds, for requests that set none.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
}

impl ServiceSpec {
    /// Returns the address and port used by callers.
    pub fn socket_addr(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.port)
    }
}

const fn default_idle_s() -> u32 {
    120
}

const fn default_deadline_ms() -> u32 {
    8_000
}

/// Settings of one team.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Branch {
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<Name, ServiceSpec>,
}

/// A branch and its revision. The next change must be based on this revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RevisedBranch {
    /// Number of accepted changes of the branch.
    pub revision: u64,
    /// The branch.
    pub branch: Branch,
}

/// The settings of all teams, and the access rights.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Tree {
    /// Branches by team.
    pub teams: BTreeMap<Name, RevisedBranch>,
    /// Revision of the rights.
    #[serde(default)]
    pub revision: u64,
    /// Access rights of operators.
    #[serde(default)]
    pub rights: Rights,
}

impl Tree {
    /// Replaces the branch of `team` after validating the whole tree.
    ///
    /// # Errors
    ///
    /// Fails when `base` is not the current revision of the branch or the new tree is invalid. The
    /// tree is then unchanged.
    pub fn replace_branch(&mut self, team: &Name, base: u64, branch: Branch) -> Result<u64> {
        let revision = self.teams.get(team).map_or(0, |revised| revised.revision);
        check_revision(team, base, revision)?;
        let mut next = self.clone();
        next.teams.insert(team.clone(), RevisedBranch { revision: revision + 1, branch });
        next.check()?;
        *self = next;
        Ok(revision + 1)
    }

    /// Replaces the access rights after validating them.
    ///
    /// # Errors
    ///
    /// Fails when `base` is not the current revision of the rights or the new rights are invalid.
    /// The tree is then unchanged.
    pub fn replace_rights(&mut self, base: u64, rights: Rights) -> Result<u64> {
        check_revision("rights", base, self.revision)?;
        rights.check()?;
        self.rights = rights;
        self.revision += 1;
        Ok(self.revision)
    }

    /// Iterates over the services with their teams.
    pub fn services(&self) -> impl Iterator<Item = (&Name, &Name, &ServiceSpec)> {
        self.teams.iter().flat_map(|(team, revised)| {
            revised.branch.services.iter().map(move |(name, spec)| (team, name, spec))
        })
    }
}

fn check_revision(path: &str, base: u64, revision: u64) -> Result<()> {
    if base == revision {
        return Ok(());
    }
    let message = format!(
        "the branch is at revision {revision}, not {base}: another change came first; look at it \
         with `galenactl plan`, then apply yours with --base {revision}"
    );
    Err(Error::conflict(message).with_path(path))
}
