//! `remove`: takes a service out of force.

use anyhow::Result;
use clap::Args;
use http::Method;

use super::operator::Operator;
use super::{Exit, Run};

/// Take a service out of force. Its version goes on rising if it comes back.
#[derive(Args, Debug)]
pub(crate) struct Remove {
    /// The service.
    service: String,
    /// Remove only if this version is in force.
    #[arg(long)]
    expect: Option<u64>,
    #[command(flatten)]
    operator: Operator,
}

impl Run for Remove {
    fn run(&self) -> Result<Exit> {
        let query = self.expect.map_or_else(String::new, |v| format!("?expect={v}"));
        let path = format!("/v1/services/{}{query}", self.service);
        self.operator.change(Method::DELETE, &path, "")
    }
}
