//! Inputs and outputs of a control node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{
    message::{Envelope, Submission, SubmitResult},
    replica::{Recovered, Write},
};
use crate::spread::{Entries, Progress};

/// An input of a control node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ControlEvent {
    /// Submits a command; the result is returned under `ticket`.
    Submit {
        /// Identifies the waiting caller.
        ticket: u64,
        /// The submission.
        submission: Submission,
    },
    /// All writes up to and including this id are synced to disk.
    Synced(u64),
    /// A disk write failed. The replica is halted until [`ControlEvent::Recovered`].
    SyncFailed,
    /// The data folder was reopened and recovered after a failed write.
    Recovered(Recovered),
    /// Received a message from another control VM.
    Message(Envelope),
    /// An entry VM reports its applied index and fetches the commands after it.
    Progress {
        /// Identifies the waiting caller.
        ticket: u64,
        /// The report.
        progress: Progress,
    },
    /// The process is shutting down.
    Stop,
    /// Starts a linearizable read.
    Read {
        /// Identifies the waiting caller.
        ticket: u64,
    },
    /// Periodic timer.
    Tick,
}

/// An output of a control node, to be executed by its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ControlAction {
    /// Writes to the data folder and syncs, then reports [`ControlEvent::Synced`].
    Write(Write),
    /// Sends a message to another control VM.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        envelope: Envelope,
    },
    /// Completes a submission.
    SubmitResult {
        /// Identifies the waiting caller.
        ticket: u64,
        /// Result of the submission.
        result: SubmitResult,
    },
    /// Completes a read.
    ReadResult {
        /// Identifies the waiting caller.
        ticket: u64,
        /// Whether the local state includes every change acknowledged before the read started.
        fresh: bool,
    },
    /// Answers a progress report.
    Entries {
        /// Identifies the waiting caller.
        ticket: u64,
        /// The commands or snapshot after the reported index.
        entries: Entries,
    },
}
