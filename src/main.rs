//! `shallotctl`: the operators' command-line tool.

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
