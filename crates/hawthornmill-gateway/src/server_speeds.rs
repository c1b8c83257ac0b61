//! Exchanges with the other instances how long work takes at each server.

use hawthornmill::ident::ServerId;
use hawthornmill::routing::loads::ServerReport;

use crate::gateway::Gateway;

/// Applies the load that `server` reports in a response.
pub fn apply_report(gateway: &Gateway, server: ServerId, report: ServerReport) {
    let now = gateway.now();
    gateway
        .scheduler
        .borrow_mut()
        .apply_server_report(server, report, now);
}
