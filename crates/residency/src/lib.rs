//! Regions, and rules by service for where its requests may go.
