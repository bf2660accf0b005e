//! Sections of an INI file, which keep their file and title for error messages.

use errors::{Error, Result};
use ini::{Ini, ParseOption};
use serde::de::value::{Error as DeError, MapDeserializer};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::cell::RefCell;
use std::fmt::Display;
use std::str::FromStr;

/// Declares the raw form of a section: a struct in which every key is an optional text.
/// Unknown keys are an error.
macro_rules! raw_section {
    ($name:ident { $($field:ident),* $(,)? }) => {
        #[derive(Debug, Default, serde::Deserialize)]
        #[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
        struct $name {
            $(
                #[serde(deserialize_with = "crate::section::some")]
                $field: Option<String>,
            )*
        }
    };
}
pub(crate) use raw_section;

/// Deserializes the text of a key that is present; absent keys are `None` by default.
pub(crate) fn some<'de, D>(deserializer: D) -> Result<Option<String>, D::Error>
where
    D: serde::Deserializer<'de>,
{
    String::deserialize(deserializer).map(Some)
}

/// A section: its title, its keys and the file that holds it.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    /// File that holds the section, for error messages.
    pub(crate) file: String,
    /// Complete title, for error messages.
    pub(crate) title: String,
    /// First word of the title, such as `service`.
    pub(crate) kind: String,
    /// Rest of the title, such as the name of a service; empty if there is none.
    pub(crate) name: String,
    /// Keys with their values, in the order of the file.
    pairs: Vec<(String, String)>,
    /// Values that were rounded, clamped or replaced by a default, for the log.
    adjustments: RefCell<Vec<Adjustment>>,
}

/// A number that was rounded, clamped or replaced by a default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adjustment {
    /// Section and key.
    pub key: String,
    /// The value as written in the file.
    pub value: String,
    /// The value that is used instead, in the base unit of the setting.
    pub applied: u64,
}

/// Direction in which a fraction is rounded, so that the result is the safe one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rounding {
    /// For a limit on what this process may use.
    Down,
    /// For a load or fault that the process must withstand.
    Up,
}

/// Allowed unit suffixes of a number, each with its factor to the base unit.
type Units = &'static [(&'static str, f64)];

/// No suffix: a plain number.
pub(crate) const PLAIN_UNITS: Units = &[("", 1.0)];
/// Suffixes of a duration; the base unit is the millisecond.
pub(crate) const DURATION_UNITS: Units = &[("ms", 1.0), ("s", 1000.0), ("m", 60_000.0)];
/// Suffixes of a size; the base unit is the byte.
pub(crate) const SIZE_UNITS: Units = &[("", 1.0), ("MB", 1e6), ("GB", 1e9)];

/// Parses an INI text into its sections.
pub(crate) fn parse_sections(file: &str, text: &str) -> Result<Vec<Section>> {
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(text, option).map_err(|e| Error::Setting {
        file: file.to_owned(),
        section: format!("line {}", e.line),
        key: format!("column {}", e.col),
        value: String::new(),
        allowed: format!("`[section]`, `key = value` or `; comment` ({})", e.msg),
    })?;
    let mut sections = Vec::new();
    for (title, pairs) in ini.iter() {
        let pairs: Vec<(String, String)> = pairs
            .iter()
            .map(|(k, v)| (k.to_owned(), v.trim().to_owned()))
            .collect();
        let Some(title) = title else {
            if let Some((key, value)) = pairs.first() {
                return Err(Error::Setting {
                    file: file.to_owned(),
                    section: "(none)".to_owned(),
                    key: key.clone(),
                    value: value.clone(),
                    allowed: "keys stand below a [section]".to_owned(),
                });
            }
            continue;
        };
        let (kind, name) = title.split_once(' ').unwrap_or((title, ""));
        sections.push(Section {
            file: file.to_owned(),
            title: title.to_owned(),
            kind: kind.to_owned(),
            name: name.trim().to_owned(),
            pairs,
            adjustments: RefCell::default(),
        });
    }
    Ok(sections)
}

impl Section {
    /// A section without keys, which stands for an optional section that is absent.
    pub(crate) fn empty() -> Self {
        Section {
            file: String::new(),
            title: String::new(),
            kind: String::new(),
            name: String::new(),
            pairs: Vec::new(),
            adjustments: RefCell::default(),
        }
    }

    /// Builds the error for an invalid value; `allowed` describes the valid ones.
    pub(crate) fn invalid<A>(&self, key: &str, value: &str, allowed: A) -> Error
    where
        A: Display,
    {
        Error::Setting {
            file: self.file.clone(),
            section: self.title.clone(),
            key: key.to_owned(),
            value: value.to_owned(),
            allowed: allowed.to_string(),
        }
    }

    /// Deserializes the keys into a struct that [`raw_section`] declared.
    pub(crate) fn deserialize<T>(&self) -> Result<T>
    where
        T: DeserializeOwned,
    {
        for (i, (key, value)) in self.pairs.iter().enumerate() {
            if self.pairs[..i].iter().any(|(k, _)| k == key) {
                return Err(self.invalid(key, value, "each key once"));
            }
        }
        let pairs = self.pairs.iter().map(|(k, v)| (k.as_str(), v.as_str()));
        T::deserialize(MapDeserializer::new(pairs)).map_err(|e: DeError| {
            let text = e.to_string();
            let known = |key: &str| text.contains(&format!("`{key}`, expected"));
            let found = self.pairs.iter().find(|(k, _)| known(k));
            match found {
                Some((key, value)) => {
                    let allowed = text.split_once("expected ").map_or(&*text, |(_, a)| a);
                    self.invalid(key, value, format!("the keys {allowed}"))
                }
                None => self.invalid("(section)", "", text),
            }
        })
    }

    /// Keys and values of a section whose keys are chosen by the operator.
    pub(crate) fn pairs(&self) -> &[(String, String)] {
        &self.pairs
    }

    /// Returns the value of a required key; `what` describes it in the error.
    pub(crate) fn required<'a>(
        &self,
        key: &str,
        value: &'a Option<String>,
        what: &str,
    ) -> Result<&'a str> {
        value
            .as_deref()
            .filter(|v| !v.is_empty())
            .ok_or_else(|| self.invalid(key, "", format!("this key is needed: {what}")))
    }

    /// Parses the value of a required key; `what` describes it in the error.
    pub(crate) fn parse<T>(&self, key: &str, value: &Option<String>, what: &str) -> Result<T>
    where
        T: FromStr,
    {
        let text = self.required(key, value, what)?;
        text.parse().map_err(|_| self.invalid(key, text, what))
    }

    /// Converts the value of a required key; an invalid value is described by the
    /// error of the conversion.
    pub(crate) fn convert<T>(&self, key: &str, value: &Option<String>, what: &str) -> Result<T>
    where
        T: for<'a> TryFrom<&'a str, Error = String>,
    {
        let text = self.required(key, value, what)?;
        T::try_from(text).map_err(|allowed| self.invalid(key, text, allowed))
    }

    /// Parses a whole number within bounds; an absent key gives the default.
    pub(crate) fn number(
        &self,
        key: &str,
        value: &Option<String>,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64> {
        let Some(text) = value else {
            return Ok(default);
        };
        let what = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        let number: u64 = text.parse().map_err(|_| self.invalid(key, text, &what))?;
        if !bounds.contains(&number) {
            return Err(self.invalid(key, text, &what));
        }
        Ok(number)
    }

    /// Like [`Section::number`], for 32-bit values.
    pub(crate) fn number_u32(
        &self,
        key: &str,
        value: &Option<String>,
        bounds: std::ops::RangeInclusive<u32>,
        default: u32,
    ) -> Result<u32> {
        let wide = u64::from(*bounds.start())..=u64::from(*bounds.end());
        let number = self.number(key, value, wide, u64::from(default))?;
        Ok(u32::try_from(number).unwrap_or(default))
    }

    /// Parses a duration such as `250ms`, `5s` or `2m` into milliseconds; an absent key
    /// gives the default.
    pub(crate) fn duration_ms(
        &self,
        key: &str,
        value: &Option<String>,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64> {
        let (least, most) = (bounds.start(), bounds.end());
        let what = format!("a duration such as 250ms, 5s or 2m, from {least}ms to {most}ms");
        self.parse_within(key, value, bounds, default, parse_duration_ms, what)
    }

    /// Parses a value with `parse` and checks its bounds; `what` describes the allowed
    /// values in the error.
    fn parse_within<P>(
        &self,
        key: &str,
        value: &Option<String>,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
        parse: P,
        what: String,
    ) -> Result<u64>
    where
        P: Fn(&str) -> Option<u64>,
    {
        let Some(text) = value else {
            return Ok(default);
        };
        let parsed = parse(text).filter(|number| bounds.contains(number));
        parsed.ok_or_else(|| self.invalid(key, text, what))
    }

    /// Parses a number leniently, because the system that generates the settings does not
    /// know the bounds: a fraction is rounded, a value above the bounds is clamped to the
    /// largest, and a missing number (an empty text or a unit alone) gives the default. A
    /// value below the bounds is an error; a negative one counts as 0.
    ///
    /// Rejecting such a value would keep the whole fleet from starting.
    pub(crate) fn lenient_number(
        &self,
        key: &str,
        value: &Option<String>,
        units: Units,
        rounding: Rounding,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64> {
        let Some(text) = value else {
            return Ok(default);
        };
        let (least, most) = (*bounds.start(), *bounds.end());
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic() || c == ' ');
        let unit = text[digits.len()..].trim();
        let known: Vec<&str> = units.iter().map(|(name, _)| *name).collect();
        let what = || format!("a number from {least} to {most} {}", known.join(", "));
        let factor = units.iter().find(|(name, _)| *name == unit);
        let (_, factor) = factor.ok_or_else(|| self.invalid(key, text, what()))?;
        let applied = if digits.is_empty() {
            default
        } else {
            let number: f64 = digits
                .parse()
                .map_err(|_| self.invalid(key, text, what()))?;
            let number = match rounding {
                Rounding::Down => (number * factor).floor(),
                Rounding::Up => (number * factor).ceil(),
            };
            // CAST: saturates; NaN becomes 0.
            (number as u64).min(most)
        };
        if applied < least {
            return Err(self.invalid(key, text, what()));
        }
        // CAST: the bounds are far below 2^53, so the conversion is exact.
        if digits.parse() != Ok(applied as f64 / factor) {
            self.adjustments.borrow_mut().push(Adjustment {
                key: format!("{} {key}", self.title),
                value: text.clone(),
                applied,
            });
        }
        Ok(applied)
    }

    /// Numbers that [`Section::lenient_number`] has rounded, clamped or replaced.
    pub(crate) fn adjustments(&self) -> Vec<Adjustment> {
        self.adjustments.borrow().clone()
    }

    /// Parses `yes`, `true`, `no` or `false`; an absent key gives `None`.
    pub(crate) fn flag(&self, key: &str, value: &Option<String>) -> Result<Option<bool>> {
        match value.as_deref() {
            None => Ok(None),
            Some("yes" | "true") => Ok(Some(true)),
            Some("no" | "false") => Ok(Some(false)),
            Some(text) => Err(self.invalid(key, text, "yes or no")),
        }
    }
}

/// Parses digits followed by `ms`, `s` or `m`; `None` if malformed or too large.
fn parse_duration_ms(text: &str) -> Option<u64> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(unit_start);
    let number: u64 = number.parse().ok()?;
    let factor = match unit.trim() {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        _ => return None,
    };
    number.checked_mul(factor)
}

/// Splits a comma-separated list, without its empty items.
pub(crate) fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
}
