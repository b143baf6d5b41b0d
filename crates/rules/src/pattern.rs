//! Regular expressions with the semantics of RE2, which Prometheus uses.

use regex::Regex;

/// Compiles a fully anchored pattern.
///
/// In RE2 syntax, `\d`, `\w`, `\s` and `\b` match ASCII only. Syntax that the
/// `regex` crate interprets differently is rejected.
pub(crate) fn compile(pattern: &str) -> Result<Regex, String> {
    let translated = translate(pattern).map_err(|found| {
        format!("the pattern {pattern:?} contains {found:?}, which is not RE2 syntax or not evaluated exactly")
    })?;
    let bad = |err: regex::Error| format!("the pattern {pattern:?} is not valid: {err}");
    // Compiled on its own first, so that an unbalanced pattern can't close the group of
    // the anchors.
    Regex::new(&translated).map_err(bad)?;
    Regex::new(&format!("^(?s:{translated})$")).map_err(bad)
}

/// Rewrites the ASCII classes; the error is the first construct that `regex`
/// interprets differently.
fn translate(pattern: &str) -> Result<String, String> {
    let mut out = String::new();
    let mut in_class = false;
    let mut chars = pattern.char_indices();
    while let Some((i, c)) = chars.next() {
        let rest = &pattern[i..];
        match c {
            '\\' => {
                let Some((_, escaped)) = chars.next() else {
                    return Err("\\".to_owned());
                };
                match escaped {
                    'd' => out.push_str("[0-9]"),
                    'D' => out.push_str("[^0-9]"),
                    'w' => out.push_str("[0-9A-Za-z_]"),
                    'W' => out.push_str("[^0-9A-Za-z_]"),
                    's' => out.push_str(r"[\t\n\f\r ]"),
                    'S' => out.push_str(r"[^\t\n\f\r ]"),
                    'b' if !in_class && !rest[2..].starts_with('{') => out.push_str(r"(?-u:\b)"),
                    'b' | 'B' | 'u' | 'U' | '<' | '>' => return Err(format!("\\{escaped}")),
                    _ => out.extend([c, escaped]),
                }
                continue;
            }
            '[' if in_class && !rest.starts_with("[:") => return Err("[ in a class".to_owned()),
            '[' if in_class => {
                let Some(end) = rest.find(":]") else {
                    return Err("[:".to_owned());
                };
                out.push_str(&rest[..end + 2]);
                while chars.next().is_some_and(|(j, _)| j < i + end + 1) {}
                continue;
            }
            '[' => {
                in_class = true;
                let open = if rest.starts_with("[^") { "[^" } else { "[" };
                if rest[open.len()..].starts_with(']') {
                    return Err(format!("{open}]"));
                }
            }
            ']' => in_class = false,
            '&' | '~' | '-' if in_class && rest[1..].starts_with(c) => {
                return Err(format!("{c}{c}"));
            }
            '{' if !in_class && rest.starts_with("{,") => return Err("{,".to_owned()),
            '(' if !in_class && rest.starts_with("(?") => {
                let flags = rest[2..].chars().take_while(char::is_ascii_alphabetic);
                if let Some(flag) = flags.clone().find(|flag| matches!(flag, 'x' | 'u' | 'R'))
                    && rest[2..]
                        .chars()
                        .nth(flags.count())
                        .is_some_and(|end| matches!(end, ')' | ':' | '-'))
                {
                    return Err(format!("(?{flag}"));
                }
            }
            _ => {}
        }
        out.push(c);
    }
    Ok(out)
}
