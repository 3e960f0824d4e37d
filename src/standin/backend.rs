//! A simulated backend server with request slots, a cold start, refusals, and health and load
//! reports that a test can make wrong.

use std::{collections::VecDeque, time::Duration};

use coap_lite::{CoapOption, MessageClass, Packet, ResponseType, option_value::OptionValueU32};

use crate::{coap, name::Name, state::Announce, time::Time};

/// Time that a warm server takes for one request.
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// Factor by which a request takes longer on a cold server.
const COLD_SLOWDOWN: u32 = 4;
/// Number of completed requests after which a server is warm.
const WARMUP_REQUESTS: u32 = 25;
/// Requests per second that a server accepts before it has completed any; each completed request
/// adds one.
const COLD_REQUESTS_PER_S: u32 = 2;
const SECOND: Duration = Duration::from_secs(1);

struct RunningRequest {
    ends_at: Time,
    vm: Name,
    request: Packet,
}

/// Request statistics of a simulated backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendStats {
    /// Requests that completed.
    pub completed: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that arrived while every slot was in use.
    pub over_slots: u64,
    /// Requests that arrived above the rate limit of the cold server.
    pub over_cold: u64,
    /// Maximum number of concurrent requests.
    pub peak_running: u32,
}

/// A simulated backend server.
pub struct Backend {
    /// The announcement of the server.
    pub announce: Announce,
    /// Whether the server is up.
    pub up: bool,
    /// Whether the server announces itself.
    pub announces: bool,
    /// Whether the health endpoint reports success.
    pub healthy: bool,
    /// Whether the server refuses every request.
    pub refuse_all: bool,
    /// Whether load reports repeat their sequence number; the other values stay current.
    pub frozen_seq: bool,
    /// Connections in the load report.
    pub connections: u32,
    /// Request statistics.
    pub stats: BackendStats,
    completed: u32,
    seq: u64,
    arrivals: VecDeque<Time>,
    running: Vec<RunningRequest>,
}

impl Backend {
    /// Returns a warm server.
    pub fn new(announce: Announce) -> Backend {
        Backend {
            announce,
            up: true,
            announces: true,
            healthy: true,
            refuse_all: false,
            frozen_seq: false,
            connections: 0,
            stats: BackendStats::default(),
            completed: WARMUP_REQUESTS,
            seq: 0,
            arrivals: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Makes the server cold without announcing it.
    pub fn make_cold(&mut self) {
        self.completed = 0;
    }

    /// Restarts the server: it is cold, and its running requests are lost.
    pub fn restart(&mut self) {
        self.announce.boot += 1;
        self.running.clear();
        self.arrivals.clear();
        self.make_cold();
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns whether the server has completed enough requests to be warm.
    pub fn is_warm(&self) -> bool {
        self.completed >= WARMUP_REQUESTS
    }

    /// Handles a message from `vm`; returns the response if it is available at once.
    pub fn handle_message(&mut self, now: Time, vm: &Name, message: &Packet) -> Option<Packet> {
        if !self.up || !coap::is_request(message) {
            return None;
        }
        match uri_path(message).as_deref() {
            Some("health") => {
                let code = if self.healthy {
                    ResponseType::Content
                } else {
                    ResponseType::ServiceUnavailable
                };
                Some(coap::response(message, code))
            }
            Some("load") => Some(self.load_response(message)),
            _ => self.handle_request(now, vm, message),
        }
    }

    /// Completes the requests that end by `now` and returns the responses with the VM that each
    /// goes to. A server that is down completes requests without a response.
    pub fn take_responses(&mut self, now: Time) -> Vec<(Name, Packet)> {
        let up = self.up;
        let ended: Vec<RunningRequest> =
            self.running.extract_if(.., |run| run.ends_at <= now).collect();
        self.stats.completed += ended.len() as u64;
        self.completed = self.completed.saturating_add(ended.len() as u32);
        let answer = |finished: RunningRequest| {
            let mut answer = coap::response(&finished.request, ResponseType::Content);
            answer.payload = self.announce.server.as_bytes().to_vec();
            (finished.vm, answer)
        };
        ended.into_iter().filter(|_| up).map(answer).collect()
    }

    fn load_response(&mut self, message: &Packet) -> Packet {
        self.seq += u64::from(!self.frozen_seq || self.seq == 0);
        let mut answer = coap::response(message, ResponseType::Content);
        let (running, seq) = (self.running(), self.seq);
        let load = running * 100 / self.announce.slots.max(1);
        let connections = self.connections;
        let text = format!(
            "{{\"running\": {running}, \"connections\": {connections}, \"load\": {load}, \
             \"seq\": {seq}}}"
        );
        answer.payload = text.into_bytes();
        answer
    }

    fn handle_request(&mut self, now: Time, vm: &Name, message: &Packet) -> Option<Packet> {
        while self.arrivals.front().is_some_and(|&at| now.since(at) >= SECOND) {
            self.arrivals.pop_front();
        }
        let is_full = self.running() >= self.announce.slots;
        let limit = COLD_REQUESTS_PER_S + self.completed;
        let is_over = !self.is_warm() && self.arrivals.len() as u32 >= limit;
        self.stats.over_slots += u64::from(is_full);
        self.stats.over_cold += u64::from(is_over);
        if is_full || is_over || self.refuse_all {
            self.stats.refused += 1;
            let mut answer = coap::response(message, ResponseType::ServiceUnavailable);
            answer.add_option_as(CoapOption::MaxAge, OptionValueU32(1));
            return Some(answer);
        }
        self.arrivals.push_back(now);
        let ends_at =
            now + if self.is_warm() { SERVICE_TIME } else { SERVICE_TIME * COLD_SLOWDOWN };
        self.running.push(RunningRequest { ends_at, vm: vm.clone(), request: message.clone() });
        self.stats.peak_running = self.stats.peak_running.max(self.running());
        None
    }
}

fn uri_path(message: &Packet) -> Option<String> {
    let first = message.get_option(CoapOption::UriPath)?.front()?;
    String::from_utf8(first.clone()).ok()
}

/// Returns whether `answer` has the code 2.05 (Content).
pub(super) fn is_served(answer: &Packet) -> bool {
    answer.header.code == MessageClass::Response(ResponseType::Content)
}
