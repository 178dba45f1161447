//! `sassafrasctl explain`.

use clap::Args;
use eyre::Result;
use sassafrasctl::core::ctl_context::CtlContext;
use sassafrasctl::ops::queries::explain_request::{explain_request, format_explanation};

/// Shows the decisions of all VMs about a request.
#[derive(Debug, Args)]
pub struct Explain {
    /// The request's id, from the X-Request-Id header of the response.
    request_key: String,
}

impl Explain {
    /// Runs the command.
    pub async fn exec(self, context: &CtlContext) -> Result<()> {
        let explanation = explain_request(context, &self.request_key).await;
        context.shell.print(&explanation, format_explanation)
    }
}
