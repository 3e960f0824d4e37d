//! Entry node and control VM with a fixed configuration, for the benches.

use std::{env, fs, net::SocketAddr, process};

use galenatrail::{
    Announce, Branch, Command, ControlSettings, Entries, EntryEvent, EntryNode, Member, Settings,
    Time,
    rpc::{self, ControlApiClient},
    run_control,
};

/// Address of the service that [`commands`] configures.
pub(crate) const SERVICE: &str = "127.0.9.1:80";

const SERVER_COUNT: u8 = 14;

/// Returns an entry node that forwards [`SERVICE`] to backend servers that all receive packets at
/// `packets`.
pub(crate) fn node(packets: SocketAddr) -> EntryNode {
    let mut node = EntryNode::new(Member {
        name: "sofia-a-1".into(),
        zone: "sofia-a".into(),
        packets: "127.0.1.1:6081".parse().expect("valid address"),
        peers: "127.0.1.1:7946".parse().expect("valid address"),
        incarnation: 1,
        ready: true,
    });
    let entries = EntryEvent::Entries(Entries::new(1, commands(packets)));
    node.handle(Time::ZERO, entries, &mut Vec::new());
    node
}

/// Interval between attempts to submit a command.
#[allow(dead_code, reason = "not every bench runs daemons")]
const RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);

/// Starts a control VM on `addr` and submits the configuration that [`node`] has.
#[allow(dead_code, reason = "not every bench runs daemons")]
pub(crate) async fn control(addr: SocketAddr, packets: SocketAddr) -> impl Sized {
    let data = env::temp_dir().join(format!("galenatrail-speed-{}", process::id()));
    _ = fs::remove_dir_all(&data);
    let text =
        format!("name = \"control-1\"\nzone = \"sofia-a\"\nlisten = \"{addr}\"\ndata = {data:?}\n");
    let settings = Settings::<ControlSettings>::parse(&text).and_then(Settings::check);
    let handle = run_control(settings.expect("valid settings")).await;
    let handle = handle.expect("the control VM starts");
    let client = rpc::client(addr).expect("the client is created");
    for command in commands(packets) {
        // The control VM becomes leader after it has synced its own vote to disk; until then, it
        // rejects commands.
        while client.submit(command.clone()).await.is_err() {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
    _ = fs::remove_dir_all(&data);
    handle
}

fn commands(packets: SocketAddr) -> Vec<Command> {
    let branch: Branch = toml::from_str(
        "[services.workshop-hub]\naddress = \"127.0.9.1\"\nport = 80\nprotocol = \"tcp\"",
    )
    .expect("valid branch");
    let mut commands = vec![Command::Apply { team: "filtrex".into(), base: 0, branch }];
    commands.extend((1..=SERVER_COUNT).map(|host| {
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
