//! Requests that wait in the queues of their services.

use crate::{
    entry::EntryContext,
    error::Result,
    name::Name,
    request::{
        Requests,
        exchange::{Dispatch, ReplicaState},
        queue::{Queue, Readiness},
        record::RequestId,
    },
    time::Time,
};

impl Requests {
    /// Returns the queue of `service`.
    pub(crate) fn queue(&mut self, service: &Name) -> &mut Queue {
        self.queues.entry(service.clone()).or_insert_with(Queue::new)
    }

    pub(crate) fn enqueue(
        &mut self,
        now: Time,
        id: &RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let Some(exchange) = self.exchanges.get_mut(id) else { return Ok(()) };
        exchange.dispatch = Dispatch::Queued;
        let (service, since) = (exchange.service.clone(), exchange.received);
        let readiness = if exchange.idempotent || exchange.replica == ReplicaState::Acknowledged {
            Readiness::Ready
        } else if self.queue(&service).may_replicate() {
            if self.replicate(now, id, cx) { Readiness::Ready } else { Readiness::Replicating }
        } else {
            Readiness::NotReplicated
        };
        match self.queue(&service).push(since, id.clone(), readiness) {
            Some(oldest) => self.refuse(now, &oldest, cx),
            None => Ok(()),
        }
    }

    /// Resends unacknowledged replicas of waiting requests.
    fn resend_replicas(&mut self, now: Time, service: &Name, cx: &mut EntryContext<'_>) {
        for id in self.queue(service).replicating() {
            if self.replicate(now, &id, cx) {
                self.queue(service).set_readiness(&id, Readiness::Ready);
            }
        }
    }

    /// Requests slots for waiting requests of `service` until one is refused.
    pub(crate) fn dispatch_waiting(
        &mut self,
        now: Time,
        service: &Name,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        while self.queue(service).may_request() {
            let Some(id) = self.queue(service).pop() else { return Ok(()) };
            self.wake(now, &id, cx)?;
        }
        Ok(())
    }

    /// Requests a slot for one waiting request, even if the last one was refused.
    pub(crate) fn dispatch_one(
        &mut self,
        now: Time,
        service: &Name,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let queue = self.queue(service);
        queue.blocked = false;
        if !queue.may_request() {
            return Ok(());
        }
        let Some(id) = queue.pop() else { return Ok(()) };
        self.wake(now, &id, cx)?;
        let queue = self.queue(service);
        queue.blocked = queue.pending > 0;
        Ok(())
    }

    /// Requests the slot that was released at a home on this VM for one waiting request.
    pub(crate) fn use_freed_slot(
        &mut self,
        now: Time,
        service: &Name,
        server: &Name,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let Some(id) = self.queue(service).pop() else { return Ok(()) };
        let Some(exchange) = self.exchanges.get_mut(&id) else { return Ok(()) };
        exchange.dispatch = Dispatch::Idle;
        let fits = exchange.pinned.is_none() && !exchange.tried.contains(server);
        if !fits || !(exchange.idempotent || exchange.fence_passed) {
            return self.advance(now, &id, cx);
        }
        let others = cx.shared.state.servers.keys().filter(|name| *name != server);
        let others = others.cloned().collect();
        self.request_except(now, &id, others, cx)
    }

    fn wake(&mut self, now: Time, id: &RequestId, cx: &mut EntryContext<'_>) -> Result<()> {
        if let Some(exchange) = self.exchanges.get_mut(id) {
            exchange.dispatch = Dispatch::Idle;
        }
        self.advance(now, id, cx)
    }

    /// Refuses requests that have waited too long and requests a slot for one waiting request of
    /// every service.
    pub(crate) fn dispatch_all(&mut self, now: Time, cx: &mut EntryContext<'_>) -> Result<()> {
        let services: Vec<_> = self.queues.keys().cloned().collect();
        for service in services {
            while let Some(id) = self.queue(&service).pop_stale(now) {
                self.refuse(now, &id, cx)?;
            }
            self.resend_replicas(now, &service, cx);
            self.dispatch_one(now, &service, cx)?;
        }
        Ok(())
    }
}
