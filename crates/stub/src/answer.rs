//! The generated text: a function of adapter, version, request and prompt, so that a caller can check it.

use serde_json::Value;
use wire::endpoint::Model;

/// Number of generated tokens if the request has no `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// Returns the digest of the prompt in a request body: its `prompt` or its `messages`.
pub fn prompt_digest(body: &Value) -> u64 {
    let prompt = body.get("prompt").or_else(|| body.get("messages"));
    let text = prompt.map(Value::to_string).unwrap_or_default();
    base::digest(text.as_bytes())
}

/// Returns the generated token at position `index`, with its leading space.
pub fn token(model: &Model, request: &str, prompt: u64, index: u32) -> String {
    let seed = format!("{}@{}|{request}|{prompt:016x}|{index}", model.adapter, model.version);
    format!(" {:06x}", base::digest(seed.as_bytes()) & 0xff_ffff)
}

/// Returns the generated text of `tokens` tokens.
pub fn text(model: &Model, request: &str, prompt: u64, tokens: u32) -> String {
    (0..tokens).map(|index| token(model, request, prompt, index)).collect()
}
