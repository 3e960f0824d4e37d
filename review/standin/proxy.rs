//! A proxy between a server and a core machine, which can hold up what passes it.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::record::{note, now};

/// When bytes that were sent during a cut arrive: TCP repeats them after 0.2 s, doubling the time.
fn arrival(sent: Duration, cut: (Duration, Duration)) -> Duration {
    let (mut at, mut wait) = (sent, Duration::from_millis(200));
    while at < cut.1 {
        at += wait;
        wait *= 2;
    }
    at
}

/// The times between which a path is cut.
#[derive(Clone, Default)]
pub struct Cut {
    times: Arc<Mutex<Option<(Duration, Duration)>>>,
}

impl Cut {
    /// Cuts the path from now on for `time`.
    pub fn start(&self, time: Duration) {
        let times = (now(), now() + time);
        *self.times.lock().unwrap_or_else(|err| err.into_inner()) = Some(times);
    }

    /// Returns when bytes sent now arrive, if they are held up.
    fn arrival(&self) -> Option<Duration> {
        let times = *self.times.lock().unwrap_or_else(|err| err.into_inner());
        let (from, until) = times?;
        (from <= now() && now() < until).then(|| arrival(now(), (from, until)))
    }
}

/// Starts a proxy to `to` on a port of `ip`, and returns its address.
pub fn start(ip: Ipv4Addr, to: SocketAddr, cut: &Cut) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("there is a free port");
    let addr = listener.local_addr().expect("the listener has an address");
    let cut = cut.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || carry(stream, to, &cut));
        }
    });
    addr
}

/// Carries one call and its response.
fn carry(mut from: TcpStream, to: SocketAddr, cut: &Cut) {
    let mut buf = [0; 4096];
    // A call of a server is one small write.
    let Ok(len @ 1..) = from.read(&mut buf) else { return };
    let line = String::from_utf8_lossy(&buf[..len]).lines().next().unwrap_or_default().to_owned();
    if let Some(at) = cut.arrival() {
        note(&format!("the cut holds up {line:?} to {to} until {:.3}", at.as_secs_f64()));
        thread::sleep(at.saturating_sub(now()));
    }
    let Ok(mut core) = TcpStream::connect(to) else { return };
    if core.write_all(&buf[..len]).is_err() {
        return;
    }
    let mut answer = Vec::new();
    _ = core.set_read_timeout(Some(Duration::from_secs(2)));
    _ = core.read_to_end(&mut answer);
    // The caller may have given up.
    _ = from.write_all(&answer);
    _ = from.shutdown(Shutdown::Write);
}
