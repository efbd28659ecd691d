//! A fleet file as text and value, and its cheap replacement by a similar file.
//!
//! A large file consists mostly of tenants, and a change affects few of them.
//! The text is therefore split into the `[[tenant]]` sections and the remaining
//! text. A section that is also in the previous file is not parsed again; its
//! value is shared. The result is the same as that of parsing the complete text.
//! The complete text is parsed whenever the split is ambiguous or a section is
//! invalid, so that errors name their line.

use std::{ops::Range, sync::Arc};

use serde::{Deserialize, de::DeserializeOwned};

use super::{Fleet, FleetError, Tenant, validate};
use crate::digest::content_digest;

/// Header of a section that is parsed separately.
const TENANT_HEADER: &str = "[[tenant]]";
/// Quotes of strings that may span lines. A text that contains one is not split.
/// Sections of the previous file are known to contain none and are not searched.
const MULTI_LINE_QUOTES: [&str; 2] = ["\"\"\"", "'''"];
/// Maximum number of sections of the previous file that are searched for a moved section.
const MAX_SEARCHED_SECTIONS: usize = 64;

/// A valid fleet file: the operator's text and the parsed value.
#[derive(Clone, Debug)]
pub struct FleetDocument {
    text: String,
    digest: u64,
    fleet: Arc<Fleet>,
    /// Byte ranges of the tenant sections; empty if the text was not split.
    tenant_sections: Vec<Range<usize>>,
}

impl FleetDocument {
    /// Parses and validates a fleet file.
    ///
    /// # Errors
    /// The first error in the file, with line and field.
    pub fn parse(text: String) -> Result<Self, FleetError> {
        Self::parse_reporting_all(text).map_err(first_of)
    }

    /// Parses and validates a fleet file and reports all errors that can be
    /// found in one pass.
    ///
    /// # Errors
    /// The errors in the order of their lines; never an empty list.
    pub fn parse_reporting_all(text: String) -> Result<Self, Vec<FleetError>> {
        Self::read(text, None)
    }

    /// Parses and validates a text that replaces this one, sharing unchanged
    /// tenants.
    ///
    /// # Errors
    /// The first error in the new text, with line and field.
    pub fn replaced_by(&self, text: String) -> Result<Self, FleetError> {
        Self::read(text, Some(self)).map_err(first_of)
    }

    /// The operator's text.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Digest of the text.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The parsed value.
    #[must_use]
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// The parsed value, without the text.
    #[must_use]
    pub fn into_fleet(self) -> Arc<Fleet> {
        self.fleet
    }

    fn read(text: String, predecessor: Option<&FleetDocument>) -> Result<Self, Vec<FleetError>> {
        validate::check_size(&text).map_err(|error| vec![error])?;
        let (fleet, tenant_sections) = match read_sections(&text, predecessor) {
            Some(read) => read,
            None => (read_complete(&text)?, Vec::new()),
        };
        let faults = validate::faults_of(&fleet);
        if !faults.is_empty() {
            return Err(validate::located(&text, faults));
        }
        Ok(FleetDocument {
            digest: content_digest(&text),
            fleet: Arc::new(fleet),
            tenant_sections,
            text,
        })
    }

    /// The tenant sections with their values, in order.
    fn tenants(&self) -> impl Iterator<Item = (&str, &Arc<Tenant>)> {
        self.tenant_sections
            .iter()
            .map(|section| &self.text[section.clone()])
            .zip(&self.fleet.tenants)
    }
}

fn first_of(errors: Vec<FleetError>) -> FleetError {
    errors
        .into_iter()
        .next()
        .unwrap_or_else(|| unreachable!("the list of errors is never empty"))
}

fn read_complete(text: &str) -> Result<Fleet, Vec<FleetError>> {
    toml::from_str(text).map_err(|error| vec![FleetError::from_toml(text, &error)])
}

/// Reads the sections one by one; `None` if the complete text must be parsed instead.
fn read_sections(
    text: &str,
    predecessor: Option<&FleetDocument>,
) -> Option<(Fleet, Vec<Range<usize>>)> {
    let split = SplitText::of(text);
    let mut fleet: Fleet = read_part(&split.remaining)?;
    if !fleet.tenants.is_empty() {
        return None;
    }
    let known: Vec<(&str, &Arc<Tenant>)> = predecessor
        .map(|predecessor| predecessor.tenants().collect())
        .unwrap_or_default();
    let mut known = KnownSections::new(&known);
    fleet.tenants.reserve_exact(split.tenant_sections.len());
    for section in &split.tenant_sections {
        let section = &text[section.clone()];
        let tenant = match known.find(section) {
            Some(tenant) => Arc::clone(tenant),
            None => read_tenant(section)?,
        };
        fleet.tenants.push(tenant);
    }
    Some((fleet, split.tenant_sections))
}

/// Reads a part of a text; `None` if it contains a string that may span lines,
/// because an apparent header may then be part of a string.
fn read_part<T: DeserializeOwned>(part: &str) -> Option<T> {
    if MULTI_LINE_QUOTES.iter().any(|quotes| part.contains(quotes)) {
        return None;
    }
    toml::from_str(part).ok()
}

/// Parses one tenant section.
fn read_tenant(section: &str) -> Option<Arc<Tenant>> {
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Section {
        tenant: [Arc<Tenant>; 1],
    }
    let Section { tenant: [tenant] } = read_part(section)?;
    Some(tenant)
}

/// Sections of the previous file, which are searched in order.
struct KnownSections<'a> {
    sections: &'a [(&'a str, &'a Arc<Tenant>)],
    next: usize,
}

impl<'a> KnownSections<'a> {
    fn new(sections: &'a [(&'a str, &'a Arc<Tenant>)]) -> Self {
        KnownSections { sections, next: 0 }
    }

    fn find(&mut self, text: &str) -> Option<&'a Arc<Tenant>> {
        let window = self.sections[self.next..]
            .iter()
            .take(MAX_SEARCHED_SECTIONS);
        for (skipped, (section, tenant)) in window.enumerate() {
            if *section == text {
                self.next += skipped + 1;
                return Some(tenant);
            }
        }
        None
    }
}

/// A text split into the tenant sections and the remaining text.
struct SplitText {
    tenant_sections: Vec<Range<usize>>,
    remaining: String,
}

impl SplitText {
    fn of(text: &str) -> Self {
        let mut split = SplitText {
            tenant_sections: Vec::new(),
            remaining: String::new(),
        };
        let mut part_start = 0;
        let mut in_tenant = false;
        for line_start in header_lines(text) {
            split.add_part(text, part_start..line_start, in_tenant);
            part_start = line_start;
            in_tenant = is_tenant_header(&text[line_start..]);
        }
        split.add_part(text, part_start..text.len(), in_tenant);
        split
    }

    fn add_part(&mut self, text: &str, part: Range<usize>, in_tenant: bool) {
        if in_tenant {
            self.tenant_sections.push(part);
        } else {
            self.remaining.push_str(&text[part]);
        }
    }
}

/// Offsets of the lines that begin with a bracket.
fn header_lines(text: &str) -> impl Iterator<Item = usize> {
    text.match_indices('[').filter_map(|(bracket, _)| {
        let before = &text[..bracket];
        let line_start = before.trim_end_matches([' ', '\t']).len();
        let begins_line = line_start == 0 || before.as_bytes()[line_start - 1] == b'\n';
        begins_line.then_some(line_start)
    })
}

/// Whether a text begins with the header line of a tenant section.
fn is_tenant_header(text: &str) -> bool {
    let line = text.split('\n').next().unwrap_or_default();
    line.trim_start()
        .strip_prefix(TENANT_HEADER)
        .map(str::trim)
        .is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('#'))
}
