//! Reads the files that commands use.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

use cumindeck_config::{Bundle, MAX_FILE_BYTES, SiteName, SourceFile};
use hyper::header::HeaderValue;

use crate::failure::Failure;

const MAX_TOKEN_BYTES: u64 = 4_096;

/// Reads a base file and overlays; the file name of an overlay without `.ini` is its
/// site.
pub fn bundle(base: &Path, overlays: &[PathBuf]) -> Result<Bundle, Failure> {
    let mut sites = BTreeMap::new();
    for path in overlays {
        let hint = "name overlays after their sites, such as plume.ini";
        let stem = path
            .file_stem()
            .and_then(|stem| stem.to_str())
            .unwrap_or("");
        let site: SiteName = stem.parse().map_err(|err| {
            let message = format!("{} is not named after a site: {err}", path.display());
            Failure::usage(message, hint)
        })?;
        if sites.insert(site.clone(), source(path)?).is_some() {
            let message = format!("two overlays are named {site}");
            return Err(Failure::usage(message, "give one overlay for each site"));
        }
    }
    Ok(Bundle {
        base: source(base)?,
        overlays: sites,
    })
}

/// Reads a UTF-8 file of settings or rules.
pub fn source(path: &Path) -> Result<SourceFile, Failure> {
    let bytes = read(path, MAX_FILE_BYTES as u64)?;
    let text = String::from_utf8(bytes).map_err(|err| {
        let valid = err.utf8_error().valid_up_to();
        let message = format!("{} is not UTF-8 after {valid} bytes", path.display());
        Failure::usage(message, "save the file as UTF-8")
    })?;
    Ok(SourceFile {
        name: path.display().to_string(),
        text,
    })
}

/// Reads a body from a file, or from standard input for `-`.
pub fn body(path: &Path, max_bytes: u64) -> Result<Vec<u8>, Failure> {
    if path == Path::new("-") {
        return read_limited(io::stdin().lock(), "standard input", max_bytes);
    }
    read(path, max_bytes)
}

/// Reads the operators' token; returns the value of the `Authorization` header.
pub fn token(path: &Path) -> Result<HeaderValue, Failure> {
    let bytes = read(path, MAX_TOKEN_BYTES)?;
    let text = String::from_utf8_lossy(&bytes);
    let token = text.trim();
    if token.is_empty() || !token.chars().all(|c| c.is_ascii_graphic()) {
        let message = format!("{} does not contain a valid token", path.display());
        return Err(Failure::usage(
            message,
            "write the token alone on one line, in ASCII",
        ));
    }
    let mut value = HeaderValue::try_from(format!("Bearer {token}")).map_err(|_| {
        let message = format!(
            "{} contains a token that can't be sent in a header",
            path.display()
        );
        Failure::usage(message, "write the token alone on one line, in ASCII")
    })?;
    // Keeps the token out of debug output.
    value.set_sensitive(true);
    Ok(value)
}

/// Reads a file of at most `max_bytes` bytes.
fn read(path: &Path, max_bytes: u64) -> Result<Vec<u8>, Failure> {
    let name = path.display().to_string();
    let file = File::open(path).map_err(|err| {
        let message = format!("can't read {name}: {err}");
        Failure::usage(message, "check the path and its permissions")
    })?;
    read_limited(file, &name, max_bytes)
}

/// Reads to the end, at most `max_bytes` bytes; `name` identifies the input in messages.
fn read_limited(reader: impl Read, name: &str, max_bytes: u64) -> Result<Vec<u8>, Failure> {
    let mut bytes = Vec::new();
    let read = reader.take(max_bytes + 1).read_to_end(&mut bytes);
    if let Err(err) = read {
        let message = format!("can't read {name}: {err}");
        return Err(Failure::usage(
            message,
            "check the path and its permissions",
        ));
    }
    if bytes.len() as u64 > max_bytes {
        let message = format!("{name} has more than {max_bytes} bytes");
        return Err(Failure::usage(message, "shorten it"));
    }
    Ok(bytes)
}
