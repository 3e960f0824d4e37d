//! JSON-RPC between entry VMs, operators and control VMs.

use std::{net::SocketAddr, time::Duration};

use crate::{
    control::{ControlStatus, HistoryEntry, Submission},
    error::{Error, Result},
    spread::{Entries, Progress},
    state::{Command, Outcome},
    tree::Tree,
};
use jsonrpsee::{
    http_client::{HttpClient, HttpClientBuilder},
    proc_macros::rpc,
    types::ErrorObjectOwned,
};
use serde::{Deserialize, Serialize};

/// JSON-RPC error code of a command whose fate is unknown.
pub const UNKNOWN_CODE: i32 = -32001;
/// JSON-RPC error code of a call that had no effect; another control VM may answer it.
pub const UNAVAILABLE_CODE: i32 = -32002;

/// Largest message, in bytes: a snapshot of the whole state in hexadecimal digits.
pub(crate) const MAX_MESSAGE_LEN: u32 = 64 << 20;
/// Time after which a call is given up.
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// The configuration as operators read it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Reading {
    /// Number of commands that led to it; a change that is made from it names this number.
    pub index: u64,
    /// The settings tree.
    pub tree: Tree,
}

/// What a control VM answers.
#[rpc(server, client, namespace = "control")]
pub trait ControlApi {
    /// Orders a command and returns what it did, once it is synced.
    #[method(name = "submit")]
    async fn submit(&self, command: Command) -> std::result::Result<Outcome, ErrorObjectOwned>;

    /// Orders an operator's change and returns what it did, once it is synced.
    #[method(name = "change")]
    async fn change(
        &self,
        submission: Submission,
    ) -> std::result::Result<Outcome, ErrorObjectOwned>;

    /// Takes a VM's report and returns what the VM lacks; the VM's lease starts anew.
    #[method(name = "progress")]
    async fn progress(&self, progress: Progress) -> std::result::Result<Entries, ErrorObjectOwned>;

    /// Returns the configuration in force; only the leader answers.
    #[method(name = "tree")]
    async fn tree(&self) -> std::result::Result<Reading, ErrorObjectOwned>;

    /// Returns operators' changes, the oldest first; only the leader answers.
    #[method(name = "history")]
    async fn history(&self) -> std::result::Result<Vec<HistoryEntry>, ErrorObjectOwned>;

    /// Returns what this control VM knows now.
    #[method(name = "status")]
    async fn status(&self) -> std::result::Result<ControlStatus, ErrorObjectOwned>;

    /// Takes a message of another control VM, as [`crate::Envelope::encode`] wrote it, and returns
    /// the message that answers it, where there is one at once.
    #[method(name = "deliver")]
    async fn deliver(
        &self,
        envelope: String,
    ) -> std::result::Result<Option<String>, ErrorObjectOwned>;
}

/// Returns a client of the control VM at `addr`.
///
/// # Errors
///
/// Fails when no client can be made for `addr`.
pub fn client(addr: SocketAddr) -> Result<HttpClient> {
    HttpClientBuilder::default()
        .request_timeout(CALL_LIMIT)
        .max_request_size(MAX_MESSAGE_LEN)
        .max_response_size(MAX_MESSAGE_LEN)
        .build(format!("http://{addr}"))
        .map_err(|err| Error::unavailable(format!("no client for control VM {addr}: {err}")))
}
