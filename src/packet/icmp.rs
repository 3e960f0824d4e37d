//! ICMP errors about packets of a flow (RFC 792, RFC 4443).
//!
//! A router that cannot forward an answer of a backend server to the caller sends an ICMP error to
//! the service's address that quotes the start of the answer. Such an error, in particular "packet
//! too big" (RFC 1191, RFC 8201), has to reach the backend server that sent the answer.

use std::net::SocketAddr;

use etherparse::{IpNumber, Ipv4HeaderSlice, Ipv6HeaderSlice};

use crate::packet::{FlowKey, Protocol};

const TYPE_POS: usize = 0;
const QUOTE_POS: usize = 8;

const V4_UNREACHABLE: u8 = 3;
const V6_UNREACHABLE: u8 = 1;
const V6_TOO_BIG: u8 = 2;

/// Returns the flow of the packet quoted by an ICMPv4 error.
pub(super) fn v4_flow(icmp: &[u8]) -> Option<FlowKey> {
    if *icmp.get(TYPE_POS)? != V4_UNREACHABLE {
        return None;
    }
    let quote = icmp.get(QUOTE_POS..)?;
    let ip = Ipv4HeaderSlice::from_slice(quote).ok()?;
    let rest = quote.get(ip.slice().len()..)?;
    let (service, caller) = (ip.source_addr().into(), ip.destination_addr().into());
    parse_quote(ip.protocol(), service, caller, rest)
}

/// Returns the flow of the packet quoted by an ICMPv6 error.
pub(super) fn v6_flow(icmp: &[u8]) -> Option<FlowKey> {
    if !matches!(*icmp.get(TYPE_POS)?, V6_UNREACHABLE | V6_TOO_BIG) {
        return None;
    }
    let quote = icmp.get(QUOTE_POS..)?;
    let ip = Ipv6HeaderSlice::from_slice(quote).ok()?;
    let rest = quote.get(ip.slice().len()..)?;
    let (service, caller) = (ip.source_addr().into(), ip.destination_addr().into());
    parse_quote(ip.next_header(), service, caller, rest)
}

/// Reads the ports, which come first in TCP and UDP headers. The quoted packet was sent from the
/// service to the caller.
fn parse_quote(
    number: IpNumber,
    service: std::net::IpAddr,
    caller: std::net::IpAddr,
    rest: &[u8],
) -> Option<FlowKey> {
    let protocol = match number {
        IpNumber::TCP => Protocol::Tcp,
        IpNumber::UDP => Protocol::Udp,
        _ => return None,
    };
    let &[a, b, c, d] = rest.first_chunk()?;
    Some(FlowKey {
        protocol,
        service: SocketAddr::new(service, u16::from_be_bytes([a, b])),
        caller: SocketAddr::new(caller, u16::from_be_bytes([c, d])),
    })
}
