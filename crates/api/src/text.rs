//! Serde helpers for fields written as strings in their `Display` and `FromStr` form.

use std::fmt::Display;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serializer, de};

/// Writes a value as a JSON string.
pub fn serialize<T: Display, S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

/// Reads a value from a JSON string.
pub fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: FromStr<Err: Display>,
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(de::Error::custom)
}

/// Optional values; `None` is `null`.
pub mod option {
    use super::{Deserialize, Deserializer, Display, FromStr, Serializer, de};

    /// Writes a value as a JSON string, or `null`.
    pub fn serialize<T: Display, S: Serializer>(
        value: &Option<T>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match value {
            Some(value) => serializer.collect_str(value),
            None => serializer.serialize_none(),
        }
    }

    /// Reads a value from a JSON string, or `None` from `null`.
    pub fn deserialize<'de, T, D>(deserializer: D) -> Result<Option<T>, D::Error>
    where
        T: FromStr<Err: Display>,
        D: Deserializer<'de>,
    {
        let Some(text) = Option::<String>::deserialize(deserializer)? else {
            return Ok(None);
        };
        text.parse().map(Some).map_err(de::Error::custom)
    }
}

/// Counters whose string form is a decimal number; written as JSON numbers.
pub mod counter {
    use super::{Deserialize, Deserializer, Display, FromStr, Serializer, de};
    use serde::ser;

    /// Writes a counter as a JSON number.
    pub fn serialize<T: Display, S: Serializer>(
        value: &T,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let raw: u64 = value.to_string().parse().map_err(ser::Error::custom)?;
        serializer.serialize_u64(raw)
    }

    /// Reads a counter from a JSON number.
    pub fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
    where
        T: FromStr<Err: Display>,
        D: Deserializer<'de>,
    {
        let raw = u64::deserialize(deserializer)?;
        raw.to_string().parse().map_err(de::Error::custom)
    }

    /// Optional counters; `None` is `null`.
    pub mod option {
        use super::{Deserialize, Deserializer, Display, FromStr, Serializer, de};

        /// Writes a counter as a JSON number, or `null`.
        pub fn serialize<T: Display, S: Serializer>(
            value: &Option<T>,
            serializer: S,
        ) -> Result<S::Ok, S::Error> {
            match value {
                Some(value) => super::serialize(value, serializer),
                None => serializer.serialize_none(),
            }
        }

        /// Reads a counter from a JSON number, or `None` from `null`.
        pub fn deserialize<'de, T, D>(deserializer: D) -> Result<Option<T>, D::Error>
        where
            T: FromStr<Err: Display>,
            D: Deserializer<'de>,
        {
            let Some(raw) = Option::<u64>::deserialize(deserializer)? else {
                return Ok(None);
            };
            raw.to_string().parse().map(Some).map_err(de::Error::custom)
        }
    }
}
