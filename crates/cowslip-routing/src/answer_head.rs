//! The fields of an engine's answer or stream chunk that the checks need.
//!
//! Parsed by a hand-written visitor, because it runs for every chunk of every stream: it skips the generated
//! text without copying it.

use std::fmt;

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use smol_str::SmolStr;

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
}

/// Metadata of an answer or chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Request id that the engine echoes.
    pub id: Option<SmolStr>,
    /// Offset of a chunk in its stream.
    pub offset: Option<u64>,
    /// True when the `choices` array is not empty.
    pub has_choices: bool,
    /// True when a choice has a finish reason.
    pub finished: bool,
    /// Token counts, if the text contains them.
    pub usage: Option<TokenUsage>,
}

impl AnswerHead {
    /// Parses a JSON text; `None` when it is malformed.
    pub fn from_json(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}

impl<'de> Deserialize<'de> for AnswerHead {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(HeadVisitor)
    }
}

struct HeadVisitor;

impl<'de> Visitor<'de> for HeadVisitor {
    type Value = AnswerHead;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an answer of a model engine")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<AnswerHead, A::Error> {
        let mut head = AnswerHead::default();
        while let Some(key) = map.next_key::<SmolStr>()? {
            match key.as_str() {
                "id" => head.id = map.next_value()?,
                "offset" => head.offset = map.next_value()?,
                "usage" => head.usage = map.next_value()?,
                "choices" => {
                    let ChoiceFlags { any, finished } = map.next_value()?;
                    head.has_choices = any;
                    head.finished = finished;
                }
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(head)
    }
}

/// Summary of the `choices` array.
struct ChoiceFlags {
    any: bool,
    finished: bool,
}

impl<'de> Deserialize<'de> for ChoiceFlags {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ChoicesVisitor)
    }
}

struct ChoicesVisitor;

impl<'de> Visitor<'de> for ChoicesVisitor {
    type Value = ChoiceFlags;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an array of choices")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<ChoiceFlags, A::Error> {
        let mut flags = ChoiceFlags { any: false, finished: false };
        while let Some(FinishFlag(finished)) = seq.next_element()? {
            flags.any = true;
            flags.finished |= finished;
        }
        Ok(flags)
    }
}

/// True when a choice has a finish reason.
struct FinishFlag(bool);

impl<'de> Deserialize<'de> for FinishFlag {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ChoiceVisitor)
    }
}

struct ChoiceVisitor;

impl<'de> Visitor<'de> for ChoiceVisitor {
    type Value = FinishFlag;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a choice")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<FinishFlag, A::Error> {
        let mut finished = false;
        while let Some(key) = map.next_key::<SmolStr>()? {
            if key == "finish_reason" {
                finished = map.next_value::<Option<SmolStr>>()?.is_some();
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(FinishFlag(finished))
    }
}
