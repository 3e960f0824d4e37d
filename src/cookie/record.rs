//! The record of one backend server.

use std::{net::SocketAddrV4, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    member::hash,
    name::Name,
};

/// The state that a backend server announces.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Announcement {
    /// Number of the server, which the packets sent to it carry.
    pub id: u64,
    /// Name of the service.
    pub service: Name,
    /// Address to which its packets are sent.
    pub addr: SocketAddrV4,
    /// Availability zone that it runs in.
    pub zone: Name,
    /// Whether it accepts no new flows.
    pub draining: bool,
    /// How much longer it is cold.
    #[serde(rename = "cold")]
    pub warmup_left: Duration,
    /// Number of its start: a server with a higher one keeps no state of an earlier start.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Number of the announcement since the start.
    pub sequence: u64,
    /// Requests that it processes at the same time, at least 1.
    pub slots: u32,
}

impl Announcement {
    /// Longest name of a service or an availability zone, in bytes: that of a DNS name.
    const MAX_NAME_LEN: usize = 255;

    /// Most slots of a server. Sums over all servers of a system fit 32 bits, twice over.
    const MAX_SLOTS: u32 = 16_384;

    /// Returns whether the server is in its start `incarnation` and has the address `addr`.
    pub(super) fn is_start_at(&self, incarnation: u64, addr: SocketAddrV4) -> bool {
        self.incarnation == incarnation && self.addr == addr
    }

    /// Checks that the announcement is of a server that can be used.
    ///
    /// # Errors
    ///
    /// Fails when a name is empty or too long, when no packet can be sent to the address, and when
    /// the server has no slot or more than a server can have.
    pub fn check(&self) -> Result<()> {
        for (path, name) in [("service", &self.service), ("zone", &self.zone)] {
            if name.is_empty() || name.len() > Announcement::MAX_NAME_LEN {
                let (len, max) = (name.len(), Announcement::MAX_NAME_LEN);
                let message = format!("the name has {len} bytes; use 1 to {max}");
                return Err(Error::config(message).with_path(path));
            }
        }
        let ip = self.addr.ip();
        if self.addr.port() == 0 || ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast() {
            let message = format!("{} is not the address of a server", self.addr);
            return Err(Error::config(message).with_path("address"));
        }
        let max = Announcement::MAX_SLOTS;
        if !(1..=max).contains(&self.slots) {
            let message = format!("the server has {} slots; announce 1 to {max}", self.slots);
            return Err(Error::config(message).with_path("slots"));
        }
        Ok(())
    }
}

/// Why what was sent as an announcement names no server to use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidAnnouncement {
    /// It cannot be read in the format of announcements.
    Unreadable,
    /// A field is missing or of another type.
    Incomplete,
    /// A field has a value that no server has.
    OutOfRange,
}

impl InvalidAnnouncement {
    /// Returns the name of the reason in logs.
    pub const fn name(self) -> &'static str {
        match self {
            InvalidAnnouncement::Unreadable => "unreadable",
            InvalidAnnouncement::Incomplete => "incomplete",
            InvalidAnnouncement::OutOfRange => "out_of_range",
        }
    }
}

/// The state of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ServerState {
    /// Accepts new flows.
    Ready,
    /// Keeps its flows and accepts no new ones.
    Draining,
    /// Has left, or another server has its address; nothing may be sent to it.
    Gone,
}

/// A backend server as control VMs and entry VMs know it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerRecord {
    /// The newest announcement.
    #[serde(rename = "announced")]
    pub announcement: Announcement,
    /// The state of the server.
    pub state: ServerState,
    /// Whether the sender of the record has missed several announcements of the server in a row.
    pub silent: bool,
}

impl ServerRecord {
    /// Creates the record of an announcement.
    pub fn new(announcement: Announcement) -> ServerRecord {
        let state = if announcement.draining { ServerState::Draining } else { ServerState::Ready };
        ServerRecord { announcement, state, silent: false }
    }

    /// Returns the key that orders the records of one server: the start, whether that start has
    /// ended, and the announcement.
    pub fn version(&self) -> (u64, bool, u64) {
        let Announcement { incarnation, sequence, .. } = self.announcement;
        (incarnation, self.state == ServerState::Gone, sequence)
    }

    /// Returns whether this record has to be sent to an entry VM that holds `before`, apart from the
    /// time for which the server is cold.
    pub fn is_change(&self, before: &ServerRecord) -> bool {
        let (new, old) = (&self.announcement, &before.announcement);
        self.state != before.state
            || self.silent != before.silent
            || new.incarnation != old.incarnation
            || new.addr != old.addr
            || new.service != old.service
            || new.zone != old.zone
            || new.slots != old.slots
    }
}

/// Returns the cookie of the server `id`; never 0, which means no cookie.
pub fn server_cookie(id: u64) -> u32 {
    match u32::try_from(id) {
        Ok(cookie) if cookie != 0 => cookie,
        _ => (hash(&id.to_le_bytes()) as u32).max(1),
    }
}
