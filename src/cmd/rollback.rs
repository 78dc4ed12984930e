//! `rollback`: applies an earlier document as a new version.

use anyhow::Result;
use clap::Args;
use http::Method;

use super::get::fetch;
use super::operator::Operator;
use super::{Exit, Run};

/// Apply an earlier version of a document as a new, higher version.
#[derive(Args, Debug)]
pub(crate) struct Rollback {
    /// The service.
    service: String,
    /// The earlier version.
    #[arg(long)]
    to: u64,
    #[command(flatten)]
    operator: Operator,
}

impl Run for Rollback {
    fn run(&self) -> Result<Exit> {
        match fetch(&self.operator, &self.service, Some(self.to))? {
            Ok(shown) => {
                let path = format!("/v1/services/{}", self.service);
                self.operator.change(Method::PUT, &path, shown.text)
            }
            Err(declined) => Ok(declined.print()),
        }
    }
}
