//! `apply`: applies a service document.

use std::path::PathBuf;

use anyhow::Result;
use clap::Args;
use http::Method;

use super::check::read_document;
use super::operator::OperatorClient;
use super::{Exit, Run};

/// Apply a service document to all entry VMs.
#[derive(Args, Debug)]
pub(crate) struct Apply {
    /// The document's file.
    file: PathBuf,
    /// Apply only if this is the current version; 0 means that none has been applied yet.
    #[arg(long)]
    expect: Option<u64>,
    #[command(flatten)]
    operator: OperatorClient,
}

impl Run for Apply {
    fn run(&self) -> Result<Exit> {
        let Some((document, text)) = read_document(&self.file)? else {
            return Ok(Exit::Invalid);
        };
        let query = self.expect.map_or_else(String::new, |v| format!("?expect={v}"));
        let path = format!("/v1/services/{}{query}", document.service);
        self.operator.change(Method::PUT, &path, text)
    }
}
