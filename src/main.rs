//! `shallotctl`: the command-line tool of operators.

use std::process::ExitCode;

use clap::Parser;
use shallotstall::cmd::{Cmd, Run};

fn main() -> ExitCode {
    match Cmd::parse().run() {
        Ok(code) => code.into(),
        Err(e) => {
            eprintln!("shallotctl: {e:#}");
            ExitCode::FAILURE
        }
    }
}
