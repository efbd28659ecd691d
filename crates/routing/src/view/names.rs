//! Names of models and services as dense numbers.

use std::collections::HashMap;

/// The number of an interned name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NameIndex(u32);

/// Interned names; found without allocating.
#[derive(Clone, Debug, Default)]
pub struct Names {
    numbers: HashMap<String, NameIndex>,
}

impl Names {
    /// The number of a name, given on first sight.
    pub fn intern(&mut self, name: &str) -> NameIndex {
        if let Some(index) = self.numbers.get(name) {
            return *index;
        }
        let index = NameIndex(self.numbers.len() as u32);
        self.numbers.insert(name.to_owned(), index);
        index
    }

    /// The number of a name, if it was ever interned.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<NameIndex> {
        self.numbers.get(name).copied()
    }
}
