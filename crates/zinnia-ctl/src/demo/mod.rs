//! The command `demo`: runs a complete cell of a sample deployment inside this process.

mod deployment;
mod script;

pub(crate) use deployment::Deployment;
pub(crate) use script::run;
