//! `galenactl cookies` against a running control VM.

use std::{net::SocketAddr, path::Path, process::Command, time::Duration};

use galenatrail::{
    Registrar, RegistrarSettings, RoutingConfig, standin::loopback, start_registrar,
};
use serde_json::Value;

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{PERIOD, ROUTE, announced, plan};

/// Tries after which the control VM counts as out of order; it leads after some 40.
const TRIES: u32 = 1_000;

/// Starts the only control VM of a log in an empty folder.
async fn control(name: &str, listen: SocketAddr) -> Registrar {
    let folder = format!("{name}-{}", std::process::id());
    let data = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    // There is none from an earlier run with this process id, mostly.
    _ = std::fs::remove_dir_all(&data);
    let settings = RegistrarSettings {
        name: listen.to_string().into(),
        zone: "a".into(),
        listen,
        data,
        seeds: vec![listen],
        first: true,
        voters: 1,
        period: PERIOD,
        metrics: None,
    };
    let registrar = start_registrar(settings).await.unwrap();
    let whole = RoutingConfig::clone(&plan(4, &[]).config);
    let mut tries = 0;
    while let Err(err) = registrar.replace(whole.clone()).await {
        tries += 1;
        assert!(tries < TRIES, "no order is taken: {err}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for server in [announced(1, "a"), announced(2, "b")] {
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
async fn operators_see_what_entry_vms_are_told() {
    let addr = loopback(10, 7_720);
    let registrar = control("ctl-status", addr).await;
    let told = json(addr, &["status"]).await;
    assert_eq!(told["plan"]["whole"]["number"], 4);
    assert_eq!(told["servers"].as_array().unwrap().len(), 2);
    registrar.set_zone("b", true).await.unwrap();
    let (done, text) = ctl(addr, &["cookies", "status"]).await;
    assert!(done && text.contains("configuration number 4, zones out: b"), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_see_why_a_flow_reaches_a_server() {
    let addr = loopback(11, 7_720);
    let registrar = control("ctl-explain", addr).await;
    let route = ROUTE.to_string();
    let asked =
        ["explain", "--zone", "b", "--caller", "100.64.0.7:40001", "--route", route.as_str()];
    let near = json(addr, &asked).await;
    assert!(near["verdict"].as_str().unwrap().contains("server 2 at"), "{near}");
    registrar.set_zone("b", true).await.unwrap();
    let away = json(addr, &asked).await;
    assert!(away["verdict"].as_str().unwrap().contains("server 1 at"), "{away}");
    assert_eq!(away["servers"][1]["out"], true);
    let mut draining = announced(1, "a");
    draining.draining = true;
    draining.sequence = 2;
    // No other VM can confirm it; it counts here all the same.
    assert!(registrar.announce(draining).await.is_err());
    let none = json(addr, &asked).await;
    assert_eq!(none["verdict"], "the flow would be reset: NoServer");
    assert_eq!(none["servers"][0]["usable"], "Old");
    let (done, _) = ctl(loopback(12, 7_720), &["cookies", "status"]).await;
    assert!(!done, "nobody listens there");
}
