//! Commands on alert rules.

use std::path::Path;

use cumindeck_api::{RuleFileName, RulesAccepted, RulesStatus, path};
use hyper::Method;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde_json::json;

use super::{Context, header_value, new_id};
use crate::args::RulesCommand;
use crate::client::{Call, change_id_header};
use crate::failure::Failure;
use crate::report::{self, Report};
use crate::{files, rules_check};

/// Runs a command on alert rules.
pub async fn run(cx: &Context<'_>, command: &RulesCommand) -> Result<Report, Failure> {
    match command {
        RulesCommand::Check { file } => {
            let rules = rules_check::check(&files::source(file)?)?;
            let file = file.display().to_string();
            let text = format!("no fault in the {rules} rules of {file}");
            Ok(Report::text(text, &json!({ "file": file, "rules": rules })))
        }
        RulesCommand::Apply { file, name } => apply(cx, file, name.as_ref()).await,
        RulesCommand::Status => {
            let status: RulesStatus = cx.client()?.json(Call::get(path::RULES)).await?;
            Ok(report::rules(&status))
        }
    }
}

async fn apply(
    cx: &Context<'_>,
    file: &Path,
    name: Option<&RuleFileName>,
) -> Result<Report, Failure> {
    let text = files::source(file)?.text;
    let name = match name {
        Some(name) => name.clone(),
        None => file_name(file)?,
    };
    let change_id = new_id();
    let read_back = format!(
        "`cumindeck rules status --output json` shows change {change_id} if it did; \
         a repetition is safe"
    );
    let mut call = Call::change(Method::PUT, path::rule_file(&name), read_back)
        .header(CONTENT_TYPE, HeaderValue::from_static("text/plain"))
        .header(change_id_header(), header_value(&change_id)?);
    call.body = text.into();
    let accepted: RulesAccepted = cx.client()?.json(call).await?;
    let (file, version, rules) = (&accepted.file, accepted.version, accepted.rules);
    let text = format!("{file} version {version} with {rules} rules is accepted");
    Ok(Report::text(text, &accepted))
}

fn file_name(file: &Path) -> Result<RuleFileName, Failure> {
    let name = file
        .file_name()
        .and_then(|name| name.to_str())
        .unwrap_or("");
    name.parse()
        .map_err(|err| Failure::usage(format!("{err}"), "give a name by --name"))
}
