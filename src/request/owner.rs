//! The owner of a request: opens the exchange, checks whether it may run, and closes it.

use std::time::Duration;

use coap_lite::Packet;

use crate::{
    coap,
    counter::Counter,
    entry::EntryContext,
    error::Result,
    name::Name,
    request::{
        Arrival, RequestMessage, Requests,
        block::{is_continued, transfer_key},
        encode_answer,
        exchange::{Dispatch, Exchange, ReplicaState},
        fence::{Decision, ProcessId, process_id},
        record::{RecordState, RequestId, owner_key},
        request_id, send_reply, send_to_peer,
    },
    time::Time,
};

/// Time after which an unanswered message to another owner is sent again.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of entry VMs that a request passes through on its way to the owner.
const MAX_HOPS: u8 = 3;

/// Age of a promise from which on a copy that comes back from its holder shows that neither VM
/// carries out the request. Younger ones may come from VMs that do not have the same view yet.
const MAX_HANDOVER_TIME: Duration = Duration::from_secs(3);

/// Maximum deadline of a request, which is below the lifetime of its record.
const MAX_DEADLINE_MS: u32 = 120_000;

/// Deadline of a request of a service whose specification this VM lacks.
const DEFAULT_DEADLINE_MS: u32 = 8_000;

impl Requests {
    /// Handles a request from the fabric or from another entry VM.
    pub(crate) fn handle_request(
        &mut self,
        now: Time,
        arrival: Arrival,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let request = coap::decode(&arrival.payload)?;
        let is_cancel = coap::is_cancel(&request);
        if !is_cancel && !coap::is_request(&request) {
            return Ok(());
        }
        let id = request_id(&arrival.key, &request);
        if let Some(state) = self.records.get(&id).cloned() {
            return self.handle_duplicate(now, arrival, &request, id, state, cx);
        }
        let Some(owner) = self.fence.view().owners(owner_key(&arrival.key)).0.map(process_id)
        else {
            cx.count(Counter::RequestsDropped);
            return Ok(());
        };
        if owner.0 != cx.shared.me.name {
            self.relay(owner.0, arrival, &request, cx);
            return Ok(());
        }
        if is_cancel {
            return self.cancel(now, &id, cx);
        }
        self.open_exchange(now, arrival, request, id, cx)
    }

    fn open_exchange(
        &mut self,
        now: Time,
        arrival: Arrival,
        request: Packet,
        id: RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        if self.records.is_full() {
            cx.count(Counter::RequestsDropped);
            return Ok(());
        }
        let left = Duration::from_millis(time_left(&arrival, &request, cx).into());
        let Arrival { service, key, .. } = arrival;
        let mut exchange = Exchange::new(now, service, key, request, left);
        self.write_record(now, id.clone(), RecordState::Open, exchange.idempotent, cx);
        if left.is_zero() {
            exchange.give_up(self.queue(&exchange.service).retry_s);
        }
        let is_broken = if is_continued(&exchange.request) {
            let transfer = self.transfers.get(&transfer_key(&key, &exchange.request));
            exchange.pinned = transfer.map(|transfer| transfer.server.clone());
            exchange.pinned.is_none()
        } else {
            false
        };
        self.exchanges.insert(id.clone(), exchange);
        if is_broken {
            return self.fail_transfer(now, &id, cx);
        }
        self.advance(now, &id, cx)
    }

    /// Handles a duplicate of a request that has a record.
    fn handle_duplicate(
        &mut self,
        now: Time,
        arrival: Arrival,
        request: &Packet,
        id: RequestId,
        state: RecordState,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        cx.count(Counter::RequestsRepeated);
        let state = match state {
            RecordState::OwnedBy { owner, incarnation } => {
                let me = owner == cx.shared.me.name;
                let is_returned = arrival.from.as_ref() == Some(&owner)
                    && !coap::is_idempotent(request)
                    && self.records.age(now, &id) >= MAX_HANDOVER_TIME;
                if !me && !is_returned && self.fence.is_live(&(owner.clone(), incarnation)) {
                    self.relay(owner, arrival, request, cx);
                    return Ok(());
                }
                self.write_record(now, id, RecordState::Unknown, false, cx);
                RecordState::Unknown
            }
            state => state,
        };
        if let Some(answer) = encode_answer(request, &state)? {
            count_outcome(&state, cx);
            send_reply(cx, &arrival.key, &answer);
        }
        Ok(())
    }

    fn relay(&mut self, to: Name, arrival: Arrival, request: &Packet, cx: &mut EntryContext<'_>) {
        if arrival.hops >= MAX_HOPS {
            cx.count(Counter::RequestsDropped);
            return;
        }
        cx.count(Counter::RequestsRelayed);
        let left_ms = time_left(&arrival, request, cx);
        let Arrival { service, key, payload, hops, .. } = arrival;
        send_to_peer(
            cx,
            to,
            RequestMessage::Relay { service, key, payload, left_ms, hops: hops + 1 },
        );
    }

    /// Advances an exchange as far as possible.
    pub(crate) fn advance(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        if !self.check_fence(now, id, cx)? {
            return Ok(());
        }
        let Some(exchange) = self.exchanges.get(id) else { return Ok(()) };
        if let Some(retry_s) = exchange.refusal {
            if self.replicate(now, id, cx) {
                return self.close(now, id, RecordState::Refused { retry_s }, cx);
            }
            return Ok(());
        }
        match exchange.dispatch {
            Dispatch::Idle => self.request_slot(now, id, cx),
            Dispatch::Requested(_) => {
                self.replicate(now, id, cx);
                Ok(())
            }
            Dispatch::Granted(_) => {
                if self.replicate(now, id, cx) {
                    return self.send_attempt(now, id, cx);
                }
                Ok(())
            }
            Dispatch::Queued | Dispatch::Running(_) => Ok(()),
        }
    }

    /// Advances every open exchange that is neither queued nor running.
    pub(crate) fn advance_all(&mut self, now: Time, cx: &mut EntryContext<'_>) -> Result<()> {
        let waiting =
            |exchange: &&Exchange| !exchange.is_running() && exchange.dispatch != Dispatch::Queued;
        let ids: Vec<_> = self.exchanges.values().filter(waiting).map(|e| e.id.clone()).collect();
        ids.iter().try_for_each(|id| self.advance(now, id, cx))
    }

    /// Returns whether the fence allows the exchange to run; asks earlier owners to release it if
    /// necessary.
    fn check_fence(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<bool> {
        let Some(exchange) = self.exchanges.get_mut(id) else { return Ok(false) };
        if exchange.idempotent || exchange.fence_passed {
            return Ok(true);
        }
        match self.fence.check(now, exchange.owner_key, &cx.shared.me, &exchange.releases) {
            Decision::Allow => {
                exchange.fence_passed = true;
                Ok(true)
            }
            Decision::Wait => Ok(false),
            Decision::AskRelease(processes) => {
                if exchange.lookup_sent.is_none_or(|at| now.since(at) >= RESEND_INTERVAL) {
                    exchange.lookup_sent = Some(now);
                    for (to, _) in processes {
                        let incarnation = cx.shared.me.incarnation;
                        send_to_peer(
                            cx,
                            to,
                            RequestMessage::Lookup { id: id.clone(), incarnation },
                        );
                    }
                }
                Ok(false)
            }
            Decision::Unknown => self.close(now, id, RecordState::Unknown, cx).map(|()| false),
        }
    }

    /// Returns whether the current second owner has acknowledged the record; sends it the record
    /// otherwise.
    pub(crate) fn replicate(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> bool {
        let Some(exchange) = self.exchanges.get_mut(id) else { return false };
        let second = self.fence.view().owners(exchange.owner_key).1;
        let Some(second) = second.filter(|_| !exchange.idempotent) else { return true };
        match exchange.replica {
            ReplicaState::Acknowledged => return true,
            ReplicaState::Sent(at) if now.since(at) < RESEND_INTERVAL => return false,
            _ => {}
        }
        exchange.replica = ReplicaState::Sent(now);
        let state = match exchange.refusal {
            Some(retry_s) => RecordState::Refused { retry_s },
            None => owned_by(process_id(&cx.shared.me)),
        };
        cx.count(Counter::RecordsCopied);
        let incarnation = cx.shared.me.incarnation;
        send_to_peer(
            cx,
            second.name.clone(),
            RequestMessage::Replicate { id: id.clone(), state, incarnation },
        );
        false
    }

    /// Ends an exchange: records the outcome, and sends it to the caller and the second owner.
    pub(crate) fn close(
        &mut self,
        now: Time,
        id: &RequestId,
        state: RecordState,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let Some(exchange) = self.remove_exchange(now, id, cx)? else { return Ok(()) };
        self.write_record(now, id.clone(), state.clone(), exchange.idempotent, cx);
        if let Some(answer) = encode_answer(&exchange.request, &state)? {
            count_outcome(&state, cx);
            send_reply(cx, &exchange.flow, &answer);
        }
        if !exchange.idempotent {
            self.replicate_outcome(exchange.owner_key, id, state, cx);
        }
        self.dispatch_waiting(now, &exchange.service, cx)
    }

    /// Hands an exchange over to another VM, which answers the caller.
    pub(crate) fn hand_over(
        &mut self,
        now: Time,
        id: &RequestId,
        to: ProcessId,
        cx: &mut EntryContext<'_>,
    ) -> Result<Option<Exchange>> {
        let exchange = self.remove_exchange(now, id, cx)?;
        let idempotent = exchange.as_ref().is_some_and(|exchange| exchange.idempotent);
        self.write_record(now, id.clone(), owned_by(to), idempotent, cx);
        Ok(exchange)
    }

    /// Forwards the request of an exchange that was handed over.
    pub(crate) fn forward(
        &mut self,
        now: Time,
        exchange: &Exchange,
        to: Name,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        cx.count(Counter::RequestsRelayed);
        let message = RequestMessage::Relay {
            service: exchange.service.clone(),
            key: exchange.flow,
            payload: coap::encode(&exchange.request)?,
            left_ms: exchange.left_ms(now),
            hops: 1,
        };
        send_to_peer(cx, to, message);
        Ok(())
    }

    /// Writes a record and counts the answers that were evicted.
    pub(crate) fn write_record(
        &mut self,
        now: Time,
        id: RequestId,
        state: RecordState,
        idempotent: bool,
        cx: &mut EntryContext<'_>,
    ) {
        for _ in 0..self.records.insert(now, id, state, idempotent) {
            cx.count(Counter::AnswersForgotten);
        }
    }
}

/// Returns the state of a request that only `owner` may carry out.
pub(crate) fn owned_by(owner: ProcessId) -> RecordState {
    RecordState::OwnedBy { owner: owner.0, incarnation: owner.1 }
}

fn count_outcome(state: &RecordState, cx: &mut EntryContext<'_>) {
    match state {
        RecordState::Refused { .. } => cx.count(Counter::RequestsRefused),
        RecordState::Unknown => cx.count(Counter::RequestsUnknown),
        _ => cx.count(Counter::RequestsAnswered),
    }
}

/// Returns the time left for an exchange, in milliseconds: as given by the caller or the forwarding
/// VM, limited by the service's specification.
fn time_left(arrival: &Arrival, request: &Packet, cx: &EntryContext<'_>) -> u32 {
    let mut services = cx.shared.state.tree.services();
    let spec = services.find(|(_, name, _)| **name == arrival.service).map(|(_, _, spec)| spec);
    let limit = spec.map_or(DEFAULT_DEADLINE_MS, |spec| spec.deadline_ms.min(MAX_DEADLINE_MS));
    let requested = arrival.left_ms.or(coap::deadline(request));
    requested.map_or(limit, |requested| requested.min(limit))
}
