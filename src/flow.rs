//! Flow placement: maps a flow key to a bucket and a bucket to a backend server, and migrates
//! buckets while it tracks their flows.

use std::{hash::Hasher, net::SocketAddr};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::{
    flow::record::RecordKey,
    name::Name,
    packet::{FlowKey, Protocol, Segment},
};

mod fill;
mod handover;
mod mover;
mod outbox;
mod ownership;
mod placement;
mod record;
mod service;
mod settler;
mod specs;
mod waiting;

pub(crate) use handover::Handover;
pub use mover::MoveScheduler;
pub use outbox::RecordGroup;
pub use placement::{MovePhase, Placement, Step, Target};
pub use record::RECORD_LEN;
pub(crate) use service::Flows;

/// Seed of the flow hash; the same on all VMs, so that they agree on buckets.
pub(crate) const HASH_SEED: u64 = 0x6761_6c65_6e61;

/// Number of buckets per service.
pub(crate) const BUCKETS: usize = 1024;

/// Returns the bucket of `key`; all VMs that use the same `seed` agree on it.
pub(crate) fn bucket(seed: u64, key: &FlowKey) -> usize {
    let mut hasher = SipHasher13::new_with_keys(seed, !seed);
    hash_addr(&mut hasher, key.caller);
    hash_addr(&mut hasher, key.service);
    hasher.write_u8(key.protocol as u8);
    (hasher.finish() % BUCKETS as u64) as usize
}

fn hash_addr(hasher: &mut SipHasher13, addr: SocketAddr) {
    match addr {
        SocketAddr::V4(addr) => hasher.write(&addr.ip().octets()),
        SocketAddr::V6(addr) => hasher.write(&addr.ip().octets()),
    }
    hasher.write_u16(addr.port());
}

/// A packet whose bucket is being moved, or that arrived while the lease on the configuration has
/// lapsed.
#[derive(Debug)]
pub(crate) struct Packet {
    key: RecordKey,
    protocol: Protocol,
    segment: Segment,
    /// The encapsulated Geneve packet.
    bytes: Vec<u8>,
}

/// Messages between entry VMs about tracked flows.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FlowMessage {
    /// A packet of a tracked bucket, forwarded to the owner of the bucket.
    Relay {
        /// Name of the service.
        service: Name,
        /// Number of times the packet has been relayed.
        hops: u8,
        /// The encapsulated Geneve packet.
        bytes: Vec<u8>,
    },
    /// Asks for the record of a flow whose bucket the sender has only recently come to own.
    Lookup {
        /// Name of the service.
        service: Name,
        /// Address and port of the caller.
        caller: SocketAddr,
    },
    /// Answers [`FlowMessage::Lookup`].
    LookupReply {
        /// Name of the service.
        service: Name,
        /// Address and port of the caller.
        caller: SocketAddr,
        /// Identifier of the flow's backend server, or `None` if the sender has no record.
        server: Option<u32>,
    },
    /// A batch of replicated records.
    Records {
        /// Sequence number of the batch, repeated in its acknowledgement.
        serial: u32,
        /// Number of records still queued behind this batch.
        remaining: u32,
        /// The records, grouped by service.
        groups: Vec<RecordGroup>,
    },
    /// Acknowledges a batch that has been stored.
    RecordsAck {
        /// Sequence number of the batch.
        serial: u32,
    },
    /// Asks for the records of the buckets that the sender will own once it is ready.
    PullRecords,
    /// Tells a joining VM that it has received all records that the sender holds for it.
    PullComplete,
    /// The packet that opens a flow at the new target of its bucket, with the flow's record: the
    /// second owner stores the record and forwards the packet.
    Open {
        /// Name of the service.
        service: Name,
        /// Identifier of the flow's backend server.
        server: u32,
        /// The encapsulated Geneve packet.
        bytes: Vec<u8>,
    },
}
