//! Positions of errors in text files.

/// Formats an error message on one line as `name:line:column: message`. `offset` is the byte offset of the error in
/// `text`, the content of the file `name`.
pub fn format_location(name: &str, text: &str, offset: usize, message: &str) -> String {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |last| last.chars().count()) + 1;
    format!("{name}:{line}:{column}: {}", message.replace('\n', " "))
}
