//! Messages between entry VMs, with one variant for each service.

use serde::{Deserialize, Serialize};

use crate::{
    backend::HomeMessage,
    entry::{BACKENDS, CONFIG, FLOWS, MEMBERS, REQUESTS},
    error::{Error, Result},
    flow::FlowMessage,
    member::MemberMessage,
    request::RequestMessage,
    spread::ConfigMessage,
};

mod key;
mod seal;
mod window;

pub(crate) use key::{KeyedMac, interval};

pub use key::Keys;
pub use seal::{Refusal, Seal};

/// A message from one entry VM to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Cluster membership.
    Member(MemberMessage),
    /// Distribution of the configuration.
    Config(ConfigMessage),
    /// Flow records and packets of moving buckets.
    Flow(FlowMessage),
    /// Request records.
    Request(RequestMessage),
    /// Homes of backend servers.
    Home(HomeMessage),
}

impl PeerMessage {
    /// Returns the kernel name of the service that handles the message.
    pub(crate) fn service(&self) -> &'static str {
        match self {
            PeerMessage::Member(_) => MEMBERS,
            PeerMessage::Config(_) => CONFIG,
            PeerMessage::Flow(_) => FLOWS,
            PeerMessage::Request(_) => REQUESTS,
            PeerMessage::Home(_) => BACKENDS,
        }
    }

    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self).map_err(|_| Error::protocol("cannot encode peer message"))
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid peer message.
    pub fn decode(bytes: &[u8]) -> Result<PeerMessage> {
        postcard::from_bytes(bytes).map_err(|_| Error::protocol("malformed peer message"))
    }
}
