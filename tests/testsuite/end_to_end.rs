//! Calls from end to end, through real processes.

use std::sync::Arc;
use std::time::Duration;

use hawthornmill_lab::load::plan::parse;
use hawthornmill_lab::load::{Plan, Watcher, run, summary::summarize};
use hawthornmill_test_support::procs::small_site;

use crate::{ROUTER, block_on};

const CALLERS: &str = "[caller big]\nservice = drafting\nrate = 40\ntokens = 20\n\
                       [caller small-1]\nservice = drafting\nrate = 20\ntokens = 20\n\
                       [caller small-2]\nservice = booking\nrate = 10\npath = /run\nkeyed = yes\n";

/// Several accounts call through three routers, some of them a service without retries. Every
/// caller must get its own complete response, and every call with a key must run exactly once.
#[test]
fn calls_complete_through_several_routers() {
    block_on(async {
        let site = small_site(ROUTER, 3).await;
        let plan = Plan {
            callers: parse("callers", CALLERS).expect("the plan is valid"),
            time: Duration::from_secs(3),
            seed: 1,
        };

        let results = run(&plan, &site.seeds(), &Arc::new(Watcher::default())).await;

        let summary = summarize(&results);
        let unfinished: Vec<_> = results.iter().filter(|result| !result.whole()).collect();
        assert!(summary.calls > 100, "{summary:?}");
        assert!(unfinished.is_empty(), "{unfinished:?}");
        let ledgers = site
            .servers
            .iter()
            .map(|s| s.standin.ledger().lock().clone());
        assert!(
            ledgers
                .flat_map(|ledger| ledger.runs)
                .all(|(_, runs)| runs.started == 1)
        );
        site.stop().await;
    });
}
