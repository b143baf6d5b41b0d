//! INI text with line numbers.

use ini::{Ini, ParseOption};

use crate::error::{ConfigError, Faults, quoted};
use crate::{MAX_FILE_BYTES, MAX_KEYS, MAX_LINE_BYTES, MAX_SECTIONS};

/// Most keys of a section; the largest kind of section has six.
const MAX_SECTION_KEYS: usize = 64;

/// A settings file as text and as sections with line numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniFile {
    /// Name for errors and origins.
    pub name: String,
    /// Sections in order of appearance.
    pub sections: Vec<IniSection>,
}

/// A section of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    /// Text between the brackets.
    pub name: String,
    /// Line of the section's header.
    pub line: u32,
    /// Properties in order of appearance.
    pub props: Vec<IniProp>,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniProp {
    /// Key.
    pub key: String,
    /// Value without surrounding spaces; may be empty.
    pub value: String,
    /// Line.
    pub line: u32,
}

impl IniFile {
    /// Reads a file; faults are added to `faults`.
    pub fn read(name: &str, text: &str, faults: &mut Faults) -> Self {
        let mut scan = Scan {
            file: Self {
                name: name.to_owned(),
                sections: Vec::new(),
            },
            keys: 0,
            faults,
        };
        if text.len() > MAX_FILE_BYTES {
            let found = format!("{} bytes", text.len());
            let expected = format!("at most {MAX_FILE_BYTES} bytes");
            scan.fault(
                0,
                "file",
                found,
                &expected,
                "split the teams over several sites",
            );
            return scan.file;
        }
        for (i, line) in text.split('\n').enumerate() {
            let line = line.strip_suffix('\r').unwrap_or(line);
            scan.line(u32::try_from(i + 1).unwrap_or(u32::MAX), line);
        }
        let file = scan.file;
        if faults.is_empty() {
            compare(&file, text, faults);
        }
        file
    }

    /// Returns a section.
    pub fn section(&self, name: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// Returns a property.
    pub fn prop(&self, section: &str, key: &str) -> Option<&IniProp> {
        let section = self.section(section)?;
        section.props.iter().find(|prop| prop.key == key)
    }
}

/// The line scan.
struct Scan<'a> {
    file: IniFile,
    keys: usize,
    faults: &'a mut Faults,
}

impl Scan<'_> {
    /// Reads one line.
    fn line(&mut self, number: u32, raw: &str) {
        if raw.len() > MAX_LINE_BYTES {
            let found = format!("{} bytes", raw.len());
            let expected = format!("at most {MAX_LINE_BYTES} bytes");
            return self.fault(number, "line", found, &expected, "shorten the line");
        }
        if let Some(c) = raw
            .chars()
            .find(|c| (c.is_control() && *c != '\t') || *c == '\u{feff}')
        {
            let found = format!("the character {c:?}");
            let hint = "remove the character; save the file as UTF-8 without a byte order mark";
            return self.fault(number, "line", found, "printable text", hint);
        }
        let line = raw.trim();
        if line.is_empty() || line.starts_with([';', '#']) {
            return;
        }
        if line.starts_with('[') {
            return self.section(number, line);
        }
        let Some((key, value)) = line.split_once('=') else {
            let hint = "write a comment on a line of its own that starts with ';'";
            return self.fault(
                number,
                "line",
                quoted(line),
                "KEY = VALUE or [SECTION]",
                hint,
            );
        };
        self.prop(number, key.trim(), value.trim());
    }

    /// Reads the header of a section.
    fn section(&mut self, number: u32, line: &str) {
        let name = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'));
        let is_name = |name: &&str| {
            let is_allowed =
                |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '*' | ' ');
            !name.is_empty()
                && name.trim() == *name
                && !name.contains("  ")
                && name.chars().all(is_allowed)
        };
        let Some(name) = name.filter(is_name) else {
            let hint = "close the bracket, and write comments on lines of their own";
            let expected = "[SECTION] or [SECTION NAME] of letters, digits, '-', '_' and '.'";
            return self.fault(number, "section", quoted(line), expected, hint);
        };
        if let Some(earlier) = self.file.section(name) {
            let found = format!("a second section, the first is on line {}", earlier.line);
            let hint = "merge the two sections";
            self.fault(
                number,
                &format!("[{name}]"),
                found,
                "each section once",
                hint,
            );
        }
        if self.file.sections.len() == MAX_SECTIONS {
            let expected = format!("at most {MAX_SECTIONS} sections");
            return self.fault(
                number,
                name,
                "one more section".into(),
                &expected,
                "remove sections",
            );
        }
        self.file.sections.push(IniSection {
            name: name.to_owned(),
            line: number,
            props: Vec::new(),
        });
    }

    /// Reads a key and its value.
    fn prop(&mut self, number: u32, key: &str, value: &str) {
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if key.is_empty() || !key.chars().all(is_allowed) {
            let hint = "write KEY = VALUE";
            let expected = "a key of lower-case letters, digits and '-'";
            return self.fault(number, "line", quoted(key), expected, hint);
        }
        let Some(section) = self.file.sections.last() else {
            let hint = "put the key under its [SECTION]";
            return self.fault(
                number,
                key,
                "a key before any section".into(),
                "a section",
                hint,
            );
        };
        let path = format!("{}.{key}", section.name);
        let is_full = section.props.len() == MAX_SECTION_KEYS;
        if let Some(earlier) = section.props.iter().find(|prop| prop.key == key) {
            let found = format!("a second value, the first is on line {}", earlier.line);
            self.fault(
                number,
                &path,
                found,
                "each key once",
                "remove one of the two lines",
            );
        }
        // The INI parser takes such a comment as a part of the value.
        if [" ;", " #", "\t;", "\t#"]
            .iter()
            .any(|mark| value.contains(mark))
        {
            let hint = "write the comment on a line of its own";
            let expected = "a value without a comment behind it";
            return self.fault(number, &path, quoted(value), expected, hint);
        }
        self.keys += 1;
        if self.keys > MAX_KEYS || is_full {
            let expected = format!("at most {MAX_KEYS} keys, {MAX_SECTION_KEYS} in a section");
            return self.fault(
                number,
                &path,
                "one more key".into(),
                &expected,
                "remove keys",
            );
        }
        let prop = IniProp {
            key: key.to_owned(),
            value: value.to_owned(),
            line: number,
        };
        if let Some(section) = self.file.sections.last_mut() {
            section.props.push(prop);
        }
    }

    /// Adds a fault.
    fn fault(&mut self, line: u32, key: &str, found: String, expected: &str, hint: &str) {
        self.faults.add(ConfigError {
            file: self.file.name.clone(),
            line,
            key: key.to_owned(),
            found,
            expected: expected.to_owned(),
            hint: hint.to_owned(),
        });
    }
}

/// Refuses a file that the INI parser reads differently from the line scan.
fn compare(file: &IniFile, text: &str, faults: &mut Faults) {
    let fault = |line, key: String, found: String| ConfigError {
        file: file.name.clone(),
        line,
        key,
        found,
        expected: "a line that the INI parser reads in the same way".into(),
        hint: "write the line as KEY = VALUE without quotes, backslashes or continuation".into(),
    };
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = match Ini::load_from_str_opt(text, option) {
        Ok(ini) => ini,
        Err(err) => {
            let line = u32::try_from(err.line).unwrap_or(0);
            return faults.add(fault(line, "line".into(), err.msg.to_string()));
        }
    };
    let mut parsed = ini.iter().flat_map(|(section, props)| {
        props
            .iter()
            .map(move |(key, value)| (section.unwrap_or(""), key, value))
    });
    for section in &file.sections {
        for prop in &section.props {
            let scanned = (
                section.name.as_str(),
                prop.key.as_str(),
                prop.value.as_str(),
            );
            let other = parsed.next();
            if other != Some(scanned) {
                let path = format!("{}.{}", section.name, prop.key);
                let found = other.map_or("nothing".into(), |(_, _, value)| quoted(value));
                return faults.add(fault(prop.line, path, found));
            }
        }
    }
    if let Some((section, key, value)) = parsed.next() {
        faults.add(fault(0, format!("{section}.{key}"), quoted(value)));
    }
}
