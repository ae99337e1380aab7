//! What one sidecar is told by its fleet and what it tells it, wired to its decision module.
