//! `diff`: compares a document with the one in force.

use std::path::PathBuf;

use anyhow::Result;
use clap::Args;
use similar::{ChangeTag, TextDiff};

use super::check::read_document;
use super::get::fetch;
use super::operator::Operator;
use super::{Exit, Run};

/// Show how a document differs from the one in force.
#[derive(Args, Debug)]
pub(crate) struct Diff {
    /// The document.
    file: PathBuf,
    #[command(flatten)]
    operator: Operator,
}

impl Run for Diff {
    fn run(&self) -> Result<Exit> {
        let Some((document, text)) = read_document(&self.file)? else {
            return Ok(Exit::Invalid);
        };
        match fetch(&self.operator, document.service.as_str(), None)? {
            Ok(shown) => {
                println!("version {} is in force", shown.version);
                print_diff(&shown.text, &text);
                Ok(Exit::Done)
            }
            Err(declined) => Ok(declined.print()),
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
