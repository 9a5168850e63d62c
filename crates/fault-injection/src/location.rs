//! Where in a text something stands, for whoever has to mend it.

/// One line: the file, line and column of an offset in its text, and what is wrong there.
pub fn format_location(name: &str, text: &str, at: usize, what: &str) -> String {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    let before = &text[..at];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().map_or(0, |last| last.chars().count()) + 1;
    format!("{name}:{line}:{column}: {}", what.replace('\n', " "))
}
