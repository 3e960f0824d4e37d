//! Attempts of an exchange: admission, sending and release.

use std::{net::SocketAddr, time::Duration};

use crate::{
    backend::{Admission, AdmissionRequest, Completion},
    coap,
    entry::{BACKENDS, EntryAction, EntryContext, EntryMessage},
    error::Result,
    member::hash,
    name::Name,
    request::{
        Requests,
        exchange::{Attempt, Dispatch, Exchange},
        record::RequestId,
    },
    time::Time,
};

/// Fraction (as a divisor) of an exchange's time after which an idempotent request is retried at
/// another backend server.
const RETRY_DIVISOR: u32 = 3;

/// Maximum number of backend servers that a request is sent to.
pub(crate) const MAX_ATTEMPTS: usize = 3;

/// Fraction (as a divisor) of the retry delay that is added as random jitter at most.
const JITTER_DIVISOR: u64 = 4;

impl Requests {
    /// Requests a slot, or queues the exchange if a request would not be granted now.
    pub(crate) fn request_slot(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let Some(exchange) = self.exchanges.get(id) else { return Ok(()) };
        let (service, tried) = (exchange.service.clone(), exchange.tried.clone());
        if let Some(pin) = exchange.pinned.clone() {
            return self.request_pinned(now, id, &pin, cx);
        }
        if !self.queue(&service).may_request() {
            return self.enqueue(now, id, cx);
        }
        self.request_except(now, id, tried, cx)
    }

    /// Requests a slot at the backend server that has the earlier blocks of the transfer.
    fn request_pinned(
        &mut self,
        now: Time,
        id: &RequestId,
        pin: &Name,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let servers = &cx.shared.state.servers;
        let Some(server) = servers.get(pin) else { return self.fail_transfer(now, id, cx) };
        if server.draining {
            // A draining server admits no new work, but this transfer has already started.
            let (to, boot) = (server.requests, server.boot);
            let ticket = self.new_ticket(id, cx);
            self.assign_slot(now, id, ticket, (pin.clone(), to, boot), false);
            return self.advance(now, id, cx);
        }
        let others = servers.keys().filter(|name| *name != pin).cloned().collect();
        self.request_except(now, id, others, cx)
    }

    pub(crate) fn request_except(
        &mut self,
        now: Time,
        id: &RequestId,
        tried: Vec<Name>,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let ticket = self.new_ticket(id, cx);
        let Some(exchange) = self.exchanges.get_mut(id) else { return Ok(()) };
        exchange.dispatch = Dispatch::Requested(ticket);
        let service = exchange.service.clone();
        self.queue(&service).pending += 1;
        cx.send(BACKENDS, EntryMessage::Ask(AdmissionRequest { ticket, service, tried }))?;
        self.advance(now, id, cx)
    }

    fn new_ticket(&mut self, id: &RequestId, cx: &EntryContext<'_>) -> u64 {
        const INCARNATION_SHIFT: u32 = 20;
        if self.next_ticket == 0 {
            // Starts with the incarnation, so that answers to an earlier process match no ticket.
            self.next_ticket = cx.shared.me.incarnation << INCARNATION_SHIFT;
        }
        self.next_ticket += 1;
        self.tickets.insert(self.next_ticket, id.clone());
        self.next_ticket
    }

    /// Handles the answer to an admission request.
    pub(crate) fn handle_admission(
        &mut self,
        now: Time,
        ticket: u64,
        admission: Admission,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let id = self.tickets.get(&ticket).cloned();
        let awaits_ticket = |e: &Exchange| e.dispatch == Dispatch::Requested(ticket);
        let Some(id) = id.filter(|id| self.exchanges.get(id).is_some_and(awaits_ticket)) else {
            return match admission {
                Admission::Granted { server, .. } => {
                    finish(ticket, server, Completion::Cancelled, cx)
                }
                Admission::Refused { .. } => Ok(()),
            };
        };
        let service = self.exchanges[&id].service.clone();
        let queue = self.queue(&service);
        queue.pending = queue.pending.saturating_sub(1);
        match admission {
            Admission::Granted { server, to } => {
                queue.blocked = false;
                let boot = cx.shared.state.servers.get(&server).map_or(0, |server| server.boot);
                self.assign_slot(now, &id, ticket, (server, to, boot), true);
                self.advance(now, &id, cx)?;
                self.dispatch_waiting(now, &service, cx)
            }
            Admission::Refused { retry } => {
                queue.blocked = true;
                queue.retry_s = whole_seconds(retry);
                self.tickets.remove(&ticket);
                self.enqueue(now, &id, cx)
            }
        }
    }

    fn assign_slot(
        &mut self,
        now: Time,
        id: &RequestId,
        ticket: u64,
        server: (Name, SocketAddr, u64),
        holds_slot: bool,
    ) {
        let Some(exchange) = self.exchanges.get_mut(id) else { return };
        let (server, to, boot) = server;
        let attempt = Attempt {
            ticket,
            server,
            to,
            boot,
            holds_slot,
            message_id: 0,
            sent: now,
            retry_at: None,
        };
        exchange.dispatch = Dispatch::Granted(attempt);
    }

    /// Sends the request to the backend server that granted a slot, unless the deadline has passed.
    pub(crate) fn send_attempt(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let Some(exchange) = self.exchanges.get_mut(id) else { return Ok(()) };
        let Dispatch::Granted(mut attempt) = exchange.dispatch.clone() else { return Ok(()) };
        let left_ms = exchange.left_ms(now);
        if left_ms == 0 {
            return self.refuse(now, id, cx);
        }
        let first = hash(&attempt.ticket.to_be_bytes()) as u16;
        let message_id = self.message_ids.entry(attempt.server.clone()).or_insert(first);
        *message_id = message_id.wrapping_add(1);
        attempt.message_id = *message_id;
        attempt.sent = now;
        attempt.retry_at = retry_at(now, exchange, attempt.ticket);
        let mut forwarded = exchange.request.clone();
        forwarded.set_token(attempt.ticket.to_be_bytes().to_vec());
        forwarded.header.message_id = attempt.message_id;
        coap::set_deadline(&mut forwarded, left_ms);
        let bytes = coap::encode(&forwarded)?;
        cx.act(EntryAction::ToServer { to: attempt.to, bytes });
        exchange.dispatch = Dispatch::Running(attempt);
        Ok(())
    }

    /// Refuses an exchange that was not sent, or that the backend server did not run.
    pub(crate) fn refuse(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        self.release_slot(now, id, cx)?;
        let Some(service) = self.exchanges.get(id).map(|e| e.service.clone()) else {
            return Ok(());
        };
        let retry_s = self.queue(&service).retry_s;
        if let Some(exchange) = self.exchanges.get_mut(id) {
            exchange.give_up(retry_s);
        }
        self.advance(now, id, cx)
    }

    /// Releases the slot of an exchange and removes the exchange.
    pub(crate) fn remove_exchange(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<Option<Exchange>> {
        self.release_slot(now, id, cx)?;
        Ok(self.exchanges.remove(id))
    }

    /// Leaves the queue, drops the admission request or releases the slot; cancels a running
    /// attempt.
    pub(crate) fn release_slot(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let Some(exchange) = self.exchanges.get_mut(id) else { return Ok(()) };
        let late = now >= exchange.deadline || exchange.idempotent;
        let service = exchange.service.clone();
        match std::mem::replace(&mut exchange.dispatch, Dispatch::Idle) {
            Dispatch::Idle => Ok(()),
            Dispatch::Queued => {
                self.queue(&service).remove(id);
                Ok(())
            }
            Dispatch::Requested(ticket) => {
                self.tickets.remove(&ticket);
                let queue = self.queue(&service);
                queue.pending = queue.pending.saturating_sub(1);
                Ok(())
            }
            Dispatch::Granted(attempt) => {
                self.tickets.remove(&attempt.ticket);
                finish_attempt(&attempt, Completion::Cancelled, cx)
            }
            Dispatch::Running(attempt) => {
                self.tickets.remove(&attempt.ticket);
                let bytes = coap::encode(&coap::cancel(attempt.message_id))?;
                cx.act(EntryAction::ToServer { to: attempt.to, bytes });
                let completion = if late { Completion::TimedOut } else { Completion::Cancelled };
                finish_attempt(&attempt, completion, cx)
            }
        }
    }
}

/// Returns when an attempt is abandoned for a retry. Jitter keeps requests that failed together
/// from retrying together.
fn retry_at(now: Time, exchange: &Exchange, ticket: u64) -> Option<Time> {
    if !exchange.idempotent {
        return None;
    }
    let wait = exchange.deadline.since(exchange.received) / RETRY_DIVISOR;
    let span = wait.as_micros() as u64 / JITTER_DIVISOR;
    let jitter = hash(&ticket.to_be_bytes()) % span.max(1);
    Some(now + wait + Duration::from_micros(jitter))
}

pub(crate) fn finish_attempt(
    attempt: &Attempt,
    completion: Completion,
    cx: &mut EntryContext<'_>,
) -> Result<()> {
    if !attempt.holds_slot {
        return Ok(());
    }
    finish(attempt.ticket, attempt.server.clone(), completion, cx)
}

fn finish(
    ticket: u64,
    server: Name,
    completion: Completion,
    cx: &mut EntryContext<'_>,
) -> Result<()> {
    cx.send(BACKENDS, EntryMessage::Finish { ticket, server, finish: completion })
}

/// Returns `span` in seconds, rounded up, and at least 1.
fn whole_seconds(span: Duration) -> u32 {
    u32::try_from(span.as_millis().div_ceil(1_000)).unwrap_or(u32::MAX).max(1)
}
