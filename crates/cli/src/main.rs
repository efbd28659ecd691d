//! Placeholder
fn main() {}
