//! Non-blocking UDP I/O; datagrams are received in batches.

use std::{io, net::SocketAddr};

use tokio::net::UdpSocket;

/// Datagrams received per wake-up before other events are handled.
const MAX_BATCH: usize = 64;

/// Buffer size, in bytes, that holds any UDP payload.
pub(super) const MAX_DATAGRAM_LEN: usize = 65_536;

/// Receives up to [`MAX_BATCH`] waiting datagrams from `socket` and passes each to `handle`.
///
/// Never waits; returns whether the socket is empty. The calling code waits for the socket to be
/// readable.
///
/// # Errors
///
/// Fails when the socket fails.
pub(super) fn receive_batch(
    socket: &UdpSocket,
    buf: &mut [u8],
    mut handle: impl FnMut(&[u8], SocketAddr),
) -> io::Result<bool> {
    for _ in 0..MAX_BATCH {
        match socket.try_recv_from(buf) {
            Ok((len, from)) => handle(&buf[..len], from),
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(true),
            // Reports an ICMP error for a datagram sent earlier; the socket still works.
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(err) => return Err(err),
        }
    }
    Ok(false)
}

/// Sends `bytes` without waiting; returns whether the socket accepted them.
///
/// A full socket buffer drops the datagram, as a full queue on the network would.
pub(super) fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) -> bool {
    socket.try_send_to(bytes, to).is_ok()
}
