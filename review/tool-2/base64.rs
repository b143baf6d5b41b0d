//! Base64 encoding of the values of rows.

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * at) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// Decodes a text; bytes that are not digits are skipped.
pub fn decode(text: &str) -> String {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for digit in text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte))
    {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
