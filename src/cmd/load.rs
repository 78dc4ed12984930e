//! `load`: runs the load generator.

use std::collections::BTreeMap;
use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::Args;

use crate::load::{Scenario, run};

use super::{Exit, Run};

/// Run a load scenario and report the results.
#[derive(Args, Debug)]
pub(crate) struct Load {
    /// The scenario's file.
    scenario: PathBuf,
    /// Addresses of entry VMs for the first look-ups.
    #[arg(long = "entry", value_name = "HOST:PORT", required = true)]
    entries: Vec<String>,
    /// TOML file with the key of each customer.
    #[arg(long)]
    keys: PathBuf,
    /// Fault ports of stand-in targets, to count the requests that ran more than once.
    #[arg(long = "target", value_name = "HOST:PORT")]
    targets: Vec<String>,
    /// Print JSON instead of text.
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
        let passed = report.lost() == 0 && report.run_twice == 0;
        Ok(if passed { Exit::Done } else { Exit::Failed })
    }
}
