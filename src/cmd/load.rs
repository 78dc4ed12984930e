//! `load`: an open-loop load generator.

use anyhow::Result;
use clap::Args;

use super::{Exit, Run};

/// Send load.
#[derive(Args, Debug)]
pub(crate) struct Load {}

impl Run for Load {
    fn run(&self) -> Result<Exit> {
        Ok(Exit::Done)
    }
}
