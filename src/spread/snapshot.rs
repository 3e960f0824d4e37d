//! Snapshots of the configuration: digests, and transfer in parts requested by the receiver.

use std::{collections::BTreeSet, time::Duration};

use crate::{member, name::Name, spread::ConfigMessage, state::State, time::Time};

/// Size of a part in bytes, so that a datagram with one stays below 1,280 bytes (RFC 8200, section
/// 5).
const PART_BYTES: usize = 1_024;

/// Maximum number of requested parts that have not arrived.
const MAX_PARTS_IN_FLIGHT: usize = 16;

/// Maximum size of a snapshot in bytes.
const MAX_SNAPSHOT_BYTES: u32 = 64 << 20;

/// Time after which missing parts are requested again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time without progress after which a transfer is abandoned.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an encoded snapshot is cached after its last use.
const CACHE_TTL: Duration = Duration::from_secs(10);

/// An encoded state.
struct EncodedState {
    index: u64,
    digest: u64,
    bytes: Vec<u8>,
    last_used: Time,
}

/// Encodes states and caches the result for all requests.
#[derive(Default)]
pub(crate) struct SnapshotEncoder {
    cached: Option<EncodedState>,
    digest: Option<(u64, u64)>,
}

impl SnapshotEncoder {
    /// Returns the digest of `state`, computed once per index.
    pub(crate) fn digest(&mut self, state: &State) -> u64 {
        match self.digest {
            Some((index, digest)) if index == state.index => digest,
            _ => {
                let digest = member::hash(&encode(state));
                self.digest = Some((state.index, digest));
                digest
            }
        }
    }

    /// Drops all cached results, because the state was replaced.
    pub(crate) fn reset(&mut self) {
        *self = SnapshotEncoder::default();
    }

    /// Drops a cached snapshot that has not been requested for [`CACHE_TTL`].
    pub(crate) fn tick(&mut self, now: Time) {
        self.cached.take_if(|cached| now.since(cached.last_used) >= CACHE_TTL);
    }

    /// Returns the first part of a snapshot that is newer than `after`.
    pub(crate) fn first_part(&mut self, now: Time, state: &State, after: u64) -> ConfigMessage {
        let cached = self.cached.as_ref().map(|cached| cached.index).filter(|index| *index > after);
        self.part(now, state, cached.unwrap_or(state.index), 0)
    }

    /// Returns a part of the snapshot at `index`, or the first part of the current one if that
    /// snapshot is not cached.
    pub(crate) fn part(
        &mut self,
        now: Time,
        state: &State,
        index: u64,
        offset: u32,
    ) -> ConfigMessage {
        let cached = self.cached.take().filter(|cached| cached.index == index);
        let cached = self.cached.insert(cached.unwrap_or_else(|| {
            let bytes = encode(state);
            EncodedState { index: state.index, digest: member::hash(&bytes), bytes, last_used: now }
        }));
        cached.last_used = now;
        let offset = if cached.index == index { offset } else { 0 };
        let rest = cached.bytes.get(offset as usize..).unwrap_or_default();
        ConfigMessage::SnapshotPart {
            index: cached.index,
            digest: cached.digest,
            total: cached.bytes.len() as u32,
            offset,
            bytes: rest[..rest.len().min(PART_BYTES)].to_vec(),
        }
    }
}

fn encode(state: &State) -> Vec<u8> {
    postcard::to_stdvec(state).unwrap_or_default()
}

/// A snapshot that is being received.
pub(crate) struct Transfer {
    from: Name,
    index: u64,
    digest: u64,
    bytes: Vec<u8>,
    missing: BTreeSet<u32>,
    next_offset: u32,
    last_progress: Time,
    last_retry: Time,
}

impl Transfer {
    /// Creates a transfer for the snapshot announced by a part, or returns `None` if its size is
    /// zero or above the limit.
    pub(crate) fn new(
        now: Time,
        from: &Name,
        index: u64,
        digest: u64,
        total: u32,
    ) -> Option<Transfer> {
        if total == 0 || total > MAX_SNAPSHOT_BYTES {
            return None;
        }
        Some(Transfer {
            from: from.clone(),
            index,
            digest,
            bytes: vec![0; total as usize],
            missing: (0..total).step_by(PART_BYTES).collect(),
            next_offset: 0,
            last_progress: now,
            last_retry: now,
        })
    }

    /// Returns whether a part with these properties belongs to this transfer.
    pub(crate) fn matches(&self, from: &str, index: u64, digest: u64, total: u32) -> bool {
        let same = (self.index, self.digest) == (index, digest);
        same && *self.from == *from && self.bytes.len() == total as usize
    }

    /// Returns whether `from` now sends a snapshot of another index, so that this transfer cannot
    /// complete.
    pub(crate) fn is_superseded(&self, from: &str, index: u64) -> bool {
        *self.from == *from && self.index != index
    }

    /// Returns whether the transfer has made no progress for [`TRANSFER_TIMEOUT`].
    pub(crate) fn is_stalled(&self, now: Time) -> bool {
        now.since(self.last_progress) >= TRANSFER_TIMEOUT
    }

    /// Stores a part and returns the state once all parts have arrived, or `Err` if the snapshot is
    /// corrupt.
    pub(crate) fn store_part(
        &mut self,
        now: Time,
        offset: u32,
        part: &[u8],
    ) -> Result<Option<State>, ()> {
        let start = offset as usize;
        let room = self.bytes.len().saturating_sub(start).min(PART_BYTES);
        if part.len() != room || !self.missing.remove(&offset) {
            return Ok(None);
        }
        self.bytes[start..start + room].copy_from_slice(part);
        self.last_progress = now;
        if !self.missing.is_empty() {
            return Ok(None);
        }
        if member::hash(&self.bytes) != self.digest {
            return Err(());
        }
        let state: State = postcard::from_bytes(&self.bytes).map_err(|_| ())?;
        if state.index == self.index { Ok(Some(state)) } else { Err(()) }
    }

    /// Returns the sender and the requests for parts to send now.
    pub(crate) fn due_requests(&mut self, now: Time) -> (Name, Vec<ConfigMessage>) {
        let fresh = self.missing.range(self.next_offset..).take(MAX_PARTS_IN_FLIGHT).copied();
        let mut offsets: Vec<u32> = fresh.collect();
        let waiting = self.missing.range(..self.next_offset).count();
        offsets.truncate(MAX_PARTS_IN_FLIGHT.saturating_sub(waiting));
        if let Some(last) = offsets.last() {
            self.next_offset = last + 1;
        }
        if now.since(self.last_progress.max(self.last_retry)) >= RETRY_INTERVAL {
            self.last_retry = now;
            offsets.extend(self.missing.range(..self.next_offset).take(MAX_PARTS_IN_FLIGHT));
            offsets.sort_unstable();
            offsets.dedup();
        }
        let index = self.index;
        let request = |offset| ConfigMessage::FetchPart { index, offset };
        (self.from.clone(), offsets.into_iter().map(request).collect())
    }
}
