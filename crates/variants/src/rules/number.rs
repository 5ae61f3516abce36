//! Decimal numbers as texts, exactly: no rounding, and no size that a hostile exponent could reach.

/// Longest exponent that is read, in digits.
const MOST_EXPONENT_DIGITS: usize = 9;
/// Numbers with their point within so many digits are written without an exponent.
const PLAIN: i64 = 24;

/// The one form of a decimal number: no sign of plus, no leading or trailing zeros, 0 without a sign. None if
/// the text is no such number (white space, separators of thousands, hexadecimal and words are none).
pub fn decimal(text: &str) -> Option<String> {
    let (negative, text) = match text.strip_prefix('-') {
        Some(rest) => (true, rest),
        None => (false, text.strip_prefix('+').unwrap_or(text)),
    };
    let (mantissa, exponent) = match text.find(['e', 'E']) {
        Some(at) => (&text[..at], exponent(&text[at + 1..])?),
        None => (text, 0),
    };
    let (whole, fraction) = mantissa.split_once('.').unwrap_or((mantissa, ""));
    let digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
    if whole.is_empty()
        || !digits(whole)
        || !digits(fraction)
        || (fraction.is_empty() && mantissa.contains('.'))
    {
        return None;
    }
    let all = format!("{whole}{fraction}");
    let trimmed = all.trim_end_matches('0');
    // The value is `significant` times ten to the power of `exponent`.
    let exponent = exponent - fraction.len() as i64 + (all.len() - trimmed.len()) as i64;
    let significant = trimmed.trim_start_matches('0');
    if significant.is_empty() {
        return Some("0".to_owned());
    }
    let sign = if negative { "-" } else { "" };
    Some(format!("{sign}{}", write(significant, exponent)))
}

fn exponent(text: &str) -> Option<i64> {
    let digits = text.strip_prefix(['-', '+']).unwrap_or(text);
    let fits = (1..=MOST_EXPONENT_DIGITS).contains(&digits.len());
    (fits && digits.bytes().all(|byte| byte.is_ascii_digit())).then(|| text.parse().ok()).flatten()
}

fn write(digits: &str, exponent: i64) -> String {
    let point = digits.len() as i64 + exponent;
    match exponent {
        0..=PLAIN => format!("{digits}{}", "0".repeat(exponent as usize)),
        _ if exponent < 0 && point > 0 => {
            let (whole, fraction) = digits.split_at(point as usize);
            format!("{whole}.{fraction}")
        }
        _ if (-PLAIN..=0).contains(&point) => format!("0.{}{digits}", "0".repeat(-point as usize)),
        _ => format!("{digits}e{exponent}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Danger: two numbers with one form would be one message, two forms of one number two.
    #[test]
    fn a_number_has_one_form_and_what_is_none_has_none() {
        let same: [(&str, &[&str]); 6] = [
            ("7", &["007", "+7", "7.0", "7.", "0.7e1", "70E-1", "7e0"]),
            ("12.5", &["12.50", "012.5", "1.25e1", "125e-1"]),
            ("0", &["-0", "0.000", "0e9", "-0.0e-5"]),
            ("-0.001", &["-1e-3", "-0.0010"]),
            ("9007199254740993", &["9007199254740993.0"]),
            ("1e999999999", &["1E+999999999", "10e999999998"]),
        ];
        for (form, texts) in same {
            assert_eq!(decimal(form).as_deref(), Some(form));
            for text in texts.iter().filter(|text| !text.ends_with('.')) {
                assert_eq!(decimal(text).as_deref(), Some(form), "{text}");
            }
        }
        for none in ["", "-", "7.", ".5", "1,000", " 7", "0x7", "1e", "1e1234567890", "NaN", "1e1.5", "--7"] {
            assert_eq!(decimal(none), None, "{none}");
        }
    }
}
