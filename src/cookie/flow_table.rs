//! The flows whose packets an entry VM has forwarded recently.
//!
//! Forwarding does not depend on this table. It counts the open flows of each backend server, and
//! keeps a flow at its server when a repeated opening has brought the caller a second server's
//! cookie.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::Duration,
};

use super::{
    exchange::Exchange, link_budget::FlowBytes, server_load::ServerLoad, verdict::Endpoints,
};
use crate::time::Time;

/// Limit on tracked flows; an entry takes about 130 bytes.
const MAX_FLOWS: usize = 16_384;

/// Distance of sequence numbers, in bytes, from which on two packets belong to different flows: more
/// than a caller sends between two packets that reach the same VM.
const SEQUENCE_WINDOW: u32 = 1 << 24;

/// A tracked flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct FlowEntry {
    /// Cookie of its backend server.
    pub(crate) cookie: u32,
    /// Whether the caller has answered the server's opening packet.
    pub(crate) established: bool,
    /// Whether the caller has ended the flow.
    pub(crate) closed: bool,
    /// Sequence number of the caller's last packet.
    pub(crate) sequence: u32,
    /// Sequence number up to which the caller has received the server's data.
    pub(crate) acknowledged: u32,
    /// When its last packet arrived.
    pub(crate) last_seen: Time,
    /// What it takes on this VM's link.
    pub(crate) link: FlowBytes,
    /// The request in progress.
    pub(crate) exchange: Exchange,
}

/// The tracked flows of an entry VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowTable {
    flows: BTreeMap<Endpoints, FlowEntry>,
    /// Number of open flows by cookie.
    open: BTreeMap<u32, u32>,
}

impl FlowTable {
    /// Returns the flow to which a packet with the sequence number `sequence` belongs.
    ///
    /// An entry may be that of an earlier flow of the same port, which ended at another VM or has late
    /// packets under way. Flows start at random sequence numbers.
    pub(crate) fn get(&self, endpoints: &Endpoints, sequence: u32) -> Option<FlowEntry> {
        let near = |entry: &FlowEntry| {
            (entry.sequence.wrapping_sub(sequence) as i32).unsigned_abs() < SEQUENCE_WINDOW
        };
        self.flows.get(endpoints).copied().filter(near)
    }

    /// Returns whether the last flow of a port is only being opened.
    pub(crate) fn is_opening(&self, endpoints: &Endpoints) -> bool {
        self.flows.get(endpoints).is_some_and(|entry| !entry.established)
    }

    /// Returns the number of open flows to the server that holds `cookie`.
    pub(crate) fn open_flows(&self, cookie: u32) -> u32 {
        self.open.get(&cookie).copied().unwrap_or(0)
    }

    /// Returns the number of tracked flows.
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether the table has room for another flow.
    pub(crate) fn has_room(&self) -> bool {
        self.flows.len() < MAX_FLOWS
    }

    /// Inserts or updates a flow; a full table accepts updates only.
    pub(crate) fn insert(&mut self, endpoints: Endpoints, entry: FlowEntry, load: &mut ServerLoad) {
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&endpoints) {
            return;
        }
        if let Some(before) = self.flows.insert(endpoints, entry) {
            self.adjust_open(before, false);
            load.remove(before.cookie, &before.exchange);
        }
        self.adjust_open(entry, true);
        load.add(entry.cookie, &entry.exchange);
    }

    fn adjust_open(&mut self, entry: FlowEntry, increment: bool) {
        if entry.closed {
            return;
        }
        let open = self.open.entry(entry.cookie).or_default();
        *open = if increment { *open + 1 } else { open.saturating_sub(1) };
        if *open == 0 {
            self.open.remove(&entry.cookie);
        }
    }

    /// Removes the established flows of the servers that hold `cookies`, and returns those that are
    /// open.
    pub(crate) fn remove_established(
        &mut self,
        cookies: &BTreeSet<u32>,
        load: &mut ServerLoad,
    ) -> Vec<(Endpoints, FlowEntry)> {
        let ended = |entry: &FlowEntry| entry.established && cookies.contains(&entry.cookie);
        let removed = self.flows.extract_if(.., |_, entry| ended(entry));
        let mut removed: Vec<_> = removed.collect();
        for (_, entry) in &removed {
            self.adjust_open(*entry, false);
            load.remove(entry.cookie, &entry.exchange);
        }
        removed.retain(|(_, entry)| !entry.closed);
        removed
    }

    /// Removes flows without a packet for `idle`, and ends requests that began at least as long ago as
    /// `limit` returns for their route.
    pub(crate) fn expire(
        &mut self,
        now: Time,
        idle: Duration,
        limit: impl Fn(&SocketAddrV4) -> Duration,
        load: &mut ServerLoad,
    ) {
        let expired = self.flows.extract_if(.., |(_, route), entry| {
            if entry.exchange.in_progress() {
                load.remove(entry.cookie, &entry.exchange);
                entry.exchange.expire(now, limit(route));
                load.add(entry.cookie, &entry.exchange);
            }
            now.since(entry.last_seen) >= idle
        });
        let expired: Vec<_> = expired.collect();
        for (_, entry) in expired {
            self.adjust_open(entry, false);
            load.remove(entry.cookie, &entry.exchange);
        }
    }
}
