//! Packets: the Geneve encapsulation between fabric, entry VMs and backend servers, and the fields
//! of the inner packet that forwarding needs.

use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use etherparse::{IpNumber, IpSlice, PacketBuilder, TcpSlice, UdpSlice};
use serde::{Deserialize, Serialize};

use crate::counter::Counter;

mod geneve;
mod icmp;

use geneve::header;

pub use geneve::Geneve;

/// Transport protocol of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// Transmission Control Protocol (RFC 9293).
    Tcp,
    /// User Datagram Protocol (RFC 768).
    Udp,
}

/// The 5-tuple that identifies a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct FlowKey {
    /// Transport protocol.
    pub protocol: Protocol,
    /// Address and port of the caller.
    pub caller: SocketAddr,
    /// Address and port of the service.
    pub service: SocketAddr,
}

/// Effect of a packet on the state of its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Segment {
    /// A TCP SYN without ACK: the flow opens.
    Open,
    /// A TCP RST or FIN: the flow is about to end.
    Close,
    /// Any other TCP packet, or a UDP packet.
    Data,
    /// An ICMP error about a packet of the flow.
    Error,
}

/// The fields of an inner packet that forwarding needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParsedPacket<'a> {
    /// The flow of the packet.
    pub key: FlowKey,
    /// Effect on the state of the flow.
    pub segment: Segment,
    /// The transport payload.
    pub payload: &'a [u8],
}

/// Parses an inner IPv4 or IPv6 packet with TCP, UDP or an ICMP error about one of these.
///
/// # Errors
///
/// Fails with the counter for the reason: malformed or fragmented.
pub fn parse(inner: &[u8]) -> Result<ParsedPacket<'_>, Counter> {
    let net = IpSlice::from_slice(inner).map_err(|_| Counter::PacketsMalformed)?;
    if net.is_fragmenting_payload() {
        return Err(Counter::PacketsFragmented);
    }
    let transport = net.payload();
    if matches!(transport.ip_number, IpNumber::ICMP | IpNumber::IPV6_ICMP) {
        return icmp_error(&net);
    }
    let (protocol, ports, segment, payload) = match transport.ip_number {
        IpNumber::TCP => {
            let tcp =
                TcpSlice::from_slice(transport.payload).map_err(|_| Counter::PacketsMalformed)?;
            let ports = (tcp.source_port(), tcp.destination_port());
            (Protocol::Tcp, ports, segment(&tcp), tcp.payload())
        }
        IpNumber::UDP => {
            let udp =
                UdpSlice::from_slice(transport.payload).map_err(|_| Counter::PacketsMalformed)?;
            let ports = (udp.source_port(), udp.destination_port());
            (Protocol::Udp, ports, Segment::Data, udp.payload())
        }
        _ => return Err(Counter::PacketsMalformed),
    };
    let key = FlowKey {
        protocol,
        caller: SocketAddr::new(net.source_addr(), ports.0),
        service: SocketAddr::new(net.destination_addr(), ports.1),
    };
    Ok(ParsedPacket { key, segment, payload })
}

/// Parses an ICMP error and attributes it to the flow of the quoted packet.
fn icmp_error<'a>(net: &IpSlice<'a>) -> Result<ParsedPacket<'a>, Counter> {
    let transport = net.payload();
    let key = match transport.ip_number {
        IpNumber::ICMP => icmp::v4_flow(transport.payload),
        _ => icmp::v6_flow(transport.payload),
    };
    let key = key.ok_or(Counter::PacketsMalformed)?;
    if key.service.ip() != net.destination_addr() {
        return Err(Counter::PacketsMalformed);
    }
    Ok(ParsedPacket { key, segment: Segment::Error, payload: &[] })
}

fn segment(tcp: &TcpSlice<'_>) -> Segment {
    if tcp.syn() && !tcp.ack() {
        Segment::Open
    } else if tcp.rst() || tcp.fin() {
        Segment::Close
    } else {
        Segment::Data
    }
}

/// Builds an IP packet with a UDP datagram from the service of `key` to its caller.
pub fn reply(key: &FlowKey, payload: &[u8]) -> Vec<u8> {
    const HOP_LIMIT: u8 = 64;
    let ip_builder = match (key.service.ip(), key.caller.ip()) {
        (IpAddr::V4(source), IpAddr::V4(target)) => {
            PacketBuilder::ipv4(source.octets(), target.octets(), HOP_LIMIT)
        }
        (source, target) => {
            PacketBuilder::ipv6(to_ipv6(source).octets(), to_ipv6(target).octets(), HOP_LIMIT)
        }
    };
    let builder = ip_builder.udp(key.service.port(), key.caller.port());
    let mut buf = Vec::with_capacity(builder.size(payload.len()));
    builder.write(&mut buf, payload).expect("a datagram payload fits into an ip packet");
    buf
}

/// Prepends a Geneve header to an inner IP packet.
pub fn encapsulate(inner: &[u8]) -> Vec<u8> {
    const VERSION_6: u8 = 6;
    let is_v6 = inner.first().is_some_and(|byte| byte >> 4 == VERSION_6);
    let mut buf = Vec::with_capacity(geneve::HEADER_LEN + inner.len());
    buf.extend(header(0, is_v6));
    buf.extend(inner);
    buf
}

fn to_ipv6(addr: IpAddr) -> Ipv6Addr {
    match addr {
        IpAddr::V4(addr) => addr.to_ipv6_mapped(),
        IpAddr::V6(addr) => addr,
    }
}
