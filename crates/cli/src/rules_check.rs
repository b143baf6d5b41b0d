//! Offline check of rule files.

use cumindeck_api::{ErrorReason, Problem};
use cumindeck_config::SourceFile;
use cumindeck_rules::{RuleDuration, RuleError, RuleFile};

use crate::failure::Failure;

/// Interval of groups that name none; the default of `rules.interval`.
///
/// No rule is refused because of the interval alone, so that the site's own
/// value doesn't change the result.
const INTERVAL: RuleDuration = RuleDuration::from_secs(60);

/// Checks a rule file as a site does at acceptance; returns the number of rules.
pub fn check(file: &SourceFile) -> Result<usize, Failure> {
    let checked = RuleFile::parse(&file.name, &file.text, INTERVAL).map_err(|err| refused(&err))?;
    Ok(checked.groups.iter().map(|group| group.rules.len()).sum())
}

fn refused(err: &RuleError) -> Failure {
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
