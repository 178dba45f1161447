//! The common trait of the items in a bundle's sections.

use serde::Serialize;

use crate::account::{Budget, ClientAccount};
use crate::backend_server::BackendServer;
use crate::bundle::{DataCentre, Operator, Pool};
use crate::route::Route;

/// An item of a section, with an id that is unique there.
pub trait SectionItem: Clone + PartialEq + Serialize {
    /// Returns the id.
    fn item_id(&self) -> &str;
}

macro_rules! section_items {
    ($($item:ty),+) => {
        $(impl SectionItem for $item {
            fn item_id(&self) -> &str {
                &self.id
            }
        })+
    };
}

section_items!(DataCentre, Operator, ClientAccount, Budget, Pool, BackendServer, Route);
