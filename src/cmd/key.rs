//! `key`: issues, lists and withdraws callers' keys.

use anyhow::Result;
use clap::{Args, Subcommand};
use http::Method;

use crate::model::{KeySet, KeyState};

use super::operator::Operator;
use super::{Exit, Run};

/// Issue, list and withdraw callers' keys.
#[derive(Args, Debug)]
pub(crate) struct Key {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Debug, Subcommand)]
enum Verb {
    /// Issue a key; it is shown this once.
    Issue {
        /// The customer.
        customer: String,
        #[command(flatten)]
        operator: Operator,
    },
    /// Withdraw a key.
    Withdraw {
        /// The customer.
        customer: String,
        /// The start of the key's digest, as listed.
        digest: String,
        #[command(flatten)]
        operator: Operator,
    },
    /// List a customer's keys by digest.
    List {
        /// The customer.
        customer: String,
        #[command(flatten)]
        operator: Operator,
    },
}

impl Run for Key {
    fn run(&self) -> Result<Exit> {
        match &self.verb {
            Verb::Issue { customer, operator } => {
                operator.change(Method::POST, &format!("/v1/keys/{customer}"), "")
            }
            Verb::Withdraw { customer, digest, operator } => {
                operator.change(Method::DELETE, &format!("/v1/keys/{customer}/{digest}"), "")
            }
            Verb::List { customer, operator } => list(customer, operator),
        }
    }
}

fn list(customer: &str, operator: &Operator) -> Result<Exit> {
    match operator.call::<KeySet>(Method::GET, &format!("/v1/keys/{customer}"), "")? {
        Ok(set) => {
            operator.print(&set, |set| {
                for key in &set.keys {
                    let state = match key.state {
                        KeyState::Active => "active",
                        KeyState::Withdrawn => "withdrawn",
                    };
                    println!("{} {state}", key.digest.short());
                }
            })?;
            Ok(Exit::Done)
        }
        Err(declined) => Ok(declined.print()),
    }
}
