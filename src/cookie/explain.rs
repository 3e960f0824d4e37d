//! Explains why a new flow reaches one backend server and not another.

use std::net::SocketAddrV4;

use serde::Serialize;

use super::{
    directory::Eligibility,
    forwarder::Forwarder,
    verdict::{FlowVerdict, PacketInfo},
};
use crate::{name::Name, time::Time};

/// A backend server of a route's services, with the criteria by which an entry VM selects servers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ServerAssessment {
    /// Number of the server.
    pub id: u64,
    /// Name of the service.
    pub service: Name,
    /// Address to which its packets are sent.
    pub addr: SocketAddrV4,
    /// Availability zone that it runs in.
    pub zone: Name,
    /// Which traffic it may receive.
    #[serde(rename = "usable")]
    pub eligibility: Eligibility,
    /// Whether operators took its availability zone out.
    #[serde(rename = "out")]
    pub zone_out: bool,
    /// Whether recent openings sent to it went unanswered.
    pub suspect: bool,
    /// Open flows to it that the VM has seen.
    #[serde(rename = "flows")]
    pub open_flows: u32,
}

/// The decision on the opening packet of a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// What happens to the packet.
    pub verdict: FlowVerdict,
    /// Every server of the route's services.
    pub servers: Vec<ServerAssessment>,
}

impl Forwarder {
    /// Decides on the opening packet of a flow and returns the servers it chose from.
    pub fn explain(&mut self, now: Time, packet: &PacketInfo) -> Explanation {
        let servers = self.assess_servers(now, packet);
        let opening = PacketInfo { opens: true, ..*packet };
        Explanation { verdict: self.decide(now, &opening, false), servers }
    }
}
