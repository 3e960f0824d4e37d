//! Control nodes in memory: messages with delay, loss and duplication, disks that crash, and the
//! invariants of a replicated log, checked after each step.

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

const TICK: Duration = Duration::from_millis(50);
const PER_MILLE: u32 = 1_000;
const PORT: u16 = 8_500;

/// A control VM.
struct Vm {
    seat: ControlEndpoint,
    disk: MemoryDisk,
    storage: Option<Storage<MemoryDisk>>,
    node: Option<ControlNode>,
    writes: VecDeque<Write>,
    /// Grows with each end of a replica, so that what was on its way is not taken for the next.
    epoch: u64,
    /// Last committed index that was compared.
    checked: u64,
}

enum Due {
    Deliver(SocketAddr, Box<Envelope>),
    Sync(Name, u64),
}

/// Control VMs, the messages between them and their disks.
pub struct Replicas {
    /// One-way delay between VMs.
    pub delay: Duration,
    /// Longest time that a write takes.
    pub write: Duration,
    /// Lost messages in a thousand.
    pub loss: u32,
    /// Duplicated messages in a thousand.
    pub repeats: u32,
    /// VMs that are cut off from all others.
    pub cuts: BTreeSet<Name>,
    /// Messages that were sent, and their bytes as text.
    pub sent: (u64, u64),
    /// What became of submissions, by ticket.
    pub fates: BTreeMap<u64, SubmitResult>,
    /// Whether reads were confirmed, by ticket.
    pub reads: BTreeMap<u64, bool>,
    /// Answers to reports, by ticket.
    pub entries: BTreeMap<u64, Entries>,
    /// Broken invariants.
    pub violations: Vec<String>,
    voters: BTreeMap<Name, SocketAddr>,
    /// Voters that are wanted, whoever they are, or 0.
    places: usize,
    vms: BTreeMap<Name, Vm>,
    queue: BTreeMap<(Time, u64), Due>,
    now: Time,
    tick: Time,
    serial: u64,
    leaders: BTreeMap<u64, ReplicaId>,
    committed: BTreeMap<u64, u64>,
    rng: ChaCha8Rng,
}

impl Replicas {
    /// Returns `voters` running VMs that vote, named `control-1` and so on.
    pub fn new(seed: u64, voters: u8) -> Replicas {
        let addr = |host| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, host)), PORT);
        let voters = (1..=voters).map(|host| (Name::from(format!("control-{host}")), addr(host)));
        let mut replicas = Replicas {
            delay: Duration::from_micros(4_500),
            write: Duration::from_millis(2),
            loss: 0,
            repeats: 0,
            cuts: BTreeSet::new(),
            sent: (0, 0),
            fates: BTreeMap::new(),
            reads: BTreeMap::new(),
            entries: BTreeMap::new(),
            violations: Vec::new(),
            voters: voters.collect(),
            places: 0,
            vms: BTreeMap::new(),
            queue: BTreeMap::new(),
            now: Time::ZERO,
            tick: Time::ZERO + TICK,
            serial: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let seats: Vec<_> = replicas.voters.clone().into_iter().collect();
        for (name, addr) in seats {
            replicas.add(ControlEndpoint { name, addr });
        }
        replicas
    }

    /// Lets every VM, as the leader, fill `count` places of voters with whom it finds.
    pub fn set_places(&mut self, count: usize) {
        self.places = count;
        for vm in self.vms.values_mut() {
            vm.node = vm.node.take().map(|node| node.with_voter_count(count));
        }
    }

    /// Starts a VM that observes.
    pub fn add_observer(&mut self, name: &str, host: u8) {
        let addr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, host)), PORT);
        self.add(ControlEndpoint { name: name.into(), addr });
    }

    fn add(&mut self, seat: ControlEndpoint) {
        let name = seat.name.clone();
        let vm = Vm {
            seat,
            disk: MemoryDisk::new(),
            storage: None,
            node: None,
            writes: VecDeque::new(),
            epoch: 0,
            checked: 0,
        };
        self.vms.insert(name.clone(), vm);
        self.start(&name);
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Yields the names of all VMs.
    pub fn names(&self) -> Vec<Name> {
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

    /// Returns the VM that is sure to lead, if there is one.
    pub fn leader(&self) -> Option<Name> {
        let leads = |vm: &&Vm| vm.node.as_ref().is_some_and(|node| node.read(self.now).is_ok());
        let mut leaders = self.vms.values().filter(leads);
        leaders.next().map(|vm| vm.seat.name.clone())
    }

    /// Returns how many voters the leader counts, and whether each of them runs with its present
    /// data folder and is caught up.
    pub fn is_whole(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let Some(node) = self.node(&leader) else { return false };
        let voters = &node.replica().members().voters;
        let running = |id: &ReplicaId, seat: &ControlEndpoint| {
            let vm = self.vms.get(&seat.name).and_then(|vm| vm.node.as_ref());
            vm.is_some_and(|other| {
                other.replica().id() == *id
                    && other.replica().synced_index() >= node.replica().commit_index()
            })
        };
        voters.len() == self.voters.len() && voters.iter().all(|(id, seat)| running(id, seat))
    }

    /// Starts a VM from what its disk holds; nothing happens where it runs or its disk fails.
    pub fn start(&mut self, vm: &str) {
        let fresh = ReplicaId::new(self.rng.random());
        let voters = self.voters.clone();
        let (now, places) = (self.now, self.places);
        let Some(vm) = self.vms.get_mut(vm).filter(|vm| vm.node.is_none()) else { return };
        match Storage::open(vm.disk.clone()).recover(fresh) {
            Ok((storage, recovered)) => {
                vm.storage = Some(storage);
                vm.checked = recovered.snapshot.last_entry.index;
                let node = ControlNode::new(now, vm.seat.clone(), recovered, voters);
                vm.node = node.ok().map(|node| node.with_voter_count(places));
            }
            Err(err) if err.is_storage() => {
                self.violations.push(format!("{} does not start: {err}", vm.seat.name));
            }
            // A full disk; the VM stays down.
            Err(_) => {}
        }
    }

    /// Ends a VM without notice; of what it has not synced, `torn` bytes are on its disk.
    pub fn crash(&mut self, vm: &str, torn: usize) {
        let Some(vm) = self.vms.get_mut(vm) else { return };
        if torn > 0
            && let Some((storage, write)) = vm.storage.as_mut().zip(vm.writes.front())
        {
            // The write is cut short before its sync counts.
            vm.disk.set_sync_failure(true);
            _ = storage.write(write);
            vm.disk.set_sync_failure(false);
        }
        vm.disk.crash(torn);
        vm.node = None;
        vm.storage = None;
        vm.writes.clear();
        vm.epoch += 1;
    }

    /// Ends a VM and removes its data folder.
    pub fn wipe(&mut self, vm: &str) {
        self.crash(vm, 0);
        self.vms[vm].disk.wipe();
    }

    /// Submits a command to a VM; its fate is in [`Replicas::fates`] under the returned ticket.
    pub fn submit(&mut self, vm: &str, submission: Submission) -> u64 {
        self.serial += 1;
        let ticket = self.serial;
        self.event(vm, ControlEvent::Submit { ticket, submission });
        ticket
    }

    /// Lets a VM know that it is about to stop.
    pub fn stop(&mut self, vm: &str) {
        self.event(vm, ControlEvent::Stop);
    }

    /// Starts a read at a VM; whether it was confirmed is in [`Replicas::reads`] under the
    /// returned ticket.
    pub fn read(&mut self, vm: &str) -> u64 {
        self.serial += 1;
        let ticket = self.serial;
        self.event(vm, ControlEvent::Read { ticket });
        ticket
    }

    /// Hands a report to a VM; its answer is in [`Replicas::entries`] under the returned ticket.
    pub fn report(&mut self, vm: &str, progress: Progress) -> u64 {
        self.serial += 1;
        let ticket = self.serial;
        self.event(vm, ControlEvent::Progress { ticket, progress });
        ticket
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let due = self.queue.first_key_value().map(|(&(at, _), _)| at);
            let next = due.map_or(self.tick, |at| at.min(self.tick));
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            if due != Some(next) {
                self.tick = self.tick + TICK;
                for vm in self.names() {
                    self.reopen(&vm);
                    self.event(&vm, ControlEvent::Tick);
                }
                continue;
            }
            match self.queue.pop_first() {
                Some((_, Due::Deliver(to, envelope))) => self.deliver(to, *envelope),
                Some((_, Due::Sync(vm, epoch))) => self.sync(&vm, epoch),
                None => {}
            }
        }
    }

    /// Runs until `done`, at most for `limit`; returns whether it was.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Replicas) -> bool) -> bool {
        let end = self.now + limit;
        while !done(self) {
            if self.now >= end {
                return false;
            }
            self.run(TICK);
        }
        true
    }

    fn event(&mut self, vm: &str, event: ControlEvent) {
        let now = self.now;
        let Some(node) = self.vms.get_mut(vm).and_then(|vm| vm.node.as_mut()) else { return };
        let mut out = Vec::new();
        node.handle(now, event, &mut out);
        for action in out {
            self.act(vm, action);
        }
        self.check(vm);
    }

    fn act(&mut self, vm: &str, action: ControlAction) {
        match action {
            ControlAction::Write(write) => {
                let micros = self.rng.random_range(0..=self.write.as_micros() as u64);
                let at = self.now + Duration::from_micros(micros);
                let Some(vm) = self.vms.get_mut(vm) else { return };
                vm.writes.push_back(write);
                self.serial += 1;
                self.queue.insert((at, self.serial), Due::Sync(vm.seat.name.clone(), vm.epoch));
            }
            ControlAction::Send { to, envelope } => self.carry(vm, to, envelope),
            ControlAction::SubmitResult { ticket, result: fate } => {
                _ = self.fates.insert(ticket, fate)
            }
            ControlAction::ReadResult { ticket, fresh } => _ = self.reads.insert(ticket, fresh),
            ControlAction::Entries { ticket, entries } => _ = self.entries.insert(ticket, entries),
        }
    }

    fn carry(&mut self, from: &str, to: SocketAddr, envelope: Envelope) {
        self.sent.0 += 1;
        self.sent.1 += envelope.encode().map_or(0, |text| text.len() as u64);
        if self.cuts.contains(from) || self.rng.random_range(0..PER_MILLE) < self.loss {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_range(0..PER_MILLE) < self.repeats);
        for _ in 0..copies {
            // Twice the delay at most, so that messages overtake each other.
            let jitter = self.rng.random_range(0..=self.delay.as_micros() as u64);
            let at = self.now + self.delay + Duration::from_micros(jitter);
            self.serial += 1;
            let due = Due::Deliver(to, Box::new(envelope.clone()));
            self.queue.insert((at, self.serial), due);
        }
    }

    fn deliver(&mut self, to: SocketAddr, envelope: Envelope) {
        let vm = self.vms.values().find(|vm| vm.seat.addr == to);
        let Some(name) = vm.map(|vm| vm.seat.name.clone()) else { return };
        if !self.cuts.contains(&name) {
            // Over the wire and back, as between processes.
            let sent = envelope.encode().and_then(|text| Envelope::decode(&text));
            if let Ok(envelope) = sent {
                self.event(&name, ControlEvent::Message(envelope));
            }
        }
    }

    fn sync(&mut self, vm: &str, epoch: u64) {
        let Some(vm) = self.vms.get_mut(vm).filter(|vm| vm.epoch == epoch) else { return };
        let Some((storage, write)) = vm.storage.as_mut().zip(vm.writes.pop_front()) else { return };
        let event = match storage.write(&write) {
            Ok(()) => ControlEvent::Synced(write.id),
            Err(_) => {
                vm.storage = None;
                vm.writes.clear();
                vm.epoch += 1;
                ControlEvent::SyncFailed
            }
        };
        let name = vm.seat.name.clone();
        self.event(&name, event);
    }

    /// Opens the data folder of a running VM again after a failed write.
    fn reopen(&mut self, name: &str) {
        let Some(vm) = self.vms.get_mut(name) else { return };
        if vm.node.is_none() || vm.storage.is_some() {
            return;
        }
        let opened = Storage::open(vm.disk.clone()).recover(ReplicaId::default());
        if let Ok((storage, recovered)) = opened {
            vm.storage = Some(storage);
            vm.writes.clear();
            vm.epoch += 1;
            self.event(name, ControlEvent::Recovered(recovered));
        }
    }

    /// One leader a term, no committed entry changed, and no read that is out of date.
    fn check(&mut self, name: &str) {
        let Some(vm) = self.vms.get_mut(name) else { return };
        let Some(node) = &vm.node else { return };
        let replica = node.replica();
        if replica.is_leader() {
            let (term, me) = (replica.term(), replica.id());
            if *self.leaders.entry(term).or_insert(me) != me {
                self.violations.push(format!("two leaders in term {term}"));
            }
        }
        for index in vm.checked + 1..=replica.commit_index() {
            let Some(entry) = replica.entry(index) else { continue };
            let digest = hash(&postcard::to_stdvec(entry).unwrap_or_default());
            if *self.committed.entry(index).or_insert(digest) != digest {
                self.violations.push(format!("committed entry {index} was changed on {name}"));
            }
        }
        vm.checked = vm.checked.max(replica.commit_index());
        let newest = self.committed.last_key_value().map_or(0, |(&index, _)| index);
        if node.read(self.now).is_ok() && replica.commit_index() < newest {
            self.violations
                .push(format!("{name} reads at {} after {newest}", replica.commit_index()));
        }
    }

    /// Returns the last index that any VM knew to be committed.
    pub fn committed(&self) -> u64 {
        self.committed.last_key_value().map_or(0, |(&index, _)| index)
    }

    /// Returns what a VM's disk holds.
    ///
    /// # Panics
    ///
    /// Panics when there is no such VM, or when its disk is damaged.
    pub fn recover(&self, vm: &str) -> Recovered {
        let disk = self.vms[vm].disk.copy();
        let (_, recovered) =
            Storage::open(disk).recover(ReplicaId::default()).expect("a whole disk");
        recovered
    }
}
