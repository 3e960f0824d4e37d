//! Messages between control VMs.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    control::{
        machine::Request,
        replica::{ControlEndpoint, ReplicaId, ReplicaMessage},
    },
    error::{Error, Result},
    name::Name,
    spread::Progress,
    state::{Command, Outcome},
};

/// A command submitted to a control VM.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// Identifies the request, if an operator submitted it.
    pub request: Option<Request>,
    /// The operator's token.
    pub token: Option<Name>,
    /// The command.
    pub command: Command,
}

impl Submission {
    /// Creates a submission without request or token, as VMs of the system send it.
    pub fn new(command: Command) -> Submission {
        Submission { request: None, token: None, command }
    }
}

impl fmt::Debug for Submission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut fields = f.debug_struct("Submission");
        fields.field("request", &self.request).field("command", &self.command);
        fields.finish_non_exhaustive()
    }
}

/// Result of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SubmitResult {
    /// The command was committed and applied, or rejected for missing rights.
    Ordered(Outcome),
    /// The command was not proposed and will not be applied: no leader accepted it.
    Unavailable,
    /// The command may or may not have been applied.
    Unknown,
}

/// A message between control VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ControlMessage {
    /// A Raft message.
    Replica(ReplicaMessage),
    /// Sent by a replica without a leader to discover the cluster and to join it.
    Probe,
    /// Reply to [`ControlMessage::Probe`].
    ProbeReply {
        /// Whether the sender has a log.
        log_exists: bool,
        /// The leader, if the sender knows it.
        leader: Option<ControlEndpoint>,
    },
    /// Forwards a submission from a follower to the leader.
    Forward {
        /// Identifies the submission at the follower.
        ticket: u64,
        /// The submission.
        submission: Submission,
    },
    /// Reply to [`ControlMessage::Forward`].
    ForwardReply {
        /// Identifies the submission at the follower.
        ticket: u64,
        /// Result of the submission.
        result: SubmitResult,
    },
    /// Forwards an entry VM's progress report from a follower to the leader.
    Report {
        /// Identifies the report at the follower.
        ticket: u64,
        /// The report.
        progress: Progress,
    },
    /// The leader recorded a forwarded report and grants the lease.
    ReportAccepted {
        /// Identifies the report at the follower.
        ticket: u64,
        /// Index that an entry VM must have applied for its lease.
        min_index: u64,
    },
    /// Asks the leader for a read index.
    ReadIndexRequest {
        /// Identifies the read at the follower.
        ticket: u64,
    },
    /// Reply to [`ControlMessage::ReadIndexRequest`].
    ReadIndexReply {
        /// Identifies the read at the follower.
        ticket: u64,
        /// The read index, or `None` if the sender could not confirm its leadership.
        index: Option<u64>,
    },
}

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// The sending replica.
    pub from: ReplicaId,
    /// Name and address of the sender's control VM.
    pub endpoint: ControlEndpoint,
    /// The receiving replica, or `None` for any replica.
    pub to: Option<ReplicaId>,
    /// The message.
    pub message: ControlMessage,
}

impl Envelope {
    /// Encodes the message as hexadecimal text.
    ///
    /// # Errors
    ///
    /// Fails when the message cannot be encoded.
    pub fn encode(&self) -> Result<String> {
        use std::fmt::Write;
        let bytes = postcard::to_stdvec(self)
            .map_err(|_| Error::protocol("cannot encode control message"))?;
        let mut text = String::with_capacity(bytes.len() * 2);
        for byte in bytes {
            _ = write!(text, "{byte:02x}");
        }
        Ok(text)
    }

    /// Decodes a message from hexadecimal text.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a valid message.
    pub fn decode(text: &str) -> Result<Envelope> {
        let malformed = || Error::protocol("malformed control message");
        let digit = |byte: u8| (byte as char).to_digit(16).map(|digit| digit as u8);
        let pair = |pair: &[u8]| Some(digit(pair[0])? << 4 | digit(*pair.get(1)?)?);
        let bytes: Option<Vec<u8>> = text.as_bytes().chunks(2).map(pair).collect();
        postcard::from_bytes(&bytes.ok_or_else(malformed)?).map_err(|_| malformed())
    }
}
