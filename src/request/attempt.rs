//! Attempts of an exchange at backend servers: asking, sending, letting go.

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
        exchange::{Attempt, Exchange, Slot},
        record::RequestId,
    },
    time::Time,
};

/// Share of an exchange's time after which an idempotent request is tried elsewhere.
const ATTEMPT_SHARE: u32 = 3;

/// Backend servers that a request is tried at.
pub(crate) const MAX_TRIES: usize = 3;

/// Part of the time after which a request is tried elsewhere that varies between requests.
const JITTER_SHARE: u64 = 4;

impl Requests {
    /// Asks for a backend server, or queues the exchange where asking is pointless.
    pub(crate) fn ask(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let Some(exchange) = self.open.get(id) else { return Ok(()) };
        let (service, tried) = (exchange.service.clone(), exchange.tried.clone());
        if let Some(pin) = exchange.pin.clone() {
            return self.ask_pinned(now, id, &pin, cx);
        }
        if !self.queue(&service).may_ask() {
            return self.enqueue(now, id, cx);
        }
        self.ask_except(now, id, tried, cx)
    }

    /// Asks for the one backend server that has the blocks before.
    fn ask_pinned(
        &mut self,
        now: Time,
        id: &RequestId,
        pin: &Name,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let servers = &cx.shared.state.servers;
        let Some(server) = servers.get(pin) else { return self.break_transfer(now, id, cx) };
        if server.draining {
            // No admission is given for new work, but this transfer is under way.
            let (to, boot) = (server.requests, server.boot);
            let ticket = self.ticket(id, cx);
            self.grant(now, id, ticket, (pin.clone(), to, boot), false);
            return self.advance(now, id, cx);
        }
        let others = servers.keys().filter(|name| *name != pin).cloned().collect();
        self.ask_except(now, id, others, cx)
    }

    pub(crate) fn ask_except(
        &mut self,
        now: Time,
        id: &RequestId,
        tried: Vec<Name>,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let ticket = self.ticket(id, cx);
        let Some(exchange) = self.open.get_mut(id) else { return Ok(()) };
        exchange.slot = Slot::Asking(ticket);
        let service = exchange.service.clone();
        self.queue(&service).asking += 1;
        cx.send(BACKENDS, EntryMessage::Ask(AdmissionRequest { ticket, service, tried }))?;
        self.advance(now, id, cx)
    }

    fn ticket(&mut self, id: &RequestId, cx: &EntryContext<'_>) -> u64 {
        const INCARNATION_SHIFT: u32 = 20;
        if self.next == 0 {
            // Tickets of an earlier start never come again, so its answers match no attempt.
            self.next = cx.shared.me.incarnation << INCARNATION_SHIFT;
        }
        self.next += 1;
        self.tickets.insert(self.next, id.clone());
        self.next
    }

    /// Takes the backend service's answer to an ask.
    pub(crate) fn admission(
        &mut self,
        now: Time,
        ticket: u64,
        admission: Admission,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let id = self.tickets.get(&ticket).cloned();
        let asking = |e: &Exchange| e.slot == Slot::Asking(ticket);
        let Some(id) = id.filter(|id| self.open.get(id).is_some_and(asking)) else {
            return match admission {
                Admission::Granted { server, .. } => {
                    finish(ticket, server, Completion::Cancelled, cx)
                }
                Admission::Refused { .. } => Ok(()),
            };
        };
        let service = self.open[&id].service.clone();
        let queue = self.queue(&service);
        queue.asking = queue.asking.saturating_sub(1);
        match admission {
            Admission::Granted { server, to } => {
                queue.blocked = false;
                let boot = cx.shared.state.servers.get(&server).map_or(0, |server| server.boot);
                self.grant(now, &id, ticket, (server, to, boot), true);
                self.advance(now, &id, cx)?;
                self.pump(now, &service, cx)
            }
            Admission::Refused { retry } => {
                queue.blocked = true;
                queue.retry_s = seconds(retry);
                self.tickets.remove(&ticket);
                self.enqueue(now, &id, cx)
            }
        }
    }

    fn grant(
        &mut self,
        now: Time,
        id: &RequestId,
        ticket: u64,
        server: (Name, SocketAddr, u64),
        admitted: bool,
    ) {
        let Some(exchange) = self.open.get_mut(id) else { return };
        let (server, to, boot) = server;
        let attempt =
            Attempt { ticket, server, to, boot, admitted, message: 0, sent: now, retry: None };
        exchange.slot = Slot::Granted(attempt);
    }

    /// Sends the request to the backend server that admitted it, unless it is too late.
    pub(crate) fn send(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let Some(exchange) = self.open.get_mut(id) else { return Ok(()) };
        let Slot::Granted(mut attempt) = exchange.slot.clone() else { return Ok(()) };
        let left_ms = exchange.left_ms(now);
        if left_ms == 0 {
            return self.refuse(now, id, cx);
        }
        let first = hash(&attempt.ticket.to_be_bytes()) as u16;
        let message = self.messages.entry(attempt.server.clone()).or_insert(first);
        *message = message.wrapping_add(1);
        attempt.message = *message;
        attempt.sent = now;
        attempt.retry = retry_time(now, exchange, attempt.ticket);
        let mut forwarded = exchange.request.clone();
        forwarded.set_token(attempt.ticket.to_be_bytes().to_vec());
        forwarded.header.message_id = attempt.message;
        coap::set_deadline(&mut forwarded, left_ms);
        let bytes = coap::encode(&forwarded)?;
        cx.act(EntryAction::ToServer { to: attempt.to, bytes });
        exchange.slot = Slot::Running(attempt);
        Ok(())
    }

    /// Refuses an exchange of which no copy has run.
    pub(crate) fn refuse(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        self.release(now, id, cx)?;
        let Some(service) = self.open.get(id).map(|e| e.service.clone()) else { return Ok(()) };
        let retry_s = self.queue(&service).retry_s;
        if let Some(exchange) = self.open.get_mut(id) {
            exchange.give_up(retry_s);
        }
        self.advance(now, id, cx)
    }

    /// Takes an exchange out, after it let go of its backend server.
    pub(crate) fn take(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<Option<Exchange>> {
        self.release(now, id, cx)?;
        Ok(self.open.remove(id))
    }

    /// Lets go of the queue place, the ask or the backend server; cancels a running attempt.
    pub(crate) fn release(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let Some(exchange) = self.open.get_mut(id) else { return Ok(()) };
        let late = now >= exchange.deadline || exchange.idempotent;
        let service = exchange.service.clone();
        match std::mem::replace(&mut exchange.slot, Slot::Idle) {
            Slot::Idle => Ok(()),
            Slot::Queued => {
                self.queue(&service).remove(id);
                Ok(())
            }
            Slot::Asking(ticket) => {
                self.tickets.remove(&ticket);
                let queue = self.queue(&service);
                queue.asking = queue.asking.saturating_sub(1);
                Ok(())
            }
            Slot::Granted(attempt) => {
                self.tickets.remove(&attempt.ticket);
                finish_attempt(&attempt, Completion::Cancelled, cx)
            }
            Slot::Running(attempt) => {
                self.tickets.remove(&attempt.ticket);
                let bytes = coap::encode(&coap::cancel(attempt.message))?;
                cx.act(EntryAction::ToServer { to: attempt.to, bytes });
                let end = if late { Completion::TimedOut } else { Completion::Cancelled };
                finish_attempt(&attempt, end, cx)
            }
        }
    }
}

/// Returns when an attempt is given up for another one; varied, so that retries of one storm do
/// not keep step.
fn retry_time(now: Time, exchange: &Exchange, ticket: u64) -> Option<Time> {
    if !exchange.idempotent {
        return None;
    }
    let wait = exchange.deadline.since(exchange.since) / ATTEMPT_SHARE;
    let span = wait.as_micros() as u64 / JITTER_SHARE;
    let jitter = hash(&ticket.to_be_bytes()) % span.max(1);
    Some(now + wait + Duration::from_micros(jitter))
}

pub(crate) fn finish_attempt(
    attempt: &Attempt,
    end: Completion,
    cx: &mut EntryContext<'_>,
) -> Result<()> {
    if !attempt.admitted {
        return Ok(());
    }
    finish(attempt.ticket, attempt.server.clone(), end, cx)
}

fn finish(ticket: u64, server: Name, end: Completion, cx: &mut EntryContext<'_>) -> Result<()> {
    cx.send(BACKENDS, EntryMessage::Finish { ticket, server, finish: end })
}

/// Returns `span` in whole seconds, rounded up, and 1 at least.
fn seconds(span: Duration) -> u32 {
    u32::try_from(span.as_millis().div_ceil(1_000)).unwrap_or(u32::MAX).max(1)
}
