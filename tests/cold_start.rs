//! Requests while the first entry VMs of a cold start become owners one after the other: a request
//! that only the first owner knows must not run, as losing that VM would make its outcome unknown.

use std::time::Duration;

use coap_lite::{MessageClass, Packet, RequestType};
use galenatrail::{
    Announce, Branch, Command, EntryAction, EntryEvent, Member, Name, View, coap, packet,
    standin::{Mesh, NodeOutput, udp_packet},
};

const VMS: [&str; 3] = ["a", "b", "c"];

fn member(name: &str, ready: bool) -> Member {
    let host = name.as_bytes()[0];
    Member {
        name: name.into(),
        zone: format!("zone-{name}").into(),
        packets: format!("127.0.1.{host}:6081").parse().unwrap(),
        peers: format!("127.0.1.{host}:7946").parse().unwrap(),
        incarnation: 1,
        ready,
    }
}

fn mesh() -> Mesh {
    let mut mesh = Mesh::new(7);
    mesh.start(member("a", true));
    mesh.start(member("b", false));
    mesh.start(member("c", false));
    let branch: Branch = toml::from_str(
        "[services.desk]\naddress = \"127.0.9.1\"\nport = 5683\nprotocol = \"udp\"\n\
         mode = \"request\"\n",
    )
    .unwrap();
    mesh.apply(Command::Apply { team: "filtrex".into(), base: 0, branch });
    mesh.apply(Command::Server(Announce {
        server: "desk-1".into(),
        service: "desk".into(),
        zone: "zone-b".into(),
        packets: "127.0.2.1:6081".parse().unwrap(),
        requests: "127.0.2.1:5683".parse().unwrap(),
        boot: 1,
        slots: 2,
        connections: 2_000,
        draining: false,
    }));
    mesh
}

fn set_all_ready(mesh: &mut Mesh, names: &[&str]) {
    for &vm in names {
        let mut view = View::new(names.iter().map(|name| member(name, true)));
        view.version = mesh.nodes[vm].view().version + 1;
        mesh.handle_event(vm, EntryEvent::View(view));
    }
}

fn send_post(mesh: &mut Mesh, vm: &str, number: u16) {
    let mut message = Packet::new();
    message.header.code = MessageClass::Request(RequestType::Post);
    message.header.message_id = number;
    message.set_token(number.to_be_bytes().to_vec());
    let bytes = coap::encode(&message).unwrap();
    let caller = "127.0.3.1:40000".parse().unwrap();
    let packet = udp_packet(caller, "127.0.9.1:5683".parse().unwrap(), &bytes);
    mesh.handle_event(vm, EntryEvent::Packet(packet::encapsulate(&packet)));
}

/// Runs for `seconds` and returns the VMs that sent a POST to the backend server.
fn post_senders(mesh: &mut Mesh, seconds: u64) -> Vec<Name> {
    mesh.take_outputs();
    mesh.run(Duration::from_secs(seconds));
    let is_post = |left: &NodeOutput| {
        let EntryAction::ToServer { bytes, .. } = &left.action else { return false };
        let message = coap::decode(bytes).unwrap();
        message.header.code == MessageClass::Request(RequestType::Post)
    };
    mesh.take_outputs().into_iter().filter(is_post).map(|left| left.vm).collect()
}

#[test]
fn first_owner_lost() {
    let mut mesh = mesh();
    mesh.run(Duration::from_secs(3));
    send_post(&mut mesh, "a", 1);
    assert_eq!(
        post_senders(&mut mesh, 3).len(),
        0,
        "a request must not run while only one VM has its record"
    );
    set_all_ready(&mut mesh, &VMS);
    mesh.run(Duration::from_secs(10));
    mesh.kill("a");
    set_all_ready(&mut mesh, &["b", "c"]);
    mesh.run(Duration::from_secs(10));
    send_post(&mut mesh, "b", 2);
    assert_eq!(post_senders(&mut mesh, 8).len(), 1, "requests run after the first owner is lost");
}
