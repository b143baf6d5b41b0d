//! Offline check of rule files.

use cumindeck_api::ErrorReason;
use cumindeck_config::SourceFile;

use crate::failure::Failure;

/// Checks a rule file.
///
/// Not available until the crate `cumindeck-rules` reads rule files; this is
/// the only place to change then.
pub fn check(file: &SourceFile) -> Result<(), Failure> {
    Err(Failure::refused(
        ErrorReason::NotReady,
        format!(
            "{} was not checked: the offline check is not available",
            file.name
        ),
        "use `cumindeck rules apply`, which refuses a file with faults and applies nothing of it",
    ))
}
