//! What control VMs send each other.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    control::{
        machine::Request,
        replica::{Identity, ReplicaMessage, Seat},
    },
    error::{Error, Result},
    name::Name,
    spread::Progress,
    state::{Command, Outcome},
};

/// A command as it reaches a control VM.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// Names the change, where an operator asks.
    pub request: Option<Request>,
    /// The operator's token.
    pub token: Option<Name>,
    /// The command.
    pub command: Command,
}

impl Submission {
    /// Returns the submission of a VM of the system.
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

/// What became of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Fate {
    /// It was ordered.
    Ordered(Outcome),
    /// It was not ordered, and never will be: no leader took it.
    Unavailable,
    /// It may have been ordered.
    Unknown,
}

/// A message between control VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ControlMessage {
    /// The log.
    Replica(ReplicaMessage),
    /// A replica outside of the log asks for others, and to be taken in.
    Probe,
    /// The answer to a probe.
    Present {
        /// Whether the sender belongs to a log.
        formed: bool,
        /// The leader, where the sender knows one.
        leader: Option<Seat>,
    },
    /// A follower hands a submission to the leader.
    Forward {
        /// Names the submission at the follower.
        ticket: u64,
        /// The submission.
        submission: Submission,
    },
    /// The answer to a forwarded submission.
    Forwarded {
        /// Names the submission at the follower.
        ticket: u64,
        /// What became of it.
        fate: Fate,
    },
    /// A follower hands the report of an entry VM to the leader.
    Report {
        /// Names the report at the follower.
        ticket: u64,
        /// The report.
        progress: Progress,
    },
    /// The leader has taken a report and grants the lease.
    Noted {
        /// Names the report at the follower.
        ticket: u64,
        /// Index that a VM must have applied for its lease.
        least: u64,
    },
    /// A follower asks the leader from which index on a read is up to date.
    ReadAsk {
        /// Names the read at the follower.
        ticket: u64,
    },
    /// The answer to [`ControlMessage::ReadAsk`].
    ReadAt {
        /// Names the read at the follower.
        ticket: u64,
        /// The index, or `None` where the sender cannot be sure.
        index: Option<u64>,
    },
}

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// The sending replica.
    pub from: Identity,
    /// The control VM of the sender.
    pub seat: Seat,
    /// The receiving replica, or `None` for any.
    pub to: Option<Identity>,
    /// The message.
    pub message: ControlMessage,
}

impl Envelope {
    /// Writes the message as text.
    ///
    /// # Errors
    ///
    /// Fails when the message cannot be encoded.
    pub fn encode(&self) -> Result<String> {
        use std::fmt::Write;
        let bytes = postcard::to_stdvec(self)
            .map_err(|_| Error::protocol("control message cannot be written"))?;
        let mut text = String::with_capacity(bytes.len() * 2);
        for byte in bytes {
            _ = write!(text, "{byte:02x}");
        }
        Ok(text)
    }

    /// Reads a message from text.
    ///
    /// # Errors
    ///
    /// Fails when the text is no control message.
    pub fn decode(text: &str) -> Result<Envelope> {
        let unreadable = || Error::protocol("unreadable control message");
        let digit = |byte: u8| (byte as char).to_digit(16).map(|digit| digit as u8);
        let pair = |pair: &[u8]| Some(digit(pair[0])? << 4 | digit(*pair.get(1)?)?);
        let bytes: Option<Vec<u8>> = text.as_bytes().chunks(2).map(pair).collect();
        postcard::from_bytes(&bytes.ok_or_else(unreadable)?).map_err(|_| unreadable())
    }
}
