//! What one sidecar is told by its fleet and what it tells it, wired to its decision module.
//!
//! A [`Company`] holds a sidecar's member of the fleet and its rules of residency, where it has them. What happens goes in as
//! [`Input`], what the module did is shown to it ([`Company::observed`]), and what comes out is for the module
//! ([`Output::Event`]) or for the process around it. It does no I/O and has no clock.

pub mod api;
mod company;

pub use api::{ClassNames, Input, Output, Setup, SetupError, View};
pub use company::Company;
