//! `drain` and `undrain`: take targets, entry VMs and zones out of service and back in.

use anyhow::Result;
use clap::{Args, ValueEnum};
use http::Method;

use crate::model::DrainSubject;

use super::operator::OperatorClient;
use super::{Exit, Run};

/// The kinds of subjects that can be drained.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum SubjectKind {
    /// A target.
    Target,
    /// An entry VM.
    Vm,
    /// A zone.
    Zone,
}

#[derive(Args, Debug)]
struct DrainArgs {
    /// What to drain.
    kind: SubjectKind,
    /// Its name.
    name: String,
    #[command(flatten)]
    operator: OperatorClient,
}

/// Send no new requests to a target, entry VM or zone; running requests finish.
#[derive(Args, Debug)]
pub(crate) struct Drain {
    #[command(flatten)]
    args: DrainArgs,
}

/// End a drain.
#[derive(Args, Debug)]
pub(crate) struct Undrain {
    #[command(flatten)]
    args: DrainArgs,
}

impl Run for Drain {
    fn run(&self) -> Result<Exit> {
        self.args.send(Method::POST)
    }
}

impl Run for Undrain {
    fn run(&self) -> Result<Exit> {
        self.args.send(Method::DELETE)
    }
}

impl DrainArgs {
    fn send(&self, method: Method) -> Result<Exit> {
        let name = self.name.as_str();
        let subject = match self.kind {
            SubjectKind::Target => DrainSubject::Target(name.into()),
            SubjectKind::Vm => DrainSubject::Vm(name.into()),
            SubjectKind::Zone => DrainSubject::Zone(name.into()),
        };
        self.operator.change(method, "/v1/drains", serde_json::to_vec(&subject)?)
    }
}
