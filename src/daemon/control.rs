//! Event loop of the control daemon: JSON-RPC server, log storage and messages between control VMs.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use jsonrpsee::{
    core::async_trait,
    server::{Server, ServerConfig, ServerHandle},
    types::ErrorObjectOwned,
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, interval},
};

use crate::{
    control::{
        ControlAction, ControlEndpoint, ControlEvent, ControlNode, ControlStatus, Envelope,
        HistoryEntry, Signer, Submission, SubmitResult,
    },
    daemon::{
        tickets::Tickets,
        writer::{self, Job},
    },
    error::{Error, Result},
    peer::Keys,
    rpc::{
        self, ControlApiClient, ControlApiServer, MAX_MESSAGE_LEN, UNAVAILABLE_CODE, UNKNOWN_CODE,
        VersionedTree,
    },
    settings::{Checked, ControlSettings, Settings},
    spread::{Entries, Progress},
    state::{Command, Outcome},
    time::Time,
};

/// Capacity of the queues of API calls, responses, and messages to one control VM.
const QUEUE_LEN: usize = 1024;
const TICK_INTERVAL: Duration = Duration::from_millis(20);

type RpcResult<T> = std::result::Result<T, ErrorObjectOwned>;

enum Reply {
    SubmitResult(SubmitResult),
    Entries(Box<Entries>),
}

enum Call {
    Submit(Submission, oneshot::Sender<Reply>),
    Progress(Progress, oneshot::Sender<Reply>),
    Tree(oneshot::Sender<Result<VersionedTree>>),
    History(oneshot::Sender<Result<Vec<HistoryEntry>>>),
    Status(oneshot::Sender<ControlStatus>),
    Deliver(Envelope, oneshot::Sender<Option<Envelope>>),
    /// A message arrived that could not be verified with any known key.
    RefusedMessage,
}

struct Api {
    calls: mpsc::Sender<Call>,
    signer: Option<Signer>,
}

impl Api {
    async fn call<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> RpcResult<T> {
        let (reply, answer) = oneshot::channel();
        self.calls.send(call(reply)).await.map_err(|_| shutting_down())?;
        answer.await.map_err(|_| outcome_unknown())
    }
}

#[async_trait]
impl ControlApiServer for Api {
    async fn submit(&self, command: Command) -> RpcResult<Outcome> {
        self.change(Submission::new(command)).await
    }

    async fn change(&self, submission: Submission) -> RpcResult<Outcome> {
        match self.call(|reply| Call::Submit(submission, reply)).await? {
            Reply::SubmitResult(SubmitResult::Ordered(outcome)) => Ok(outcome),
            Reply::SubmitResult(SubmitResult::Unavailable) => {
                Err(unavailable("no leader took the command; try another control VM"))
            }
            _ => Err(outcome_unknown()),
        }
    }

    async fn progress(&self, progress: Progress) -> RpcResult<Entries> {
        match self.call(|reply| Call::Progress(progress, reply)).await? {
            Reply::Entries(entries) => Ok(*entries),
            Reply::SubmitResult(_) => Err(outcome_unknown()),
        }
    }

    async fn tree(&self) -> RpcResult<VersionedTree> {
        self.call(Call::Tree).await?.map_err(|err| unavailable(&err.to_string()))
    }

    async fn history(&self) -> RpcResult<Vec<HistoryEntry>> {
        self.call(Call::History).await?.map_err(|err| unavailable(&err.to_string()))
    }

    async fn status(&self) -> RpcResult<ControlStatus> {
        self.call(Call::Status).await
    }

    async fn deliver(&self, envelope: String) -> RpcResult<Option<String>> {
        // A VM without keys runs alone and accepts no messages.
        let Some(signer) = &self.signer else { return Ok(None) };
        let Ok(envelope) = signer.verify(unix_time(), &envelope) else {
            _ = self.calls.try_send(Call::RefusedMessage);
            return Ok(None);
        };
        let answer = self.call(|reply| Call::Deliver(envelope, reply)).await?;
        Ok(answer.and_then(|answer| signer.sign(unix_time(), &answer).ok()))
    }
}

#[cold]
fn outcome_unknown() -> ErrorObjectOwned {
    let message = "the outcome is unknown; send the same request again, here or elsewhere";
    ErrorObjectOwned::owned(UNKNOWN_CODE, message, None::<()>)
}

#[cold]
fn unavailable(message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(UNAVAILABLE_CODE, message, None::<()>)
}

#[cold]
fn shutting_down() -> ErrorObjectOwned {
    unavailable("the control VM is stopping; try another")
}

/// Starts a control node, which runs until the returned handle is stopped.
///
/// # Errors
///
/// Fails when the key file, the data folder or the listen address cannot be used.
pub async fn run_control(settings: Settings<ControlSettings, Checked>) -> Result<ServerHandle> {
    let signer = signer(&settings)?;
    let (storage, recovered) = writer::open(&settings.data)?;
    let endpoint = ControlEndpoint { name: settings.name.clone(), addr: settings.listen };
    log::info!(
        "serving on {} as replica {} with {} log entries after snapshot {}",
        settings.listen,
        recovered.id,
        recovered.entries.len(),
        recovered.snapshot.last_entry.index
    );
    let node = ControlNode::new(Time::ZERO, endpoint, recovered, settings.voters.clone())?;
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_LEN)
        .max_response_body_size(MAX_MESSAGE_LEN)
        .build();
    let server = Server::builder().set_config(config).build(settings.listen).await;
    let server = server.map_err(|err| {
        let message = format!("{err}; free the address or choose another");
        Error::settings(message).with_path("listen")
    })?;
    let (calls, call_queue) = mpsc::channel(QUEUE_LEN);
    let handle = server.start(Api { calls, signer: signer.clone() }.into_rpc());
    let (events, storage_events) = mpsc::unbounded_channel();
    let (responses, response_queue) = mpsc::channel(QUEUE_LEN);
    let writer_jobs = writer::start(settings.data.clone(), storage, events, None);
    let event_loop = EventLoop {
        node,
        writer_jobs,
        epoch: 0,
        senders: BTreeMap::new(),
        responses,
        signer,
        pending_replies: BTreeMap::new(),
        pending_reads: BTreeMap::new(),
        tickets: Tickets::new(),
        started_at: Instant::now(),
    };
    tokio::spawn(event_loop.serve(call_queue, storage_events, response_queue));
    Ok(handle)
}

fn signer(settings: &ControlSettings) -> Result<Option<Signer>> {
    let keys = match &settings.keys {
        Some(path) => Some(Keys::load(path)?),
        None => settings.insecure.then(Keys::insecure),
    };
    Ok(keys.map(Signer::new))
}

/// Returns the time since the Unix epoch, which selects the key of a message.
fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

struct EventLoop {
    node: ControlNode,
    writer_jobs: mpsc::UnboundedSender<Job>,
    /// Recoveries of the data folder so far; tags each write.
    epoch: u64,
    /// Outgoing queue of each control VM.
    senders: BTreeMap<SocketAddr, mpsc::Sender<Envelope>>,
    /// Queue of messages received in response to sent ones.
    responses: mpsc::Sender<Envelope>,
    signer: Option<Signer>,
    /// Submitted commands and progress reports without a reply yet, by ticket.
    pending_replies: BTreeMap<u64, oneshot::Sender<Reply>>,
    /// Read calls whose result is not confirmed yet, by ticket.
    pending_reads: BTreeMap<u64, Call>,
    tickets: Tickets,
    started_at: Instant,
}

impl EventLoop {
    async fn serve(
        mut self,
        mut call_queue: mpsc::Receiver<Call>,
        mut storage_events: mpsc::UnboundedReceiver<ControlEvent>,
        mut response_queue: mpsc::Receiver<Envelope>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        loop {
            let event = tokio::select! {
                Some(event) = storage_events.recv() => Some(event),
                Some(envelope) = response_queue.recv() => Some(ControlEvent::Message(envelope)),
                call = call_queue.recv() => match call {
                    Some(call) => self.handle_call(call),
                    None => return,
                },
                _ = ticks.tick() => Some(ControlEvent::Tick),
            };
            if let Some(event) = event {
                self.handle_event(event);
            }
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.started_at.elapsed()
    }

    /// Answers a call at once, or returns the event to pass to the node.
    fn handle_call(&mut self, call: Call) -> Option<ControlEvent> {
        let now = self.now();
        match call {
            Call::Submit(submission, reply) => {
                let ticket = self.add_pending(reply);
                Some(ControlEvent::Submit { ticket, submission })
            }
            Call::Progress(progress, reply) => {
                let ticket = self.add_pending(reply);
                Some(ControlEvent::Progress { ticket, progress })
            }
            Call::Deliver(envelope, reply) => {
                self.handle_message(envelope, reply);
                None
            }
            Call::RefusedMessage => {
                self.node.count_refused();
                None
            }
            Call::Tree(_) | Call::History(_) => {
                let ticket = self.tickets.next();
                self.pending_reads.insert(ticket, call);
                Some(ControlEvent::Read { ticket })
            }
            Call::Status(reply) => {
                _ = reply.send(self.node.status(now));
                None
            }
        }
    }

    fn add_pending(&mut self, reply: oneshot::Sender<Reply>) -> u64 {
        let ticket = self.tickets.next();
        self.pending_replies.insert(ticket, reply);
        ticket
    }

    /// Handles a message from another control VM. The first message to its sender is returned as
    /// the response to the RPC call.
    fn handle_message(&mut self, envelope: Envelope, reply: oneshot::Sender<Option<Envelope>>) {
        let sender_addr = envelope.endpoint.addr;
        let actions = self.step_node(ControlEvent::Message(envelope));
        let mut answer = None;
        for action in actions {
            match action {
                ControlAction::Send { to, envelope } if to == sender_addr && answer.is_none() => {
                    answer = Some(envelope);
                }
                action => self.execute(action),
            }
        }
        _ = reply.send(answer);
    }

    fn handle_event(&mut self, event: ControlEvent) {
        for action in self.step_node(event) {
            self.execute(action);
        }
    }

    fn step_node(&mut self, event: ControlEvent) -> Vec<ControlAction> {
        self.epoch += u64::from(matches!(event, ControlEvent::Recovered(_)));
        let (actions, changed) = self.node.handle_logged(self.now(), event);
        if let Some(state) = changed {
            log::info!("{state}");
        }
        actions
    }

    fn execute(&mut self, action: ControlAction) {
        let (ticket, reply) = match action {
            ControlAction::Write(write) => {
                _ = self.writer_jobs.send(Job::WriteLog(self.epoch, write));
                return;
            }
            ControlAction::Send { to, envelope } => return self.send(to, envelope),
            ControlAction::ReadResult { ticket, fresh } => return self.finish_read(ticket, fresh),
            ControlAction::SubmitResult { ticket, result } => (ticket, Reply::SubmitResult(result)),
            ControlAction::Entries { ticket, entries } => {
                (ticket, Reply::Entries(Box::new(entries)))
            }
        };
        if let Some(sender) = self.pending_replies.remove(&ticket) {
            _ = sender.send(reply);
        }
    }

    fn finish_read(&mut self, ticket: u64, fresh: bool) {
        let machine = || match fresh {
            true => Ok(self.node.machine()),
            false => Err(self.node.not_leader_error()),
        };
        match self.pending_reads.remove(&ticket) {
            Some(Call::Tree(reply)) => {
                let result = machine().map(|machine| {
                    let state = machine.state();
                    VersionedTree { index: state.index, tree: state.tree.clone() }
                });
                _ = reply.send(result);
            }
            Some(Call::History(reply)) => {
                _ = reply.send(machine().map(|machine| machine.history().to_vec()));
            }
            _ => {}
        }
    }

    /// Queues a message; drops it when the queue is full, as the network may drop it.
    fn send(&mut self, to: SocketAddr, envelope: Envelope) {
        let Some(signer) = &self.signer else { return };
        let responses = &self.responses;
        let start = || spawn_sender(to, signer.clone(), responses.clone());
        let sender = self.senders.entry(to).or_insert_with(start);
        _ = sender.try_send(envelope);
    }
}

fn spawn_sender(
    to: SocketAddr,
    signer: Signer,
    responses: mpsc::Sender<Envelope>,
) -> mpsc::Sender<Envelope> {
    let (sender, mut envelopes) = mpsc::channel::<Envelope>(QUEUE_LEN);
    tokio::spawn(async move {
        let Ok(client) = rpc::client(to) else { return };
        while let Some(envelope) = envelopes.recv().await {
            let Ok(text) = signer.sign(unix_time(), &envelope) else { continue };
            match client.deliver(text).await {
                Ok(Some(answer)) => {
                    if let Ok(answer) = signer.verify(unix_time(), &answer) {
                        _ = responses.try_send(answer);
                    }
                }
                Ok(None) => {}
                // Messages queued for an unreachable VM are stale by the time it is back.
                Err(_) => while envelopes.try_recv().is_ok() {},
            }
        }
    });
    sender
}
