//! Why a new flow reaches one backend server and not another.

use std::net::SocketAddrV4;

use serde::Serialize;

use super::{
    directory::Usable,
    forwarder::{FlowVerdict, Forwarder, Head},
};
use crate::{name::Name, time::Time};

/// A backend server of a route's services, and what an entry VM holds against it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Weighed {
    /// Number of the server.
    pub id: u64,
    /// Name of the service.
    pub service: Name,
    /// Where its packets go.
    pub addr: SocketAddrV4,
    /// Availability zone that it runs in.
    pub zone: Name,
    /// What may be done with it.
    pub usable: Usable,
    /// Whether its availability zone is out.
    pub out: bool,
    /// Whether callers' packets went unanswered there lately.
    pub suspect: bool,
    /// Flows that the VM knows to be open there.
    pub flows: u32,
}

/// The decision on the opening packet of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// What becomes of the packet.
    pub verdict: FlowVerdict,
    /// Every server of the route's services.
    pub servers: Vec<Weighed>,
}

impl Forwarder {
    /// Decides on the opening packet of a flow and says what it was chosen from.
    pub fn explain(&mut self, now: Time, head: &Head) -> Explanation {
        let servers = self.weigh(now, head);
        let opening = Head { opens: true, ..*head };
        Explanation { verdict: self.packet(now, &opening, false), servers }
    }
}
