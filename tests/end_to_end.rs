//! End-to-end test over real processes: a control VM, three entry VMs and galenactl, with
//! simulated callers, backend servers and fabric.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    time::Duration,
};

use coap_lite::{MessageClass, Packet, RequestType};
use galenatrail::{
    Announce, coap,
    standin::{Caller, Fabric, Server, loopback, tcp_packet, udp_packet},
};

const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
const WORK_TIME: Duration = Duration::from_millis(5);
const MAX_TRIES: usize = 100;

struct Daemon(Child);

impl Daemon {
    fn start(program: &str, settings: &Path) -> Daemon {
        let child = Command::new(program).arg(settings).stderr(Stdio::null()).spawn();
        Daemon(child.expect("the program starts"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

fn folder(name: &str) -> PathBuf {
    let path =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

fn control_settings(folder: &Path) -> PathBuf {
    let path = folder.join("control.toml");
    let text = format!(
        "name = \"control-1\"\nzone = \"sofia-a\"\nlisten = \"{}\"\ndata = {:?}\n",
        loopback(10, 8500),
        folder.join("data")
    );
    fs::write(&path, text).unwrap();
    path
}

fn entry_settings(folder: &Path, host: u8) -> PathBuf {
    let path = folder.join(format!("entry-{host}.toml"));
    let text = format!(
        "name = \"entry-{host}\"\nzone = \"sofia-a\"\npackets = \"{}\"\npeers = \"{}\"\n\
         requests = \"{}\"\nfabric = \"{}\"\ncontrol = [\"{}\"]\n",
        loopback(host, 6081),
        loopback(host, 7946),
        loopback(host, 5683),
        loopback(2, 6081),
        loopback(10, 8500)
    );
    fs::write(&path, text).unwrap();
    path
}

async fn galenactl(args: &[&str]) -> Output {
    let control = loopback(10, 8500).to_string();
    let program = env!("CARGO_BIN_EXE_galenactl");
    for _ in 0..MAX_TRIES {
        let output = Command::new(program).args(["--control", &control]).args(args).output();
        let output = output.expect("galenactl runs");
        if output.status.success() {
            return output;
        }
        tokio::time::sleep(ANSWER_TIMEOUT).await;
    }
    panic!("galenactl {args:?} did not succeed");
}

async fn server(
    name: &str,
    service: (&str, SocketAddr),
    host: u8,
    entries: &[SocketAddr],
) -> Server {
    let announce = Announce {
        server: name.into(),
        service: service.0.into(),
        zone: "sofia-a".into(),
        packets: loopback(host, 6081),
        requests: loopback(host, 5683),
        boot: 1,
        slots: 2,
        connections: 2_000,
        draining: false,
    };
    Server::new(announce, service.1, WORK_TIME, entries.to_vec()).await.unwrap()
}

/// Sends `packet` to `entry` until an answer arrives, like a caller that retransmits.
async fn request_answer(
    fabric: &Fabric,
    caller: &Caller,
    entry: SocketAddr,
    packet: &[u8],
) -> Vec<u8> {
    for _ in 0..MAX_TRIES {
        fabric.send(entry, packet).await.unwrap();
        if let Ok(answer) = caller.receive(ANSWER_TIMEOUT).await {
            return answer;
        }
    }
    panic!("no answer through {entry}");
}

#[tokio::test]
async fn any_entry_vm_serves_flows_and_requests() {
    let folder = folder("any-entry");
    let entry_program = env!("CARGO_BIN_EXE_galena-entry");
    let _control = Daemon::start(env!("CARGO_BIN_EXE_galena-control"), &control_settings(&folder));
    let hosts = [21, 22, 23];
    let _entries = hosts.map(|host| Daemon::start(entry_program, &entry_settings(&folder, host)));
    let announce_to: Vec<SocketAddr> = hosts.iter().map(|&host| loopback(host, 5683)).collect();
    let (hub_addr, desk_addr) = (loopback(100, 80), loopback(101, 5683));
    let hub = [
        server("hub-1", ("workshop-hub", hub_addr), 31, &announce_to).await,
        server("hub-2", ("workshop-hub", hub_addr), 32, &announce_to).await,
    ];
    let desk = server("desk-1", ("cert-desk", desk_addr), 33, &announce_to).await;

    let branch = folder.join("filtrex.toml");
    let text = format!(
        "[services.workshop-hub]\naddress = \"{}\"\nport = 80\nprotocol = \"tcp\"\n\
         [services.cert-desk]\naddress = \"{}\"\nport = 5683\nprotocol = \"udp\"\nmode = \"request\"\n",
        hub_addr.ip(),
        desk_addr.ip()
    );
    fs::write(&branch, text).unwrap();
    galenactl(&["apply", "--team", "filtrex", "--base", "0", branch.to_str().unwrap()]).await;

    let fabric = Fabric::new(loopback(2, 6081)).await.unwrap();
    let caller = Caller::new(loopback(3, 40_000)).await.unwrap();
    let from = caller.addr().unwrap();
    let mut first = None;
    let open = tcp_packet(from, hub_addr, true, b"");
    request_answer(&fabric, &caller, loopback(21, 6081), &open).await;
    for host in hosts {
        let packet = tcp_packet(from, hub_addr, false, b"job");
        let answer = request_answer(&fabric, &caller, loopback(host, 6081), &packet).await;
        assert!(answer.starts_with(b"hub-"), "{answer:?}");
        assert_eq!(*first.get_or_insert_with(|| answer.clone()), answer, "entry-{host}");
    }
    let mut request = Packet::new();
    request.header.code = MessageClass::Request(RequestType::Get);
    request.header.message_id = 7;
    request.set_token(vec![1, 2]);
    let request = coap::encode(&request).unwrap();
    let packet = udp_packet(from, desk_addr, &request);
    let answer = request_answer(&fabric, &caller, loopback(22, 6081), &packet).await;
    let answer = coap::decode(&answer).unwrap();
    assert_eq!((answer.get_token(), &*answer.payload), (&[1, 2][..], &b"desk-1"[..]));
    assert!(hub.iter().any(|server| !server.stats().flows.is_empty()));
    assert!(hub.iter().all(|server| server.stats().resets == 0));
    assert!(hub.iter().all(|server| server.stats().misrouted == 0));
    assert!(desk.stats().flows.is_empty());
    assert!(!desk.stats().runs.is_empty());
}
