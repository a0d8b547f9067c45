//! The models that an upstream holds, in a short form for messages.
//!
//! Load this answers: hundreds of engines change their models about once a second, and each change goes to hundreds of
//! gateways. The names of a model and of its adapters are written as one list, without names of fields.

use std::fmt;

use cowslip_units::UpstreamId;
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::HeldModel;

/// New models of an upstream whose entry is otherwise unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelsLine {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Store version of the entry.
    #[serde(rename = "v")]
    pub version: u64,
    /// Models that it holds.
    #[serde(rename = "m")]
    pub models: Vec<ModelNames>,
}

/// A held model, written as a list of its name and those of its adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelNames(pub HeldModel);

impl Serialize for ModelNames {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Self(HeldModel { name, adapters }) = self;
        let mut names = serializer.serialize_seq(Some(1 + adapters.len()))?;
        names.serialize_element(name)?;
        for adapter in adapters {
            names.serialize_element(adapter)?;
        }
        names.end()
    }
}

impl<'de> Deserialize<'de> for ModelNames {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ModelNamesVisitor)
    }
}

struct ModelNamesVisitor;

impl<'de> Visitor<'de> for ModelNamesVisitor {
    type Value = ModelNames;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of the names of a model and its adapters")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut names: A) -> Result<ModelNames, A::Error> {
        let name = names.next_element()?.ok_or_else(|| A::Error::invalid_length(0, &self))?;
        let mut adapters = Vec::new();
        while let Some(adapter) = names.next_element()? {
            adapters.push(adapter);
        }
        Ok(ModelNames(HeldModel { name, adapters }))
    }
}
