//! `sassafrasctl explain`.

use clap::Args;
use eyre::Result;
use sassafrasctl::core::ctl_context::CtlContext;
use sassafrasctl::ops::queries::explain_request::{explain_request, format_explanation};

/// Shows every VM's decisions about a request.
#[derive(Debug, Args)]
pub struct Explain {
    /// The request's id, as in the answer's X-Request-Id.
    request_key: String,
}

impl Explain {
    /// Runs the command.
    pub async fn exec(self, context: &CtlContext) -> Result<()> {
        let explanation = explain_request(context, &self.request_key).await;
        context.shell.print(&explanation, format_explanation)
    }
}
