//! The operator: picks among the control daemons, moves on after a failure, and sends the same
//! order again until it is acknowledged.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// Time after which the operator turns to another daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone)]
pub struct Operator {
    pub daemons: Vec<SocketAddr>,
    pub record: Record,
    next: usize,
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fate {
    Acknowledged,
    Refused(u16),
    NoAnswer,
}

impl Operator {
    pub fn new(daemons: Vec<SocketAddr>, record: Record) -> Operator {
        Operator { daemons, record, next: 0 }
    }

    /// Sends an order until it is answered, for `wait` at most.
    pub fn order(&mut self, path: &str, body: &str, wait: Duration) -> Fate {
        let until = Instant::now() + wait;
        let mut pause = Duration::from_millis(50);
        let mut tries = 0;
        while Instant::now() < until {
            let to = self.pick();
            tries += 1;
            let answer = http::call(to, "POST", path, body, CALL_TIMEOUT);
            match answer {
                Some((status, _)) if (200..300).contains(&status) => {
                    self.record.line(format!("operator: {path} acknowledged by {to}, try {tries}"));
                    return Fate::Acknowledged;
                }
                Some((status @ (400 | 409 | 412 | 413 | 422), text)) => {
                    self.record.line(format!("operator: {path} refused by {to}: {status} {text}"));
                    return Fate::Refused(status);
                }
                Some((status, _)) => {
                    self.record.line(format!("operator: {path} got {status} from {to}"));
                }
                None => self.record.line(format!("operator: {path} got no response from {to}")),
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(800));
        }
        self.record.line(format!("operator: {path} not acknowledged in {tries} tries"));
        Fate::NoAnswer
    }

    /// Reads the configuration at any daemon, for `wait` at most.
    pub fn read(&mut self, wait: Duration) -> Option<String> {
        let until = Instant::now() + wait;
        let mut tries = 0;
        while Instant::now() < until {
            let to = self.pick();
            tries += 1;
            match http::call(to, "GET", "/api/config/read", "", CALL_TIMEOUT) {
                Some((200, body)) => {
                    self.record.line(format!("operator: read answered by {to}, try {tries}"));
                    return Some(body);
                }
                Some((status, _)) => {
                    self.record.line(format!("operator: read got {status} from {to}"));
                }
                None => self.record.line(format!("operator: read got no response from {to}")),
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        self.record.line(format!("operator: no configuration came back in {tries} tries"));
        None
    }

    fn pick(&mut self) -> SocketAddr {
        self.next += 1;
        self.daemons[self.next % self.daemons.len()]
    }
}

/// Returns a configuration with one route to each of two services.
pub fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, port: u16, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"198.18.0.1\",\"pathPrefix\":\"/{port}/\",\
             \"type\":\"{kind}\",\"timeoutMs\":2000,\"targetLatencyMs\":150,\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":2}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":2000,\
             \"protocol\":\"h1\",\"tls\":false,\"warmupS\":2.0,\"warmupPerS\":0.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        route("r-hub", "unsafe", 8080, "hub"),
        route("r-desk", "safe", 8443, "desk"),
        service("hub"),
        service("desk"),
    )
}

/// Returns the number of a configuration that was read back.
pub fn version(body: &str) -> Option<u64> {
    let (_, rest) = body.split_once("\"version\":")?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
