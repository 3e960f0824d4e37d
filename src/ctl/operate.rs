//! `galenactl zone` and `galenactl drain`.

use argh::FromArgs;

use super::{
    client::{ControlClient, RequestArg},
    output,
};
use crate::{
    error::{Error, Result},
    state::Command,
};

/// Take an availability zone out of service or back in.
#[derive(FromArgs)]
#[argh(subcommand, name = "zone")]
pub(super) struct Zone {
    /// repeat the request with this id, whose outcome was unknown
    #[argh(option)]
    request: Option<RequestArg>,
    /// out or in
    #[argh(positional)]
    direction: String,
    /// the availability zone
    #[argh(positional)]
    zone: String,
}

impl Zone {
    pub(super) async fn run(self, client: &ControlClient, json: bool) -> Result<()> {
        let out = match &*self.direction {
            "out" => true,
            "in" => false,
            other => {
                let message = format!("{other:?} is no direction; say out or in");
                return Err(Error::settings(message));
            }
        };
        let request = client.request(self.request).await?;
        let command = Command::Zone { zone: self.zone.into(), out };
        output::print_outcome(client.change(request, command).await?, json)
    }
}

/// Drain a backend server, or let it accept new work again.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(super) struct Drain {
    /// end the drain: let the server accept new work again
    #[argh(switch)]
    end: bool,
    /// repeat the request with this id, whose outcome was unknown
    #[argh(option)]
    request: Option<RequestArg>,
    /// the backend server
    #[argh(positional)]
    server: String,
}

impl Drain {
    pub(super) async fn run(self, client: &ControlClient, json: bool) -> Result<()> {
        let request = client.request(self.request).await?;
        let command = Command::Drain { server: self.server.into(), draining: !self.end };
        output::print_outcome(client.change(request, command).await?, json)
    }
}
