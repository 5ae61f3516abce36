//! Rules that rewrite keys: what of a message says which message it is, whatever program handed it in.
//!
//! Arrows go one way: `number`, `json`, `rule` < `forms` < `parts` < `rewrite` < `explain`, `candidates` < `file`;
//! `decided` is `rule` as it is agreed by epoch.

mod candidates;
mod decided;
mod explain;
mod file;
mod forms;
mod json;
mod number;
mod parts;
mod problems;
mod rewrite;
mod rule;

pub use candidates::{Candidate, candidates};
pub use decided::{ClassRule, Narrowed};
pub use explain::{Role, Step, explain};
pub use file::{ApartFile, BodyFile, KindFile, KnownClass, PartFile, RuleFile, SampleFile, VariantsFile};
pub use forms::Canon;
pub use parts::Seen;
pub use problems::{Problem, Problems};
pub use rewrite::{ByItself, Key, Rewritten, rewrite};
pub use rule::{Absent, DropPrefix, Form, Full, Part, Rule, Source, Unsure};
