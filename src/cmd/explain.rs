//! `explain`: why a request went where it went.

use anyhow::Result;
use clap::Args;
use http::Method;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;

use super::operator::Operator;
use super::{Exit, Run};

/// Say why a request was routed or refused as it was.
#[derive(Args, Debug)]
pub(crate) struct Explain {
    /// The request's id, from the header x-request-id of its answer.
    request: String,
    #[command(flatten)]
    operator: Operator,
}

impl Run for Explain {
    fn run(&self) -> Result<Exit> {
        let id = utf8_percent_encode(&self.request, NON_ALPHANUMERIC);
        match self.operator.call::<Value>(Method::GET, &format!("/v1/requests/{id}"), "")? {
            Ok(record) => {
                self.operator.print(&record, print_record)?;
                Ok(Exit::Done)
            }
            Err(declined) => Ok(declined.print()),
        }
    }
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
