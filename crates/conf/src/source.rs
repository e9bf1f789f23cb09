//! The positions of settings in the text of a file.

use base::Map;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::ObjectPropName;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;

use crate::error::Diagnostic;
use crate::error::Position;
use crate::table;

/// Parser options: JSON with comments and trailing commas, without other extensions.
pub(crate) fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// The settings in a text with their positions.
#[derive(Debug, Default)]
pub(crate) struct Source {
    /// The path of each value with its start and end as byte offsets, in the order of the text.
    values: Vec<(String, usize, usize)>,
    /// The byte offset of the last occurrence of each property name, by path.
    names: Map<String, usize>,
    /// The paths of properties that occur more than once in an object, with the byte offset of each
    /// repetition.
    repeated: Vec<(String, usize)>,
}

impl Source {
    /// Parses the text and records all positions.
    ///
    /// # Errors
    ///
    /// The syntax error if the text is not valid JSON with comments.
    pub(crate) fn new(text: &str) -> Result<Source, ParseError> {
        let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options())?;
        let mut source = Source::default();
        if let Some(value) = &parsed.value {
            source.add(String::new(), value);
        }
        Ok(source)
    }

    fn add(&mut self, path: String, value: &Value<'_>) {
        let range = value.range();
        self.values.push((path.clone(), range.start, range.end));
        match value {
            Value::Object(object) => {
                for property in &object.properties {
                    let path = join(&path, property_name(&property.name));
                    let start = property.range.start;
                    if self.names.insert(path.clone(), start).is_some() {
                        self.repeated.push((path.clone(), start));
                    }
                    self.add(path, &property.value);
                }
            }
            Value::Array(array) => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.add(format!("{path}[{index}]"), element);
                }
            }
            _ => {}
        }
    }

    /// Reports unknown settings and settings that occur more than once.
    pub(crate) fn diagnostics(&self, text: &str) -> Vec<Diagnostic> {
        let known: Vec<String> = table::table().into_iter().map(|setting| setting.path).collect();
        let is_known = |path: &str| {
            let path = table_path(path);
            known.iter().any(|known| {
                known.strip_prefix(&path).is_some_and(|rest| {
                    rest.is_empty() || rest.starts_with('.') || rest.starts_with("[]")
                })
            })
        };
        let unknown = self.names.iter().filter(|(path, _)| !is_known(path));
        let unknown = unknown.map(|(path, start)| (path, *start, "unknown setting"));
        let repeated = self.repeated.iter();
        let repeated = repeated.map(|(path, start)| (path, *start, "specified more than once"));
        let diagnostics = unknown.chain(repeated).map(|(path, start, message)| Diagnostic {
            position: Some(position(text, start)),
            setting: path.clone(),
            message: message.to_owned(),
        });
        diagnostics.collect()
    }

    /// Returns the path of the innermost value that contains a byte offset; empty if there is none.
    pub(crate) fn path_at(&self, offset: usize) -> &str {
        let covers = |(_, start, end): &&(String, usize, usize)| *start <= offset && offset < *end;
        self.values.iter().rfind(covers).map_or("", |(path, ..)| path)
    }

    /// Returns the position of a setting or, if the text lacks it, of the innermost enclosing section that
    /// the text contains.
    pub(crate) fn position(&self, text: &str, path: &str) -> Option<Position> {
        let mut path = path;
        loop {
            let value = self.values.iter().find(|(known, ..)| known == path);
            let start = self.names.get(path).copied().or(value.map(|(_, start, _)| *start));
            if let Some(start) = start {
                return Some(position(text, start));
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }
}

/// Converts a byte offset to a line and a column.
fn position(text: &str, offset: usize) -> Position {
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |newline| newline + 1);
    Position { line, column: before[start..].chars().count() + 1 }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn property_name<'a>(name: &'a ObjectPropName<'_>) -> &'a str {
    match name {
        ObjectPropName::String(text) => &text.value,
        ObjectPropName::Word(word) => word.value,
    }
}

/// Replaces the index of an entry by `[]`, as in the table of settings.
fn table_path(path: &str) -> String {
    let mut table_path = String::new();
    let mut inside = false;
    for character in path.chars() {
        inside &= character != ']';
        if !inside {
            table_path.push(character);
        }
        inside |= character == '[';
    }
    table_path
}
