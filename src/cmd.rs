//! The command line of `shallotctl`: one module for each subcommand.

mod apply;
mod check;
mod completions;
mod diff;
mod drain;
mod exit;
mod explain;
mod get;
mod key;
mod list;
mod load;
mod lookup;
mod operator;
mod remove;
mod rollback;
mod shift;
mod slopes;
mod status;

use anyhow::Result;
use clap::{Parser, Subcommand};

pub use exit::Exit;

/// A command or subcommand with its parsed arguments.
pub trait Run {
    /// Runs the command and returns the exit code of the program.
    ///
    /// # Errors
    /// Any failure without an exit code of its own; the program then exits with 1.
    fn run(&self) -> Result<Exit>;
}

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed; the message names the step and the peer
  2  invalid command line
  3  conflict with another change; nothing was changed
  4  not found
  5  done, but some entry VMs have not confirmed it
  6  invalid input; nothing was changed";

/// Manages a fleet of shallotstall daemons.
#[derive(Debug, Parser)]
#[command(name = "shallotctl", version, after_help = EXIT_CODES)]
pub struct Cmd {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Debug, Subcommand)]
enum Verb {
    Apply(apply::Apply),
    Check(check::Check),
    Completions(completions::Completions),
    Diff(diff::Diff),
    Drain(drain::Drain),
    Explain(explain::Explain),
    Get(get::Get),
    Key(key::Key),
    List(list::List),
    Load(load::Load),
    Lookup(lookup::Lookup),
    Remove(remove::Remove),
    Rollback(rollback::Rollback),
    Shift(shift::Shift),
    Slopes(slopes::Slopes),
    Status(status::Status),
    Undrain(drain::Undrain),
}

impl Run for Cmd {
    fn run(&self) -> Result<Exit> {
        match &self.verb {
            Verb::Apply(cmd) => cmd.run(),
            Verb::Check(cmd) => cmd.run(),
            Verb::Completions(cmd) => cmd.run(),
            Verb::Diff(cmd) => cmd.run(),
            Verb::Drain(cmd) => cmd.run(),
            Verb::Explain(cmd) => cmd.run(),
            Verb::Get(cmd) => cmd.run(),
            Verb::Key(cmd) => cmd.run(),
            Verb::List(cmd) => cmd.run(),
            Verb::Load(cmd) => cmd.run(),
            Verb::Lookup(cmd) => cmd.run(),
            Verb::Remove(cmd) => cmd.run(),
            Verb::Rollback(cmd) => cmd.run(),
            Verb::Shift(cmd) => cmd.run(),
            Verb::Slopes(cmd) => cmd.run(),
            Verb::Status(cmd) => cmd.run(),
            Verb::Undrain(cmd) => cmd.run(),
        }
    }
}
