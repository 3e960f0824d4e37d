//! Messages between the services of one VM and between the homes of different VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{backend::slots::Holder, name::Name, state::Announce};

/// A request for a slot of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// Identifies the exchange on this VM.
    pub ticket: u64,
    /// Service of the request.
    pub service: Name,
    /// Backend servers that the exchange was already sent to.
    pub tried: Vec<Name>,
}

/// The answer to an [`AdmissionRequest`], from this VM or from a home on another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Admission {
    /// The exchange holds a slot of this backend server until it ends.
    Granted {
        /// The backend server, which may differ from the preferred one.
        server: Name,
        /// Address of the backend server for requests.
        to: SocketAddr,
    },
    /// No backend server can take the request now.
    Refused {
        /// Time to wait before the next admission request.
        retry: Duration,
    },
}

/// How an admitted exchange ended at its backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Completion {
    /// The server answered.
    Served {
        /// Time from sending the request to its answer.
        latency: Duration,
    },
    /// The backend server rejected the request without running it.
    Shed {
        /// Time to wait before the next request to this backend server.
        retry: Duration,
    },
    /// No answer arrived before the deadline.
    TimedOut,
    /// The exchange was cancelled, or never sent.
    Cancelled,
}

/// Number of free slots of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FreeSlots {
    /// The backend server.
    pub server: Name,
    /// Slots that it offers.
    pub slots: u32,
}

/// An admitted exchange that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FinishedExchange {
    /// Identifies the exchange on its VM.
    pub ticket: u64,
    /// The backend server.
    pub server: Name,
    /// How it ended.
    pub completion: Completion,
}

/// Messages about backend servers between entry VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HomeMessage {
    /// A backend server announced itself at a VM that is not its home.
    Announced(Announce),
    /// Backend servers repeated their announcement; each with its boot number.
    KeepAlive(Vec<(Name, u64)>),
    /// Requests a slot from the home.
    Admit {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Index of the last log entry that the sender has applied.
        index: u64,
        /// The request.
        request: AdmissionRequest,
        /// The backend server that the sender prefers.
        preferred: Name,
    },
    /// The home's answer to an admission request.
    Answer {
        /// Incarnation of the VM that sent the request.
        incarnation: u64,
        /// Identifies the exchange on that VM.
        ticket: u64,
        /// Whether the exchange holds a slot.
        admission: Admission,
    },
    /// Admitted exchanges that ended; each is sent twice, because there is no acknowledgement.
    Finished {
        /// Incarnation of the sender.
        incarnation: u64,
        /// The exchanges.
        exchanges: Vec<FinishedExchange>,
    },
    /// Releases the slot of an admission request that timed out, whatever its answer was.
    Cancel {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Identifies the exchange on the sender.
        ticket: u64,
    },
    /// All exchanges of the sender that hold a slot of one of the receiver's servers.
    Renew {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Tickets by backend server.
        held: BTreeMap<Name, BTreeSet<u64>>,
    },
    /// Changed numbers of free slots.
    FreeSlots(Vec<FreeSlots>),
    /// The former home hands a backend server over and admits no more requests for it.
    Handover {
        /// The backend server.
        server: Name,
        /// Ramp step that the server has reached.
        step: u8,
        /// Exchanges that hold its slots.
        holders: Vec<Holder>,
    },
}
