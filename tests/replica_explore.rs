//! Exhaustive exploration of three replicas to a fixed depth: every order of deliveries, crashes,
//! restarts and elections.
//!
//! A step is a message delivery, an election timeout, a proposal, a crash with restart, or a
//! membership change. The writes of a step are synced at its end, or lost if the VM crashes first.
//! A message that is never delivered is lost.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use galenatrail::{
    ControlEndpoint, Entry, Members, Payload, Recovered, Replica, ReplicaAction, ReplicaId,
    ReplicaMessage, Time, Write,
};

const A: ReplicaId = ReplicaId::new(1);
const B: ReplicaId = ReplicaId::new(2);
const C: ReplicaId = ReplicaId::new(3);
/// The replica that replaces `B` after its disk was lost.
const B2: ReplicaId = ReplicaId::new(4);
/// Longer than any election timeout.
const LATER: Duration = Duration::from_secs(6);

/// An injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A disk reports a sync that it has not done.
    SkipSync,
    /// A replica with a lost disk returns under its old id and counts towards the quorum
    /// immediately.
    CountEarly,
}

#[derive(Clone)]
struct Node {
    replica: Replica,
    disk: Recovered,
}

/// Remaining number of steps of each kind.
#[derive(Clone, Copy, Hash)]
struct Budget {
    timeouts: u32,
    crashes: u32,
    proposals: u32,
    changes: u32,
}

#[derive(Clone)]
struct World {
    now: Time,
    nodes: BTreeMap<ReplicaId, Node>,
    net: BTreeSet<(ReplicaId, ReplicaId, Vec<u8>)>,
    /// Digest of each committed entry, and the term in which it was first seen committed.
    committed: BTreeMap<u64, (u64, u64)>,
    leaders: BTreeMap<u64, ReplicaId>,
    budget: Budget,
    fault: Fault,
    violation: Option<String>,
}

#[derive(Debug, Clone)]
enum Step {
    Deliver(ReplicaId, ReplicaId, Vec<u8>, bool),
    Timeout(ReplicaId),
    Propose(ReplicaId),
    Crash(ReplicaId),
    Change(ReplicaId),
}

fn digest(entry: &Entry) -> u64 {
    let mut hasher = DefaultHasher::new();
    postcard::to_stdvec(entry).unwrap().hash(&mut hasher);
    hasher.finish()
}

fn endpoint(name: &str) -> ControlEndpoint {
    ControlEndpoint { name: name.into(), addr: "127.0.0.1:8500".parse().unwrap() }
}

/// Applies a write to the disk as the storage does.
fn persist(disk: &mut Recovered, write: Write) {
    disk.hard_state = write.hard_state.unwrap_or(disk.hard_state);
    assert!(write.snapshot.is_none(), "no snapshot is taken here");
    if write.first > 0 {
        disk.entries.truncate(write.first as usize - 1);
        disk.entries.extend(write.entries);
    }
}

impl World {
    fn new(fault: Fault) -> World {
        let endpoints =
            [(A, endpoint("control-1")), (B, endpoint("control-2")), (C, endpoint("control-3"))];
        let entry = Entry { term: 1, payload: Payload::Members(Members::new(endpoints)) };
        let node = |me: ReplicaId| {
            let mut disk =
                Recovered { id: me, entries: vec![entry.clone()], ..Recovered::default() };
            disk.hard_state.term = 1;
            (me, Node { replica: Replica::new(Time::ZERO, disk.clone()), disk })
        };
        World {
            now: Time::ZERO,
            nodes: [A, B, C].into_iter().map(node).collect(),
            net: BTreeSet::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            budget: Budget { timeouts: 1, crashes: 0, proposals: 0, changes: 0 },
            fault,
            violation: None,
        }
    }

    /// Elects `A` and commits an entry on `A` and `B` that `C` has not received.
    fn with_entry(fault: Fault) -> World {
        let mut world = World::new(fault);
        world.apply(&Step::Timeout(A));
        world.deliver_all(|from, to| from != C && to != C);
        world.budget.proposals = 1;
        world.apply(&Step::Propose(A));
        world.deliver_all(|from, to| from != C && to != C);
        world.net.clear();
        assert_eq!(world.violation, None);
        assert!(world.committed.len() >= 3, "the entry is committed");
        world
    }

    fn deliver_all(&mut self, open: impl Fn(ReplicaId, ReplicaId) -> bool) {
        while let Some((from, to, bytes)) =
            self.net.iter().find(|(from, to, _)| open(*from, *to)).cloned()
        {
            self.apply(&Step::Deliver(from, to, bytes, false));
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (from, to, bytes) in &self.net {
            steps.push(Step::Deliver(*from, *to, bytes.clone(), false));
            if self.budget.crashes > 0 {
                steps.push(Step::Deliver(*from, *to, bytes.clone(), true));
            }
        }
        for (&id, node) in &self.nodes {
            if self.budget.timeouts > 0 {
                steps.push(Step::Timeout(id));
            }
            if self.budget.crashes > 0 {
                steps.push(Step::Crash(id));
            }
            if self.budget.proposals > 0 && node.replica.is_leader() {
                steps.push(Step::Propose(id));
            }
            if self.budget.changes > 0 && node.replica.is_leader() {
                steps.push(Step::Change(id));
            }
        }
        steps
    }

    fn apply(&mut self, step: &Step) {
        let mut out = Vec::new();
        let (id, crash) = match step {
            Step::Deliver(from, to, bytes, crash) => {
                self.net.remove(&(*from, *to, bytes.clone()));
                self.budget.crashes -= u32::from(*crash);
                let message: ReplicaMessage = postcard::from_bytes(bytes).unwrap();
                let Some(node) = self.nodes.get_mut(to) else { return };
                node.replica.handle_message(self.now, *from, message, &mut out);
                (*to, *crash)
            }
            Step::Timeout(id) => {
                self.budget.timeouts -= 1;
                self.now = self.now + LATER;
                let node = self.nodes.get_mut(id).unwrap();
                node.replica.handle_tick(self.now, &mut out);
                (*id, false)
            }
            Step::Propose(id) => {
                self.budget.proposals -= 1;
                let node = self.nodes.get_mut(id).unwrap();
                node.replica.propose(self.now, Payload::Noop, &mut out);
                (*id, false)
            }
            Step::Crash(id) => {
                self.budget.crashes -= 1;
                (*id, true)
            }
            Step::Change(id) => {
                self.budget.changes -= 1;
                let node = self.nodes.get_mut(id).unwrap();
                node.replica.propose_membership(self.now, &BTreeSet::new(), &mut out);
                (*id, false)
            }
        };
        self.execute(id, out, crash);
        self.check(id);
    }

    /// Executes the actions of a replica. With `crash`, the replica restarts before its first write
    /// is synced.
    fn execute(&mut self, id: ReplicaId, mut out: Vec<ReplicaAction>, crash: bool) {
        let node = self.nodes.get_mut(&id).unwrap();
        while !out.is_empty() {
            match out.remove(0) {
                ReplicaAction::Send { to, message } => {
                    self.net.insert((id, to, postcard::to_stdvec(&message).unwrap()));
                }
                ReplicaAction::Write(_) if crash => {}
                ReplicaAction::Write(write) => {
                    let number = write.id;
                    if self.fault != Fault::SkipSync {
                        persist(&mut node.disk, write);
                    }
                    node.replica.handle_synced(self.now, number, &mut out);
                }
            }
        }
        if crash {
            node.replica = Replica::new(self.now, node.disk.clone());
        }
    }

    /// Checks that there is one leader per term, that a new leader has every entry committed in
    /// earlier terms, and that committed entries never change.
    fn check(&mut self, id: ReplicaId) {
        let replica = &self.nodes[&id].replica;
        let term = replica.term();
        let mut violations = Vec::new();
        if replica.is_leader() {
            if *self.leaders.entry(term).or_insert(id) != id {
                violations.push(format!("two leaders in term {term}"));
            }
            for (&index, &(digested, seen)) in &self.committed {
                let own = replica.entry(index).map(digest);
                if seen < term && own != Some(digested) {
                    violations.push(format!("{id} leads in term {term} without entry {index}"));
                }
            }
        }
        for index in 1..=replica.commit_index() {
            let own = digest(replica.entry(index).expect("committed entries are held"));
            if self.committed.entry(index).or_insert((own, term)).0 != own {
                violations.push(format!("committed entry {index} was changed"));
            }
        }
        self.violation = self.violation.take().or(violations.into_iter().next());
    }

    fn hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for node in self.nodes.values() {
            postcard::to_stdvec(&(&node.replica, &node.disk)).unwrap().hash(&mut hasher);
        }
        (&self.net, &self.committed, &self.leaders, self.now, self.budget).hash(&mut hasher);
        hasher.finish()
    }
}

/// Explores breadth first. Returns the number of states, or the first violated invariant with the
/// steps that lead to it.
fn explore(start: World, depth: usize) -> Result<usize, (String, Vec<Step>)> {
    let mut seen = HashSet::from([start.hash()]);
    let mut level = vec![(start, Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in level {
            for step in world.steps() {
                let mut world = world.clone();
                world.apply(&step);
                if !seen.insert(world.hash()) {
                    continue;
                }
                let mut path = path.clone();
                path.push(step);
                if let Some(violation) = world.violation {
                    return Err((violation, path));
                }
                next.push((world, path));
            }
        }
        level = next;
    }
    Ok(seen.len())
}

const BUDGET: Budget = Budget { timeouts: 2, crashes: 1, proposals: 1, changes: 0 };

/// A log with an entry that `C` lacks, then elections, a crash and a proposal in every order.
fn log_world(fault: Fault) -> World {
    let mut world = World::with_entry(fault);
    world.budget = BUDGET;
    world
}

/// The disk of `B` is lost while only `A` and `B` have the last entry. A replacement asks to join.
fn wiped_world(fault: Fault) -> World {
    let mut world = World::with_entry(fault);
    let me = if fault == Fault::CountEarly { B } else { B2 };
    world.nodes.remove(&B);
    let disk = Recovered { id: me, ..Recovered::default() };
    world.nodes.insert(me, Node { replica: Replica::new(world.now, disk.clone()), disk });
    // Long enough for `A` to consider the old `B` lost.
    world.now = world.now + LATER;
    if me == B2 {
        let now = world.now;
        let leader = &mut world.nodes.get_mut(&A).unwrap().replica;
        // The question whether the old `B` runs gets no answer.
        leader.join(now, B2, endpoint("control-2"), &mut Vec::new());
    }
    world.budget = Budget { timeouts: 1, crashes: 1, proposals: 0, changes: 1 };
    world
}

/// Continues [`wiped_world`] after the new replica has joined as a learner and caught up.
fn learner_world() -> World {
    let mut world = wiped_world(Fault::None);
    world.apply(&Step::Change(A));
    world.deliver_all(|_, _| true);
    let replica = &world.nodes[&A].replica;
    assert!(replica.members().learners.contains_key(&B2), "the new replica is taken in");
    assert_eq!(world.nodes[&B2].replica.synced_index(), replica.commit_index(), "it has caught up");
    world.net.clear();
    world.budget = Budget { timeouts: 1, crashes: 1, proposals: 1, changes: 2 };
    world
}

#[test]
fn log() {
    let states = explore(log_world(Fault::None), 6).expect("no invariant is broken");
    println!("{states} states");
    assert!(states > 1_000, "only {states} states were seen");
}

#[test]
fn lost_disk() {
    let states = explore(wiped_world(Fault::None), 7).expect("no invariant is broken");
    println!("{states} states");
    assert!(states > 1_000, "only {states} states were seen");
}

#[test]
fn replaced_voter() {
    let states = explore(learner_world(), 6).expect("no invariant is broken");
    println!("{states} states");
    assert!(states > 1_000, "only {states} states were seen");
}

#[test]
fn skipped_sync() {
    let world = |fault| {
        let mut world = log_world(fault);
        world.budget = Budget { timeouts: 1, crashes: 1, proposals: 0, changes: 0 };
        world
    };
    explore(world(Fault::None), 8).expect("without the fault nothing is broken");
    let (violation, steps) = explore(world(Fault::SkipSync), 8).expect_err("the fault is found");
    println!("{violation} after {steps:?}");
}

#[test]
fn counted_early() {
    let world = |fault| {
        let mut world = wiped_world(fault);
        world.budget = Budget { timeouts: 1, crashes: 0, proposals: 0, changes: 1 };
        world
    };
    explore(world(Fault::None), 8).expect("without the fault nothing is broken");
    let (violation, steps) = explore(world(Fault::CountEarly), 8).expect_err("the fault is found");
    println!("{violation} after {steps:?}");
}
