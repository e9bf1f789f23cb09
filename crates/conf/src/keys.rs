//! API keys in the settings.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;
use serde_json::Value;

/// The API keys of a tenant. Neither `Debug` nor an error of decoding shows a key.
#[derive(Clone, Default, PartialEq, Eq, Serialize)]
pub struct Keys(Vec<String>);

impl Keys {
    /// Returns the keys.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }
}

impl FromIterator<String> for Keys {
    fn from_iter<I: IntoIterator<Item = String>>(keys: I) -> Keys {
        Keys(keys.into_iter().collect())
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({})", self.0.len())
    }
}

impl<'de> Deserialize<'de> for Keys {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Keys, D::Error> {
        // The errors of the derived decoder contain the value.
        let value = Value::deserialize(deserializer)?;
        let keys = value.as_array().map(|keys| keys.iter().map(|key| key.as_str()));
        let keys = keys.and_then(|keys| keys.map(|key| key.map(str::to_owned)).collect());
        keys.map(Keys).ok_or_else(|| D::Error::custom("the keys must be a list of strings"))
    }
}
