//! Graceful shutdown of a VM: it accepts no new requests, finishes the open ones and reports when
//! none is left.

use std::time::Duration;

use crate::{
    entry::{EntryAction, EntryContext},
    error::Result,
    name::Name,
    request::{RequestMessage, Requests, record::RecordState, send_to_peer},
    time::Time,
};

/// State of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Drain {
    /// No shutdown was requested.
    Serving,
    /// Open requests are finished, until this time at most.
    Finishing(Time),
    /// No request is open, and the shell has been notified.
    Done,
}

impl Requests {
    /// Starts the shutdown. Other VMs become the owners of this VM's requests.
    pub(crate) fn start_drain(
        &mut self,
        now: Time,
        limit_ms: u64,
        cx: &mut EntryContext<'_>,
    ) -> Result<()> {
        if self.drain == Drain::Serving {
            self.drain = Drain::Finishing(now + Duration::from_millis(limit_ms));
        }
        self.applied = None;
        self.refresh(now, cx)?;
        self.drain(now, cx)
    }

    /// Continues the shutdown.
    pub(crate) fn drain(&mut self, now: Time, cx: &mut EntryContext<'_>) -> Result<()> {
        match self.drain {
            Drain::Serving => Ok(()),
            Drain::Done => {
                self.send_leaving(true, cx);
                Ok(())
            }
            Drain::Finishing(limit) => {
                self.send_leaving(false, cx);
                if self.open_count() > 0 && now < limit {
                    return Ok(());
                }
                self.finish_drain(now, cx)
            }
        }
    }

    fn finish_drain(&mut self, now: Time, cx: &mut EntryContext<'_>) -> Result<()> {
        let cut = self.open_count();
        Requests::count_cut_off(cx, cut);
        let ids: Vec<_> = self.exchanges.keys().cloned().collect();
        for id in ids {
            self.close(now, &id, RecordState::Unknown, cx)?;
        }
        self.drain = Drain::Done;
        self.send_leaving(true, cx);
        cx.act(EntryAction::Drained { cut });
        Ok(())
    }

    fn send_leaving(&self, done: bool, cx: &mut EntryContext<'_>) {
        let me = &cx.shared.me;
        let incarnation = me.incarnation;
        let others = cx.shared.view.members.keys().filter(|name| **name != me.name);
        let others: Vec<Name> = others.cloned().collect();
        for to in others {
            send_to_peer(cx, to, RequestMessage::Leaving { incarnation, done });
        }
    }
}
