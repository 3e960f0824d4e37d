//! Control node: replicates configuration changes through a Raft log. It performs no I/O and reads
//! no clock; the caller passes in events and the current time and executes the returned actions.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    counter::{Counter, Counters},
    error::{Error, Result},
    flow::MoveScheduler,
    name::Name,
    spread::Acks,
    state::{Outcome, State},
    time::Time,
};

mod event;
mod feed;
mod formation;
mod machine;
mod message;
mod read;
mod replica;
mod sign;
mod status;
mod storage;
mod submit;

use feed::{PendingReport, RecentCommands};
use formation::{Bootstrap, Formation};
use read::PendingRead;
use submit::PendingSubmission;

pub use event::{ControlAction, ControlEvent};
pub use machine::{Change, DEDUP_WINDOW, HistoryEntry, Request, StateMachine};
pub use message::{ControlMessage, Envelope, Submission, SubmitResult};
pub use replica::{
    ControlEndpoint, Entry, HardState, LogId, Members, Payload, Recovered, Replica, ReplicaAction,
    ReplicaId, ReplicaMessage, Snapshot, Write,
};
pub use sign::Signer;
pub use status::{ControlStatus, ReplicaStatus, Role};
pub use storage::{DirDisk, Disk, Opened, Ready, Storage};

/// Log entries applied between snapshots.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 1_000;
/// Bytes of configuration applied between snapshots. Bounds the log in memory and on disk to a
/// small multiple of this size.
const SNAPSHOT_INTERVAL_BYTES: usize = 1 << 20;
/// Entries before a snapshot that stay in the log, so that slightly lagging replicas do not need a
/// snapshot transfer.
const TRAILING_ENTRIES: u64 = 500;
/// Entries that stay in the log when a snapshot was taken because of [`SNAPSHOT_INTERVAL_BYTES`].
const TRAILING_ENTRIES_LARGE: u64 = 8;
/// Timeout of a forwarded submission, read or report. Shorter than the 1 s after which a client
/// tries the next control VM.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);

/// State machine of one control VM.
///
/// ```
/// use std::collections::BTreeMap;
///
/// use galenatrail::{
///     Command, ControlAction, ControlEndpoint, ControlEvent, ControlNode, Recovered, ReplicaId,
///     Submission, SubmitResult, Time,
/// };
///
/// let addr = "127.0.1.1:8500".parse().unwrap();
/// let endpoint = ControlEndpoint { name: "control-1".into(), addr };
/// let recovered = Recovered { id: ReplicaId::new(7), ..Recovered::default() };
/// let mut node = ControlNode::new(Time::ZERO, endpoint, recovered, BTreeMap::new()).unwrap();
/// let mut out = Vec::new();
/// let mut results = Vec::new();
/// node.handle(Time::ZERO, ControlEvent::Tick, &mut out);
/// let command = Command::Zone { zone: "plovdiv".into(), out: true };
/// let mut submission = Some(Submission::new(command));
/// while !out.is_empty() {
///     match out.remove(0) {
///         // This example completes every write immediately.
///         ControlAction::Write(write) => {
///             node.handle(Time::ZERO, ControlEvent::Synced(write.id), &mut out);
///         }
///         ControlAction::SubmitResult { result, .. } => results.push(result),
///         _ => {}
///     }
///     if node.read(Time::ZERO).is_ok()
///         && let Some(submission) = submission.take()
///     {
///         let event = ControlEvent::Submit { ticket: 1, submission };
///         node.handle(Time::ZERO, event, &mut out);
///     }
/// }
/// assert!(matches!(results[..], [SubmitResult::Ordered(_)]));
/// assert!(node.state().zones_out.contains_key("plovdiv"));
/// ```
pub struct ControlNode {
    endpoint: ControlEndpoint,
    replica: Replica,
    machine: StateMachine,
    /// Index of the last log entry applied to `machine`.
    applied: u64,
    recent: RecentCommands,
    bootstrap: Bootstrap,
    /// Addresses of replicas, learned from their messages.
    learned_addrs: BTreeMap<ReplicaId, SocketAddr>,
    submissions: BTreeMap<u64, PendingSubmission>,
    forwards: BTreeMap<u64, Time>,
    reports: BTreeMap<u64, PendingReport>,
    reads: Vec<PendingRead>,
    /// Bytes of configuration applied since the last snapshot.
    uncompacted_bytes: usize,
    acks: Acks,
    mover: MoveScheduler,
    leader_term: Option<u64>,
    /// Losses that the log bears, as last logged.
    margin: Option<usize>,
    counters: Counters,
}

impl ControlNode {
    /// Creates the node of the control VM `endpoint` from its recovered disk state. `voters` are
    /// the configured voters; empty means that this VM forms a cluster alone.
    ///
    /// # Errors
    ///
    /// Fails when the recovered snapshot cannot be decoded.
    pub fn new(
        now: Time,
        endpoint: ControlEndpoint,
        recovered: Recovered,
        voters: BTreeMap<Name, SocketAddr>,
    ) -> Result<ControlNode> {
        let mut node = ControlNode {
            endpoint,
            replica: Replica::new(now, recovered),
            machine: StateMachine::new(),
            applied: 0,
            recent: RecentCommands::new(1),
            bootstrap: Bootstrap::new(voters),
            learned_addrs: BTreeMap::new(),
            submissions: BTreeMap::new(),
            forwards: BTreeMap::new(),
            reports: BTreeMap::new(),
            reads: Vec::new(),
            uncompacted_bytes: 0,
            acks: Acks::with_start(now, 0),
            mover: MoveScheduler::new(),
            leader_term: None,
            margin: None,
            counters: Counters::new(),
        };
        node.restore()?;
        Ok(node)
    }

    /// Forbids the node to bootstrap a cluster: it only joins an existing one. Used when its data
    /// folder was lost or the VM was added later.
    #[must_use]
    pub fn with_join_only(mut self) -> ControlNode {
        self.bootstrap = self.bootstrap.with_join_only();
        self
    }

    /// Sets the desired number of voters. An observer is promoted when a voter is lost.
    #[must_use]
    pub fn with_voter_count(mut self, count: usize) -> ControlNode {
        self.replica = self.replica.with_voter_count(count);
        self
    }

    /// Replaces the control VMs to contact first. A log that is yet to be formed is formed by those of
    /// the start.
    pub fn set_seeds(&mut self, seeds: BTreeSet<SocketAddr>) {
        self.bootstrap.set_seeds(seeds);
    }

    /// Changes the desired number of voters.
    pub fn set_voter_count(&mut self, count: usize) {
        self.replica.set_voter_count(count);
    }

    /// Returns the Raft replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the configuration after the last entry known to be committed. It may be stale.
    pub fn state(&self) -> &State {
        self.machine.state()
    }

    /// Returns the event counters of this VM.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the state machine if this VM is the leader and holds a valid lease.
    ///
    /// # Errors
    ///
    /// Fails when this VM is not the leader or its lease has expired. The error names the leader if
    /// it is known.
    pub fn read(&self, now: Time) -> Result<&StateMachine> {
        if self.replica.lease_start(now).is_some() {
            return Ok(&self.machine);
        }
        Err(self.not_leader_error())
    }

    /// Returns the local state machine, which may be stale. After a successful
    /// [`ControlAction::ReadResult`] it is up to date for that read.
    pub fn machine(&self) -> &StateMachine {
        &self.machine
    }

    /// Returns the error for a read that this VM cannot serve. It names the leader if it is known.
    #[cold]
    pub fn not_leader_error(&self) -> Error {
        let leader = self.leader().filter(|endpoint| endpoint.name != self.endpoint.name);
        let message = match leader {
            Some(endpoint) => format!("{} leads; ask it at {}", endpoint.name, endpoint.addr),
            None => "no leader can be reached; try another control VM, or again later".into(),
        };
        Error::unavailable(message)
    }

    /// Returns whether this VM, which is about to end, is a voter whose place another one could take.
    pub fn awaits_replacement(&self) -> bool {
        let wanted = self.replica.voter_count();
        self.replica.is_voter() && wanted > 0 && self.replica.members().iter().count() > wanted
    }

    /// Returns whether all entries known to be committed are applied and the leader was in contact
    /// recently.
    pub fn is_up_to_date(&self, now: Time) -> bool {
        self.applied == self.replica.commit_index() && self.replica.is_in_contact(now)
    }

    /// Returns the leader if it is known.
    pub fn leader(&self) -> Option<&ControlEndpoint> {
        self.replica.leader().and_then(|leader| self.replica.members().endpoint(leader))
    }

    /// Records that the control VM at `addr` was heard. To be called regularly for each control VM
    /// that sends regularly.
    pub fn record_heard(&mut self, now: Time, addr: SocketAddr) {
        self.replica.record_heard(now, addr);
    }

    /// Counts a message whose signature could not be verified.
    pub fn count_refused(&mut self) {
        self.counters.add(Counter::ControlRefused, 1);
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: ControlEvent, out: &mut Vec<ControlAction>) {
        let mut actions = Vec::new();
        match event {
            ControlEvent::Submit { ticket, submission } => {
                self.submit(now, ticket, submission, &mut actions, out);
            }
            ControlEvent::Synced(id) => self.replica.handle_synced(now, id, &mut actions),
            ControlEvent::SyncFailed => {
                self.counters.add(Counter::SyncsFailed, 1);
                self.replica.halt();
            }
            ControlEvent::Recovered(recovered) => {
                let (voters, stopping) = (self.replica.voter_count(), self.replica.is_stopping());
                self.replica = Replica::new(now, recovered)
                    .with_voter_count(voters)
                    .with_sightings(&self.replica);
                if stopping {
                    self.replica.stop(now, &mut actions);
                }
            }
            ControlEvent::Message(envelope) => {
                self.handle_message(now, envelope, &mut actions, out)
            }
            ControlEvent::Progress { ticket, progress } => {
                self.handle_progress(now, ticket, progress, out);
            }
            ControlEvent::Read { ticket } => {
                self.start_read(now, ticket, None, &mut actions, out);
            }
            ControlEvent::Stop => self.replica.stop(now, &mut actions),
            ControlEvent::Tick => self.handle_tick(now, &mut actions, out),
        }
        self.apply_committed(now, &mut actions, out);
        self.complete_reads(now, out);
        for action in actions {
            match action {
                ReplicaAction::Write(write) => out.push(ControlAction::Write(write)),
                ReplicaAction::Send { to, message } => {
                    self.send(to, ControlMessage::Replica(message), out);
                }
            }
        }
    }

    fn handle_tick(
        &mut self,
        now: Time,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        self.find_cluster(now, actions, out);
        self.replica.handle_tick(now, actions);
        if self.replica.is_leader() {
            let names = self.bootstrap.voter_names();
            self.replica.propose_membership(now, &names, actions);
            self.move_flows(now, actions);
        }
        self.expire(now, out);
    }

    /// Proposes the flow move steps that are due, if this VM is the leader.
    fn move_flows(&mut self, now: Time, actions: &mut Vec<ReplicaAction>) {
        if self.replica.lease_start(now).is_none() {
            return;
        }
        self.acks.pin_floor(now, self.machine.state().index);
        let mut due = Vec::new();
        self.mover.tick(now, self.machine.state(), &self.acks, &mut due);
        for command in due {
            self.propose_own(now, command, actions);
        }
    }

    /// Probes other control VMs for a cluster to join, and bootstraps one when possible.
    fn find_cluster(
        &mut self,
        now: Time,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        let me = self.replica.id();
        // A member that knows no leader keeps probing: it may have been removed while it was
        // unreachable.
        let followed = self.replica.leader().is_some();
        let member = self.replica.members().endpoint(me).is_some();
        if self.replica.is_halted() || (member && followed) {
            return;
        }
        let members = self.replica.members().iter().map(|(_, endpoint)| endpoint.addr);
        // Control VMs that reach this one may know the log, whatever the settings say.
        let others = members.chain(self.replica.heard_lately(now)).collect();
        for to in self.bootstrap.probe_targets(now, &self.endpoint, others) {
            let envelope = self.envelope(None, ControlMessage::Probe);
            out.push(ControlAction::Send { to, envelope });
        }
        let term = self.replica.term();
        if self.replica.last().index > 0 {
            return;
        }
        match self.bootstrap.next_formation(now, me, &self.endpoint, term) {
            Some(Formation::Direct(members)) => self.replica.bootstrap(members, actions),
            Some(Formation::ByVote(members)) => {
                let has_asked = self.replica.found(now, members, actions);
                if has_asked {
                    self.bootstrap.record_attempt(now);
                }
            }
            None => {}
        }
    }

    fn handle_message(
        &mut self,
        now: Time,
        envelope: Envelope,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        let Envelope { from, endpoint, to, message } = envelope;
        if to.is_some_and(|to| to != self.replica.id()) || from == self.replica.id() {
            self.counters.add(Counter::ControlRefused, 1);
            return;
        }
        self.learn_addr(from, &endpoint);
        match message {
            ControlMessage::Replica(message) => {
                self.replica.handle_message(now, from, message, actions)
            }
            ControlMessage::Probe => {
                self.replica.join(now, from, endpoint, actions);
                let log_exists = self.replica.last().index > 0;
                let leader = self.leader().cloned();
                self.send(from, ControlMessage::ProbeReply { log_exists, leader }, out);
            }
            ControlMessage::ProbeReply { log_exists, leader } => {
                if let Some(leader) = leader.filter(|leader| leader.addr != endpoint.addr) {
                    let envelope = self.envelope(None, ControlMessage::Probe);
                    out.push(ControlAction::Send { to: leader.addr, envelope });
                }
                self.bootstrap.record_reply(now, from, endpoint, log_exists);
            }
            ControlMessage::Forward { ticket, submission } => {
                self.handle_forward(now, from, ticket, submission, actions, out);
            }
            ControlMessage::ForwardReply { ticket, result } => {
                self.complete_forward(ticket, result, out)
            }
            ControlMessage::Report { ticket, progress } => {
                self.handle_report(now, from, ticket, &progress, out);
            }
            ControlMessage::ReportAccepted { ticket, min_index } => {
                self.handle_report_accepted(ticket, min_index, out)
            }
            ControlMessage::ReadIndexRequest { ticket } => {
                self.start_read(now, ticket, Some(from), actions, out);
            }
            ControlMessage::ReadIndexReply { ticket, index } => {
                self.record_read_index(ticket, index, out)
            }
        }
    }

    /// Applies committed entries, answers pending submissions, and takes a snapshot when one is
    /// due.
    fn apply_committed(
        &mut self,
        now: Time,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        self.detect_leader_change(now, out);
        while self.applied < self.replica.commit_index() {
            let index = self.applied + 1;
            let Some(entry) = self.replica.entry(index) else {
                if self.restore().is_err() {
                    // The snapshot's checksum was valid, so a decoding failure is a bug.
                    self.replica.halt();
                    return;
                }
                continue;
            };
            let term = entry.term;
            let outcome = match &entry.payload {
                Payload::Change(change) => {
                    let (outcome, was_applied) = self.machine.apply(change);
                    self.uncompacted_bytes += change.command.approx_size();
                    if was_applied {
                        self.recent.push(change.command.clone());
                    }
                    Some(outcome)
                }
                _ => None,
            };
            self.applied = index;
            self.complete_submission(index, term, outcome, out);
        }
        self.compact(actions);
    }

    fn compact(&mut self, actions: &mut Vec<ReplicaAction>) {
        let last = self.replica.snapshot().last_entry.index;
        let due = self.applied >= last + SNAPSHOT_INTERVAL_ENTRIES
            || self.uncompacted_bytes >= SNAPSHOT_INTERVAL_BYTES;
        if !due || self.replica.is_halted() {
            return;
        }
        let keep = if self.uncompacted_bytes >= SNAPSHOT_INTERVAL_BYTES {
            TRAILING_ENTRIES_LARGE
        } else {
            TRAILING_ENTRIES
        };
        self.uncompacted_bytes = 0;
        if let Ok(data) = postcard::to_stdvec(&self.machine) {
            self.counters.add(Counter::SnapshotsTaken, 1);
            self.replica.compact(self.applied, data, keep, actions);
        }
    }

    /// Restores the state machine from the replica's snapshot if the snapshot is newer.
    fn restore(&mut self) -> Result<()> {
        let snapshot = self.replica.snapshot();
        if snapshot.last_entry.index <= self.applied {
            return Ok(());
        }
        if !snapshot.data.is_empty() {
            self.machine = postcard::from_bytes(&snapshot.data).map_err(|err| {
                let message = format!(
                    "cannot decode the snapshot ({err}); start the version that wrote it, or move the \
                     data folder away"
                );
                Error::storage(message)
            })?;
        }
        self.applied = snapshot.last_entry.index;
        self.recent = RecentCommands::new(self.machine.state().index + 1);
        Ok(())
    }

    fn learn_addr(&mut self, replica: ReplicaId, endpoint: &ControlEndpoint) {
        /// Maximum number of learned addresses.
        const MAX_LEARNED_ADDRS: usize = 64;
        if self.learned_addrs.len() >= MAX_LEARNED_ADDRS
            && !self.learned_addrs.contains_key(&replica)
        {
            self.learned_addrs.pop_first();
        }
        self.learned_addrs.insert(replica, endpoint.addr);
    }

    fn envelope(&self, to: Option<ReplicaId>, message: ControlMessage) -> Envelope {
        Envelope { from: self.replica.id(), endpoint: self.endpoint.clone(), to, message }
    }

    fn send(&self, to: ReplicaId, message: ControlMessage, out: &mut Vec<ControlAction>) {
        let member = self.replica.members().endpoint(to).map(|endpoint| endpoint.addr);
        let Some(addr) = self.learned_addrs.get(&to).copied().or(member) else { return };
        let envelope = self.envelope(Some(to), message);
        out.push(ControlAction::Send { to: addr, envelope });
    }
}

/// Returns the revision of an accepted outcome.
///
/// # Errors
///
/// Fails with the outcome's message when it is a refusal.
pub fn accepted_revision(outcome: Outcome) -> Result<u64> {
    match outcome {
        Outcome::Accepted { revision } => Ok(revision),
        Outcome::Refused { message } => Err(Error::config(&*message)),
    }
}
