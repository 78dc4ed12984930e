//! `shift`: orders a planned shift of traffic.

use anyhow::Result;
use clap::Args;
use http::Method;

use crate::node::ShiftRequest;

use super::operator::Operator;
use super::{Exit, Run};

/// Shift a share of one region's traffic to another, in steps under the document's cap.
#[derive(Args, Debug)]
pub(crate) struct Shift {
    /// The service.
    service: String,
    /// The region whose callers' traffic moves.
    #[arg(long)]
    from: String,
    /// The region that takes it.
    #[arg(long)]
    to: String,
    /// The share to be moved in the end, from 0 to 1; 0 brings all back.
    #[arg(long)]
    share: f64,
    #[command(flatten)]
    operator: Operator,
}

impl Run for Shift {
    fn run(&self) -> Result<Exit> {
        let order =
            ShiftRequest { from: self.from.clone(), to: self.to.clone(), share: self.share };
        let path = format!("/v1/services/{}/shift", self.service);
        self.operator.change(Method::POST, &path, serde_json::to_vec(&order)?)
    }
}
