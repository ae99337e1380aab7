//! What one sidecar is told by its fleet and what it tells it, wired to its decision module.
//!
//! A [`Company`] holds a sidecar's member of the fleet and its rules of residency, where it has them. What happens goes in as
//! [`Input`], what the module did is shown to it ([`Company::observed`]), and what comes out is for the module
//! ([`Output::Event`]) or for the process around it. It does no I/O and has no clock.
//!
//! It translates and holds to account, and decides next to nothing: what the fleet does is decided by `peers`, where requests
//! may go by `residency`, where each goes by the module. Three things are checked here again, whatever peers say: no entry
//! brings back a server that this sidecar's own discovery said leaves; no request goes outside its rings, by what the module is
//! told and once more before a byte is written; and figures that reach the module are numbers that it can work with.

pub mod api;
mod company;
mod counts;
mod evidence;
mod guidance;
mod rings;
mod roster;

pub use api::{ClassNames, Input, Output, Setup, SetupError, View};
pub use company::Company;
