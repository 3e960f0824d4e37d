//! Calls of the system's HTTP interfaces, as servers, routers and the operator make them.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::record::note;

/// Time without a response after which a caller moves on to another daemon.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends one request; returns the status and the body, or `None` without a response in time.
pub fn request(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let until = Instant::now() + RESPONSE_TIMEOUT;
    let mut stream = TcpStream::connect_timeout(&to, RESPONSE_TIMEOUT).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(len) => answer.extend(&buf[..len]),
            Err(_) => return None,
        }
    }
    let answer = String::from_utf8(answer).ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer.split_once("\r\n\r\n")?.1.to_owned()))
}

/// Sends an order of the operator to the daemons in turn, each time the same, until one acknowledges
/// it or `limit` has passed. Returns whether it was acknowledged.
pub fn order(daemons: &[SocketAddr], path: &str, body: &str, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let mut pause = Duration::from_millis(100);
    for daemon in daemons.iter().cycle() {
        note(&format!("operator sends {path} to {daemon}"));
        match request(*daemon, "POST", path, body) {
            Some((status, _)) if (200..300).contains(&status) => {
                note(&format!("operator: {daemon} acknowledges {path} with {status}"));
                return true;
            }
            Some((status, text)) => note(&format!("operator: {daemon} answers {status} {text}")),
            None => note(&format!("operator: no response from {daemon}")),
        }
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(pause);
        pause *= 2;
    }
    false
}
