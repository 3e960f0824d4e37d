//! `galenactl cookies` against a running control VM.

use std::{net::SocketAddr, path::Path, process::Command, time::Duration};

use galenatrail::{
    Announcement, Registrar, RegistrarSettings, RoutingConfig, standin::loopback, start_registrar,
};
use serde_json::Value;

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{PERIOD, ROUTE, announcement, plan};

/// Attempts until the control VM has to accept a configuration; it leads after about 40.
const MAX_TRIES: u32 = 1_000;

/// Starts a control VM that forms a log of its own in an empty folder, with a configuration and two
/// backend servers.
async fn start_control(name: &str, listen: SocketAddr) -> Registrar {
    let folder = format!("{name}-{}", std::process::id());
    let data = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    // Usually fails: only an earlier run with the same process id leaves a folder behind.
    _ = std::fs::remove_dir_all(&data);
    let settings = RegistrarSettings {
        name: listen.to_string().into(),
        zone: "a".into(),
        listen,
        data,
        seeds: vec![listen],
        bootstrap: true,
        voters: 1,
        announce_interval: PERIOD,
        metrics: None,
    };
    let registrar = start_registrar(settings).await.unwrap();
    let config = RoutingConfig::clone(&plan(4, &[]).config);
    let mut tries = 0;
    while let Err(err) = registrar.replace_config(config.clone()).await {
        tries += 1;
        assert!(tries < MAX_TRIES, "the configuration is not accepted: {err}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for server in [announcement(1, "a"), announcement(2, "b")] {
        registrar.announce(server).await.unwrap();
    }
    registrar
}

async fn ctl(control: SocketAddr, args: &[&str]) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_galenactl"));
    command.args(["--control", &control.to_string()]).args(args);
    let output = tokio::task::spawn_blocking(move || command.output()).await.unwrap().unwrap();
    (output.status.success(), String::from_utf8(output.stdout).unwrap())
}

async fn json(control: SocketAddr, args: &[&str]) -> Value {
    let (done, text) = ctl(control, &[&["--json", "cookies"], args].concat()).await;
    assert!(done, "{text}");
    serde_json::from_str(&text).unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_prints_the_feed_of_entry_vms() {
    let addr = loopback(10, 7_720);
    let registrar = start_control("ctl-status", addr).await;
    let feed = json(addr, &["status"]).await;
    assert_eq!(feed["plan"]["whole"]["number"], 4);
    assert_eq!(feed["servers"].as_array().unwrap().len(), 2);
    registrar.set_zone("b", true).await.unwrap();
    let (done, text) = ctl(addr, &["cookies", "status"]).await;
    assert!(done && text.contains("configuration number 4, zones out: b"), "{text}");
}

/// Guards against a server that is heard and not used, and looks as if it were not heard.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_prints_the_servers_that_are_not_used() {
    let addr = loopback(13, 7_720);
    let registrar = start_control("ctl-unnamed", addr).await;
    let unused = Announcement { service: "typo".into(), ..announcement(3, "a") };
    registrar.announce(unused).await.unwrap();
    let feed = json(addr, &["status"]).await;
    assert_eq!(feed["servers"].as_array().unwrap().len(), 2);
    assert_eq!(feed["unnamed"]["count"], 1);
    assert_eq!(feed["unnamed"]["records"][0]["announced"]["service"], "typo");
    let (done, text) = ctl(addr, &["cookies", "status"]).await;
    assert!(done && text.contains("heard and not used") && text.contains("typo"), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explain_prints_why_a_server_is_selected() {
    let addr = loopback(11, 7_720);
    let registrar = start_control("ctl-explain", addr).await;
    let route = ROUTE.to_string();
    let explain =
        ["explain", "--zone", "b", "--caller", "100.64.0.7:40001", "--route", route.as_str()];
    let same_zone = json(addr, &explain).await;
    assert!(same_zone["verdict"].as_str().unwrap().contains("server 2 at"), "{same_zone}");
    registrar.set_zone("b", true).await.unwrap();
    let other_zone = json(addr, &explain).await;
    assert!(other_zone["verdict"].as_str().unwrap().contains("server 1 at"), "{other_zone}");
    assert_eq!(other_zone["servers"][1]["out"], true);
    let mut draining = announcement(1, "a");
    draining.draining = true;
    draining.sequence = 2;
    // The call fails because no other VM can confirm the announcement, but it takes effect here.
    assert!(registrar.announce(draining).await.is_err());
    let none = json(addr, &explain).await;
    assert_eq!(none["verdict"], "the flow would be reset: NoServer");
    assert_eq!(none["servers"][0]["usable"], "Old");
    let (done, _) = ctl(loopback(12, 7_720), &["cookies", "status"]).await;
    assert!(!done, "no control VM listens there");
}
