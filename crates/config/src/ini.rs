//! Reads INI files and keeps the line numbers.

use ini::{Ini, ParseOption};

use crate::error::{ConfigError, ErrorCollector, quoted};
use crate::{MAX_FILE_BYTES, MAX_KEYS, MAX_LINE_BYTES, MAX_SECTIONS};

/// Maximum number of keys in a section; the schemas have at most six.
const MAX_SECTION_KEYS: usize = 64;

/// Sections of a settings file, with line numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniFile {
    /// Name used in errors and origins.
    pub name: String,
    /// Sections in file order.
    pub sections: Vec<IniSection>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniSection {
    /// Section name as written between the brackets.
    pub name: String,
    /// Line of the section header.
    pub line: u32,
    /// Properties in file order.
    pub props: Vec<IniProp>,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniProp {
    pub key: String,
    /// Value without surrounding spaces; may be empty.
    pub value: String,
    /// Line number, starting at 1.
    pub line: u32,
}

impl IniFile {
    /// Reads a file and adds its errors to `errors`.
    pub fn read(name: &str, text: &str, errors: &mut ErrorCollector) -> Self {
        let mut scanner = LineScanner {
            file: Self {
                name: name.to_owned(),
                sections: Vec::new(),
            },
            keys: 0,
            errors,
        };
        if text.len() > MAX_FILE_BYTES {
            let found = format!("{} bytes", text.len());
            let expected = format!("at most {MAX_FILE_BYTES} bytes");
            scanner.add_error(
                0,
                "file",
                found,
                &expected,
                "split the teams over several sites",
            );
            return scanner.file;
        }
        for (i, line) in text.split('\n').enumerate() {
            let line = line.strip_suffix('\r').unwrap_or(line);
            scanner.line(u32::try_from(i + 1).unwrap_or(u32::MAX), line);
        }
        let file = scanner.file;
        if errors.is_empty() {
            check_against_parser(&file, text, errors);
        }
        file
    }

    /// Returns a section by name.
    pub fn section(&self, name: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.name == name)
    }

    /// Returns a property by section and key.
    pub fn prop(&self, section: &str, key: &str) -> Option<&IniProp> {
        let section = self.section(section)?;
        section.props.iter().find(|prop| prop.key == key)
    }
}

/// State of the line scanner.
struct LineScanner<'a> {
    file: IniFile,
    keys: usize,
    errors: &'a mut ErrorCollector,
}

impl LineScanner<'_> {
    fn line(&mut self, number: u32, raw: &str) {
        if raw.len() > MAX_LINE_BYTES {
            let found = format!("{} bytes", raw.len());
            let expected = format!("at most {MAX_LINE_BYTES} bytes");
            return self.add_error(number, "line", found, &expected, "shorten the line");
        }
        if let Some(c) = raw
            .chars()
            .find(|c| (c.is_control() && *c != '\t') || *c == '\u{feff}')
        {
            let found = format!("the character {c:?}");
            let hint = "remove the character; save the file as UTF-8 without a byte order mark";
            return self.add_error(number, "line", found, "printable text", hint);
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
            return self.add_error(
                number,
                "line",
                quoted(line),
                "KEY = VALUE or [SECTION]",
                hint,
            );
        };
        self.prop(number, key.trim(), value.trim());
    }

    /// Reads a section header.
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
            return self.add_error(number, "section", quoted(line), expected, hint);
        };
        if let Some(earlier) = self.file.section(name) {
            let found = format!("a second section, the first is on line {}", earlier.line);
            let hint = "merge the two sections";
            self.add_error(
                number,
                &format!("[{name}]"),
                found,
                "each section once",
                hint,
            );
        }
        if self.file.sections.len() == MAX_SECTIONS {
            let expected = format!("at most {MAX_SECTIONS} sections");
            return self.add_error(
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

    /// Adds a property to the current section.
    fn prop(&mut self, number: u32, key: &str, value: &str) {
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if key.is_empty() || !key.chars().all(is_allowed) {
            let hint = "write KEY = VALUE";
            let expected = "a key of lower-case letters, digits and '-'";
            return self.add_error(number, "line", quoted(key), expected, hint);
        }
        let Some(section) = self.file.sections.last() else {
            let hint = "put the key under its [SECTION]";
            return self.add_error(
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
            self.add_error(
                number,
                &path,
                found,
                "each key once",
                "remove one of the two lines",
            );
        }
        // The INI parser treats such a comment as part of the value.
        if [" ;", " #", "\t;", "\t#"]
            .iter()
            .any(|mark| value.contains(mark))
        {
            let hint = "write the comment on a line of its own";
            let expected = "a value without a comment behind it";
            return self.add_error(number, &path, quoted(value), expected, hint);
        }
        self.keys += 1;
        if self.keys > MAX_KEYS || is_full {
            let expected = format!("at most {MAX_KEYS} keys, {MAX_SECTION_KEYS} in a section");
            return self.add_error(
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

    fn add_error(&mut self, line: u32, key: &str, found: String, expected: &str, hint: &str) {
        self.errors.add(ConfigError {
            file: self.file.name.clone(),
            line,
            key: key.to_owned(),
            found,
            expected: expected.to_owned(),
            hint: hint.to_owned(),
        });
    }
}

/// Adds an error if the INI parser reads the file differently from the line scanner.
fn check_against_parser(file: &IniFile, text: &str, errors: &mut ErrorCollector) {
    let mismatch = |line, key: String, found: String| ConfigError {
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
            return errors.add(mismatch(line, "line".into(), err.msg.to_string()));
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
                return errors.add(mismatch(prop.line, path, found));
            }
        }
    }
    if let Some((section, key, value)) = parsed.next() {
        errors.add(mismatch(0, format!("{section}.{key}"), quoted(value)));
    }
}
