//! The packet path: decides what happens to an inner packet.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    counter::Counter,
    flow::{self, MovePhase},
    name::Name,
    packet::{self, FlowKey, Protocol, Segment},
    state::State,
    tree::Mode,
};

/// The decision on a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict<'a> {
    /// Forward it to the backend server at this address.
    Forward(SocketAddr),
    /// Its bucket is moving, so the record of the flow decides.
    Track {
        /// Name of the service.
        service: Name,
    },
    /// It carries a request of a service in request mode.
    Request {
        /// Name of the service.
        service: Name,
        /// Addresses of caller and service.
        key: FlowKey,
        /// The CoAP message.
        payload: &'a [u8],
    },
    /// Drop it and increment this counter.
    Drop(Counter),
}

/// Maps packets to services and backend servers.
#[derive(Debug)]
pub struct Router {
    services: BTreeMap<(SocketAddr, Protocol), (Name, Mode)>,
}

impl Router {
    /// Creates a router without services.
    pub fn new() -> Router {
        Router { services: BTreeMap::new() }
    }

    /// Replaces the services by those of `state`.
    pub fn update(&mut self, state: &State) {
        let services = state.tree.services();
        let services =
            services.filter(|(_, name, spec)| state.may_use_addr(name, spec.socket_addr()));
        self.services = services
            .map(|(_, name, spec)| ((spec.socket_addr(), spec.protocol), (name.clone(), spec.mode)))
            .collect();
    }

    /// Decides on one inner packet; if `lease_lapsed`, every bucket is treated as moving.
    pub fn route<'a>(&self, state: &State, lease_lapsed: bool, inner: &'a [u8]) -> Verdict<'a> {
        let parsed = match packet::parse(inner) {
            Ok(parsed) => parsed,
            Err(reason) => return Verdict::Drop(reason),
        };
        let key = parsed.key;
        let Some((service, mode)) = self.services.get(&(key.service, key.protocol)) else {
            return Verdict::Drop(Counter::PacketsUnknown);
        };
        if *mode == Mode::Request {
            if parsed.segment == Segment::Error {
                return Verdict::Drop(Counter::PacketsUnserved);
            }
            return Verdict::Request { service: service.clone(), key, payload: parsed.payload };
        }
        let Some(placement) = state.placements.get(service) else {
            return Verdict::Drop(Counter::PacketsUnserved);
        };
        let Some(bucket) = placement.bucket(flow::bucket(flow::HASH_SEED, &key)) else {
            return Verdict::Drop(Counter::PacketsUnserved);
        };
        if lease_lapsed || bucket.phase != MovePhase::Rest {
            return Verdict::Track { service: service.clone() };
        }
        match placement.target_in(bucket.current) {
            Some(target) => Verdict::Forward(target.packets),
            None => Verdict::Drop(Counter::PacketsUnserved),
        }
    }
}

impl Default for Router {
    fn default() -> Router {
        Router::new()
    }
}
