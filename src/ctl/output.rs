//! Output for people and scripts.

use comfy_table::{Table, presets};
use serde::Serialize;

use crate::{
    control::accepted_revision,
    error::{Error, Result},
    state::Outcome,
};

/// Prints `value` as JSON.
pub(super) fn print_json(value: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|err| Error::config(format!("no JSON can be made: {err}; report this")))?;
    println!("{text}");
    Ok(())
}

/// Prints a table without borders under an upper-case header.
pub(super) fn print_table(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header.iter().map(|text| text.to_uppercase()));
    for row in rows {
        table.add_row(row);
    }
    println!("{table}");
}

/// Prints the outcome of a change; a refusal is returned as an error.
pub(super) fn print_outcome(outcome: Outcome, as_json: bool) -> Result<()> {
    if as_json {
        print_json(&outcome)?;
    }
    let revision = accepted_revision(outcome)?;
    if !as_json {
        match revision {
            0 => println!("accepted"),
            revision => println!("accepted, revision {revision}"),
        }
    }
    Ok(())
}
