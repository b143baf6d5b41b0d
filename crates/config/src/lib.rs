//! Reads INI settings: a base file, overlays per site and files per process.
//!
//! The contents of a file are kept verbatim. Settings are read by a line scanner,
//! which knows line numbers, and by `rust-ini`; a file that the two read
//! differently is rejected.

mod bundle;
mod capacity;
mod error;
mod ini;
mod merge;
mod nearest;
mod process;
mod process_schema;
mod schema;
mod site;
mod site_check;
mod site_schema;
mod value;

pub use bundle::{
    Bundle, Change, CheckedBundle, CheckedSite, MAX_BUNDLE_BYTES, MAX_OVERLAYS, SourceFile,
};
pub use capacity::{Guarantee, RackWorkers};
pub use error::{ConfigError, ConfigErrors};
pub use merge::{EffectiveSection, EffectiveSettings, EffectiveValue, Origin, SettingPath};
pub use process::{AgentSettings, EntrySettings};
pub use site::{
    JobSettings, RequestSettings, RuleSettings, SiteSettings, TeamSettings, ZoneSettings,
};
pub use value::{BitRate, LogLevel, Percent, SiteName, ValueError};

/// Maximum size of a file in bytes; an overlay with 360 teams and 19 zones takes 36 KB.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Maximum length of a line in bytes.
pub const MAX_LINE_BYTES: usize = 4_096;
/// Maximum number of sections in a file; the target size has 360 teams and 19 zones.
pub const MAX_SECTIONS: usize = 2_000;
/// Maximum number of keys in a file.
pub const MAX_KEYS: usize = 20_000;
/// Maximum number of items in a list.
pub const MAX_LIST_ITEMS: usize = 256;
