//! `drain` and `undrain`: planned stops of targets, entry VMs and zones.

use anyhow::Result;
use clap::{Args, ValueEnum};
use http::Method;

use crate::model::DrainSubject;

use super::operator::Operator;
use super::{Exit, Run};

/// What can be drained.
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
struct Named {
    /// What kind it is.
    kind: SubjectKind,
    /// Its name.
    name: String,
    #[command(flatten)]
    operator: Operator,
}

/// Give a target, entry VM or zone no new work; what runs may finish.
#[derive(Args, Debug)]
pub(crate) struct Drain {
    #[command(flatten)]
    named: Named,
}

/// Take a drain back.
#[derive(Args, Debug)]
pub(crate) struct Undrain {
    #[command(flatten)]
    named: Named,
}

impl Run for Drain {
    fn run(&self) -> Result<Exit> {
        self.named.send(Method::POST)
    }
}

impl Run for Undrain {
    fn run(&self) -> Result<Exit> {
        self.named.send(Method::DELETE)
    }
}

impl Named {
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
