//! The openings that an entry VM has refused recently.

use std::time::Duration;

use super::verdict::{Endpoints, PacketInfo, Resource};
use crate::time::Time;

/// Number of remembered openings, 130 KB: more than a VM refuses while a copy is under way.
const SLOTS: usize = 4_096;
/// Time after which a caller has given up an opening.
const EXPIRY: Duration = Duration::from_millis(1_400);

#[derive(Debug, Clone, Copy)]
struct RefusedFlow {
    endpoints: Endpoints,
    sequence: u32,
    resource: Resource,
    refused: Time,
}

/// Refused openings by the hash of their flow; a later one takes the slot of an earlier one.
#[derive(Debug, Clone, Default)]
pub(crate) struct RefusedFlows {
    /// Empty until the first refusal.
    slots: Vec<Option<RefusedFlow>>,
}

impl RefusedFlows {
    /// Remembers that an opening was refused.
    pub(crate) fn insert(&mut self, now: Time, opening: &PacketInfo, resource: Resource) {
        if self.slots.is_empty() {
            self.slots = vec![None; SLOTS];
        }
        let endpoints = (opening.caller, opening.route);
        let flow = RefusedFlow { endpoints, sequence: opening.sequence, resource, refused: now };
        self.slots[slot(opening)] = Some(flow);
    }

    /// Returns why an opening was refused, if it was.
    pub(crate) fn get(&self, now: Time, opening: &PacketInfo) -> Option<Resource> {
        let flow = self.slots.get(slot(opening)).copied().flatten()?;
        let same = flow.endpoints == (opening.caller, opening.route)
            && flow.sequence == opening.sequence
            && now.since(flow.refused) < EXPIRY;
        same.then_some(flow.resource)
    }
}

fn slot(opening: &PacketInfo) -> usize {
    opening.flow_hash() as usize % SLOTS
}
