//! Authenticated datagrams between entry VMs.

use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::net::UdpSocket;

use crate::{
    counter::Counter,
    daemon::udp,
    entry::EntryNode,
    error::Result,
    member::Member,
    name::Name,
    peer::{Keys, PeerMessage, Seal},
    settings::EntrySettings,
};

/// The UDP socket for peer datagrams and the keys that seal them. Without keys, nothing is sent or
/// accepted.
pub(super) struct PeerSocket {
    socket: UdpSocket,
    seal: Option<Mutex<Seal>>,
}

impl PeerSocket {
    /// Wraps `socket` for the VM `me`.
    ///
    /// # Errors
    ///
    /// Fails when the file with root keys cannot be used.
    pub(super) fn new(
        socket: UdpSocket,
        me: &Member,
        settings: &EntrySettings,
    ) -> Result<PeerSocket> {
        let keys = match &settings.keys {
            Some(path) => Some(Keys::load(path)?),
            None if settings.insecure => Some(Keys::insecure()),
            None => None,
        };
        if settings.insecure {
            log::warn!(
                "peer datagrams are not authenticated (`insecure` is set); set `keys` in production"
            );
        }
        let seal = keys.map(|keys| Mutex::new(Seal::new(me, keys)));
        Ok(PeerSocket { socket, seal })
    }

    /// Waits until the socket is readable; there may still be no datagram.
    pub(super) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Receives the waiting datagrams and passes each message, or the counter of its refusal, to
    /// `handle`.
    pub(super) fn receive(
        &self,
        buf: &mut [u8],
        mut handle: impl FnMut(std::result::Result<(Name, PeerMessage), Counter>),
    ) -> io::Result<()> {
        udp::receive_batch(&self.socket, buf, |bytes, _| handle(self.open(bytes))).map(drop)
    }

    /// Sends `message` to the VM `to`; returns whether the socket accepted it.
    pub(super) fn send(&self, node: &EntryNode, to: &Name, message: &PeerMessage) -> bool {
        node.peer_addr(to).is_some_and(|addr| self.send_to(addr, message))
    }

    /// Sends `message` to the VM whose peer address is `to`; returns whether the socket accepted
    /// it.
    pub(super) fn send_to(&self, to: SocketAddr, message: &PeerMessage) -> bool {
        let Some(mut seal) = self.seal() else { return false };
        let sealed = seal.seal(unix_time(), to, message);
        sealed.is_ok_and(|bytes| udp::send(&self.socket, &bytes, to))
    }

    fn open(&self, bytes: &[u8]) -> std::result::Result<(Name, PeerMessage), Counter> {
        let mut seal = self.seal().ok_or(Counter::PeersKeyless)?;
        seal.open(unix_time(), bytes).map_err(|refusal| refusal.counter())
    }

    fn seal(&self) -> Option<MutexGuard<'_, Seal>> {
        let seal = self.seal.as_ref()?;
        Some(seal.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Returns the time since the Unix epoch.
pub(super) fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
