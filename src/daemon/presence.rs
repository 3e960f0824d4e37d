//! Datagrams by which a control VM tells entry VMs without a feed that it is up.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    net::UdpSocket,
    sync::Notify,
    time::{Instant, sleep},
};

use super::udp;
use crate::{
    cookie::{ControlLocation, FeedTargets},
    error::{Error, Result},
    time::Time,
};

/// Receive buffer, in bytes; a location takes some 30.
const BUF_LEN: usize = 256;
/// Delay before the next attempt to receive when the socket fails.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Opens the socket for presence datagrams.
///
/// # Errors
///
/// Fails when the address cannot be used.
pub(super) async fn bind(addr: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(addr).await.map_err(|err| {
        Error::settings(format!("{addr}: {err}; free the address or choose another"))
    })
}

/// Sends to each of `entry_vms` that the control VM `me` is up; returns how many datagrams the
/// socket accepted.
pub(super) fn send(socket: &UdpSocket, me: &ControlLocation, entry_vms: &[SocketAddr]) -> usize {
    let bytes = postcard::to_stdvec(me).expect("a location is plain data");
    entry_vms.iter().filter(|addr| udp::send(socket, &bytes, **addr)).count()
}

/// Receives presence datagrams for ever and passes them to the feeds.
pub(super) async fn receive(
    socket: UdpSocket,
    targets: Arc<Mutex<FeedTargets>>,
    hint: Arc<Notify>,
    started_at: Instant,
) {
    let mut buf = [0; BUF_LEN];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                log::warn!("event=presence_failed reason={:?}", err.to_string());
                sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(location) = postcard::from_bytes::<ControlLocation>(&buf[..len]) else {
            log::info!("event=presence_malformed from={from} bytes={len}");
            continue;
        };
        let now = Time::ZERO + started_at.elapsed();
        let addr = location.addr;
        let new = targets.lock().unwrap_or_else(PoisonError::into_inner).add_hint(now, location);
        if new {
            log::info!("event=presence control={addr}");
            hint.notify_waiters();
        }
    }
}
