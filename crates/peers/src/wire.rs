//! Datagrams.
