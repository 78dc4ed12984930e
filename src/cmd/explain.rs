//! `explain`: shows how a request was routed or refused, from a daemon's records or from fronts'
//! decision logs.

use std::fs::File;
use std::io::{BufReader, stdin};
use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::Args;
use http::Method;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;

use crate::timeline::{LogEntry, Timeline};

use super::operator::OperatorClient;
use super::{Exit, Run};

/// Show why a request was routed or refused as it was.
#[derive(Args, Debug)]
pub(crate) struct Explain {
    /// The request's id: from the header x-request-id of a daemon's response, or the id that the
    /// caller of a front gave it.
    request: String,
    /// Read decision logs of fronts instead of calling a daemon; - is the standard input.
    #[arg(long, num_args = 1.., value_name = "FILE")]
    logs: Vec<PathBuf>,
    /// Address of any daemon's port for operators.
    #[arg(long, env = "SHALLOT_OPERATOR", value_name = "HOST:PORT")]
    #[arg(required_unless_present = "logs")]
    operator: Option<String>,
    /// File with the operators' token.
    #[arg(long, env = "SHALLOT_TOKEN_FILE", value_name = "FILE")]
    #[arg(required_unless_present = "logs")]
    token_file: Option<PathBuf>,
    /// Print JSON instead of text.
    #[arg(long)]
    json: bool,
}

impl Run for Explain {
    fn run(&self) -> Result<Exit> {
        match (&self.operator, &self.token_file) {
            (Some(operator), Some(token_file)) if self.logs.is_empty() => {
                self.fetch_record(&OperatorClient::new(operator, token_file, self.json))
            }
            _ => self.read_logs(),
        }
    }
}

impl Explain {
    fn fetch_record(&self, operator: &OperatorClient) -> Result<Exit> {
        let id = utf8_percent_encode(&self.request, NON_ALPHANUMERIC);
        match operator.call::<Value>(Method::GET, &format!("/v1/requests/{id}"), "")? {
            Ok(record) => {
                operator.print(&record, print_record)?;
                Ok(Exit::Done)
            }
            Err(error) => Ok(error.report()),
        }
    }

    fn read_logs(&self) -> Result<Exit> {
        let mut timeline = Timeline::default();
        for path in &self.logs {
            if path.as_os_str() == "-" {
                timeline.read(&self.request, "stdin", stdin().lock())?;
                continue;
            }
            let file = File::open(path).with_context(|| format!("open {}", path.display()))?;
            let source = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy();
            timeline.read(&self.request, &source, BufReader::new(file))?;
        }
        if self.json {
            println!("{}", serde_json::to_string_pretty(&timeline)?);
        } else {
            timeline.entries.iter().for_each(print_entry);
        }
        if !timeline.is_empty() {
            return Ok(Exit::Done);
        }
        eprintln!("shallotctl: no line in these logs is about request {}", self.request);
        let omitted: u64 = timeline.omitted.values().sum();
        if omitted > 0 {
            eprintln!("shallotctl: {omitted} lines were dropped, perhaps some about this request");
        }
        Ok(Exit::NotFound)
    }
}

fn print_entry(entry: &LogEntry) {
    let fields = entry.fields.iter().filter(|(_, v)| v.as_str() != Some(""));
    let fields: Vec<String> = fields.map(|(name, value)| format!("{name}={value}")).collect();
    println!("{} {:18} {:9} {}", entry.time, entry.source, entry.kind, fields.join(" "));
}

fn print_record(record: &Value) {
    let text = |v: &Value, field: &str| v[field].as_str().unwrap_or_default().to_owned();
    println!("request  {}", text(record, "request"));
    println!("service  {}", text(record, "service"));
    println!("customer {}", text(record, "customer"));
    println!("route    {}", text(record, "route"));
    for note in record["notes"].as_array().into_iter().flatten() {
        let at = note["at_us"].as_u64().unwrap_or_default();
        println!("{at:>9} us  {:8} {}", text(note, "step"), text(note, "outcome"));
    }
    println!("outcome  {}", text(record, "outcome"));
}
