//! `key`: issues, lists and withdraws callers' keys.

use anyhow::Result;
use clap::{Args, Subcommand};
use http::Method;

use crate::model::{KeySet, KeyState};

use super::operator::OperatorClient;
use super::{Exit, Run};

/// Issue, list and withdraw callers' keys.
#[derive(Args, Debug)]
pub(crate) struct Key {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Debug, Subcommand)]
enum Verb {
    /// Issue a key and print it. It can't be printed again: only its digest is stored.
    Issue {
        /// The customer.
        customer: String,
        #[command(flatten)]
        operator: OperatorClient,
    },
    /// Withdraw a key, so that requests with it are refused.
    Withdraw {
        /// The customer.
        customer: String,
        /// The start of the key's digest, as `list` prints it.
        digest: String,
        #[command(flatten)]
        operator: OperatorClient,
    },
    /// List a customer's keys by digest.
    List {
        /// The customer.
        customer: String,
        #[command(flatten)]
        operator: OperatorClient,
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

fn list(customer: &str, operator: &OperatorClient) -> Result<Exit> {
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
        Err(error) => Ok(error.report()),
    }
}
