//! `check`: validates a service document locally.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use clap::Args;

use crate::model::{Document, parse_document};

use super::{Exit, Run};

/// Validate a service document without a daemon.
#[derive(Args, Debug)]
pub(crate) struct Check {
    /// The document's file.
    file: PathBuf,
}

impl Run for Check {
    fn run(&self) -> Result<Exit> {
        match read_document(&self.file)? {
            Some((document, _)) => {
                println!("{}: service {} is valid", self.file.display(), document.service);
                Ok(Exit::Done)
            }
            None => Ok(Exit::Invalid),
        }
    }
}

/// Reads and validates a document and returns it with its text. If it is invalid, prints every
/// error and returns `None`.
pub(crate) fn read_document(file: &Path) -> Result<Option<(Document, String)>> {
    let text = std::fs::read_to_string(file).with_context(|| format!("read {}", file.display()))?;
    match parse_document(&text) {
        Ok(document) => Ok(Some((document, text))),
        Err(errors) => {
            for error in errors {
                eprintln!("{}: {error}", file.display());
            }
            Ok(None)
        }
    }
}
