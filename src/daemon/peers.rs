//! The peer socket: sealed datagrams between entry VMs.

use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::net::UdpSocket;

use crate::{
    counter::Counter,
    daemon::packets,
    entry::EntryNode,
    error::Result,
    member::Member,
    name::Name,
    peer::{Keys, PeerMessage, Seal},
    settings::EntrySettings,
};

/// The peer socket and the keys; without keys nothing is sent or taken.
pub(super) struct Peers {
    socket: UdpSocket,
    seal: Option<Mutex<Seal>>,
}

impl Peers {
    /// Returns the peer socket of the VM `me`.
    ///
    /// # Errors
    ///
    /// Fails when the file with root keys cannot be used.
    pub(super) fn new(socket: UdpSocket, me: &Member, settings: &EntrySettings) -> Result<Peers> {
        let keys = match &settings.keys {
            Some(path) => Some(Keys::load(path)?),
            None if settings.insecure => Some(Keys::insecure()),
            None => None,
        };
        if settings.insecure {
            log::warn!("peer datagrams prove nothing; name a file with `keys` in production");
        }
        let seal = keys.map(|keys| Mutex::new(Seal::new(me, keys)));
        Ok(Peers { socket, seal })
    }

    /// Waits until datagrams may have arrived.
    pub(super) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Takes datagrams that wait; the outcome of each goes to `take`.
    pub(super) fn drain(
        &self,
        buf: &mut [u8],
        mut take: impl FnMut(std::result::Result<(Name, PeerMessage), Counter>),
    ) -> io::Result<()> {
        packets::drain(&self.socket, buf, |bytes, _| take(self.open(bytes))).map(drop)
    }

    /// Sends `message` to the VM `to`; returns whether it left.
    pub(super) fn send(&self, node: &EntryNode, to: &Name, message: &PeerMessage) -> bool {
        node.peer_addr(to).is_some_and(|addr| self.send_to(addr, message))
    }

    /// Sends `message` to the VM whose peer address is `to`; returns whether it left.
    pub(super) fn send_to(&self, to: SocketAddr, message: &PeerMessage) -> bool {
        let Some(mut seal) = self.seal() else { return false };
        let sealed = seal.seal(wall(), to, message);
        sealed.is_ok_and(|bytes| packets::send(&self.socket, &bytes, to))
    }

    fn open(&self, bytes: &[u8]) -> std::result::Result<(Name, PeerMessage), Counter> {
        let mut seal = self.seal().ok_or(Counter::PeersKeyless)?;
        seal.open(wall(), bytes).map_err(|refusal| refusal.counter())
    }

    fn seal(&self) -> Option<MutexGuard<'_, Seal>> {
        let seal = self.seal.as_ref()?;
        Some(seal.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Returns the time since 1970.
pub(super) fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
