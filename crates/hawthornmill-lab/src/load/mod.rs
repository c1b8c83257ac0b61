//! The load tool: calls a fleet as client accounts do.
//!
//! [`plan`] says who calls what how often, [`mod@run`] makes the calls, open loop, and [`story`] is what
//! became of each one: the history that checkers read. [`summary`] adds stories up.

pub mod caller;
pub mod plan;
pub mod run;
pub mod story;
pub mod summary;
pub mod tool;

pub use plan::{Caller, Plan};
pub use run::{Watcher, run};
pub use story::Story;
