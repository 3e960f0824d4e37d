//! A client that tries several control VMs in turn until one answers.

use std::{fs, future::Future, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use jsonrpsee::{core::client::Error as CallError, http_client::HttpClient};

use crate::{
    control::{Request, Submission},
    error::{Error, Result},
    name::Name,
    rpc::{self, ControlApiClient, UNAVAILABLE_CODE},
    state::{Command, Outcome},
};

/// Number of attempts per control VM.
const MAX_ROUNDS: u32 = 16;
/// Pause between two rounds; an election takes a few of them.
const ROUND_DELAY: Duration = Duration::from_millis(400);

/// A client for the control VMs given on the command line, with the operator's token.
pub(super) struct ControlClient {
    clients: Vec<(SocketAddr, HttpClient)>,
    token: Option<Name>,
}

/// The result of a call to one control VM.
enum CallResult<T> {
    /// The call succeeded.
    Done(T),
    /// The call was refused; no other control VM is tried.
    Refused(Error),
    /// The call had no effect and may be retried.
    NotApplied(Error),
    /// The call may have had an effect; retrying it as the same request is safe.
    Unknown(Error),
}

impl ControlClient {
    pub(super) fn new(control: Vec<SocketAddr>, token: Option<PathBuf>) -> Result<ControlClient> {
        if control.is_empty() {
            let message = "no control VM named; name at least one (--control ADDRESS:PORT)";
            return Err(Error::settings(message));
        }
        let clients = control.into_iter().map(|addr| Ok((addr, rpc::client(addr)?)));
        let clients = clients.collect::<Result<_>>()?;
        let token = token.map(|path| {
            let read = fs::read_to_string(&path).map_err(|err| {
                let message = format!("cannot be read ({err}); name a readable token file");
                Error::settings(message).with_path(path.display().to_string())
            });
            read.map(|text| Name::from(text.trim()))
        });
        Ok(ControlClient { clients, token: token.transpose()? })
    }

    /// Reads from the first control VM that answers.
    pub(super) async fn read<T, F>(&self, call: impl Fn(HttpClient) -> F) -> Result<T>
    where
        F: Future<Output = std::result::Result<T, CallError>>,
    {
        let mut last = None;
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_DELAY).await;
            }
            for (addr, client) in &self.clients {
                match classify(*addr, call(client.clone()).await) {
                    CallResult::Done(value) => return Ok(value),
                    CallResult::Refused(err) => return Err(err),
                    CallResult::NotApplied(err) | CallResult::Unknown(err) => last = Some(err),
                }
            }
        }
        Err(last.unwrap_or_else(|| Error::unavailable("no control VM answered; try again later")))
    }

    /// Submits a change until a control VM reports its outcome.
    ///
    /// Every attempt carries the same request id, so that the change is applied at most once.
    pub(super) async fn change(&self, request: Request, command: Command) -> Result<Outcome> {
        let token = self.token.clone();
        let submission = Submission { request: Some(request), token, command };
        let mut unknown = false;
        let mut last = None;
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_DELAY).await;
            }
            for (addr, client) in &self.clients {
                match classify(*addr, client.change(submission.clone()).await) {
                    CallResult::Done(outcome) => return Ok(outcome),
                    CallResult::Refused(err) => return Err(err),
                    CallResult::NotApplied(err) => last = Some(err),
                    CallResult::Unknown(err) => {
                        unknown = true;
                        last = Some(err);
                    }
                }
            }
        }
        let last = last.map(|err| err.to_string()).unwrap_or_default();
        let message = if unknown {
            let request = RequestArg(request);
            format!("{last}; whether the change ran is unknown: repeat it with --request {request}")
        } else {
            format!("{last}; the change was not made: try again later")
        };
        Err(Error::unavailable(message))
    }

    /// Returns the request given on the command line, or a new one.
    pub(super) async fn request(&self, given: Option<RequestArg>) -> Result<Request> {
        if let Some(RequestArg(request)) = given {
            return Ok(request);
        }
        let reading = self.read(|client| async move { client.tree().await }).await?;
        Ok(Request { id: rand::random(), made: reading.index })
    }
}

fn classify<T>(addr: SocketAddr, result: std::result::Result<T, CallError>) -> CallResult<T> {
    let err = match result {
        Ok(value) => return CallResult::Done(value),
        Err(err) => err,
    };
    let unavailable = |text: String| Error::unavailable(format!("control VM {addr}: {text}"));
    match err {
        CallError::Call(object) if object.code() == UNAVAILABLE_CODE => {
            CallResult::NotApplied(unavailable(object.message().to_owned()))
        }
        CallError::Call(object) if object.code() == rpc::UNKNOWN_CODE => {
            CallResult::Unknown(unavailable(object.message().to_owned()))
        }
        CallError::Call(object) => {
            let message = format!("control VM {addr}: {}; use one version", object.message());
            CallResult::Refused(Error::config(message))
        }
        err => CallResult::Unknown(unavailable(err.to_string())),
    }
}

/// A request on the command line, in the form `ID:MADE`.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestArg(pub(super) Request);

impl FromStr for RequestArg {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<RequestArg, String> {
        let parts = text.split_once(':');
        let parts = parts.and_then(|(id, made)| {
            Some(Request { id: u64::from_str_radix(id, 16).ok()?, made: made.parse().ok()? })
        });
        let remedy = "is no request; repeat what galenactl printed after --request";
        parts.map(RequestArg).ok_or_else(|| format!("{text:?} {remedy}"))
    }
}

impl std::fmt::Display for RequestArg {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}:{}", self.0.id, self.0.made)
    }
}
