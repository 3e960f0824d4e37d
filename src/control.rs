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

mod apply;
mod event;
mod feed;
mod formation;
mod machine;
mod message;
mod read;
mod receive;
mod replica;
mod sign;
mod status;
mod storage;
mod submit;

use feed::{PendingReport, RecentCommands};
use formation::Bootstrap;
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
