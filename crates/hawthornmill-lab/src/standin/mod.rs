//! Small servers that take the place of systems that hawthornmill meets.
//!
//! They speak HTTP over real sockets and are driven by HTTP calls under `/admin/`.

pub mod engine;
pub mod ledger;
pub mod plain;
pub mod platform;
pub mod relay;
pub mod serve;
pub mod tool;
