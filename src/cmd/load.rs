//! `load`: an open-loop load generator.

use std::collections::BTreeMap;
use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::Args;

use crate::load::{Scenario, run};

use super::{Exit, Run};

/// Send the load of a scenario and report what became of it.
#[derive(Args, Debug)]
pub(crate) struct Load {
    /// The scenario.
    scenario: PathBuf,
    /// Addresses of entry VMs to ask first.
    #[arg(long = "entry", value_name = "HOST:PORT", required = true)]
    entries: Vec<String>,
    /// TOML file with the key of each customer.
    #[arg(long)]
    keys: PathBuf,
    /// Fault ports of stand-in targets, whose runs are counted at the end.
    #[arg(long = "target", value_name = "HOST:PORT")]
    targets: Vec<String>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

impl Run for Load {
    fn run(&self) -> Result<Exit> {
        let scenario = Scenario::read(&self.scenario)?;
        let text = std::fs::read_to_string(&self.keys)
            .with_context(|| format!("read {}", self.keys.display()))?;
        let keys: BTreeMap<String, String> =
            toml::from_str(&text).with_context(|| format!("read {}", self.keys.display()))?;
        let runtime = tokio::runtime::Runtime::new().context("start the runtime")?;
        let report = runtime.block_on(run(&scenario, &self.entries, &keys, &self.targets))?;
        if self.json {
            println!("{}", serde_json::to_string_pretty(&report)?);
        } else {
            println!("{report}");
        }
        let whole = report.lost() == 0 && report.run_twice == 0;
        Ok(if whole { Exit::Done } else { Exit::Failed })
    }
}
