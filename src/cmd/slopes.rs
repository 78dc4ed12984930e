//! `slopes`: measures what docs/CAPACITY.md is worked out from.

use anyhow::Result;
use clap::Args;

use super::{Exit, Run};

/// Measure slopes.
#[derive(Args, Debug)]
pub(crate) struct Slopes {}

impl Run for Slopes {
    fn run(&self) -> Result<Exit> {
        Ok(Exit::Done)
    }
}
