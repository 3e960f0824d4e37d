//! Authentication of messages between control VMs.
//!
//! A message carries a MAC under the key of its time interval, like peer datagrams. There is no
//! replay window: Raft tolerates duplicated and delayed messages, operator submissions carry a
//! request id, and progress reports carry the incarnation of the entry VM.

use std::time::Duration;

use hmac::Mac;

use super::message::Envelope;
use crate::{
    error::{Error, Result},
    peer::{KeyedMac, Keys, interval},
};

const TAG_LEN: usize = 16;
const LABEL: &[u8] = b"galenatrail control message";

/// Signs and verifies messages with the root keys of a deployment.
///
/// Times are wall clock times since the Unix epoch. The clocks of two VMs may differ by up to one
/// interval.
#[derive(Debug, Clone)]
pub struct Signer {
    keys: Keys,
}

impl Signer {
    /// Creates a signer with these root keys.
    pub fn new(keys: Keys) -> Signer {
        Signer { keys }
    }

    /// Encodes a message and prepends its MAC.
    ///
    /// # Errors
    ///
    /// Fails when the message cannot be encoded.
    pub fn sign(&self, wall: Duration, envelope: &Envelope) -> Result<String> {
        let body = envelope.encode()?;
        let tag = self.mac(0, interval(wall), &body).finalize().into_bytes();
        let mut text: String = tag[..TAG_LEN].iter().map(|byte| format!("{byte:02x}")).collect();
        text.push_str(&body);
        Ok(text)
    }

    /// Verifies the MAC and decodes the message.
    ///
    /// # Errors
    ///
    /// Fails when the MAC does not match any root key in the current or an adjacent interval, or
    /// when the text is not a valid message.
    pub fn verify(&self, wall: Duration, text: &str) -> Result<Envelope> {
        let refused = || Error::protocol("control message not signed with a known key");
        let (tag, body) = text.split_at_checked(2 * TAG_LEN).ok_or_else(refused)?;
        let tag: Option<Vec<u8>> = (0..TAG_LEN)
            .map(|at| {
                tag.get(2 * at..2 * at + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok())
            })
            .collect();
        let tag = tag.ok_or_else(refused)?;
        let now = interval(wall);
        let verified = (0..self.keys.len()).any(|root| {
            let mut intervals = now.saturating_sub(1)..=now + 1;
            intervals.any(|at| self.mac(root, at, body).verify_truncated_left(&tag).is_ok())
        });
        if verified { Envelope::decode(body) } else { Err(refused()) }
    }

    fn mac(&self, root: usize, interval: u64, body: &str) -> KeyedMac {
        let mut mac = self.keys.derive(root, interval);
        mac.update(LABEL);
        mac.update(body.as_bytes());
        mac
    }
}
