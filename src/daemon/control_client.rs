//! Client of the control VMs: sends progress reports and commands over JSON-RPC.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    sync::mpsc,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    rpc::{self, ControlApiClient},
    spread::{Entries, Progress},
    state::Command,
};

/// Commands that can wait to be sent.
const COMMAND_QUEUE_LEN: usize = 1024;

/// Time-out of a call, after which the next one goes to another control VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay after a failed call, so that calls that fail at once do not spin.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A report number and the report.
type Report = (u64, Progress);

/// Queues of calls to the control VMs.
pub(super) struct ControlClient {
    reports: mpsc::Sender<Report>,
    commands: mpsc::Sender<Command>,
    tasks: [JoinHandle<()>; 2],
}

impl ControlClient {
    /// Starts the tasks that call the `control` VMs; replies to reports go to `replies`.
    pub(super) fn start(
        control: Vec<SocketAddr>,
        replies: mpsc::Sender<(u64, Entries)>,
    ) -> ControlClient {
        let control: Arc<[SocketAddr]> = control.into();
        let (reports, report_queue) = mpsc::channel(1);
        let (commands, command_queue) = mpsc::channel(COMMAND_QUEUE_LEN);
        let tasks = [
            tokio::spawn(send_reports(control.clone(), report_queue, replies)),
            tokio::spawn(send_commands(control, command_queue)),
        ];
        ControlClient { reports, commands, tasks }
    }

    /// Queues a report; returns `false` and drops it when another one is still waiting. The node
    /// then makes a new report.
    pub(super) fn report(&self, report: u64, progress: Progress) -> bool {
        self.reports.try_send((report, progress)).is_ok()
    }

    /// Queues a command; returns whether the queue had room.
    pub(super) fn submit(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }
}

impl Drop for ControlClient {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn send_reports(
    control: Arc<[SocketAddr]>,
    mut report_queue: mpsc::Receiver<Report>,
    replies: mpsc::Sender<(u64, Entries)>,
) {
    let mut target = 0;
    while let Some((report, progress)) = report_queue.recv().await {
        let Ok(client) = rpc::client(control[target % control.len()]) else { return };
        match timeout(CALL_TIMEOUT, client.progress(progress)).await {
            Ok(Ok(entries)) => {
                // A control VM that grants no lease reaches no quorum, while another one may.
                target += usize::from(entries.lease.is_zero());
                if replies.send((report, entries)).await.is_err() {
                    return;
                }
            }
            _ => {
                target += 1;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn send_commands(control: Arc<[SocketAddr]>, mut command_queue: mpsc::Receiver<Command>) {
    let mut target = 0;
    while let Some(command) = command_queue.recv().await {
        let Ok(client) = rpc::client(control[target % control.len()]) else { return };
        // A failed command is not retried here: the node submits the change again after its own retry
        // interval if it is still due.
        if !matches!(timeout(CALL_TIMEOUT, client.submit(command)).await, Ok(Ok(_))) {
            target += 1;
            sleep(RETRY_DELAY).await;
        }
    }
}
