//! `list`: lists the services.

use std::collections::BTreeMap;

use anyhow::Result;
use clap::Args;
use http::Method;

use super::operator::OperatorClient;
use super::{Exit, Run};

/// List the services and the versions of their documents.
#[derive(Args, Debug)]
pub(crate) struct List {
    #[command(flatten)]
    operator: OperatorClient,
}

impl Run for List {
    fn run(&self) -> Result<Exit> {
        match self.operator.call::<BTreeMap<String, u64>>(Method::GET, "/v1/services", "")? {
            Ok(services) => {
                self.operator.print(&services, |s| {
                    s.iter().for_each(|(name, version)| println!("{name} {version}"));
                })?;
                Ok(Exit::Done)
            }
            Err(error) => Ok(error.report()),
        }
    }
}
