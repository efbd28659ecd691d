//! Interning of model and service names.

use std::collections::HashMap;

/// Dense index of an interned name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NameIndex(u32);

/// Interned names; lookups do not allocate.
#[derive(Clone, Debug, Default)]
pub struct Names {
    indices: HashMap<String, NameIndex>,
}

impl Names {
    /// The index of a name; assigned at the first call.
    pub fn intern(&mut self, name: &str) -> NameIndex {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = NameIndex(self.indices.len() as u32);
        self.indices.insert(name.to_owned(), index);
        index
    }

    /// The index of a name, if it was ever interned.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<NameIndex> {
        self.indices.get(name).copied()
    }
}
