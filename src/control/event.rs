//! What reaches a control node, and what it asks its shell to do.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{
    message::{Envelope, Fate, Submission},
    replica::{Recovered, Write},
};
use crate::spread::{Entries, Progress};

/// What reaches a control node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ControlEvent {
    /// A command to order; its fate goes to `ticket`.
    Submit {
        /// Names the waiting caller.
        ticket: u64,
        /// The command.
        submission: Submission,
    },
    /// Every write up to this number is synced.
    Synced(u64),
    /// A write failed; nothing is promised until [`ControlEvent::Recovered`].
    SyncFailed,
    /// The data folder was opened anew after a failed write.
    Recovered(Recovered),
    /// Another control VM sent a message.
    Message(Envelope),
    /// A VM reports how far it is and asks for what it lacks.
    Progress {
        /// Names the waiting caller.
        ticket: u64,
        /// The report.
        progress: Progress,
    },
    /// The VM is about to stop.
    Stop,
    /// A caller asks whether the configuration here is the newest.
    Read {
        /// Names the waiting caller.
        ticket: u64,
    },
    /// Time has passed.
    Tick,
}

/// What a control node asks its shell to do.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ControlAction {
    /// Writes to the data folder and reports when it is synced.
    Write(Write),
    /// Sends a message to another control VM.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// Answers a submission.
    Fate {
        /// Names the waiting caller.
        ticket: u64,
        /// What became of it.
        fate: Fate,
    },
    /// Answers a read.
    Readable {
        /// Names the waiting caller.
        ticket: u64,
        /// Whether the configuration here is at least as new as any that was acknowledged before
        /// the read.
        fresh: bool,
    },
    /// Answers a report.
    Entries {
        /// Names the waiting caller.
        ticket: u64,
        /// What the VM lacks.
        entries: Entries,
    },
}
