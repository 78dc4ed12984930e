//! `check`: checks a document without a daemon.

use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use clap::Args;

use crate::model::{Document, parse_document};

use super::{Exit, Run};

/// Check a service document.
#[derive(Args, Debug)]
pub(crate) struct Check {
    /// The document.
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

/// Reads a document and its text; prints every problem and returns none if there is one.
pub(crate) fn read_document(file: &Path) -> Result<Option<(Document, String)>> {
    let text = std::fs::read_to_string(file).with_context(|| format!("read {}", file.display()))?;
    match parse_document(&text) {
        Ok(document) => Ok(Some((document, text))),
        Err(problems) => {
            for problem in problems {
                eprintln!("{}: {problem}", file.display());
            }
            Ok(None)
        }
    }
}
