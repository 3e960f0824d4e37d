//! What an entry VM reads of a packet, and what it does with it.

use std::net::SocketAddrV4;

use crate::member::hash;

/// Both ends of a flow: the caller and the route.
pub(crate) type Endpoints = (SocketAddrV4, SocketAddrV4);

/// The fields of a packet that the forwarder reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PacketInfo {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the route.
    pub route: SocketAddrV4,
    /// Whether the packet opens a flow.
    pub opens: bool,
    /// Sequence number of the packet, the same in its copies.
    pub sequence: u32,
    /// Sequence number up to which the caller has received the server's data; 0 in an opening.
    pub acknowledged: u32,
    /// How many times the opening was sent before.
    pub retransmits: u32,
    /// Whether the caller ends the flow with it.
    pub closes: bool,
    /// Cookie that the caller echoes, 0 for none.
    pub cookie: u32,
    /// Length of the data that it carries, in bytes.
    pub data_len: u16,
    /// Bytes that it takes on a link, with the headers of all layers.
    pub link_len: u16,
}

impl PacketInfo {
    /// Returns the reset that answers the packet.
    pub fn reset(&self) -> FlowReset {
        FlowReset { caller: self.caller, route: self.route, sequence: self.acknowledged }
    }

    /// Returns whether the packet acknowledges bytes after the sequence number `sequence`.
    pub(crate) fn acknowledges_after(&self, sequence: u32) -> bool {
        (self.acknowledged.wrapping_sub(sequence) as i32) > 0
    }

    /// Returns a hash of the flow, the same on every VM.
    pub fn flow_hash(&self) -> u64 {
        flow_hash(&(self.caller, self.route))
    }
}

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// No known server holds its cookie.
    Unknown,
    /// It carries no cookie and its flow is not tracked.
    NoCookie,
    /// It is an opening that waited while the VM was suspended; the caller no longer waits for it.
    Stale,
    /// This VM has just started and has no configuration or servers yet.
    Early,
    /// It is a copy of an opening for which there is no room, and an earlier copy may have reached
    /// a server.
    Overload,
}

/// What an opening needs and may be short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    /// The link of this VM.
    Link,
    /// The capacity of the service.
    Service,
    /// The caller's fair share.
    Share,
}

impl Resource {
    /// Every resource, in the order in which they are checked.
    pub const ALL: [Resource; 3] = [Resource::Link, Resource::Service, Resource::Share];

    /// Returns the name in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Resource::Link => "link",
            Resource::Service => "service",
            Resource::Share => "share",
        }
    }
}

/// Why a flow was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ResetReason {
    /// No route has its address and port.
    NoRoute,
    /// No server is eligible.
    NoServer,
    /// Its server is gone.
    ServerGone,
    /// A resource is short.
    Overload(Resource),
}

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowVerdict {
    /// Send it to a server.
    Forward {
        /// Address at which the server receives packets.
        to: SocketAddrV4,
        /// Number of the server.
        id: u64,
        /// Cookie of the server.
        cookie: u32,
    },
    /// Reset the flow, so that the caller can open another at once.
    Reset(ResetReason),
    /// Drop it.
    Drop(DropReason),
}

/// A flow to reset although no packet of it has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowReset {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the route.
    pub route: SocketAddrV4,
    /// Sequence number that the caller expects next.
    pub sequence: u32,
}

/// Returns a hash of the flow between two ends, the same on every VM.
pub(super) fn flow_hash((caller, route): &Endpoints) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&caller.ip().octets());
    bytes[4..6].copy_from_slice(&caller.port().to_be_bytes());
    bytes[6..10].copy_from_slice(&route.ip().octets());
    bytes[10..].copy_from_slice(&route.port().to_be_bytes());
    hash(&bytes)
}
