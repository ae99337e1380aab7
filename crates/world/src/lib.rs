//! A fleet of sidecars in memory.
