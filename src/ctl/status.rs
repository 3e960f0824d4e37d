//! `galenactl status`.

use argh::FromArgs;

use super::{client::ControlClient, output};
use crate::{control::ControlStatus, error::Result, rpc::ControlApiClient};

/// Print the state of the control VMs, the availability zones taken out and the drained servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(super) struct Status {}

impl Status {
    pub(super) async fn run(self, client: &ControlClient, json: bool) -> Result<()> {
        let status = client.read(|client| async move { client.status().await }).await?;
        if json {
            return output::print_json(&status);
        }
        print_status(&status);
        Ok(())
    }
}

fn print_status(status: &ControlStatus) {
    let leader = status.leader.as_deref().unwrap_or("none known");
    println!("{} in term {}, leader: {leader}", status.name, status.term);
    println!("entries committed: {}, commands applied: {}", status.commit, status.index);
    if let Some(margin) = status.margin {
        println!("voters that the log may still lose: {margin}");
    }
    println!("zones out: {}", join_names(&status.zones_out));
    println!("servers drained: {}\n", join_names(&status.drains));
    let or_dash = |value: Option<u64>| value.map_or_else(|| "-".into(), |value| value.to_string());
    let rows = status.members.iter().map(|member| {
        let part = if member.voter { "voter" } else { "observer" };
        vec![
            member.name.to_string(),
            member.replica.to_string(),
            part.to_owned(),
            or_dash(member.synced),
            or_dash(member.silent_ms),
        ]
    });
    output::print_table(&["name", "replica", "part", "synced", "silent ms"], rows);
}

fn join_names(names: &[crate::Name]) -> String {
    if names.is_empty() { "none".into() } else { names.join(", ") }
}
