//! A simulated caller and the packets that it sends.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use etherparse::PacketBuilder;
use tokio::{net::UdpSocket, time::timeout};

use crate::{
    error::{Error, Result},
    packet::{self, FlowKey, Protocol},
};

const MAX_PACKET_LEN: usize = 65_536;
const HOP_LIMIT: u8 = 64;
const TCP_WINDOW: u16 = 65_535;

/// A simulated caller that receives responses on one UDP socket.
pub struct Caller {
    socket: UdpSocket,
}

impl Caller {
    /// Binds a caller to `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if `addr` cannot be bound.
    pub async fn new(addr: SocketAddr) -> Result<Caller> {
        Ok(Caller { socket: UdpSocket::bind(addr).await? })
    }

    /// Returns the caller's address and port.
    ///
    /// # Errors
    ///
    /// Returns an error if the local address is not available.
    pub fn addr(&self) -> Result<SocketAddr> {
        Ok(self.socket.local_addr()?)
    }

    /// Waits for the next response and returns its payload.
    ///
    /// # Errors
    ///
    /// Returns an error if receiving fails or no response arrives within `limit`.
    pub async fn receive(&self, limit: Duration) -> Result<Vec<u8>> {
        let mut buf = vec![0; MAX_PACKET_LEN];
        let received = timeout(limit, self.socket.recv_from(&mut buf));
        let (len, _) = received
            .await
            .map_err(|_| Error::unavailable("no response within the time limit"))??;
        buf.truncate(len);
        Ok(buf)
    }
}

/// Builds an inner TCP packet; `syn` makes it a SYN.
///
/// # Panics
///
/// Panics when an address is not IPv4.
pub fn tcp_packet(caller: SocketAddr, service: SocketAddr, syn: bool, payload: &[u8]) -> Vec<u8> {
    let (IpAddr::V4(source), IpAddr::V4(destination)) = (caller.ip(), service.ip()) else {
        panic!("a TCP packet needs IPv4 addresses");
    };
    let step = PacketBuilder::ipv4(source.octets(), destination.octets(), HOP_LIMIT);
    let step = step.tcp(caller.port(), service.port(), 1, TCP_WINDOW);
    let step = if syn { step.syn() } else { step.ack(1) };
    let mut buf = Vec::with_capacity(step.size(payload.len()));
    step.write(&mut buf, payload).expect("the payload fits into an IP packet");
    buf
}

/// Builds an inner UDP packet.
pub fn udp_packet(caller: SocketAddr, service: SocketAddr, payload: &[u8]) -> Vec<u8> {
    // `packet::reply` builds a packet from the service to the caller, so the two are swapped here.
    let key = FlowKey { protocol: Protocol::Udp, caller: service, service: caller };
    packet::reply(&key, payload)
}
