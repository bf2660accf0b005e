//! Sections of an INI file, with the place kept for errors.

use errors::{Error, Result};
use ini::{Ini, ParseOption};
use serde::de::value::{Error as DeError, MapDeserializer};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::cell::RefCell;
use std::fmt::Display;
use std::str::FromStr;

/// Declares a raw section: every key an optional text, unknown keys refused.
macro_rules! raw {
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
pub(crate) use raw;

/// Reads a text that stands for an optional one.
pub(crate) fn some<'de, D>(deserializer: D) -> Result<Option<String>, D::Error>
where
    D: serde::Deserializer<'de>,
{
    String::deserialize(deserializer).map(Some)
}

/// One section with where it stands.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    pub(crate) file: String,
    /// Whole title, for errors.
    pub(crate) title: String,
    /// First word of the title.
    pub(crate) kind: String,
    /// Second word of the title, or nothing.
    pub(crate) name: String,
    pairs: Vec<(String, String)>,
    /// Values that were read as others, for the log.
    adjusted: RefCell<Vec<Adjusted>>,
}

/// A figure that was read as another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adjusted {
    /// Section and key.
    pub key: String,
    /// The value as it stands there.
    pub value: String,
    /// What was read, in the unit of the setting.
    pub read: u64,
}

/// Which whole number is the safe one beside a fraction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rounding {
    /// For what bounds this process.
    Down,
    /// For what it has to bear.
    Up,
}

/// Unit of a figure: suffixes with the factor of each.
type Units = &'static [(&'static str, f64)];

/// A plain number.
pub(crate) const NUMBER: Units = &[("", 1.0)];
/// Milliseconds.
pub(crate) const MILLIS: Units = &[("ms", 1.0), ("s", 1000.0), ("m", 60_000.0)];
/// Bytes.
pub(crate) const BYTES: Units = &[("", 1.0), ("MB", 1e6), ("GB", 1e9)];

/// Splits a text into its sections.
pub(crate) fn read(file: &str, text: &str) -> Result<Vec<Section>> {
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
            adjusted: RefCell::default(),
        });
    }
    Ok(sections)
}

impl Section {
    /// A section without keys, in place of one that was left out.
    pub(crate) fn empty() -> Self {
        Section {
            file: String::new(),
            title: String::new(),
            kind: String::new(),
            name: String::new(),
            pairs: Vec::new(),
            adjusted: RefCell::default(),
        }
    }

    /// An error at a key of this section.
    pub(crate) fn wrong<A>(&self, key: &str, value: &str, allowed: A) -> Error
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

    /// Reads the section into a raw struct of optional texts.
    pub(crate) fn raw<T>(&self) -> Result<T>
    where
        T: DeserializeOwned,
    {
        for (i, (key, value)) in self.pairs.iter().enumerate() {
            if self.pairs[..i].iter().any(|(k, _)| k == key) {
                return Err(self.wrong(key, value, "each key once"));
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
                    self.wrong(key, value, format!("the keys {allowed}"))
                }
                None => self.wrong("(section)", "", text),
            }
        })
    }

    /// All pairs of a section whose keys are free.
    pub(crate) fn pairs(&self) -> &[(String, String)] {
        &self.pairs
    }

    /// A value that must be given.
    pub(crate) fn need<'a>(
        &self,
        key: &str,
        value: &'a Option<String>,
        what: &str,
    ) -> Result<&'a str> {
        value
            .as_deref()
            .filter(|v| !v.is_empty())
            .ok_or_else(|| self.wrong(key, "", format!("this key is needed: {what}")))
    }

    /// Parses a value that must be given.
    pub(crate) fn parse<T>(&self, key: &str, value: &Option<String>, what: &str) -> Result<T>
    where
        T: FromStr,
    {
        let text = self.need(key, value, what)?;
        text.parse().map_err(|_| self.wrong(key, text, what))
    }

    /// Converts a value that must be given.
    pub(crate) fn convert<T>(&self, key: &str, value: &Option<String>, what: &str) -> Result<T>
    where
        T: for<'a> TryFrom<&'a str, Error = String>,
    {
        let text = self.need(key, value, what)?;
        T::try_from(text).map_err(|allowed| self.wrong(key, text, allowed))
    }

    /// Parses a number within bounds, or gives the default.
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
        let number: u64 = text.parse().map_err(|_| self.wrong(key, text, &what))?;
        if !bounds.contains(&number) {
            return Err(self.wrong(key, text, &what));
        }
        Ok(number)
    }

    /// Like [`Section::number`], for values that fit 32 bits.
    pub(crate) fn small(
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

    /// Parses a duration in milliseconds: `250ms`, `5s` or `2m`.
    pub(crate) fn millis(
        &self,
        key: &str,
        value: &Option<String>,
        bounds: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64> {
        let (least, most) = (bounds.start(), bounds.end());
        let what = format!("a duration such as 250ms, 5s or 2m, from {least}ms to {most}ms");
        self.within(key, value, bounds, default, duration, what)
    }

    /// Parses a value with a unit by `parse`; `what` says what is right.
    fn within<P>(
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
        parsed.ok_or_else(|| self.wrong(key, text, what))
    }

    /// Reads a figure that comes from a system which does not know the bounds here: a
    /// fraction is rounded to the safe side, what is above them counts as the highest, and
    /// one that is missing as the default.
    ///
    /// Refused, it would keep the whole fleet from starting.
    pub(crate) fn figure(
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
        let (_, factor) = factor.ok_or_else(|| self.wrong(key, text, what()))?;
        let read = if digits.is_empty() {
            default
        } else {
            let number: f64 = digits.parse().map_err(|_| self.wrong(key, text, what()))?;
            let number = match rounding {
                Rounding::Down => (number * factor).floor(),
                Rounding::Up => (number * factor).ceil(),
            };
            // CAST: saturates, and what is no number is none.
            (number as u64).min(most)
        };
        if read < least {
            return Err(self.wrong(key, text, what()));
        }
        // CAST: bounds are far below 2^53.
        if digits.parse() != Ok(read as f64 / factor) {
            self.adjusted.borrow_mut().push(Adjusted {
                key: format!("{} {key}", self.title),
                value: text.clone(),
                read,
            });
        }
        Ok(read)
    }

    /// Figures that were read as others.
    pub(crate) fn adjusted(&self) -> Vec<Adjusted> {
        self.adjusted.borrow().clone()
    }

    /// Parses `yes` or `no`.
    pub(crate) fn flag(&self, key: &str, value: &Option<String>) -> Result<Option<bool>> {
        match value.as_deref() {
            None => Ok(None),
            Some("yes" | "true") => Ok(Some(true)),
            Some("no" | "false") => Ok(Some(false)),
            Some(text) => Err(self.wrong(key, text, "yes or no")),
        }
    }
}

fn duration(text: &str) -> Option<u64> {
    let at = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(at);
    let number: u64 = number.parse().ok()?;
    let factor = match unit.trim() {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        _ => return None,
    };
    number.checked_mul(factor)
}

/// Splits a comma-separated list.
pub(crate) fn list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
}
