//! Event counters of one process.

use serde::{Deserialize, Serialize};

macro_rules! counters {
    ($($(#[doc = $doc:literal])* $variant:ident => $name:literal,)*) => {
        /// A counted event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        pub enum Counter {
            $($(#[doc = $doc])* $variant,)*
        }

        impl Counter {
            /// Every counter, in order of declaration.
            pub const ALL: &[Counter] = &[$(Counter::$variant,)*];

            /// Returns the exported name of the counter.
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
    /// Packets forwarded to a backend server.
    PacketsForwarded => "packets_forwarded",
    /// Packets that could not be parsed, for example because they are no Geneve packets.
    PacketsMalformed => "packets_malformed",
    /// Inner packets that are fragments.
    PacketsFragmented => "packets_fragmented",
    /// Packets for an address, protocol and port without a service.
    PacketsUnknown => "packets_unknown",
    /// Packets for a service without a backend server.
    PacketsUnserved => "packets_unserved",
    /// Packets dropped because this VM has just started and its configuration or its list of
    /// backend servers is incomplete.
    PacketsEarly => "packets_early",
    /// Packets that waited because this VM had just started.
    PacketsHeld => "packets_held",
    /// Datagrams and commands lost because a buffer was full or the receiver unknown.
    DatagramsUnsent => "datagrams_unsent",

    // Flow cookies.
    /// First opening packets of flows forwarded to a backend server.
    FlowsOpened => "flows_opened",
    /// Repeated opening packets forwarded to a backend server, the same or another one.
    FlowsRepeated => "flows_repeated",
    /// Packets answered with a reset because no route has their address and port.
    FlowsResetUnrouted => "flows_reset_unrouted",
    /// Packets answered with a reset because no backend server is eligible for their flow.
    FlowsResetUnserved => "flows_reset_unserved",
    /// Packets answered with a reset because the backend server of their flow is gone.
    FlowsResetGone => "flows_reset_gone",
    /// Flows reset because another server has started at the address of their server.
    FlowsResetSuperseded => "flows_reset_superseded",
    /// Openings answered with a reset because the link of this VM is short.
    FlowsRefusedLink => "flows_refused_link",
    /// Openings answered with a reset because the capacity of their service is short.
    FlowsRefusedService => "flows_refused_service",
    /// Openings answered with a reset because their caller exceeds its fair share.
    FlowsRefusedShare => "flows_refused_share",
    /// Copies of openings dropped because of a shortage, as an earlier copy may have reached a
    /// server.
    FlowsUnanswered => "flows_unanswered",
    /// Packets dropped because they carry no cookie and their flow is not tracked.
    PacketsUncookied => "packets_uncookied",
    /// Packets dropped because no known backend server holds their cookie.
    PacketsUntagged => "packets_untagged",
    /// Opening packets dropped because they waited while the VM was suspended.
    PacketsStale => "packets_stale",
    /// Packets whose time of arrival is not known.
    PacketsUntimed => "packets_untimed",
    /// Backend servers that became suspect, as openings sent to them went unanswered.
    ServersUnanswered => "servers_unanswered",
    /// Log lines suppressed by the rate limit.
    LinesSuppressed => "lines_suppressed",

    // Load summaries.
    /// Load reports that this entry VM sent.
    LoadReportsSent => "load_reports_sent",
    /// Load reports of entry VMs that this control VM used.
    LoadReportsReceived => "load_reports_received",
    /// Load reports and contributions dropped because they were unreadable or too old.
    LoadReportsDropped => "load_reports_dropped",
    /// Load summaries that this control VM sent to entry VMs.
    LoadSummariesSent => "load_summaries_sent",
    /// Load summaries that this entry VM used.
    LoadSummariesReceived => "load_summaries_received",
    /// Load summaries dropped because they were unreadable or too old.
    LoadSummariesDropped => "load_summaries_dropped",

    // Registry of backend servers.
    /// Announcements that changed what entry VMs know of a server.
    AnnouncementsChanged => "announcements_changed",
    /// Announcements without such a change.
    AnnouncementsSame => "announcements_same",
    /// Announcements ignored, as a rule because a newer one was known.
    AnnouncementsLate => "announcements_late",
    /// Announcements set aside because no configuration names their service.
    AnnouncementsUnnamed => "announcements_unnamed",
    /// Bodies refused as announcements because they cannot be read.
    AnnouncementsUnreadable => "announcements_unreadable",
    /// Bodies refused as announcements because a field is missing or of another type.
    AnnouncementsIncomplete => "announcements_incomplete",
    /// Bodies refused as announcements because a field has a value that no server has.
    AnnouncementsOutOfRange => "announcements_out_of_range",
    /// Leaves refused because their server has not announced that it drains.
    LeavesRefused => "leaves_refused",
    /// Reserved for ends of backend servers that no other VM confirmed in time; not incremented.
    AnnouncementsUnconfirmed => "announcements_unconfirmed",
    /// Backend servers whose announcements stopped.
    ServersSilent => "servers_silent",
    /// Reads answered with the configuration in force.
    ReadsConfirmed => "reads_confirmed",
    /// Reads refused because a newer configuration may be in force.
    ReadsUnsure => "reads_unsure",

    // Tracked flows.
    /// Packets of moving buckets relayed to another entry VM.
    PacketsRelayed => "packets_relayed",
    /// Relayed packets whose address belongs to another service on this VM.
    PacketsMisdirected => "packets_misdirected",
    /// Packets of moving buckets dropped because the bucket has no known owner or the hop limit was
    /// reached.
    PacketsUnowned => "packets_unowned",
    /// Packets dropped because too many were waiting for the record of their flow.
    PacketsOverflowed => "packets_overflowed",
    /// Packets dropped because the lookup of their flow's record on other VMs timed out.
    PacketsOverdue => "packets_overdue",
    /// Packets held while other VMs are asked for the record of their flow.
    FlowsAsked => "flows_asked",
    /// Flows recorded by this VM as the owner of their bucket.
    FlowsRecorded => "flows_recorded",
    /// Flows not recorded because the table is full; they go to the bucket's fallback server.
    FlowsUntracked => "flows_untracked",
    /// Records that expired after the idle time of the service.
    FlowsExpired => "flows_expired",
    /// Records removed because their backend server is gone.
    FlowsLost => "flows_lost",

    // Requests.
    /// Requests received from callers, retransmissions included.
    RequestsReceived => "requests_received",
    /// Responses sent to callers.
    RequestsAnswered => "requests_answered",
    /// Refusals sent to callers; a refused request did not run.
    RequestsRefused => "requests_refused",
    /// Callers told that the outcome of a request is unknown.
    RequestsUnknown => "requests_unknown",
    /// Retransmissions of requests that were already known.
    RequestsRepeated => "requests_repeated",
    /// Requests relayed to another entry VM.
    RequestsRelayed => "requests_relayed",
    /// Requests dropped without an answer: no owner, too many hops, or a full table.
    RequestsDropped => "requests_dropped",
    /// Requests retried at another backend server.
    RequestsRetried => "requests_retried",
    /// Requests cancelled at their backend server.
    RequestsCancelled => "requests_cancelled",
    /// Requests aborted at the time limit of a shutdown.
    RequestsCut => "requests_cut",
    /// Responses of backend servers that match no attempt running there.
    AnswersStale => "answers_stale",
    /// Stored responses evicted early for lack of space; a retransmission is told "unknown".
    AnswersForgotten => "answers_forgotten",
    /// Records copied to a second owner, retransmissions included.
    RecordsCopied => "records_copied",
    /// Block-wise transfers aborted because no backend server could continue them.
    TransfersBroken => "transfers_broken",
    /// Block-wise transfers evicted early for lack of space.
    TransfersForgotten => "transfers_forgotten",

    // Backend servers.
    /// Announcements received from backend servers.
    AnnouncesReceived => "announces_received",
    /// Announcements of an earlier start than the one known.
    AnnouncesStale => "announces_stale",
    /// Announcements ignored because too many backend servers announce themselves to this VM.
    AnnouncesOverflowed => "announces_overflowed",
    /// Starts of backend servers whose home is this VM.
    ServersBooted => "servers_booted",
    /// Backend servers that turned cold unannounced, detected by a step in their latency.
    ServersFallen => "servers_fallen",
    /// Requests that backend servers refused to shed load.
    ServersShed => "servers_shed",
    /// Backend servers that became suspect.
    ServersSuspect => "servers_suspect",
    /// Backend servers considered gone because their announcements stopped.
    ServersGone => "servers_gone",
    /// Backend servers that lost their warm-up because operators took their availability zone out.
    ServersGivenUp => "servers_given_up",
    /// Reports of backend servers submitted to the control VMs.
    ServersReported => "servers_reported",
    /// Failed health probes ignored because more than half of the service's servers would be
    /// suspect.
    FloorsHeld => "floors_held",
    /// Backend servers for which this VM became the home.
    HomesTaken => "homes_taken",
    /// Slot requests that were granted.
    AsksGranted => "asks_granted",
    /// Slot requests that no home could grant.
    AsksRefused => "asks_refused",
    /// Slot requests that a home did not answer in time.
    AsksLost => "asks_lost",
    /// Slot requests refused because the requesting VM has a newer configuration.
    AsksFenced => "asks_fenced",
    /// Slot requests refused because too many were in progress.
    AsksOverflowed => "asks_overflowed",
    /// Grants that arrived too late and were returned.
    GrantsReturned => "grants_returned",
    /// Expiries of leases on a backend server's slots.
    GrantsLapsed => "grants_lapsed",
    /// Lease renewals for a backend server whose home is another VM.
    RenewalsAstray => "renewals_astray",

    // Configuration.
    /// Configuration entries applied.
    EntriesApplied => "entries_applied",
    /// Changes accepted, counted at the control VM that answered.
    ChangesAccepted => "changes_accepted",
    /// Changes refused: a conflict, a violated rule or a missing right.
    ChangesRefused => "changes_refused",
    /// Changes that no leader accepted for replication.
    ChangesUnavailable => "changes_unavailable",
    /// Changes whose outcome was unknown when the answer was due.
    ChangesUnknown => "changes_unknown",
    /// Orders refused because an opposite one came later than they were made.
    ChangesOvertaken => "changes_overtaken",
    /// Orders and leaves dropped because their caller had gone before they were carried out.
    ChangesAbandoned => "changes_abandoned",
    /// Elections won by this control VM.
    ElectionsWon => "elections_won",
    /// Failed writes to the data folder.
    SyncsFailed => "syncs_failed",
    /// Snapshots taken of the configuration.
    SnapshotsTaken => "snapshots_taken",
    /// Messages between control VMs refused: under no known key, or not for this replica.
    ControlRefused => "control_refused",
    /// Configuration entries and snapshots ignored because this VM already had them.
    EntriesStale => "entries_stale",
    /// Snapshots of the configuration applied.
    SnapshotsApplied => "snapshots_applied",
    /// Snapshots of the configuration damaged in transit.
    SnapshotsRefused => "snapshots_refused",
    /// Mismatches between the configuration of this VM and of its head at the same index.
    DigestMismatches => "digest_mismatches",
    /// Expiries of this VM's lease on the configuration.
    LeasesLapsed => "leases_lapsed",

    // Membership.
    /// Changes of this VM's membership view.
    ViewChanges => "view_changes",
    /// VMs that stopped responding and were probed.
    MembersSuspected => "members_suspected",
    /// VMs that no other VM could reach and that this VM reported dead.
    MembersRemoved => "members_removed",
    /// Reports of this VM's death that it refuted.
    MembersRefuted => "members_refuted",
    /// Records of VMs refused because the member table is full.
    MembersRefused => "members_refused",
    /// Times that this VM became an owner by time-out, before every service had reported that it
    /// holds the records of the previous owners.
    MembersSettled => "members_settled",
    /// Repairs started because member records differed.
    MemberRepairs => "member_repairs",
    /// Changes of the set of availability zones that this one cannot reach.
    ZoneReachChanges => "zone_reach_changes",

    // Peers.
    /// Peer datagrams refused: not a peer datagram, or an undecodable message.
    PeersGarbage => "peers_garbage",
    /// Peer datagrams refused: wrong tag, because of another key, another receiver or corruption.
    PeersForged => "peers_forged",
    /// Peer datagrams refused: sent in another time interval, or the clocks differ too much.
    PeersExpired => "peers_expired",
    /// Peer datagrams refused: replayed, or from an earlier start of the sender.
    PeersReplayed => "peers_replayed",
    /// Peer datagrams refused: sent by this VM itself.
    PeersReflected => "peers_reflected",
    /// Peer datagrams refused: no room to track another sender.
    PeersUnlisted => "peers_unlisted",
    /// Peer datagrams refused: this VM has no keys.
    PeersKeyless => "peers_keyless",
}

/// The counters of one process.
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
    /// Creates counters that are all zero.
    pub fn new() -> Counters {
        Counters { counts: vec![0; Counter::ALL.len()] }
    }

    /// Adds `n` to `counter`.
    pub fn add(&mut self, counter: Counter, n: u64) {
        self.counts[counter as usize] += n;
    }

    /// Returns the value of `counter`.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize]
    }

    /// Iterates over every counter with its value.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        Counter::ALL.iter().map(|&counter| (counter, self.get(counter)))
    }
}

impl Default for Counters {
    fn default() -> Counters {
        Counters::new()
    }
}
