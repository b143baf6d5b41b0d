//! Check of rule files without a server.

use cumindeck_api::{ErrorReason, Problem};
use cumindeck_config::SourceFile;
use cumindeck_rules::{RuleDuration, RuleError, RuleFile};

use crate::failure::Failure;

/// Evaluation interval of groups without their own; the default of `rules.interval`.
///
/// The interval alone never causes a rejection, so a site's own value gives the
/// same result.
const DEFAULT_INTERVAL: RuleDuration = RuleDuration::from_secs(60);

/// Checks a rule file as a site does before accepting it; returns the number of rules.
pub fn check(file: &SourceFile) -> Result<usize, Failure> {
    let checked =
        RuleFile::parse(&file.name, &file.text, DEFAULT_INTERVAL).map_err(|err| failure(&err))?;
    Ok(checked.groups.iter().map(|group| group.rules.len()).sum())
}

fn failure(err: &RuleError) -> Failure {
    let (found, expected) = err.found_and_expected();
    let problem = Problem {
        file: err.file.clone(),
        line: u32::try_from(err.line).unwrap_or(u32::MAX),
        key: "rule".to_owned(),
        found,
        expected: expected.to_owned(),
        hint: err.hint.clone(),
    };
    Failure {
        problems: vec![problem],
        ..Failure::refused(
            ErrorReason::Invalid,
            "the rule file has a fault; the check ends at the first one",
            "correct the line and check again",
        )
    }
}
