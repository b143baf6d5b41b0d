//! A small JSON reader and writer, enough for the messages of the pages.

use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
}

/// Writes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => write!(out, "\\u{:04x}", c as u32).unwrap(),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn space(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<Json> {
    space(b, at);
    match b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                space(b, at);
                if b.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Map(map));
                }
                if !map.is_empty() {
                    (b.get(*at)? == &b',').then_some(())?;
                    *at += 1;
                    space(b, at);
                }
                let key = string(b, at)?;
                space(b, at);
                (b.get(*at)? == &b':').then_some(())?;
                *at += 1;
                map.insert(key, value(b, at)?);
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                space(b, at);
                if b.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                if !list.is_empty() {
                    (b.get(*at)? == &b',').then_some(())?;
                    *at += 1;
                }
                list.push(value(b, at)?);
            }
        }
        b'"' => string(b, at).map(Json::Text),
        b't' => word(b, at, "true", Json::Bool(true)),
        b'f' => word(b, at, "false", Json::Bool(false)),
        b'n' => word(b, at, "null", Json::Null),
        _ => {
            let from = *at;
            while *at < b.len() && b"+-.eE0123456789".contains(&b[*at]) {
                *at += 1;
            }
            let text = std::str::from_utf8(&b[from..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn word(b: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    b[*at..].starts_with(word.as_bytes()).then_some(())?;
    *at += word.len();
    Some(value)
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    (b.get(*at)? == &b'"').then_some(())?;
    *at += 1;
    let mut out = Vec::new();
    loop {
        let c = *b.get(*at)?;
        *at += 1;
        match c {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let c = *b.get(*at)?;
                *at += 1;
                match c {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?');
                        out.extend(c.to_string().bytes());
                    }
                    c => out.push(c),
                }
            }
            c => out.push(c),
        }
    }
}

const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for (at, shift) in [18, 12, 6, 0].into_iter().enumerate() {
            match at <= chunk.len() {
                true => out.push(DIGITS[(n >> shift) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut n, mut bits) = (0u32, 0);
    for c in text.bytes().filter(|c| *c != b'=') {
        let Some(digit) = DIGITS.iter().position(|d| *d == c) else {
            continue;
        };
        n = n << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
        }
    }
    out
}
