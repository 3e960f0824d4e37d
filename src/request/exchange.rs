//! An open exchange: a request that this VM carries out.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use coap_lite::Packet;

use crate::{
    coap,
    name::Name,
    packet::FlowKey,
    request::{
        fence::ProcessId,
        record::{RecordState, RequestId, owner_key},
    },
    time::Time,
};

/// An exchange that has not been answered.
pub(crate) struct Exchange {
    pub(crate) id: RequestId,
    pub(crate) service: Name,
    pub(crate) flow: FlowKey,
    /// Hash that selects the owners.
    pub(crate) owner_key: u64,
    pub(crate) request: Packet,
    pub(crate) idempotent: bool,
    pub(crate) received: Time,
    pub(crate) deadline: Time,
    /// Whether the fence allows it to run.
    pub(crate) fence_passed: bool,
    /// Earlier owners that promised not to run it.
    pub(crate) releases: BTreeSet<ProcessId>,
    /// When earlier owners were last asked to release it.
    pub(crate) lookup_sent: Option<Time>,
    pub(crate) replica: ReplicaState,
    /// Set once it will not run: the retry delay for the caller, in seconds.
    pub(crate) refusal: Option<u32>,
    pub(crate) dispatch: Dispatch,
    /// Backend servers that rejected it or did not answer.
    pub(crate) tried: Vec<Name>,
    /// The backend server that has the earlier blocks of its transfer.
    pub(crate) pinned: Option<Name>,
}

/// State of the replica at the second owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplicaState {
    /// Not sent.
    None,
    /// Sent at this time.
    Sent(Time),
    Acknowledged,
}

/// Progress of an exchange towards a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Dispatch {
    /// No slot has been requested.
    Idle,
    /// It waits in the queue of its service.
    Queued,
    /// A slot has been requested with this ticket.
    Requested(u64),
    /// It holds a slot, and the request has not been sent.
    Granted(Attempt),
    /// The request has been sent.
    Running(Attempt),
}

/// An attempt at one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub(crate) ticket: u64,
    pub(crate) server: Name,
    pub(crate) to: SocketAddr,
    /// Boot number of the backend server when the slot was granted.
    pub(crate) boot: u64,
    /// Whether it holds a slot that has to be released.
    pub(crate) holds_slot: bool,
    /// Message ID sent to the backend server.
    pub(crate) message_id: u16,
    pub(crate) sent: Time,
    /// Time of a retry, or `None` to wait until the deadline.
    pub(crate) retry_at: Option<Time>,
}

impl Exchange {
    /// Creates an exchange for which nothing has been done yet.
    pub(crate) fn new(
        now: Time,
        service: Name,
        flow: FlowKey,
        request: Packet,
        left: Duration,
    ) -> Exchange {
        Exchange {
            id: super::request_id(&flow, &request),
            service,
            flow,
            owner_key: owner_key(&flow),
            idempotent: coap::is_idempotent(&request),
            request,
            received: now,
            deadline: now + left,
            fence_passed: false,
            releases: BTreeSet::new(),
            lookup_sent: None,
            replica: ReplicaState::None,
            refusal: None,
            dispatch: Dispatch::Idle,
            tried: Vec::new(),
            pinned: None,
        }
    }

    /// Returns whether the request was sent to a backend server that has not rejected it.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.dispatch, Dispatch::Running(_))
    }

    /// Returns whether `state` is a promise to a VM that has since released the request to this one.
    pub(crate) fn is_released_by(&self, state: &RecordState) -> bool {
        matches!(state, RecordState::OwnedBy { owner, incarnation }
            if self.releases.contains(&(owner.clone(), *incarnation)))
    }

    /// Decides that the request will not run; the second owner has to acknowledge that first.
    pub(crate) fn give_up(&mut self, retry_s: u32) {
        if self.refusal.is_none() {
            self.refusal = Some(retry_s);
            self.replica = ReplicaState::None;
        }
    }

    /// Returns the time left, in milliseconds.
    pub(crate) fn left_ms(&self, now: Time) -> u32 {
        u32::try_from(self.deadline.since(now).as_millis()).unwrap_or(u32::MAX)
    }
}
