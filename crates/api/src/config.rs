//! Configuration bundles.

use std::collections::BTreeMap;

use cumindeck_types::{ConfigVersion, IdempotencyKey};
use serde::{Deserialize, Serialize};

use crate::text;

/// The accepted bundle; answer to `GET /v1/config`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBundle {
    /// Version; 0 if no bundle was accepted yet.
    #[serde(with = "text::counter")]
    pub version: ConfigVersion,
    /// Id of the change that made this version; `None` for version 0.
    #[serde(with = "text::option", default)]
    pub change_id: Option<IdempotencyKey>,
    /// Text of the base file.
    pub base: String,
    /// Text of the overlay of each site.
    pub overlays: BTreeMap<String, String>,
}

/// A change of the bundle; body of `PUT /v1/config`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Id of the change, made by the operator's client.
    #[serde(with = "text")]
    pub change_id: IdempotencyKey,
    /// Version that the change is based on; 0 for the first bundle.
    #[serde(with = "text::counter")]
    pub expected_version: ConfigVersion,
    /// Text of the base file.
    pub base: String,
    /// Text of the overlay of each site.
    pub overlays: BTreeMap<String, String>,
}

/// Answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigAccepted {
    /// Version of the new bundle.
    #[serde(with = "text::counter")]
    pub version: ConfigVersion,
    /// Id of the change.
    #[serde(with = "text")]
    pub change_id: IdempotencyKey,
}
