//! `completions`: prints shell completions.

use anyhow::Result;
use clap::{Args, CommandFactory};
use clap_complete::Shell;

use super::{Cmd, Exit, Run};

/// Print the completion script for a shell.
#[derive(Args, Debug)]
pub(crate) struct Completions {
    /// The shell.
    shell: Shell,
}

impl Run for Completions {
    fn run(&self) -> Result<Exit> {
        let mut command = Cmd::command();
        clap_complete::generate(self.shell, &mut command, "shallotctl", &mut std::io::stdout());
        Ok(Exit::Done)
    }
}
