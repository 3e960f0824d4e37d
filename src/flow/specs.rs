//! Cache of the service settings that flow tracking needs, for lookup by name.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    name::Name,
    packet::{FlowKey, Protocol},
    state::State,
};

/// Settings of one service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TrackedService {
    addr: SocketAddr,
    protocol: Protocol,
    /// Idle time after which a flow is considered ended.
    pub(crate) idle: Duration,
}

impl TrackedService {
    /// Returns the flow key for `caller`.
    pub(crate) fn flow_key(&self, caller: SocketAddr) -> FlowKey {
        FlowKey { protocol: self.protocol, caller, service: self.addr }
    }
}

/// Settings of all services at one log index.
#[derive(Debug, Default)]
pub(crate) struct ServiceCache {
    index: u64,
    services: BTreeMap<Name, TrackedService>,
}

impl ServiceCache {
    /// Returns the settings of `service`; rebuilds the cache if `state` has changed.
    pub(crate) fn get(&mut self, state: &State, service: &Name) -> Option<TrackedService> {
        if self.index != state.index {
            self.index = state.index;
            self.services = state
                .tree
                .services()
                .map(|(_, name, spec)| {
                    let idle = Duration::from_secs(spec.idle_s.into());
                    let spec =
                        TrackedService { addr: spec.socket_addr(), protocol: spec.protocol, idle };
                    (name.clone(), spec)
                })
                .collect();
        }
        self.services.get(service).copied()
    }
}
