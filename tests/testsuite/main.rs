//! Every test of hawthornmill, in one binary.

mod bad_input;
mod errors;
mod frames;
mod histories;
mod keys;
mod labels;
mod leave;
mod once;
mod one_fleet;
mod path;
mod settings;
mod whole;

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
