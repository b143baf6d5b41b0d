//! INI base file and overlays, checked into typed settings.
//!
//! The text of a file is kept byte for byte; settings are read from it by a
//! line scan that knows line numbers and by `rust-ini`, and a file on which the
//! two differ is refused.

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
pub use merge::{Effective, EffectiveSection, EffectiveValue, Origin, SettingPath};
pub use process::{AgentSettings, EntrySettings};
pub use site::{
    JobSettings, RequestSettings, RuleSettings, SiteSettings, TeamSettings, ZoneSettings,
};
pub use value::{BitRate, LogLevel, Percent, SiteName, ValueError};

/// Largest file in bytes; an overlay with 360 teams and 19 zones takes 36 KB.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Longest line in bytes.
pub const MAX_LINE_BYTES: usize = 4_096;
/// Most sections of a file; the target size has 360 teams and 19 zones.
pub const MAX_SECTIONS: usize = 2_000;
/// Most keys of a file.
pub const MAX_KEYS: usize = 20_000;
/// Most items of a list.
pub const MAX_LIST_ITEMS: usize = 256;
