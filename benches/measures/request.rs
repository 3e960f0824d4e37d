//! Requests through failures and overload.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use coap_lite::RequestType;
use galenatrail::{
    Counter, Name, PeerMessage, RecordState, RequestId, RequestMessage, Time,
    standin::{Reply, Workload},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::table::Table;

const VMS: u8 = 8;
const SERVERS: u8 = 14;
const SLOTS: u32 = 2;
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Requests in a second that the backend servers bear together.
const CAPACITY: u64 = SERVERS as u64 * SLOTS as u64 * 1_000 / SERVICE_TIME.as_millis() as u64;
const WARM_UP: Duration = Duration::from_secs(25);
const WINDOW: Duration = Duration::from_secs(20);
/// Runs with failures, each with its own seed.
const SEEDS: u64 = 12;
/// Requests of one run with failures.
const REQUESTS: u32 = 400;
const STEP: Duration = Duration::from_millis(1);

/// Measures doubled runs, refusals and answers through failures, goodput under overload, and the
/// bytes of record copies.
pub(crate) fn measure(table: &mut Table) {
    failures(table);
    copy_bytes(table);
    overload(table, 2, false);
    overload(table, 10, false);
    overload(table, 10, true);
}

/// Load of callers that spread their requests over the entry VMs.
struct Load {
    workload: Workload,
    next: u32,
    due: u64,
}

impl Load {
    fn new(seed: u64) -> Load {
        let mut workload = Workload::new(seed, VMS, SERVERS, SLOTS);
        workload.service_time = SERVICE_TIME;
        Load { workload, next: 1, due: 0 }
    }

    /// Sends `rate` requests a second for `span`, half of them not idempotent.
    fn run(&mut self, rate: u64, span: Duration) {
        let end = self.workload.mesh.now() + span;
        while self.workload.mesh.now() < end {
            self.due += rate * STEP.as_millis() as u64;
            while self.due >= 1_000 {
                self.due -= 1_000;
                self.ask();
            }
            self.workload.run(STEP);
        }
    }

    fn ask(&mut self) {
        let vms: Vec<_> = self.workload.mesh.nodes.keys().cloned().collect();
        let vm = &vms[self.next as usize % vms.len()];
        let method = if self.next.is_multiple_of(2) { RequestType::Post } else { RequestType::Get };
        self.workload.ask(vm, self.next, method);
        self.next += 1;
    }

    fn count(&self, counter: Counter) -> u64 {
        self.workload.mesh.nodes.values().map(|node| node.counters().get(counter)).sum()
    }
}

fn overload(table: &mut Table, factor: u64, loss: bool) {
    let mut load = Load::new(factor);
    load.run(CAPACITY * 9 / 10, WARM_UP);
    let before = load.workload.answered();
    load.run(CAPACITY * factor, WINDOW / 2);
    if loss {
        load.workload.mesh.kill("entry-3");
        load.workload.mesh.share_view();
    }
    load.run(CAPACITY * factor, WINDOW / 2);
    let answered = load.workload.answered() - before;
    let goodput = answered as f64 / (CAPACITY * WINDOW.as_secs()) as f64;
    let name =
        if loss { "request.goodput_10x_vm_loss" } else { &format!("request.goodput_{factor}x") };
    table.check(name, goodput);
    let refused = load.count(Counter::RequestsRefused) as f64 / f64::from(load.next);
    table.note(&format!("{name}.refused_share"), refused);
    let unknown = load.count(Counter::RequestsUnknown) as f64 / f64::from(load.next);
    table.note(&format!("{name}.unknown_share"), unknown);
}

/// Random kills, restarts and views that lag, with resends at other VMs.
struct Failures {
    load: Workload,
    rng: ChaCha8Rng,
    starts: BTreeMap<Name, u64>,
    /// Requests with the times at which they are sent again.
    again: BTreeMap<(Time, u32), ()>,
    /// Copies of each request that reached a running VM.
    copies: BTreeMap<u32, u64>,
    /// Processes that owned a request when a copy of it arrived.
    owners: BTreeMap<u32, BTreeSet<(Name, u64)>>,
    asked: u32,
}

impl Failures {
    fn new(seed: u64) -> Failures {
        let load = Workload::new(seed, VMS, SERVERS, SLOTS);
        let starts = load.mesh.nodes.keys().map(|name| (name.clone(), 1)).collect();
        Failures {
            load,
            rng: ChaCha8Rng::seed_from_u64(seed),
            starts,
            again: BTreeMap::new(),
            copies: BTreeMap::new(),
            owners: BTreeMap::new(),
            asked: 0,
        }
    }

    fn run(&mut self) {
        self.load.mesh.loss = 20;
        self.load.mesh.repeats = 20;
        for _ in 0..REQUESTS {
            self.fail();
            self.ask();
            let pause = Duration::from_millis(self.rng.random_range(1..60));
            self.load.run(pause);
            self.resend();
        }
        self.load.run(Duration::from_secs(10));
    }

    fn fail(&mut self) {
        let names: Vec<_> = self.starts.keys().cloned().collect();
        let vm = &names[self.rng.random_range(0..names.len())];
        match self.rng.random_range(0..60) {
            0 => self.load.mesh.kill(vm),
            1..=2 => {
                let start = self.starts.get_mut(vm).expect("a known vm");
                *start += 1;
                let host = vm.trim_start_matches("entry-").parse().expect("a number");
                self.load.mesh.kill(vm);
                self.load.start(host, *start);
            }
            3..=6 => self.load.mesh.share_view(),
            _ => {}
        }
    }

    fn ask(&mut self) {
        self.asked += 1;
        let number = self.asked;
        let vm = self.vm();
        self.note(&vm, number);
        self.load.ask(&vm, number, RequestType::Post);
        for _ in 0..self.rng.random_range(0..3) {
            let wait = Duration::from_millis(self.rng.random_range(1..6_000));
            self.again.insert((self.load.mesh.now() + wait, number), ());
        }
    }

    fn resend(&mut self) {
        while let Some(entry) = self.again.first_entry() {
            let (at, number) = *entry.key();
            if at > self.load.mesh.now() {
                return;
            }
            entry.remove();
            let vm = self.vm();
            self.note(&vm, number);
            self.load.resend(&vm, number);
        }
    }

    fn vm(&mut self) -> Name {
        let names: Vec<_> = self.load.mesh.nodes.keys().cloned().collect();
        names[self.rng.random_range(0..names.len())].clone()
    }

    fn note(&mut self, vm: &str, number: u32) {
        *self.copies.entry(number).or_default() += 1;
        if let Some((owner, _)) = self.load.owners(vm, number)
            && self.load.mesh.nodes.contains_key(&owner)
        {
            let start = self.starts[&owner];
            self.owners.entry(number).or_default().insert((owner, start));
        }
    }
}

fn failures(table: &mut Table) {
    let mut totals = [0; 6];
    for seed in 0..SEEDS {
        let mut run = Failures::new(seed);
        run.run();
        let known = run.load.replies.values().filter(|replies| {
            replies.iter().any(|reply| matches!(reply, Reply::Answered(_) | Reply::NotRun))
        });
        let figures = [
            run.load.doubled().len() as u64,
            run.load.untrue_refusals().len() as u64,
            run.load.misdelivered,
            run.copies.values().filter(|&&copies| copies > 1).count() as u64,
            run.owners.values().filter(|owners| owners.len() > 1).count() as u64,
            known.count() as u64,
        ];
        for (total, figure) in totals.iter_mut().zip(figures) {
            *total += figure;
        }
    }
    let [doubled, untrue, misdelivered, no_record, no_copy, known] = totals.map(|n| n as f64);
    table.check("request.doubled", doubled);
    table.note("request.doubled.no_record", no_record);
    table.note("request.doubled.record_without_copy", no_copy);
    table.check("request.untrue_refusals", untrue);
    table.check("request.misdelivered", misdelivered);
    table.note("request.known_outcome_share", known / (SEEDS as f64 * f64::from(REQUESTS)));
}

/// Bytes of one copy of a record with an 8-byte token, and of its acknowledgement.
fn copy_bytes(table: &mut Table) {
    let id = RequestId {
        caller: "192.0.2.1:40000".parse().expect("an address"),
        service: "198.51.100.1:5683".parse().expect("an address"),
        message_id: u16::MAX,
        token: vec![u8::MAX; 8],
    };
    let incarnation = 1_800_000_000_000;
    let state = RecordState::OwnedBy { owner: "sofia-a-1".into(), incarnation };
    let copy = RequestMessage::Replicate { id: id.clone(), state, incarnation };
    let answer = RequestMessage::Replicated { id, refused: false, incarnation, conflict: None };
    let len = |message| PeerMessage::Request(message).encode().expect("a message").len() as f64;
    table.check("request.copy_bytes", len(copy));
    table.note("request.copy_answer_bytes", len(answer));
}
