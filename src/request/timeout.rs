//! Requests that end by time or by the caller: attempts, deadlines and cancellation.

use std::time::Duration;

use crate::{
    counter::Counter,
    entry::EntryContext,
    error::Result,
    request::{
        Requests,
        attempt::MAX_ATTEMPTS,
        budget::RetryBudget,
        exchange::{Attempt, Dispatch},
        record::{RecordState, RequestId},
    },
    time::Time,
};

impl Requests {
    /// Cancels a request that the caller no longer waits for.
    pub(crate) fn cancel(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let same = |other: &RequestId| {
            (other.caller, other.service, other.message_id)
                == (id.caller, id.service, id.message_id)
        };
        let found = self.exchanges.range(id.clone()..).next().map(|(found, _)| found.clone());
        let Some(id) = found.filter(same) else { return Ok(()) };
        let Some(exchange) = self.remove_exchange(now, &id, cx)? else { return Ok(()) };
        cx.count(Counter::RequestsCancelled);
        self.write_record(now, id, RecordState::Unknown, exchange.idempotent, cx);
        self.dispatch_waiting(now, &exchange.service, cx)
    }

    /// Handles attempts at backend servers that are gone, due retries and expired deadlines.
    pub(crate) fn check_timeouts(&mut self, now: Time, cx: &mut EntryContext<'_>) -> Result<()> {
        let ids: Vec<_> = self.exchanges.keys().cloned().collect();
        for id in ids {
            let Some(exchange) = self.exchanges.get(&id) else { continue };
            if now >= exchange.deadline {
                self.expire_exchange(now, &id, cx)?;
            } else if let Dispatch::Running(attempt) = exchange.dispatch.clone() {
                self.check_attempt(now, &id, &attempt, cx)?;
            }
        }
        Ok(())
    }

    fn expire_exchange(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        const REFUSAL_LIMIT: Duration = Duration::from_secs(1);
        let Some(exchange) = self.exchanges.get(id) else { return Ok(()) };
        let fence_passed = exchange.fence_passed || exchange.idempotent;
        let late = now.since(exchange.deadline) >= REFUSAL_LIMIT;
        if exchange.is_running() || !fence_passed || late {
            return self.close(now, id, RecordState::Unknown, cx);
        }
        if exchange.refusal.is_some() { Ok(()) } else { self.refuse(now, id, cx) }
    }

    fn check_attempt(
        &mut self,
        now: Time,
        id: &RequestId,
        attempt: &Attempt,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let server = cx.shared.state.servers.get(&attempt.server);
        let server_lost = server.is_none_or(|server| server.boot != attempt.boot);
        let due = attempt.retry_at.is_some_and(|at| at <= now);
        if !server_lost && !due {
            return Ok(());
        }
        let Some(exchange) = self.exchanges.get(id) else { return Ok(()) };
        let tries = exchange.tried.len() + 1;
        let may_retry = exchange.idempotent && exchange.pinned.is_none() && tries < MAX_ATTEMPTS;
        let service = exchange.service.clone();
        let budget = self.budgets.entry(service).or_insert_with(RetryBudget::new);
        if may_retry && budget.withdraw() {
            cx.count(Counter::RequestsRetried);
            self.release_slot(now, id, cx)?;
            if let Some(exchange) = self.exchanges.get_mut(id) {
                exchange.tried.push(attempt.server.clone());
            }
            return self.advance(now, id, cx);
        }
        if server_lost {
            return self.close(now, id, RecordState::Unknown, cx);
        }
        if let Some(Dispatch::Running(attempt)) =
            self.exchanges.get_mut(id).map(|e| &mut e.dispatch)
        {
            attempt.retry_at = None;
        }
        Ok(())
    }
}
