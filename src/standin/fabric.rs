//! A simulated fabric that sends packets to entry VMs and delivers responses to callers.

use std::{net::SocketAddr, sync::Arc};

use tokio::{net::UdpSocket, task::JoinHandle};

use crate::{
    error::Result,
    packet::{self, Geneve},
};

const MAX_PACKET_LEN: usize = 65_536;

/// A simulated fabric on one UDP socket.
pub struct Fabric {
    socket: Arc<UdpSocket>,
    delivery_task: JoinHandle<()>,
}

impl Fabric {
    /// Binds the fabric to `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if `addr` cannot be bound.
    pub async fn new(addr: SocketAddr) -> Result<Fabric> {
        let socket = Arc::new(UdpSocket::bind(addr).await?);
        let delivery_task = tokio::spawn(deliver_responses(socket.clone()));
        Ok(Fabric { socket, delivery_task })
    }

    /// Encapsulates the inner packet `inner` and sends it to the entry VM with the packet address
    /// `entry`.
    ///
    /// # Errors
    ///
    /// Returns an error if the packet cannot be sent.
    pub async fn send(&self, entry: SocketAddr, inner: &[u8]) -> Result<()> {
        self.socket.send_to(&packet::encapsulate(inner), entry).await?;
        Ok(())
    }
}

impl Drop for Fabric {
    fn drop(&mut self) {
        self.delivery_task.abort();
    }
}

async fn deliver_responses(socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_PACKET_LEN];
    while let Ok((len, _)) = socket.recv_from(&mut buf).await {
        let Ok(geneve) = Geneve::decode(&buf[..len]) else { continue };
        let Ok(parsed) = packet::parse(geneve.inner) else { continue };
        // In a response, the destination is the caller, which parses as the service address.
        _ = socket.send_to(parsed.payload, parsed.key.service).await;
    }
}
