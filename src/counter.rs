//! Event counters of one process.

use serde::{Deserialize, Serialize};

macro_rules! counters {
    ($($(#[doc = $doc:literal])* $variant:ident => $name:literal,)*) => {
        /// One thing that is counted.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        pub enum Counter {
            $($(#[doc = $doc])* $variant,)*
        }

        impl Counter {
            /// Every counter, in the order of their declaration.
            pub const ALL: &[Counter] = &[$(Counter::$variant,)*];

            /// Returns the name under which the counter is exported.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Counter::$variant => $name,)*
                }
            }
        }
    };
}

counters! {
    // Packets.
    /// Packets sent on to a backend server.
    PacketsForwarded => "packets_forwarded",
    /// Packets that are no Geneve packet or whose inner packet cannot be read.
    PacketsMalformed => "packets_malformed",
    /// Inner packets that are fragments.
    PacketsFragmented => "packets_fragmented",
    /// Packets for an address, protocol and port that no service has.
    PacketsUnknown => "packets_unknown",
    /// Packets for a service that has no backend server.
    PacketsUnserved => "packets_unserved",
    /// Packets dropped because this VM has started and its configuration is not whole yet.
    PacketsEarly => "packets_early",
    /// Datagrams and commands that a full buffer or an unknown receiver lost.
    DatagramsUnsent => "datagrams_unsent",

    // Flow cookies.
    /// Flows whose opening packet was sent on to a backend server.
    FlowsOpened => "flows_opened",
    /// Openings that were sent on to another backend server than before, or again.
    FlowsRepeated => "flows_repeated",
    /// Flows reset because no route has their address and port.
    FlowsResetUnrouted => "flows_reset_unrouted",
    /// Flows reset because no backend server may take them.
    FlowsResetUnserved => "flows_reset_unserved",
    /// Flows reset because their backend server is gone.
    FlowsResetGone => "flows_reset_gone",
    /// Packets dropped because they carry no cookie.
    PacketsUncookied => "packets_uncookied",
    /// Packets dropped because their cookie stands for no backend server that is known.
    PacketsUntagged => "packets_untagged",
    /// Opening packets dropped because they waited while the VM stood still.
    PacketsStale => "packets_stale",
    /// Log lines left out because of their bound.
    LinesSuppressed => "lines_suppressed",

    // Registry of backend servers.
    /// Announcements that entry VMs had to know of.
    AnnouncementsChanged => "announcements_changed",
    /// Announcements that said nothing new.
    AnnouncementsSame => "announcements_same",
    /// Announcements older than what was known.
    AnnouncementsLate => "announcements_late",
    /// Ends of backend servers that no other VM confirmed in time.
    AnnouncementsUnconfirmed => "announcements_unconfirmed",
    /// Backend servers that fell silent.
    ServersSilent => "servers_silent",
    /// Reads answered with what is in force.
    ReadsConfirmed => "reads_confirmed",
    /// Reads refused because a newer configuration may be in force.
    ReadsUnsure => "reads_unsure",

    // Tracked flows.
    /// Packets of moving buckets passed to the bucket's owner.
    PacketsRelayed => "packets_relayed",
    /// Relayed packets whose address belongs to another service on this VM.
    PacketsMisdirected => "packets_misdirected",
    /// Packets of moving buckets dropped because no VM is known as the owner.
    PacketsUnowned => "packets_unowned",
    /// Packets dropped because too many wait for the record of their flow.
    PacketsOverflowed => "packets_overflowed",
    /// Packets dropped because no VM said in time whether it has the record of their flow.
    PacketsOverdue => "packets_overdue",
    /// Packets that waited until other VMs said whether they have the record of their flow.
    FlowsAsked => "flows_asked",
    /// Flows recorded by this VM as the owner of their bucket.
    FlowsRecorded => "flows_recorded",
    /// Flows not recorded because the table is full; they open where old flows go.
    FlowsUntracked => "flows_untracked",
    /// Records that ended after the idle time of the service.
    FlowsExpired => "flows_expired",
    /// Records whose backend server is gone.
    FlowsLost => "flows_lost",

    // Requests.
    /// Requests received from callers, resends included.
    RequestsReceived => "requests_received",
    /// Answers sent to callers.
    RequestsAnswered => "requests_answered",
    /// Refusals sent to callers, each of a request that did not run.
    RequestsRefused => "requests_refused",
    /// Callers told that the outcome of a request is unknown.
    RequestsUnknown => "requests_unknown",
    /// Copies of requests that were known already.
    RequestsRepeated => "requests_repeated",
    /// Requests relayed to another entry VM.
    RequestsRelayed => "requests_relayed",
    /// Requests dropped without an answer: no owner, too many hops, or a full table.
    RequestsDropped => "requests_dropped",
    /// Further attempts at another backend server.
    RequestsRetried => "requests_retried",
    /// Requests cancelled at their backend server.
    RequestsCancelled => "requests_cancelled",
    /// Requests that the time limit of a shutdown cut off.
    RequestsCut => "requests_cut",
    /// Answers that belong to no running attempt of their sender.
    AnswersStale => "answers_stale",
    /// Answers that were forgotten early for want of space; a resend is told "unknown".
    AnswersForgotten => "answers_forgotten",
    /// Records copied to a second owner, resent copies included.
    RecordsCopied => "records_copied",
    /// Block-wise transfers that could not go on at their backend server.
    TransfersBroken => "transfers_broken",
    /// Block-wise transfers forgotten early for want of space.
    TransfersForgotten => "transfers_forgotten",

    // Backend servers.
    /// Announcements received from backend servers.
    AnnouncesReceived => "announces_received",
    /// Announcements with an older number of start than the one known.
    AnnouncesStale => "announces_stale",
    /// Announcements ignored because too many backend servers announce themselves here.
    AnnouncesOverflowed => "announces_overflowed",
    /// Starts of backend servers, seen at their home.
    ServersBooted => "servers_booted",
    /// Backend servers that turned cold without notice: their latency made a step.
    ServersFallen => "servers_fallen",
    /// Refusals of backend servers that shed load.
    ServersShed => "servers_shed",
    /// Backend servers that became suspect.
    ServersSuspect => "servers_suspect",
    /// Backend servers that announce themselves no longer.
    ServersGone => "servers_gone",
    /// Backend servers given up because operators took their availability zone out.
    ServersGivenUp => "servers_given_up",
    /// Reports of backend servers handed to the control VMs.
    ServersReported => "servers_reported",
    /// Failed health probes that were not believed: too many servers would be suspect.
    FloorsHeld => "floors_held",
    /// Backend servers whose home this VM became.
    HomesTaken => "homes_taken",
    /// Requests that were granted a slot.
    AsksGranted => "asks_granted",
    /// Requests for which no home had a slot.
    AsksRefused => "asks_refused",
    /// Asks that no home answered in time.
    AsksLost => "asks_lost",
    /// Asks refused because the asking VM has a newer configuration.
    AsksFenced => "asks_fenced",
    /// Requests refused because too many ask at the same time.
    AsksOverflowed => "asks_overflowed",
    /// Grants that came too late and were given back.
    GrantsReturned => "grants_returned",
    /// Times at which leases of a backend server's slots ran out.
    GrantsLapsed => "grants_lapsed",
    /// Renewals for a backend server whose home is another VM.
    RenewalsAstray => "renewals_astray",

    // Configuration.
    /// Configuration entries applied.
    EntriesApplied => "entries_applied",
    /// Changes that were accepted, as answered by this control VM.
    ChangesAccepted => "changes_accepted",
    /// Changes that were refused: a conflict, a broken rule or a missing right.
    ChangesRefused => "changes_refused",
    /// Changes that no leader took.
    ChangesUnavailable => "changes_unavailable",
    /// Changes whose fate was unknown when the answer was due.
    ChangesUnknown => "changes_unknown",
    /// Elections that this control VM has won.
    ElectionsWon => "elections_won",
    /// Writes to the data folder that failed.
    SyncsFailed => "syncs_failed",
    /// Snapshots taken of the configuration.
    SnapshotsTaken => "snapshots_taken",
    /// Messages between control VMs that were unreadable or for another replica.
    ControlRefused => "control_refused",
    /// Configuration entries and snapshots that were not newer than what this VM has.
    EntriesStale => "entries_stale",
    /// Snapshots of the configuration applied.
    SnapshotsApplied => "snapshots_applied",
    /// Snapshots of the configuration that were damaged on the way.
    SnapshotsRefused => "snapshots_refused",
    /// Times that this VM's configuration differed from its head's at the same index.
    DigestMismatches => "digest_mismatches",
    /// Times that this VM's lease on the configuration lapsed.
    LeasesLapsed => "leases_lapsed",

    // Membership.
    /// Changes of this VM's view.
    ViewChanges => "view_changes",
    /// VMs that fell silent and were probed.
    MembersSuspected => "members_suspected",
    /// VMs that nobody could hear and that this VM reported dead.
    MembersRemoved => "members_removed",
    /// Reports that this VM is gone, which it refuted.
    MembersRefuted => "members_refuted",
    /// Records of VMs for which there was no room.
    MembersRefused => "members_refused",
    /// Times that this VM became an owner although a service had not reported that it holds the
    /// records of its predecessors.
    MembersSettled => "members_settled",
    /// Repairs of differing records.
    MemberRepairs => "member_repairs",
    /// Changes of the availability zones that this one cannot reach.
    ZoneReachChanges => "zone_reach_changes",

    // Peers.
    /// Peer datagrams refused: no peer datagram, or an unreadable message.
    PeersGarbage => "peers_garbage",
    /// Peer datagrams refused: a wrong tag, from another key or for another receiver.
    PeersForged => "peers_forged",
    /// Peer datagrams refused: sent in another interval, or the clocks differ too much.
    PeersExpired => "peers_expired",
    /// Peer datagrams refused: received before, or of an earlier start of the sender.
    PeersReplayed => "peers_replayed",
    /// Peer datagrams refused: this VM's own, sent back.
    PeersReflected => "peers_reflected",
    /// Peer datagrams refused: no room to keep track of the sender.
    PeersUnlisted => "peers_unlisted",
    /// Peer datagrams refused: this VM has no keys.
    PeersKeyless => "peers_keyless",
}

/// The counts of one process, each starting at zero.
///
/// ```
/// use galenatrail::{Counter, Counters};
///
/// let mut counters = Counters::new();
/// counters.add(Counter::PacketsForwarded, 2);
/// assert_eq!(counters.get(Counter::PacketsForwarded), 2);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counters {
    counts: Vec<u64>,
}

impl Counters {
    /// Returns counters that all read zero.
    pub fn new() -> Counters {
        Counters { counts: vec![0; Counter::ALL.len()] }
    }

    /// Adds `n` to `counter`.
    pub fn add(&mut self, counter: Counter, n: u64) {
        self.counts[counter as usize] += n;
    }

    /// Returns the count of `counter`.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize]
    }

    /// Yields every counter with its count.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        Counter::ALL.iter().map(|&counter| (counter, self.get(counter)))
    }
}

impl Default for Counters {
    fn default() -> Counters {
        Counters::new()
    }
}
