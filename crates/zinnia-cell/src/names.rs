//! Interning of names.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::Name;

/// Interned names of jobs, numbered in the order of first use.
///
/// A name takes 32 bytes and a job has three names, most of them shared with other jobs. The table
/// never shrinks, but its names come from documents, which bounds it in practice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Name>", into = "Vec<Name>")]
pub(crate) struct Names {
    list: Vec<Name>,
    numbers: BTreeMap<Name, u32>,
}

impl Names {
    /// Number of a name, which is added if it is new.
    pub(crate) fn intern(&mut self, name: Name) -> u32 {
        let next = self.list.len() as u32;
        let number = *self.numbers.entry(name).or_insert(next);
        if number == next {
            self.list.push(name);
        }
        number
    }

    /// Number of a name that was interned before.
    pub(crate) fn number_of(&self, name: Name) -> Option<u32> {
        self.numbers.get(&name).copied()
    }

    /// Name of a number returned by [`intern`](Self::intern).
    pub(crate) fn name(&self, number: u32) -> Option<Name> {
        self.list.get(number as usize).copied()
    }
}

impl From<Vec<Name>> for Names {
    fn from(list: Vec<Name>) -> Self {
        let numbers = list.iter().copied().zip(0..).collect();
        Self { list, numbers }
    }
}

impl From<Names> for Vec<Name> {
    fn from(names: Names) -> Self {
        names.list
    }
}
