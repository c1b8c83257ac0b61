//! Programs that measure a fleet and act as its routers too.
//!
//! `cargo run --bin NAME` builds no other program, so such a program starts itself again for each
//! router, with `as-router` as its first argument.

use std::path::Path;
use std::process::ExitCode;

use argh::TopLevelCommand;

use crate::demo::site::RouterCommand;

/// First argument with which a program acts as a router.
const AS_ROUTER: &str = "as-router";

/// Acts as a router when told to, else runs `main` with the arguments.
///
/// # Panics
/// When no runtime can start.
pub fn run<A: TopLevelCommand, F: Future<Output = u8>>(
    main: impl FnOnce(A, RouterCommand) -> F,
) -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    if let [_, first, _, config] = &*words
        && first == AS_ROUTER
    {
        return hawthornmill_net::daemon::main(Path::new(config)).into();
    }
    let args: A = argh::from_env();
    let Ok(program) = std::env::current_exe() else {
        eprintln!("this program's own file can't be found");
        return ExitCode::FAILURE;
    };
    let router = RouterCommand {
        program,
        words: vec![AS_ROUTER.into()],
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can start");
    runtime.block_on(main(args, router)).into()
}
