//! The changes of one section of a bundle.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::section_item::SectionItem;

/// The changes of one section of a bundle.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SectionDelta<T> {
    /// The ids of the removed items.
    pub removed_ids: Vec<String>,
    /// The items that are new or changed.
    pub put: Vec<T>,
}

impl<T: SectionItem> SectionDelta<T> {
    /// Computes the changes that turn one list into another.
    pub fn between(old: &[T], new: &[T]) -> Self {
        let old_items: BTreeMap<&str, &T> = old.iter().map(|item| (item.item_id(), item)).collect();
        let new_ids: BTreeSet<&str> = new.iter().map(T::item_id).collect();
        let is_unchanged = |item: &&T| old_items.get(item.item_id()) == Some(item);
        Self {
            removed_ids: old_items
                .keys()
                .filter(|id| !new_ids.contains(*id))
                .map(|id| (*id).to_owned())
                .collect(),
            put: new.iter().filter(|item| !is_unchanged(item)).cloned().collect(),
        }
    }

    /// Applies the changes; the result is sorted by id.
    pub fn apply(&self, old: &[T]) -> Vec<T> {
        let mut items: BTreeMap<&str, &T> = old.iter().map(|item| (item.item_id(), item)).collect();
        for id in &self.removed_ids {
            items.remove(id.as_str());
        }
        for item in &self.put {
            items.insert(item.item_id(), item);
        }
        items.into_values().cloned().collect()
    }
}
