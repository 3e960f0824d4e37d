//! Which control VM an entry VM reports to.

use std::{
    fs,
    path::Path,
    process::{Child, Command, Stdio},
    sync::Arc,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use galenatrail::{Entries, LEASE_DURATION, standin::loopback};
use jsonrpsee::{
    RpcModule,
    server::{Server, ServerHandle},
    types::ErrorObjectOwned,
};
use tokio::time::sleep;

/// Number of polls until a report counts as missing; a report takes far fewer.
const MAX_POLLS: u32 = 300;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Stand-in of a control VM that answers reports, and counts them.
async fn control_vm(host: u8, lease: Duration) -> (Arc<AtomicU32>, ServerHandle) {
    let reports = Arc::new(AtomicU32::new(0));
    let mut module = RpcModule::new(reports.clone());
    let answer = move |count: &AtomicU32| {
        count.fetch_add(1, Ordering::Relaxed);
        Ok::<_, ErrorObjectOwned>(Entries { lease, ..Entries::new(1, Vec::new()) })
    };
    module.register_method("control_progress", move |_, count, _| answer(count)).unwrap();
    let server = Server::builder().build(loopback(host, 8_500)).await.unwrap();
    (reports, server.start(module))
}

struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

fn start_entry() -> Daemon {
    let name = format!("control_choice-{}.toml", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let text = format!(
        "name = \"entry-20\"\nzone = \"sofia-a\"\npackets = \"{}\"\npeers = \"{}\"\n\
         requests = \"{}\"\nfabric = \"{}\"\ncontrol = [\"{}\", \"{}\"]\n",
        loopback(20, 6081),
        loopback(20, 7946),
        loopback(20, 5683),
        loopback(2, 6081),
        loopback(10, 8500),
        loopback(11, 8500)
    );
    fs::write(&path, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_galena-entry"));
    Daemon(command.arg(path).stderr(Stdio::null()).spawn().expect("the program starts"))
}

/// Guards against an entry VM that goes on reporting to a control VM that reaches no quorum.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_vm_without_a_lease_reports_to_another_control_vm() {
    let (cut_off, _cut_off) = control_vm(10, Duration::ZERO).await;
    let (confirmed, _confirmed) = control_vm(11, LEASE_DURATION).await;
    let _entry = start_entry();
    let count = |reports: &AtomicU32| reports.load(Ordering::Relaxed);
    for _ in 0..MAX_POLLS {
        if count(&confirmed) >= 3 {
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    assert!(count(&confirmed) >= 3, "{} reports to the one that is cut off", count(&cut_off));
    // It stays where it gets leases.
    assert_eq!(count(&cut_off), 1);
}
