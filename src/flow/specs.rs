//! What tracking needs to know of each service, kept beside the settings tree for fast access.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    name::Name,
    packet::{FlowKey, Protocol},
    state::State,
};

/// One service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Spec {
    addr: SocketAddr,
    protocol: Protocol,
    /// Time without a packet after which a flow has ended.
    pub(crate) idle: Duration,
}

impl Spec {
    /// Returns the flow of `caller`.
    pub(crate) fn flow(&self, caller: SocketAddr) -> FlowKey {
        FlowKey { protocol: self.protocol, caller, service: self.addr }
    }
}

/// The services of one state.
#[derive(Debug, Default)]
pub(crate) struct Specs {
    index: u64,
    specs: BTreeMap<Name, Spec>,
}

impl Specs {
    /// Returns the service of this name in `state`.
    pub(crate) fn get(&mut self, state: &State, service: &Name) -> Option<Spec> {
        if self.index != state.index {
            self.index = state.index;
            self.specs = state
                .tree
                .services()
                .map(|(_, name, spec)| {
                    let idle = Duration::from_secs(spec.idle_s.into());
                    let spec = Spec { addr: spec.socket_addr(), protocol: spec.protocol, idle };
                    (name.clone(), spec)
                })
                .collect();
        }
        self.specs.get(service).copied()
    }
}
