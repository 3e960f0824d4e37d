//! What the services of one VM and the homes of several VMs tell each other.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{backend::slots::Holder, name::Name, state::Announce};

/// A request that asks for a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ask {
    /// Names the exchange on this VM.
    pub ticket: u64,
    /// Service of the request.
    pub service: Name,
    /// Backend servers that were tried already.
    pub tried: Vec<Name>,
}

/// The answer to an [`Ask`], also that of a home to another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Admission {
    /// The exchange holds a slot of this backend server until it is finished.
    Granted {
        /// The backend server, which need not be the one that was asked for.
        server: Name,
        /// Where its requests go.
        to: SocketAddr,
    },
    /// No backend server bears it now.
    Refused {
        /// Time after which to ask again.
        retry: Duration,
    },
}

/// How an admitted exchange ended at its backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Finish {
    /// It was answered.
    Served {
        /// Time from sending to the answer.
        latency: Duration,
    },
    /// The backend server refused it without running it.
    Shed {
        /// Time after which the backend server may be asked again.
        retry: Duration,
    },
    /// No answer came before the deadline.
    Lost,
    /// It was cancelled, or never sent.
    Cancelled,
}

/// Free capacity of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Free {
    /// The backend server.
    pub server: Name,
    /// Slots that it offers.
    pub slots: u32,
}

/// An admitted exchange that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ended {
    /// Names the exchange on its VM.
    pub ticket: u64,
    /// The backend server.
    pub server: Name,
    /// How it ended.
    pub finish: Finish,
}

/// What entry VMs tell each other about backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HomeMessage {
    /// A backend server announced itself at a VM that is not its home.
    Announced(Announce),
    /// Backend servers announced themselves again; each with the number of its start.
    Alive(Vec<(Name, u64)>),
    /// A request asks the home for a slot.
    Ask {
        /// Number of the sender's start.
        start: u64,
        /// Last configuration entry that the sender has applied.
        index: u64,
        /// The request.
        ask: Ask,
        /// The backend server that the sender prefers.
        server: Name,
    },
    /// The home's answer to an ask.
    Answer {
        /// Number of the start of the VM that asked.
        start: u64,
        /// Names the exchange on that VM.
        ticket: u64,
        /// Whether it holds a slot now.
        admission: Admission,
    },
    /// Admitted exchanges that ended; each is told twice, as nobody acknowledges it.
    Finish {
        /// Number of the sender's start.
        start: u64,
        /// The exchanges.
        ended: Vec<Ended>,
    },
    /// An ask that waited too long holds no slot, whatever the answer was.
    Withdraw {
        /// Number of the sender's start.
        start: u64,
        /// Names the exchange on the sender.
        ticket: u64,
    },
    /// Every exchange of the sender that holds a slot of one of the receiver's servers.
    Renew {
        /// Number of the sender's start.
        start: u64,
        /// Tickets by backend server.
        held: BTreeMap<Name, BTreeSet<u64>>,
    },
    /// Free capacity that changed.
    Free(Vec<Free>),
    /// The former home passes a backend server on; it admits nothing there any more.
    Handover {
        /// The backend server.
        server: Name,
        /// Step of the ramp that the server has earned.
        step: u8,
        /// Exchanges that hold its slots.
        holders: Vec<Holder>,
    },
}
