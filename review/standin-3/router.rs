//! The platform's router of a zone: it selects an entry daemon by a hash over those in rotation.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{JoinHandle, sleep, spawn},
    time::{Duration, Instant},
};

use crate::{http, record::Record};

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Misses after which a daemon is out of rotation.
const MAX_MISSES: u32 = 2;

/// An entry daemon, by the addresses that the router uses.
#[derive(Debug, Clone)]
pub struct Target {
    pub name: String,
    pub datagrams: SocketAddr,
    pub ready: SocketAddr,
}

pub struct Router {
    targets: Vec<Target>,
    in_rotation: Arc<Mutex<Vec<bool>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Router {
    pub fn start(targets: Vec<Target>, record: &Record) -> Router {
        let in_rotation = Arc::new(Mutex::new(vec![true; targets.len()]));
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for (number, target) in targets.iter().cloned().enumerate() {
            let (in_rotation, stop) = (in_rotation.clone(), stop.clone());
            let record = record.clone();
            threads.push(spawn(move || {
                let mut misses = 0;
                while !stop.load(Ordering::Relaxed) {
                    let next = Instant::now() + PROBE_INTERVAL;
                    let answer = http::call(target.ready, "GET", "/api/ready", "", PROBE_INTERVAL);
                    let ready = answer.is_some_and(|(status, _)| status == 200);
                    misses = if ready { 0 } else { misses + 1 };
                    let is_in = misses < MAX_MISSES;
                    let before = std::mem::replace(&mut in_rotation.lock().unwrap()[number], is_in);
                    if before != is_in {
                        let how = if is_in { "back in" } else { "out of" };
                        record.line(format!("router: {} is {how} rotation", target.name));
                    }
                    sleep(next.saturating_duration_since(Instant::now()));
                }
            }));
        }
        Router { targets, in_rotation, stop, threads }
    }

    /// Returns the entry daemon for a client's port: hash `mod` over those in rotation, or over all of
    /// the zone if fewer than half are.
    pub fn pick(&self, port: u16) -> SocketAddr {
        let in_rotation = self.in_rotation.lock().unwrap();
        let mut usable: Vec<usize> =
            (0..self.targets.len()).filter(|number| in_rotation[*number]).collect();
        if usable.len() * 2 < self.targets.len() {
            usable = (0..self.targets.len()).collect();
        }
        let hash = (u64::from(port) * 0x9e37_79b9_7f4a_7c15) >> 40;
        self.targets[usable[hash as usize % usable.len()]].datagrams
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            _ = thread.join();
        }
    }
}
