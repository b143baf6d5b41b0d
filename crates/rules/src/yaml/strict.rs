//! Deserialization of mappings that rejects unknown and duplicate keys and
//! reports such a key with its own line.

use std::fmt::{self, Formatter};
use std::marker::PhantomData;

use serde::de::value::{MapAccessDeserializer, StrDeserializer};
use serde::de::{DeserializeSeed, Error, IntoDeserializer, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// A struct that is deserialized from a mapping.
pub(crate) trait StrictMapping: for<'de> Deserialize<'de> {
    /// Keys that the mapping may have.
    const KEYS: &'static [&'static str];

    /// Checks constraints between the fields.
    fn check(&self) -> Result<(), &'static str> {
        Ok(())
    }
}

/// A struct whose mapping has known and distinct keys and passes its check.
#[derive(Debug)]
pub(crate) struct Strict<T>(pub(crate) T);

impl<'de, T: StrictMapping> Deserialize<'de> for Strict<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer
            .deserialize_map(StrictVisitor(PhantomData))
            .map(Strict)
    }
}

struct StrictVisitor<T>(PhantomData<T>);

impl<'de, T: StrictMapping> Visitor<'de> for StrictVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "a mapping with keys from {}", T::KEYS.join(", "))
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<T, A::Error> {
        let keys = UniqueKeys {
            map,
            known: T::KEYS,
            seen: Vec::new(),
        };
        let value = T::deserialize(MapAccessDeserializer::new(keys))?;
        // An error returned inside the visitor gets the line of the mapping.
        value.check().map_err(A::Error::custom)?;
        Ok(value)
    }
}

/// Forwards a mapping and rejects unknown and duplicate keys.
struct UniqueKeys<A> {
    map: A,
    known: &'static [&'static str],
    seen: Vec<&'static str>,
}

impl<'de, A: MapAccess<'de>> MapAccess<'de> for UniqueKeys<A> {
    type Error = A::Error;

    fn next_key_seed<K: DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, A::Error> {
        let key = KeySeed {
            known: self.known,
            seen: &self.seen,
        };
        let Some(key) = self.map.next_key_seed(key)? else {
            return Ok(None);
        };
        self.seen.push(key);
        let key: StrDeserializer<'_, A::Error> = key.into_deserializer();
        seed.deserialize(key).map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, A::Error> {
        self.map.next_value_seed(seed)
    }
}

/// Reads a key that is known and not in `seen`.
struct KeySeed<'a> {
    known: &'static [&'static str],
    seen: &'a [&'static str],
}

impl<'de> DeserializeSeed<'de> for KeySeed<'_> {
    type Value = &'static str;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<&'static str, D::Error> {
        deserializer.deserialize_str(self)
    }
}

impl Visitor<'_> for KeySeed<'_> {
    type Value = &'static str;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("a key")
    }

    fn visit_str<E: Error>(self, key: &str) -> Result<&'static str, E> {
        let Some(known) = self.known.iter().find(|known| **known == key) else {
            let known = self.known.join(", ");
            return Err(E::custom(format!(
                "the key {key:?} is unknown, expected one of {known}; remove it"
            )));
        };
        if self.seen.contains(known) {
            return Err(E::custom(format!(
                "the key {key:?} occurs twice, expected once; remove one"
            )));
        }
        Ok(known)
    }
}
