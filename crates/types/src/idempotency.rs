//! Idempotency keys, and the creation time that UUIDv7 and ULID keys carry.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;
use uuid::Uuid;

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Number of characters of a ULID.
const ULID_CHARS: usize = 26;
/// Leading characters of a ULID that hold its 48-bit timestamp.
const ULID_TIME_CHARS: usize = 10;
/// Crockford's base 32 alphabet, which ULIDs use.
const CROCKFORD: &[u8; 32] = b"0123456789ABCDEFGHJKMNPQRSTVWXYZ";

/// A string that is not a valid idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key is empty or exceeds the maximum length.
    #[error("idempotency key has {0} bytes; expected 1 to {MAX_KEY_BYTES}")]
    BadLength(usize),
    /// The key contains a character other than printable ASCII, or a space.
    #[error("idempotency key contains {0:?}; expected printable ASCII without spaces")]
    BadChar(char),
}

/// The key by which a caller marks retries of one request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Returns the key as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the creation time since the Unix epoch, if the key is a UUIDv7 or a ULID.
    #[must_use]
    pub fn made_at(&self) -> Option<Duration> {
        uuid_time(&self.0).or_else(|| ulid_time(&self.0))
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            return Err(KeyError::BadLength(text.len()));
        }
        if let Some(c) = text.chars().find(|c| !c.is_ascii_graphic()) {
            return Err(KeyError::BadChar(c));
        }
        Ok(Self(text.to_owned()))
    }
}

impl Display for IdempotencyKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn uuid_time(text: &str) -> Option<Duration> {
    let uuid = Uuid::try_parse(text).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (secs, nanos) = uuid.get_timestamp()?.to_unix();
    Some(Duration::new(secs, nanos))
}

fn ulid_time(text: &str) -> Option<Duration> {
    if text.len() != ULID_CHARS {
        return None;
    }
    let mut millis = 0u64;
    for (i, c) in text.bytes().enumerate() {
        let digit = CROCKFORD
            .iter()
            .position(|d| *d == c.to_ascii_uppercase())?;
        if i < ULID_TIME_CHARS {
            millis = millis << 5 | digit as u64;
        }
    }
    Some(Duration::from_millis(millis))
}
