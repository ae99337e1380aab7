//! Routes: from the operators' file to one checked table that says, request by request, how long attempts may
//! take, how many there may be and what follows a failure. No I/O, no clock, no state outside the values.
//!
//! [`Table::read`] takes a file whole or not at all, and tells all that is wrong with it at once.

pub mod document;
pub mod index;
pub mod matching;
pub mod policy;
pub mod purse;
mod read;
pub mod schedule;
pub mod schema;
pub mod table;
pub mod units;
pub mod words;

pub use document::{Refusal, Rule};
pub use table::{Route, Table};
