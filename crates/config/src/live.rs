//! A configuration that changes: its text, the places of its items, and its compiled form.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;

use crate::compiled::CompiledConfig;
use crate::document::{Document, Patch};
use crate::error::ConfigError;

/// A configuration to which changes can be applied at a small part of the cost of reading it.
#[derive(Clone, Debug)]
pub struct LiveConfig {
    document: Document,
    /// Made when it is first asked for: processes that route nothing never need it.
    compiled: OnceLock<Arc<CompiledConfig>>,
}

impl LiveConfig {
    /// Reads a document. An empty text is the state before the first configuration.
    pub fn read(text: Bytes) -> Result<Self, ConfigError> {
        Ok(LiveConfig { document: Document::read(text)?, compiled: OnceLock::new() })
    }

    /// The whole document.
    pub fn text(&self) -> &Bytes {
        &self.document.text
    }

    /// The compiled form.
    pub fn compiled(&self) -> Result<Arc<CompiledConfig>, Vec<ConfigError>> {
        if let Some(compiled) = self.compiled.get() {
            return Ok(compiled.clone());
        }
        let compiled = Arc::new(CompiledConfig::compile(self.text())?);
        Ok(self.compiled.get_or_init(|| compiled).clone())
    }

    /// The configuration after a change. If this one is compiled, the rules are checked and the next one is compiled too.
    pub fn patched(&self, patch: &[u8]) -> Result<Self, Vec<ConfigError>> {
        let patch = Patch::read(patch).map_err(|error| vec![error])?;
        let compiled = match self.compiled.get() {
            Some(compiled) => OnceLock::from(Arc::new(compiled.patched(&patch)?)),
            None => OnceLock::new(),
        };
        let document = self.document.patched(&patch).map_err(|error| vec![error])?;
        Ok(LiveConfig { document, compiled })
    }
}
