//! `sassafrasctl bundle`.

use std::fs;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use eyre::{Result, WrapErr, eyre};
use sassafrasctl::core::ctl_context::CtlContext;
use sassafrasctl::ops::commands::approve_bundle::approve_bundle;
use sassafrasctl::ops::commands::init_bundle::init_bundle;
use sassafrasctl::ops::commands::push_bundle::push_bundle;
use sassafrasctl::ops::commands::sign_bundle::sign_bundle;
use sassafrasctl::ops::queries::check_bundle::{check_bundle, read_json_file};
use sassafrasctl::ops::queries::read_bundle_chain::{
    BundleState, ProposalReport, read_bundle_chain,
};
use sassafrashoist_bundle::diff_bundles::{diff_bundles, format_changes};
use sassafrashoist_bundle::signed_bundle::SignedBundle;

/// Creates, checks, signs, approves and rolls out bundles.
#[derive(Debug, Subcommand)]
pub enum Bundle {
    /// Writes a sample bundle to a new file.
    Init {
        /// The file to create.
        file: PathBuf,
    },
    /// Checks a bundle and reports every error.
    Check {
        /// The bundle file.
        file: PathBuf,
    },
    /// Shows what a bundle changes.
    Diff {
        /// The bundle file.
        file: PathBuf,
        /// The bundle file to compare with; the active bundle if omitted.
        #[arg(long)]
        from: Option<PathBuf>,
    },
    /// Signs a bundle as its author.
    Sign {
        /// The bundle file.
        file: PathBuf,
        /// The file to write the signed bundle to.
        #[arg(long)]
        out: PathBuf,
    },
    /// Approves another operator's signed bundle.
    Approve {
        /// The signed bundle file, which is overwritten with the approved bundle.
        file: PathBuf,
    },
    /// Proposes a signed and approved bundle to the fleet.
    Push {
        /// The signed bundle file.
        file: PathBuf,
    },
    /// Shows the active bundle and the outcome of each proposal.
    Status,
}

impl Bundle {
    /// Runs the command.
    pub async fn exec(self, context: &CtlContext) -> Result<()> {
        match self {
            Bundle::Init { file } => {
                init_bundle(context, &file)?;
                context.shell.print(&file, |file| format!("wrote {}", file.display()))
            }
            Bundle::Check { file } => {
                let bundle = check_bundle(&file)?;
                context
                    .shell
                    .print(&bundle.version, |version| format!("bundle version {version} is valid"))
            }
            Bundle::Diff { file, from } => exec_diff(context, &file, from.as_deref()).await,
            Bundle::Sign { file, out } => {
                let signed = sign_bundle(context, check_bundle(&file)?)?;
                write_signed(&out, &signed)?;
                context.shell.print(&signed.digest_sha256, |digest| format!("signed {digest}"))
            }
            Bundle::Approve { file } => {
                let signed = approve_bundle(context, read_json_file(&file)?)?;
                write_signed(&file, &signed)?;
                context.shell.print(&signed.digest_sha256, |digest| format!("approved {digest}"))
            }
            Bundle::Push { file } => {
                let pushed = push_bundle(context, read_json_file(&file)?).await?;
                context.shell.print(&pushed, |pushed| {
                    format!("version {} is accepted at offset {}", pushed.version, pushed.offset)
                })
            }
            Bundle::Status => {
                let state = read_bundle_chain(context).await?;
                context.shell.print(&state.proposals, |reports| format_status(&state, reports))
            }
        }
    }
}

async fn exec_diff(context: &CtlContext, file: &Path, from: Option<&Path>) -> Result<()> {
    let new = check_bundle(file)?;
    let old = match from {
        Some(path) => check_bundle(path)?,
        None => {
            let state = read_bundle_chain(context).await?;
            let active = state.chain.active_bundle().ok_or_else(|| {
                eyre!("no bundle is in force to compare with; name one with --from")
            })?;
            active.bundle.clone()
        }
    };
    let changes = diff_bundles(&old, &new);
    context.shell.print(&changes, |changes| format_changes(changes))
}

fn write_signed(path: &Path, signed: &SignedBundle) -> Result<()> {
    let text = serde_json::to_string_pretty(signed)?;
    fs::write(path, text).wrap_err_with(|| format!("failed to write {}", path.display()))
}

fn format_status(state: &BundleState, reports: &[ProposalReport]) -> String {
    let mut text = match state.chain.active_bundle() {
        Some(signed) => format!("version {} is in force\n", signed.bundle.version),
        None => "no bundle is in force\n".to_owned(),
    };
    for report in reports {
        let outcome = report.refusal.as_deref().unwrap_or("accepted");
        text.push_str(&format!(
            "  offset {}  version {} by {}: {outcome}\n",
            report.offset, report.version, report.author_id
        ));
    }
    text
}
