//! `galenactl get` and `galenactl history`.

use argh::FromArgs;

use super::{client::ControlClient, output};
use crate::{
    error::{Error, Result},
    name::Name,
    rpc::ControlApiClient,
    state::Outcome,
    tree::RevisedBranch,
};

/// Print the branches of all teams, or of one.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(super) struct Get {
    /// only this team's branch
    #[argh(option)]
    team: Option<String>,
}

impl Get {
    pub(super) async fn run(self, client: &ControlClient, json: bool) -> Result<()> {
        let reading = client.read(|client| async move { client.tree().await }).await?;
        let Some(team) = self.team else {
            if json {
                return output::print_json(&reading);
            }
            for (team, revised) in &reading.tree.teams {
                print_branch(team, revised)?;
            }
            return Ok(());
        };
        let team = Name::from(team);
        let revised = reading.tree.teams.get(&team).cloned().unwrap_or_default();
        if json { output::print_json(&revised) } else { print_branch(&team, &revised) }
    }
}

fn print_branch(team: &str, revised: &RevisedBranch) -> Result<()> {
    let text = toml::to_string(&revised.branch)
        .map_err(|err| Error::config(format!("no TOML can be made: {err}; use --json")))?;
    println!("# team {team}, revision {}\n{text}", revised.revision);
    Ok(())
}

/// Print the latest changes made by operators.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(super) struct History {
    /// number of changes, 20 by default
    #[argh(option, default = "20")]
    last: usize,
}

impl History {
    pub(super) async fn run(self, client: &ControlClient, json: bool) -> Result<()> {
        let mut past = client.read(|client| async move { client.history().await }).await?;
        past.drain(..past.len().saturating_sub(self.last));
        if json {
            return output::print_json(&past);
        }
        let rows = past.into_iter().map(|past| {
            let outcome = match past.outcome {
                Outcome::Accepted { revision: 0 } => "accepted".to_owned(),
                Outcome::Accepted { revision } => format!("accepted, revision {revision}"),
                Outcome::Refused { message } => format!("refused: {message}"),
            };
            let author = past.author.as_deref().unwrap_or("-").to_owned();
            vec![past.index.to_string(), author, past.subject.to_string(), outcome]
        });
        output::print_table(&["index", "operator", "change", "outcome"], rows);
        Ok(())
    }
}
