//! Validation of the settings tree.

use std::{collections::BTreeMap, net::IpAddr};

use super::{Mode, ServiceSpec, Tree};
use crate::{
    error::{Error, Result},
    name::check_name,
    packet::Protocol,
};

/// Maximum idle timeout in seconds.
const MAX_IDLE_S: u32 = 86_400;
/// Maximum number of services of all teams.
const MAX_SERVICES: usize = 4_096;

impl Tree {
    /// Checks names, address conflicts and limits across all branches.
    ///
    /// # Errors
    ///
    /// Fails on the first violation. The error has its path and a remedy.
    pub fn check(&self) -> Result<()> {
        let mut owners = BTreeMap::new();
        let mut names = BTreeMap::new();
        for team in self.teams.keys() {
            check_name(team).map_err(|err| err.with_path(&**team))?;
        }
        for (team, name, spec) in self.services() {
            let path = format!("{team}.services.{name}");
            check_name(name).map_err(|err| err.with_path(path.clone()))?;
            if let Some(other) = names.insert(name.clone(), team.clone()) {
                let message = format!("team {other} has a service of this name; choose another");
                return Err(Error::config(message).with_path(path));
            }
            let socket = (spec.socket_addr(), spec.protocol);
            if let Some(other) = owners.insert(socket, path.clone()) {
                let message =
                    format!("{other} owns {}; choose another address", spec.socket_addr());
                return Err(Error::config(message).with_path(path));
            }
            check_spec(&path, spec)?;
        }
        if names.len() > MAX_SERVICES {
            let message = format!("more than {MAX_SERVICES} services; remove one first");
            return Err(Error::config(message).with_path("services"));
        }
        self.rights.check()
    }
}

fn check_spec(path: &str, spec: &ServiceSpec) -> Result<()> {
    let invalid =
        |key: &str, message: String| Err(Error::config(message).with_path(format!("{path}.{key}")));
    let address = spec.address;
    let broadcast = matches!(address, IpAddr::V4(address) if address.is_broadcast());
    if address.is_unspecified() || address.is_multicast() || broadcast {
        return invalid("address", format!("{address} is no address of one host; name one"));
    }
    if spec.port == 0 {
        return invalid("port", "is 0; name a port from 1 to 65535".into());
    }
    if spec.idle_s == 0 || spec.idle_s > MAX_IDLE_S {
        let message = format!("{} is out of range; name 1 to {MAX_IDLE_S} seconds", spec.idle_s);
        return invalid("idle_s", message);
    }
    if spec.mode == Mode::Request && spec.protocol != Protocol::Udp {
        let message = "requests travel over udp; set protocol = \"udp\" or mode = \"flow\"";
        return invalid("mode", message.into());
    }
    Ok(())
}
