//! Answers from backend servers.

use std::{net::SocketAddr, time::Duration};

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, ResponseType};

use crate::{
    backend::Completion,
    coap,
    counter::Counter,
    entry::{EntryAction, EntryContext},
    error::Result,
    request::{
        Requests,
        attempt::{MAX_ATTEMPTS, finish_attempt},
        block::{entity_tag, has_more, transfer_key},
        budget::RetryBudget,
        exchange::{Attempt, Dispatch},
        record::{RecordState, RequestId},
    },
    time::Time,
};

impl Requests {
    /// Handles a message from a backend server that is not a request.
    pub(crate) fn handle_answer(
        &mut self,
        now: Time,
        from: SocketAddr,
        answer: Packet,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let MessageClass::Response(code) = answer.header.code else { return Ok(()) };
        if answer.header.get_type() == MessageType::Confirmable {
            let bytes = coap::encode(&coap::acknowledgement(answer.header.message_id))?;
            cx.act(EntryAction::ToServer { to: from, bytes });
        }
        let ticket = answer.get_token().try_into().map_or(0, u64::from_be_bytes);
        let found = self.tickets.get(&ticket).and_then(|id| {
            let exchange = self.exchanges.get_mut(id)?;
            let Dispatch::Running(attempt) = &exchange.dispatch else { return None };
            (attempt.ticket == ticket && attempt.to == from).then(|| (id.clone(), attempt.clone()))
        });
        let Some((id, attempt)) = found else {
            cx.count(Counter::AnswersStale);
            return Ok(());
        };
        self.tickets.remove(&ticket);
        if let Some(exchange) = self.exchanges.get_mut(&id) {
            exchange.dispatch = Dispatch::Idle;
        }
        if code == ResponseType::ServiceUnavailable {
            return self.handle_rejected(now, &id, attempt, &answer, cx);
        }
        let latency = now.since(attempt.sent);
        finish_attempt(&attempt, Completion::Served { latency }, cx)?;
        self.handle_served(now, &id, attempt, answer, cx)
    }

    fn handle_served(
        &mut self,
        now: Time,
        id: &RequestId,
        attempt: Attempt,
        mut answer: Packet,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let Some(exchange) = self.exchanges.get(id) else { return Ok(()) };
        let service = exchange.service.clone();
        let request = &exchange.request;
        let transfer = transfer_key(&exchange.flow, request);
        let tag = entity_tag(&answer);
        let known = self.transfers.get(&transfer).filter(|_| exchange.pinned.is_some());
        if known.is_some_and(|known| known.tag.is_some() && known.tag != tag) {
            self.transfers.remove(&transfer);
            return self.fail_transfer(now, id, cx);
        }
        let head = coap::response(request, ResponseType::Content).header;
        answer.header.set_type(head.get_type());
        answer.header.message_id = head.message_id;
        answer.set_token(request.get_token().to_vec());
        if has_more(request, &answer) && self.transfers.insert(now, transfer, attempt.server, tag) {
            cx.count(Counter::TransfersForgotten);
        }
        self.budgets.entry(service.clone()).or_insert_with(RetryBudget::new).deposit();
        let bytes = coap::encode(&answer)?;
        self.close(now, id, RecordState::Answered(bytes), cx)?;
        // Requests a slot for the next waiting request at once: if the home is another VM, it
        // learns that this slot is free before the new admission request arrives.
        self.dispatch_one(now, &service, cx)
    }

    /// Handles a rejection: the backend server did not run the request, so another one may be
    /// tried.
    fn handle_rejected(
        &mut self,
        now: Time,
        id: &RequestId,
        attempt: Attempt,
        answer: &Packet,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        const DEFAULT_RETRY_S: u32 = 1;
        let age = answer
            .get_first_option_as::<coap_lite::option_value::OptionValueU32>(CoapOption::MaxAge);
        let retry_s = age.and_then(|age| age.ok()).map_or(DEFAULT_RETRY_S, |age| age.0);
        let retry = Duration::from_secs(retry_s.into());
        finish_attempt(&attempt, Completion::Shed { retry }, cx)?;
        let Some(exchange) = self.exchanges.get_mut(id) else { return Ok(()) };
        exchange.tried.push(attempt.server);
        let service = exchange.service.clone();
        let over = exchange.tried.len() >= MAX_ATTEMPTS || exchange.pinned.is_some();
        self.queue(&service).retry_s = retry_s.max(1);
        if over { self.refuse(now, id, cx) } else { self.advance(now, id, cx) }
    }

    /// Answers that the transfer failed because no backend server has the earlier blocks.
    pub(crate) fn fail_transfer(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        const REMEDY: &[u8] = b"block-wise transfer lost; start it again";
        let Some(exchange) = self.exchanges.get(id) else { return Ok(()) };
        cx.count(Counter::TransfersBroken);
        let code = match coap::block(&exchange.request, CoapOption::Block1) {
            Some(_) => ResponseType::RequestEntityIncomplete,
            None => ResponseType::BadGateway,
        };
        let mut answer = coap::response(&exchange.request, code);
        answer.payload = REMEDY.to_vec();
        let bytes = coap::encode(&answer)?;
        self.close(now, id, RecordState::Answered(bytes), cx)
    }
}
