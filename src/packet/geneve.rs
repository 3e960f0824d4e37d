//! The Geneve header (RFC 8926).

use crate::error::{Error, Result};

/// Header length without options, in bytes.
pub(crate) const HEADER_LEN: usize = 8;

const VERSION_BITS: u8 = 0xc0;
const OPTIONS_LEN_BITS: u8 = 0x3f;
const CRITICAL_BIT: u8 = 0x40;
const OPTION_UNIT: usize = 4;
const IPV4: u16 = 0x0800;
const IPV6: u16 = 0x86dd;

/// A decoded Geneve packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Geneve<'a> {
    /// Virtual network identifier, 24 bits.
    pub vni: u32,
    /// The inner IP packet.
    pub inner: &'a [u8],
}

impl<'a> Geneve<'a> {
    /// Decodes a Geneve header. Options are skipped, but a critical option is an error.
    ///
    /// # Errors
    ///
    /// Fails if the header is truncated, has another version or a critical option, or if the
    /// payload is not an IP packet.
    ///
    /// ```
    /// use galenatrail::Geneve;
    ///
    /// let bytes = [0, 0, 0x08, 0x00, 0, 0, 7, 0, 0x45];
    /// let geneve = Geneve::decode(&bytes).unwrap();
    /// assert_eq!((geneve.vni, geneve.inner), (7, &[0x45][..]));
    /// ```
    pub fn decode(bytes: &'a [u8]) -> Result<Geneve<'a>> {
        let (head, rest) = bytes
            .split_first_chunk::<HEADER_LEN>()
            .ok_or_else(|| malformed("truncated Geneve header"))?;
        if head[0] & VERSION_BITS != 0 {
            return Err(malformed("unsupported Geneve version"));
        }
        if head[1] & CRITICAL_BIT != 0 {
            return Err(malformed("unsupported critical Geneve option"));
        }
        let kind = u16::from_be_bytes([head[2], head[3]]);
        if kind != IPV4 && kind != IPV6 {
            return Err(malformed("Geneve payload is not an IP packet"));
        }
        let options = usize::from(head[0] & OPTIONS_LEN_BITS) * OPTION_UNIT;
        let inner = rest.get(options..).ok_or_else(|| malformed("truncated Geneve options"))?;
        let vni = u32::from_be_bytes([0, head[4], head[5], head[6]]);
        Ok(Geneve { vni, inner })
    }
}

/// Encodes the header for an inner IPv4 or IPv6 packet.
pub(crate) fn header(vni: u32, is_v6: bool) -> [u8; HEADER_LEN] {
    let kind = if is_v6 { IPV6 } else { IPV4 }.to_be_bytes();
    let vni = vni.to_be_bytes();
    [0, 0, kind[0], kind[1], vni[1], vni[2], vni[3], 0]
}

#[cold]
fn malformed(message: &'static str) -> Error {
    Error::protocol(message)
}
