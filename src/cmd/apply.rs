//! `apply`: puts a document in force.

use std::path::PathBuf;

use anyhow::Result;
use clap::Args;
use http::Method;

use super::check::read_document;
use super::operator::Operator;
use super::{Exit, Run};

/// Put a service document in force everywhere.
#[derive(Args, Debug)]
pub(crate) struct Apply {
    /// The document.
    file: PathBuf,
    /// Apply only if this version is in force; 0 if there must be none.
    #[arg(long)]
    expect: Option<u64>,
    #[command(flatten)]
    operator: Operator,
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
