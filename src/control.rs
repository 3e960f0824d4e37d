//! The control node: orders configuration changes and makes them durable, without a socket, a
//! clock or a file.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

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

use feed::{Feed, Report};
use formation::Formation;
use read::PendingRead;
use submit::Waiter;

pub use event::{ControlAction, ControlEvent};
pub use machine::{Change, HORIZON, Machine, Past, Request};
pub use message::{ControlMessage, Envelope, Fate, Submission};
pub use replica::{
    Entry, Hard, Identity, Mark, Members, Payload, Recovered, Replica, ReplicaAction,
    ReplicaMessage, Seat, Snapshot, Write,
};
pub use sign::Signer;
pub use status::{ControlStatus, ReplicaStatus, Role};
pub use storage::{Disk, FolderDisk, Opened, Ready, Storage};

/// Entries after which a snapshot is taken.
const SNAPSHOT_PERIOD: u64 = 1_000;
/// Bytes of configurations after which a snapshot is taken: the log in memory and on disk stays
/// a few times as long.
const SNAPSHOT_LEN: usize = 1 << 20;
/// Entries before a snapshot that are kept for replicas that are a little behind.
const SNAPSHOT_KEEP: u64 = 500;
/// Entries that are kept where they are large.
const SNAPSHOT_KEEP_LARGE: u64 = 8;
/// Time after which a forwarded submission, read or report is given up: callers of a control VM
/// go on to the next one after a second.
const FORWARD_LIMIT: Duration = Duration::from_millis(800);

/// One control VM.
///
/// ```
/// use std::collections::BTreeMap;
///
/// use galenatrail::{
///     Command, ControlAction, ControlEvent, ControlNode, Fate, Identity, Recovered, Seat,
///     Submission, Time,
/// };
///
/// let seat = Seat { name: "control-1".into(), addr: "127.0.1.1:8500".parse().unwrap() };
/// let recovered = Recovered { me: Identity::new(7), ..Recovered::default() };
/// let mut node = ControlNode::new(Time::ZERO, seat, recovered, BTreeMap::new()).unwrap();
/// let mut out = Vec::new();
/// let mut fates = Vec::new();
/// node.handle(Time::ZERO, ControlEvent::Tick, &mut out);
/// let command = Command::Zone { zone: "plovdiv".into(), out: true };
/// let mut submission = Some(Submission::new(command));
/// while !out.is_empty() {
///     match out.remove(0) {
///         // A write is synced at once here.
///         ControlAction::Write(write) => {
///             node.handle(Time::ZERO, ControlEvent::Synced(write.id), &mut out);
///         }
///         ControlAction::Fate { fate, .. } => fates.push(fate),
///         _ => {}
///     }
///     if node.read(Time::ZERO).is_ok()
///         && let Some(submission) = submission.take()
///     {
///         let event = ControlEvent::Submit { ticket: 1, submission };
///         node.handle(Time::ZERO, event, &mut out);
///     }
/// }
/// assert!(matches!(fates[..], [Fate::Ordered(_)]));
/// assert!(node.state().zones_out.contains_key("plovdiv"));
/// ```
pub struct ControlNode {
    seat: Seat,
    replica: Replica,
    machine: Machine,
    /// Last entry of the log that the machine has.
    applied: u64,
    feed: Feed,
    formation: Formation,
    /// Addresses of replicas that are no members yet.
    known: BTreeMap<Identity, SocketAddr>,
    waiting: BTreeMap<u64, Waiter>,
    forwards: BTreeMap<u64, Time>,
    reports: BTreeMap<u64, Report>,
    reads: Vec<PendingRead>,
    /// Bytes of configurations applied since the last snapshot.
    grown: usize,
    acks: Acks,
    mover: MoveScheduler,
    leading: Option<u64>,
    counters: Counters,
}

impl ControlNode {
    /// Returns the control VM `seat`, which goes on from what its disk holds; `voters` are the
    /// control VMs that are to vote, none where it is alone.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot cannot be read.
    pub fn new(
        now: Time,
        seat: Seat,
        recovered: Recovered,
        voters: BTreeMap<Name, SocketAddr>,
    ) -> Result<ControlNode> {
        let mut node = ControlNode {
            seat,
            replica: Replica::new(now, recovered),
            machine: Machine::new(),
            applied: 0,
            feed: Feed::new(1),
            formation: Formation::new(voters),
            known: BTreeMap::new(),
            waiting: BTreeMap::new(),
            forwards: BTreeMap::new(),
            reports: BTreeMap::new(),
            reads: Vec::new(),
            grown: 0,
            acks: Acks::with_start(now, 0),
            mover: MoveScheduler::new(),
            leading: None,
            counters: Counters::new(),
        };
        node.restore()?;
        Ok(node)
    }

    /// Returns the node where it may not make a log of its own, only join the others' one: its
    /// data folder was lost, or it came later.
    #[must_use]
    pub fn with_joining(mut self) -> ControlNode {
        self.formation = self.formation.with_joining();
        self
    }

    /// Returns the node where `count` voters are wanted: an observer takes the place of one that
    /// is lost.
    #[must_use]
    pub fn with_voters(mut self, count: usize) -> ControlNode {
        self.replica = self.replica.with_voters(count);
        self
    }

    /// Returns the replica of the log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the configuration after the last entry known to be committed, which may be out of
    /// date.
    pub fn state(&self) -> &State {
        self.machine.state()
    }

    /// Returns the counts of this VM.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns what is in force, as no other control VM knows better.
    ///
    /// # Errors
    ///
    /// Fails where this VM does not lead or cannot be sure of it; the error names the leader,
    /// where one is known.
    pub fn read(&self, now: Time) -> Result<&Machine> {
        if self.replica.lease(now).is_some() {
            return Ok(&self.machine);
        }
        Err(self.unsure())
    }

    /// Returns what is in force as far as this VM knows: what [`ControlAction::Readable`] speaks
    /// of.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Returns the error of a read that this VM cannot answer; it names the leader, where one is
    /// known.
    #[cold]
    pub fn unsure(&self) -> Error {
        let leader = self.leader().filter(|seat| seat.name != self.seat.name);
        let message = match leader {
            Some(seat) => format!("{} leads; ask it at {}", seat.name, seat.addr),
            None => "no leader can be reached; try another control VM, or again later".into(),
        };
        Error::unavailable(message)
    }

    /// Returns whether this VM has heard lately that nothing newer than what it has is in force.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.applied == self.replica.commit() && self.replica.is_near(now)
    }

    /// Returns the leader, where one is known.
    pub fn leader(&self) -> Option<&Seat> {
        self.replica.leader().and_then(|leader| self.replica.members().seat(leader))
    }

    /// Counts a message under no known key.
    pub fn refuse(&mut self) {
        self.counters.add(Counter::ControlRefused, 1);
    }

    /// Handles one event and appends what the shell has to do to `out`.
    pub fn handle(&mut self, now: Time, event: ControlEvent, out: &mut Vec<ControlAction>) {
        let mut actions = Vec::new();
        match event {
            ControlEvent::Submit { ticket, submission } => {
                self.submit(now, ticket, submission, &mut actions, out);
            }
            ControlEvent::Synced(id) => self.replica.synced(now, id, &mut actions),
            ControlEvent::SyncFailed => {
                self.counters.add(Counter::SyncsFailed, 1);
                self.replica.fail();
            }
            ControlEvent::Recovered(recovered) => {
                let voters = self.replica.voters();
                self.replica = Replica::new(now, recovered).with_voters(voters);
            }
            ControlEvent::Message(envelope) => self.message(now, envelope, &mut actions, out),
            ControlEvent::Progress { ticket, progress } => {
                self.progress(now, ticket, progress, out);
            }
            ControlEvent::Read { ticket } => {
                self.start_read(now, ticket, None, &mut actions, out);
            }
            ControlEvent::Stop => self.replica.resign(now, &mut actions),
            ControlEvent::Tick => self.tick(now, &mut actions, out),
        }
        self.settle(now, &mut actions, out);
        self.settle_reads(now, out);
        for action in actions {
            match action {
                ReplicaAction::Write(write) => out.push(ControlAction::Write(write)),
                ReplicaAction::Send { to, message } => {
                    self.send(to, ControlMessage::Replica(message), out);
                }
            }
        }
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<ReplicaAction>, out: &mut Vec<ControlAction>) {
        self.find_log(now, actions, out);
        self.replica.tick(now, actions);
        if self.replica.is_leader() {
            let names = self.formation.names();
            self.replica.change(now, &names, actions);
            self.move_flows(now, actions);
        }
        self.expire(now, out);
    }

    /// Orders the steps of flow moves that are due, as the leader.
    fn move_flows(&mut self, now: Time, actions: &mut Vec<ReplicaAction>) {
        if self.replica.lease(now).is_none() {
            return;
        }
        self.acks.pin_floor(now, self.machine.state().index);
        let mut due = Vec::new();
        self.mover.tick(now, self.machine.state(), &self.acks, &mut due);
        for command in due {
            self.order_own(now, command, actions);
        }
    }

    /// Looks for a log to belong to.
    fn find_log(
        &mut self,
        now: Time,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        let me = self.replica.me();
        // A member without a leader may have been replaced while it was out of reach.
        let followed = self.replica.leader().is_some();
        let member = self.replica.members().seat(me).is_some();
        if self.replica.is_halted() || (member && followed) {
            return;
        }
        let members = self.replica.members().all().map(|(_, seat)| seat.addr).collect();
        for to in self.formation.probes(now, &self.seat, members) {
            let envelope = self.envelope(None, ControlMessage::Probe);
            out.push(ControlAction::Send { to, envelope });
        }
        if self.replica.last().index == 0
            && let Some(members) = self.formation.members(now, me, &self.seat)
        {
            self.replica.form(members, actions);
        }
    }

    fn message(
        &mut self,
        now: Time,
        envelope: Envelope,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        let Envelope { from, seat, to, message } = envelope;
        if to.is_some_and(|to| to != self.replica.me()) || from == self.replica.me() {
            self.counters.add(Counter::ControlRefused, 1);
            return;
        }
        self.know(from, &seat);
        match message {
            ControlMessage::Replica(message) => self.replica.receive(now, from, message, actions),
            ControlMessage::Probe => {
                self.replica.join(from, seat);
                let formed = self.replica.last().index > 0 || self.replica.term() > 0;
                let leader = self.leader().cloned();
                self.send(from, ControlMessage::Present { formed, leader }, out);
            }
            ControlMessage::Present { formed, leader } => {
                if let Some(leader) = leader.filter(|leader| leader.addr != seat.addr) {
                    let envelope = self.envelope(None, ControlMessage::Probe);
                    out.push(ControlAction::Send { to: leader.addr, envelope });
                }
                self.formation.present(now, from, seat, formed);
            }
            ControlMessage::Forward { ticket, submission } => {
                self.forwarded(now, from, ticket, submission, actions, out);
            }
            ControlMessage::Forwarded { ticket, fate } => self.answer_forward(ticket, fate, out),
            ControlMessage::Report { ticket, progress } => {
                self.report(now, from, ticket, &progress, out);
            }
            ControlMessage::Noted { ticket, least } => self.noted(ticket, least, out),
            ControlMessage::ReadAsk { ticket } => {
                self.start_read(now, ticket, Some(from), actions, out);
            }
            ControlMessage::ReadAt { ticket, index } => self.read_at(ticket, index, out),
        }
    }

    /// Applies what is committed, answers who waits for it, and takes a snapshot when one is due.
    fn settle(
        &mut self,
        now: Time,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        self.watch_leading(now, out);
        while self.applied < self.replica.commit() {
            let index = self.applied + 1;
            let Some(entry) = self.replica.entry(index) else {
                if self.restore().is_err() {
                    // The snapshot's checksums held, so this is a fault of the program.
                    self.replica.fail();
                    return;
                }
                continue;
            };
            let term = entry.term;
            let outcome = match &entry.payload {
                Payload::Change(change) => {
                    let (outcome, fed) = self.machine.apply(change);
                    self.grown += change.command.len();
                    if fed {
                        self.feed.push(change.command.clone());
                    }
                    Some(outcome)
                }
                _ => None,
            };
            self.applied = index;
            self.answer(index, term, outcome, out);
        }
        self.compact(actions);
    }

    fn compact(&mut self, actions: &mut Vec<ReplicaAction>) {
        let last = self.replica.snapshot().mark.index;
        let due = self.applied >= last + SNAPSHOT_PERIOD || self.grown >= SNAPSHOT_LEN;
        if !due || self.replica.is_halted() {
            return;
        }
        let keep = if self.grown >= SNAPSHOT_LEN { SNAPSHOT_KEEP_LARGE } else { SNAPSHOT_KEEP };
        self.grown = 0;
        if let Ok(data) = postcard::to_stdvec(&self.machine) {
            self.counters.add(Counter::SnapshotsTaken, 1);
            self.replica.compact(self.applied, data, keep, actions);
        }
    }

    /// Takes over the replica's snapshot where it is newer than the machine.
    fn restore(&mut self) -> Result<()> {
        let snapshot = self.replica.snapshot();
        if snapshot.mark.index <= self.applied {
            return Ok(());
        }
        if !snapshot.data.is_empty() {
            self.machine = postcard::from_bytes(&snapshot.data).map_err(|err| {
                let message = format!(
                    "the snapshot cannot be read ({err}); start the version \
                                       that wrote it, or move the data folder away"
                );
                Error::storage(message)
            })?;
        }
        self.applied = snapshot.mark.index;
        self.feed = Feed::new(self.machine.state().index + 1);
        Ok(())
    }

    fn know(&mut self, replica: Identity, seat: &Seat) {
        /// Replicas outside of the log whose addresses are kept.
        const KNOWN_LEN: usize = 64;
        if self.known.len() >= KNOWN_LEN && !self.known.contains_key(&replica) {
            self.known.pop_first();
        }
        self.known.insert(replica, seat.addr);
    }

    fn envelope(&self, to: Option<Identity>, message: ControlMessage) -> Envelope {
        Envelope { from: self.replica.me(), seat: self.seat.clone(), to, message }
    }

    fn send(&self, to: Identity, message: ControlMessage, out: &mut Vec<ControlAction>) {
        let member = self.replica.members().seat(to).map(|seat| seat.addr);
        let Some(addr) = self.known.get(&to).copied().or(member) else { return };
        let envelope = self.envelope(Some(to), message);
        out.push(ControlAction::Send { to: addr, envelope });
    }
}

/// Turns a refused outcome into an error.
///
/// # Errors
///
/// Fails when `outcome` is a refusal.
pub fn accepted(outcome: Outcome) -> Result<u64> {
    match outcome {
        Outcome::Accepted { revision } => Ok(revision),
        Outcome::Refused { message } => Err(Error::config(&*message)),
    }
}
