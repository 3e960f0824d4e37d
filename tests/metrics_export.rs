//! The metrics endpoint of an entry daemon exports its counters.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream, UdpSocket},
    time::Duration,
};

use galenatrail::{EntrySettings, Settings, run_entry, standin::loopback};

/// Attempts to find the counter, 50 ms apart.
const MAX_ATTEMPTS: usize = 100;

fn scrape(addr: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

#[tokio::test(flavor = "multi_thread")]
async fn scraped_counter() {
    let text = format!(
        "name = \"entry-1\"\nzone = \"sofia-a\"\npackets = \"{}\"\npeers = \"{}\"\n\
         requests = \"{}\"\nfabric = \"{}\"\ncontrol = [\"{}\"]\nmetrics = \"{}\"\n",
        loopback(21, 6081),
        loopback(21, 7946),
        loopback(21, 5683),
        loopback(2, 6081),
        loopback(10, 8500),
        loopback(21, 9100)
    );
    let settings = Settings::<EntrySettings>::parse(&text).unwrap().check().unwrap();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let daemon = tokio::spawn(run_entry(settings, async {
        _ = stopped.await;
    }));
    let socket = UdpSocket::bind(loopback(3, 0)).unwrap();
    let mut exported = false;
    for _ in 0..MAX_ATTEMPTS {
        _ = socket.send_to(b"noise", loopback(21, 6081));
        tokio::time::sleep(Duration::from_millis(50)).await;
        let text = tokio::task::spawn_blocking(|| scrape(loopback(21, 9100))).await.unwrap();
        let counted = |line: &str| {
            line.starts_with("packets_malformed_total{")
                && line.contains("vm=\"entry-1\"")
                && line.contains("zone=\"sofia-a\"")
                && !line.ends_with(" 0")
        };
        exported = text.is_some_and(|text| text.lines().any(counted));
        if exported {
            break;
        }
    }
    assert!(exported, "no malformed packet was counted");
    stop.send(()).unwrap();
    daemon.await.unwrap().unwrap();
}
