//! `get`: prints a service's document.

use anyhow::Result;
use clap::Args;
use http::Method;

use crate::node::DocumentVersion;

use super::operator::{OperatorClient, Reply};
use super::{Exit, Run};

/// Print the document of a service.
#[derive(Args, Debug)]
pub(crate) struct Get {
    /// The service.
    service: String,
    /// Print this earlier version instead of the current one.
    #[arg(long)]
    version: Option<u64>,
    #[command(flatten)]
    operator: OperatorClient,
}

impl Run for Get {
    fn run(&self) -> Result<Exit> {
        match fetch(&self.operator, &self.service, self.version)? {
            Ok(document) => {
                self.operator.print(&document, |d| print!("{}", d.text))?;
                Ok(Exit::Done)
            }
            Err(error) => Ok(error.report()),
        }
    }
}

/// Fetches the current document of a service, or an earlier version of it.
pub(crate) fn fetch(
    operator: &OperatorClient,
    service: &str,
    version: Option<u64>,
) -> Result<Reply<DocumentVersion>> {
    let query = version.map_or_else(String::new, |v| format!("?version={v}"));
    operator.call(Method::GET, &format!("/v1/services/{service}{query}"), "")
}
