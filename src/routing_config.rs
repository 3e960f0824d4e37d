//! Complete routing configurations that operators number: the highest number is in force.

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

/// The share of a route's new flows that one service receives.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Share {
    /// Name of the service.
    pub service: Name,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// An address and port that callers send to, and the services behind it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Address that callers send to.
    pub addr: Ipv4Addr,
    /// Port that callers send to.
    pub port: u16,
    /// Time limit of a request; zero is refused.
    pub timeout: Duration,
    /// Time within which a request should be answered.
    pub target: Duration,
    /// Rank of its requests when there is not room for all; 0 is the highest.
    pub priority: u8,
    /// Services that receive the new flows.
    pub shares: Vec<Share>,
}

/// How the backend servers of a service warm up after a start.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Warmup {
    /// Time for which a backend server is cold after its start.
    pub time: Duration,
    /// Requests that a cold backend server can handle, in thousandths of a request per second.
    pub rate: u32,
}

/// A complete routing configuration.
///
/// ```
/// use galenatrail::RoutingConfig;
///
/// let config = RoutingConfig::default();
/// assert!(config.check().is_ok());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingConfig {
    /// The operator's number; the configuration with the highest one is in force.
    pub number: u64,
    /// Time without a packet after which a flow may be forgotten.
    pub idle: Duration,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: BTreeMap<Name, Warmup>,
    /// The bytes that the operator sent, returned unchanged on reads.
    pub source: Arc<[u8]>,
}

impl RoutingConfig {
    /// Checks that the configuration is consistent.
    ///
    /// # Errors
    ///
    /// Fails if two routes share an address and port, or if a route has a zero timeout, no weight
    /// or an unknown service.
    pub fn check(&self) -> Result<()> {
        let mut sockets = BTreeSet::new();
        for route in &self.routes {
            let path = format!("{}:{}", route.addr, route.port);
            self.check_route(route).map_err(|err| err.with_path(&*path))?;
            if !sockets.insert((route.addr, route.port)) {
                let message = "two routes have this address and port; remove one of them";
                return Err(Error::config(message).with_path(path));
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

    /// Returns the configuration without its source, which only control VMs keep.
    pub fn without_source(&self) -> RoutingConfig {
        let (routes, services) = (self.routes.clone(), self.services.clone());
        RoutingConfig {
            number: self.number,
            idle: self.idle,
            routes,
            services,
            source: Arc::default(),
        }
    }
}
