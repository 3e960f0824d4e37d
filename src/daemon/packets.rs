//! The packet socket: datagrams in batches, one wake-up for many.

use std::{io, net::SocketAddr};

use tokio::net::UdpSocket;

/// Datagrams taken per wake-up before other events get their turn.
const BATCH: usize = 64;

/// Longest UDP payload, in bytes.
pub(super) const MAX_LEN: usize = 65_536;

/// Takes up to [`BATCH`] datagrams that wait on `socket` and hands each to `take`.
///
/// Returns without waiting once none is left, and whether none is; the caller waits for the socket
/// to be readable.
///
/// # Errors
///
/// Fails when the socket can no longer be used.
pub(super) fn drain(
    socket: &UdpSocket,
    buf: &mut [u8],
    mut take: impl FnMut(&[u8], SocketAddr),
) -> io::Result<bool> {
    for _ in 0..BATCH {
        match socket.try_recv_from(buf) {
            Ok((len, from)) => take(&buf[..len], from),
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(true),
            // An earlier datagram met a closed port; the socket itself is fine.
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(err) => return Err(err),
        }
    }
    Ok(false)
}

/// Sends `bytes` without waiting; returns whether they left.
///
/// A full socket buffer loses the datagram, as a full queue on the way would.
pub(super) fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) -> bool {
    socket.try_send_to(bytes, to).is_ok()
}
