//! `galenactl plan` and `galenactl apply`.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

use argh::FromArgs;
use serde::{Serialize, de::DeserializeOwned};

use super::{
    client::{ControlClient, RequestArg},
    output,
};
use crate::{
    error::{Error, Result},
    name::Name,
    rpc::ControlApiClient,
    state::Command,
    tree::{Branch, Rights},
};

/// Validate a new branch and print what it would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub(super) struct Plan {
    /// the team
    #[argh(option)]
    team: String,
    /// the new branch (TOML)
    #[argh(positional)]
    file: PathBuf,
}

/// A value that differs between the current and the new branch.
#[derive(Serialize)]
struct Difference {
    path: String,
    now: Option<String>,
    planned: Option<String>,
}

/// The effect of a new branch, printed as JSON.
#[derive(Serialize)]
struct PlannedChange {
    team: Name,
    /// Revision that the change has to be based on.
    base: u64,
    differences: Vec<Difference>,
}

impl Plan {
    pub(super) async fn run(self, client: &ControlClient, json: bool) -> Result<()> {
        let branch: Branch = read_toml(&self.file)?;
        let mut reading = client.read(|client| async move { client.tree().await }).await?;
        let team = Name::from(self.team);
        let current = reading.tree.teams.get(&team).cloned().unwrap_or_default();
        reading.tree.replace_branch(&team, current.revision, branch.clone())?;
        let differences = differences(&branch_values(&current.branch)?, &branch_values(&branch)?);
        let plan = PlannedChange { team, base: current.revision, differences };
        if json {
            return output::print_json(&plan);
        }
        if plan.differences.is_empty() {
            println!("nothing would change");
            return Ok(());
        }
        let cell = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".into());
        let rows = plan.differences.iter().map(|difference| {
            vec![difference.path.clone(), cell(&difference.now), cell(&difference.planned)]
        });
        output::print_table(&["path", "now", "planned"], rows);
        println!("\napply with --team {} --base {}", plan.team, plan.base);
        Ok(())
    }
}

/// Replace the branch of a team, or the rights.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(super) struct Apply {
    /// the team
    #[argh(option)]
    team: Option<String>,
    /// replace the rights instead of a team's branch
    #[argh(switch)]
    rights: bool,
    /// revision that the change is based on
    #[argh(option)]
    base: u64,
    /// repeat the request with this id, whose outcome was unknown
    #[argh(option)]
    request: Option<RequestArg>,
    /// the new branch (TOML)
    #[argh(positional)]
    file: PathBuf,
}

impl Apply {
    pub(super) async fn run(self, client: &ControlClient, json: bool) -> Result<()> {
        let base = self.base;
        let command = match (self.team, self.rights) {
            (Some(team), false) => {
                Command::Apply { team: team.into(), base, branch: read_toml::<Branch>(&self.file)? }
            }
            (None, true) => Command::Rights { base, rights: read_toml::<Rights>(&self.file)? },
            _ => return Err(Error::settings("name a --team, or --rights")),
        };
        let request = client.request(self.request).await?;
        output::print_outcome(client.change(request, command).await?, json)
    }
}

/// Reads a TOML file.
fn read_toml<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|err| {
        let message = format!("cannot be read ({err}); name a readable file");
        Error::settings(message).with_path(name.clone())
    })?;
    toml::from_str(&text).map_err(|err| {
        let message = format!("{err}correct the file at that place");
        Error::config(message).with_path(name)
    })
}

/// Returns the values of a branch by their dotted path.
fn branch_values(branch: &Branch) -> Result<BTreeMap<String, String>> {
    let value = toml::Value::try_from(branch)
        .map_err(|err| Error::config(format!("no TOML can be made: {err}; report this")))?;
    let mut values = BTreeMap::new();
    flatten("", &value, &mut values);
    Ok(values)
}

fn flatten(path: &str, value: &toml::Value, values: &mut BTreeMap<String, String>) {
    let toml::Value::Table(table) = value else {
        values.insert(path.to_owned(), value.to_string());
        return;
    };
    for (key, value) in table {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        flatten(&path, value, values);
    }
}

fn differences(
    now: &BTreeMap<String, String>,
    planned: &BTreeMap<String, String>,
) -> Vec<Difference> {
    let paths: BTreeSet<_> = now.keys().chain(planned.keys()).collect();
    let differing = paths.into_iter().filter(|path| now.get(*path) != planned.get(*path));
    let difference = |path: &String| Difference {
        path: path.clone(),
        now: now.get(path).cloned(),
        planned: planned.get(path).cloned(),
    };
    differing.map(difference).collect()
}
