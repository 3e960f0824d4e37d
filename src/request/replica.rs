//! Messages between current, second and earlier owners of a request.

use crate::{
    counter::Counter,
    entry::{EntryContext, EntryMessage, MEMBERS, REQUESTS},
    error::Result,
    name::Name,
    request::{
        RequestMessage, Requests,
        drain::Drain,
        exchange::{Dispatch, ReplicaState},
        fence::{ProcessId, process_id},
        owner::{RESEND_INTERVAL, owned_by},
        queue::Readiness,
        record::{RecordState, RequestId},
        send_to_peer,
    },
    time::Time,
};

/// Size of the largest answer that is replicated, in bytes; a larger one is replicated as unknown.
const MAX_REPLICA_LEN: usize = 1_024;

impl Requests {
    /// Handles a replica of an owner's record, unless a different state is recorded.
    pub(crate) fn handle_replicate(
        &mut self,
        now: Time,
        from: ProcessId,
        id: RequestId,
        state: RecordState,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let conflict = match self.records.get(&id) {
            None => None,
            Some(known) if *known == owned_by(from.clone()) || *known == state => None,
            Some(known) => Some(known.clone()),
        };
        let refused = matches!(state, RecordState::Refused { .. });
        let needs_answer = refused || matches!(state, RecordState::OwnedBy { .. });
        if conflict.is_none() {
            self.write_record(now, id.clone(), state, false, cx);
        }
        if needs_answer {
            let incarnation = cx.shared.me.incarnation;
            send_to_peer(
                cx,
                from.0,
                RequestMessage::Replicated { id, refused, incarnation, conflict },
            );
        }
        Ok(())
    }

    /// Handles the second owner's answer.
    pub(crate) fn handle_replicated(
        &mut self,
        now: Time,
        from: ProcessId,
        id: &RequestId,
        refused: bool,
        conflict: Option<RecordState>,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let Some(exchange) = self.exchanges.get_mut(id) else { return Ok(()) };
        let second = self.fence.view().owners(exchange.owner_key).1.map(process_id);
        let current = second.as_ref() == Some(&from) && refused == exchange.refusal.is_some();
        if !current || exchange.is_running() || !matches!(exchange.replica, ReplicaState::Sent(_)) {
            return Ok(());
        }
        if let Some(state) = conflict {
            return self.adopt_state(now, id, state, cx);
        }
        exchange.replica = ReplicaState::Acknowledged;
        if exchange.dispatch == Dispatch::Queued {
            let service = exchange.service.clone();
            self.queue(&service).set_readiness(id, Readiness::Ready);
        }
        self.advance(now, id, cx)
    }

    /// Handles the lookup of a new owner: returns the recorded state, or promises not to run the
    /// request.
    pub(crate) fn handle_lookup(
        &mut self,
        now: Time,
        from: ProcessId,
        id: RequestId,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let promise = owned_by(from.clone());
        if self.may_yield(&id, &from) {
            self.hand_over(now, &id, from.clone(), cx)?;
        }
        if self.records.get(&id) == Some(&promise) {
            self.pass_promise(&id, &from, cx);
        }
        let conflict = self.records.get(&id).filter(|known| **known != promise).cloned();
        if conflict.is_none() {
            self.write_record(now, id.clone(), promise, false, cx);
        }
        let incarnation = cx.shared.me.incarnation;
        send_to_peer(cx, from.0, RequestMessage::LookupReply { id, incarnation, conflict });
        Ok(())
    }

    /// Tells the second owner, which may have promised the request to this VM, that it now belongs to
    /// `to`. Without this, it would refuse the replica of `to`.
    fn pass_promise(&self, id: &RequestId, to: &ProcessId, cx: &mut EntryContext<'_>) {
        let Some(second) = self.fence.view().owners(id.owner_key()).1.map(process_id) else {
            return;
        };
        if second != *to && second.0 != cx.shared.me.name {
            let (id, state) = (id.clone(), owned_by(to.clone()));
            let incarnation = cx.shared.me.incarnation;
            send_to_peer(cx, second.0, RequestMessage::Replicate { id, state, incarnation });
        }
    }

    /// Returns whether this VM has not sent the request, and `to` is its owner in the view of this
    /// VM.
    fn may_yield(&self, id: &RequestId, to: &ProcessId) -> bool {
        self.exchanges.get(id).is_some_and(|exchange| {
            let owner = self.fence.view().owners(exchange.owner_key).0.map(process_id);
            let unsent = !exchange.is_running() && exchange.refusal.is_none();
            unsent && owner.as_ref() == Some(to)
        })
    }

    /// Handles an earlier owner's answer to a lookup.
    pub(crate) fn handle_lookup_reply(
        &mut self,
        now: Time,
        from: ProcessId,
        id: &RequestId,
        conflict: Option<RecordState>,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        let me = owned_by(process_id(&cx.shared.me));
        let Some(exchange) = self.exchanges.get_mut(id) else { return Ok(()) };
        if exchange.is_running() {
            return Ok(());
        }
        let conflict = conflict.filter(|state| *state != me && !exchange.is_released_by(state));
        if let Some(state) = conflict {
            return self.adopt_state(now, id, state, cx);
        }
        if exchange.fence_passed {
            return Ok(());
        }
        exchange.releases.insert(from);
        self.advance(now, id, cx)
    }

    /// Applies the state that another VM has recorded for a request that this VM has not sent.
    ///
    /// The exchange stays open while the other VM may still run the request or yield it. If this VM
    /// handed it over instead, the other one could hand it back, and each would relay every copy to
    /// the other.
    fn adopt_state(
        &mut self,
        now: Time,
        id: &RequestId,
        state: RecordState,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        match state {
            RecordState::Open => Ok(()),
            RecordState::OwnedBy { owner, incarnation } => {
                let owner = (owner, incarnation);
                if owner == process_id(&cx.shared.me) || !self.fence.is_live(&owner) {
                    return self.close(now, id, RecordState::Unknown, cx);
                }
                let (id, incarnation) = (id.clone(), cx.shared.me.incarnation);
                send_to_peer(cx, owner.0, RequestMessage::Lookup { id, incarnation });
                Ok(())
            }
            state => self.close(now, id, state, cx),
        }
    }

    /// Sends the outcome of a request to the other owner, so that it can repeat the answer; to both
    /// owners if this VM is no longer one.
    pub(crate) fn replicate_outcome(
        &mut self,
        key: u64,
        id: &RequestId,
        state: RecordState,
        cx: &mut EntryContext<'_>,
    ) {
        let state = match state {
            RecordState::Answered(bytes) if bytes.len() > MAX_REPLICA_LEN => RecordState::Unknown,
            state => state,
        };
        let me = &cx.shared.me;
        let incarnation = me.incarnation;
        let owners = self.fence.view().owners(key);
        let others = [owners.0, owners.1].into_iter().flatten();
        let others = others.filter(|other| other.name != me.name).map(|other| other.name.clone());
        for to in others.collect::<Vec<_>>() {
            let (id, state) = (id.clone(), state.clone());
            send_to_peer(cx, to, RequestMessage::Replicate { id, state, incarnation });
        }
    }

    /// Applies the view and the lease state, and starts a new epoch if the view has changed.
    pub(crate) fn refresh(&mut self, now: Time, cx: &mut EntryContext<'_>) -> Result<()> {
        let key = (cx.shared.view.version, cx.shared.lease_lapsed);
        if self.applied.replace(key) == Some(key) {
            return Ok(());
        }
        let mut view = cx.shared.view.clone();
        let me = &cx.shared.me;
        for member in view.members.values_mut() {
            let leaves = self.leaving.get(&member.name) == Some(&member.incarnation);
            let drains = member.name == me.name && self.drain != Drain::Serving;
            member.ready &= !leaves && !drains;
        }
        if !self.fence.update(now, me, view, cx.shared.lease_lapsed) {
            return Ok(());
        }
        let live = &self.fence.view().members;
        self.leaving.retain(|name, n| live.get(name).is_some_and(|m| m.incarnation == *n));
        self.change_epoch(now, cx)
    }

    /// Subjects every non-idempotent request that was not sent to the fence again, and hands over
    /// those of other owners.
    fn change_epoch(&mut self, now: Time, cx: &mut EntryContext<'_>) -> Result<()> {
        let me = process_id(&cx.shared.me);
        let ids: Vec<_> = self.exchanges.keys().cloned().collect();
        for id in ids {
            let Some(exchange) = self.exchanges.get_mut(&id) else { continue };
            let owner = self.fence.view().owners(exchange.owner_key).0.map(process_id);
            if exchange.idempotent {
                continue;
            }
            exchange.replica = ReplicaState::None;
            if exchange.is_running() {
                let (key, state) = (exchange.owner_key, owned_by(me.clone()));
                self.replicate_outcome(key, &id, state, cx);
                continue;
            }
            exchange.fence_passed = false;
            exchange.lookup_sent = None;
            let queued = exchange.dispatch == Dispatch::Queued;
            let service = exchange.service.clone();
            match owner {
                Some(owner) if owner != me => {
                    let to = owner.0.clone();
                    if let Some(exchange) = self.hand_over(now, &id, owner, cx)? {
                        self.forward(now, &exchange, to, cx)?;
                    }
                }
                _ if queued => self.queue(&service).set_readiness(&id, Readiness::NotReplicated),
                _ => self.advance(now, &id, cx)?,
            }
        }
        Ok(())
    }

    /// Requests the epochs of the VMs that are new in the view. Once all are known, this VM may own
    /// requests.
    pub(crate) fn request_epochs(&mut self, now: Time, cx: &mut EntryContext<'_>) -> Result<()> {
        self.fence.conclude_start(now);
        if self.fence.is_complete(now) && self.fence.awaited().is_empty() && !self.ready {
            self.ready = true;
            cx.send(MEMBERS, EntryMessage::Ready(REQUESTS))?;
        }
        if self.fence.awaited().is_empty()
            || self.epochs_requested.is_some_and(|at| now.since(at) < RESEND_INTERVAL)
        {
            return Ok(());
        }
        self.epochs_requested = Some(now);
        for (to, _) in self.fence.awaited().clone() {
            send_to_peer(cx, to, RequestMessage::GetEpochs);
        }
        Ok(())
    }

    /// Sends the epochs to a VM that requested them.
    pub(crate) fn send_epochs(&mut self, now: Time, to: Name, cx: &mut EntryContext<'_>) {
        let all = self.fence.epochs(now);
        let (complete, serial) = (self.fence.is_complete(now), self.fence.serial());
        let incarnation = cx.shared.me.incarnation;
        let parts = all.len() as u16;
        for (part, epochs) in (0..).zip(all) {
            let message =
                RequestMessage::Epochs { incarnation, complete, serial, part, parts, epochs };
            send_to_peer(cx, to.clone(), message);
        }
    }

    /// Records that another VM is shutting down.
    pub(crate) fn handle_leaving(
        &mut self,
        now: Time,
        from: ProcessId,
        done: bool,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        if done {
            self.fence.mark_ended(from.clone());
        }
        if self.fence.is_live(&from) {
            self.leaving.insert(from.0, from.1);
        }
        self.applied = None;
        self.refresh(now, cx)
    }

    /// Returns the number of open requests.
    pub(crate) fn open_count(&self) -> u64 {
        self.exchanges.len() as u64
    }

    /// Counts the requests that were cut off by the time limit of a shutdown.
    pub(crate) fn count_cut_off(cx: &mut EntryContext<'_>, cut: u64) {
        for _ in 0..cut {
            cx.count(Counter::RequestsCut);
        }
    }
}
