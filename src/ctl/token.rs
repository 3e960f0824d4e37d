//! `galenactl token`.

use argh::FromArgs;
use serde::Serialize;

use super::output;
use crate::{
    error::Result,
    name::check_name,
    tree::{Access, check_secret},
};

/// Generate a token for an operator; the rights contain only its hash.
#[derive(FromArgs)]
#[argh(subcommand, name = "token")]
pub(super) struct Token {
    /// name of the operator
    #[argh(positional)]
    name: String,
}

/// A new token, printed as JSON.
#[derive(Serialize)]
struct NewToken {
    token: String,
    grant: Access,
}

impl Token {
    pub(super) fn run(self, json: bool) -> Result<()> {
        let name = check_name(&self.name)?;
        let secret = format!("{:032x}", rand::random::<u128>());
        check_secret(&secret)?;
        let salt = format!("{:016x}", rand::random::<u64>());
        let new =
            NewToken { token: format!("{name}:{secret}"), grant: Access::new(&salt, &secret) };
        if json {
            return output::print_json(&new);
        }
        println!("token, for the operator's token file:\n{}\n", new.token);
        println!("for the rights (galenactl apply --rights):");
        println!("[tokens.{name}]\nsalt = \"{salt}\"\nhash = \"{}\"", new.grant.hash);
        println!("teams = []\noperations = false\nadmin = false");
        Ok(())
    }
}
