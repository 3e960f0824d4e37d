//! Distribution of the configuration from the control VMs to the entry VMs, with acknowledgements
//! and leases.
//!
//! The head VM of each availability zone reports to a control VM, fetches log entries and
//! distributes them in its zone. The VMs of the zone send their acknowledgements to the head, which
//! passes on the leases that the control VM grants.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    name::Name,
    state::{Command, State},
    time::Time,
};

mod acks;
mod head;
mod lease;
mod recent;
mod service;
mod snapshot;

pub use acks::Acks;
pub(crate) use service::ConfigSync;

/// Duration of a lease, for which an entry VM may rely on its configuration.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);

/// A range of consecutive entries of the configuration log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entries {
    /// Index of the first entry.
    pub first: u64,
    /// The entries.
    pub commands: Vec<Command>,
    /// The complete state at the index before `first`, for a VM that is too far behind for entries.
    pub snapshot: Option<Box<State>>,
    /// Duration of the lease for the VMs in the report that this answers; zero if none is granted.
    pub lease: Duration,
    /// Minimum index that a VM in the report must have applied to get the lease.
    pub least: u64,
}

impl Entries {
    /// Creates a range of entries without a snapshot and without a lease.
    pub fn new(first: u64, commands: Vec<Command>) -> Entries {
        Entries { first, commands, snapshot: None, lease: Duration::ZERO, least: 0 }
    }
}

/// Progress of one incarnation of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Applied {
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Index of the last applied entry.
    pub index: u64,
}

/// Report of a head VM to a control VM: its own progress and that of the VMs in its zone.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// Index of the last entry that the reporting VM has.
    pub after: u64,
    /// Progress of each VM that the report covers, including the reporting VM.
    pub applied: BTreeMap<Name, Applied>,
}

/// A lease granted to a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Incarnation of the VM.
    pub incarnation: u64,
    /// Time at which the VM sent the acknowledgement that this answers, by the VM's clock.
    pub acked_at: Time,
    /// Duration of the lease, counted from that time.
    pub duration: Duration,
}

/// Messages between entry VMs about the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ConfigMessage {
    /// Entries that the receiver lacks.
    Entries(Entries),
    /// Acknowledges the applied entries towards the head.
    Ack {
        /// Progress of the sender.
        applied: Applied,
        /// Time of sending, by the sender's clock.
        sent_at: Time,
    },
    /// Status of the sending head.
    HeadStatus {
        /// Index of the last entry that the sender has applied.
        index: u64,
        /// Digest of the sender's state.
        digest: u64,
        /// The lease of the receiver.
        grant: Option<LeaseGrant>,
    },
    /// Requests entries.
    Fetch {
        /// Index of the last entry that the sender has applied.
        after: u64,
    },
    /// Requests a part of a snapshot.
    FetchPart {
        /// Index of the snapshot.
        index: u64,
        /// Offset of the part in bytes.
        offset: u32,
    },
    /// A part of a snapshot.
    SnapshotPart {
        /// Index of the snapshot.
        index: u64,
        /// Digest of the snapshot.
        digest: u64,
        /// Length of the snapshot in bytes.
        total: u32,
        /// Offset of the part in bytes.
        offset: u32,
        /// The bytes of the part.
        bytes: Vec<u8>,
    },
}
