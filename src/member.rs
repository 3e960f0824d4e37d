//! Cluster membership of entry VMs: failure detection, dissemination and ownership.
//!
//! Within an availability zone, each VM sends heartbeats to a few others, and a silent VM is
//! suspected before it is removed. Between availability zones, the head VMs exchange summaries of
//! their zones.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::name::Name;

mod contacts;
mod detector;
mod own;
mod record;
mod service;
mod table;
mod view;

pub use record::{MemberRecord, MemberStatus};
pub(crate) use service::Members;
pub use view::View;
pub(crate) use view::hash;

/// An entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone of the VM.
    pub zone: Name,
    /// Address that receives Geneve packets.
    pub packets: SocketAddr,
    /// Address that receives peer datagrams.
    pub peers: SocketAddr,
    /// Incarnation number; grows with each start of the VM.
    pub incarnation: u64,
    /// Whether the VM can own records, because it has received those of the former owners.
    pub ready: bool,
}

/// Messages between entry VMs about membership.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MemberMessage {
    /// Announces the sender to a VM that may not know it.
    Join(MemberRecord),
    /// Reports that the sender is alive.
    Heartbeat {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Renewal counter of the sender's record.
        renewal: u32,
        /// Digest of the live VMs and of the reachability known to the sender.
        digest: u64,
    },
    /// Asks the receiver for a probe answer on behalf of `origin`.
    Probe {
        /// The VM that waits for the answer.
        origin: Name,
    },
    /// Asks the receiver to probe `target`, from which the sender gets no heartbeats.
    IndirectProbe {
        /// The suspected VM.
        target: Name,
    },
    /// Answers a probe.
    ProbeAnswer {
        /// The VM that waits for the answer.
        origin: Name,
        /// The VM that is alive.
        target: Name,
    },
    /// Digests of availability zones, for anti-entropy repair.
    Digests {
        /// Digest of the live VMs of each availability zone.
        zones: BTreeMap<Name, u64>,
        /// Whether `zones` contains every availability zone known to the sender.
        complete: bool,
        /// Whether the receiver should reply with its own digests where they differ.
        reply: bool,
        /// Reachability of other availability zones from the sender's zone.
        reach: ZoneReach,
    },
    /// Records that the receiver may lack.
    Records(Vec<MemberRecord>),
    /// Summary of the sender's availability zone for the head of another one.
    Summary {
        /// Digest of the live VMs of the sender's availability zone.
        digest: u64,
        /// Whether the sender has recently received messages from the receiver's availability zone.
        hears: bool,
        /// Whether the sender asks for a summary in return.
        reply: bool,
    },
    /// Reachability of other availability zones from the sender's zone.
    Reach(ZoneReach),
}

/// The availability zones that one availability zone cannot reach, as determined by its head.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ZoneReach {
    /// Version number; the highest version takes precedence.
    pub version: u64,
    /// The head that determined it.
    pub author: Name,
    /// The unreachable availability zones.
    pub unreachable: BTreeSet<Name>,
}
