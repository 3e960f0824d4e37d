//! A server as it is, whatever the control VMs believe.

use galenatrail::Announcement;

/// One start of a server. Times are in milliseconds.
#[derive(Debug, Clone)]
pub(super) struct Server {
    pub(super) announcement: Announcement,
    pub(super) started_at: u64,
    pub(super) ended_at: Option<u64>,
    pub(super) drains_since: Option<u64>,
    /// When its draining was acknowledged first.
    pub(super) acknowledged_at: Option<u64>,
    /// Until when it waits for the reply to its leave.
    pub(super) leaves_until: Option<u64>,
    pub(super) next_call: u64,
    /// When the last of its announcements arrived, which may be long after its end.
    pub(super) heard_at: u64,
}

impl Server {
    /// Returns whether it runs.
    pub(super) fn lives(&self) -> bool {
        self.ended_at.is_none()
    }
}

/// Finds a start of a server.
pub(super) fn find(servers: &mut [Server], id: u64, incarnation: u64) -> Option<&mut Server> {
    servers.iter_mut().find(|server| {
        server.announcement.id == id && server.announcement.incarnation == incarnation
    })
}
