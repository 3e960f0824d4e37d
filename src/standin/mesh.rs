//! An in-memory carrier of messages between entry nodes: delay, loss, duplication and cuts, all
//! from one seed.

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

const TICK: Duration = Duration::from_millis(50);
const PER_MILLE: u32 = 1_000;

/// Time after which a message to or from a control VM, which runs over TCP, is sent again.
const RESEND: Duration = Duration::from_millis(200);

/// Entries in one answer of the control VM at most.
const FETCH_LIMIT: usize = 256;

/// An action of an entry node that left the carrier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Left {
    /// When the node asked for it.
    pub at: Time,
    /// The entry VM.
    pub vm: Name,
    /// What it asked for.
    pub action: EntryAction,
}

/// What is on its way.
enum Item {
    /// An event to a VM.
    Event(Name, EntryEvent),
    /// A report to the control VM, with the sender and the number of its start.
    Report { from: (Name, u64), report: u64, progress: Progress },
}

/// Entry nodes, the messages between them, and a configuration log that reaches them at once
/// unless a VM is held back.
pub struct Mesh {
    /// Running nodes by name.
    pub nodes: BTreeMap<Name, EntryNode>,
    /// One-way delay between VMs.
    pub delay: Duration,
    /// Lost messages in a thousand.
    pub loss: u32,
    /// Duplicated messages in a thousand.
    pub repeats: u32,
    /// Pairs of availability zones, in both orders, that are cut off from each other.
    pub cuts: BTreeSet<(Name, Name)>,
    /// Pairs of VMs, sender first, between which nothing arrives.
    pub blocked: BTreeSet<(Name, Name)>,
    /// VMs that receive no configuration entries for now.
    pub held: BTreeSet<Name>,
    /// Messages between VMs that were sent, and their bytes.
    pub sent: (u64, u64),
    /// Bytes of messages between VMs by the service that they are for.
    pub bytes: BTreeMap<&'static str, u64>,
    /// Bytes of control messages that each VM sent: all but relayed packets.
    pub control: BTreeMap<Name, u64>,
    /// Availability zones that reach no control VM.
    pub control_cuts: BTreeSet<Name>,
    /// Acknowledgements as the control VM knows them.
    pub acks: Acks,
    /// Bytes of messages between VMs by sender.
    pub sent_by: BTreeMap<Name, u64>,
    /// Reports to the control VM, and the bytes of these and of their answers in JSON.
    pub calls: (u64, u64),
    /// The state after every entry of the log.
    pub state: State,
    now: Time,
    ticked: Time,
    log: Vec<Command>,
    left: Vec<Left>,
    queue: BTreeMap<(Time, u64), Item>,
    leased: BTreeSet<Name>,
    serial: u64,
    rng: ChaCha8Rng,
}

impl Mesh {
    /// Returns a carrier without nodes.
    pub fn new(seed: u64) -> Mesh {
        Mesh {
            nodes: BTreeMap::new(),
            delay: Duration::from_micros(4_500),
            loss: 0,
            repeats: 0,
            cuts: BTreeSet::new(),
            blocked: BTreeSet::new(),
            held: BTreeSet::new(),
            sent: (0, 0),
            bytes: BTreeMap::new(),
            control: BTreeMap::new(),
            control_cuts: BTreeSet::new(),
            acks: Acks::new(),
            sent_by: BTreeMap::new(),
            calls: (0, 0),
            state: State::new(),
            now: Time::ZERO,
            ticked: Time::ZERO,
            log: Vec::new(),
            left: Vec::new(),
            queue: BTreeMap::new(),
            leased: BTreeSet::new(),
            serial: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Starts a node, which learns the log, and tells every node the new view.
    pub fn start(&mut self, member: Member) {
        let name = member.name.clone();
        self.nodes.insert(name.clone(), EntryNode::new(member));
        self.feed(&name);
        self.share_view();
    }

    /// Starts a node that finds the others itself, the peer addresses `seeds` first.
    pub fn join(&mut self, member: Member, seeds: Vec<SocketAddr>) {
        let name = member.name.clone();
        self.nodes.insert(name.clone(), EntryNode::with_seeds(member, seeds));
        self.feed(&name);
    }

    /// Starts a node as [`Mesh::join`] does, which fetches the configuration from the log by
    /// reports, keeps leases, and starts from the configuration `state`.
    pub fn join_leased(&mut self, member: Member, seeds: Vec<SocketAddr>, state: State) {
        let name = member.name.clone();
        self.leased.insert(name.clone());
        self.nodes.insert(name, EntryNode::with_leases(member, seeds, state));
    }

    /// Ends a node without notice; its messages on the way are lost.
    pub fn kill(&mut self, vm: &str) {
        self.nodes.remove(vm);
        self.queue.retain(|_, item| !matches!(item, Item::Event(to, _) if &**to == vm));
    }

    /// Tells every node which nodes run.
    pub fn share_view(&mut self) {
        let members: Vec<_> = self.nodes.values().map(|node| node.me().clone()).collect();
        let names: Vec<_> = self.nodes.keys().cloned().collect();
        for name in names {
            let mut view = View::new(members.iter().cloned());
            view.version = self.nodes[&name].view().version + 1;
            self.event(&name, EntryEvent::View(view));
        }
    }

    /// Appends `command` to the log and hands it to every node that is not held back.
    pub fn apply(&mut self, command: Command) {
        self.state.apply(&command);
        self.log.push(command);
        let names: Vec<_> = self.nodes.keys().cloned().collect();
        for name in names {
            self.feed(&name);
        }
    }

    /// Hands `vm` the entries that it lacks, unless it is held back.
    pub fn feed(&mut self, vm: &str) {
        let Some(node) = self.nodes.get(vm) else { return };
        let have = node.state().index as usize;
        if self.leased.contains(vm) || self.held.contains(vm) || have == self.log.len() {
            return;
        }
        let commands = self.log[have..].to_vec();
        self.event(vm, EntryEvent::Entries(Entries::new(have as u64 + 1, commands)));
    }

    /// Hands `event` to `vm` now; nothing happens when it does not run.
    pub fn event(&mut self, vm: &str, event: EntryEvent) {
        let Some((vm, mut node)) = self.nodes.remove_entry(vm) else { return };
        let received = match &event {
            EntryEvent::Packet(bytes) => bytes.clone(),
            _ => Vec::new(),
        };
        let mut out = Vec::new();
        node.handle(self.now, event, &mut out);
        self.nodes.insert(vm.clone(), node);
        for action in out {
            self.act(&vm, action, &received);
        }
    }

    /// Runs deliveries and ticks for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let tick = self.ticked + TICK;
            let due = self.queue.first_key_value().map(|(&(at, _), _)| at);
            let next = due.map_or(tick, |at| at.min(tick));
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            if due == Some(next) {
                let (_, item) = self.queue.pop_first().expect("the queue has a first");
                self.deliver(item);
            } else {
                self.ticked = tick;
                self.tick();
            }
        }
    }

    /// Returns what the nodes asked for since the last call, messages between VMs left out.
    pub fn take(&mut self) -> Vec<Left> {
        std::mem::take(&mut self.left)
    }

    /// Cuts two availability zones off from each other.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.into(), b.into()));
        self.cuts.insert((b.into(), a.into()));
    }

    /// Ends every cut.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    fn deliver(&mut self, item: Item) {
        match item {
            Item::Event(to, event) => self.event(&to, event),
            Item::Report { from, report, progress } => self.answer(from, report, &progress),
        }
    }

    /// Answers a report as a control VM does, unless the sender no longer runs.
    fn answer(&mut self, (vm, incarnation): (Name, u64), report: u64, progress: &Progress) {
        self.acks.record_report(self.now, progress);
        self.calls.0 += 1;
        self.calls.1 += json_len(progress);
        let runs = |node: &EntryNode| node.me().incarnation == incarnation;
        if !self.nodes.get(&vm).is_some_and(runs) || self.is_held(&vm) {
            return;
        }
        let start = (progress.after as usize).min(self.log.len());
        let end = self.log.len().min(start + FETCH_LIMIT);
        let commands = self.log[start..end].to_vec();
        let entries = Entries { lease: LEASE_DURATION, ..Entries::new(start as u64 + 1, commands) };
        self.calls.1 += json_len(&entries);
        let at = self.control_arrival();
        self.put(at, Item::Event(vm, EntryEvent::Reply { report, entries }));
    }

    /// Returns when a message to or from the control VM arrives; a lost one is sent again.
    fn control_arrival(&mut self) -> Time {
        let mut at = self.now + self.delay;
        while self.rng.random_range(0..PER_MILLE) < self.loss {
            at = at + RESEND;
        }
        at
    }

    fn put(&mut self, at: Time, item: Item) {
        self.serial += 1;
        self.queue.insert((at, self.serial), item);
    }

    fn is_held(&self, vm: &str) -> bool {
        let zone = self.nodes.get(vm).map(|node| node.me().zone.clone());
        self.held.contains(vm) || zone.is_some_and(|zone| self.control_cuts.contains(&zone))
    }

    fn tick(&mut self) {
        let names: Vec<_> = self.nodes.keys().cloned().collect();
        for name in names {
            self.event(&name, EntryEvent::Tick);
        }
    }

    fn act(&mut self, vm: &Name, action: EntryAction, received: &[u8]) {
        match action {
            EntryAction::ToPeer { to, message } => {
                let len = message.encode().map_or(0, |bytes| bytes.len());
                self.sent.0 += 1;
                self.sent.1 += len as u64;
                *self.bytes.entry(message.service()).or_default() += len as u64;
                *self.sent_by.entry(vm.clone()).or_default() += len as u64;
                if !matches!(message, PeerMessage::Flow(FlowMessage::Relay { .. })) {
                    *self.control.entry(vm.clone()).or_default() += len as u64;
                }
                let event = EntryEvent::Peer { from: vm.clone(), message };
                self.carry(vm, &to, event);
            }
            EntryAction::ToSeed { to, message } => {
                let mut nodes = self.nodes.values();
                let found = nodes.find(|node| node.me().peers == to).map(|n| n.me().name.clone());
                let Some(to) = found else { return };
                self.act(vm, EntryAction::ToPeer { to, message }, received);
            }
            EntryAction::Report { report, progress } => {
                let zone = self.nodes.get(vm).map(|node| node.me().zone.clone());
                if zone.is_some_and(|zone| self.control_cuts.contains(&zone)) {
                    return;
                }
                let incarnation = self.nodes.get(vm).map_or(0, |node| node.me().incarnation);
                let at = self.control_arrival();
                let from = (vm.clone(), incarnation);
                self.put(at, Item::Report { from, report, progress });
            }
            EntryAction::Forward { to } => {
                let action = EntryAction::Send { to, bytes: received.to_vec() };
                self.left.push(Left { at: self.now, vm: vm.clone(), action });
            }
            action => self.left.push(Left { at: self.now, vm: vm.clone(), action }),
        }
    }

    fn carry(&mut self, from: &Name, to: &Name, event: EntryEvent) {
        if self.held.contains(to) && carries_entries(&event) {
            return;
        }
        let blocked = self.blocked.contains(&(from.clone(), to.clone()));
        if blocked || self.is_cut(from, to) || self.rng.random_range(0..PER_MILLE) < self.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_range(0..PER_MILLE) < self.repeats);
        for _ in 0..copies {
            let jitter = self.rng.random_range(0..=self.delay.as_micros() as u64 / 4);
            let at = self.now + self.delay + Duration::from_micros(jitter);
            self.put(at, Item::Event(to.clone(), event.clone()));
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
