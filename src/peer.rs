//! What entry VMs send each other, one variant for each service.

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
    /// Membership.
    Member(MemberMessage),
    /// Spread of the configuration.
    Spread(ConfigMessage),
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
            PeerMessage::Spread(_) => CONFIG,
            PeerMessage::Flow(_) => FLOWS,
            PeerMessage::Request(_) => REQUESTS,
            PeerMessage::Home(_) => BACKENDS,
        }
    }

    /// Writes the message.
    ///
    /// # Errors
    ///
    /// Fails when the message cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self).map_err(|_| Error::protocol("peer message cannot be written"))
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no peer message.
    pub fn decode(bytes: &[u8]) -> Result<PeerMessage> {
        postcard::from_bytes(bytes).map_err(|_| Error::protocol("unreadable peer message"))
    }
}
