//! The packet path: from an inner packet to a verdict.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    counter::Counter,
    flow::{self, MovePhase},
    name::Name,
    packet::{self, FlowKey, Protocol, Segment},
    state::State,
    tree::Mode,
};

/// What becomes of a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict<'a> {
    /// It goes to the backend server at this address.
    Forward(SocketAddr),
    /// Its bucket is moving, so the flow's record decides.
    Track {
        /// Name of the service.
        service: Name,
    },
    /// It carries a request of a service that declares the request protocol.
    Request {
        /// Name of the service.
        service: Name,
        /// Caller and service.
        key: FlowKey,
        /// The CoAP message.
        payload: &'a [u8],
    },
    /// It is dropped and counted.
    Drop(Counter),
}

/// Maps packets to services and backend servers.
#[derive(Debug)]
pub struct Router {
    services: BTreeMap<(SocketAddr, Protocol), (Name, Mode)>,
}

impl Router {
    /// Returns a router that knows no service.
    pub fn new() -> Router {
        Router { services: BTreeMap::new() }
    }

    /// Takes over the services of `state`.
    pub fn load(&mut self, state: &State) {
        let services = state.tree.services();
        let services =
            services.filter(|(_, name, spec)| state.may_use_addr(name, spec.socket_addr()));
        self.services = services
            .map(|(_, name, spec)| ((spec.socket_addr(), spec.protocol), (name.clone(), spec.mode)))
            .collect();
    }

    /// Decides on one inner packet; `careful` treats every bucket as moving.
    pub fn route<'a>(&self, state: &State, careful: bool, inner: &'a [u8]) -> Verdict<'a> {
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
        let Some(bucket) = placement.bucket(flow::bucket(flow::SEED, &key)) else {
            return Verdict::Drop(Counter::PacketsUnserved);
        };
        if careful || bucket.phase != MovePhase::Rest {
            return Verdict::Track { service: service.clone() };
        }
        match placement.slot(bucket.current) {
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
