//! One configured entry node for the measures.

use std::{env, fs, net::SocketAddr, process};

use galenatrail::{
    Announce, Branch, Command, ControlSettings, Entries, EntryEvent, EntryNode, Member, Settings,
    Time,
    rpc::{self, ControlApiClient},
    run_control,
};

/// Address of the service in [`commands`].
pub(crate) const SERVICE: &str = "127.0.9.1:80";

const SERVERS: u8 = 14;

/// Returns a node that serves [`SERVICE`] from servers that all take packets at `packets`.
pub(crate) fn node(packets: SocketAddr) -> EntryNode {
    let mut node = EntryNode::new(Member {
        name: "sofia-a-1".into(),
        zone: "sofia-a".into(),
        packets: "127.0.1.1:6081".parse().expect("an address"),
        peers: "127.0.1.1:7946".parse().expect("an address"),
        incarnation: 1,
        ready: true,
    });
    let entries = EntryEvent::Entries(Entries::new(1, commands(packets)));
    node.handle(Time::ZERO, entries, &mut Vec::new());
    node
}

/// Time between two tries to submit a command.
#[allow(dead_code, reason = "not every bench has daemons")]
const RETRY: std::time::Duration = std::time::Duration::from_millis(20);

/// Starts a control VM on `addr` that holds the same configuration.
#[allow(dead_code, reason = "not every bench has daemons")]
pub(crate) async fn control(addr: SocketAddr, packets: SocketAddr) -> impl Sized {
    let data = env::temp_dir().join(format!("galenatrail-speed-{}", process::id()));
    _ = fs::remove_dir_all(&data);
    let text =
        format!("name = \"control-1\"\nzone = \"sofia-a\"\nlisten = \"{addr}\"\ndata = {data:?}\n");
    let settings = Settings::<ControlSettings>::parse(&text).and_then(Settings::check);
    let handle = run_control(settings.expect("the settings are whole")).await;
    let handle = handle.expect("the control VM starts");
    let client = rpc::client(addr).expect("a client");
    for command in commands(packets) {
        // It leads once its disk has synced its vote for itself.
        while client.submit(command.clone()).await.is_err() {
            tokio::time::sleep(RETRY).await;
        }
    }
    _ = fs::remove_dir_all(&data);
    handle
}

fn commands(packets: SocketAddr) -> Vec<Command> {
    let branch: Branch = toml::from_str(
        "[services.workshop-hub]\naddress = \"127.0.9.1\"\nport = 80\nprotocol = \"tcp\"",
    )
    .expect("a branch");
    let mut commands = vec![Command::Apply { team: "filtrex".into(), base: 0, branch }];
    commands.extend((1..=SERVERS).map(|host| {
        Command::Server(Announce {
            server: format!("hub-{host}").into(),
            service: "workshop-hub".into(),
            zone: "sofia-a".into(),
            packets,
            requests: SocketAddr::new([127, 0, 2, host].into(), 5683),
            boot: 1,
            slots: 2,
            connections: 2_000,
            draining: false,
        })
    }));
    commands
}
