//! Whether the requests in progress at the servers of a service in an availability zone leave room
//! for a new flow.
//!
//! Results come late: a server that is full may refuse a request only after a wait of several
//! service times. Requests in progress show the same as soon as they are sent, and include those on
//! flows that are open, which no limit on openings holds back.

/// Requests in progress per slot from which on there is no room: one request waits for each that
/// runs.
const ROOM_LIMIT: f32 = 2.0;
/// Requests in progress per slot from which on queues are nearly full: servers queue a few requests
/// for each slot.
const FULL_LIMIT: f32 = 5.0;

/// Requests in progress and slots of the servers of a service in an availability zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotUse {
    /// Requests in progress; more than slots, as servers queue.
    pub requests: f32,
    /// Slots of the available servers.
    pub slots: f32,
}

impl SlotUse {
    /// Creates the use of `slots` slots by `requests` requests in progress.
    pub fn new(requests: u32, slots: u32) -> SlotUse {
        SlotUse { requests: requests as f32, slots: slots as f32 }
    }

    /// Returns whether there is room for a new flow.
    pub fn has_room(self) -> bool {
        self.requests < self.slots * ROOM_LIMIT
    }

    /// Returns whether the queues of the servers are nearly full.
    pub fn is_full(self) -> bool {
        self.requests >= self.slots * FULL_LIMIT
    }
}
