//! A simulated network between entry nodes with delay, loss, duplication and partitions. Every
//! random choice comes from one seed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    entry::{EntryAction, EntryEvent, EntryNode},
    flow::FlowMessage,
    member::{Member, View},
    name::Name,
    peer::PeerMessage,
    spread::{Acks, ConfigMessage, Entries, LEASE_DURATION, Progress},
    state::{Command, State},
    time::Time,
};

/// Interval between the tick events of every node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
const PER_MILLE: u32 = 1_000;

/// Delay that each loss adds to a message to or from a control VM: TCP retransmits it.
const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of log entries in one reply of the control VM.
const MAX_FETCH_ENTRIES: usize = 256;

/// An action of an entry node that the simulated network does not carry out itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeOutput {
    /// When the node emitted it.
    pub at: Time,
    /// The entry VM.
    pub vm: Name,
    /// The emitted action.
    pub action: EntryAction,
}

/// A message in flight.
enum Delivery {
    /// An event for a VM.
    Event(Name, EntryEvent),
    /// A progress report to the control VM, with the sender's name and incarnation.
    Report { from: (Name, u64), report: u64, progress: Progress },
}

/// Entry nodes, the messages between them, and a configuration log. A new log entry reaches every
/// node at once, except nodes in [`Mesh::held`] and nodes that fetch it by report.
pub struct Mesh {
    /// Running nodes by name.
    pub nodes: BTreeMap<Name, EntryNode>,
    /// Minimum one-way delay between VMs; up to a quarter of it is added as jitter.
    pub delay: Duration,
    /// Lost messages per thousand.
    pub loss: u32,
    /// Duplicated messages per thousand.
    pub duplication: u32,
    /// Partitioned pairs of availability zones, in both orders.
    pub cuts: BTreeSet<(Name, Name)>,
    /// Pairs of VMs, sender first, whose messages are dropped.
    pub blocked_links: BTreeSet<(Name, Name)>,
    /// VMs that receive no configuration entries or snapshots.
    pub held: BTreeSet<Name>,
    /// Number and bytes of the messages sent between VMs.
    pub sent: (u64, u64),
    /// Bytes sent between VMs, by the service that the message is for.
    pub service_bytes: BTreeMap<&'static str, u64>,
    /// Bytes of control messages by sender: all messages except relayed packets.
    pub control_bytes: BTreeMap<Name, u64>,
    /// Availability zones that cannot reach a control VM.
    pub control_cuts: BTreeSet<Name>,
    /// Acknowledgements that the control VM has received.
    pub acks: Acks,
    /// Bytes sent between VMs, by sender.
    pub sender_bytes: BTreeMap<Name, u64>,
    /// Number of reports that reached the control VM, and the JSON bytes of the reports and replies.
    pub report_traffic: (u64, u64),
    /// The state after the last log entry.
    pub state: State,
    now: Time,
    last_tick: Time,
    log: Vec<Command>,
    outputs: Vec<NodeOutput>,
    queue: BTreeMap<(Time, u64), Delivery>,
    leased_vms: BTreeSet<Name>,
    last_seq: u64,
    rng: ChaCha8Rng,
}

impl Mesh {
    /// Returns a network without nodes.
    pub fn new(seed: u64) -> Mesh {
        Mesh {
            nodes: BTreeMap::new(),
            delay: Duration::from_micros(4_500),
            loss: 0,
            duplication: 0,
            cuts: BTreeSet::new(),
            blocked_links: BTreeSet::new(),
            held: BTreeSet::new(),
            sent: (0, 0),
            service_bytes: BTreeMap::new(),
            control_bytes: BTreeMap::new(),
            control_cuts: BTreeSet::new(),
            acks: Acks::new(),
            sender_bytes: BTreeMap::new(),
            report_traffic: (0, 0),
            state: State::new(),
            now: Time::ZERO,
            last_tick: Time::ZERO,
            log: Vec::new(),
            outputs: Vec::new(),
            queue: BTreeMap::new(),
            leased_vms: BTreeSet::new(),
            last_seq: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Starts a node, sends it the log, and sends every node the new view.
    pub fn start(&mut self, member: Member) {
        let name = member.name.clone();
        self.nodes.insert(name.clone(), EntryNode::new(member));
        self.send_entries(&name);
        self.share_view();
    }

    /// Starts a node that discovers the others by the membership protocol, starting from the peer
    /// addresses `seeds`.
    pub fn join(&mut self, member: Member, seeds: Vec<SocketAddr>) {
        let name = member.name.clone();
        self.nodes.insert(name.clone(), EntryNode::with_seeds(member, seeds));
        self.send_entries(&name);
    }

    /// Starts a node as [`Mesh::join`] does, with the initial configuration `state`. The node holds
    /// leases and fetches new log entries by sending reports.
    pub fn join_leased(&mut self, member: Member, seeds: Vec<SocketAddr>, state: State) {
        let name = member.name.clone();
        self.leased_vms.insert(name.clone());
        self.nodes.insert(name, EntryNode::with_leases(member, seeds, state));
    }

    /// Stops a node without notice and drops the messages in flight to it.
    pub fn kill(&mut self, vm: &str) {
        self.nodes.remove(vm);
        self.queue.retain(|_, item| !matches!(item, Delivery::Event(to, _) if &**to == vm));
    }

    /// Sends every node a view of all running nodes.
    pub fn share_view(&mut self) {
        let members: Vec<_> = self.nodes.values().map(|node| node.me().clone()).collect();
        let names: Vec<_> = self.nodes.keys().cloned().collect();
        for name in names {
            let mut view = View::new(members.iter().cloned());
            view.version = self.nodes[&name].view().version + 1;
            self.handle_event(&name, EntryEvent::View(view));
        }
    }

    /// Appends `command` to the log and sends the new entries to every node.
    pub fn apply(&mut self, command: Command) {
        self.state.apply(&command);
        self.log.push(command);
        let names: Vec<_> = self.nodes.keys().cloned().collect();
        for name in names {
            self.send_entries(&name);
        }
    }

    /// Sends `vm` the log entries that it lacks, unless it is held or fetches them by report.
    pub fn send_entries(&mut self, vm: &str) {
        let Some(node) = self.nodes.get(vm) else { return };
        let have = node.state().index as usize;
        if self.leased_vms.contains(vm) || self.held.contains(vm) || have == self.log.len() {
            return;
        }
        let commands = self.log[have..].to_vec();
        self.handle_event(vm, EntryEvent::Entries(Entries::new(have as u64 + 1, commands)));
    }

    /// Makes `vm` handle `event` now; does nothing if `vm` is not running.
    pub fn handle_event(&mut self, vm: &str, event: EntryEvent) {
        let Some((vm, mut node)) = self.nodes.remove_entry(vm) else { return };
        let received = match &event {
            EntryEvent::Packet(bytes) => bytes.clone(),
            _ => Vec::new(),
        };
        let mut out = Vec::new();
        node.handle(self.now, event, &mut out);
        self.nodes.insert(vm.clone(), node);
        for action in out {
            self.dispatch(&vm, action, &received);
        }
    }

    /// Advances the time by `span`, delivering messages and ticks.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let tick = self.last_tick + TICK_INTERVAL;
            let due = self.queue.first_key_value().map(|(&(at, _), _)| at);
            let next = due.map_or(tick, |at| at.min(tick));
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            if due == Some(next) {
                let (_, item) = self.queue.pop_first().expect("the queue is not empty");
                self.deliver(item);
            } else {
                self.last_tick = tick;
                self.tick();
            }
        }
    }

    /// Returns the actions since the last call, except messages between VMs and reports.
    pub fn take_outputs(&mut self) -> Vec<NodeOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Partitions two availability zones from each other.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.into(), b.into()));
        self.cuts.insert((b.into(), a.into()));
    }

    /// Ends every partition.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    fn deliver(&mut self, item: Delivery) {
        match item {
            Delivery::Event(to, event) => self.handle_event(&to, event),
            Delivery::Report { from, report, progress } => {
                self.answer_report(from, report, &progress)
            }
        }
    }

    /// Answers a report as a control VM does, unless the sender has stopped or restarted or gets no
    /// configuration entries.
    fn answer_report(&mut self, (vm, incarnation): (Name, u64), report: u64, progress: &Progress) {
        self.acks.record_report(self.now, progress);
        self.report_traffic.0 += 1;
        self.report_traffic.1 += json_len(progress);
        let runs = |node: &EntryNode| node.me().incarnation == incarnation;
        if !self.nodes.get(&vm).is_some_and(runs) || self.is_held(&vm) {
            return;
        }
        let start = (progress.after as usize).min(self.log.len());
        let end = self.log.len().min(start + MAX_FETCH_ENTRIES);
        let commands = self.log[start..end].to_vec();
        let entries = Entries { lease: LEASE_DURATION, ..Entries::new(start as u64 + 1, commands) };
        self.report_traffic.1 += json_len(&entries);
        let at = self.control_arrival();
        self.schedule(at, Delivery::Event(vm, EntryEvent::Reply { report, entries }));
    }

    /// Returns when a message to or from the control VM arrives, including retransmissions.
    fn control_arrival(&mut self) -> Time {
        let mut at = self.now + self.delay;
        while self.rng.random_range(0..PER_MILLE) < self.loss {
            at = at + RETRANSMIT_DELAY;
        }
        at
    }

    fn schedule(&mut self, at: Time, item: Delivery) {
        self.last_seq += 1;
        self.queue.insert((at, self.last_seq), item);
    }

    fn is_held(&self, vm: &str) -> bool {
        let zone = self.nodes.get(vm).map(|node| node.me().zone.clone());
        self.held.contains(vm) || zone.is_some_and(|zone| self.control_cuts.contains(&zone))
    }

    fn tick(&mut self) {
        let names: Vec<_> = self.nodes.keys().cloned().collect();
        for name in names {
            self.handle_event(&name, EntryEvent::Tick);
        }
    }

    fn dispatch(&mut self, vm: &Name, action: EntryAction, received: &[u8]) {
        match action {
            EntryAction::ToPeer { to, message } => {
                let len = message.encode().map_or(0, |bytes| bytes.len());
                self.sent.0 += 1;
                self.sent.1 += len as u64;
                *self.service_bytes.entry(message.service()).or_default() += len as u64;
                *self.sender_bytes.entry(vm.clone()).or_default() += len as u64;
                let is_packet = matches!(
                    message,
                    PeerMessage::Flow(FlowMessage::Relay { .. } | FlowMessage::Open { .. })
                );
                if !is_packet {
                    *self.control_bytes.entry(vm.clone()).or_default() += len as u64;
                }
                let event = EntryEvent::Peer { from: vm.clone(), message };
                self.transmit(vm, &to, event);
            }
            EntryAction::ToSeed { to, message } => {
                let mut nodes = self.nodes.values();
                let found = nodes.find(|node| node.me().peers == to).map(|n| n.me().name.clone());
                let Some(to) = found else { return };
                self.dispatch(vm, EntryAction::ToPeer { to, message }, received);
            }
            EntryAction::Report { report, progress } => {
                let zone = self.nodes.get(vm).map(|node| node.me().zone.clone());
                if zone.is_some_and(|zone| self.control_cuts.contains(&zone)) {
                    return;
                }
                let incarnation = self.nodes.get(vm).map_or(0, |node| node.me().incarnation);
                let at = self.control_arrival();
                let from = (vm.clone(), incarnation);
                self.schedule(at, Delivery::Report { from, report, progress });
            }
            EntryAction::Forward { to } => {
                let action = EntryAction::Send { to, bytes: received.to_vec() };
                self.outputs.push(NodeOutput { at: self.now, vm: vm.clone(), action });
            }
            action => self.outputs.push(NodeOutput { at: self.now, vm: vm.clone(), action }),
        }
    }

    fn transmit(&mut self, from: &Name, to: &Name, event: EntryEvent) {
        if self.held.contains(to) && carries_entries(&event) {
            return;
        }
        let blocked = self.blocked_links.contains(&(from.clone(), to.clone()));
        if blocked || self.is_cut(from, to) || self.rng.random_range(0..PER_MILLE) < self.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_range(0..PER_MILLE) < self.duplication);
        for _ in 0..copies {
            let jitter = self.rng.random_range(0..=self.delay.as_micros() as u64 / 4);
            let at = self.now + self.delay + Duration::from_micros(jitter);
            self.schedule(at, Delivery::Event(to.clone(), event.clone()));
        }
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        let zone = |vm: &str| self.nodes.get(vm).map(|node| node.me().zone.clone());
        match (zone(from), zone(to)) {
            (Some(from), Some(to)) => self.cuts.contains(&(from, to)),
            _ => false,
        }
    }
}

fn carries_entries(event: &EntryEvent) -> bool {
    let EntryEvent::Peer { message: PeerMessage::Config(message), .. } = event else {
        return false;
    };
    matches!(message, ConfigMessage::Entries(_) | ConfigMessage::SnapshotPart { .. })
}

fn json_len(value: &impl serde::Serialize) -> u64 {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len() as u64)
}
