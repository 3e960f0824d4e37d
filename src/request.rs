//! Requests: CoAP exchanges between callers and backend servers. A non-idempotent request runs at
//! most once.
//!
//! `docs/design/requests.md` describes the design.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    coap,
    counter::Counter,
    entry::{EntryAction, EntryContext, EntryMessage, Shared},
    error::Result,
    kernel::Service,
    name::Name,
    packet::FlowKey,
    peer::PeerMessage,
    time::Time,
};

mod answer;
mod attempt;
mod block;
mod budget;
mod drain;
mod exchange;
mod fence;
mod owner;
mod queue;
mod record;
mod replica;
mod timeout;
mod waiting;

use block::Transfers;
use budget::RetryBudget;
use drain::Drain;
use exchange::Exchange;
use fence::Fence;
use queue::Queue;
use record::Records;

pub use fence::Epoch;
pub(crate) use record::owner_key;
pub use record::{RecordState, RequestId};

/// Messages about requests between entry VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RequestMessage {
    /// Forwards a request to its owner.
    Relay {
        /// Name of the service.
        service: Name,
        /// Addresses of caller and service.
        key: FlowKey,
        /// The CoAP message.
        payload: Vec<u8>,
        /// Time left for the exchange, in milliseconds.
        left_ms: u32,
        /// Number of entry VMs that the request has passed through.
        hops: u8,
    },
    /// Replicates an owner's record to the second owner.
    Replicate {
        /// The request.
        id: RequestId,
        /// State that the second owner records.
        state: RecordState,
        /// Incarnation of the owner.
        incarnation: u64,
    },
    /// The second owner's answer to [`RequestMessage::Replicate`].
    Replicated {
        /// The request.
        id: RequestId,
        /// Whether the replicated record was a refusal.
        refused: bool,
        /// Incarnation of the second owner.
        incarnation: u64,
        /// The conflicting state that it has recorded, or `None` if it stored the replica.
        conflict: Option<RecordState>,
    },
    /// An owner without a record asks an earlier owner to release the request.
    Lookup {
        /// The request.
        id: RequestId,
        /// Incarnation of the sender.
        incarnation: u64,
    },
    /// The answer to [`RequestMessage::Lookup`].
    LookupReply {
        /// The request.
        id: RequestId,
        /// Incarnation of the sender.
        incarnation: u64,
        /// The recorded state, or `None` if the sender has not run the request and never will.
        conflict: Option<RecordState>,
    },
    /// Requests the epochs that the receiver knows.
    GetEpochs,
    /// The epochs that the sender knows.
    Epochs {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Whether all parts together include every relevant epoch.
        complete: bool,
        /// Version of the sender's epochs; the parts of one answer share it.
        serial: u64,
        /// Number of this part, from 0.
        part: u16,
        /// Number of parts.
        parts: u16,
        /// The epochs of this part.
        epochs: Vec<Epoch>,
    },
    /// The sender is shutting down and owns nothing from now on.
    Leaving {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Whether it has finished its requests.
        done: bool,
    },
}

/// A request as received by this VM.
pub(crate) struct Arrival {
    service: Name,
    key: FlowKey,
    payload: Vec<u8>,
    left_ms: Option<u32>,
    hops: u8,
    /// The entry VM that relayed it.
    from: Option<Name>,
}

/// Forwards requests to backend servers and returns the answers.
pub(crate) struct Requests {
    fence: Fence,
    records: Records,
    exchanges: BTreeMap<RequestId, Exchange>,
    /// Requests by ticket, for admission requests and attempts.
    tickets: BTreeMap<u64, RequestId>,
    next_ticket: u64,
    /// Last message ID sent to each backend server.
    message_ids: BTreeMap<Name, u16>,
    queues: BTreeMap<Name, Queue>,
    budgets: BTreeMap<Name, RetryBudget>,
    transfers: Transfers,
    /// Incarnations of the VMs that are shutting down.
    leaving: BTreeMap<Name, u64>,
    drain: Drain,
    /// When the epochs of other VMs were last requested.
    epochs_requested: Option<Time>,
    /// Whether the members service was notified that this VM knows the epochs.
    ready: bool,
    /// View version and lease state that the fence has applied.
    applied: Option<(u64, bool)>,
}

impl Requests {
    pub(crate) fn new() -> Requests {
        Requests {
            fence: Fence::new(),
            records: Records::new(),
            exchanges: BTreeMap::new(),
            tickets: BTreeMap::new(),
            next_ticket: 0,
            message_ids: BTreeMap::new(),
            queues: BTreeMap::new(),
            budgets: BTreeMap::new(),
            transfers: Transfers::new(),
            leaving: BTreeMap::new(),
            drain: Drain::Serving,
            epochs_requested: None,
            ready: false,
            applied: None,
        }
    }

    fn handle_peer(
        &mut self,
        now: Time,
        from: Name,
        message: RequestMessage,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        match message {
            RequestMessage::Relay { service, key, payload, left_ms, hops } => {
                let (left_ms, from) = (Some(left_ms), Some(from));
                let arrival = Arrival { service, key, payload, left_ms, hops, from };
                self.handle_request(now, arrival, cx)
            }
            RequestMessage::Replicate { id, state, incarnation } => {
                self.handle_replicate(now, (from, incarnation), id, state, cx)
            }
            RequestMessage::Replicated { id, refused, incarnation, conflict } => {
                self.handle_replicated(now, (from, incarnation), &id, refused, conflict, cx)
            }
            RequestMessage::Lookup { id, incarnation } => {
                self.handle_lookup(now, (from, incarnation), id, cx)
            }
            RequestMessage::LookupReply { id, incarnation, conflict } => {
                self.handle_lookup_reply(now, (from, incarnation), &id, conflict, cx)
            }
            RequestMessage::GetEpochs => {
                self.send_epochs(now, from, cx);
                Ok(())
            }
            RequestMessage::Epochs { incarnation, complete, serial, part, parts, epochs } => {
                let from = (from, incarnation);
                self.fence.add_epochs(now, epochs);
                if !self.fence.receive_part(&from, complete, serial, part, parts) {
                    return Ok(());
                }
                self.advance_all(now, cx)
            }
            RequestMessage::Leaving { incarnation, done } => {
                self.handle_leaving(now, (from, incarnation), done, cx)
            }
        }
    }

    fn tick(&mut self, now: Time, cx: &mut EntryContext<'_>) -> Result<()> {
        self.records.expire(now);
        self.transfers.expire(now);
        self.applied = None;
        self.refresh(now, cx)?;
        self.request_epochs(now, cx)?;
        self.check_timeouts(now, cx)?;
        self.advance_all(now, cx)?;
        self.dispatch_all(now, cx)?;
        self.drain(now, cx)
    }
}

impl Service<Shared, EntryMessage, EntryAction> for Requests {
    fn handle(&mut self, now: Time, msg: EntryMessage, cx: &mut EntryContext<'_>) {
        let mut result = self.refresh(now, cx);
        result = result.and_then(|()| match msg {
            EntryMessage::Request { service, key, payload } => {
                cx.count(Counter::RequestsReceived);
                let arrival = Arrival { service, key, payload, left_ms: None, hops: 0, from: None };
                self.handle_request(now, arrival, cx)
            }
            EntryMessage::Admission { ticket, admission } => {
                self.handle_admission(now, ticket, admission, cx)
            }
            EntryMessage::Answer { from, message } => self.handle_answer(now, from, message, cx),
            EntryMessage::Peer { from, message: PeerMessage::Request(message) } => {
                self.handle_peer(now, from, message, cx)
            }
            EntryMessage::SlotFreed { service, server } => {
                self.use_freed_slot(now, &service, &server, cx)
            }
            EntryMessage::Drain { limit_ms } => self.start_drain(now, limit_ms, cx),
            EntryMessage::Tick => self.tick(now, cx),
            _ => Ok(()),
        });
        if result.is_err() {
            cx.count(Counter::PacketsMalformed);
        }
    }
}

/// Sends `message` to the entry VM `to`.
fn send_to_peer(cx: &mut EntryContext<'_>, to: Name, message: RequestMessage) {
    cx.act(EntryAction::ToPeer { to, message: PeerMessage::Request(message) });
}

/// Sends `message` to the caller of `key`.
fn send_reply(cx: &mut EntryContext<'_>, key: &FlowKey, message: &[u8]) {
    let packet = crate::packet::reply(key, message);
    cx.act(EntryAction::ToCaller { packet });
}

/// Returns the ID of the request `message` of `key`.
fn request_id(key: &FlowKey, message: &coap_lite::Packet) -> RequestId {
    RequestId {
        caller: key.caller,
        service: key.service,
        message_id: message.header.message_id,
        token: message.get_token().to_vec(),
    }
}

/// Encodes the answer for a recorded state; an open request has none yet.
fn encode_answer(request: &coap_lite::Packet, state: &RecordState) -> Result<Option<Vec<u8>>> {
    match state {
        RecordState::Open | RecordState::OwnedBy { .. } => Ok(None),
        RecordState::Refused { retry_s } => {
            coap::encode(&coap::refusal(request, *retry_s)).map(Some)
        }
        RecordState::Answered(bytes) => Ok(Some(bytes.clone())),
        RecordState::Unknown => coap::encode(&coap::unknown_outcome(request)).map(Some),
    }
}
