//! What is known of one backend server.

use std::{net::SocketAddrV4, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{member::hash, name::Name};

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Number of the server, which its packets name.
    pub id: u64,
    /// Name of the service.
    pub service: Name,
    /// Where its packets go.
    pub addr: SocketAddrV4,
    /// Availability zone that it runs in.
    pub zone: Name,
    /// Whether it takes no new flows.
    pub draining: bool,
    /// How much longer it is cold.
    pub cold: Duration,
    /// Number of its start: a higher one is a server that knows nothing of before.
    pub born: u64,
    /// Number of the announcement since the start.
    pub sequence: u64,
}

/// What a backend server does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ServerState {
    /// Takes new flows.
    Ready,
    /// Keeps its flows and takes no new ones.
    Draining,
    /// Has left, or another server has its address; nothing may be sent to it.
    Gone,
}

/// A backend server as control VMs and entry VMs know it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerRecord {
    /// The newest announcement.
    pub announced: Announcement,
    /// What the server does.
    pub state: ServerState,
    /// Whether the sender of the record has heard nothing of the server for some time.
    pub silent: bool,
}

impl ServerRecord {
    /// Returns the record of an announcement.
    pub fn new(announced: Announcement) -> ServerRecord {
        let state = if announced.draining { ServerState::Draining } else { ServerState::Ready };
        ServerRecord { announced, state, silent: false }
    }

    /// Returns what orders records of one server: a start, the end of that start, and the
    /// announcement.
    pub fn version(&self) -> (u64, bool, u64) {
        (self.announced.born, self.state == ServerState::Gone, self.announced.sequence)
    }

    /// Returns whether an entry VM has to know of the record that holds `before`.
    pub fn differs(&self, before: &ServerRecord) -> bool {
        let (new, old) = (&self.announced, &before.announced);
        self.state != before.state
            || self.silent != before.silent
            || new.born != old.born
            || new.addr != old.addr
            || new.service != old.service
            || new.zone != old.zone
            || new.cold > old.cold
    }
}

/// Returns the cookie that stands for the server `id`; never 0, which stands for none.
pub fn tag(id: u64) -> u32 {
    match u32::try_from(id) {
        Ok(tag) if tag != 0 => tag,
        _ => (hash(&id.to_le_bytes()) as u32).max(1),
    }
}
