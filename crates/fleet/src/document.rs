//! The operator's document.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// A plan as the operator sent it. Its `Debug` output has the length and a digest only, since the document contains API keys.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document(Bytes);

impl Document {
    /// Returns the content.
    pub fn into_bytes(self) -> Bytes {
        self.0
    }
}

impl From<Bytes> for Document {
    fn from(bytes: Bytes) -> Document {
        Document(bytes)
    }
}

impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Document({} bytes, {:016x})", self.0.len(), base::digest(&self.0))
    }
}
