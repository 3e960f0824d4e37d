//! Whole configurations under an operator's number: the highest number is in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::Ipv4Addr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    name::Name,
};

/// A part of a route's new flows.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: Name,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// Where callers reach services.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Address to which callers send.
    pub addr: Ipv4Addr,
    /// Port to which callers send.
    pub port: u16,
    /// Longest time that a request may take; zero is refused.
    pub timeout: Duration,
    /// Services of new flows.
    pub shares: Vec<Share>,
}

/// What a service says of its backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Warmup {
    /// Time for which a backend server is cold after its start.
    pub time: Duration,
    /// Requests that a cold backend server bears, in thousandths of one a second.
    pub rate: u32,
}

/// A whole configuration.
///
/// ```
/// use galenatrail::Whole;
///
/// let whole = Whole::default();
/// assert!(whole.check().is_ok());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Whole {
    /// The operator's number; the highest one is in force.
    pub number: u64,
    /// Time without a packet after which a flow may be forgotten.
    pub idle: Duration,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: BTreeMap<Name, Warmup>,
    /// What the operator sent, returned unchanged to who reads it.
    pub source: Arc<[u8]>,
}

impl Whole {
    /// Checks the configuration against itself.
    ///
    /// # Errors
    ///
    /// Fails where two routes share an address and port, where a route has no time, no weight or
    /// an unknown service.
    pub fn check(&self) -> Result<()> {
        let mut places = BTreeSet::new();
        for route in &self.routes {
            let place = format!("{}:{}", route.addr, route.port);
            self.check_route(route).map_err(|err| err.with_path(&*place))?;
            if !places.insert((route.addr, route.port)) {
                let message = "two routes have this address and port; remove one of them";
                return Err(Error::config(message).with_path(place));
            }
        }
        Ok(())
    }

    fn check_route(&self, route: &Route) -> Result<()> {
        if route.timeout.is_zero() {
            return Err(Error::config("the timeout is 0; give the milliseconds of a request"));
        }
        if route.shares.iter().all(|share| share.weight == 0) {
            return Err(Error::config("no service has a weight; give one of them a weight"));
        }
        match route.shares.iter().find(|share| !self.services.contains_key(&share.service)) {
            Some(Share { service, .. }) => {
                Err(Error::config(format!("there is no service {service}; declare it")))
            }
            None => Ok(()),
        }
    }

    /// Returns the configuration without what the operator sent, which only control VMs keep.
    pub fn without_source(&self) -> Whole {
        let (routes, services) = (self.routes.clone(), self.services.clone());
        Whole { number: self.number, idle: self.idle, routes, services, source: Arc::default() }
    }
}
