//! `remove`: removes a service.

use anyhow::Result;
use clap::Args;
use http::Method;

use super::operator::OperatorClient;
use super::{Exit, Run};

/// Remove a service; its version continues to rise if it is applied again.
#[derive(Args, Debug)]
pub(crate) struct Remove {
    /// The service.
    service: String,
    /// Remove only if this is the current version.
    #[arg(long)]
    expect: Option<u64>,
    #[command(flatten)]
    operator: OperatorClient,
}

impl Run for Remove {
    fn run(&self) -> Result<Exit> {
        let query = self.expect.map_or_else(String::new, |v| format!("?expect={v}"));
        let path = format!("/v1/services/{}{query}", self.service);
        self.operator.change(Method::DELETE, &path, "")
    }
}
