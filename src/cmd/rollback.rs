//! `rollback`: applies an earlier version of a document again.

use anyhow::Result;
use clap::Args;
use http::Method;

use super::get::fetch;
use super::operator::OperatorClient;
use super::{Exit, Run};

/// Apply an earlier version of a document as a new, higher version.
#[derive(Args, Debug)]
pub(crate) struct Rollback {
    /// The service.
    service: String,
    /// The earlier version to apply.
    #[arg(long)]
    to: u64,
    #[command(flatten)]
    operator: OperatorClient,
}

impl Run for Rollback {
    fn run(&self) -> Result<Exit> {
        match fetch(&self.operator, &self.service, Some(self.to))? {
            Ok(earlier) => {
                let path = format!("/v1/services/{}", self.service);
                self.operator.change(Method::PUT, &path, earlier.text)
            }
            Err(error) => Ok(error.report()),
        }
    }
}
