//! What control VMs tell each other and entry VMs, besides the log.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{cookie::record::ServerRecord, name::Name, whole::Whole};

/// A control VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ControlSeat {
    /// Where other VMs of the system reach it (TCP).
    pub addr: SocketAddr,
    /// Availability zone that it runs in, empty where it is not known.
    pub zone: Name,
}

/// Backend servers that a control VM has heard of, for the other control VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: ControlSeat,
    /// Whether the sender asks for everything that the receiver knows.
    pub asks: bool,
    /// How long the sender has heard announcements, where this is everything that it knows.
    pub age: Option<Duration>,
    /// The servers that have changed.
    pub records: Vec<ServerRecord>,
    /// Servers that have announced themselves without a change, with the number of the
    /// announcement.
    pub alive: Vec<(u64, u64)>,
}

/// What operators have asked for, as entry VMs need it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Plan {
    /// Number of commands applied; a higher one is newer.
    pub index: u64,
    /// The configuration in force, without its source.
    pub whole: Arc<Whole>,
    /// Availability zones that are out.
    pub out: BTreeSet<Name>,
}

/// A message to an entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FeedMessage {
    /// The sender is there.
    Beat {
        /// Number of commands that it has applied.
        index: u64,
        /// Whether a quorum has confirmed lately that nothing newer is in force.
        fresh: bool,
        /// How long it has heard announcements of backend servers.
        age: Duration,
        /// The control VMs.
        seats: Vec<ControlSeat>,
    },
    /// The plan in force.
    Plan(Arc<Plan>),
    /// Backend servers.
    Servers {
        /// Whether these are all that the sender knows.
        all: bool,
        /// The servers.
        records: Vec<ServerRecord>,
    },
}

/// What a control VM keeps on its disk so that entry VMs are served soon after all VMs were down:
/// a plan that was in force and servers that were there. What operators and servers were
/// acknowledged does not rest on it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Kept {
    /// The plan.
    pub plan: Option<Arc<Plan>>,
    /// The servers.
    pub records: Vec<ServerRecord>,
}
