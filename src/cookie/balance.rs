//! The choice of a backend server for a new flow.
//!
//! The load that it answers: flows that last for many requests, opened at one of a few entry VMs
//! of an availability zone, so that the choice at the opening decides for a long time. What it
//! knows is what one VM sees: the flows that its own packets belong to.

use crate::member::hash;

/// A backend server that may take a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Number of the server.
    pub id: u64,
    /// Whether it is in the availability zone of the entry VM.
    pub near: bool,
    /// Whether callers' packets went unanswered there lately.
    pub suspect: bool,
    /// Flows that this VM knows to be open there.
    pub flows: u32,
}

/// Returns the number of the server that takes a flow whose key hashes to `key`: one that
/// answers, in the own availability zone where there is one, with the fewest flows; equals are
/// ordered by highest random weight (Thaler and Ravishankar, 1998).
pub fn choose(key: u64, candidates: impl Iterator<Item = Candidate>) -> Option<u64> {
    let rank = |candidate: &Candidate| {
        let Candidate { id, near, suspect, flows } = *candidate;
        (suspect, !near, flows, weight(key, id))
    };
    candidates.min_by_key(rank).map(|candidate| candidate.id)
}

fn weight(key: u64, id: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&id.to_le_bytes());
    hash(&bytes)
}
