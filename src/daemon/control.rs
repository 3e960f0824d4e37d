//! Shell of the control node.

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
    daemon::writer::{self, Job},
    error::{Error, Result},
    peer::Keys,
    rpc::{
        self, ControlApiClient, ControlApiServer, MAX_MESSAGE_LEN, Reading, UNAVAILABLE_CODE,
        UNKNOWN_CODE,
    },
    settings::{Checked, ControlSettings, Settings},
    spread::{Entries, Progress},
    state::{Command, Outcome},
    time::Time,
};

const QUEUE_LEN: usize = 1024;
const TICK: Duration = Duration::from_millis(20);

type RpcResult<T> = std::result::Result<T, ErrorObjectOwned>;

enum Reply {
    Fate(SubmitResult),
    Entries(Box<Entries>),
}

enum Call {
    Submit(Submission, oneshot::Sender<Reply>),
    Progress(Progress, oneshot::Sender<Reply>),
    Tree(oneshot::Sender<Result<Reading>>),
    History(oneshot::Sender<Result<Vec<HistoryEntry>>>),
    Status(oneshot::Sender<ControlStatus>),
    Deliver(Envelope, oneshot::Sender<Option<Envelope>>),
    /// A message under no known key came.
    Refuse,
}

struct Api {
    calls: mpsc::Sender<Call>,
    signer: Option<Signer>,
}

impl Api {
    async fn call<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> RpcResult<T> {
        let (reply, answer) = oneshot::channel();
        self.calls.send(call(reply)).await.map_err(|_| stopping())?;
        answer.await.map_err(|_| unknown())
    }
}

#[async_trait]
impl ControlApiServer for Api {
    async fn submit(&self, command: Command) -> RpcResult<Outcome> {
        self.change(Submission::new(command)).await
    }

    async fn change(&self, submission: Submission) -> RpcResult<Outcome> {
        match self.call(|reply| Call::Submit(submission, reply)).await? {
            Reply::Fate(SubmitResult::Ordered(outcome)) => Ok(outcome),
            Reply::Fate(SubmitResult::Unavailable) => {
                Err(unavailable("no leader took the command; try another control VM"))
            }
            _ => Err(unknown()),
        }
    }

    async fn progress(&self, progress: Progress) -> RpcResult<Entries> {
        match self.call(|reply| Call::Progress(progress, reply)).await? {
            Reply::Entries(entries) => Ok(*entries),
            Reply::Fate(_) => Err(unknown()),
        }
    }

    async fn tree(&self) -> RpcResult<Reading> {
        self.call(Call::Tree).await?.map_err(|err| unavailable(&err.to_string()))
    }

    async fn history(&self) -> RpcResult<Vec<HistoryEntry>> {
        self.call(Call::History).await?.map_err(|err| unavailable(&err.to_string()))
    }

    async fn status(&self) -> RpcResult<ControlStatus> {
        self.call(Call::Status).await
    }

    async fn deliver(&self, envelope: String) -> RpcResult<Option<String>> {
        // A VM without keys is alone and hears no other.
        let Some(signer) = &self.signer else { return Ok(None) };
        let Ok(envelope) = signer.verify(wall(), &envelope) else {
            _ = self.calls.try_send(Call::Refuse);
            return Ok(None);
        };
        let answer = self.call(|reply| Call::Deliver(envelope, reply)).await?;
        Ok(answer.and_then(|answer| signer.sign(wall(), &answer).ok()))
    }
}

#[cold]
fn unknown() -> ErrorObjectOwned {
    let message = "the outcome is unknown; send the same request again, here or elsewhere";
    ErrorObjectOwned::owned(UNKNOWN_CODE, message, None::<()>)
}

#[cold]
fn unavailable(message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(UNAVAILABLE_CODE, message, None::<()>)
}

#[cold]
fn stopping() -> ErrorObjectOwned {
    unavailable("the control VM is stopping; try another")
}

/// Runs a control node until the returned handle is stopped.
///
/// # Errors
///
/// Fails when the data folder or the address cannot be used.
pub async fn run_control(settings: Settings<ControlSettings, Checked>) -> Result<ServerHandle> {
    let signer = signer(&settings)?;
    let (storage, recovered) = writer::open(&settings.data)?;
    let seat = ControlEndpoint { name: settings.name.clone(), addr: settings.listen };
    log::info!(
        "serving on {} as replica {} with {} log entries after snapshot {}",
        settings.listen,
        recovered.id,
        recovered.entries.len(),
        recovered.snapshot.last_entry.index
    );
    let node = ControlNode::new(Time::ZERO, seat, recovered, settings.voters.clone())?;
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_LEN)
        .max_response_body_size(MAX_MESSAGE_LEN)
        .build();
    let server = Server::builder().set_config(config).build(settings.listen).await;
    let server = server.map_err(|err| {
        let message = format!("{err}; free the address or choose another");
        Error::settings(message).with_path("listen")
    })?;
    let (calls, requests) = mpsc::channel(QUEUE_LEN);
    let handle = server.start(Api { calls, signer: signer.clone() }.into_rpc());
    let (events, reports) = mpsc::unbounded_channel();
    let (answers, answered) = mpsc::channel(QUEUE_LEN);
    let writes = writer::start(settings.data.clone(), storage, events, None);
    let shell = Shell {
        node,
        writes,
        epoch: 0,
        senders: BTreeMap::new(),
        answers,
        signer,
        waiting: BTreeMap::new(),
        reads: BTreeMap::new(),
        ticket: 0,
        origin: Instant::now(),
    };
    tokio::spawn(shell.serve(requests, reports, answered));
    Ok(handle)
}

fn signer(settings: &ControlSettings) -> Result<Option<Signer>> {
    let keys = match &settings.keys {
        Some(path) => Some(Keys::load(path)?),
        None => settings.insecure.then(Keys::insecure),
    };
    Ok(keys.map(Signer::new))
}

/// Returns the time since 1970, by which VMs choose the key of a message.
fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

struct Shell {
    node: ControlNode,
    writes: mpsc::UnboundedSender<Job>,
    epoch: u64,
    senders: BTreeMap<SocketAddr, mpsc::Sender<Envelope>>,
    /// Messages that came as answers to others.
    answers: mpsc::Sender<Envelope>,
    signer: Option<Signer>,
    waiting: BTreeMap<u64, oneshot::Sender<Reply>>,
    /// Calls that wait until their read is confirmed.
    reads: BTreeMap<u64, Call>,
    ticket: u64,
    origin: Instant,
}

impl Shell {
    async fn serve(
        mut self,
        mut requests: mpsc::Receiver<Call>,
        mut reports: mpsc::UnboundedReceiver<ControlEvent>,
        mut answered: mpsc::Receiver<Envelope>,
    ) {
        let mut ticks = interval(TICK);
        loop {
            let event = tokio::select! {
                Some(event) = reports.recv() => Some(event),
                Some(envelope) = answered.recv() => Some(ControlEvent::Message(envelope)),
                call = requests.recv() => match call {
                    Some(call) => self.take(call),
                    None => return,
                },
                _ = ticks.tick() => Some(ControlEvent::Tick),
            };
            if let Some(event) = event {
                self.event(event);
            }
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// Answers a call, or returns the event that it is.
    fn take(&mut self, call: Call) -> Option<ControlEvent> {
        let now = self.now();
        match call {
            Call::Submit(submission, reply) => {
                let ticket = self.wait(reply);
                Some(ControlEvent::Submit { ticket, submission })
            }
            Call::Progress(progress, reply) => {
                let ticket = self.wait(reply);
                Some(ControlEvent::Progress { ticket, progress })
            }
            Call::Deliver(envelope, reply) => {
                self.deliver(envelope, reply);
                None
            }
            Call::Refuse => {
                self.node.count_refused();
                None
            }
            Call::Tree(_) | Call::History(_) => {
                self.ticket += 1;
                self.reads.insert(self.ticket, call);
                Some(ControlEvent::Read { ticket: self.ticket })
            }
            Call::Status(reply) => {
                _ = reply.send(self.node.status(now));
                None
            }
        }
    }

    fn wait(&mut self, reply: oneshot::Sender<Reply>) -> u64 {
        self.ticket += 1;
        self.waiting.insert(self.ticket, reply);
        self.ticket
    }

    /// Handles a message; the first one that goes back to its sender is the answer to the call.
    fn deliver(&mut self, envelope: Envelope, reply: oneshot::Sender<Option<Envelope>>) {
        let back = envelope.endpoint.addr;
        let actions = self.handle(ControlEvent::Message(envelope));
        let mut answer = None;
        for action in actions {
            match action {
                ControlAction::Send { to, envelope } if to == back && answer.is_none() => {
                    answer = Some(envelope);
                }
                action => self.act(action),
            }
        }
        _ = reply.send(answer);
    }

    fn event(&mut self, event: ControlEvent) {
        for action in self.handle(event) {
            self.act(action);
        }
    }

    fn handle(&mut self, event: ControlEvent) -> Vec<ControlAction> {
        self.epoch += u64::from(matches!(event, ControlEvent::Recovered(_)));
        let (actions, changed) = self.node.handle_logged(self.now(), event);
        if let Some(state) = changed {
            log::info!("{state}");
        }
        actions
    }

    fn act(&mut self, action: ControlAction) {
        let (ticket, reply) = match action {
            ControlAction::Write(write) => {
                _ = self.writes.send(Job::Log(self.epoch, write));
                return;
            }
            ControlAction::Send { to, envelope } => return self.send(to, envelope),
            ControlAction::ReadResult { ticket, fresh } => return self.finish_read(ticket, fresh),
            ControlAction::SubmitResult { ticket, result: fate } => (ticket, Reply::Fate(fate)),
            ControlAction::Entries { ticket, entries } => {
                (ticket, Reply::Entries(Box::new(entries)))
            }
        };
        if let Some(sender) = self.waiting.remove(&ticket) {
            _ = sender.send(reply);
        }
    }

    fn finish_read(&mut self, ticket: u64, fresh: bool) {
        let machine = || match fresh {
            true => Ok(self.node.machine()),
            false => Err(self.node.not_leader_error()),
        };
        match self.reads.remove(&ticket) {
            Some(Call::Tree(reply)) => {
                let reading = machine().map(|machine| {
                    let state = machine.state();
                    Reading { index: state.index, tree: state.tree.clone() }
                });
                _ = reply.send(reading);
            }
            Some(Call::History(reply)) => {
                _ = reply.send(machine().map(|machine| machine.history().to_vec()));
            }
            _ => {}
        }
    }

    /// Queues a message; one that finds the queue full is lost like one on the way.
    fn send(&mut self, to: SocketAddr, envelope: Envelope) {
        let Some(signer) = &self.signer else { return };
        let answers = &self.answers;
        let start = || start_sender(to, signer.clone(), answers.clone());
        let sender = self.senders.entry(to).or_insert_with(start);
        _ = sender.try_send(envelope);
    }
}

fn start_sender(
    to: SocketAddr,
    signer: Signer,
    answers: mpsc::Sender<Envelope>,
) -> mpsc::Sender<Envelope> {
    let (sender, mut envelopes) = mpsc::channel::<Envelope>(QUEUE_LEN);
    tokio::spawn(async move {
        let Ok(client) = rpc::client(to) else { return };
        while let Some(envelope) = envelopes.recv().await {
            let Ok(text) = signer.sign(wall(), &envelope) else { continue };
            match client.deliver(text).await {
                Ok(Some(answer)) => {
                    if let Ok(answer) = signer.verify(wall(), &answer) {
                        _ = answers.try_send(answer);
                    }
                }
                Ok(None) => {}
                // What waits for a VM out of reach is out of date by the time it is back.
                Err(_) => while envelopes.try_recv().is_ok() {},
            }
        }
    });
    sender
}
