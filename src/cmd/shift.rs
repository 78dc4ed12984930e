//! `shift`: moves traffic between regions.

use anyhow::Result;
use clap::Args;
use http::Method;

use crate::node::ShiftRequest;

use super::operator::OperatorClient;
use super::{Exit, Run};

/// Shift a fraction of one region's traffic to another, in steps limited by the document's cap.
#[derive(Args, Debug)]
pub(crate) struct Shift {
    /// The service.
    service: String,
    /// The region whose callers' traffic is moved.
    #[arg(long)]
    from: String,
    /// The region that serves it instead.
    #[arg(long)]
    to: String,
    /// The fraction to reach, from 0 to 1; 0 ends the shift.
    #[arg(long)]
    share: f64,
    #[command(flatten)]
    operator: OperatorClient,
}

impl Run for Shift {
    fn run(&self) -> Result<Exit> {
        let request =
            ShiftRequest { from: self.from.clone(), to: self.to.clone(), share: self.share };
        let path = format!("/v1/services/{}/shift", self.service);
        self.operator.change(Method::POST, &path, serde_json::to_vec(&request)?)
    }
}
