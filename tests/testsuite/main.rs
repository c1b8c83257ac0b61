//! Every test of hawthornmill, in one binary.

mod access;
mod bad_input;
mod causes;
mod check;
mod errors;
mod explain;
mod frames;
mod labels;
mod metrics;
mod one_fleet;
mod path;
mod settings;

/// The router program under test.
const ROUTER: &str = env!("CARGO_BIN_EXE_hawthornmill-router");

/// A runtime for one test.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime can start")
        .block_on(future)
}
