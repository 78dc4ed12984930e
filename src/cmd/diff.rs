//! `diff`: compares a document with the current version.

use std::path::PathBuf;

use anyhow::Result;
use clap::Args;
use similar::{ChangeTag, TextDiff};

use super::check::read_document;
use super::get::fetch;
use super::operator::OperatorClient;
use super::{Exit, Run};

/// Show how a document differs from the current version.
#[derive(Args, Debug)]
pub(crate) struct Diff {
    /// The document's file.
    file: PathBuf,
    #[command(flatten)]
    operator: OperatorClient,
}

impl Run for Diff {
    fn run(&self) -> Result<Exit> {
        let Some((document, text)) = read_document(&self.file)? else {
            return Ok(Exit::Invalid);
        };
        match fetch(&self.operator, document.service.as_str(), None)? {
            Ok(current) => {
                println!("current version: {}", current.version);
                print_diff(&current.text, &text);
                Ok(Exit::Done)
            }
            Err(error) => Ok(error.report()),
        }
    }
}

fn print_diff(old: &str, new: &str) {
    for change in TextDiff::from_lines(old, new).iter_all_changes() {
        let sign = match change.tag() {
            ChangeTag::Delete => "-",
            ChangeTag::Insert => "+",
            ChangeTag::Equal => continue,
        };
        print!("{sign}{change}");
    }
}
