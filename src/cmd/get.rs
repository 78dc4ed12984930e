//! `get`: prints a document.

use anyhow::Result;
use clap::Args;
use http::Method;

use crate::node::DocumentVersion;

use super::operator::{Answer, Operator};
use super::{Exit, Run};

/// Print the document of a service.
#[derive(Args, Debug)]
pub(crate) struct Get {
    /// The service.
    service: String,
    /// An earlier version.
    #[arg(long)]
    version: Option<u64>,
    #[command(flatten)]
    operator: Operator,
}

impl Run for Get {
    fn run(&self) -> Result<Exit> {
        match fetch(&self.operator, &self.service, self.version)? {
            Ok(shown) => {
                self.operator.print(&shown, |s| print!("{}", s.text))?;
                Ok(Exit::Done)
            }
            Err(declined) => Ok(declined.print()),
        }
    }
}

/// Fetches a document in force or an earlier version of it.
pub(crate) fn fetch(
    operator: &Operator,
    service: &str,
    version: Option<u64>,
) -> Result<Answer<DocumentVersion>> {
    let query = version.map_or_else(String::new, |v| format!("?version={v}"));
    operator.call(Method::GET, &format!("/v1/services/{service}{query}"), "")
}
