//! HTTP/1.1 client for one request on a connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Sends a request; returns status and body, or `None` without a whole response within `wait`.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&to, wait).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut buf = [0; 8192];
    loop {
        let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(len) => answer.extend_from_slice(&buf[..len]),
            Err(_) => return None,
        }
    }
    let text = String::from_utf8(answer).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    // An answer that breaks off is none.
    (length.is_none_or(|length: usize| length == body.len())).then(|| (status, body.to_owned()))
}
