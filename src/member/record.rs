//! Membership records and their precedence.

use serde::{Deserialize, Serialize};

use crate::member::Member;

/// Membership status of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum MemberStatus {
    /// The VM is alive.
    Alive,
    /// The VM was suspected and did not answer any probe.
    Dead,
    /// The VM has left as planned.
    Left,
}

/// A report about the membership of a VM, made by itself or by another VM.
///
/// The report with the highest incarnation takes precedence, then the one with the highest renewal,
/// then the one with the more severe status (Das, Gupta and Motivala, "SWIM", 2002, section 4.2).
/// Only the VM itself renews its record: on each change, and to refute a report that it is dead.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// The VM.
    pub member: Member,
    /// Number of renewals in this incarnation.
    pub renewal: u32,
    /// Status of the VM.
    pub status: MemberStatus,
}

impl MemberRecord {
    /// Creates the initial record of a VM that has started.
    pub fn new(member: Member) -> MemberRecord {
        MemberRecord { member, renewal: 0, status: MemberStatus::Alive }
    }

    /// Returns whether this report takes precedence over `other`, which is about the same VM.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        self.rank() > other.rank()
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.status == MemberStatus::Alive
    }

    /// Returns the incarnation and the renewal, which order the reports of the VM itself.
    pub(crate) fn version(&self) -> (u64, u32) {
        (self.member.incarnation, self.renewal)
    }

    fn rank(&self) -> (u64, u32, MemberStatus) {
        (self.member.incarnation, self.renewal, self.status)
    }
}
