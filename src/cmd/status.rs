//! `status`: shows the state of a daemon.

use std::collections::BTreeMap;

use anyhow::Result;
use clap::Args;
use http::Method;

use crate::node;

use super::operator::OperatorClient;
use super::{Exit, Run};

/// Show the state of a daemon, its configuration and its peers.
#[derive(Args, Debug)]
pub(crate) struct Status {
    #[command(flatten)]
    operator: OperatorClient,
}

impl Run for Status {
    fn run(&self) -> Result<Exit> {
        match self.operator.call::<node::Status>(Method::GET, "/v1/status", "")? {
            Ok(status) => {
                self.operator.print(&status, print_status)?;
                Ok(Exit::Done)
            }
            Err(error) => Ok(error.report()),
        }
    }
}

fn print_status(status: &node::Status) {
    println!("{} in zone {} is {}", status.vm, status.zone, status.state);
    println!("configuration is {} ms old", status.age_ms);
    println!("owns {} of 1048576 parts and {} of 256 slices", status.parts, status.slices);
    print_table("objects", &status.versions);
    print_table("invalid objects", &status.lapses);
    let state = |live: &bool| if *live { "answers" } else { "silent" };
    let peers = status.peers.iter().map(|(vm, live)| (vm.clone(), state(live).to_owned()));
    print_table("peers", &peers.collect());
    print_table("targets", &status.targets);
    print_table("pools", &status.homes);
}

fn print_table(title: &str, rows: &BTreeMap<String, impl std::fmt::Display>) {
    if !rows.is_empty() {
        println!("{title}:");
    }
    for (name, value) in rows {
        println!("  {name:32} {value}");
    }
}
