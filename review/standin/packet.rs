//! The packet format of the platform.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 8;
pub const ACK: u8 = 64;
pub const FIN: u8 = 2;
pub const RST: u8 = 16;

const HEAD_LEN: usize = 32;

/// A packet. The keyed sum of the platform is replaced by one over the same fields.
#[derive(Debug, Clone)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub echo: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD_LEN + self.data.len());
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.extend([self.flags, 0]);
        bytes.extend(self.dst.port().to_be_bytes());
        bytes.extend(self.dst.ip().octets());
        bytes.extend(self.src.ip().octets());
        bytes.extend(self.src.port().to_be_bytes());
        bytes.extend(self.sum().to_be_bytes());
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend(self.echo.to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    /// Decodes a packet and returns it with whether the system made it: a reset whose sum is 0.
    /// Returns `None` for other packets with a wrong sum.
    pub fn decode(bytes: &[u8]) -> Option<(Packet, bool)> {
        let u16_at = |at: usize| Some(u16::from_be_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let u32_at = |at: usize| Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let packet = Packet {
            src: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(16)?), u16_at(20)?),
            dst: SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(12)?), u16_at(10)?),
            seq: u32_at(0)?,
            ack: u32_at(4)?,
            flags: *bytes.get(8)?,
            echo: u32_at(28)?,
            data: bytes.get(HEAD_LEN..)?.to_vec(),
        };
        let sum = u32_at(22)?;
        let of_system = sum == 0 && packet.flags == RST && packet.data.is_empty();
        (of_system || sum == packet.sum()).then_some((packet, of_system))
    }

    fn sum(&self) -> u32 {
        let fields = (self.src, self.dst, self.seq, self.ack, self.flags);
        let text = format!("{fields:?} {:?}", self.data);
        let sum = text
            .bytes()
            .fold(0x811c_9dc5_u32, |sum, byte| (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193));
        sum.max(1)
    }
}
