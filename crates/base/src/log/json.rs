//! The JSON format of the lines.

use std::fmt;
use std::fmt::Debug;
use std::fmt::Write;

use tracing::Event;
use tracing::Subscriber;
use tracing::field::Field;
use tracing::field::Visit;
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::fmt::FormatEvent;
use tracing_subscriber::fmt::FormatFields;
use tracing_subscriber::fmt::format;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::registry::LookupSpan;

use crate::event::Class;
use crate::log::clock;

/// The initial capacity of a line.
const LINE_BYTES: usize = 512;

/// Writes the lines of events as the format of the library does, without its general serializer, which
/// takes most of the time of a line; other lines are left to it.
#[derive(Debug)]
pub(super) struct Json {
    pub(super) general: format::Format<format::Json>,
}

impl<S, N> FormatEvent<S, N> for Json
where
    S: Subscriber + for<'lookup> LookupSpan<'lookup>,
    N: for<'writer> FormatFields<'writer> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let metadata = event.metadata();
        if Class::of(metadata).is_none() || context.lookup_current().is_some() {
            return self.general.format_event(context, writer, event);
        }
        let mut line = String::with_capacity(LINE_BYTES);
        line.push_str("{\"timestamp\":\"");
        clock::push_now(&mut line)?;
        line.push_str("\",\"level\":\"");
        line.push_str(metadata.level().as_str());
        line.push('"');
        let mut fields = Fields { line, result: Ok(()) };
        event.record(&mut fields);
        let Fields { mut line, result } = fields;
        result?;
        line.push_str(",\"target\":");
        push_text(&mut line, metadata.target());
        line.push_str("}\n");
        writer.write_str(&line)
    }
}

/// Writes the fields of a line.
struct Fields {
    line: String,
    result: fmt::Result,
}

impl Fields {
    fn push_key(&mut self, field: &Field) {
        self.line.push(',');
        push_text(&mut self.line, field.name());
        self.line.push(':');
    }

    fn push_value(&mut self, field: &Field, value: &str) {
        self.push_key(field);
        self.line.push_str(value);
    }
}

impl Visit for Fields {
    fn record_f64(&mut self, field: &Field, value: f64) {
        self.push_value(field, &serde_json::to_string(&value).unwrap_or_default());
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.push_value(field, &value.to_string());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.push_value(field, &value.to_string());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.push_value(field, if value { "true" } else { "false" });
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.push_key(field);
        push_text(&mut self.line, value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.push_key(field);
        self.line.push('"');
        let written = write!(Escape(&mut self.line), "{value:?}");
        self.result = self.result.and(written);
        self.line.push('"');
    }
}

fn push_text(line: &mut String, text: &str) {
    line.push('"');
    push_escaped(line, text);
    line.push('"');
}

/// A writer that escapes text for a JSON string.
struct Escape<'a>(&'a mut String);

impl Write for Escape<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        push_escaped(self.0, text);
        Ok(())
    }
}

fn push_escaped(line: &mut String, text: &str) {
    let mut rest = text;
    while let Some(index) = rest.bytes().position(needs_escape) {
        line.push_str(&rest[..index]);
        push_escape(line, rest.as_bytes()[index]);
        rest = &rest[index + 1..];
    }
    line.push_str(rest);
}

fn push_escape(line: &mut String, byte: u8) {
    match byte {
        b'"' => line.push_str("\\\""),
        b'\\' => line.push_str("\\\\"),
        b'\n' => line.push_str("\\n"),
        b'\r' => line.push_str("\\r"),
        b'\t' => line.push_str("\\t"),
        0x08 => line.push_str("\\b"),
        0x0c => line.push_str("\\f"),
        _ => line.push_str(&format!("\\u{byte:04x}")),
    }
}

fn needs_escape(byte: u8) -> bool {
    byte < 0x20 || byte == b'"' || byte == b'\\'
}
