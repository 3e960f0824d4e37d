//! What each control VM has to know of each server.

use galenatrail::ServerState;

use super::{Vm, World};

/// Time without a disturbance after which each VM has to know the servers: three announcement
/// periods, which make a server silent, a gossip round and a connection that is made anew.
const SETTLE_TIME: u64 = 6_000;
/// Time within which a draining that was acknowledged is known to each VM.
const DRAIN_LIMIT: u64 = 2_000;

impl World {
    /// Returns whether no VM was disturbed in the last [`SETTLE_TIME`].
    fn is_calm(&self) -> bool {
        let is_calm = |vm: &Vm| vm.frozen_until == 0 && self.now >= vm.disturbed_at + SETTLE_TIME;
        self.vms.iter().all(is_calm)
    }

    /// Compares what each VM believes with the truth.
    pub(super) fn check(&self) -> Result<(), String> {
        let is_calm = self.is_calm();
        for (vm, server) in
            (0..self.vms.len()).flat_map(|vm| self.servers.iter().map(move |s| (vm, s)))
        {
            let registry = &self.vms[vm].registry;
            let announcement = &server.announcement;
            let record = registry.get(announcement.id);
            let own = record.filter(|r| r.announcement.incarnation == announcement.incarnation);
            let fail = |what: &str| {
                Err(format!(
                    "at {} ms, VM {vm}: {what}: {server:?} is known as {record:?}",
                    self.now
                ))
            };
            let settled = |since: u64| is_calm && self.now >= since + SETTLE_TIME;
            let is_gone = own.is_some_and(|record| record.state == ServerState::Gone);
            if server.lives() && server.drains_since.is_none() && is_gone {
                return fail("a server that lives is taken for gone");
            }
            let named_at = self.named_at.get(&announcement.service).copied();
            let used_from = named_at.map(|at| at.max(server.started_at));
            if server.lives() && used_from.is_some_and(settled) {
                let state = match server.drains_since {
                    None => Some(ServerState::Ready),
                    Some(since) if settled(since) => Some(ServerState::Draining),
                    Some(_) => None,
                };
                let is_known = own.is_some_and(|record| {
                    !record.silent && state.is_none_or(|state| record.state == state)
                });
                if !is_known && server.leaves_until.is_none() {
                    return fail("a server that lives is not used as it is");
                }
                if server.drains_since.is_some_and(settled) && server.acknowledged_at.is_none() {
                    return fail("a server drains without an acknowledgement");
                }
            }
            if server.ended_at.is_some_and(|at| settled(at.max(server.heard_at)))
                && used_from.is_some_and(settled)
                && own.is_some_and(|record| record.state != ServerState::Gone && !record.silent)
            {
                return fail("a server that has ended is used");
            }
            let is_overdue = server.acknowledged_at.is_some_and(|at| self.now >= at + DRAIN_LIMIT);
            if is_calm && is_overdue && own.is_some_and(|record| record.state == ServerState::Ready)
            {
                return fail("a server that drains gets new flows");
            }
        }
        Ok(())
    }
}
