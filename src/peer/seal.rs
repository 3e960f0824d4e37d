//! Authentication and replay protection of peer datagrams.
//!
//! A datagram consists of a header, a message and a tag. The tag is HMAC-SHA256 (RFC 2104),
//! truncated to 16 bytes, over the receiver's address, the header and the message. Its key is that
//! of the interval in which the datagram was sent.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use hmac::Mac;
use serde::{Deserialize, Serialize};

use crate::{
    counter::Counter,
    error::{Error, Result},
    member::Member,
    name::{MAX_NAME_LEN, Name},
    peer::{
        PeerMessage,
        key::{self, KeyedMac, Keys},
        window::ReplayWindow,
    },
};

const VERSION: u8 = 1;

/// Length of a tag in bytes.
const TAG_LEN: usize = 16;

/// Maximum number of senders whose replay windows are kept.
const MAX_SENDERS: usize = 8_192;

/// Number of intervals after which a silent sender is forgotten. Its old datagrams have expired by
/// then.
const SENDER_TTL_INTERVALS: u64 = 3;

/// Reason for rejecting a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// It is not a peer datagram, or its message cannot be decoded.
    Malformed,
    /// The tag does not match: another key or receiver, or the datagram was modified.
    Forged,
    /// It was sent in an interval that is too far from the current one, or the clocks differ too
    /// much.
    Expired,
    /// It has been received before, or comes from an earlier incarnation of its sender.
    Replayed,
    /// It was sent by the receiver itself.
    Reflected,
    /// The sender is new and the limit on tracked senders has been reached.
    TooManySenders,
}

impl Refusal {
    /// Returns the counter of datagrams that were rejected for this reason.
    pub const fn counter(self) -> Counter {
        match self {
            Refusal::Malformed => Counter::PeersGarbage,
            Refusal::Forged => Counter::PeersForged,
            Refusal::Expired => Counter::PeersExpired,
            Refusal::Replayed => Counter::PeersReplayed,
            Refusal::Reflected => Counter::PeersReflected,
            Refusal::TooManySenders => Counter::PeersUnlisted,
        }
    }
}

#[derive(Serialize, Deserialize)]
struct Header {
    version: u8,
    interval: u64,
    incarnation: u64,
    sequence: u64,
    sender: Name,
}

struct SenderState {
    window: ReplayWindow,
    last_interval: u64,
}

/// Seals and opens the datagrams of one VM.
///
/// Times are wall-clock times since the Unix epoch. The clocks of two VMs may differ by up to one
/// interval.
pub struct Seal {
    name: Name,
    addr: SocketAddr,
    incarnation: u64,
    sequence: u64,
    keys: Keys,
    /// Keyed MACs by root key and interval.
    macs: BTreeMap<(usize, u64), KeyedMac>,
    senders: BTreeMap<Name, SenderState>,
    last_sweep: u64,
}

impl Seal {
    /// Creates the seal of the VM `me`.
    pub fn new(me: &Member, keys: Keys) -> Seal {
        Seal {
            name: me.name.clone(),
            addr: me.peers,
            incarnation: me.incarnation,
            sequence: 0,
            keys,
            macs: BTreeMap::new(),
            senders: BTreeMap::new(),
            last_sweep: 0,
        }
    }

    /// Returns a datagram with `message` for the VM whose peer address is `to`.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be encoded.
    pub fn seal(
        &mut self,
        wall: Duration,
        to: SocketAddr,
        message: &PeerMessage,
    ) -> Result<Vec<u8>> {
        let interval = key::interval(wall);
        self.sequence += 1;
        let header = Header {
            version: VERSION,
            interval,
            incarnation: self.incarnation,
            sequence: self.sequence,
            sender: self.name.clone(),
        };
        let header = postcard::to_stdvec(&header)
            .map_err(|_| Error::protocol("cannot encode peer datagram header"))?;
        let mut bytes = [header, message.encode()?].concat();
        let tag = self.mac(0, interval, to, &bytes).finalize().into_bytes();
        bytes.extend(&tag[..TAG_LEN]);
        Ok(bytes)
    }

    /// Verifies a datagram and returns its sender and message.
    ///
    /// # Errors
    ///
    /// Returns the reason if the datagram is rejected.
    pub fn open(
        &mut self,
        wall: Duration,
        bytes: &[u8],
    ) -> std::result::Result<(Name, PeerMessage), Refusal> {
        let (signed, tag) = bytes.split_last_chunk::<TAG_LEN>().ok_or(Refusal::Malformed)?;
        let (header, body) =
            postcard::take_from_bytes::<Header>(signed).map_err(|_| Refusal::Malformed)?;
        if header.version != VERSION || header.sender.len() > MAX_NAME_LEN {
            return Err(Refusal::Malformed);
        }
        if header.sender == self.name {
            return Err(Refusal::Reflected);
        }
        if header.interval.abs_diff(key::interval(wall)) > 1 {
            return Err(Refusal::Expired);
        }
        self.verify(header.interval, signed, tag)?;
        self.check_replay(wall, &header)?;
        let message = PeerMessage::decode(body).map_err(|_| Refusal::Malformed)?;
        Ok((header.sender, message))
    }

    fn verify(
        &mut self,
        interval: u64,
        signed: &[u8],
        tag: &[u8; TAG_LEN],
    ) -> std::result::Result<(), Refusal> {
        let addr = self.addr;
        let mut roots = 0..self.keys.len();
        let verified = roots.any(|root| {
            let mac = self.mac(root, interval, addr, signed);
            mac.verify_truncated_left(tag).is_ok()
        });
        if verified { Ok(()) } else { Err(Refusal::Forged) }
    }

    /// Checks a verified header against the replay window of its sender.
    fn check_replay(
        &mut self,
        wall: Duration,
        header: &Header,
    ) -> std::result::Result<(), Refusal> {
        let now = key::interval(wall);
        if self.last_sweep != now {
            self.last_sweep = now;
            self.senders.retain(|_, sender| sender.last_interval + SENDER_TTL_INTERVALS > now);
        }
        if let Some(sender) = self.senders.get_mut(&header.sender) {
            if !sender.window.accept(header.incarnation, header.sequence) {
                return Err(Refusal::Replayed);
            }
            sender.last_interval = now;
            return Ok(());
        }
        if self.senders.len() >= MAX_SENDERS {
            return Err(Refusal::TooManySenders);
        }
        let window = ReplayWindow::new(header.incarnation, header.sequence);
        self.senders.insert(header.sender.clone(), SenderState { window, last_interval: now });
        Ok(())
    }

    /// Returns the MAC over the receiver's address and `signed`.
    fn mac(&mut self, root: usize, interval: u64, to: SocketAddr, signed: &[u8]) -> KeyedMac {
        // The accepted intervals are at most two apart; drop the keys of all others.
        self.macs.retain(|(_, kept), _| kept.abs_diff(interval) <= 2);
        let derived = self.macs.entry((root, interval));
        let mut mac = derived.or_insert_with(|| self.keys.derive(root, interval)).clone();
        let ip = match to.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped(),
            IpAddr::V6(ip) => ip,
        };
        mac.update(&ip.octets());
        mac.update(&to.port().to_be_bytes());
        mac.update(signed);
        mac
    }
}
