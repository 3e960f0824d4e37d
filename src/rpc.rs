//! JSON-RPC API of the control VMs, called by entry VMs, operators and other control VMs.

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

/// JSON-RPC error code of a call whose outcome is unknown.
pub const UNKNOWN_CODE: i32 = -32001;
/// JSON-RPC error code of a call that had no effect and may succeed on another control VM.
pub const UNAVAILABLE_CODE: i32 = -32002;

/// Largest request or response, in bytes; holds a snapshot of the whole state in hexadecimal form.
pub(crate) const MAX_MESSAGE_LEN: u32 = 64 << 20;
/// Time-out of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The settings tree at a point in the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionedTree {
    /// Number of commands applied to the tree; a change based on it names this number.
    pub index: u64,
    /// The settings tree.
    pub tree: Tree,
}

/// Methods of a control VM.
#[rpc(server, client, namespace = "control")]
pub trait ControlApi {
    /// Commits a command to the log and returns its outcome.
    #[method(name = "submit")]
    async fn submit(&self, command: Command) -> std::result::Result<Outcome, ErrorObjectOwned>;

    /// Commits an operator's change to the log and returns its outcome.
    #[method(name = "change")]
    async fn change(
        &self,
        submission: Submission,
    ) -> std::result::Result<Outcome, ErrorObjectOwned>;

    /// Accepts the progress report of a VM, renews its lease, and returns the entries that it
    /// lacks.
    #[method(name = "progress")]
    async fn progress(&self, progress: Progress) -> std::result::Result<Entries, ErrorObjectOwned>;

    /// Returns the current settings tree; only the leader answers.
    #[method(name = "tree")]
    async fn tree(&self) -> std::result::Result<VersionedTree, ErrorObjectOwned>;

    /// Returns the operators' changes, oldest first; only the leader answers.
    #[method(name = "history")]
    async fn history(&self) -> std::result::Result<Vec<HistoryEntry>, ErrorObjectOwned>;

    /// Returns the local status of this control VM.
    #[method(name = "status")]
    async fn status(&self) -> std::result::Result<ControlStatus, ErrorObjectOwned>;

    /// Accepts a message from another control VM and returns the immediate response to it, if any.
    /// Both are sealed by [`crate::Signer::sign`].
    #[method(name = "deliver")]
    async fn deliver(
        &self,
        envelope: String,
    ) -> std::result::Result<Option<String>, ErrorObjectOwned>;
}

/// Creates a client of the control VM at `addr`.
///
/// # Errors
///
/// Fails when the client cannot be created.
pub fn client(addr: SocketAddr) -> Result<HttpClient> {
    HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .max_request_size(MAX_MESSAGE_LEN)
        .max_response_size(MAX_MESSAGE_LEN)
        .build(format!("http://{addr}"))
        .map_err(|err| Error::unavailable(format!("no client for control VM {addr}: {err}")))
}
