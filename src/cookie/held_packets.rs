//! Packets that wait until an entry VM that has just started knows enough to forward them.

use std::time::Duration;

use super::verdict::PacketInfo;
use crate::time::Time;

/// Limit on held packets, some 300 KB; a VM receives half of it in the time for which a packet is
/// held.
const MAX_PACKETS: usize = 256;
/// Time after which a caller repeats an opening; it doubles with each copy, and after the last copy
/// the caller gives up.
const OPENING_INTERVAL: Duration = Duration::from_millis(200);
/// Copies of an opening packet after the first.
const MAX_RETRANSMITS: u32 = 2;
/// Longest interval at which a caller repeats any other packet: one without a copy for longer is no
/// longer waited for.
const DATA_INTERVAL: Duration = Duration::from_millis(1_600);

/// A packet that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldPacket {
    /// Its decoded fields.
    pub info: PacketInfo,
    /// The packet.
    pub bytes: Box<[u8]>,
    /// When its caller sends it again or gives up.
    pub expiry: Time,
}

/// Packets that wait, by arrival.
///
/// Answers the load of a restart: the callers of a whole availability zone send to VMs that know no
/// plan and no backend servers yet. A packet waits no longer than until its caller sends it again or
/// gives up, and a copy takes the place of the packet, so that no server receives both.
#[derive(Debug, Clone, Default)]
pub struct HeldPackets {
    packets: Vec<HeldPacket>,
}

impl HeldPackets {
    /// Creates an empty queue.
    pub fn new() -> HeldPackets {
        HeldPackets::default()
    }

    /// Returns the number of held packets.
    pub fn len(&self) -> usize {
        self.packets.len()
    }

    /// Returns whether no packet is held.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Holds a packet that arrived at `now`. A copy replaces the earlier packet.
    ///
    /// Returns the packet that had to make room, the oldest one, whose caller is the next to send
    /// again.
    pub fn push(&mut self, now: Time, info: PacketInfo, bytes: &[u8]) -> Option<HeldPacket> {
        let key =
            |info: &PacketInfo, len| (info.caller, info.route, info.opens, info.sequence, len);
        let copied = key(&info, bytes.len());
        self.packets.retain(|held| key(&held.info, held.bytes.len()) != copied);
        let expiry = now + patience(&info);
        self.packets.push(HeldPacket { info, bytes: bytes.into(), expiry });
        (self.packets.len() > MAX_PACKETS).then(|| self.packets.remove(0))
    }

    /// Returns when the next packet expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.packets.iter().map(|held| held.expiry).min()
    }

    /// Takes the packets for which `ready` returns true and those that have expired at `now`:
    /// openings first, as they have the shortest time left, then by arrival.
    pub fn take(
        &mut self,
        now: Time,
        mut ready: impl FnMut(&PacketInfo) -> bool,
    ) -> Vec<HeldPacket> {
        let due = |held: &mut HeldPacket| held.expiry <= now || ready(&held.info);
        let mut taken: Vec<_> = self.packets.extract_if(.., due).collect();
        taken.sort_by_key(|held| !held.info.opens);
        taken
    }
}

/// Returns for how long the caller waits before it sends a packet again or gives up.
fn patience(info: &PacketInfo) -> Duration {
    match info.opens {
        true => OPENING_INTERVAL * (1 << info.retransmits.min(MAX_RETRANSMITS)),
        false => DATA_INTERVAL,
    }
}
