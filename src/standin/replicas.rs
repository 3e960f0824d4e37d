//! Deterministic in-memory simulation of control VMs.
//!
//! Messages are delayed, lost and duplicated, and disks fail. The invariants of the replicated log
//! are checked after each event.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::MemoryDisk;
use crate::{
    control::{
        ControlAction, ControlEndpoint, ControlEvent, ControlNode, Envelope, Recovered, ReplicaId,
        Storage, Submission, SubmitResult, Write,
    },
    member::hash,
    name::Name,
    spread::{Entries, Progress},
    time::Time,
};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which control VMs send each other gossip, in ticks.
const GOSSIP_TICKS: u64 = 8;
const PER_MILLE: u32 = 1_000;
const CONTROL_PORT: u16 = 8_500;

struct Vm {
    endpoint: ControlEndpoint,
    disk: MemoryDisk,
    storage: Option<Storage<MemoryDisk>>,
    node: Option<ControlNode>,
    pending_writes: VecDeque<Write>,
    /// Incremented when the VM crashes or its storage fails or is reopened, so that completions of
    /// earlier writes are ignored.
    epoch: u64,
    /// Last committed index that was compared with the other VMs.
    checked_index: u64,
    /// Whether it may only join a log.
    join_only: bool,
}

enum QueuedEvent {
    Deliver(SocketAddr, Box<Envelope>),
    WriteComplete(Name, u64),
}

/// A simulated cluster of control VMs, with its network and disks.
pub struct Replicas {
    /// Minimum one-way delay between VMs; jitter adds up to the same again.
    pub delay: Duration,
    /// Maximum duration of a disk write; the actual one is random.
    pub write_latency: Duration,
    /// Probability, per mille, that a message is lost.
    pub loss_permille: u32,
    /// Probability, per mille, that a message is delivered twice.
    pub duplicate_permille: u32,
    /// VMs that are partitioned from all others.
    pub isolated: BTreeSet<Name>,
    /// VMs that are partitioned from all others, but not from each other.
    pub cut_off: BTreeSet<Name>,
    /// Number of messages sent, including lost ones, and their total encoded size in bytes.
    pub sent: (u64, u64),
    /// Results of submissions, by ticket.
    pub submit_results: BTreeMap<u64, SubmitResult>,
    /// Whether each read was confirmed, by ticket.
    pub read_results: BTreeMap<u64, bool>,
    /// Answers to progress reports, by ticket.
    pub report_answers: BTreeMap<u64, Entries>,
    /// Invariant violations found so far.
    pub violations: Vec<String>,
    voters: BTreeMap<Name, SocketAddr>,
    /// Control VMs that a VM contacts first when it starts, if they are not the initial voters.
    seeds: Option<BTreeMap<Name, SocketAddr>>,
    /// Desired number of voters, or 0 if only the configured control VMs become voters.
    voter_count: usize,
    vms: BTreeMap<Name, Vm>,
    queue: BTreeMap<(Time, u64), QueuedEvent>,
    now: Time,
    next_tick: Time,
    ticks: u64,
    serial: u64,
    /// First leader seen in each term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// Digests of committed entries, by log index.
    committed_digests: BTreeMap<u64, u64>,
    rng: ChaCha8Rng,
}

impl Replicas {
    /// Starts a cluster of `voters` voting VMs, named `control-1`, `control-2` and so on.
    pub fn new(seed: u64, voters: u8) -> Replicas {
        let addr = |host| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, host)), CONTROL_PORT);
        let voters = (1..=voters).map(|host| (Name::from(format!("control-{host}")), addr(host)));
        let mut replicas = Replicas {
            delay: Duration::from_micros(4_500),
            write_latency: Duration::from_millis(2),
            loss_permille: 0,
            duplicate_permille: 0,
            isolated: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            sent: (0, 0),
            submit_results: BTreeMap::new(),
            read_results: BTreeMap::new(),
            report_answers: BTreeMap::new(),
            violations: Vec::new(),
            voters: voters.collect(),
            seeds: None,
            voter_count: 0,
            vms: BTreeMap::new(),
            queue: BTreeMap::new(),
            now: Time::ZERO,
            next_tick: Time::ZERO + TICK_INTERVAL,
            ticks: 0,
            serial: 0,
            leaders: BTreeMap::new(),
            committed_digests: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let endpoints: Vec<_> = replicas.voters.clone().into_iter().collect();
        for (name, addr) in endpoints {
            replicas.add(ControlEndpoint { name, addr });
        }
        replicas
    }

    /// Sets the number of voters that each VM maintains while it is the leader.
    pub fn set_voter_count(&mut self, count: usize) {
        self.voter_count = count;
        for vm in self.vms.values_mut() {
            vm.node = vm.node.take().map(|node| node.with_voter_count(count));
        }
    }

    /// Sets which control VMs those that start from now on contact first; they form no log.
    pub fn set_seeds<'a>(&mut self, seeds: impl Iterator<Item = &'a Name>) {
        let endpoint = |name: &Name| (name.clone(), self.vms[name].endpoint.addr);
        self.seeds = Some(seeds.map(endpoint).collect());
    }

    /// Lets the running VMs read again which control VMs to contact first.
    pub fn reload_seeds(&mut self) {
        let Some(seeds) = &self.seeds else { return };
        let seeds: BTreeSet<_> = seeds.values().copied().collect();
        for node in self.vms.values_mut().filter_map(|vm| vm.node.as_mut()) {
            node.set_seeds(seeds.clone());
        }
    }

    /// Adds and starts a VM that is not among the initial voters.
    pub fn add_observer(&mut self, name: &str, host: u8) {
        let addr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, host)), CONTROL_PORT);
        self.add(ControlEndpoint { name: name.into(), addr });
    }

    fn add(&mut self, endpoint: ControlEndpoint) {
        let name = endpoint.name.clone();
        let vm = Vm {
            endpoint,
            disk: MemoryDisk::new(),
            storage: None,
            node: None,
            pending_writes: VecDeque::new(),
            epoch: 0,
            checked_index: 0,
            join_only: false,
        };
        self.vms.insert(name.clone(), vm);
        self.start(&name);
    }

    /// Returns the current simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns the names of all VMs, in order.
    pub fn vm_names(&self) -> Vec<Name> {
        self.vms.keys().cloned().collect()
    }

    /// Returns the node of a VM, or `None` while it is down.
    pub fn node(&self, vm: &str) -> Option<&ControlNode> {
        self.vms.get(vm).and_then(|vm| vm.node.as_ref())
    }

    /// Returns the disk of a VM.
    ///
    /// # Panics
    ///
    /// Panics when there is no such VM.
    pub fn disk(&self, vm: &str) -> &MemoryDisk {
        &self.vms[vm].disk
    }

    /// Returns a VM that may serve reads as the leader, if there is one.
    pub fn leader(&self) -> Option<Name> {
        let is_leader = |vm: &&Vm| vm.node.as_ref().is_some_and(|node| node.read(self.now).is_ok());
        let mut leaders = self.vms.values().filter(is_leader);
        leaders.next().map(|vm| vm.endpoint.name.clone())
    }

    /// Returns whether there is a leader with as many voters as the cluster started with, each of
    /// them running under its current replica ID and synced up to the leader's commit index.
    pub fn all_voters_synced(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let Some(node) = self.node(&leader) else { return false };
        let voters = &node.replica().members().voters;
        let is_synced = |id: &ReplicaId, endpoint: &ControlEndpoint| {
            let vm = self.vms.get(&endpoint.name).and_then(|vm| vm.node.as_ref());
            vm.is_some_and(|other| {
                other.replica().id() == *id
                    && other.replica().synced_index() >= node.replica().commit_index()
            })
        };
        voters.len() == self.voters.len()
            && voters.iter().all(|(id, endpoint)| is_synced(id, endpoint))
    }

    /// Starts a VM from the contents of its disk.
    ///
    /// Does nothing if the VM is already running. If recovery fails the VM stays down; a storage
    /// error is also recorded as a violation.
    pub fn start(&mut self, vm: &str) {
        let fresh = ReplicaId::new(self.rng.random());
        let voters = self.seeds.as_ref().unwrap_or(&self.voters).clone();
        let join_only = self.seeds.is_some();
        let (now, voter_count) = (self.now, self.voter_count);
        let Some(vm) = self.vms.get_mut(vm).filter(|vm| vm.node.is_none()) else { return };
        match Storage::open(vm.disk.clone()).recover(fresh) {
            Ok((storage, recovered)) => {
                vm.storage = Some(storage);
                vm.checked_index = recovered.snapshot.last_entry.index;
                let node = ControlNode::new(now, vm.endpoint.clone(), recovered, voters);
                let node = node.ok().map(|node| node.with_voter_count(voter_count));
                vm.node = if join_only || vm.join_only {
                    node.map(ControlNode::with_join_only)
                } else {
                    node
                };
            }
            Err(err) if err.is_storage() => {
                self.violations
                    .push(format!("{} failed to recover its storage: {err}", vm.endpoint.name));
            }
            // An I/O error, such as a full disk, is no invariant violation; the VM stays down.
            Err(_) => {}
        }
    }

    /// Crashes a VM; up to `torn_bytes` bytes of unsynced data remain in each file on its disk.
    pub fn crash(&mut self, vm: &str, torn_bytes: usize) {
        let Some(vm) = self.vms.get_mut(vm) else { return };
        if torn_bytes > 0
            && let Some((storage, write)) = vm.storage.as_mut().zip(vm.pending_writes.front())
        {
            // Leaves the oldest pending write unsynced, so that the crash can tear it.
            vm.disk.set_sync_failure(true);
            _ = storage.write(write);
            vm.disk.set_sync_failure(false);
        }
        vm.disk.crash(torn_bytes);
        vm.node = None;
        vm.storage = None;
        vm.pending_writes.clear();
        vm.epoch += 1;
    }

    /// Crashes a VM and erases its disk.
    pub fn wipe(&mut self, vm: &str) {
        self.crash(vm, 0);
        self.vms[vm].disk.wipe();
    }

    /// Like [`Replicas::wipe`] for a VM that is told of its loss, so that it forms no log any more.
    pub fn lose_disk(&mut self, vm: &str) {
        self.wipe(vm);
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.join_only = true;
        }
    }

    /// Submits a command to a VM; the result is stored in [`Replicas::submit_results`] under the
    /// returned ticket.
    pub fn submit(&mut self, vm: &str, submission: Submission) -> u64 {
        self.serial += 1;
        let ticket = self.serial;
        self.handle_event(vm, ControlEvent::Submit { ticket, submission });
        ticket
    }

    /// Notifies a VM that its process is shutting down; a leader steps down.
    pub fn notify_stop(&mut self, vm: &str) {
        self.handle_event(vm, ControlEvent::Stop);
    }

    /// Starts a read at a VM; whether it was confirmed is stored in [`Replicas::read_results`] under
    /// the returned ticket.
    pub fn start_read(&mut self, vm: &str) -> u64 {
        self.serial += 1;
        let ticket = self.serial;
        self.handle_event(vm, ControlEvent::Read { ticket });
        ticket
    }

    /// Sends a progress report to a VM; the answer is stored in [`Replicas::report_answers`] under
    /// the returned ticket.
    pub fn report_progress(&mut self, vm: &str, progress: Progress) -> u64 {
        self.serial += 1;
        let ticket = self.serial;
        self.handle_event(vm, ControlEvent::Progress { ticket, progress });
        ticket
    }

    /// Runs the simulation for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let due = self.queue.first_key_value().map(|(&(at, _), _)| at);
            let next = due.map_or(self.next_tick, |at| at.min(self.next_tick));
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            if due != Some(next) {
                self.next_tick = self.next_tick + TICK_INTERVAL;
                self.ticks += 1;
                if self.ticks.is_multiple_of(GOSSIP_TICKS) {
                    self.gossip();
                }
                for vm in self.vm_names() {
                    self.reopen_storage(&vm);
                    self.handle_event(&vm, ControlEvent::Tick);
                }
                continue;
            }
            match self.queue.pop_first() {
                Some((_, QueuedEvent::Deliver(to, envelope))) => self.deliver(to, *envelope),
                Some((_, QueuedEvent::WriteComplete(vm, epoch))) => self.complete_write(&vm, epoch),
                None => {}
            }
        }
    }

    /// Runs until `done` holds or `limit` has passed; returns whether `done` held.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Replicas) -> bool) -> bool {
        let end = self.now + limit;
        while !done(self) {
            if self.now >= end {
                return false;
            }
            self.run(TICK_INTERVAL);
        }
        true
    }

    fn handle_event(&mut self, vm: &str, event: ControlEvent) {
        let now = self.now;
        let Some(node) = self.vms.get_mut(vm).and_then(|vm| vm.node.as_mut()) else { return };
        let mut out = Vec::new();
        node.handle(now, event, &mut out);
        for action in out {
            self.execute_action(vm, action);
        }
        self.check_invariants(vm);
    }

    fn execute_action(&mut self, vm: &str, action: ControlAction) {
        match action {
            ControlAction::Write(write) => {
                let micros = self.rng.random_range(0..=self.write_latency.as_micros() as u64);
                let at = self.now + Duration::from_micros(micros);
                let Some(vm) = self.vms.get_mut(vm) else { return };
                vm.pending_writes.push_back(write);
                self.serial += 1;
                self.queue.insert(
                    (at, self.serial),
                    QueuedEvent::WriteComplete(vm.endpoint.name.clone(), vm.epoch),
                );
            }
            ControlAction::Send { to, envelope } => self.send_message(vm, to, envelope),
            ControlAction::SubmitResult { ticket, result } => {
                _ = self.submit_results.insert(ticket, result)
            }
            ControlAction::ReadResult { ticket, fresh } => {
                _ = self.read_results.insert(ticket, fresh)
            }
            ControlAction::Entries { ticket, entries } => {
                _ = self.report_answers.insert(ticket, entries)
            }
        }
    }

    fn send_message(&mut self, from: &str, to: SocketAddr, envelope: Envelope) {
        self.sent.0 += 1;
        self.sent.1 += envelope.encode().map_or(0, |text| text.len() as u64);
        let receiver = self.vms.values().find(|vm| vm.endpoint.addr == to);
        let crosses_cut = receiver.is_some_and(|receiver| {
            self.cut_off.contains(from) != self.cut_off.contains(&receiver.endpoint.name)
        });
        if crosses_cut
            || self.isolated.contains(from)
            || self.rng.random_range(0..PER_MILLE) < self.loss_permille
        {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_range(0..PER_MILLE) < self.duplicate_permille);
        for _ in 0..copies {
            // Jitter of up to one delay, so that messages can be reordered.
            let jitter = self.rng.random_range(0..=self.delay.as_micros() as u64);
            let at = self.now + self.delay + Duration::from_micros(jitter);
            self.serial += 1;
            let event = QueuedEvent::Deliver(to, Box::new(envelope.clone()));
            self.queue.insert((at, self.serial), event);
        }
    }

    fn deliver(&mut self, to: SocketAddr, envelope: Envelope) {
        let vm = self.vms.values().find(|vm| vm.endpoint.addr == to);
        let Some(name) = vm.map(|vm| vm.endpoint.name.clone()) else { return };
        if !self.isolated.contains(&name) {
            // Encode and decode, as between processes.
            let decoded = envelope.encode().and_then(|text| Envelope::decode(&text));
            if let Ok(envelope) = decoded {
                self.handle_event(&name, ControlEvent::Message(envelope));
            }
        }
    }

    /// Lets each running VM know of those that it can reach, as the registrars' gossip does.
    fn gossip(&mut self) {
        let running: Vec<_> = self.vms.values().filter(|vm| vm.node.is_some()).collect();
        let endpoints: Vec<_> = running.iter().map(|vm| vm.endpoint.clone()).collect();
        let reachable: Vec<_> =
            endpoints.into_iter().filter(|vm| !self.isolated.contains(&vm.name)).collect();
        for from in &reachable {
            for to in reachable.iter().filter(|to| to.name != from.name) {
                if self.cut_off.contains(&from.name) == self.cut_off.contains(&to.name)
                    && let Some(node) = self.vms.get_mut(&to.name).and_then(|vm| vm.node.as_mut())
                {
                    node.record_heard(self.now, from.addr);
                }
            }
        }
    }

    fn complete_write(&mut self, vm: &str, epoch: u64) {
        let Some(vm) = self.vms.get_mut(vm).filter(|vm| vm.epoch == epoch) else { return };
        let Some((storage, write)) = vm.storage.as_mut().zip(vm.pending_writes.pop_front()) else {
            return;
        };
        let event = match storage.write(&write) {
            Ok(()) => ControlEvent::Synced(write.id),
            Err(_) => {
                vm.storage = None;
                vm.pending_writes.clear();
                vm.epoch += 1;
                ControlEvent::SyncFailed
            }
        };
        let name = vm.endpoint.name.clone();
        self.handle_event(&name, event);
    }

    /// Reopens the storage of a running VM after a failed write.
    fn reopen_storage(&mut self, name: &str) {
        let Some(vm) = self.vms.get_mut(name) else { return };
        if vm.node.is_none() || vm.storage.is_some() {
            return;
        }
        let opened = Storage::open(vm.disk.clone()).recover(ReplicaId::default());
        if let Ok((storage, recovered)) = opened {
            vm.storage = Some(storage);
            vm.pending_writes.clear();
            vm.epoch += 1;
            self.handle_event(name, ControlEvent::Recovered(recovered));
        }
    }

    /// Checks that each term has at most one leader, that committed entries never change and that a
    /// VM that may serve reads is not behind the newest commit.
    fn check_invariants(&mut self, name: &str) {
        let Some(vm) = self.vms.get_mut(name) else { return };
        let Some(node) = &vm.node else { return };
        let replica = node.replica();
        if replica.is_leader() {
            let (term, me) = (replica.term(), replica.id());
            if *self.leaders.entry(term).or_insert(me) != me {
                self.violations.push(format!("two leaders in term {term}"));
            }
        }
        for index in vm.checked_index + 1..=replica.commit_index() {
            let Some(entry) = replica.entry(index) else { continue };
            let digest = hash(&postcard::to_stdvec(entry).unwrap_or_default());
            if *self.committed_digests.entry(index).or_insert(digest) != digest {
                self.violations.push(format!("committed entry {index} differs on {name}"));
            }
        }
        vm.checked_index = vm.checked_index.max(replica.commit_index());
        let newest = self.committed_digests.last_key_value().map_or(0, |(&index, _)| index);
        if node.read(self.now).is_ok() && replica.commit_index() < newest {
            self.violations.push(format!(
                "stale read on {name}: its commit index is {}, the newest is {newest}",
                replica.commit_index()
            ));
        }
    }

    /// Returns the highest log index that any VM has seen committed.
    pub fn committed_index(&self) -> u64 {
        self.committed_digests.last_key_value().map_or(0, |(&index, _)| index)
    }

    /// Recovers a VM's state from a copy of its disk.
    ///
    /// # Panics
    ///
    /// Panics when there is no such VM, or when recovery from its disk fails.
    pub fn recover(&self, vm: &str) -> Recovered {
        let disk = self.vms[vm].disk.copy();
        let (_, recovered) =
            Storage::open(disk).recover(ReplicaId::default()).expect("storage must be recoverable");
        recovered
    }
}
