//! Notes on the flows whose packets an entry VM has seen lately.
//!
//! No flow depends on them: they count the load of backend servers, and guard a flow against a
//! cookie that a repeated opening has brought from a second server.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use crate::time::Time;

/// Notes that are kept at most; about 100 bytes each.
const NOTES: usize = 16_384;

/// Both ends of a flow: the caller and the route.
pub(crate) type Ends = (SocketAddrV4, SocketAddrV4);

/// A flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Note {
    /// Cookie of its backend server.
    pub(crate) tag: u32,
    /// Whether the caller has answered the server's opening packet.
    pub(crate) opened: bool,
    /// Whether the caller has ended the flow.
    pub(crate) closed: bool,
    /// When its last packet came.
    pub(crate) at: Time,
}

/// The notes of an entry VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct Notes {
    notes: BTreeMap<Ends, Note>,
    open: BTreeMap<u32, u32>,
}

impl Notes {
    pub(crate) fn get(&self, ends: &Ends) -> Option<Note> {
        self.notes.get(ends).copied()
    }

    /// Returns how many flows are open at the server of a cookie.
    pub(crate) fn open(&self, tag: u32) -> u32 {
        self.open.get(&tag).copied().unwrap_or(0)
    }

    /// Returns how many flows are noted.
    pub(crate) fn len(&self) -> usize {
        self.notes.len()
    }

    /// Writes a note; with too many, only flows that are noted already.
    pub(crate) fn set(&mut self, ends: Ends, note: Note) {
        if self.notes.len() >= NOTES && !self.notes.contains_key(&ends) {
            return;
        }
        if let Some(before) = self.notes.insert(ends, note) {
            self.count(before, false);
        }
        self.count(note, true);
    }

    fn count(&mut self, note: Note, more: bool) {
        if note.closed {
            return;
        }
        let open = self.open.entry(note.tag).or_default();
        *open = if more { *open + 1 } else { open.saturating_sub(1) };
        if *open == 0 {
            self.open.remove(&note.tag);
        }
    }

    /// Forgets flows without a packet for `idle`.
    pub(crate) fn expire(&mut self, now: Time, idle: Duration) {
        let old: Vec<_> = self.notes.extract_if(.., |_, note| now.since(note.at) >= idle).collect();
        for (_, note) in old {
            self.count(note, false);
        }
    }
}
