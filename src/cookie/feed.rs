//! Messages that control VMs exchange with each other and send to entry VMs, outside the
//! replicated log.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::record_batch;
use crate::{cookie::record::ServerRecord, name::Name, routing_config::RoutingConfig};

/// A control VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ControlLocation {
    /// Address at which other VMs of the system reach it (TCP).
    pub addr: SocketAddr,
    /// Availability zone that it runs in, empty if unknown.
    pub zone: Name,
}

/// Updates of backend servers, exchanged between control VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: ControlLocation,
    /// Whether the sender requests every record of the receiver.
    pub request_all: bool,
    /// How long the sender has received announcements, set only if `records` is complete.
    pub registry_age: Option<Duration>,
    /// Servers whose record has changed.
    #[serde(with = "record_batch")]
    pub records: Vec<ServerRecord>,
    /// Servers that announced themselves without a change, by number and sequence number of the
    /// announcement.
    pub refreshed: Vec<(u64, u64)>,
}

/// Servers that announce themselves to a control VM and are not used, as no configuration names their
/// service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UnnamedServers {
    /// Number of these servers.
    pub count: u64,
    /// The first of them, in order of their numbers; 500 at most.
    pub records: Vec<ServerRecord>,
}

/// The operators' configuration as entry VMs need it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ForwardingPlan {
    /// Number of commands applied; a plan with a higher index is newer.
    pub index: u64,
    /// The configuration in force, without its source.
    #[serde(rename = "whole")]
    pub config: Arc<RoutingConfig>,
    /// Availability zones that operators took out.
    #[serde(rename = "out")]
    pub zones_out: BTreeSet<Name>,
}

/// A message from a control VM to an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FeedMessage {
    /// The sender is alive.
    Heartbeat {
        /// Number of commands that it has applied.
        index: u64,
        /// Whether a quorum has recently confirmed that no newer state is in force.
        confirmed: bool,
        /// How long it has received announcements of backend servers.
        registry_age: Duration,
        /// Every known control VM, the sender included.
        control_vms: Vec<ControlLocation>,
    },
    /// The plan in force.
    Plan(Arc<ForwardingPlan>),
    /// Records of backend servers.
    Servers {
        /// Whether servers that the sender reported before no longer count as reported by it.
        all: bool,
        /// The records.
        #[serde(with = "record_batch")]
        records: Vec<ServerRecord>,
    },
    /// Every known control VM, the sender included; the first message to a new subscriber, which may
    /// then prefer another control VM before it receives all records.
    ControlVms(Vec<ControlLocation>),
    /// The new subscriber has received the record of every server in its availability zone.
    ZoneSent,
    /// The new subscriber, which has all records from another feed, receives silent servers and
    /// changes only.
    ChangesOnly,
    /// A summary of the requests in progress of other VMs, for a [`LoadView`].
    ///
    /// [`LoadView`]: super::LoadView
    Load(Vec<u8>),
}

/// A copy on a control VM's disk of what entry VMs need, so that they are served soon after an
/// outage of all VMs.
///
/// Acknowledgements to operators and backend servers do not depend on it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FeedCache {
    /// The last plan that was in force.
    pub plan: Option<Arc<ForwardingPlan>>,
    /// The servers that were registered.
    #[serde(with = "record_batch")]
    pub records: Vec<ServerRecord>,
    /// Addresses of the entry VMs that had a feed.
    pub entry_vms: Vec<SocketAddr>,
}
