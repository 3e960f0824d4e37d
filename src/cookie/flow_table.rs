//! The flows whose packets an entry VM has forwarded recently.
//!
//! Forwarding does not depend on this table. It counts the open flows of each backend server, and
//! keeps a flow at its server when a repeated opening has brought the caller a second server's
//! cookie.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use crate::time::Time;

/// Limit on tracked flows; an entry takes about 100 bytes.
const MAX_FLOWS: usize = 16_384;

/// Both ends of a flow: the caller and the route.
pub(crate) type Endpoints = (SocketAddrV4, SocketAddrV4);

/// A tracked flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FlowEntry {
    /// Cookie of its backend server.
    pub(crate) cookie: u32,
    /// Whether the caller has answered the server's opening packet.
    pub(crate) established: bool,
    /// Whether the caller has ended the flow.
    pub(crate) closed: bool,
    /// When its last packet arrived.
    pub(crate) last_seen: Time,
}

/// The tracked flows of an entry VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct FlowTable {
    flows: BTreeMap<Endpoints, FlowEntry>,
    /// Number of open flows by cookie.
    open: BTreeMap<u32, u32>,
}

impl FlowTable {
    pub(crate) fn get(&self, endpoints: &Endpoints) -> Option<FlowEntry> {
        self.flows.get(endpoints).copied()
    }

    /// Returns the number of open flows to the server that holds `cookie`.
    pub(crate) fn open_flows(&self, cookie: u32) -> u32 {
        self.open.get(&cookie).copied().unwrap_or(0)
    }

    /// Returns the number of tracked flows.
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    /// Inserts or updates a flow; a full table accepts updates only.
    pub(crate) fn insert(&mut self, endpoints: Endpoints, entry: FlowEntry) {
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(&endpoints) {
            return;
        }
        if let Some(before) = self.flows.insert(endpoints, entry) {
            self.adjust_open(before, false);
        }
        self.adjust_open(entry, true);
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

    /// Removes flows without a packet for `idle`.
    pub(crate) fn expire(&mut self, now: Time, idle: Duration) {
        let expired = self.flows.extract_if(.., |_, entry| now.since(entry.last_seen) >= idle);
        let expired: Vec<_> = expired.collect();
        for (_, entry) in expired {
            self.adjust_open(entry, false);
        }
    }
}
